"""Assignment of proxies to the tables of a subset."""

from swiftchute.api.events import ProxyId
from swiftchute.policy.channel_turns import PushKind
from swiftchute.policy.egress_budget import EgressBudget, Reservation
from swiftchute.policy.load_stats import request_rate
from swiftchute.policy.model import EndpointTable
from swiftchute.policy.state import PolicyState
from swiftchute.policy.subsetting import SubsetLoad, subset_loads


def assign_proxies(state: PolicyState, budget: EgressBudget) -> None:
    """Assign each waiting proxy to the least loaded subset of its zone.

    Proxies without an assignment come first, as they may hold tables which this instance does not know, then
    migrating ones; in both groups the busiest come first. While endpoints drain, the first group may fill
    more of the egress queue, because its assignments announce the drains.
    """
    waiting = [name for name, p in state.proxies.items() if p.unassigned and state.subset_counts.get(p.zone)]
    if not waiting:
        return
    loads = {zone: subset_loads(state, zone) for zone in state.subset_counts}
    draining = any(not endpoint.is_ready for endpoint in state.endpoints.values())
    first_kind = PushKind.DRAIN_NOTICE if draining else PushKind.FIRST_TABLES
    migrating = {name: state.proxies[name].subset is not None for name in waiting}
    for name in sorted(waiting, key=lambda p: (migrating[p], -request_rate(state.proxies[p]), p)):
        kind = PushKind.MIGRATION if migrating[name] else first_kind
        _assign(state, budget, name, loads[state.proxies[name].zone], kind)


def _assign(
    state: PolicyState, budget: EgressBudget, name: ProxyId, loads: list[SubsetLoad], kind: PushKind
) -> None:
    """Assign a proxy to all tables of the least loaded subset if they are usable and the budget allows it.

    An empty table is assigned too: the proxy stops using entries of another instance, whose endpoints are not
    ready, and receives whatever is pushed to the table later.
    """
    proxy = state.proxies[name]
    subset = min(range(len(loads)), key=lambda index: loads[index].rate_per_weight)
    tables = state.tables[proxy.zone, subset]
    if not _are_usable(tables, migrating=proxy.subset is not None):
        return
    entries = sum(1 + table.published_entry_count for table in tables)
    if budget.reserve(state, [name], entries, kind) is not Reservation.GRANTED:
        return
    for table in tables:
        state.commands.assign_table(name, table.number, table.operation_mask)
    proxy.subset, proxy.unassigned = subset, False
    proxy.assigned_at_ns = state.now_ns + budget.max_delivery_ns(state)
    loads[subset].request_rate += request_rate(proxy)


def _are_usable(tables: list[EndpointTable], migrating: bool) -> bool:
    """Return whether any table has endpoints, or whether all have for a proxy that would give up others.

    One whose endpoints wait until they can serve enough counts as well: what the proxy held may name them.
    """
    if migrating:
        return all(table.has_endpoints for table in tables)
    return any(table.has_endpoints or table.endpoints_wait for table in tables)
