"""Key ranges: which endpoints serve the key ranges that this instance owns, and when their tables change.

Where a key range has a single owner, a change of owner has two steps. The table is cleared first; it names
the new owner once the fence of the key range has ended (`swiftchute.policy.ownership_fence`). Elsewhere new
entries are written before old ones are removed, in the same message.
"""

from swiftchute.api.events import (
    KeyRangeAssigned,
    KeyRangeDemandReport,
    KeyRangeEntryRestored,
    KeyRangeRevoked,
    ProxyId,
)
from swiftchute.policy.admission import MIN_SHARE_CHANGE, share_admission, write_admission
from swiftchute.policy.channel_turns import PushKind
from swiftchute.policy.egress_budget import EgressBudget, Reservation
from swiftchute.policy.key_range_load import KeyRange, KeyRangeLoads
from swiftchute.policy.ownership_fence import LeaseClock, OwnershipFence, lease_end_ns
from swiftchute.policy.state import PolicyState

ENTRY_WEIGHT = 1  # of an endpoint that is newly assigned to a key range


class KeyRanges:
    """Holds the key ranges that this instance owns, and decides on their entries."""

    def __init__(self) -> None:
        """Create an instance that owns no key range."""
        self._ranges: dict[int, KeyRange] = {}
        self._fences: dict[int, OwnershipFence] = {}  # of cleared key ranges
        self._round_fence: OwnershipFence | None = None  # of those cleared in this round
        self._leases = LeaseClock()
        self._lease_ends_ns: dict[int, int] = {}  # of proxies that used a key range before it was assigned
        self._full_weight = 0.0  # listed weight of all ready endpoints of the largest fleet so far
        self._published_admission = 1.0
        self._has_range_without_admission = False  # a key range was assigned since it was published
        self._is_settled = False  # nothing has changed or waits since the last decision

    def on_assigned(self, state: PolicyState, event: KeyRangeAssigned) -> None:
        """Start to own a key range; its existing entries follow in separate events."""
        self.on_revoked(KeyRangeRevoked(event.key_range))
        self._ranges[event.key_range] = KeyRange(event.key_range)
        self._lease_ends_ns[event.key_range] = lease_end_ns(state)
        self._has_range_without_admission = True

    def on_revoked(self, event: KeyRangeRevoked) -> None:
        """Stop owning a key range, and forget its entries."""
        self._ranges.pop(event.key_range, None)
        self._fences.pop(event.key_range, None)
        self._lease_ends_ns.pop(event.key_range, None)
        self._is_settled = False

    def on_entry_restored(self, event: KeyRangeEntryRestored) -> None:
        """Record an entry that the table of a key range already holds."""
        known = self._ranges.setdefault(event.key_range, KeyRange(event.key_range))
        known.entries[event.endpoint] = event.weight
        self._is_settled = False

    def on_demand_report(self, state: PolicyState, event: KeyRangeDemandReport) -> None:
        """Record the requests for a key range."""
        known = self._ranges.get(event.key_range)
        if known is not None:
            known.record_demand(event, state.now_ns)

    def on_list_update(self) -> None:
        """Take note that the endpoints have changed."""
        self._is_settled = False

    def on_proxy_connected(self, proxy: ProxyId) -> None:
        """Take note of a proxy that will acknowledge messages."""
        self._leases.on_connected(proxy)

    def on_proxy_lost(self, state: PolicyState, proxy: ProxyId) -> None:
        """Take note of a proxy whose session ended: it may use its tables until its lease ends."""
        self._leases.on_lost(state, proxy)
        for fence in set(self._fences.values()):
            fence.on_proxy_lost(state, proxy)

    @property
    def is_waiting(self) -> bool:
        """Whether a key range waits for a fence or for the channel."""
        return not self._is_settled and bool(self._ranges)

    def next_due_ns(self, state: PolicyState, budget: EgressBudget) -> int | None:
        """Return when the next fence ends as far as is known, None without any key range that waits."""
        unserved = [number for number, known in self._ranges.items() if not known.entries]
        return min((self._may_assign_ns(state, budget, number) for number in unserved), default=None)

    def update(self, state: PolicyState, budget: EgressBudget, evaluation_due: bool) -> None:
        """Replace endpoints that must not serve key ranges any more, and relocate key ranges if due."""
        for fence in set(self._fences.values()):
            fence.on_acknowledgements(state)
        if not self._ranges or (self._is_settled and not evaluation_due):
            return
        ready = state.ready_endpoints()
        self._full_weight = max(self._full_weight, sum(e.listed_weight for e in ready.values()))
        self._round_fence = None
        loads = KeyRangeLoads(state, self._ranges.values(), self._full_weight)
        self._is_settled = self._replace_unusable_endpoints(state, budget, loads)
        if not ready:
            return
        if evaluation_due and self._is_settled:
            self._relocate_displaced(state, budget, loads)
        if not self._update_admission(state, budget, loads):
            self._is_settled = False

    def _replace_unusable_endpoints(
        self, state: PolicyState, budget: EgressBudget, loads: KeyRangeLoads
    ) -> bool:
        """Write the entries of key ranges without usable endpoints; return whether none has to wait.

        Those that have waited longest come first.
        """
        excess = loads.excess_of_warming_endpoints(self._ranges.values())
        unserved = []
        for key_range in self._ranges.values():
            usable = _usable_entries(key_range, loads, excess)
            if usable and usable == key_range.entries:
                key_range.unserved_since_ns = None
                continue
            if key_range.unserved_since_ns is None:
                key_range.unserved_since_ns = state.now_ns
            unserved.append((key_range, usable))
        unserved.sort(key=lambda item: item[0].unserved_since_ns or 0)
        for key_range, usable in unserved:
            reservation = self._replace(state, budget, loads, key_range, usable, PushKind.URGENT)
            if reservation not in (Reservation.GRANTED, None):
                break  # the others go to the same proxies
        return all(
            key_range.unserved_since_ns is None
            or not (loads.has_endpoint_for(key_range) or key_range.entries)
            for key_range in self._ranges.values()
        )

    def _replace(
        self,
        state: PolicyState,
        budget: EgressBudget,
        loads: KeyRangeLoads,
        key_range: KeyRange,
        usable: dict[str, float],
        kind: PushKind,
    ) -> Reservation | None:
        """Take the next step to other entries; return None if it has to wait for a fence or an endpoint."""
        best = None if usable else loads.best_endpoint(key_range)
        if not key_range.entries and best is None:
            return None
        if state.settings.single_owner and key_range.entries:
            return self._clear(state, budget, loads, key_range, kind)
        if state.settings.single_owner and state.now_ns < self._may_assign_ns(
            state, budget, key_range.number
        ):
            return None
        entries = usable if best is None else {best: ENTRY_WEIGHT}
        reservation = _write_entries(state, budget, key_range, entries, kind)
        if reservation is Reservation.GRANTED:
            key_range.former_owners |= key_range.entries.keys() - entries.keys()
            loads.move(key_range, entries)
            key_range.is_displaced = any(loads.utilization(name) > 1 for name in entries)
            key_range.unserved_since_ns = None if entries else key_range.unserved_since_ns
            self._fences.pop(key_range.number, None)
        return reservation

    def _clear(
        self,
        state: PolicyState,
        budget: EgressBudget,
        loads: KeyRangeLoads,
        key_range: KeyRange,
        kind: PushKind,
    ) -> Reservation:
        """Clear the table of a key range and set up its fence.

        The message quotas must have room for the message that names the next owner, too.
        """
        reservation = budget.reserve(state, state.proxies, 1, kind, messages=2)
        if reservation is not Reservation.GRANTED:
            return reservation
        state.commands.clear_table(key_range.number)
        if self._round_fence is None:
            self._round_fence = OwnershipFence(state, budget, self._leases.latest_end_ns(state))
        self._fences[key_range.number] = self._round_fence
        key_range.former_owners |= key_range.entries.keys()
        loads.move(key_range, {})
        self._is_settled = False
        return reservation

    def _may_assign_ns(self, state: PolicyState, budget: EgressBudget, number: int) -> int:
        """Return when a cleared key range may get a new owner, as far as is known."""
        fence = self._fences.get(number)
        fence_end_ns = state.now_ns if fence is None else fence.end_ns(state, budget)
        return max(fence_end_ns, self._lease_ends_ns.get(number, state.now_ns))

    def _relocate_displaced(self, state: PolicyState, budget: EgressBudget, loads: KeyRangeLoads) -> None:
        """Move a key range of an endpoint beyond its fair share to one within its own, one in a round.

        Where the endpoint has got a key range beyond its share, any of its key ranges may be moved.
        """
        for key_range in self._ranges.values():
            if not key_range.is_displaced:
                continue
            if not any(loads.utilization(name) > 1 for name in key_range.entries):
                key_range.is_displaced = False
                continue
            others = [r for r in self._ranges.values() if r.entries.keys() & key_range.entries.keys()]
            for candidate in sorted(others, key=lambda other: other is not key_range):
                if loads.has_room_for(candidate):
                    reservation = self._replace(state, budget, loads, candidate, {}, PushKind.ORDINARY)
                    key_range.is_displaced = reservation is not Reservation.GRANTED
                    return

    def _update_admission(self, state: PolicyState, budget: EgressBudget, loads: KeyRangeLoads) -> bool:
        """Limit admission while only warming endpoints are ready; return False if it has to wait."""
        if state.settings.admission_mode != "share":
            return True
        rate, published = loads.admission_rate(), self._published_admission
        is_close = rate == published or (rate < 1 and abs(rate - published) < MIN_SHARE_CHANGE)
        lacks_limit = rate < 1 and self._has_range_without_admission
        if is_close and not lacks_limit:
            return True
        kind = PushKind.URGENT if rate < published or lacks_limit else PushKind.ORDINARY
        if budget.reserve(state, state.proxies, 1, kind) is not Reservation.GRANTED:
            return False
        write_admission(state, None, share_admission(rate, may_retry=True))
        self._published_admission = rate
        self._has_range_without_admission = False
        return True


def _usable_entries(
    key_range: KeyRange, loads: KeyRangeLoads, excess: set[tuple[int, str]]
) -> dict[str, float]:
    """Return the entries whose endpoints are ready and can carry the key range."""
    return {
        name: weight
        for name, weight in key_range.entries.items()
        if loads.is_ready(name) and (key_range.number, name) not in excess
    }


def _write_entries(
    state: PolicyState, budget: EgressBudget, key_range: KeyRange, entries: dict[str, float], kind: PushKind
) -> Reservation:
    """Write the changed entries of a key range, new ones first, if the budget allows it.

    Without any entry left, proxies send nothing to endpoints that must not receive requests.
    """
    before = key_range.entries
    changed = [name for name in [*entries, *before] if entries.get(name) != before.get(name)]
    reservation = budget.reserve(state, state.proxies, len(changed), kind)
    if reservation is Reservation.GRANTED:
        for name in changed:
            state.commands.set_weight(key_range.number, name, entries.get(name, 0))
    return reservation
