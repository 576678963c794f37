"""A written table judged against a written list, for `swiftchute guard check`."""

import time

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.discovery.endpoint_list import BadList, Registry
from swiftchute.safety.validator import Fact, Guard, Known, Proposal, Rules, Verdict


class BadInput(Exception):
    """A file that cannot be read or holds something else; its text names file, field and cause."""


class Written(msgspec.Struct, forbid_unknown_fields=True):
    """A table as staff write it."""

    lines: dict[str, float]
    zones: list[str]
    level: float = 1.0
    local: bool = False
    demand: float | None = None
    full: dict[str, float] = {}


def _bytes(path: str) -> bytes:
    try:
        with open(path, "rb") as source:
            return source.read()
    except OSError as why:
        raise BadInput(f"{path}: cannot be read: {why.strerror}") from None


def read(path: str) -> Written:
    """The table in a file."""
    try:
        return msgspec.json.decode(_bytes(path), type=Written)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise BadInput(f"{path}: {why}") from None


def listed(path: str, zones: tuple[str, ...]) -> dict[str, Fact]:
    """What a list says of each server; starts are wall clock, so ages are as of now."""
    registry = Registry(zones, 0)
    try:
        news = registry.read(_bytes(path))
    except BadList as why:
        raise BadInput(f"{path}: {why}") from None
    if news is not None and news.passed:
        raise BadInput(f"{path}: {news.passed[0]}")
    return {e.endpoint: Fact(e.zone, e.state, e.started_ns, e.weight, e.kind) for e in registry.held.values()}


def judge(settings: Settings, table: Written, facts: dict[str, Fact]) -> Verdict:
    """The verdict of every rule on this one table."""
    unknown = sorted(set(table.zones) - set(settings.zones))
    if unknown:
        raise BadInput(f"zones: {', '.join(unknown)} are none of {', '.join(settings.zones)}")
    proposal = Proposal(table.lines, table.level, frozenset(table.zones), table.local, table.demand)
    return Guard(settings, Rules()).judge({0: proposal}, {}, facts, Known(table.full), time.time_ns())
