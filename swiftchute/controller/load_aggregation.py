"""Aggregates the load reports of proxies into load events for the policy, at a bounded rate.

    aggregator = LoadAggregator(rate_entries_per_s=100.0, interval_ns=NS_PER_S)
    aggregator.add(proxy, zone, report, known_endpoints, now)
    events = aggregator.pop_due(now)

Totals over the rate limit keep adding up and are delivered later, oldest first.
"""

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass
from typing import Any, NamedTuple

from swiftchute.api.events import DemandReport, EndpointLoadReport, Event

NS_PER_S = 1_000_000_000
MAX_PENDING_KEYS = 100_000  # beyond it, entries with a new key are dropped and counted
UNKNOWN_LATENCY_NS = 1  # without any measured latency; 0 would look infinitely fast to the policy


class DemandEntry(NamedTuple):
    """Requests for one operation received by a proxy."""

    operation: str
    requests: int
    failures: int


class EndpointEntry(NamedTuple):
    """Attempts of a proxy to reach one endpoint."""

    endpoint: str
    attempts: int
    failures: int
    latency_sum_ns: int  # of the successful attempts with a measured latency
    latency_count: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The counts of one proxy over a time window."""

    window_ns: int
    demand: tuple[DemandEntry, ...]
    endpoints: tuple[EndpointEntry, ...]


class _Key(NamedTuple):
    event_type: type[Event]  # `DemandReport` or `EndpointLoadReport`
    source: Any  # the proxy for demand, the zone of the proxies for endpoint load
    name: str  # of the operation, or of the endpoint


@dataclass(slots=True)
class _Totals:
    start_ns: int
    requests: int = 0
    failures: int = 0
    latency_sum_ns: int = 0
    latency_count: int = 0


class LoadAggregator:
    """Totals that wait for delivery, in the order in which they were started."""

    def __init__(self, rate_entries_per_s: float, interval_ns: int) -> None:
        """Deliver at most `rate_entries_per_s`, once per interval."""
        self.rate_entries_per_s, self.interval_ns = rate_entries_per_s, interval_ns
        self.pending: OrderedDict[_Key, _Totals] = OrderedDict()
        self.allowance_entries, self.refilled_at_ns = rate_entries_per_s, 0
        self.dropped = 0
        self.next_delivery_ns = 0

    def add(
        self, proxy: Any, zone: str, report: LoadReport, known_endpoints: Container[str], now: int
    ) -> None:
        """Add the report of a proxy; entries of unknown endpoints are ignored."""
        start_ns = now - report.window_ns
        for operation, requests, failures in report.demand:
            self._add(_Key(DemandReport, proxy, operation), start_ns, requests, failures)
        for endpoint, attempts, failures, latency_sum_ns, latency_count in report.endpoints:
            if endpoint in known_endpoints:  # unknown ones would use up the allowance
                key = _Key(EndpointLoadReport, zone, endpoint)
                self._add(key, start_ns, attempts, failures, latency_sum_ns, latency_count)

    def on_proxy_disconnected(self, proxy: Any) -> None:
        """Drop the pending demand totals of a disconnected proxy."""
        for key in [key for key in self.pending if key.event_type is DemandReport and key.source == proxy]:
            del self.pending[key]

    def pop_due(self, now: int) -> list[Event]:
        """Return the events that may be delivered now; empty until the interval has passed."""
        if now < self.next_delivery_ns:
            return []
        self.next_delivery_ns = now + self.interval_ns
        self._refill(now)
        events: list[Event] = []
        mean_latency_ns = self._mean_latency_ns()
        while self.pending and self.allowance_entries >= 1:
            self.allowance_entries -= 1
            key, totals = self.pending.popitem(last=False)
            events.append(_event(key, totals, mean_latency_ns, now))
        return events

    @property
    def next_deadline_ns(self) -> int | None:
        """When the next totals may be delivered; None if there are none."""
        return self.next_delivery_ns if self.pending else None

    def _add(
        self,
        key: _Key,
        start_ns: int,
        requests: int,
        failures: int,
        latency_sum_ns: int = 0,
        latency_count: int = 0,
    ) -> None:
        totals = self.pending.get(key)
        if totals is None:
            if len(self.pending) >= MAX_PENDING_KEYS:
                self.dropped += 1
                return
            totals = self.pending[key] = _Totals(start_ns)
        totals.start_ns = min(totals.start_ns, start_ns)
        totals.requests += requests
        totals.failures += failures
        totals.latency_sum_ns += latency_sum_ns
        totals.latency_count += latency_count

    def _refill(self, now: int) -> None:
        """Refill the allowance for the elapsed time, up to that of one interval or second, the longer one."""
        limit = self.rate_entries_per_s * max(self.interval_ns, NS_PER_S) / NS_PER_S
        gained = self.rate_entries_per_s * (now - self.refilled_at_ns) / NS_PER_S
        self.allowance_entries = min(limit, self.allowance_entries + gained)
        self.refilled_at_ns = now

    def _mean_latency_ns(self) -> int:
        """Return the mean latency over all pending endpoint totals."""
        totals = [totals for key, totals in self.pending.items() if key.event_type is EndpointLoadReport]
        count = sum(each.latency_count for each in totals)
        return sum(each.latency_sum_ns for each in totals) // count if count else UNKNOWN_LATENCY_NS


def _event(key: _Key, totals: _Totals, mean_latency_ns: int, now: int) -> Event:
    """Convert totals to an event; endpoints without a measured latency get the mean of the others."""
    window_ns = max(now - totals.start_ns, 1)
    if key.event_type is DemandReport:
        return DemandReport(key.source, key.name, totals.requests, totals.failures, window_ns)
    latency_ns = totals.latency_sum_ns // totals.latency_count if totals.latency_count else mean_latency_ns
    succeeded = totals.requests > totals.failures
    return EndpointLoadReport(
        key.source,
        key.name,
        totals.requests,
        totals.failures,
        max(latency_ns, 1) if succeeded else 0,
        window_ns,
        None,
    )
