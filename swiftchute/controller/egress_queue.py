"""The channel from a planner to its proxies: paced, bounded, one waiting message a proxy. No I/O, no clock
of its own.

    channel = Channel(pace=2000.0, limit=4000.0, head=6.0, messages=30, window=10 * S)
    refused = channel.put({proxy: lines}, now)
    for proxy, lines in channel.take(now): ...   # what has left by now, in order
    channel.due                                  # when the next leaves

A message costs its head and its lines, and leaves once the channel has sent all before it at `pace` lines a
second. A proxy has one message waiting at most: later orders widen it and keep its place (the document's "one
waiting push").
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

S = 1_000_000_000


@dataclass
class Counts:
    """Figures of the channel since the start; `most` is the most lines that waited at once."""

    messages: int = 0
    lines: float = 0.0
    widened: int = 0
    most: float = 0.0
    held: int = 0
    refused: int = 0


@dataclass
class Channel:
    """Waiting messages in order, by proxy; `busy` is when the last one taken has wholly left."""

    pace: float
    limit: float
    head: float
    messages: int = 0  # to a proxy within the window; 0: no limit
    window: int = 10 * S
    waiting: dict[Any, float] = field(default_factory=dict)
    lines: float = 0.0
    busy: int = 0
    written: dict[Any, deque[int]] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)

    def put(self, orders: dict[Any, int], now: int) -> list[Any]:
        """Queue a round's messages; returns the proxies whose message finds no room.

        What finds no room is not queued: the rule on the queue is kept here whatever was ordered, and the
        program lets those proxies' streams go, so that what they hold is known again when they rejoin.
        """
        refused = []
        if not self.waiting:
            self.busy = max(self.busy, now)
        for proxy, lines in orders.items():
            cost = lines if proxy in self.waiting else lines + self.head
            if self.lines + cost > self.limit:
                refused.append(proxy)
                self.counts.refused += 1
                continue
            self.counts.widened += proxy in self.waiting
            self.waiting[proxy] = self.waiting.get(proxy, 0.0) + cost
            self.lines += cost
        self.counts.most = max(self.counts.most, self.lines)
        return refused

    def take(self, now: int) -> list[tuple[Any, float]]:
        """The messages that have left by `now`; one over its proxy's allowance waits, and others pass it."""
        out: list[tuple[Any, float]] = []
        for proxy in list(self.waiting):
            cost = self.waiting[proxy]
            leaves = self.busy + int(cost / self.pace * S)
            if leaves > now:
                break
            if not self._allowed(proxy, now):
                self.counts.held += 1
                continue
            self.busy = leaves
            self.drop(proxy)
            if self.messages:
                self.written.setdefault(proxy, deque(maxlen=self.messages)).append(now)
            self.counts.messages += 1
            self.counts.lines += cost
            out.append((proxy, cost))
        return out

    def _allowed(self, proxy: Any, now: int) -> bool:
        sent = self.written.get(proxy)
        while sent and now - sent[0] > self.window:
            sent.popleft()
        return not self.messages or not sent or len(sent) < self.messages

    def spent(self, proxies: Iterable[Any], within: int, now: int) -> float:
        """The part of the rule on the queue that is used up: of its lines, of what leaves `within` so long (a
        drain waits behind it), or of these proxies' messages."""
        used = self.lines / min(self.limit, self.pace * within / S)
        for proxy in proxies if self.messages else ():
            sent = self.written.get(proxy)
            if sent and not self._allowed(proxy, now):
                return 1.0
            used = max(used, len(sent) / self.messages if sent else 0.0)
        return used

    def drop(self, proxy: Any) -> None:
        """Forget what waits for a proxy."""
        self.lines -= self.waiting.pop(proxy, 0.0)
        if not self.waiting:
            self.lines = 0.0

    def left(self, proxy: Any) -> None:
        """A proxy's stream broke: what waits for it is lost, and its allowance is counted from its
        next joining."""
        self.drop(proxy)
        self.written.pop(proxy, None)

    @property
    def due(self) -> int | None:
        """When the next message may leave, if one waits (no sooner than when an allowance opens)."""
        times = []
        for proxy, cost in self.waiting.items():
            leaves = self.busy + int(cost / self.pace * S)
            sent = self.written.get(proxy)
            if self.messages and sent and len(sent) >= self.messages:
                leaves = max(leaves, sent[0] + self.window + 1)
                times.append(leaves)
                continue
            times.append(leaves)
            break
        return min(times, default=None)
