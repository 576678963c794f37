"""Publishing: decides when the changed entries of a table are pushed to the proxies that use it."""

from typing import NamedTuple

from swiftchute.api.events import ProxyId
from swiftchute.policy.admission import is_limited_by_rate, write_admission
from swiftchute.policy.channel_turns import PushKind
from swiftchute.policy.conditions import report_condition
from swiftchute.policy.egress_budget import EgressBudget, Reservation
from swiftchute.policy.model import Admission, EndpointTable
from swiftchute.policy.slow_start import is_warming_up
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_MS, NS_PER_S

DEBOUNCE_NS = 200 * NS_PER_MS  # a change is due after this time without another one
MAX_DEBOUNCE_NS = 1 * NS_PER_S  # and after this time in any case
MIN_PUSH_INTERVAL_NS = 1 * NS_PER_S  # between ordinary pushes of a table; urgent entries ignore it
URGENT_DROP_FRACTION = 0.5  # a weight below this fraction of the published one is urgent
LATE_PUSH_NS = 1 * NS_PER_S  # an urgent change that waits longer is reported to the operators

Entries = dict[str, float]


class _TableChanges(NamedTuple):
    """What differs between the desired and the published table; a weight of 0 is a removal."""

    entries: Entries
    admission: Admission | None  # None if it is unchanged

    @property
    def entry_count(self) -> int:
        """Number of entries that the changes take up in a message."""
        return len(self.entries) + (len(self.admission.limits) if self.admission else 0)


class _ChangedSubset(NamedTuple):
    """The changed tables of a subset, and the proxies that use them: one message carries all changes."""

    tables: list[EndpointTable]
    proxies: list[ProxyId]

    @property
    def changed_since_ns(self) -> int:
        """When the first change was made."""
        return min(t.first_change_ns for t in self.tables if t.first_change_ns is not None)


def publish_tables(state: PolicyState, budget: EgressBudget) -> None:
    """Push the changes of all tables that are due, urgent ones first.

    The subset whose change has waited longest comes first. In a fixed order, the first subsets would fill a
    slow channel with each new change, and the last would hear of none as long as there are new ones. While
    an urgent push waits for the channel, no other uses the capacity: smaller ones would always fit before.
    Only tables that no proxy uses need not wait for it, as their changes are sent to nobody.
    """
    subsets = _changed_subsets(state)
    if _push_urgent_changes(state, budget, subsets):
        subsets = [subset for subset in subsets if not subset.proxies]
    _push_due_changes(state, budget, subsets)
    _report_late_pushes(state)


def _push_urgent_changes(state: PolicyState, budget: EgressBudget, subsets: list[_ChangedSubset]) -> bool:
    """Push urgent changes until one has to wait for the channel; return whether one has to."""
    urgent = [subset for subset in subsets if _urgent_since_ns(subset.tables) is not None]
    urgent.sort(key=lambda subset: _urgent_since_ns(subset.tables) or 0)
    must_wait = False
    for subset in urgent:
        if not (must_wait and subset.proxies):
            must_wait |= _push_urgent(state, budget, subset) is Reservation.CHANNEL_FULL
    return must_wait


def _push_due_changes(state: PolicyState, budget: EgressBudget, subsets: list[_ChangedSubset]) -> None:
    due = [subset for subset in subsets if not subset.proxies or _any_due(state, subset.tables)]
    due.sort(key=lambda subset: subset.changed_since_ns)
    for subset in due:
        _push_all(state, budget, subset)


def _changed_subsets(state: PolicyState) -> list[_ChangedSubset]:
    """Return the subsets with changed tables."""
    subsets = []
    for (zone, index), tables in state.tables.items():
        changed = [table for table in tables if table.first_change_ns is not None]
        if changed:
            proxies = [name for name, p in state.proxies.items() if (p.zone, p.subset) == (zone, index)]
            subsets.append(_ChangedSubset(changed, proxies))
    return subsets


def _report_late_pushes(state: PolicyState) -> None:
    """Report which subsets have an urgent change that waits for the channel or for message quotas."""
    for (zone, _), tables in state.tables.items():
        since_ns = _urgent_since_ns(tables)
        waited_ns = 0 if since_ns is None else state.now_ns - since_ns
        cause = f"waits for {waited_ns / NS_PER_S:.1f} s"
        report_condition(state, f"late push {zone} {tables[0].number}", waited_ns > LATE_PUSH_NS, cause)


