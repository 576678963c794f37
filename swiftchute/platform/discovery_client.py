"""Which connections to discovery there are, whose news is heard, and when to dial again. No I/O, no clock.

    watches = DiscoveryClient(catalog, random)
    watches.at(address, now)                        # at the start, and when the address changes
    for news in watches.tend(now): ...              # from a timer
    for act in watches.acts(now): ...               # to be carried out; after each other call
    data = watches.connected(link)                  # bytes to write; None: nobody owns it any more, end it
    for news in watches.received(link, data, now): ...
    watches.ended(link, cause, now)                 # it broke, or its dial failed
    watches.take_events()

At most two links are owned: the newest, and the one before it until the newest has brought a line and tells
of all that is known. Both are heard; what any other one brings is nobody's. So a change of the address, or a
watch that has fallen silent, leaves no gap, and neither does a discovery that lags behind the one before.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from swiftchute.platform.endpoint_list import DiscoveryWatch, EndpointList, ListUpdate
from swiftchute.platform.errors import DiscoveryError

S = 1_000_000_000
Address = tuple[str, int]
# An empty line comes every 2 s, and what is to be told counts as told 6 s later: two lines that are missed, a
# dial and its answer have to fit into that.
SILENT = 21 * S // 5  # a watch that says nothing for so long is dialled anew
ANSWER_WITHIN = S  # from a dial to the head of the answer
WAIT_FIRST, WAIT_MOST = S // 10, S  # between two dials, with jitter


@dataclass(eq=False)
class DiscoveryConnection:
    """One connection to discovery, from its dial on."""

    address: Address
    watch: DiscoveryWatch
    since: int  # when it was dialled, or last heard
    doubted: bool = False  # nothing heard for too long, seen once
    tag: Any = None  # the shell's


@dataclass(frozen=True)
class OpenConnection:
    """Connect, and call `connected` or `ended`."""

    link: DiscoveryConnection


@dataclass(frozen=True)
class CloseConnection:
    """End the connection or its dial; nothing of it is heard any more."""

    link: DiscoveryConnection


@dataclass
class DiscoveryClient:
    """The links of one planner to discovery."""

    catalog: EndpointList
    random: Random
    address: Address | None = None
    newest: DiscoveryConnection | None = None
    before: DiscoveryConnection | None = None  # heard until the newest is answered
    wait: int = WAIT_FIRST
    dial_at: int = 0
    ending: list[DiscoveryConnection] = field(default_factory=list)
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)

    def at(self, address: Address, now: int) -> None:
        """Watch discovery there; the watch before is heard until this one is answered."""
        if address == self.address:
            return
        self.address, self.wait, self.dial_at = address, WAIT_FIRST, now
        self._step_back()

    def _step_back(self) -> None:
        """The newest makes room: as the one before, if it was ever answered."""
        link, self.newest = self.newest, None
        if link is not None and link.watch.answered:
            link, self.before = self.before, link
        if link is not None:
            self.ending.append(link)

    def owned(self, link: DiscoveryConnection) -> bool:
        """Whether its news is heard."""
        return link is self.newest or link is self.before

    def acts(self, now: int) -> Iterator[OpenConnection | CloseConnection]:
        """What is to be done now."""
        if self.newest is None and self.address is not None and now >= self.dial_at:
            self.newest = DiscoveryConnection(
                self.address, DiscoveryWatch(self.catalog, "{}:{}".format(*self.address)), now
            )
            yield OpenConnection(self.newest)
        ending, self.ending = self.ending, []
        for link in ending:
            yield CloseConnection(link)

    def tend(self, now: int) -> Iterator[ListUpdate]:
        """Look at time: watches that fell silent, and lists that are now believed. Sockets are read between
        two calls."""
        link = self.newest
        if link is not None and now - link.since > (SILENT if link.watch.answered else ANSWER_WITHIN):
            if link.doubted:
                answered = link.watch.answered
                cause = "silent" if answered else "no answer"
                self._lost(link, f"{cause} for {(now - link.since) / S:.1f} s", now, not answered)
                self._step_back()
            # Its bytes may lie in the socket while this process stood still: one reading more is waited for.
            link.doubted = True
        for link in (self.before, self.newest):
            news = link.watch.caught_up(now) if link is not None else None
            if news is not None:
                yield news

    def _lost(self, link: DiscoveryConnection, cause: str, now: int, later: bool) -> None:
        """The newest is no good any more: the next dial follows, at once or after a wait."""
        self.events.append(("discovery lost", {"address": "{}:{}".format(*link.address), "cause": cause}))
        if link.watch.told:
            self.wait = WAIT_FIRST
        self.dial_at = now
        if later:
            self.dial_at += int(self.wait * self.random.uniform(0.5, 1.0))
            self.wait = min(2 * self.wait, WAIT_MOST)

    def connected(self, link: DiscoveryConnection) -> bytes | None:
        """A dial came up; what is to be written, or None if nobody owns the link any more."""
        return link.watch.request() if self.owned(link) else None

    def received(self, link: DiscoveryConnection, data: bytes, now: int) -> Iterator[ListUpdate]:
        """Bytes came on a link."""
        if not self.owned(link):
            return
        link.since, link.doubted = now, False
        try:
            yield from link.watch.received(data, now)
        except DiscoveryError as why:
            self.ending.append(link)
            self.ended(link, str(why), now)
        watch = link.watch
        if link is self.newest and self.before is not None and watch.begun and watch.behind is None:
            self.ending.append(self.before)
            self.before = None

    def ended(self, link: DiscoveryConnection, cause: str, now: int) -> None:
        """A link broke, or its dial failed."""
        if link is self.before:
            self.before = None
        elif link is self.newest:
            self.newest = None
            self._lost(link, cause, now, True)

    def take_events(self) -> list[tuple[str, dict[str, Any]]]:
        """The events since the last call."""
        out, self.events = self.events, []
        return out
