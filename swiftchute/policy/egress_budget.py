"""The egress budget: how much may be written to proxies, and what they have not acknowledged yet.

All entries that were not acknowledged count as still queued. So a slow channel, a lost acknowledgement or a
proxy that has stopped holds pushes back. The budget counts what this policy reserved for proxies that are
connected; a frontend may observe more in the channel: what waits for sessions that have ended, what a policy
wrote that has crashed since, and entries that the frontend added. Neither may exceed the limit.
"""

from collections.abc import Iterable

from swiftchute.api.events import EgressQueueObserved, ProxyId, PushAcknowledged
from swiftchute.policy.conditions import report_condition
from swiftchute.policy.model import Proxy
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_S

# Parts of the egress queue up to which it may be filled.
PUSH_THRESHOLD = 0.5  # by ordinary pushes and assignments
DRAIN_NOTICE_THRESHOLD = 0.7  # by assignments and ejections that tell of drains: drains in tables pass them
URGENT_THRESHOLD = 0.9  # by urgent entries of tables
QUEUE_THRESHOLD = 0.95  # by everything that may wait; the rest is for entries that a frontend adds
PUSH_QUOTA_FRACTION = 0.6  # part of a proxy's message quota for ordinary pushes; the rest is for urgent ones
MIN_QUEUED_FRACTION = 0.1  # of the queue, ahead of a message whose acknowledgement tells of the speed
MIN_CHANNEL_SPEED_RATIO = 0.15  # the channel is not taken for slower than this part of its nominal speed
SLOW_CHANNEL_RATIO = 0.5  # speed / nominal speed below which operators are told
SPEED_RECOVERY_FACTOR = 2  # growth of the speed in an evaluation without any evidence
MAX_TRACKED_NONCES = 2000  # nonces of which the entries queued ahead are remembered
MAX_NONCE = 60_000  # after which nonces begin again
ACK_REQUEST_ENTRIES = 1  # size of the request for an acknowledgement in a message


