"""The queue of messages to proxies: bounded, sent at a fixed rate, one waiting message per proxy.

A message costs its overhead and its entries, and is sent once everything before it has been sent at the rate
of the queue. Entries for a proxy that already waits are merged into its message, which keeps its place. No
I/O: the time comes in with each call.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

NS_PER_S = 1_000_000_000
DEFAULT_QUOTA_WINDOW_NS = 10 * NS_PER_S


@dataclass(slots=True)
class EgressCounters:
    """Totals since the start."""

    messages: int = 0
    entries: float = 0.0
    merged: int = 0
    max_queued_entries: float = 0.0
    quota_delays: int = 0
    rejected: int = 0


@dataclass(slots=True)
class EgressQueue:
    """Waiting messages by proxy, in order."""

    rate_entries_per_s: float
    limit_entries: float
    overhead_entries: float  # fixed cost of a message
    message_quota: int = 0  # messages to one proxy within the window; 0: no limit
    quota_window_ns: int = DEFAULT_QUOTA_WINDOW_NS
    waiting: dict[Any, float] = field(default_factory=dict)  # entries by proxy
    queued_entries: float = 0.0
    busy_until_ns: int = 0  # when the last message that was taken has been sent
    sent_at_ns: dict[Any, deque[int]] = field(default_factory=dict)  # by proxy, within the window
    counters: EgressCounters = field(default_factory=EgressCounters)

    def enqueue(self, entries_by_proxy: dict[Any, int], now: int) -> list[Any]:
        """Queue the messages of a round; return the proxies whose message exceeds the limit.

        Such a message is not queued. The caller ends the sessions of those proxies, so that what they hold is
        known again when they reconnect.
        """
        rejected = []
        if not self.waiting:
            self.busy_until_ns = max(self.busy_until_ns, now)
        for proxy, entries in entries_by_proxy.items():
            cost = entries if proxy in self.waiting else entries + self.overhead_entries
            if self.queued_entries + cost > self.limit_entries:
                rejected.append(proxy)
                self.counters.rejected += 1
                continue
            self.counters.merged += proxy in self.waiting
            self.waiting[proxy] = self.waiting.get(proxy, 0.0) + cost
            self.queued_entries += cost
        self.counters.max_queued_entries = max(self.counters.max_queued_entries, self.queued_entries)
        return rejected

    def pop_sent(self, now: int) -> list[tuple[Any, float]]:
        """Remove and return the messages sent by now, in order, as (proxy, cost in entries)."""
        sent: list[tuple[Any, float]] = []
        for proxy in list(self.waiting):
            cost = self.waiting[proxy]
            sent_at_ns = self._sent_at_ns(cost)
            if sent_at_ns > now:
                break
            if not self._within_quota(proxy, now):
                self.counters.quota_delays += 1
                continue
            self.busy_until_ns = sent_at_ns
            self.drop(proxy)
            if self.message_quota:
                self.sent_at_ns.setdefault(proxy, deque(maxlen=self.message_quota)).append(now)
            self.counters.messages += 1
            self.counters.entries += cost
            sent.append((proxy, cost))
        return sent

    def utilization(self, proxies: Iterable[Any], drain_wait_ns: int, now: int) -> float:
        """Return the used part (0 to 1) of the tightest limit.

        The limits are that on queued entries, that on what is sent within `drain_wait_ns` (a drain waits
        behind it), and the message quotas of the proxies.
        """
        used = self.queued_entries / min(
            self.limit_entries, self.rate_entries_per_s * drain_wait_ns / NS_PER_S
        )
        for proxy in proxies if self.message_quota else ():
            sent = self.sent_at_ns.get(proxy)
            if sent and not self._within_quota(proxy, now):
                return 1.0
            used = max(used, len(sent) / self.message_quota if sent else 0.0)
        return used

    def drop(self, proxy: Any) -> None:
        """Remove the message that waits for a proxy."""
        self.queued_entries -= self.waiting.pop(proxy, 0.0)
        if not self.waiting:
            self.queued_entries = 0.0

    def drop_all(self) -> None:
        """Remove all waiting messages; what was sent still counts for the message quotas."""
        self.waiting, self.queued_entries = {}, 0.0

    def on_proxy_disconnected(self, proxy: Any) -> None:
        """Drop what waits for a proxy; its quota is counted anew from its next connection on."""
        self.drop(proxy)
        self.sent_at_ns.pop(proxy, None)

    @property
    def next_deadline_ns(self) -> int | None:
        """When the next message can be sent, at the earliest; None without one."""
        times = []
        for proxy, cost in self.waiting.items():
            sent_at_ns = self._sent_at_ns(cost)
            earlier = self.sent_at_ns.get(proxy)
            if self.message_quota and earlier and len(earlier) >= self.message_quota:
                times.append(max(sent_at_ns, earlier[0] + self.quota_window_ns + 1))
                continue
            times.append(sent_at_ns)
            break
        return min(times, default=None)

    def _sent_at_ns(self, cost: float) -> int:
        """Return when a message of this cost has been sent, if it is the next."""
        return self.busy_until_ns + int(cost / self.rate_entries_per_s * NS_PER_S)

    def _within_quota(self, proxy: Any, now: int) -> bool:
        sent = self.sent_at_ns.get(proxy)
        while sent and now - sent[0] > self.quota_window_ns:
            sent.popleft()
        return not self.message_quota or not sent or len(sent) < self.message_quota
