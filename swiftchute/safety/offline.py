"""A written table judged against a written list, for `swiftchute guard check`."""

import time

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.discovery.endpoint_list import EndpointList
from swiftchute.discovery.errors import EndpointListError
from swiftchute.safety.validator import (
    EndpointStatus,
    Observations,
    Proposal,
    SafetyRules,
    Validator,
    Verdict,
)


class InputFileError(Exception):
    """A file that cannot be read or holds something else; its text names file, field and cause."""


class TableFile(msgspec.Struct, forbid_unknown_fields=True):
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
        raise InputFileError(f"{path}: cannot be read: {why.strerror}") from None


def read(path: str) -> TableFile:
    """The table in a file."""
    try:
        return msgspec.json.decode(_bytes(path), type=TableFile)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise InputFileError(f"{path}: {why}") from None


def listed(path: str, zones: tuple[str, ...]) -> dict[str, EndpointStatus]:
    """What a list says of each server; starts are wall clock, so ages are as of now."""
    registry = EndpointList(zones, 0)
    try:
        news = registry.update(_bytes(path))
    except EndpointListError as why:
        raise InputFileError(f"{path}: {why}") from None
    if news is not None and news.skipped:
        raise InputFileError(f"{path}: {news.skipped[0]}")
    return {
        e.endpoint: EndpointStatus(e.zone, e.state, e.started_ns, e.weight, e.kind)
        for e in registry.endpoints.values()
    }


def judge(settings: Settings, table: TableFile, facts: dict[str, EndpointStatus]) -> Verdict:
    """The verdict of every rule on this one table."""
    unknown = sorted(set(table.zones) - set(settings.zones))
    if unknown:
        raise InputFileError(f"zones: {', '.join(unknown)} are none of {', '.join(settings.zones)}")
    proposal = Proposal(table.lines, table.level, frozenset(table.zones), table.local, table.demand)
    return Validator(settings, SafetyRules()).judge(
        {0: proposal}, {}, facts, Observations(table.full), time.time_ns()
    )
