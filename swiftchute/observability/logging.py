"""Set-up of structured logs, and parsing of the policy's condition lines into log fields."""

import logging
import re
import sys
from typing import Any

import structlog

_CONDITION_LINE = re.compile(r"(?P<condition>.+?): (?P<state>on|off), (?P<figures>.*)")
_LEADING_NUMBER = re.compile(r"^(-?\d+(?:\.\d+)?)(?:, |$)")
# log field and the pattern of its figure in the policy's condition lines
_FIGURES = (
    ("time", re.compile(r"time (-?\d+(?:\.\d+)?) of the objective")),
    ("there", re.compile(r"(-?\d+(?:\.\d+)?) there")),
    ("errored", re.compile(r"(\d+) of \d+ tries errored")),
    ("tries", re.compile(r"\d+ of (\d+) tries errored")),
    ("good_ms", re.compile(r"(-?\d+(?:\.\d+)?) ms a good answer")),
    ("usual_ms", re.compile(r"usual (-?\d+(?:\.\d+)?)")),
    ("again_s", re.compile(r"asked again in (-?\d+(?:\.\d+)?) s")),
    ("waited_s", re.compile(r"waits for (-?\d+(?:\.\d+)?) s")),
    ("servable", re.compile(r"can serve (-?\d+(?:\.\d+)?) of the requests")),
    ("pace", re.compile(r"(-?\d+(?:\.\d+)?) of its usual pace")),
    ("entries", re.compile(r"(\d+) entries")),
)


def configure_logging(level: str, **bound_fields: Any) -> Any:
    """Return a logger that writes JSON lines to standard error, with `bound_fields` in each."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(sort_keys=True, default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(**bound_fields)


def condition_fields(text: str) -> dict[str, Any]:
    """Parse a condition line of the policy into log fields: the condition, whether it began, and each figure.

    A line that does not match this form is returned as the field `text`.
    """
    line = _CONDITION_LINE.fullmatch(text)
    if not line:
        return {"text": text}
    fields: dict[str, Any] = {"mode": line["condition"], "on": line["state"] == "on"}
    level = _LEADING_NUMBER.match(line["figures"])
    if level:
        fields["level"] = float(level[1])
    for name, pattern in _FIGURES:
        figure = pattern.search(line["figures"])
        if figure:
            fields[name] = float(figure[1]) if "." in figure[1] else int(figure[1])
    return fields
