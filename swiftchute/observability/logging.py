"""Structured logs, and the module's lines as events with their figures as fields."""

import logging
import re
import sys
from typing import Any

import structlog

_MODE = re.compile(r"(?P<mode>.+?): (?P<state>on|off), (?P<figures>.*)")
_LEVEL = re.compile(r"^(-?\d+(?:\.\d+)?)(?:, |$)")
# the forms in which the module words its figures (docs/on-call.md)
_FIGURES = (
    ("time", re.compile(r"time (-?\d+(?:\.\d+)?) of the objective")),
    ("there", re.compile(r"(-?\d+(?:\.\d+)?) there")),
    ("errored", re.compile(r"(\d+) of \d+ tries errored")),
    ("tries", re.compile(r"\d+ of (\d+) tries errored")),
    ("good_ms", re.compile(r"(-?\d+(?:\.\d+)?) ms a good answer")),
    ("usual_ms", re.compile(r"usual (-?\d+(?:\.\d+)?)")),
    ("again_s", re.compile(r"asked again in (-?\d+(?:\.\d+)?) s")),
    ("entries", re.compile(r"(\d+) entries")),
)


def setup(level: str, **always: Any) -> Any:
    """A logger that writes JSON lines to standard error; `always` stands in each line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True, default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(**always)


def mode_fields(text: str) -> dict[str, Any]:
    """A line of the module as fields: mode, on or off, and each figure; a line of another form stays
    as `text`."""
    found = _MODE.fullmatch(text)
    if not found:
        return {"text": text}
    fields: dict[str, Any] = {"mode": found["mode"], "on": found["state"] == "on"}
    first = _LEVEL.match(found["figures"])
    if first:
        fields["level"] = float(first[1])
    for name, form in _FIGURES:
        seen = form.search(found["figures"])
        if seen:
            fields[name] = float(seen[1]) if "." in seen[1] else int(seen[1])
    return fields
