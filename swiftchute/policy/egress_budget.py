"""The egress budget: limits the entries that were written to proxies and may still be queued in the channel.

Messages leave the channel in the order of the rounds that wrote them. An acknowledgement therefore proves
that the channel has sent the messages of all earlier rounds. A proxy that does not acknowledge these in time
either is silent, and its entries are released. Every other unacknowledged entry counts as queued. That the
channel has sent a message does not mean that its proxy has applied it: only the proxy's own acknowledgement
proves that.

The budget counts what this policy reserved for connected proxies. A frontend may observe more entries: those
queued for ended sessions, those written by a policy that has crashed since, those that the frontend added,
and those that silent proxies have not read. Neither count may exceed the limit.
"""

from collections import deque
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from swiftchute.api.events import EgressQueueObserved, ProxyDeliveryChanged, ProxyId, PushAcknowledged
from swiftchute.api.settings import Settings
from swiftchute.policy.channel_turns import ChannelTurns, PushKind
from swiftchute.policy.conditions import report_condition
from swiftchute.policy.model import Proxy
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_MS, NS_PER_S

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
ACK_MARGIN_NS = 500 * NS_PER_MS  # for an acknowledgement, after the longest delay of its message
MAX_TRACKED_ROUNDS = 2000  # rounds that are remembered by their nonces
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


class _WrittenRound(NamedTuple):
    """A round that wrote to proxies."""

    number: int  # counts the rounds that wrote to any proxy
    queued_entries: float  # in the channel after the round


class _AcknowledgedRound(NamedTuple):
    """A round that was newer than all rounds acknowledged before it."""

    number: int
    earlier_overdue_at_ns: int  # when acknowledgements of all earlier rounds are overdue


def acknowledgement_timeout_ns(settings: Settings) -> int:
    """Return how long after the channel has sent a message its acknowledgement is overdue."""
    return settings.max_push_delay_ns + ACK_MARGIN_NS


