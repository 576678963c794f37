"""What load and demand reports say: request rates, cost of answers by endpoint, and the load of a zone."""

from collections import deque
from collections.abc import Collection, Iterable
from itertools import accumulate
from typing import NamedTuple

from swiftchute.api.events import DemandReport, EndpointLoadReport
from swiftchute.policy.model import MAX_DEMAND_SAMPLES, DemandSample, Endpoint, LoadSample, Proxy
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_MS, NS_PER_S

MAX_SAMPLE_AGE_NS = 2500 * NS_PER_MS  # a report counts for so long after its window, or its successor is due
MAX_LOAD_RATIO_SAMPLE_AGE_NS = (
    1 * NS_PER_S
)  # the same for the load of a zone: admission needs fresher reports
MIN_ATTEMPTS = 6  # with fewer attempts the figures of an endpoint, or of a zone, are chance
MIN_COST_NS = 1.0  # collectors may round a mean latency down to 0; costs are divided by
MIN_SUCCESSES = 0.1  # stands for no success at all in the cost of a good answer
CALM_LOAD_RATIO = 0.35  # latency / objective below which a zone is not overloaded
FLOODED_LOAD_RATIO = 1.0  # latency / objective above which most requests of a zone are answered too late


class RecentStats(NamedTuple):
    """Recent attempts at an endpoint."""

    attempts: int
    failures: int
    cost_ns: float  # mean cost of a good answer, above 0, where a failed attempt costs a latency objective


def record_load_report(state: PolicyState, report: EndpointLoadReport) -> None:
    """Keep a load report of a known endpoint.

    Large fleets report in turn: a report stands until the next of its kind is due, one window later.
    """
    endpoint = state.endpoints.get(report.endpoint)
    if endpoint is not None:
        endpoint.samples.append(
            LoadSample(
                state.now_ns + report.window_ns,
                report.attempts,
                report.failures,
                report.mean_latency_ns,
                report.window_ns,
                report.zone,
            )
        )


def record_demand_report(state: PolicyState, report: DemandReport) -> None:
    """Keep a demand report of a connected proxy."""
    proxy = state.proxies.get(report.proxy)
    if proxy is not None:
        samples = proxy.demand.setdefault(report.operation, deque(maxlen=MAX_DEMAND_SAMPLES))
        samples.append(DemandSample(report.requests, report.window_ns))


def request_rate(proxy: Proxy) -> float:
    """Return the requests per second that reached a proxy; before any report, what it announced."""
    rates = [
        sum(requests for requests, _ in samples)
        * NS_PER_S
        / max(sum(window_ns for _, window_ns in samples), 1)
        for samples in proxy.demand.values()
    ]
    return sum(rates) if rates else proxy.expected_request_rate


def zone_request_rate(state: PolicyState, zone: str) -> float:
    """Return the requests per second that reached a zone's proxies, repeats of rejected ones included."""
    return sum(request_rate(proxy) for proxy in state.proxies.values() if proxy.zone == zone)


def is_suspended(state: PolicyState, proxy_zone: str, endpoint_zone: str) -> bool:
    """Return whether the network between two zones was found unhealthy a short while ago."""
    pair = state.zone_pairs.get((proxy_zone, endpoint_zone))
    return pair is not None and pair.suspended_until_ns > state.now_ns


def endpoint_stats(state: PolicyState, endpoint: Endpoint) -> RecentStats:
    """Sum up the recent reports of an endpoint.

    Reports from behind an unhealthy network between zones say nothing about the endpoint: they do not count.
    """
    oldest_ns = state.now_ns - MAX_SAMPLE_AGE_NS
    samples = [sample for sample in endpoint.samples if sample.next_report_ns >= oldest_ns]
    ignored = [zone for zone in state.settings.zones if is_suspended(state, zone, endpoint.zone)]
    if ignored:
        samples = [sample for sample in samples if sample.proxy_zone not in ignored]
    return _sum_up(state, samples)


def _zone_stats(state: PolicyState, endpoint: Endpoint, proxy_zone: str) -> RecentStats:
    """Sum up the latest reports of an endpoint by the proxies of one zone."""
    oldest_ns = state.now_ns - MAX_LOAD_RATIO_SAMPLE_AGE_NS
    samples = [
        sample
        for sample in endpoint.samples
        if sample.proxy_zone == proxy_zone and sample.next_report_ns >= oldest_ns
    ]
    return _sum_up(state, samples)


def _sum_up(state: PolicyState, samples: Iterable[LoadSample]) -> RecentStats:
    attempts = failures = latency_ns = 0
    for _, sample_attempts, sample_failures, mean_latency_ns, _, _ in samples:
        attempts += sample_attempts
        failures += sample_failures
        latency_ns += (sample_attempts - sample_failures) * mean_latency_ns
    successes = max(attempts - failures, MIN_SUCCESSES)
    cost_ns = (latency_ns + failures * state.latency_objective_ns) / successes
    return RecentStats(attempts, failures, max(cost_ns, MIN_COST_NS))


def success_rate(
    state: PolicyState, proxy_zone: str, endpoints: Iterable[Endpoint], max_window_ns: int
) -> float:
    """Return the good answers per second to the proxies of a zone, by the last report of each endpoint.

    Args:
        state: State of the policy.
        proxy_zone: Zone of the proxies.
        endpoints: Endpoints that answer.
        max_window_ns: Reports over longer windows do not count.
    """
    oldest_ns = state.now_ns - MAX_SAMPLE_AGE_NS
    rates = []
    for endpoint in endpoints:
        for sample in reversed(endpoint.samples):
            if (
                sample.proxy_zone == proxy_zone
                and sample.window_ns <= max_window_ns
                and sample.next_report_ns >= oldest_ns
            ):
                successes = sample.attempts - sample.failures
                rates.append(successes * NS_PER_S / max(sample.window_ns, 1))
                break
    return sum(rates)


def zone_load_ratio(
    state: PolicyState, proxy_zone: str, endpoint_zones: Collection[str], quantile: float
) -> float | None:
    """Return the cost of a good answer to a zone's proxies as a multiple of the latency objective.

    It is a quantile of the endpoints by attempts: a few unhealthy ones concern outlier detection, and are no
    load.

    Args:
        state: State of the policy.
        proxy_zone: Zone of the proxies.
        endpoint_zones: Zones of the endpoints.
        quantile: Part of all attempts that reached endpoints with a lower cost, 0 to 1.

    Returns:
        The ratio, or None with too few attempts.
    """
    stats = [_zone_stats(state, e, proxy_zone) for e in state.endpoints.values() if e.zone in endpoint_zones]
    costs = sorted((each.cost_ns, each.attempts) for each in stats if each.attempts)
    attempts_up_to = list(accumulate(attempts for _, attempts in costs))
    if not attempts_up_to or attempts_up_to[-1] < MIN_ATTEMPTS:
        return None
    limit = quantile * attempts_up_to[-1]
    index = next(k for k, attempts in enumerate(attempts_up_to) if attempts >= limit)
    return costs[index][0] / state.latency_objective_ns
