"""Desired tables: computes the entries of each table from health, warm-up, spillover and admission."""

from swiftchute.policy.admission import admission_of, is_close, min_change
from swiftchute.policy.conditions import report_condition
from swiftchute.policy.model import Admission, Endpoint, EndpointTable
from swiftchute.policy.publishing import is_urgent_drop
from swiftchute.policy.slow_start import endpoint_weight, is_warming_up, limit_warming_endpoints
from swiftchute.policy.state import PolicyState
from swiftchute.policy.subsetting import count_empty_subsets
from swiftchute.policy.warming_tables import limit_table
from swiftchute.policy.zone_spillover import MIN_SPILLOVER_FRACTION

MIN_WEIGHT_CHANGE = 0.12  # smaller relative changes of a weight are ignored
WEIGHT_DIGITS = 4  # decimal places of weights
MIN_WEIGHT = 0.0001  # replaces a weight that would be rounded to 0, as 0 removes the entry

Entries = dict[str, float]


def compute_desired_tables(state: PolicyState) -> None:
    """Compute the desired entries of each table, and record when they change."""
    ready = state.ready_endpoints()
    weights = {name: endpoint_weight(state, endpoint) for name, endpoint in ready.items()}
    count_empty_subsets(state, ready)
    for table in state.all_tables():
        entries = _local_entries(table, ready, weights)
        warming_only = all(is_warming_up(state, ready[name]) for name in entries)
        entries |= _remote_entries(state, table, ready, weights, warming_only)
        admission = _limit_admission(state, table, entries)
        _update_desired(state, table, entries, admission)


def _local_entries(table: EndpointTable, ready: dict[str, Endpoint], weights: Entries) -> Entries:
    """Return entries for the endpoints of the table's subset, or of its zone if the subset has none."""
    in_zone = [name for name, endpoint in ready.items() if endpoint.zone == table.zone]
    in_subset = [name for name in in_zone if ready[name].subset == table.subset]
    return {name: weights[name] for name in in_subset or in_zone}


def _remote_entries(
    state: PolicyState,
    table: EndpointTable,
    ready: dict[str, Endpoint],
    weights: Entries,
    warming_only: bool,
) -> Entries:
    """Return entries for endpoints of other zones, weighted by the spillover between the zones.

    A table without local endpoints, or whose local endpoints are all warming up, uses the remote ones at full
    weight. Warming remote endpoints are left out, unless such a table has no other remote ones.
    """
    if table.zone_local:
        return {}
    by_zone = _spillover_fractions(state, table.zone)
    fractions = {
        name: 1.0 if warming_only else by_zone.get(endpoint.zone, 0.0)
        for name, endpoint in ready.items()
        if endpoint.zone != table.zone
    }
    fractions = _table_partition(state, table, ready, fractions)
    entries = {
        name: fraction * weights[name]
        for name, fraction in fractions.items()
        if fraction > MIN_SPILLOVER_FRACTION
    }
    warm = {name: weight for name, weight in entries.items() if not is_warming_up(state, ready[name])}
    return warm or (entries if warming_only else {})


def _spillover_fractions(state: PolicyState, zone: str) -> dict[str, float]:
    """Return the spillover fractions from a zone to other zones, by zone of the endpoints."""
    return {
        endpoint_zone: pair.spillover_fraction
        for (proxy_zone, endpoint_zone), pair in state.zone_pairs.items()
        if proxy_zone == zone
    }


def _table_partition(
    state: PolicyState, table: EndpointTable, ready: dict[str, Endpoint], fractions: dict[str, float]
) -> dict[str, float]:
    """Return the table's partition of the remote endpoints, or all of them if its partition is empty.

    With all of them in each table, connections and entries would grow as proxies times endpoints.
    """
    partition_count = max(state.subset_counts.values())
    partition = table.subset + state.settings.zones.index(table.zone)
    own = {
        name: fraction
        for name, fraction in fractions.items()
        if (ready[name].listing_index - partition) % partition_count == 0
    }
    return own or fractions


def _limit_admission(state: PolicyState, table: EndpointTable, entries: Entries) -> Admission:
    """Limit warming endpoints, and return what the table may admit.

    A table with warming endpoints allows no retries: requests that full endpoints reject would be retried at
    the warming ones.
    """
    servable = limit_warming_endpoints(state, table, entries)
    share = table.admission_rate
    had_entries = bool(entries)
    if servable is not None:
        share = min(limit_table(state, table, entries, servable), share)
    table.endpoints_wait = had_entries and not entries
    cause = f"endpoints can serve {servable or 0:.2f} of the requests"
    report_condition(state, f"warming wait {table.zone} {table.number}", table.endpoints_wait, cause)
    lacks_warm = servable is not None and state.settings.admission_mode != "share"
    has_warming = any(is_warming_up(state, state.endpoints[name]) for name in entries)
    may_retry = bool(table.retry_policy) and not has_warming and not lacks_warm
    return admission_of(state, table, share, may_retry)


def _update_desired(state: PolicyState, table: EndpointTable, entries: Entries, admission: Admission) -> None:
    """Update desired entries that changed enough, and start or extend the table's debounce."""
    before, admission_before = table.desired, table.desired_admission
    table.desired = {name: weight for name, weight in before.items() if name in entries}
    # checks published entries, as one may already wait for its removal when its endpoint begins to drain
    urgent = any(not state.endpoints[name].is_ready for name in table.published.keys() - entries.keys())
    urgent |= table.has_endpoints != bool(entries)
    for name, weight in entries.items():
        old = table.desired.get(name)
        if old is None or abs(weight - old) > MIN_WEIGHT_CHANGE * old:
            urgent |= is_urgent_drop(name, weight, table.published)
            table.desired[name] = round(weight, WEIGHT_DIGITS) or MIN_WEIGHT
    if admission_before is None or not is_close(admission, admission_before, min_change(state)):
        table.desired_admission = admission
    if urgent and table.urgent_since_ns is None:
        table.urgent_since_ns = state.now_ns
    if table.desired != before or table.desired_admission != admission_before:
        if table.first_change_ns is None:
            table.first_change_ns = state.now_ns
        table.last_change_ns = state.now_ns
