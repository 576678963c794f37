"""Ownership fences: how long a key range without an owner waits for proxies that may use a former one.

Where a key range has a single owner, its table is cleared before it names another endpoint. A proxy stops
sending writes to the former owner once it has applied the cleared table, which its acknowledgement proves. A
proxy that has lost its session to this instance sends writes for the owner lease and no longer. What a proxy
has received before reaches the owner within the lifetime of a write.
"""

from swiftchute.api.events import ProxyId
from swiftchute.policy.egress_budget import EgressBudget
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_S


class OwnershipFence:
    """Decides when the key ranges that one message cleared may get a new owner.

    Messages leave the channel one after the other. A proxy that is still silent when the longest push delay
    has passed since the last acknowledgement of another one has lost its session before, so the fence ends
    one lease later. While no proxy at all has acknowledged the message, it may not have left the channel.
    """

    def __init__(self, state: PolicyState, budget: EgressBudget, leases_end_ns: int) -> None:
        """Create the fence of key ranges that the current round clears.

        Args:
            state: State of the policy; the message of the round goes to all its proxies.
            budget: Holds what the round has reserved, the cleared tables included.
            leases_end_ns: When the leases of all proxies that are not connected have ended.
        """
        self._not_before_ns = leases_end_ns
        self._nonce = budget.next_nonce
        self._pending: set[ProxyId] = set(budget.reserved_entries)
        self._cleared_ns = state.now_ns
        self._acknowledged_ns: int | None = None  # when a proxy last acknowledged the message

    def on_proxy_lost(self, state: PolicyState, proxy: ProxyId) -> None:
        """Wait for the lease of a proxy whose session ended before it acknowledged the cleared tables."""
        if proxy in self._pending:
            self._pending.discard(proxy)
            self._not_before_ns = max(self._not_before_ns, lease_end_ns(state))

    def on_acknowledgements(self, state: PolicyState) -> None:
        """Take note of the proxies whose acknowledgement came in this round."""
        acknowledged = {
            p for p in self._pending if self._nonce not in state.proxies[p].unacknowledged_entries
        }
        if not acknowledged:
            return
        self._pending -= acknowledged
        self._acknowledged_ns = state.now_ns
        last_write_ns = state.now_ns + state.settings.write_lifetime_ns
        self._not_before_ns = max(self._not_before_ns, last_write_ns)

    def end_ns(self, state: PolicyState, budget: EgressBudget) -> int:
        """Return when the key ranges may get a new owner, as far as is known now.

        The new owner has to reach all proxies within the longest time that they may be without an endpoint.
        """
        latest_ns = self._latest_end_ns(state, budget)
        if not self._pending:
            return min(self._not_before_ns, latest_ns)
        if self._acknowledged_ns is None:
            return latest_ns
        settings = state.settings
        lost_ns = self._acknowledged_ns + settings.max_push_delay_ns
        silent_until_ns = lost_ns + settings.owner_lease_ns + settings.write_lifetime_ns
        return min(max(self._not_before_ns, silent_until_ns), latest_ns)

    def _latest_end_ns(self, state: PolicyState, budget: EgressBudget) -> int:
        settings = state.settings
        max_empty_ns = int(settings.max_no_endpoint_ns / budget.channel_speed_ratio)
        delivery_ns = _channel_time_ns(state, budget) + settings.max_push_delay_ns
        return self._cleared_ns + max_empty_ns - delivery_ns


class LeaseClock:
    """Tracks the leases of proxies that have lost their session to this instance."""

    def __init__(self) -> None:
        """Create the clock of an instance that has lost no proxy."""
        self._ends_ns: dict[ProxyId, int] = {}

    def on_connected(self, proxy: ProxyId) -> None:
        """Forget the lease of a proxy: its next acknowledgement proves that it has read the store."""
        self._ends_ns.pop(proxy, None)

    def on_lost(self, state: PolicyState, proxy: ProxyId) -> None:
        """Start the lease of a proxy whose session ended."""
        self._ends_ns[proxy] = lease_end_ns(state)

    def latest_end_ns(self, state: PolicyState) -> int:
        """Return when all leases have ended, the current time if none runs."""
        self._ends_ns = {proxy: end_ns for proxy, end_ns in self._ends_ns.items() if end_ns > state.now_ns}
        return max(self._ends_ns.values(), default=state.now_ns)


def lease_end_ns(state: PolicyState) -> int:
    """Return when endpoints hold no more writes of a proxy whose lease starts now."""
    return state.now_ns + state.settings.owner_lease_ns + state.settings.write_lifetime_ns


def _channel_time_ns(state: PolicyState, budget: EgressBudget) -> int:
    """Return how long the channel takes to send what is queued, at its estimated speed."""
    rate_per_s = state.settings.egress_rate_entries_per_s * budget.channel_speed_ratio
    return int(budget.queued_entries * NS_PER_S / rate_per_s)
