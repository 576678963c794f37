"""Discovery's list and its watch, over HTTP/1.1 by h11. No I/O, no clock.

    catalog = Catalog(zones)
    news = catalog.held(known)              # the list of the configuration: the first news
    watch = Watch(catalog, host)
    watch.request()                         # bytes to write; the watch goes on from the last revision
    for news in watch.received(data): ...   # News; raises BadWatch: dial again, the last good list stays

An entry that cannot be used is passed over and counted; what is known of its server stands.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated

import h11
import msgspec

from swiftchute.interface import Entry

MS = 1_000_000
PATH = "/catalog/members"
SERVERS_MOST = 20_000  # servers of a list
LINE_MOST = 8 << 20  # bytes of one line of a watch
SILENT = 7.0  # s after which a watch is over; an empty line comes every 2 s
_STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class BadWatch(Exception):
    """An answer that cannot be believed or read; its text says why."""


class _Member(msgspec.Struct):
    id: Name
    locality: str
    phase: str
    flavor: str = ""
    cell: int = 0
    size: Annotated[float, msgspec.Meta(gt=0, le=1e12)] = 1.0
    up_since_ms: (
        Annotated[int, msgspec.Meta(ge=0, le=10**15)] | Annotated[float, msgspec.Meta(ge=0, le=1e15)]
    ) = 0


class _List(msgspec.Struct):
    revision: int
    complete: bool
    members: list[msgspec.Raw]


_lists = msgspec.json.Decoder(_List)
_members = msgspec.json.Decoder(_Member)


@dataclass(frozen=True)
class News:
    """What a line brings, in the words of `interface`: "held", "whole" or "changes"; and entries that were
    passed over, with why."""

    scope: str
    entries: tuple[Entry, ...]
    passed: tuple[str, ...] = ()


@dataclass
class Catalog:
    """The last good list and its revision; it outlives every watch."""

    zones: tuple[str, ...]
    revision: int | None = None
    servers: dict[str, Entry] = field(default_factory=dict)
    stale: int = 0  # lines that told of nothing newer

    def held(self, text: bytes) -> News:
        """The list as this planner last had it. Raises `BadWatch`."""
        return self._take(self._read(text), "held", True) or News("held", ())

    def line(self, text: bytes, first: bool) -> News | None:
        """One line of a watch, the first of its connection or a later one. Raises `BadWatch`."""
        return self._take(self._read(text), "whole", first)

    def _read(self, text: bytes) -> _List:
        try:
            given = _lists.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
            raise BadWatch(f"not a list: {why}") from None
        if len(given.members) > SERVERS_MOST:
            raise BadWatch(f"{len(given.members)} members; {SERVERS_MOST} at most")
        return given

    def _take(self, given: _List, scope: str, first: bool) -> News | None:
        old = self.revision is not None and given.revision < self.revision
        if old and not (first and given.complete):
            self.stale += 1  # late: what is known is newer. A whole list at a start is discovery's own word
            return None
        passed: list[str] = []
        found: dict[str, Entry] = {}
        for place, raw in enumerate(given.members, 1):
            entry = self._entry(bytes(raw), place, passed)
            if entry is not None:
                found[entry[0]] = entry
        if not given.complete:
            self.revision = given.revision
            return self._changes(found, passed)
        kept = {n: e for n, e in found.items() if e[4] != "gone"}
        if not kept and self.servers:
            raise BadWatch("a whole list without a server")
        self.revision = given.revision
        if passed:  # one of them may be a server that is known: it is not gone for that
            kept = {n: e for n, e in self.servers.items() if n not in kept} | kept
        self.servers = kept
        return News(scope, tuple(kept.values()), tuple(passed))

    def _changes(self, found: dict[str, Entry], passed: list[str]) -> News | None:
        for server, entry in list(found.items()):
            if entry[4] == "gone":
                self.servers.pop(server, None)
            elif server in self.servers or len(self.servers) < SERVERS_MOST:
                self.servers[server] = entry
            else:
                passed.append(f"{server!r}: more than {SERVERS_MOST} servers")
                del found[server]
        return News("changes", tuple(found.values()), tuple(passed)) if found or passed else None

    def _entry(self, raw: bytes, place: int, passed: list[str]) -> Entry | None:
        try:
            member = _members.decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError) as why:
            passed.append(f"member {place}: {why}")
            return None
        state = _STATES.get(member.phase)
        if state is None or member.locality not in self.zones:
            cause = f"phase {member.phase!r}" if state is None else f"locality {member.locality!r}"
            passed.append(f"member {place}, {member.id!r}: {cause} is not known")
            return None
        started = int(member.up_since_ms * MS)
        return (member.id, member.locality, member.flavor, member.cell, state, member.size, started)


class Watch:
    """One connection to discovery."""

    def __init__(self, catalog: Catalog, host: str) -> None:
        """`host` is what the request names as its host."""
        self.catalog, self.host = catalog, host
        self.http = h11.Connection(h11.CLIENT)
        self.rest = bytearray()
        self.answered = False  # the answer's head has come
        self.told = False  # a list or changes came on this connection

    def request(self) -> bytes:
        """The request of the watch, from the last revision on."""
        after = "" if self.catalog.revision is None else f"&after={self.catalog.revision}"
        asked = h11.Request(
            method="GET",
            target=f"{PATH}?watch=1{after}",
            headers=[("Host", self.host), ("Accept", "application/json")],
        )
        return (self.http.send(asked) or b"") + (self.http.send(h11.EndOfMessage()) or b"")

    def received(self, data: bytes) -> Iterator[News]:
        """Take in bytes, in pieces of any size; no bytes are the end of the connection."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise BadWatch(f"status {event.status_code}")
                    self.answered = True
                elif isinstance(event, h11.Data):
                    yield from self._lines(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise BadWatch("the watch ended")
        except h11.RemoteProtocolError as why:
            raise BadWatch(f"not HTTP: {why}") from None

    def _lines(self, data: bytes) -> Iterator[News]:
        self.rest += data
        if b"\n" in data:
            *lines, rest = bytes(self.rest).split(b"\n")
            self.rest = bytearray(rest)
            for line in lines:
                if line.strip():
                    first, self.told = not self.told, True
                    news = self.catalog.line(line, first)
                    if news is not None:
                        yield news
        if len(self.rest) > LINE_MOST:
            raise BadWatch(f"a line of more than {LINE_MOST} bytes")