def _urgent_since_ns(tables: list[EndpointTable]) -> int | None:
    """Return since when any of the tables has an urgent change, None without any."""
    return min((t.urgent_since_ns for t in tables if t.urgent_since_ns is not None), default=None)


def is_urgent_drop(name: str, weight: float, published: Entries) -> bool:
    """Return whether a weight is so far below the published one that it must be pushed at once."""
    return weight < URGENT_DROP_FRACTION * published.get(name, 0)


def _any_due(state: PolicyState, tables: list[EndpointTable]) -> bool:
    return any(_is_due(state, table) for table in tables)


def _is_due(state: PolicyState, table: EndpointTable) -> bool:
    """Return whether the push interval and the debounce of a changed table have passed."""
    now_ns = state.now_ns
    if table.pushed_at_ns is not None and now_ns - table.pushed_at_ns < MIN_PUSH_INTERVAL_NS:
        return False
    quiet = now_ns - table.last_change_ns >= DEBOUNCE_NS
    return quiet or (table.first_change_ns is not None and now_ns - table.first_change_ns >= MAX_DEBOUNCE_NS)


def _push_urgent(state: PolicyState, budget: EgressBudget, subset: _ChangedSubset) -> Reservation:
    """Push the urgent entries of a subset's tables without waiting for the debounce."""
    changes = [_urgent_changes(state, table) for table in subset.tables]
    count = sum(each.entry_count for each in changes)
    if count and subset.proxies:
        reservation = budget.reserve(state, subset.proxies, count, PushKind.URGENT)
        if reservation is not Reservation.GRANTED:
            return reservation
    for table, each in zip(subset.tables, changes, strict=True):
        _write_changes(state, budget, table, each)
    return Reservation.GRANTED


def _push_all(state: PolicyState, budget: EgressBudget, subset: _ChangedSubset) -> None:
    """Push all changed entries of a subset's tables and end their debounce."""
    changes = [_changes(table) for table in subset.tables]
    count = sum(each.entry_count for each in changes)
    if count:
        reservation = budget.reserve(state, subset.proxies, count, PushKind.ORDINARY)
        if reservation is not Reservation.GRANTED:
            return
    for table, each in zip(subset.tables, changes, strict=True):
        _write_changes(state, budget, table, each)
        table.first_change_ns = None
        table.pushed_at_ns = state.now_ns


def _changes(table: EndpointTable) -> _TableChanges:
    """Return all differences between the desired and the published table."""
    desired, published = table.desired, table.published
    entries = {
        name: desired.get(name, 0)
        for name in sorted(published.keys() | desired.keys())
        if desired.get(name) != published.get(name)
    }
    changed = table.desired_admission != table.published_admission
    return _TableChanges(entries, table.desired_admission if changed else None)


def _urgent_changes(state: PolicyState, table: EndpointTable) -> _TableChanges:
    """Return the urgent changes, or all changes if no published warm endpoint remains in the desired table.

    Warming endpoints alone would receive all requests until their limit and endpoints of other zones follow.
    """
    changes = _changes(table)
    remaining = [name for name in table.published if name in table.desired]
    if all(is_warming_up(state, state.endpoints[name]) for name in remaining):
        return changes
    entries = changes.entries.items()
    return _TableChanges(
        {n: weight for n, weight in entries if is_urgent_drop(n, weight, table.published)}, None
    )


def _write_changes(
    state: PolicyState, budget: EgressBudget, table: EndpointTable, changes: _TableChanges
) -> None:
    """Write changes, the admission first, and removals last so that the table is never empty in between."""
    if changes.admission is not None:
        write_admission(state, table.number, changes.admission)
        table.published_admission = changes.admission
    for name, weight in sorted(changes.entries.items(), key=lambda entry: entry[1] == 0):
        state.commands.set_weight(table.number, name, weight)
    merged = table.published | changes.entries
    table.published = {name: weight for name, weight in merged.items() if weight}
    table.urgent_since_ns = None
    _record_limit(state, budget, table)


def _record_limit(state: PolicyState, budget: EgressBudget, table: EndpointTable) -> None:
    """Record since when a table without a warm endpoint has been limited by rate."""
    has_warm = any(not is_warming_up(state, state.endpoints[name]) for name in table.published)
    if has_warm or not is_limited_by_rate(state, table.published_admission):
        table.limited_since_ns = None
    elif table.limited_since_ns is None:
        table.limited_since_ns = state.now_ns + budget.max_delivery_ns(state)
