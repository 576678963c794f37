"""Discovery's list and its watch, over HTTP/1.1 by h11. No I/O, no clock.

    catalog = EndpointList(zones)
    news = catalog.held(known)                  # the list of the configuration: the first news
    watch = DiscoveryWatch(catalog, host)
    watch.request()                             # bytes to write; the watch goes on from the last revision
    for news in watch.received(data, now): ...  # may raise DiscoveryError: connect again
    news = watch.caught_up(now)                 # from time to time, while `watch.behind`

An entry that cannot be used is passed over and counted; what is known of its server stands.

A watch that begins with a whole list of an older revision is of a discovery that lags, or of one that
started over: only time tells. Until it has caught up, or for as long as what is to be told may take, it is
believed in what ends a server alone: a drain or an end of the same life. Then its list is the list.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Annotated

import h11
import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.platform.errors import DiscoveryError

MS = 1_000_000
PATH = "/catalog/members"
SERVERS_MOST = 20_000  # servers of a list
LINE_MOST = 8 << 20  # bytes of one line of a watch
CATCH_UP = 6_000_000_000  # ns; what discovery has to tell has arrived by then, the protocol says
_STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


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
class ListUpdate:
    """What a line brings, in the words of `interface`: "held", "whole" or "changes"; and entries that were
    passed over, with why."""

    scope: str
    entries: tuple[EndpointRecord, ...]
    passed: tuple[str, ...] = ()


@dataclass
class Behind:
    """What a watch told that began with an older whole list: that list with the changes since."""

    since: int
    revision: int
    servers: dict[str, EndpointRecord]


@dataclass
class EndpointList:
    """The last good list and its revision; it outlives every watch."""

    zones: tuple[str, ...]
    revision: int | None = None
    servers: dict[str, EndpointRecord] = field(default_factory=dict)
    stale: int = 0  # lines that told of nothing newer

    def held(self, text: bytes) -> ListUpdate:
        """The list as this planner last had it. Raises `DiscoveryError`."""
        given, found, passed = self.read(text)
        return self._whole(given.revision, self._kept(found, passed), "held", passed)

    def line(self, text: bytes) -> ListUpdate | None:
        """One line of a watch that is not behind. Raises `DiscoveryError`."""
        return self._line(*self.read(text))

    def _line(self, given: _List, found: dict[str, EndpointRecord], passed: list[str]) -> ListUpdate | None:
        if self.older(given.revision):
            self.stale += 1  # late: what is known is newer
            return None
        if given.complete:
            return self._whole(given.revision, self._kept(found, passed), "whole", passed)
        self.revision = given.revision
        return self._changes(found, passed)

    def older(self, revision: int) -> bool:
        """Whether more than this revision is known."""
        return self.revision is not None and revision < self.revision

    def read(self, text: bytes) -> tuple[_List, dict[str, EndpointRecord], list[str]]:
        """A line with its entries, and those passed over with why. Raises `DiscoveryError`."""
        try:
            given = _lists.decode(text)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
            raise DiscoveryError(f"not a list: {why}") from None
        if len(given.members) > SERVERS_MOST:
            raise DiscoveryError(f"{len(given.members)} members; {SERVERS_MOST} at most")
        passed: list[str] = []
        found: dict[str, EndpointRecord] = {}
        for place, raw in enumerate(given.members, 1):
            entry = self._entry(bytes(raw), place, passed)
            if entry is not None:
                found[entry.endpoint] = entry
        return given, found, passed

    def _kept(self, found: dict[str, EndpointRecord], passed: list[str]) -> dict[str, EndpointRecord]:
        """The servers of a whole list."""
        kept = {n: e for n, e in found.items() if e.state != EndpointState.REMOVED}
        if not kept and self.servers:
            raise DiscoveryError("a whole list without a server")
        if passed:  # one of them may be a server that is known: it is not gone for that
            kept = {n: e for n, e in self.servers.items() if n not in kept} | kept
        return kept

    def _whole(
        self, revision: int, servers: dict[str, EndpointRecord], scope: str, passed: list[str]
    ) -> ListUpdate:
        self.revision, self.servers = revision, servers
        return ListUpdate(scope, tuple(servers.values()), tuple(passed))

    def _changes(self, found: dict[str, EndpointRecord], passed: list[str]) -> ListUpdate | None:
        for server, entry in list(found.items()):
            if entry.state == EndpointState.REMOVED:
                self.servers.pop(server, None)
            elif server in self.servers or len(self.servers) < SERVERS_MOST:
                self.servers[server] = entry
            else:
                passed.append(f"{server!r}: more than {SERVERS_MOST} servers")
                del found[server]
        return ListUpdate("changes", tuple(found.values()), tuple(passed)) if found or passed else None

    # -- a watch that is behind

    def begin_behind(self, text: bytes, now: int) -> tuple[Behind | None, ListUpdate | None]:
        """The first line of a watch: its list if it lags, and the update in it."""
        given, found, passed = self.read(text)
        if not (given.complete and self.older(given.revision)):
            return None, self._line(given, found, passed)
        self.stale += 1
        return Behind(now, given.revision, self._kept(found, passed)), self._ends(found, passed)

    def follow(self, behind: Behind, text: bytes) -> ListUpdate | None:
        """A later line of a watch that is behind. Raises `DiscoveryError`."""
        given, found, passed = self.read(text)
        if given.complete:
            behind.servers = self._kept(found, passed)
        else:
            behind.servers = {
                n: e for n, e in (behind.servers | found).items() if e.state != EndpointState.REMOVED
            }
        if len(behind.servers) > SERVERS_MOST:
            raise DiscoveryError(f"more than {SERVERS_MOST} servers")
        behind.revision = given.revision
        return self._ends(found, passed)

    def _ends(self, found: dict[str, EndpointRecord], passed: list[str]) -> ListUpdate | None:
        """Of entries that may be old: drains and ends of a life that goes on here."""
        ends = {
            server: entry
            for server, entry in found.items()
            if entry.state != EndpointState.READY
            and server in self.servers
            and entry.started_ns >= self.servers[server].started_ns
            and entry.state != self.servers[server].state
        }
        return self._changes(ends, passed)

    def caught_up(self, behind: Behind) -> ListUpdate:
        """The list of a watch that was behind is the list now."""
        return self._whole(behind.revision, dict(behind.servers), "whole", [])

    def _entry(self, raw: bytes, place: int, passed: list[str]) -> EndpointRecord | None:
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
        return EndpointRecord(
            member.id, member.locality, member.flavor, member.cell, state, member.size, started
        )


class DiscoveryWatch:
    """One connection to discovery."""

    def __init__(self, catalog: EndpointList, host: str) -> None:
        """`host` is what the request names as its host."""
        self.catalog, self.host = catalog, host
        self.http = h11.Connection(h11.CLIENT)
        self.rest = bytearray()
        self.answered = False  # the answer's head has come
        self.begun = False  # a line came, be it an empty one
        self.told = False  # a list or changes came on this connection
        self.behind: Behind | None = None

    def request(self) -> bytes:
        """The request of the watch, from the last revision on."""
        after = "" if self.catalog.revision is None else f"&after={self.catalog.revision}"
        asked = h11.Request(
            method="GET",
            target=f"{PATH}?watch=1{after}",
            headers=[("Host", self.host), ("Accept", "application/json")],
        )
        return (self.http.send(asked) or b"") + (self.http.send(h11.EndOfMessage()) or b"")

    def received(self, data: bytes, now: int) -> Iterator[ListUpdate]:
        """Take in bytes, in pieces of any size; no bytes are the end of the connection."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise DiscoveryError(f"status {event.status_code}")
                    self.answered = True
                elif isinstance(event, h11.Data):
                    yield from self._lines(bytes(event.data), now)
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    raise DiscoveryError("the watch ended")
        except h11.RemoteProtocolError as why:
            raise DiscoveryError(f"not HTTP: {why}") from None

    def _lines(self, data: bytes, now: int) -> Iterator[ListUpdate]:
        self.rest += data
        if b"\n" in data:
            *lines, rest = bytes(self.rest).split(b"\n")
            self.rest = bytearray(rest)
            self.begun = True
            for line in lines:
                if line.strip():
                    news = self._line(line, now)
                    if news is not None:
                        yield news
                    news = self.caught_up(now)
                    if news is not None:
                        yield news
        if len(self.rest) > LINE_MOST:
            raise DiscoveryError(f"a line of more than {LINE_MOST} bytes")

    def _line(self, line: bytes, now: int) -> ListUpdate | None:
        first, self.told = not self.told, True
        if first:
            self.behind, news = self.catalog.begin_behind(line, now)
            return news
        if self.behind is not None:
            return self.catalog.follow(self.behind, line)
        return self.catalog.line(line)

    def caught_up(self, now: int) -> ListUpdate | None:
        """Its list becomes the list once it tells of all that is known, or has had the time to."""
        behind = self.behind
        if behind is None or self.catalog.older(behind.revision) and now - behind.since < CATCH_UP:
            return None
        self.behind = None
        return self.catalog.caught_up(behind)
