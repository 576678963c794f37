"""The egress budget: limits the entries that were written to proxies and not acknowledged by them yet.

Every unacknowledged entry counts as still queued, so a slow channel, a lost acknowledgement or a stopped
proxy delays pushes. The budget counts what this policy reserved for connected proxies. A frontend may observe
more entries in the channel: those queued for ended sessions, those written by a policy that has crashed
since, and those that the frontend added. Neither count may exceed the limit.
"""

from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from swiftchute.api.events import EgressQueueObserved, ProxyId, PushAcknowledged
from swiftchute.policy.channel_turns import ChannelTurns, PushKind
from swiftchute.policy.conditions import report_condition
from swiftchute.policy.model import Proxy
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_S

# Fractions of the egress queue limit up to which the queue may be filled.
PUSH_THRESHOLD = 0.5  # by ordinary pushes and assignments
DRAIN_NOTICE_THRESHOLD = 0.7  # by assignments and ejections due to drains; drains in tables may exceed it
URGENT_THRESHOLD = 0.9  # by urgent table entries
QUEUE_THRESHOLD = 0.95  # by all queued entries; the rest is for entries that a frontend adds
PUSH_QUOTA_FRACTION = 0.6  # of a proxy's message quota for ordinary pushes; the rest is for urgent ones
MIN_QUEUED_FRACTION = 0.1  # of the queue, ahead of a message whose latency is used to estimate the speed
MIN_CHANNEL_SPEED_RATIO = 0.15  # lower bound of the estimated speed / nominal speed
MIN_CHANNEL_SPEED = 1.0  # entries per second; avoids division by zero
SLOW_CHANNEL_RATIO = 0.5  # speed / nominal speed below which a slow channel is reported to the operators
SPEED_RECOVERY_FACTOR = 2  # growth of the estimated speed per evaluation without evidence
STALL_NS = 1 * NS_PER_S  # after it, missing acknowledgements are those of silent proxies
MAX_TRACKED_NONCES = 2000  # nonces for which the queue length is remembered
MAX_NONCE = 60_000  # the next nonce after it is 1
ACK_REQUEST_ENTRIES = 1  # size of an acknowledgement request within a message


class Reservation(Enum):
    """Result of a request for capacity."""

    GRANTED = auto()
    CHANNEL_FULL = auto()  # what becomes free is kept for it
    NO_ROOM_EXPECTED = auto()  # it is too large, or only silent proxies have unacknowledged entries
    QUOTA_USED_UP = auto()  # the message quota of one of the proxies


class _Limits(NamedTuple):
    """Limits of a kind of message."""

    threshold: float  # fraction of the egress queue limit
    quota_fraction: float = 1.0  # fraction of each proxy's message quota


_LIMITS = {
    PushKind.URGENT: _Limits(URGENT_THRESHOLD),
    PushKind.ORDINARY: _Limits(PUSH_THRESHOLD, PUSH_QUOTA_FRACTION),
    PushKind.FIRST_TABLES: _Limits(PUSH_THRESHOLD),
    PushKind.DRAIN_NOTICE: _Limits(DRAIN_NOTICE_THRESHOLD),
    PushKind.RESTORATION: _Limits(DRAIN_NOTICE_THRESHOLD),
    PushKind.MIGRATION: _Limits(PUSH_THRESHOLD),
}


