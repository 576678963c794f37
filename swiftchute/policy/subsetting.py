"""Subsets: divides the endpoints of a zone into groups, and balances the proxies between them."""

from swiftchute.policy.load_stats import request_rate
from swiftchute.policy.model import Endpoint, EndpointTable, Proxy, SubsetKey
from swiftchute.policy.slow_start import MIN_TOTAL_WEIGHT, endpoint_weight
from swiftchute.policy.state import PolicyState

REBALANCE_RATIO = 1.2  # load share / weight share above which some of a subset's proxies are moved


class SubsetLoad:
    """Load of a subset: requests per second of its proxies, and total weight of its endpoints."""

    __slots__ = ("request_rate", "weight")

    def __init__(self) -> None:
        """Create the load of a subset that has no proxies and no endpoints."""
        self.request_rate = 0.0
        self.weight = 0.0

    @property
    def rate_per_weight(self) -> float:
        """Requests per second and unit of weight."""
        return self.request_rate / max(self.weight, MIN_TOTAL_WEIGHT)


def form_subsets(state: PolicyState) -> None:
    """Set the subset count of every zone once any endpoint is ready, and add each ready endpoint to a subset.

    A zone without ready endpoints gets one subset. The counts never change. Each subset has a table for the
    operations that may cross zones and one for those that may not, if there are any of that kind.
    """
    ready = list(state.ready_endpoints().values())
    if not ready:
        return
    for zone, count in state.subset_counts.items():
        if not count:
            in_zone = sum(endpoint.zone == zone for endpoint in ready)
            state.subset_counts[zone] = max(1, in_zone // state.settings.subset_size)
            _create_tables(state, zone)
    for endpoint in ready:
        if endpoint.subset is None and endpoint.zone in state.subset_counts:
            _join_smallest_subset(endpoint, ready, state.subset_counts[endpoint.zone])


def count_empty_subsets(state: PolicyState, ready: dict[str, Endpoint]) -> None:
    """Update the number of subsets without a ready endpoint, by zone."""
    used = {(endpoint.zone, endpoint.subset) for endpoint in ready.values()}
    for zone, count in state.subset_counts.items():
        state.empty_subset_counts[zone] = sum((zone, subset) not in used for subset in range(count))


def subset_loads(state: PolicyState, zone: str) -> list[SubsetLoad]:
    """Return the load of each subset of a zone."""
    loads = [SubsetLoad() for _ in range(state.subset_counts[zone])]
    for proxy in state.proxies.values():
        if proxy.zone == zone and proxy.subset is not None and not proxy.unassigned:
            loads[proxy.subset].request_rate += request_rate(proxy)
    for endpoint in state.ready_endpoints().values():
        if endpoint.zone == zone and endpoint.subset is not None:
            loads[endpoint.subset].weight += endpoint_weight(state, endpoint)
    return loads


def rebalance(state: PolicyState) -> None:
    """Unassign proxies from each subset with too large a share of its zone's load."""
    for zone in state.settings.zones:
        loads = subset_loads(state, zone)
        if len(loads) == 1:
            continue
        total_rate = sum(load.request_rate for load in loads)
        total_weight = max(sum(load.weight for load in loads), MIN_TOTAL_WEIGHT)
        for subset, load in enumerate(loads):
            excess = load.request_rate - total_rate * load.weight / total_weight
            if load.request_rate > REBALANCE_RATIO * (load.request_rate - excess):
                _unassign_proxies(state, (zone, subset), excess)


def _create_tables(state: PolicyState, zone: str) -> None:
    for subset in range(state.subset_counts[zone]):
        first_number = 2 * len(state.tables) + 1
        state.tables[zone, subset] = [
            EndpointTable(first_number + zone_local, (zone, subset), zone_local, mask, state.retry_policy)
            for mask, zone_local in state.operation_masks
        ]


def _join_smallest_subset(endpoint: Endpoint, ready: list[Endpoint], subset_count: int) -> None:
    """Add an endpoint to the subset of its zone that has the fewest ready endpoints."""
    subsets = [other.subset for other in ready if other.zone == endpoint.zone]
    endpoint.subset = min(range(subset_count), key=subsets.count)


def _unassign_proxies(state: PolicyState, subset_key: SubsetKey, excess: float) -> None:
    """Unassign the busiest proxies of a subset that fit into the excess, in requests per second.

    They keep the subset's tables until they are assigned to the least loaded subset.
    """
    assigned: list[Proxy] = [
        proxy
        for proxy in state.proxies.values()
        if (proxy.zone, proxy.subset) == subset_key and not proxy.unassigned
    ]
    for proxy in sorted(assigned, key=request_rate, reverse=True):
        rate = request_rate(proxy)
        if rate <= excess:
            excess -= rate
            proxy.unassigned = True
