"""An independent model of the platform's egress channel that checks queue length and message quota.

Messages leave one after the other at a fixed rate. Messages for a stream that has ended stay in the queue
until they would have left.
"""

import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any

S = 1_000_000_000


@dataclass
class QueuedMessage:
    """A message in the channel's queue."""

    stream: Any
    nonce: int | None
    entries: int


@dataclass
class Channel:
    """The egress channel of one instance."""

    rate_per_s: float
    limit: float  # entries in the queue
    overhead: int  # entries that each message costs in addition
    quota: int = 0
    quota_window_ns: int = 10 * S
    waiting: deque = field(default_factory=deque)
    queued: int = 0  # entries
    largest: int = 0  # most entries queued so far
    over_limit: list = field(default_factory=list)  # (time, queued entries)
    over_quota: list = field(default_factory=list)  # (time, stream)
    messages: int = 0
    _times: dict = field(default_factory=dict)  # times of messages, by stream
    _partial: dict = field(default_factory=dict)  # entries of a message whose last part is still missing
    _free_at_ns: int = 0

    def receive(self, stream, line, now):
        """Process a line that the instance wrote to a stream."""
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
        self.waiting.append(QueuedMessage(stream, part.get("nonce_out"), entries + self.overhead))
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
        """Remove and return the messages that have left by now, in order."""
        departed = []
        while self.waiting:
            departure_ns = self._free_at_ns + int(self.waiting[0].entries / self.rate_per_s * S)
            if departure_ns > now:
                break
            self._free_at_ns = departure_ns
            message = self.waiting.popleft()
            self.queued -= message.entries
            departed.append(message)
        return departed


def part_entries(part):
    """Return the number of entries in one part of a message, as the protocol counts them."""
    lists = sum(len(part.get(name, ())) for name in ("endpoints", "eject", "restore"))
    return lists + bool(part.get("full")) + ("admit" in part) + ("nonce_out" in part)
