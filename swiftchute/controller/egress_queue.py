"""A bounded queue of messages to proxies, sent at a fixed rate, with at most one waiting message per proxy.

A message costs its overhead plus its entries. Messages are sent in order, and each takes its cost divided by
the rate. New entries for a proxy with a waiting message are merged into that message, which keeps its place.
No I/O and no clock: the caller passes the time.
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
    """Messages waiting to be sent, by proxy and in order."""

    rate_entries_per_s: float
    limit_entries: float
    overhead_entries: float  # fixed cost of a message
    message_quota: int = 0  # messages to one proxy within the window; 0: no limit
    quota_window_ns: int = DEFAULT_QUOTA_WINDOW_NS
    waiting: dict[Any, float] = field(default_factory=dict)  # entries by proxy
    queued_entries: float = 0.0
    busy_until_ns: int = 0  # when the transmission of the last popped message ends
    send_times_ns: dict[Any, deque[int]] = field(default_factory=dict)  # by proxy, within the quota window
    counters: EgressCounters = field(default_factory=EgressCounters)

    def enqueue(self, entries_by_proxy: dict[Any, int], now: int) -> list[Any]:
        """Queue the messages of a round; return the proxies whose message would exceed the limit.

        Those messages are not queued. The caller must end the sessions of these proxies, so that the tables
        they hold are known again once they reconnect.
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
        """Remove and return the messages sent by `now`, in order, as (proxy, cost in entries)."""
        sent: list[tuple[Any, float]] = []
        for proxy in list(self.waiting):
            cost = self.waiting[proxy]
            end_ns = self._transmission_end_ns(cost)
            if end_ns > now:
                break
            if not self._within_quota(proxy, now):
                self.counters.quota_delays += 1
                continue
            self.busy_until_ns = end_ns
            self.drop(proxy)
            if self.message_quota:
                self.send_times_ns.setdefault(proxy, deque(maxlen=self.message_quota)).append(now)
            self.counters.messages += 1
            self.counters.entries += cost
            sent.append((proxy, cost))
        return sent

    def utilization(self, proxies: Iterable[Any], drain_wait_ns: int, now: int) -> float:
        """Return how much of the tightest limit is used, as a fraction from 0 to 1.

        The limits are the maximum of queued entries, the entries that can be sent within `drain_wait_ns` (a
        drain waits behind the queued entries), and the message quotas of the proxies.
        """
        used = self.queued_entries / min(
            self.limit_entries, self.rate_entries_per_s * drain_wait_ns / NS_PER_S
        )
        for proxy in proxies if self.message_quota else ():
            sent = self.send_times_ns.get(proxy)
            if sent and not self._within_quota(proxy, now):
                return 1.0
            used = max(used, len(sent) / self.message_quota if sent else 0.0)
        return used

    def drop(self, proxy: Any) -> None:
        """Remove the waiting message of a proxy."""
        self.queued_entries -= self.waiting.pop(proxy, 0.0)
        if not self.waiting:
            self.queued_entries = 0.0

    def drop_all(self) -> None:
        """Remove all waiting messages; messages already sent still count towards the quotas."""
        self.waiting, self.queued_entries = {}, 0.0

    def on_proxy_disconnected(self, proxy: Any) -> None:
        """Drop the waiting message of a proxy, and reset its message quota."""
        self.drop(proxy)
        self.send_times_ns.pop(proxy, None)

    @property
    def next_deadline_ns(self) -> int | None:
        """The earliest time at which a message can be sent; None if no message waits."""
        times = []
        for proxy, cost in self.waiting.items():
            end_ns = self._transmission_end_ns(cost)
            earlier = self.send_times_ns.get(proxy)
            if self.message_quota and earlier and len(earlier) >= self.message_quota:
                times.append(max(end_ns, earlier[0] + self.quota_window_ns + 1))
                continue
            times.append(end_ns)
            break
        return min(times, default=None)

    def _transmission_end_ns(self, cost: float) -> int:
        """Return when the transmission of a message of this cost ends, if it is the next one."""
        return self.busy_until_ns + int(cost / self.rate_entries_per_s * NS_PER_S)

    def _within_quota(self, proxy: Any, now: int) -> bool:
        sent = self.send_times_ns.get(proxy)
        while sent and now - sent[0] > self.quota_window_ns:
            sent.popleft()
        return not self.message_quota or not sent or len(sent) < self.message_quota
