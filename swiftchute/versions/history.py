"""History of a controller's tables: one entry per change, content once per version. No I/O, no clock.

    history = VersionHistory("0", max_entries=1000, max_age_ns=3600 * NS_PER_S)
    change = history.record("0.3", table, now_ns, "list")   # None if nothing changed
    table = history.content(change.version)
    history.changes("0.3", 20); history.find("0.3", "a1b2")
    history.retain(version); history.release(version)       # adds, and removes, a holder
    update = history.update_between(held, wanted)           # None, or the smaller of Delta and Table

A version is kept while it has a holder; others are kept up to an age and a number of entries per table.
"""

from collections import Counter
from collections.abc import Iterator

from swiftchute.versions.encoding import (
    Delta,
    Table,
    decode_table,
    encode,
    make_delta,
    version_of,
)
from swiftchute.versions.errors import UnknownVersionError
from swiftchute.versions.table_log import TableLog, VersionChange

NS_PER_S = 1_000_000_000
DEFAULT_MAX_ENTRIES = 1000
DEFAULT_MAX_AGE_NS = 3600 * NS_PER_S
DEFAULT_SHOWN_CHANGES = 50
MIN_PREFIX_CHARS = 4  # of the hexadecimal prefix that identifies a version


class VersionHistory:
    """The versions of all tables of one controller since its start."""

    def __init__(
        self, instance: str, max_entries: int = DEFAULT_MAX_ENTRIES, max_age_ns: int = DEFAULT_MAX_AGE_NS
    ) -> None:
        """Start without a table.

        Args:
            instance: Number of the controller.
            max_entries: Entries kept per table.
            max_age_ns: Age beyond which an entry is removed. The newest entry of a table and versions with a
                holder are kept.
        """
        self.instance = instance
        self.max_entries = max_entries
        self.max_age_ns = max_age_ns
        self.logs: dict[str, TableLog] = {}
        self.trimmed_count = 0
        self.detached: dict[bytes, bytes] = {}  # encoded tables of held versions whose entry was trimmed
        self._newest_entry: dict[bytes, tuple[str, int]] = {}  # table name and serial by version
        self._holder_count: Counter[bytes] = Counter()

    def record(self, table: str, content: Table, now_ns: int, cause: str) -> VersionChange | None:
        """Record that a table has `content` from now on; return None if it already had it."""
        log = self.logs.setdefault(table, TableLog())
        version = version_of(content)
        newest = log.newest_change
        if newest is not None and newest.version == version:
            return None
        change = log.append(table, content, version, now_ns, cause, self.instance)
        self._newest_entry[version] = (table, change.serial)
        self.detached.pop(version, None)
        self._trim(log, now_ns)
        return change

    def _trim(self, log: TableLog, now_ns: int) -> None:
        excess = log.excess(now_ns, self.max_entries, self.max_age_ns)
        if not excess:
            return
        for entry in log.entries[:excess]:
            change = entry.change
            if self._newest_entry.get(change.version) == (change.table, change.serial):
                if self._holder_count[change.version]:
                    self.detached[change.version] = encode(log.content_at(change.serial))
                del self._newest_entry[change.version]
        self.trimmed_count += excess
        log.trim(excess)

    def retain(self, version: bytes) -> None:
        """Add a holder of a version, which is kept while it has any."""
        self._holder_count[version] += 1

    def release(self, version: bytes) -> None:
        """Remove a holder of a version."""
        self._holder_count[version] -= 1
        if self._holder_count[version] <= 0:
            del self._holder_count[version]
            self.detached.pop(version, None)

    def content(self, version: bytes) -> Table | None:
        """Return the table of a version; None if it is not kept."""
        if version in self.detached:
            return decode_table(self.detached[version])
        if version not in self._newest_entry:
            return None
        table, serial = self._newest_entry[version]
        return self.logs[table].content_at(serial)

    def newest_content(self, table: str) -> Table | None:
        """Return the current content of a table; None if the table is unknown."""
        log = self.logs.get(table)
        return log.newest if log else None

    def newest_change(self, table: str) -> VersionChange | None:
        """Return the newest change of a table; None if the table is unknown."""
        log = self.logs.get(table)
        return log.newest_change if log else None

    def changes(self, table: str | None = None, limit: int = DEFAULT_SHOWN_CHANGES) -> list[VersionChange]:
        """Return the last changes, newest first.

        Args:
            table: Name of the table; None for all tables.
            limit: Maximum number of changes returned.

        Raises:
            UnknownVersionError: There is no such table.
        """
        rows: Iterator[VersionChange] = (
            entry.change
            for name in ([table] if table else self.logs)
            for entry in self._log(name).entries[-limit:]
        )
        newest_first = sorted(rows, key=lambda row: (-row.recorded_at_ns, row.table, -row.serial))
        return newest_first[:limit]

    def _log(self, table: str) -> TableLog:
        if table not in self.logs:
            known = ", ".join(sorted(self.logs)) or "none"
            raise UnknownVersionError(f"no table {table!r}; there are {known}")
        return self.logs[table]

    def find(self, table: str, reference: str) -> VersionChange:
        """Return the newest change of a table that a user's reference matches.

        Args:
            table: Name of the table.
            reference: `#12` for serial 12, `~2` for two changes before the newest, else a version's prefix.

        Raises:
            UnknownVersionError: There is no such change, or more than one.
        """
        log = self._log(table)
        if reference[:1] in ("#", "~") and reference[1:].isdigit():
            return self._find_by_position(table, log, reference)
        return self._find_by_prefix(table, log, reference)

    @staticmethod
    def _find_by_position(table: str, log: TableLog, reference: str) -> VersionChange:
        entries, number = log.entries, int(reference[1:])
        index = number - log.first_serial if reference[0] == "#" else len(entries) - 1 - number
        if 0 <= index < len(entries):
            return entries[index].change
        kept = f"#{entries[0].change.serial} to #{entries[-1].change.serial}"
        raise UnknownVersionError(f"table {table} has no entry {reference}; kept are {kept}")

    @staticmethod
    def _find_by_prefix(table: str, log: TableLog, prefix: str) -> VersionChange:
        found = {
            entry.change.version: entry.change
            for entry in log.entries
            if entry.change.version.hex().startswith(prefix.lower())
        }
        if len(found) != 1 or len(prefix) < MIN_PREFIX_CHARS:
            cause = f"{len(found)} versions begin with {prefix!r}" if found else f"no kept version {prefix!r}"
            raise UnknownVersionError(f"table {table}: {cause}; give at least four hexadecimal digits of one")
        return next(iter(found.values()))

    def update_between(self, held: bytes | None, wanted: bytes) -> Delta | Table | None:
        """Return the smallest safe update from one version to another.

        Args:
            held: Version that the receiver holds. None or an unknown one (of another controller, or of a
                later incarnation) gives the whole table.
            wanted: Version that the receiver should hold.

        Returns:
            None if the receiver holds the version already, else a delta or the whole table.

        Raises:
            UnknownVersionError: The wanted version is not kept.
        """
        if held == wanted:
            return None
        target = self.content(wanted)
        if target is None:
            raise UnknownVersionError(f"version {wanted.hex()} is not kept")
        base = self.content(held) if held is not None else None
        if base is None:
            return target
        delta = make_delta(base, target)
        return delta if len(encode(delta)) < len(encode(target)) else target