class EgressBudget:
    """Tracks the entries reserved in this round and those not yet acknowledged by the proxies.

    Attributes:
        unacknowledged_entries: Entries written to connected proxies and not acknowledged by them.
        channel_speed_ratio: Estimated speed of the channel / its nominal speed.
        nonce: Nonce of the last round that wrote to any proxy.
        reserved_entries: Size of this round's message by proxy, in entries.
    """

    def __init__(self) -> None:
        """Create the budget of an empty channel that is assumed to run at nominal speed."""
        self.unacknowledged_entries: float = 0
        self.channel_speed_ratio = 1.0
        self.nonce = 0
        self.reserved_entries: dict[ProxyId, float] = {}
        self._additional_entries: float = 0  # observed in the channel beyond `unacknowledged_entries`
        self._max_observed_ratio = 0.0  # highest speed / nominal speed since the last evaluation
        self._queued_entries_at_nonce: dict[int, float] = {}
        self._turns = ChannelTurns()
        self._moved_at_ns = 0  # when entries last left the channel, or came into the empty one

    @property
    def queued_entries(self) -> float:
        """Entries that may be queued in the channel, reserved by this policy or not."""
        return self.unacknowledged_entries + self._additional_entries

    @property
    def next_nonce(self) -> int:
        """Nonce of the current round if it writes to any proxy."""
        return self.nonce % MAX_NONCE + 1

    def begin_round(self) -> None:
        """Start a round without any reservation."""
        self.reserved_entries = {}
        self._additional_entries = 0
        self._turns.begin_round()

    def release(self, proxy: Proxy) -> None:
        """Release the unacknowledged entries of a disconnected proxy."""
        self.unacknowledged_entries -= sum(proxy.unacknowledged_entries.values())

    def on_push_acknowledged(self, state: PolicyState, event: PushAcknowledged) -> None:
        """Release the entries of a message and of all earlier ones to the same proxy."""
        proxy = state.proxies.get(event.proxy)
        if proxy is None or event.nonce not in proxy.unacknowledged_entries:
            return
        self._observe_speed(state, event)
        pending = proxy.unacknowledged_entries
        while event.nonce in pending:
            self.unacknowledged_entries -= pending.pop(next(iter(pending)))
        self._moved_at_ns = state.now_ns

    def max_delivery_ns(self, state: PolicyState) -> int:
        """Return how long a message that is written now takes to its proxy at most, as far as is known."""
        settings = state.settings
        speed = max(settings.egress_rate_entries_per_s * self.channel_speed_ratio, MIN_CHANNEL_SPEED)
        return int(self.queued_entries * NS_PER_S / speed) + settings.max_push_delay_ns

    def on_egress_queue_observed(self, event: EgressQueueObserved) -> None:
        """Record how many entries the channel holds beyond the unacknowledged ones."""
        self._additional_entries = max(event.entries - self.unacknowledged_entries, 0)

    def update_channel_speed(self, state: PolicyState) -> None:
        """Move the estimated speed halfway to the speed that acknowledgements showed since the last call.

        Only the fastest counts: slower ones may be due to their proxies. Without any the estimate recovers.
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
        kind: PushKind,
        messages: int = 1,
    ) -> Reservation:
        """Reserve capacity for a number of entries to each of the proxies; nothing unless it is granted.

        Args:
            state: State of the policy.
            proxies: Proxies to write to.
            entries: Number of entries for each of them.
            kind: What they are for; it decides how much of the channel and of the quotas may be used.
            messages: How many messages to each proxy the quotas must have room for, this one included.
        """
        overhead = state.settings.message_overhead_entries + ACK_REQUEST_ENTRIES
        costs = {p: entries + (0 if p in self.reserved_entries else overhead) for p in proxies}
        total_cost = sum(costs.values())
        reservation = self._check(state, costs, total_cost, kind, messages)
        if reservation is Reservation.CHANNEL_FULL:
            self._turns.on_refused(kind)
        if reservation is not Reservation.GRANTED:
            return reservation
        self._turns.on_reserved(kind, total_cost)
        if not self.unacknowledged_entries:
            self._moved_at_ns = state.now_ns
        for proxy, cost in costs.items():
            self.reserved_entries[proxy] = self.reserved_entries.get(proxy, 0) + cost
            self.unacknowledged_entries += cost
        return reservation

    def _check(
        self, state: PolicyState, proxies: Iterable[ProxyId], cost: float, kind: PushKind, messages: int
    ) -> Reservation:
        """Return whether messages of a total cost may be written to the proxies."""
        threshold, quota_fraction = _LIMITS[kind]
        if self._turns.is_turn_of(kind):
            threshold = URGENT_THRESHOLD  # as much as the urgent pushes that it takes turns with
        if not self._turns.allows(kind):
            return Reservation.CHANNEL_FULL
        if cost > threshold * state.settings.egress_queue_limit_entries:
            return Reservation.NO_ROOM_EXPECTED
        if not self._channel_has_capacity(state, cost, threshold):
            is_stalled = state.now_ns - self._moved_at_ns > STALL_NS
            return Reservation.NO_ROOM_EXPECTED if is_stalled else Reservation.CHANNEL_FULL
        if not self._quotas_allow(state, proxies, quota_fraction, messages):
            return Reservation.QUOTA_USED_UP
        return Reservation.GRANTED

    def end_round(self, state: PolicyState) -> None:
        """Request an acknowledgement from each proxy written to in this round."""
        if not self.reserved_entries:
            return
        self.nonce = self.next_nonce
        state.commands.request_ack(self.nonce, False)
        self._queued_entries_at_nonce[self.nonce] = self.queued_entries
        if len(self._queued_entries_at_nonce) > MAX_TRACKED_NONCES:
            del self._queued_entries_at_nonce[next(iter(self._queued_entries_at_nonce))]
        for name, entries in self.reserved_entries.items():
            proxy = state.proxies[name]
            proxy.message_times_ns.append(state.now_ns)
            proxy.unacknowledged_entries[self.nonce] = entries

    def _observe_speed(self, state: PolicyState, event: PushAcknowledged) -> None:
        """Estimate the speed: time of the queued entries at nominal speed / acknowledgement latency."""
        settings = state.settings
        queued = self._queued_entries_at_nonce.get(event.nonce, 0)
        if queued > MIN_QUEUED_FRACTION * settings.egress_queue_limit_entries:
            nominal_ns = queued * NS_PER_S / settings.egress_rate_entries_per_s
            latency_ns = max(event.latency_ns - settings.max_push_delay_ns, nominal_ns)
            self._max_observed_ratio = max(self._max_observed_ratio, nominal_ns / latency_ns)

    def _channel_has_capacity(self, state: PolicyState, cost: float, threshold: float) -> bool:
        """Return whether the queue has room for `cost` more entries.

        On a slow channel the queue must be below its limit times the speed ratio: a drain queued behind more
        entries would be late.
        """
        limit = state.settings.egress_queue_limit_entries
        own_limit = threshold * limit
        own_entries = self.unacknowledged_entries
        if own_entries + cost > own_limit or own_entries > self.channel_speed_ratio * own_limit:
            return False
        return self.queued_entries + cost <= QUEUE_THRESHOLD * limit

    def _quotas_allow(
        self, state: PolicyState, proxies: Iterable[ProxyId], quota_fraction: float, messages: int
    ) -> bool:
        """Return whether the quotas allow a number of messages to each proxy, that of this round included.

        Also discards the send times that are older than the quota window.
        """
        settings = state.settings
        if not settings.message_quota:
            return True
        limit = quota_fraction * settings.message_quota - 1  # one message of that part stays unused
        for name in proxies:
            if messages == 1 and name in self.reserved_entries:
                continue
            times_ns = state.proxies[name].message_times_ns
            while times_ns and state.now_ns - times_ns[0] > settings.message_quota_window_ns:
                times_ns.popleft()
            if len(times_ns) + messages > limit:
                return False
        return True
