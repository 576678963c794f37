"""What is known of request rates and of what endpoints answer, from the events that the policy is given.

    traffic.observe_event(event, now_ns)                  # each load report and demand report
    traffic.request_rate(proxies, operations, now_ns)     # per second; None if no fresh report tells
    traffic.peak_rates(statuses, is_warm, now_ns)         # by zone and kind, per second and unit of weight
    traffic.responding_endpoints(now_ns)
    traffic.failing_zones(statuses, now_ns)

No I/O, no clock.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from swiftchute.api.events import DemandReport, EndpointLoadReport, Event, ProxyDisconnected
from swiftchute.safety.proposal import EndpointStatus

NS_PER_S = 1_000_000_000
# A report counts for so long beyond its window, as proxies of a large fleet report in turn.
REPORT_LIFETIME_NS = 10 * NS_PER_S
SAMPLE_INTERVAL_NS = NS_PER_S  # from one sample of the zones' rates to the next
MAX_SAMPLES = 60  # of a zone and kind: a rate counts as its peak for a minute
SAMPLES_IN_MEAN = 5  # a peak is the mean of so many samples in a row: single ones are too high by chance
MIN_SUCCESS_FRACTION = 0.5  # of a zone's attempts, below which it is failing


class _Answers(msgspec.Struct, frozen=True, gc=False):
    """What an endpoint answered, per second, by a report that is fresh until a time."""

    fresh_until_ns: int
    success_rate: float
    attempt_rate: float


class _Demand(msgspec.Struct, frozen=True, gc=False):
    """Requests per second by a report that is fresh until a time."""

    fresh_until_ns: int
    request_rate: float


class _Sample(NamedTuple):
    """Successful requests per second and unit of weight."""

    taken_at_ns: int
    rate: float


@dataclass(slots=True)
class _Sum:
    """Sums of two figures over endpoints."""

    first: float = 0.0
    second: float = 0.0

    def add(self, first: float, second: float) -> None:
        self.first += first
        self.second += second


ZoneKind = tuple[str, str]  # zone and kind of endpoints


class ObservedTraffic:
    """The last report by endpoint and by proxy, and samples of the last minute by zone and kind."""

    def __init__(self) -> None:
        """Start without a report."""
        # by endpoint, and zone of the proxies that report
        self._answers: dict[str, dict[str, _Answers]] = defaultdict(dict)
        # by proxy and operation
        self._demands: dict[Hashable, dict[str, _Demand]] = defaultdict(dict)
        self._samples: dict[ZoneKind, deque[_Sample]] = defaultdict(lambda: deque(maxlen=MAX_SAMPLES))
        self._sampled_at_ns = 0

    def observe_event(self, event: Event, now_ns: int) -> None:
        """Record a report, or forget a proxy that disconnected; other events are ignored."""
        if isinstance(event, EndpointLoadReport):
            window_ns = event.window_ns
            divisor_ns = max(window_ns, 1)
            attempts = event.attempts
            self._answers[event.endpoint][event.zone] = _Answers(
                now_ns + window_ns + REPORT_LIFETIME_NS,
                (attempts - event.failures) * NS_PER_S / divisor_ns,
                attempts * NS_PER_S / divisor_ns,
            )
        elif isinstance(event, DemandReport):
            window_ns = event.window_ns
            rate = event.requests * NS_PER_S / max(window_ns, 1)
            fresh_until_ns = now_ns + window_ns + REPORT_LIFETIME_NS
            self._demands[event.proxy][event.operation] = _Demand(fresh_until_ns, rate)
        elif isinstance(event, ProxyDisconnected):
            self._demands.pop(event.proxy, None)

    def request_rate(
        self, proxies: Iterable[Hashable], operations: Iterable[str], now_ns: int
    ) -> float | None:
        """Return the requests per second of operations that come to proxies; None if unknown."""
        wanted = set(operations)
        rates = [
            demand.request_rate
            for proxy in proxies
            for operation, demand in self._demands.get(proxy, {}).items()
            if operation in wanted and demand.fresh_until_ns >= now_ns
        ]
        return sum(rates) if rates else None

    def responding_endpoints(self, now_ns: int) -> frozenset[str]:
        """Return the endpoints with a successful request in a fresh report."""
        return frozenset(
            endpoint
            for endpoint, by_zone in self._answers.items()
            if any(
                answers.success_rate > 0 and answers.fresh_until_ns >= now_ns for answers in by_zone.values()
            )
        )

    def failing_zones(self, statuses: Mapping[str, EndpointStatus], now_ns: int) -> frozenset[str]:
        """Return the zones whose endpoints failed most of the attempts of fresh reports."""
        rates: dict[str, _Sum] = defaultdict(_Sum)  # successes and attempts
        for endpoint, by_zone in self._answers.items():
            if endpoint not in statuses:
                continue
            for answers in by_zone.values():
                if answers.fresh_until_ns >= now_ns:
                    rates[statuses[endpoint].zone].add(answers.success_rate, answers.attempt_rate)
        return frozenset(
            zone for zone, rate in rates.items() if rate.first < MIN_SUCCESS_FRACTION * rate.second
        )

    def peak_rates(
        self, statuses: Mapping[str, EndpointStatus], is_warm: Callable[[str], bool], now_ns: int
    ) -> dict[ZoneKind, float]:
        """Return the highest rate that warm endpoints answered lately, by zone and kind.

        Args:
            statuses: What the endpoint list says, by endpoint.
            is_warm: Returns whether an endpoint has its full capacity.
            now_ns: Time of the question; a sample is taken once in a while.

        Returns:
            Successful requests per second and unit of weight; zones and kinds without a rate are left out.
        """
        if now_ns - self._sampled_at_ns >= SAMPLE_INTERVAL_NS:
            self._sampled_at_ns = now_ns
            self._forget_unlisted(statuses)
            self._take_samples(statuses, is_warm, now_ns)
        peaks = {
            zone_kind: _highest_mean([sample.rate for sample in samples])
            for zone_kind, samples in self._samples.items()
            if len(samples) >= SAMPLES_IN_MEAN
        }
        return {zone_kind: rate for zone_kind, rate in peaks.items() if rate > 0}

    def _forget_unlisted(self, statuses: Mapping[str, EndpointStatus]) -> None:
        for endpoint in [endpoint for endpoint in self._answers if endpoint not in statuses]:
            del self._answers[endpoint]

    def _take_samples(
        self, statuses: Mapping[str, EndpointStatus], is_warm: Callable[[str], bool], now_ns: int
    ) -> None:
        sums: dict[ZoneKind, _Sum] = defaultdict(_Sum)  # successes per second, and weight
        for endpoint, status in statuses.items():
            rates = [
                answers.success_rate
                for answers in self._answers.get(endpoint, {}).values()
                if answers.fresh_until_ns >= now_ns
            ]
            if rates and is_warm(endpoint):
                sums[status.zone, status.kind].add(sum(rates), status.weight)
        for zone_kind, total in sums.items():
            self._samples[zone_kind].append(_Sample(now_ns, total.first / total.second))
        max_age_ns = MAX_SAMPLES * SAMPLE_INTERVAL_NS
        for zone_kind in [
            key for key, samples in self._samples.items() if now_ns - samples[-1].taken_at_ns > max_age_ns
        ]:
            del self._samples[zone_kind]


def _highest_mean(rates: list[float]) -> float:
    """Return the highest mean of `SAMPLES_IN_MEAN` rates in a row."""
    return max(
        sum(rates[first : first + SAMPLES_IN_MEAN]) / SAMPLES_IN_MEAN
        for first in range(len(rates) - SAMPLES_IN_MEAN + 1)
    )


def peak_by_kind(peak_rates: Mapping[ZoneKind, float]) -> dict[str, float]:
    """Return by kind the rate in the zone where its endpoints answered most.

    A controller's proxies send other zones little, so that the rate there says nothing of the capacity.
    """
    peaks: dict[str, float] = defaultdict(float)
    for (_, kind), rate in peak_rates.items():
        peaks[kind] = max(peaks[kind], rate)
    return dict(peaks)
