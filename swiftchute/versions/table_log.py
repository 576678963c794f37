"""Log of the kept changes of one table: deltas, with a snapshot at intervals. No I/O, no clock."""

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

SNAPSHOT_INTERVAL_ENTRIES = 32  # between snapshots; bounds the deltas applied to restore a version
TRIM_SLACK_DIVISOR = 8  # old entries may stay until max_entries / divisor newer ones are left


class ChangeCause(StrEnum):
    """Why a table got a new version."""

    START = "start"  # the first version of the table
    LIST = "list"  # the endpoint list changed
    POLICY = "health"  # the policy changed weights for another reason
    ADMISSION = "level"  # only admission rates or retry policies changed
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
        version: Version after the change.
        parent: Version before the change; None for the first.
        recorded_at_ns: Time of the change.
        cause: Why the table changed.
        instance: Number of the controller that made the change.
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
    """A change with its encoded content: a snapshot of the table, or a delta from the entry before."""

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
        """Record that the table has `content` from now on."""
        newest = self.newest_change
        serial = self.first_serial + len(self.entries)
        parent = newest.version if newest is not None else None
        delta = make_delta(self.newest, content) if self.newest is not None else None
        changed_count, removed_count = _change_counts(delta, content)
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
        """Return the table's content after a kept change."""
        index = serial - self.first_serial
        snapshot_index = index
        while not self.entries[snapshot_index].is_snapshot:
            snapshot_index -= 1
        content = decode_table(self.entries[snapshot_index].data)
        for entry in self.entries[snapshot_index + 1 : index + 1]:
            content = apply_delta(decode_delta(entry.data), content)
        return content

    def excess(self, now_ns: int, max_entries: int, max_age_ns: int) -> int:
        """Return how many of the oldest entries to trim now.

        The oldest remaining entry has to be turned into a snapshot, so entries are trimmed in batches:
        that happens at most once per batch of changes.
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
        """Remove the oldest `count` entries and turn the oldest remaining one into a snapshot."""
        oldest = self.content_at(self.first_serial + count)
        del self.entries[:count]
        self.first_serial += count
        self.entries[0].data = encode(oldest)
        self.entries[0].is_snapshot = True


def _change_counts(delta: Delta | None, content: Table) -> tuple[int, int]:
    """Return the number of entries that a change sets and removes; without a delta it sets all."""
    if delta is None:
        return len(content.entries), 0
    return len(delta.changed), len(delta.removed)