class EgressBudget:
    """Tracks the entries reserved in this round and those that may still be queued from earlier ones.

    Attributes:
        unsent_entries: Entries reserved for connected proxies that the channel may not have sent yet.
        channel_speed_ratio: Estimated speed of the channel / its nominal speed.
        nonce: Nonce of the last round that wrote to any proxy.
        reserved_entries: Size of this round's message by proxy, in entries.
    """

    def __init__(self) -> None:
        """Create the budget of an empty channel that is assumed to run at nominal speed."""
        self.unsent_entries: float = 0
        self.channel_speed_ratio = 1.0
        self.nonce = 0
        self.reserved_entries: dict[ProxyId, float] = {}
        self._additional_entries: float = 0  # observed beyond `unsent_entries`
        self._max_observed_ratio = 0.0  # highest speed / nominal speed since the last evaluation
        self._rounds: dict[int, _WrittenRound] = {}  # by nonce, in order
        self._round_number = 0  # of the last round that wrote to any proxy
        self._acknowledged_rounds: deque[_AcknowledgedRound] = deque()  # whose earlier ones are not overdue
        self._newest_acknowledged_round = 0
        self._turns = ChannelTurns()
        self._moved_at_ns = 0  # when entries last left the channel, or came into the empty one

    @property
    def queued_entries(self) -> float:
        """Entries that may be queued in the channel, reserved by this policy or not."""
        return self.unsent_entries + self._additional_entries

    @property
    def next_nonce(self) -> int:
        """Nonce of the current round if it writes to any proxy."""
        return self.nonce % MAX_NONCE + 1

    def begin_round(self, state: PolicyState) -> None:
        """Start a round without any reservation, and release the entries of silent proxies."""
        self.reserved_entries = {}
        self._additional_entries = 0
        self._turns.begin_round()
        overdue_before = 0
        while (
            self._acknowledged_rounds and self._acknowledged_rounds[0].earlier_overdue_at_ns <= state.now_ns
        ):
            overdue_before = self._acknowledged_rounds.popleft().number
        if overdue_before:
            self._release_rounds_before(state, overdue_before)

    def release(self, proxy: Proxy) -> None:
        """Release the entries of a proxy that disconnected or that is not written to any more.

        Its messages remain unacknowledged.
        """
        for nonce, entries in proxy.unacknowledged_entries.items():
            self.unsent_entries -= entries
            proxy.unacknowledged_entries[nonce] = 0

    def on_delivery_changed(self, state: PolicyState, event: ProxyDeliveryChanged) -> None:
        """Reserve nothing for a proxy whose messages the frontend holds back; it gets them afterwards."""
        proxy = state.proxies.get(event.proxy)
        if proxy is None:
            return
        proxy.delivery_paused = event.paused
        if event.paused:
            self.release(proxy)
        elif proxy.assigned_at_ns is not None:
            proxy.assigned_at_ns = state.now_ns + self.max_delivery_ns(state)

    def on_push_acknowledged(self, state: PolicyState, event: PushAcknowledged) -> None:
        """Release the entries of a message and of all earlier ones to the same proxy."""
        proxy = state.proxies.get(event.proxy)
        if proxy is None or event.nonce not in proxy.unacknowledged_entries:
            return
        self._observe_speed(state, event)
        pending = proxy.unacknowledged_entries
        while event.nonce in pending:
            self.unsent_entries -= pending.pop(next(iter(pending)))
        self._moved_at_ns = state.now_ns
        acknowledged = self._round_number_of(event.nonce)
        if acknowledged > self._newest_acknowledged_round:
            self._newest_acknowledged_round = acknowledged
            overdue_at_ns = state.now_ns + acknowledgement_timeout_ns(state.settings)
            self._acknowledged_rounds.append(_AcknowledgedRound(acknowledged, overdue_at_ns))

    def _release_rounds_before(self, state: PolicyState, number: int) -> None:
        """Release the unacknowledged entries of the rounds before one: the channel has sent them.

        Messages of the same round stay, because their order in the channel is not known.
        """
        for proxy in state.proxies.values():
            pending = proxy.unacknowledged_entries
            for nonce, entries in pending.items():
                if self._round_number_of(nonce) >= number:
                    break
                self.unsent_entries -= entries
                pending[nonce] = 0

    def _round_number_of(self, nonce: int) -> int:
        """Return the number of the round with a nonce, 0 for one that is no longer remembered."""
        written = self._rounds.get(nonce)
        return 0 if written is None else written.number

    def max_delivery_ns(self, state: PolicyState) -> int:
        """Return how long a message that is written now takes to its proxy at most, as far as is known."""
        settings = state.settings
        speed = max(settings.egress_rate_entries_per_s * self.channel_speed_ratio, MIN_CHANNEL_SPEED)
        return int(self.queued_entries * NS_PER_S / speed) + settings.max_push_delay_ns

    def on_egress_queue_observed(self, event: EgressQueueObserved) -> None:
        """Record how many entries may be in the channel beyond those that this policy counts."""
        self._additional_entries = max(event.entries - self.unsent_entries, 0)

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
        costs = {proxy: self._cost(state, proxy, entries) for proxy in proxies}
        total_cost = sum(costs.values())
        reservation = self._check(state, costs, total_cost, kind, messages)
        if reservation is Reservation.CHANNEL_FULL:
            self._turns.on_refused(kind)
        if reservation is not Reservation.GRANTED:
            return reservation
        self._turns.on_reserved(kind, total_cost)
        if not self.unsent_entries:
            self._moved_at_ns = state.now_ns
        for proxy, cost in costs.items():
            self.reserved_entries[proxy] = self.reserved_entries.get(proxy, 0) + cost
            self.unsent_entries += cost
        return reservation

    def _cost(self, state: PolicyState, proxy: ProxyId, entries: int) -> float:
        """Return what a number of entries to a proxy costs; the first of a round need a message."""
        if state.proxies[proxy].delivery_paused:
            return 0
        if proxy in self.reserved_entries:
            return entries
        return entries + state.settings.message_overhead_entries + ACK_REQUEST_ENTRIES

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
        self._round_number += 1
        self._rounds[self.nonce] = _WrittenRound(self._round_number, self.queued_entries)
        if len(self._rounds) > MAX_TRACKED_ROUNDS:
            del self._rounds[next(iter(self._rounds))]
        for name, entries in self.reserved_entries.items():
            self._record_message(state.proxies[name], entries, state.now_ns)

    def _record_message(self, proxy: Proxy, entries: float, now_ns: int) -> None:
        """Record the message of this round to a proxy."""
        if not proxy.delivery_paused:
            proxy.message_times_ns.append(now_ns)
        # the nonce has come round again if the proxy has acknowledged nothing since
        self.unsent_entries -= proxy.unacknowledged_entries.pop(self.nonce, 0)
        proxy.unacknowledged_entries[self.nonce] = entries

    def _observe_speed(self, state: PolicyState, event: PushAcknowledged) -> None:
        """Estimate the speed: time of the queued entries at nominal speed / acknowledgement latency."""
        settings = state.settings
        written = self._rounds.get(event.nonce)
        queued = 0 if written is None else written.queued_entries
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
        own_entries = self.unsent_entries
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
            proxy = state.proxies[name]
            if proxy.delivery_paused or (messages == 1 and name in self.reserved_entries):
                continue
            times_ns = proxy.message_times_ns
            while times_ns and state.now_ns - times_ns[0] > settings.message_quota_window_ns:
                times_ns.popleft()
            if len(times_ns) + messages > limit:
                return False
        return True
