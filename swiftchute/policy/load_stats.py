"""Statistics from load and demand reports: request rates, cost per success of an endpoint, load of a zone."""

from collections import deque
from collections.abc import Collection, Iterable
from itertools import accumulate
from typing import NamedTuple

from swiftchute.api.events import DemandReport, EndpointLoadReport
from swiftchute.policy.model import MAX_DEMAND_SAMPLES, DemandSample, Endpoint, LoadSample, Proxy
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_MS, NS_PER_S

MAX_SAMPLE_AGE_NS = 2500 * NS_PER_MS  # how long a load report stays valid after the next one is due
MAX_LOAD_RATIO_SAMPLE_AGE_NS = 1 * NS_PER_S  # less for zone load ratios: admission needs fresh reports
MIN_ATTEMPTS = 6  # fewer, at one endpoint or at all those of a zone load ratio together, are mostly noise
MIN_COST_NS = 1.0  # avoids division by zero: collectors may round a mean latency down to 0
MIN_SUCCESSES = 0.1  # avoids division by zero; without a success, each failure costs 10 latency objectives
NORMAL_LOAD_RATIO = 0.35  # cost per success / latency objective below which a zone is not overloaded
SEVERE_LOAD_RATIO = 1.0  # cost per success / latency objective above which most requests of a zone miss it


class RecentStats(NamedTuple):
    """Statistics of the recent attempts at an endpoint."""

    attempts: int
    failures: int
    cost_ns: float  # time per success, above 0; a failed attempt counts as one latency objective


def record_load_report(state: PolicyState, report: EndpointLoadReport) -> None:
    """Store a load report of a known endpoint.

    In large fleets proxies report in turn, so a report is current until the next one is due, one `window_ns`
    later.
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
    """Store a demand report of a connected proxy."""
    proxy = state.proxies.get(report.proxy)
    if proxy is not None:
        samples = proxy.demand.setdefault(report.operation, deque(maxlen=MAX_DEMAND_SAMPLES))
        samples.append(DemandSample(report.requests, report.window_ns, state.now_ns))


def request_rate(proxy: Proxy) -> float:
    """Return the requests per second at a proxy: the mean over its kept reports, summed over operations.

    Demand reports do not expire here. Before the first one, it is the rate that the proxy announced.
    """
    return demand_rate(proxy.demand) if proxy.demand else proxy.expected_request_rate


def demand_rate(demand: dict[str, deque[DemandSample]]) -> float:
    """Return the requests per second of demand reports: the mean over each operation's, summed over them."""
    return sum(
        sum(sample.requests for sample in samples)
        * NS_PER_S
        / max(sum(sample.window_ns for sample in samples), 1)  # 1 ns: avoids division by zero
        for samples in demand.values()
    )


def operation_request_rate(state: PolicyState, proxy: Proxy, operation: str) -> float:
    """Return the requests per second for one operation at a proxy.

    The mean includes times without requests between the kept reports. Before the first report of the proxy it
    is an equal part of the rate that the proxy announced.
    """
    if not proxy.demand:
        return proxy.expected_request_rate / len(state.settings.operations)
    samples = proxy.demand.get(operation)
    if not samples:
        return 0.0
    begin_ns = samples[0].reported_at_ns - samples[0].window_ns
    end_ns = samples[-1].reported_at_ns if len(samples) == MAX_DEMAND_SAMPLES else state.now_ns
    span_ns = max(end_ns - begin_ns, sum(sample.window_ns for sample in samples), 1)
    return sum(sample.requests for sample in samples) * NS_PER_S / span_ns


def zone_request_rate(state: PolicyState, zone: str) -> float:
    """Return the requests per second at a zone's proxies, including clients' repeats of rejected ones."""
    return sum(request_rate(proxy) for proxy in state.proxies.values() if proxy.zone == zone)


def is_suspended(state: PolicyState, proxy_zone: str, endpoint_zone: str) -> bool:
    """Return whether a pair of zones is suspended because the network between them was found unhealthy."""
    pair = state.zone_pairs.get((proxy_zone, endpoint_zone))
    return pair is not None and pair.suspended_until_ns > state.now_ns


def endpoint_stats(state: PolicyState, endpoint: Endpoint) -> RecentStats:
    """Aggregate the recent reports of an endpoint.

    Reports from zones behind an unhealthy network are ignored: they say nothing about the endpoint itself.
    """
    oldest_ns = state.now_ns - MAX_SAMPLE_AGE_NS
    samples = [sample for sample in endpoint.samples if sample.next_report_ns >= oldest_ns]
    ignored = [zone for zone in state.settings.zones if is_suspended(state, zone, endpoint.zone)]
    if ignored:
        samples = [sample for sample in samples if sample.proxy_zone not in ignored]
    return _aggregate(state, samples)


def _stats_from_zone(state: PolicyState, endpoint: Endpoint, proxy_zone: str) -> RecentStats:
    """Aggregate the recent reports of one endpoint by the proxies of one zone."""
    oldest_ns = state.now_ns - MAX_LOAD_RATIO_SAMPLE_AGE_NS
    samples = [
        sample
        for sample in endpoint.samples
        if sample.proxy_zone == proxy_zone and sample.next_report_ns >= oldest_ns
    ]
    return _aggregate(state, samples)


def _aggregate(state: PolicyState, samples: Iterable[LoadSample]) -> RecentStats:
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
    """Return the successes per second at a zone's proxies, from the latest valid report of each endpoint.

    Args:
        state: State of the policy.
        proxy_zone: Zone of the proxies.
        endpoints: Endpoints whose successes are counted.
        max_window_ns: Reports over longer windows are ignored.
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
    """Return the cost per success for a zone's proxies as a multiple of the latency objective.

    The ratio is a quantile over endpoints, weighted by attempts: a few unhealthy endpoints are a matter of
    outlier detection and do not mean that the zone of the proxies is loaded.

    Args:
        state: State of the policy.
        proxy_zone: Zone of the proxies.
        endpoint_zones: Zones of the endpoints.
        quantile: Fraction of the attempts that went to endpoints of lower or equal cost, 0 to 1.

    Returns:
        The ratio, or None if there were too few attempts.
    """
    stats = [
        _stats_from_zone(state, e, proxy_zone) for e in state.endpoints.values() if e.zone in endpoint_zones
    ]
    costs_and_attempts = sorted((each.cost_ns, each.attempts) for each in stats if each.attempts)
    attempts_up_to = list(accumulate(attempts for _, attempts in costs_and_attempts))
    if not attempts_up_to or attempts_up_to[-1] < MIN_ATTEMPTS:
        return None
    limit = quantile * attempts_up_to[-1]
    index = next(k for k, attempts in enumerate(attempts_up_to) if attempts >= limit)
    return costs_and_attempts[index][0] / state.latency_objective_ns
