"""The kept changes of one table: deltas, with a whole table every few of them. No I/O, no clock."""

from dataclasses import dataclass
from enum import StrEnum

from swiftchute.versions.encoding import (
    Delta,
    Table,
    apply_delta,
    decode_delta,
    decode_table,
    encode,
    make_delta,
)

SNAPSHOT_INTERVAL_ENTRIES = 32  # from one whole table to the next: fewer deltas than this make any version
TRIM_SLACK_DIVISOR = 8  # trimming may wait until this part of all kept entries is left


class ChangeCause(StrEnum):
    """Cause of a new version of a table."""

    START = "start"  # the first version of the table
    LIST = "list"  # the endpoint list changed
    HEALTH = "health"  # the policy changed weights for another reason
    LEVEL = "level"  # only admission rates or retry policies changed
    GUARD = "guard"  # the safety rules changed it
    CANARY = "canary"  # a canary began or ended
    PIN = "pin"  # an operator pinned the table
    ROLLBACK = "rollback"  # an operator or the controller went back to an earlier version
    RELEASE = "release"  # a pin ended


@dataclass(frozen=True, slots=True)
class VersionChange:
    """One change of a table.

    Attributes:
        table: Name of the table.
        serial: Number of the change, from 0 for the first of the table.
        version: Version that it made.
        parent: Version that it was made of; None for the first.
        recorded_at_ns: Time of the change.
        cause: Why the table changed.
        instance: Number of the controller that made it.
        changed_count: Entries that it set.
        removed_count: Entries that it removed.
    """

    table: str
    serial: int
    version: bytes
    parent: bytes | None
    recorded_at_ns: int
    cause: ChangeCause | str
    instance: str
    changed_count: int
    removed_count: int


@dataclass(slots=True)
class LogEntry:
    """A change with what makes its version: a whole table, or a delta to the entry before."""

    change: VersionChange
    data: bytes
    is_snapshot: bool


class TableLog:
    """The kept changes of one table, oldest first."""

    def __init__(self) -> None:
        """Start without a change."""
        self.entries: list[LogEntry] = []
        self.first_serial = 0  # of the oldest kept entry
        self.newest: Table | None = None
        self._since_snapshot = 0

    @property
    def newest_change(self) -> VersionChange | None:
        """The newest change; None if there is none."""
        return self.entries[-1].change if self.entries else None

    def append(
        self, table: str, content: Table, version: bytes, now_ns: int, cause: str, instance: str
    ) -> VersionChange:
        """Record that the table holds `content` from now on."""
        newest = self.newest_change
        serial = self.first_serial + len(self.entries)
        parent = newest.version if newest is not None else None
        delta = make_delta(self.newest, content) if self.newest is not None else None
        changed_count, removed_count = _size(delta, content)
        change = VersionChange(
            table, serial, version, parent, now_ns, cause, instance, changed_count, removed_count
        )
        if delta is None or self._since_snapshot + 1 >= SNAPSHOT_INTERVAL_ENTRIES:
            self.entries.append(LogEntry(change, encode(content), True))
            self._since_snapshot = 0
        else:
            self.entries.append(LogEntry(change, encode(delta), False))
            self._since_snapshot += 1
        self.newest = content
        return change

    def content_at(self, serial: int) -> Table:
        """Return what the table held after a kept change."""
        place = serial - self.first_serial
        base = place
        while not self.entries[base].is_snapshot:
            base -= 1
        content = decode_table(self.entries[base].data)
        for entry in self.entries[base + 1 : place + 1]:
            content = apply_delta(decode_delta(entry.data), content)
        return content

    def excess(self, now_ns: int, max_entries: int, max_age_ns: int) -> int:
        """Return how many of the oldest entries are to be trimmed now.

        The oldest entry left must become a snapshot, so entries are trimmed in batches: that is done at most
        once in so many changes.
        """
        excess = max(len(self.entries) - max_entries, 0)
        last = len(self.entries) - 1
        while excess < last and now_ns - self.entries[excess].change.recorded_at_ns > max_age_ns:
            excess += 1
        batch = min(SNAPSHOT_INTERVAL_ENTRIES, max_entries)
        if excess < batch and excess < last - max_entries // TRIM_SLACK_DIVISOR:
            return 0
        return excess

    def trim(self, count: int) -> None:
        """Remove the oldest `count` entries; the oldest one left becomes a snapshot."""
        oldest = self.content_at(self.first_serial + count)
        del self.entries[:count]
        self.first_serial += count
        self.entries[0].data = encode(oldest)
        self.entries[0].is_snapshot = True


def _size(delta: Delta | None, content: Table) -> tuple[int, int]:
    """Return how many entries a change sets and removes; without a delta it sets all."""
    if delta is None:
        return len(content.entries), 0
    return len(delta.changed), len(delta.removed)