class EgressBudget:
    """The entries reserved in this round, and those on their way to the proxies.

    Attributes:
        unacknowledged_entries: Entries written that no proxy has acknowledged.
        channel_speed_ratio: Speed of the channel as a part of its nominal speed.
        nonce: Nonce of the last round that wrote something.
        reserved_entries: Entries of this round's message, by proxy.
    """

    def __init__(self) -> None:
        """Create the budget of a channel that is empty and has its nominal speed."""
        self.unacknowledged_entries: float = 0
        self.channel_speed_ratio = 1.0
        self.nonce = 0
        self.reserved_entries: dict[ProxyId, float] = {}
        self._unreserved_entries: float = 0  # in the channel, and not in `unacknowledged_entries`
        self._max_observed_ratio = 0.0  # the fastest since the last evaluation
        self._queued_entries_at_nonce: dict[int, float] = {}

    @property
    def queued_entries(self) -> float:
        """Entries that may wait in the channel."""
        return self.unacknowledged_entries + self._unreserved_entries

    def begin_round(self) -> None:
        """Start a round in which nothing is reserved yet."""
        self.reserved_entries = {}
        self._unreserved_entries = 0

    def release(self, proxy: Proxy) -> None:
        """Give back what a disconnected proxy has not acknowledged."""
        self.unacknowledged_entries -= sum(proxy.unacknowledged_entries.values())

    def on_push_acknowledged(self, state: PolicyState, event: PushAcknowledged) -> None:
        """Give back the entries of a message and of all before it to the same proxy."""
        proxy = state.proxies.get(event.proxy)
        if proxy is None or event.nonce not in proxy.unacknowledged_entries:
            return
        self._observe_speed(state, event)
        pending = proxy.unacknowledged_entries
        while event.nonce in pending:
            self.unacknowledged_entries -= pending.pop(next(iter(pending)))

    def on_egress_queue_observed(self, event: EgressQueueObserved) -> None:
        """Count what is in the channel beyond what was reserved."""
        self._unreserved_entries = max(event.entries - self.unacknowledged_entries, 0)

    def update_channel_speed(self, state: PolicyState) -> None:
        """Move the channel's speed half of the way to what acknowledgements showed since the last call.

        The fastest one tells of the channel, the others of their proxies. Without any the channel recovers.
        """
        recovered = min(SPEED_RECOVERY_FACTOR * self.channel_speed_ratio, 1.0)
        observed = self._max_observed_ratio or recovered
        self._max_observed_ratio = 0.0
        self.channel_speed_ratio = max((self.channel_speed_ratio + observed) / 2, MIN_CHANNEL_SPEED_RATIO)
        slow = self.channel_speed_ratio < SLOW_CHANNEL_RATIO
        report_condition(state, "slow channel", slow, f"{self.channel_speed_ratio:.2f} of its usual pace")

    def reserve(
        self,
        state: PolicyState,
        proxies: Iterable[ProxyId],
        entries: int,
        threshold: float = URGENT_THRESHOLD,
        quota_fraction: float = 1.0,
    ) -> bool:
        """Reserve capacity for entries to each of the proxies.

        Args:
            state: State of the policy.
            proxies: Proxies that are written to.
            entries: Entries for each of them.
            threshold: Part of the egress queue that may be filled.
            quota_fraction: Part of each proxy's message quota that may be used.

        Returns:
            False, without reserving anything, if the channel or a proxy's quota lacks the capacity.
        """
        overhead = state.settings.message_overhead_entries + ACK_REQUEST_ENTRIES
        costs = {p: entries + (0 if p in self.reserved_entries else overhead) for p in proxies}
        if not self._channel_has_capacity(state, sum(costs.values()), threshold):
            return False
        if not self._quotas_allow(state, costs, quota_fraction):
            return False
        for proxy, cost in costs.items():
            self.reserved_entries[proxy] = self.reserved_entries.get(proxy, 0) + cost
            self.unacknowledged_entries += cost
        return True

    def end_round(self, state: PolicyState) -> None:
        """Request acknowledgements of what was written in this round."""
        if not self.reserved_entries:
            return
        self.nonce = self.nonce % MAX_NONCE + 1
        state.commands.request_ack(self.nonce, False)
        self._queued_entries_at_nonce[self.nonce] = self.queued_entries
        if len(self._queued_entries_at_nonce) > MAX_TRACKED_NONCES:
            del self._queued_entries_at_nonce[next(iter(self._queued_entries_at_nonce))]
        for name, entries in self.reserved_entries.items():
            proxy = state.proxies[name]
            proxy.message_times_ns.append(state.now_ns)
            proxy.unacknowledged_entries[self.nonce] = entries

    def _observe_speed(self, state: PolicyState, event: PushAcknowledged) -> None:
        """Compare the time that the entries ahead of a message take at nominal speed with its latency."""
        settings = state.settings
        queued = self._queued_entries_at_nonce.get(event.nonce, 0)
        if queued > MIN_QUEUED_FRACTION * settings.egress_queue_limit_entries:
            nominal_ns = queued * NS_PER_S / settings.egress_rate_entries_per_s
            latency_ns = max(event.latency_ns - settings.max_push_delay_ns, nominal_ns)
            self._max_observed_ratio = max(self._max_observed_ratio, nominal_ns / latency_ns)

    def _channel_has_capacity(self, state: PolicyState, cost: float, threshold: float) -> bool:
        """Return whether the queue may take a cost in entries.

        A slow channel may hold no more than leaves it in the same time: a drain behind more would be late.
        """
        limit = state.settings.egress_queue_limit_entries
        own_limit = threshold * limit
        own = self.unacknowledged_entries
        if own + cost > own_limit or own > self.channel_speed_ratio * own_limit:
            return False
        return self.queued_entries + cost <= QUEUE_THRESHOLD * limit

    def _quotas_allow(self, state: PolicyState, proxies: Iterable[ProxyId], quota_fraction: float) -> bool:
        """Return whether each proxy without a message in this round may be sent one."""
        settings = state.settings
        if not settings.message_quota:
            return True
        limit = quota_fraction * settings.message_quota - 1
        for name in proxies:
            if name in self.reserved_entries:
                continue
            times_ns = state.proxies[name].message_times_ns
            while times_ns and state.now_ns - times_ns[0] > settings.message_quota_window_ns:
                times_ns.popleft()
            if len(times_ns) + 1 > limit:
                return False
        return True
