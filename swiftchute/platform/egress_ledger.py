"""What was written to proxies and may still wait in the channel. No I/O; the time comes in with each call.

The ledger outlives policies and sessions. It counts what was written, not what a policy reserved, in entries:
a message costs its overhead and its entries. A message is settled once its proxy acknowledges it or a later
one. What a session that ended had not acknowledged stays in the channel, so it stays counted until a message
that was written later is acknowledged, as messages leave the channel in the order in which they were written,
or until the slowest channel would have sent it.
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
    """A message that its proxy has not acknowledged."""

    nonce: int | None
    round_number: int
    entries: int  # with the overhead of a message
    sent_by_ns: int  # when even the slowest channel has sent it


class UnsettledRound(msgspec.Struct):
    """What was written in one round to sessions that have ended since."""

    entries: int = 0
    sent_by_ns: int = 0


class EgressLedger:
    """Entries on their way to proxies.

    Attributes:
        in_flight_entries: Written on open sessions and not acknowledged.
        ended_entries: Not settled, on sessions that have ended.
        max_total_entries: The largest sum of these since the start.
        commanded_entries: What the policy commanded since the start, without overheads.
        written_entries: What was written since the start, without overheads.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with an empty channel."""
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
        """Entries that may wait in the channel."""
        return self.in_flight_entries + self.ended_entries

    @property
    def free_entries(self) -> float:
        """Entries that one more message may have, so that what waits stays within the limit.

        A message that exceeds the whole queue by itself is written once nothing else waits.
        """
        if not self.total_entries:
            return math.inf
        return self._limit_entries - self.total_entries - self._overhead_entries

    @property
    def figures(self) -> dict[str, int]:
        """What is counted, by the names of the log's fields."""
        return {
            "in_flight": self.in_flight_entries,
            "of_ended_sessions": self.ended_entries,
            "max_in_channel": self.max_total_entries,
            "channel_limit": self._limit_entries,
            "commanded": self.commanded_entries,
            "written": self.written_entries,
        }

    def begin_round(self, now_ns: int) -> None:
        """Start a round: what is written from now on is later than all before."""
        self._round_number += 1
        self._round_started_ns = now_ns
        for number in [number for number, each in self._unsettled.items() if now_ns >= each.sent_by_ns]:
            self._settle(number)

    def record_commands(self, entries: Iterable[int]) -> None:
        """Note the entries to each proxy that the policy commanded in a round."""
        self.commanded_entries += sum(entries)

    def record_message(self, session: ProxySession, nonce: int | None, entries: int) -> None:
        """Note a message that is written.

        Args:
            session: Where it is written.
            nonce: Number that the proxy is to acknowledge, if any.
            entries: Its entries, without the overhead.
        """
        cost = entries + self._overhead_entries
        self.written_entries += entries
        self.in_flight_entries += cost
        self.max_total_entries = max(self.max_total_entries, self.total_entries)
        longest_wait_ns = int(self.total_entries / self._slowest_rate_per_s * NS_PER_S)
        message = WrittenMessage(nonce, self._round_number, cost, self._round_started_ns + longest_wait_ns)
        self._messages.setdefault(session, deque()).append(message)

    def acknowledge(self, session: ProxySession, nonce: int) -> None:
        """Settle the message of a nonce that the session owed, and all that left the channel before it."""
        messages = self._messages.get(session)
        while messages:
            message = messages.popleft()
            self.in_flight_entries -= message.entries
            if message.nonce == nonce:
                self._settle_before(message.round_number)
                return

    def end_session(self, session: ProxySession) -> int:
        """Handle the end of a session; return the entries that it had not acknowledged."""
        messages = self._messages.pop(session, ())
        for message in messages:
            unsettled = self._unsettled.setdefault(message.round_number, UnsettledRound())
            unsettled.entries += message.entries
            unsettled.sent_by_ns = max(unsettled.sent_by_ns, message.sent_by_ns)
        entries = sum(message.entries for message in messages)
        self.in_flight_entries -= entries
        self.ended_entries += entries
        return entries

    def _settle_before(self, round_number: int) -> None:
        """Settle the ended sessions' messages of earlier rounds.

        Those of the same round stay: the order in which the channel took them is not known.
        """
        for number in [number for number in self._unsettled if number < round_number]:
            self._settle(number)

    def _settle(self, round_number: int) -> None:
        self.ended_entries -= self._unsettled.pop(round_number).entries
