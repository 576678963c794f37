"""Request rates of proxies and success rates of endpoints, taken from the events that the policy gets.

    traffic.observe_event(event, now_ns)                  # uses load and demand reports
    traffic.request_rate(proxies, operations, now_ns)     # per second; None without a fresh report
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
# A report stays valid this long beyond its window, as the proxies of a large fleet report in turn.
REPORT_LIFETIME_NS = 10 * NS_PER_S
SAMPLE_INTERVAL_NS = NS_PER_S  # between samples of the zones' rates
MAX_SAMPLES = 60  # per zone and kind, so a rate can count as the peak for a minute
SAMPLES_IN_MEAN = 5  # consecutive samples averaged for a peak; single ones are too high by chance
MIN_SUCCESS_FRACTION = 0.5  # a zone with a smaller fraction of successful attempts is failing


class _EndpointRates(msgspec.Struct, frozen=True, gc=False):
    """Successes and attempts per second of an endpoint by one report, and until when it is valid."""

    fresh_until_ns: int
    success_rate: float
    attempt_rate: float


class _Demand(msgspec.Struct, frozen=True, gc=False):
    """Requests per second by one report, and until when it is valid."""

    fresh_until_ns: int
    request_rate: float


class _Sample(NamedTuple):
    """Successful requests per second and unit of weight at a time."""

    taken_at_ns: int
    rate: float


@dataclass(slots=True)
class _Totals:
    """Sums over endpoints of a numerator and a denominator."""

    numerator: float = 0.0
    denominator: float = 0.0

    def add(self, numerator: float, denominator: float) -> None:
        self.numerator += numerator
        self.denominator += denominator


ZoneKind = tuple[str, str]  # zone and kind of endpoints


class ObservedTraffic:
    """The last report of each endpoint and proxy, and rate samples of the last minute by zone and kind."""

    def __init__(self) -> None:
        """Start without a report."""
        # by endpoint, and by zone of the reporting proxies
        self._endpoint_rates: dict[str, dict[str, _EndpointRates]] = defaultdict(dict)
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
            self._endpoint_rates[event.endpoint][event.zone] = _EndpointRates(
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
        """Return the requests per second of these operations at these proxies; None if unknown."""
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
            for endpoint, by_zone in self._endpoint_rates.items()
            if any(report.success_rate > 0 and report.fresh_until_ns >= now_ns for report in by_zone.values())
        )

    def failing_zones(self, statuses: Mapping[str, EndpointStatus], now_ns: int) -> frozenset[str]:
        """Return the zones whose endpoints failed most attempts, by fresh reports."""
        rates: dict[str, _Totals] = defaultdict(_Totals)  # successes per attempt
        for endpoint, by_zone in self._endpoint_rates.items():
            if endpoint not in statuses:
                continue
            for report in by_zone.values():
                if report.fresh_until_ns >= now_ns:
                    rates[statuses[endpoint].zone].add(report.success_rate, report.attempt_rate)
        return frozenset(
            zone for zone, rate in rates.items() if rate.numerator < MIN_SUCCESS_FRACTION * rate.denominator
        )

    def peak_rates(
        self, statuses: Mapping[str, EndpointStatus], is_warm: Callable[[str], bool], now_ns: int
    ) -> dict[ZoneKind, float]:
        """Return the highest recent success rate of warm endpoints, by zone and kind.

        Args:
            statuses: What the endpoint list says, by endpoint.
            is_warm: Predicate that tells whether an endpoint is at full capacity.
            now_ns: Time of the query; a new sample is taken if the last one is old enough.

        Returns:
            Successful requests per second and unit of weight; without zones and kinds of unknown rate.
        """
        if now_ns - self._sampled_at_ns >= SAMPLE_INTERVAL_NS:
            self._sampled_at_ns = now_ns
            self._discard_unlisted(statuses)
            self._take_samples(statuses, is_warm, now_ns)
        peaks = {
            zone_kind: _highest_mean([sample.rate for sample in samples])
            for zone_kind, samples in self._samples.items()
            if len(samples) >= SAMPLES_IN_MEAN
        }
        return {zone_kind: rate for zone_kind, rate in peaks.items() if rate > 0}

    def _discard_unlisted(self, statuses: Mapping[str, EndpointStatus]) -> None:
        for endpoint in [endpoint for endpoint in self._endpoint_rates if endpoint not in statuses]:
            del self._endpoint_rates[endpoint]

    def _take_samples(
        self, statuses: Mapping[str, EndpointStatus], is_warm: Callable[[str], bool], now_ns: int
    ) -> None:
        sums: dict[ZoneKind, _Totals] = defaultdict(_Totals)  # success rate per weight
        for endpoint, status in statuses.items():
            rates = [
                report.success_rate
                for report in self._endpoint_rates.get(endpoint, {}).values()
                if report.fresh_until_ns >= now_ns
            ]
            if rates and is_warm(endpoint):
                sums[status.zone, status.kind].add(sum(rates), status.weight)
        for zone_kind, total in sums.items():
            self._samples[zone_kind].append(_Sample(now_ns, total.numerator / total.denominator))
        max_age_ns = MAX_SAMPLES * SAMPLE_INTERVAL_NS
        for zone_kind in [
            key for key, samples in self._samples.items() if now_ns - samples[-1].taken_at_ns > max_age_ns
        ]:
            del self._samples[zone_kind]


def _highest_mean(rates: list[float]) -> float:
    """Return the highest mean of `SAMPLES_IN_MEAN` consecutive rates."""
    return max(
        sum(rates[start : start + SAMPLES_IN_MEAN]) / SAMPLES_IN_MEAN
        for start in range(len(rates) - SAMPLES_IN_MEAN + 1)
    )


def peak_by_kind(peak_rates: Mapping[ZoneKind, float]) -> dict[str, float]:
    """Return the peak rate of each kind in the zone where it is highest.

    A controller's proxies send little to other zones, so the rate there says nothing about capacity.
    """
    peaks: dict[str, float] = defaultdict(float)
    for (_, kind), rate in peak_rates.items():
        peaks[kind] = max(peaks[kind], rate)
    return dict(peaks)
