"""Lists in Prometheus' service discovery form (file_sd, http_sd), and the last good one. No I/O, no clock.

    registry = Registry(zones, wall_offset)
    news = registry.read(text)     # News, or raises BadList; the last good list stays

A list is a JSON array of `{"targets": ["host:port", ..], "labels": {..}}`. Labels, all strings as in the
form's page: `zone` (needed), `kind`, `cell`, `state` (ready or draining; a server that is not named is gone),
`weight`, `start` (seconds since 1970, of the server's last start).
"""

import ipaddress
import math
from dataclasses import dataclass, field

import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState

S = 1_000_000_000
SERVERS_MOST = 100_000
_STATES = ("ready", "draining")


class EndpointListError(Exception):
    """A list that cannot be believed; its text says what is wrong and where."""


@dataclass(frozen=True)
class EndpointListChange:
    """What a good list brings: "held" for the first, else "changes"; and entries that were passed
    over, with why."""

    scope: str
    entries: tuple[EndpointRecord, ...]
    passed: tuple[str, ...]


class _Group(msgspec.Struct):
    targets: list[str]
    labels: dict[str, str] = {}


@dataclass
class EndpointList:
    """The last good list; `offset` is wall clock minus the planner's clock, fixed, so that a start
    stays one figure."""

    zones: tuple[str, ...]
    offset: int
    held: dict[str, EndpointRecord] = field(default_factory=dict)
    read_once: bool = False
    good: int = 0
    bad: int = 0

    def read(self, text: bytes) -> EndpointListChange | None:
        """Take in a list; None if nothing changed. Raises `EndpointListError`; the last good list stays."""
        try:
            return self._read(text)
        except EndpointListError:
            self.bad += 1
            raise

    def _read(self, text: bytes) -> EndpointListChange | None:
        try:
            groups = msgspec.json.decode(text, type=list[_Group])
        except (msgspec.DecodeError, UnicodeDecodeError) as why:
            raise EndpointListError(f"not a list of targets: {why}") from None
        if sum(len(g.targets) for g in groups) > SERVERS_MOST:
            raise EndpointListError(f"more than {SERVERS_MOST} targets")
        found: dict[str, EndpointRecord] = {}
        passed = []
        for place, group in enumerate(groups, 1):
            for target in group.targets:
                try:
                    entry = self._entry(target, group.labels)
                except ValueError as why:
                    # One bad entry must not hold up the drains that the others tell of; what the last good
                    # list said of this server stands.
                    passed.append(f"group {place}, target {target[:64]!r}: {why}")
                    if target not in self.held:
                        continue
                    entry = self.held[target]
                twin = found.get(target)
                if (
                    twin is None or twin.state == EndpointState.READY
                ):  # named twice: the word that takes it out counts
                    found[target] = entry
        if not found and self.held:
            raise EndpointListError("no server in it: a list empties no pool; drain servers instead")
        gone = [e._replace(state=EndpointState.REMOVED) for n, e in self.held.items() if n not in found]
        changed = [e for n, e in found.items() if self.held.get(n) != e]
        scope = "changes" if self.read_once else "held"
        self.held, self.read_once, self.good = found, True, self.good + 1
        entries = tuple(sorted([*changed, *gone]))
        return (
            EndpointListChange(scope, entries, tuple(passed))
            if entries or passed or scope == "held"
            else None
        )

    def _entry(self, target: str, labels: dict[str, str]) -> EndpointRecord:
        host, _, port = target.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            number = int(port)
        except ValueError:
            raise ValueError("not address:port") from None
        if not 0 < number < 65_536:
            raise ValueError(f"port {number}")
        zone, state = labels.get("zone", ""), labels.get("state", "ready")
        if zone not in self.zones:
            raise ValueError(f"label zone: {zone[:64]!r} is none of {', '.join(self.zones)}")
        if state not in _STATES:
            raise ValueError(f"label state: {state[:64]!r} is neither ready nor draining")
        weight, start = self._number(labels, "weight", 1.0), self._number(labels, "start", 0.0)
        cell = self._number(labels, "cell", 0.0)
        if weight == 0:
            raise ValueError("label weight: 0; drain the server instead")
        started = int(start * S) - self.offset if start else 0
        return EndpointRecord(target, zone, labels.get("kind", ""), int(cell), state, weight, started)

    @staticmethod
    def _number(labels: dict[str, str], label: str, default: float) -> float:
        try:
            value = float(labels.get(label, default))
        except ValueError:
            value = math.nan
        if not 0 <= value < 1e12:
            raise ValueError(f"label {label}: {labels[label][:64]!r} is no figure of 0 or more")
        return value
