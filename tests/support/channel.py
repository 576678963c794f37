"""A model of the platform's channel, from outside: it checks the egress queue and the quota of messages.

Messages leave one after the other at a fixed rate. What waits for a stream that has ended stays in the queue
until it would have left.
"""

import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any

S = 1_000_000_000


@dataclass
class Waiting:
    """A message that has not left the channel."""

    stream: Any
    nonce: int | None
    entries: int


@dataclass
class Channel:
    """The queue of one instance."""

    rate_per_s: float
    limit: float
    overhead: int
    quota: int = 0
    quota_window_ns: int = 10 * S
    waiting: deque = field(default_factory=deque)
    queued: int = 0
    largest: int = 0
    over_limit: list = field(default_factory=list)  # (time, entries that waited)
    over_quota: list = field(default_factory=list)  # (time, stream)
    messages: int = 0
    _times: dict = field(default_factory=dict)  # of messages, by stream
    _partial: dict = field(default_factory=dict)  # entries of a message whose last part has not come
    _free_at_ns: int = 0

    def receive(self, stream, line, now):
        """A line that the instance wrote on a stream."""
        part = json.loads(line)
        if part.get("msg") != "push":
            return
        entries = self._partial.pop(stream, 0) + part_entries(part)
        if part.get("continued"):
            self._partial[stream] = entries
            return
        self.leave(now)
        if not self.waiting:
            self._free_at_ns = now
        self.waiting.append(Waiting(stream, part.get("nonce_out"), entries + self.overhead))
        self.queued += entries + self.overhead
        self.messages += 1
        self.largest = max(self.largest, self.queued)
        if self.queued > self.limit:
            self.over_limit.append((now, self.queued))
        self._check_quota(stream, now)

    def _check_quota(self, stream, now):
        times = self._times.setdefault(stream, deque())
        times.append(now)
        while now - times[0] > self.quota_window_ns:
            times.popleft()
        if self.quota and len(times) > self.quota:
            self.over_quota.append((now, stream))

    def leave(self, now):
        """Remove what has left by now; return the messages, in order."""
        left = []
        while self.waiting:
            at = self._free_at_ns + int(self.waiting[0].entries / self.rate_per_s * S)
            if at > now:
                break
            self._free_at_ns = at
            message = self.waiting.popleft()
            self.queued -= message.entries
            left.append(message)
        return left


def part_entries(part):
    """The entries of one part of a message, as the protocol counts them."""
    lists = sum(len(part.get(name, ())) for name in ("endpoints", "eject", "restore"))
    return lists + bool(part.get("full")) + ("admit" in part) + ("nonce_out" in part)
