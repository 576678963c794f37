"""Accounts for entries written to proxies that may still wait in the egress queue. No I/O, no clock.

The ledger outlives policies and sessions. It counts what was written, not what a policy reserved. The unit is
entries: a message costs its entries plus a fixed overhead. A message is settled (no longer counted) once its
proxy acknowledges it or a later one. Unacknowledged messages of an ended session stay in the queue, so they
stay counted until a message that was written later is acknowledged (messages leave the queue in the order in
which they were written), or until even the slowest channel would have sent them.
"""

import math
from collections import deque
from collections.abc import Iterable

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.platform.proxy_session import ProxySession
from swiftchute.policy.egress_budget import MIN_CHANNEL_SPEED_RATIO

NS_PER_S = 1_000_000_000


class WrittenMessage(msgspec.Struct, frozen=True, gc=False):
    """A message that the proxy has not acknowledged."""

    nonce: int | None
    round_number: int
    cost_entries: int  # including the message overhead
    latest_send_ns: int  # when even the slowest channel will have sent it


class UnsettledRound(msgspec.Struct):
    """Unacknowledged entries written in one round to sessions that have since ended."""

    cost_entries: int = 0  # including the message overheads
    latest_send_ns: int = 0


class EgressLedger:
    """Counts the entries on their way to proxies.

    Attributes:
        in_flight_entries: Unacknowledged entries of open sessions.
        ended_entries: Unsettled entries of sessions that have ended.
        max_total_entries: The maximum of the sum of these two since the start.
        commanded_entries: Entries that the policy commanded since the start, without overheads.
        written_entries: Entries written since the start, without overheads.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with an empty egress queue."""
        self._limit_entries = int(settings.egress_queue_limit_entries)
        self._overhead_entries = math.ceil(settings.message_overhead_entries)
        self._slowest_rate_per_s = MIN_CHANNEL_SPEED_RATIO * settings.egress_rate_entries_per_s
        self._round_number = 0
        self._round_started_ns = 0
        self._messages: dict[ProxySession, deque[WrittenMessage]] = {}
        self._unsettled: dict[int, UnsettledRound] = {}  # by round number
        self.in_flight_entries = 0
        self.ended_entries = 0
        self.max_total_entries = 0
        self.commanded_entries = 0
        self.written_entries = 0

    @property
    def total_entries(self) -> int:
        """Entries that may still wait in the egress queue."""
        return self.in_flight_entries + self.ended_entries

    @property
    def free_entries(self) -> float:
        """Entries that the next message may have without exceeding the limit of the queue.

        It is infinite while the queue is empty, so that a message larger than the whole queue can be written.
        """
        if not self.total_entries:
            return math.inf
        return self._limit_entries - self.total_entries - self._overhead_entries

    @property
    def log_fields(self) -> dict[str, int]:
        """The counters by their names in the log."""
        return {
            "in_flight": self.in_flight_entries,
            "of_ended_sessions": self.ended_entries,
            "max_in_channel": self.max_total_entries,
            "channel_limit": self._limit_entries,
            "commanded": self.commanded_entries,
            "written": self.written_entries,
        }

    def begin_round(self, now_ns: int) -> None:
        """Start a round, whose messages are queued after all earlier ones, and settle overdue messages."""
        self._round_number += 1
        self._round_started_ns = now_ns
        for number in [number for number, each in self._unsettled.items() if now_ns >= each.latest_send_ns]:
            self._settle(number)

    def record_commands(self, entries: Iterable[int]) -> None:
        """Add the entries that the policy commanded in a round, given per proxy."""
        self.commanded_entries += sum(entries)

    def record_message(self, session: ProxySession, nonce: int | None, entries: int) -> None:
        """Record a message that is being written.

        Args:
            session: The session that it is written to.
            nonce: The nonce that the proxy must acknowledge, if any.
            entries: The entries of the message, without the overhead.
        """
        cost = entries + self._overhead_entries
        self.written_entries += entries
        self.in_flight_entries += cost
        self.max_total_entries = max(self.max_total_entries, self.total_entries)
        longest_wait_ns = int(self.total_entries / self._slowest_rate_per_s * NS_PER_S)
        # the ledger has no clock, so the start of the round is used as the time of writing
        message = WrittenMessage(nonce, self._round_number, cost, self._round_started_ns + longest_wait_ns)
        self._messages.setdefault(session, deque()).append(message)

    def acknowledge(self, session: ProxySession, nonce: int) -> None:
        """Settle the message with this nonce, and all messages that left the queue before it.

        The nonce must be pending: for any other, all messages to the session would count as settled.
        """
        messages = self._messages.get(session)
        while messages:
            message = messages.popleft()
            self.in_flight_entries -= message.cost_entries
            if message.nonce == nonce:
                self._settle_before(message.round_number)
                return

    def end_session(self, session: ProxySession) -> int:
        """Handle the end of a session and return the number of its unacknowledged entries."""
        messages = self._messages.pop(session, ())
        for message in messages:
            unsettled = self._unsettled.setdefault(message.round_number, UnsettledRound())
            unsettled.cost_entries += message.cost_entries
            unsettled.latest_send_ns = max(unsettled.latest_send_ns, message.latest_send_ns)
        entries = sum(message.cost_entries for message in messages)
        self.in_flight_entries -= entries
        self.ended_entries += entries
        return entries

    def _settle_before(self, round_number: int) -> None:
        """Settle the messages of ended sessions from earlier rounds.

        Messages of the same round stay, because their order in the queue is not known.
        """
        for number in [number for number in self._unsettled if number < round_number]:
            self._settle(number)

    def _settle(self, round_number: int) -> None:
        self.ended_entries -= self._unsettled.pop(round_number).cost_entries
