"""Slow start: limits the request rate of a recently started endpoint until it has warmed up."""

from swiftchute.policy.load_stats import (
    SEVERE_LOAD_RATIO,
    request_rate,
    success_rate,
    zone_request_rate,
)
from swiftchute.policy.model import REPORT_LAG_EVALUATIONS, Endpoint, EndpointTable
from swiftchute.policy.state import MAX_THROUGHPUT_SAMPLES, PolicyState
from swiftchute.policy.units import NS_PER_S

INITIAL_WEIGHT_FRACTION = 0.25  # fraction of its full weight that a starting endpoint gets
OVERLOAD_SAFETY_FACTOR = 0.4  # fraction of the permitted rate to plan for: proxies' choices vary
MAX_REPORT_WINDOW_NS = MAX_THROUGHPUT_SAMPLES * NS_PER_S  # longer reports say nothing about throughput
MIN_TOTAL_WEIGHT = 0.001  # replaces a zero weight in divisions
MIN_REQUEST_RATE_PER_S = 0.1  # replaces a zero rate in divisions


def warmup_progress(state: PolicyState, endpoint: Endpoint) -> float:
    """Return the elapsed fraction of the maximum warm-up time, from 0 at the endpoint's start to 1."""
    if not endpoint.started_ns:
        return 1.0
    return min(max((state.now_ns - endpoint.started_ns) / state.settings.max_warmup_ns, 0), 1)


def is_warming_up(state: PolicyState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint may not have reached its full capacity yet."""
    return warmup_progress(state, endpoint) < 1


def endpoint_weight(state: PolicyState, endpoint: Endpoint) -> float:
    """Return the effective weight: listed weight, corrected for health and warm-up."""
    ramp = INITIAL_WEIGHT_FRACTION + (1 - INITIAL_WEIGHT_FRACTION) * warmup_progress(state, endpoint)
    return endpoint.listed_weight * endpoint.health_weight * ramp


def record_throughput(state: PolicyState, ready: dict[str, Endpoint]) -> None:
    """Record the successes per second and unit of weight of each zone's warm endpoints."""
    for zone in state.settings.zones:
        warm = [e for e in ready.values() if e.zone == zone and not is_warming_up(state, e)]
        if warm:
            rate = sum(
                success_rate(state, proxy_zone, warm, MAX_REPORT_WINDOW_NS)
                for proxy_zone in state.settings.zones
            )
            weight = max(sum(endpoint.listed_weight for endpoint in warm), MIN_TOTAL_WEIGHT)
            state.observed_throughput[zone].append(rate / weight)


def safe_load_fraction(state: PolicyState, endpoint: Endpoint) -> float:
    """Return the load that a warming endpoint may be sent, as a fraction of its full capacity."""
    start_fraction = state.settings.start_capacity_fraction
    capacity_fraction = start_fraction + (1 - start_fraction) * warmup_progress(state, endpoint)
    return _safe_fraction(state, capacity_fraction)


def _safe_fraction(state: PolicyState, capacity_fraction: float) -> float:
    """Return a safe fraction of the multiple of a capacity at which an endpoint would be overloaded."""
    return OVERLOAD_SAFETY_FACTOR * state.settings.overload_multiple * capacity_fraction


def max_request_rate(state: PolicyState, endpoint: Endpoint) -> float:
    """Return the requests per second that a table may send to a warming endpoint of its zone.

    Tables of subsets without an endpoint use it as well, and each gets an equal part.
    """
    rate = safe_load_fraction(state, endpoint) * _full_throughput(state, endpoint.zone)
    table_count = 1 + state.empty_subset_counts.get(endpoint.zone, 0)
    return rate * endpoint.listed_weight / table_count


def _full_throughput(state: PolicyState, zone: str) -> float:
    """Estimate the full capacity of a zone's endpoints, in requests per second and unit of weight.

    The estimate is the highest recent throughput. Before any report, it follows from the request rates of the
    zone and of all zones, whichever are less for an endpoint: most of a lost zone may not be listed yet.
    """
    observed = max(state.observed_throughput.get(zone, ()), default=0)
    if observed:
        return observed
    zone_weight = sum(e.listed_weight for e in state.endpoints.values() if e.zone == zone)
    total_weight = sum(e.listed_weight for e in state.endpoints.values())
    total_rate = sum(request_rate(proxy) for proxy in state.proxies.values())
    in_zone = zone_request_rate(state, zone) / max(zone_weight, 1)
    return min(in_zone, total_rate / max(total_weight, state.settings.subset_size))


def starting_endpoint_share(state: PolicyState, table: EndpointTable) -> float:
    """Return the share of a table's requests that a starting endpoint of its zone can serve."""
    weights = [e.listed_weight for e in state.endpoints.values() if e.zone == table.zone]
    fraction = _safe_fraction(state, state.settings.start_capacity_fraction)
    rate = fraction * _full_throughput(state, table.zone) * min(weights, default=1.0)
    return rate / state.subset_counts[table.zone] / _table_request_rate(state, table)


def limit_warming_endpoints(
    state: PolicyState, table: EndpointTable, entries: dict[str, float]
) -> float | None:
    """Limit the weights of warming endpoints so that none exceeds its maximum request rate.

    Args:
        state: State of the policy.
        table: Table that the entries are for.
        entries: Weights by endpoint; warming endpoints are limited or removed in place.

    Returns:
        The share of the requests that the endpoints can serve, None if any of them is warm.
    """
    warming = [name for name in entries if is_warming_up(state, state.endpoints[name])]
    if not warming:
        return None if entries else 0.0
    table_rate = _table_request_rate(state, table)
    max_shares = {name: max_request_rate(state, state.endpoints[name]) / table_rate for name in warming}
    total_share = sum(max_shares.values())
    warm_weight = sum(weight for name, weight in entries.items() if name not in max_shares)
    if warm_weight and _must_exclude_warming(state, table.zone, total_share):
        for name in warming:
            del entries[name]
        return None
    if total_share < 1:
        for name, share in max_shares.items():
            limit = warm_weight * share / (1 - total_share) if warm_weight else share
            entries[name] = min(entries[name], limit) if warm_weight else limit
    return None if warm_weight else total_share


def _table_request_rate(state: PolicyState, table: EndpointTable) -> float:
    """Return the admitted requests per second of a table's proxies, at least an equal share of the zone's."""
    assigned = [p for p in state.proxies.values() if (p.zone, p.subset) == (table.zone, table.subset)]
    zone_part = zone_request_rate(state, table.zone) / state.subset_counts[table.zone]
    offered = max(sum(request_rate(proxy) for proxy in assigned), zone_part)
    return max(offered * table.admission_rate, MIN_REQUEST_RATE_PER_S)


def _must_exclude_warming(state: PolicyState, zone: str, total_share: float) -> bool:
    """Return whether warming endpoints must be left out of a table that also has warm ones.

    Where proxies avoid failing endpoints, the few that do not fail soon get all requests, even those of low
    weight. So warming endpoints are left out of an overloaded zone that they could not serve. The first
    reports after a start come from the first proxies to connect, so an overload may not be known yet.
    """
    if not state.settings.ejection_failures:
        return False
    load_unknown = len(state.observed_throughput[zone]) < REPORT_LAG_EVALUATIONS
    overloaded = (state.load_ratios[zone] or 0) > SEVERE_LOAD_RATIO
    return load_unknown or (overloaded and total_share < OVERLOAD_SAFETY_FACTOR)
