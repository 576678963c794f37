"""Slow start: what an endpoint that has just started may be sent until it has warmed up."""

from swiftchute.policy.load_stats import (
    FLOODED_LOAD_RATIO,
    request_rate,
    success_rate,
    zone_request_rate,
)
from swiftchute.policy.model import REPORT_LAG_EVALUATIONS, Endpoint, EndpointTable
from swiftchute.policy.state import MAX_THROUGHPUT_SAMPLES, PolicyState
from swiftchute.policy.units import NS_PER_S

INITIAL_WEIGHT_FRACTION = 0.25  # part of its weight with which an endpoint starts
OVERLOAD_SAFETY_FACTOR = 0.4  # part of the permitted rate that a table plans for: proxies' choices vary
MIN_WARMING_UP_ADMISSION_RATE = 0.1  # where all endpoints of a table are warming up
MAX_REPORT_WINDOW_NS = MAX_THROUGHPUT_SAMPLES * NS_PER_S  # longer reports say nothing about throughput
MIN_TOTAL_WEIGHT = 0.001  # stands for no weight at all in a quotient
MIN_REQUEST_RATE_PER_S = 0.1  # stands for no requests at all in a quotient


def warmup_progress(state: PolicyState, endpoint: Endpoint) -> float:
    """Return how far an endpoint is on the longest way to being warm, from 0 at its start to 1."""
    if not endpoint.started_ns:
        return 1.0
    return min(max((state.now_ns - endpoint.started_ns) / state.settings.max_warmup_ns, 0), 1)


def is_warming_up(state: PolicyState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint may not have reached its full capacity yet."""
    return warmup_progress(state, endpoint) < 1


def endpoint_weight(state: PolicyState, endpoint: Endpoint) -> float:
    """Return the weight of an endpoint by its list, its health and its warm-up."""
    ramp = INITIAL_WEIGHT_FRACTION + (1 - INITIAL_WEIGHT_FRACTION) * warmup_progress(state, endpoint)
    return endpoint.listed_weight * endpoint.health_weight * ramp


def record_throughput(state: PolicyState, ready: dict[str, Endpoint]) -> None:
    """Note for each zone what its warm endpoints answer per second and unit of weight."""
    for zone in state.settings.zones:
        warm = [e for e in ready.values() if e.zone == zone and not is_warming_up(state, e)]
        if warm:
            rate = sum(
                success_rate(state, proxy_zone, warm, MAX_REPORT_WINDOW_NS)
                for proxy_zone in state.settings.zones
            )
            weight = max(sum(endpoint.listed_weight for endpoint in warm), MIN_TOTAL_WEIGHT)
            state.observed_throughput[zone].append(rate / weight)


def max_request_rate(state: PolicyState, endpoint: Endpoint) -> float:
    """Return the requests per second that a warming endpoint may be sent.

    That is a safe part of the multiple of its present capacity at which it would be overloaded.
    """
    start_fraction = state.settings.start_capacity_fraction
    capacity_fraction = start_fraction + (1 - start_fraction) * warmup_progress(state, endpoint)
    safe_multiple = OVERLOAD_SAFETY_FACTOR * state.settings.overload_multiple
    throughput = _full_throughput(state, endpoint.zone)
    return safe_multiple * capacity_fraction * throughput * endpoint.listed_weight


def _full_throughput(state: PolicyState, zone: str) -> float:
    """Return requests per second and unit of weight that stand for the full capacity of a zone's endpoints.

    It is the most that they answered of late; before any report, what the proxies announced.
    """
    observed = max(state.observed_throughput.get(zone, ()), default=0)
    if observed:
        return observed
    weight = sum(e.listed_weight for e in state.endpoints.values() if e.zone == zone)
    return zone_request_rate(state, zone) / max(weight, 1)


def limit_warming_endpoints(state: PolicyState, table: EndpointTable, entries: dict[str, float]) -> float:
    """Limit the weights of warming endpoints to what they may be sent, whatever the others take.

    Args:
        state: State of the policy.
        table: The table for which the entries are.
        entries: Weights by endpoint; limited, or taken out, in place.

    Returns:
        The admission rate at which warming endpoints alone can carry the table; 1 beside warm endpoints.
    """
    warming = [name for name in entries if is_warming_up(state, state.endpoints[name])]
    if not warming:
        return 1.0
    table_rate = max(_table_request_rate(state, table), MIN_REQUEST_RATE_PER_S)
    max_shares = {name: max_request_rate(state, state.endpoints[name]) / table_rate for name in warming}
    total_share = sum(max_shares.values())
    warm_weight = sum(weight for name, weight in entries.items() if name not in max_shares)
    if warm_weight and _must_wait(state, table.zone, total_share):
        for name in warming:
            del entries[name]
        return 1.0
    if total_share < 1:
        for name, share in max_shares.items():
            limit = warm_weight * share / (1 - total_share) if warm_weight else share
            entries[name] = min(entries[name], limit) if warm_weight else limit
    return 1.0 if warm_weight else min(max(total_share, MIN_WARMING_UP_ADMISSION_RATE), 1.0)


def _table_request_rate(state: PolicyState, table: EndpointTable) -> float:
    """Return the requests per second admitted by a table's proxies, at least its part of its zone's."""
    assigned = [p for p in state.proxies.values() if (p.zone, p.subset) == (table.zone, table.subset)]
    zone_part = zone_request_rate(state, table.zone) / state.subset_counts[table.zone]
    return max(sum(request_rate(proxy) for proxy in assigned), zone_part) * table.admission_rate


def _must_wait(state: PolicyState, zone: str, total_share: float) -> bool:
    """Return whether warming endpoints must stay out of a table with warm ones.

    Where proxies avoid endpoints that fail, a small entry beside failing ones soon gets everything. So it is
    in a flooded zone that the warming endpoints could not carry. The first reports after a start come from
    the first proxies to connect, so a flood may not be known yet.
    """
    if not state.settings.ejection_failures:
        return False
    unknown = len(state.observed_throughput[zone]) < REPORT_LAG_EVALUATIONS
    flooded = (state.load_ratios[zone] or 0) > FLOODED_LOAD_RATIO
    return unknown or (flooded and total_share < OVERLOAD_SAFETY_FACTOR)
