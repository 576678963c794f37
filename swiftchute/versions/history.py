"""The history of a planner's tables: one entry a change, content once a version. No I/O, no clock.

    history = History(planner="0", most=1000, age=3600 * S)
    change = history.note("0.3", table, now, "list")      # None if nothing changed
    table = history.get(change.version); history.log("0.3", 20); history.find("0.3", "a1b2")
    history.hold(version); history.drop(version)            # somebody goes by it: it is kept
    way = history.way("0.3", held, wanted)                  # the shortest safe way: None, Delta or Table

Versions are kept while somebody holds them; others up to a count a table and an age. Entries are deltas with
a whole table every few, so that a history costs what changed and not what is.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from swiftchute.versions.encoding import Delta, Table, apply, decode, decode_delta, diff, encode, name

S = 1_000_000_000
ANCHOR = 32  # entries from one whole table to the next: at most so many deltas make a version
CAUSES = ("start", "list", "health", "level", "guard", "rollback", "pin", "release", "canary")


class UnknownVersionError(Exception):
    """No such version, or more than one; its text says which."""


@dataclass(frozen=True)
class VersionChange:
    """One entry: the version made, the one it was made of (none for the first), when, why, and by which
    planner."""

    table: str
    serial: int
    version: bytes
    parent: bytes | None
    at: int
    cause: str
    planner: str
    put: int  # lines set
    gone: int  # lines taken away


@dataclass
class _Entry:
    change: VersionChange
    body: bytes
    whole: bool


class _Line:
    """The entries of one table, oldest first."""

    def __init__(self) -> None:
        self.entries: list[_Entry] = []
        self.first = 0  # the serial of the oldest kept
        self.now: Table | None = None
        self.since = 0  # entries since the last whole one

    def at(self, serial: int) -> Table:
        place = serial - self.first
        base = place
        while not self.entries[base].whole:
            base -= 1
        made = decode(self.entries[base].body)
        for entry in self.entries[base + 1 : place + 1]:
            made = apply(decode_delta(entry.body), made)
        return made


class VersionHistory:
    """All tables' versions of one planner's life."""

    def __init__(self, planner: str, most: int = 1000, age: int = 3600 * S) -> None:
        """At most `most` entries a table, none older than `age`, but for the newest and for those held."""
        self.planner, self.most, self.age = planner, most, age
        self.lines: dict[str, _Line] = {}
        self.where: dict[bytes, tuple[str, int]] = {}  # the newest entry of a version
        self.holders: Counter[bytes] = Counter()
        self.apart: dict[bytes, bytes] = {}  # held versions whose entry is gone
        self.dropped = 0

    def note(self, table: str, content: Table, now: int, cause: str) -> VersionChange | None:
        """The table holds this from now on; None if that is the version it held."""
        line = self.lines.setdefault(table, _Line())
        version = name(content)
        if line.now is not None and line.entries[-1].change.version == version:
            return None
        parent = line.entries[-1].change.version if line.entries else None
        serial = line.first + len(line.entries)
        step = diff(line.now, content) if line.now is not None else None
        sizes = (len(step.put), len(step.gone)) if step else (len(content.lines), 0)
        change = VersionChange(table, serial, version, parent, now, cause, self.planner, *sizes)
        whole = step is None or line.since + 1 >= ANCHOR
        line.since = 0 if whole else line.since + 1
        line.entries.append(_Entry(change, encode(content if whole or step is None else step), whole))
        line.now = content
        self.where[version] = (table, serial)
        self.apart.pop(version, None)
        self._cut(line, now)
        return change

    def _cut(self, line: _Line, now: int) -> None:
        over = max(len(line.entries) - self.most, 0)
        while over < len(line.entries) - 1 and now - line.entries[over].change.at > self.age:
            over += 1
        # in strides, as the oldest kept must be whole: it is made so at most once in so many entries
        if over < min(ANCHOR, self.most) and over < len(line.entries) - 1 - self.most // 8:
            return
        if not over:
            return
        first = line.at(line.first + over)
        for entry in line.entries[:over]:
            version, serial = entry.change.version, entry.change.serial
            if self.where.get(version) == (entry.change.table, serial):
                if self.holders[version]:
                    self.apart[version] = encode(line.at(serial))
                del self.where[version]
        self.dropped += over
        del line.entries[:over]
        line.first += over
        line.entries[0].body, line.entries[0].whole = encode(first), True

    def hold(self, version: bytes) -> None:
        """Somebody goes by this version from now on."""
        self.holders[version] += 1

    def drop(self, version: bytes) -> None:
        """One fewer goes by it."""
        self.holders[version] -= 1
        if self.holders[version] <= 0:
            del self.holders[version]
            self.apart.pop(version, None)

    def get(self, version: bytes) -> Table | None:
        """The content of a version; None if it is not kept."""
        if version in self.apart:
            return decode(self.apart[version])
        if version not in self.where:
            return None
        table, serial = self.where[version]
        return self.lines[table].at(serial)

    def newest(self, table: str) -> Table | None:
        """What a table holds now."""
        line = self.lines.get(table)
        return line.now if line else None

    def current(self, table: str) -> VersionChange | None:
        """The newest entry of a table."""
        line = self.lines.get(table)
        return line.entries[-1].change if line else None

    def log(self, table: str | None = None, most: int = 50) -> list[VersionChange]:
        """The last changes, newest first: of one table, or of all by time."""
        rows: Iterator[VersionChange] = (
            entry.change
            for t in ([table] if table else self.lines)
            for entry in self._line(t).entries[-most:]
        )
        return sorted(rows, key=lambda c: (-c.at, c.table, -c.serial))[:most]

    def _line(self, table: str) -> _Line:
        if table not in self.lines:
            known = ", ".join(sorted(self.lines)) or "none"
            raise UnknownVersionError(f"no table {table!r}; there are {known}")
        return self.lines[table]

    def find(self, table: str, asked: str) -> VersionChange:
        """The newest entry of a table whose version begins so, or of this serial (`#12`, or `~2`: two before
        the newest). Raises `UnknownVersionError`."""
        entries = self._line(table).entries
        if asked[:1] in ("#", "~") and asked[1:].isdigit():
            back = int(asked[1:])
            place = back - self._line(table).first if asked[0] == "#" else len(entries) - 1 - back
            if 0 <= place < len(entries):
                return entries[place].change
            kept = f"#{entries[0].change.serial} to #{entries[-1].change.serial}"
            raise UnknownVersionError(f"table {table} has no entry {asked}; kept are {kept}")
        found = {
            e.change.version: e.change for e in entries if e.change.version.hex().startswith(asked.lower())
        }
        if len(found) != 1 or len(asked) < 4:
            many = f"{len(found)} versions begin with {asked!r}" if found else f"no kept version {asked!r}"
            raise UnknownVersionError(f"table {table}: {many}; give four letters or more of one")
        return next(iter(found.values()))

    def way(self, held: bytes | None, wanted: bytes) -> Delta | Table | None:
        """The shortest safe way to a kept version for somebody who holds one, known or not: nothing, a delta
        from what it does hold, or the whole. Raises `UnknownVersionError` if the wanted version is not
        kept."""
        if held == wanted:
            return None
        to = self.get(wanted)
        if to is None:
            raise UnknownVersionError(f"version {wanted.hex()} is not kept")
        of = (
            self.get(held) if held is not None else None
        )  # of another planner, or of the future: not known here
        if of is None:
            return to
        step = diff(of, to)
        return step if len(encode(step)) < len(encode(to)) else to
