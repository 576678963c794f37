"""Decides when a push message may be written to a proxy. No I/O.

A message is written at once, unless the proxy has too many unread bytes, its message quota is used up or the
egress queue has no room. The proxy is then deferred: its rounds are merged into one later message, which the
encoder builds from what the proxy should hold at that time. These are limits of the protocol and apply
whatever a policy has reserved. Messages that did not fit into the queue are written in the order in which
they were deferred, and before those of any later round.
"""

from collections.abc import Iterable, Iterator

from swiftchute.controller.assignments import RoundResult
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform.egress_ledger import EgressLedger
from swiftchute.platform.errors import EgressQueueFullError, MessageTooLargeError
from swiftchute.platform.proxy_session import ProxySession
from swiftchute.platform.push_encoder import PushEncoder
from swiftchute.platform.statistics import SessionStatistics

MAX_UNREAD_BYTES = 40 * 1024  # unacknowledged bytes of a proxy, above which its later rounds are merged
UNREAD_RETRY_NS = 5_000_000_000  # interval at which a proxy above that limit is sent one message anyway

Delivery = tuple[ProxySession, bytes]


class PushDelivery:
    """Turns the rounds of the policy into messages to the proxies."""

    def __init__(
        self,
        runner: PolicyRunner,
        encoder: PushEncoder,
        sessions: dict[int, ProxySession],
        statistics: SessionStatistics,
        ledger: EgressLedger,
    ) -> None:
        """Create a delivery without deferred proxies.

        Args:
            runner: Holds the assignments to deliver and the log.
            encoder: Encodes the messages.
            sessions: The sessions by proxy; owned by the session manager.
            statistics: The counters to update.
            ledger: Accounts for the messages written.
        """
        self._runner = runner
        self._encoder = encoder
        self._sessions = sessions
        self._statistics = statistics
        self._ledger = ledger
        self._queue_full = False  # the first deferred message that may be written does not fit into the queue
        self._ejected: set[str] = set()  # ejected endpoints as of the last delivered round
        self.deferred_nonces: dict[int, int | None] = {}  # latest nonce by deferred proxy

    def on_policy_restart(self) -> None:
        """Prepare for the assignments of a new policy."""
        self._ejected = set()
        # The new policy numbers its nonces from the start, so an old nonce could be mistaken for its own.
        self.deferred_nonces = dict.fromkeys(self.deferred_nonces)

    def remove_proxy(self, proxy: int) -> None:
        """Discard what was deferred for a proxy."""
        self.deferred_nonces.pop(proxy, None)

    def deliver_round(self, round_result: RoundResult, now_ns: int) -> Iterator[Delivery]:
        """Yield the messages of a round; those that may not be written now are deferred."""
        ejected = self._runner.assignments.ejected
        newly_ejected: Iterable[str] = ()
        if round_result.ejections_changed:
            newly_ejected = ejected - self._ejected
            self._ejected = set(ejected)
        nonce = round_result.nonce
        self._ledger.record_commands(round_result.entries_by_proxy.values())
        for proxy in round_result.entries_by_proxy:
            session = self._sessions.get(proxy)
            if session is None:
                continue
            must_wait = self._queue_full or proxy in self.deferred_nonces
            if must_wait or not self._may_write(session, now_ns):
                self._defer(proxy, nonce)
                continue
            try:
                data = self._encode(proxy, session, nonce, newly_ejected, now_ns)
            except EgressQueueFullError as error:
                self._defer(proxy, nonce)
                self._report_queue_full(str(error))
                continue
            if data:
                yield session, data

    def deliver_deferred(self, now_ns: int) -> Iterator[Delivery]:
        """Yield one message for each deferred proxy that may be written to again."""
        for proxy, nonce in list(self.deferred_nonces.items()):
            session = self._sessions[proxy]
            if not self._may_write(session, now_ns):
                continue
            try:
                data = self._encode(proxy, session, nonce, self._runner.assignments.ejected, now_ns)
            except EgressQueueFullError as error:
                self._report_queue_full(str(error))
                return
            del self.deferred_nonces[proxy]
            if data:
                yield session, data
        if self._queue_full:
            self._queue_full = False
            self._runner.log_event("egress queue has room", lines=self._ledger.total_entries)

    def _defer(self, proxy: int, nonce: int | None) -> None:
        self._statistics.merged += 1
        self.deferred_nonces[proxy] = nonce if nonce is not None else self.deferred_nonces.get(proxy)

    def _report_queue_full(self, cause: str) -> None:
        if not self._queue_full:
            self._queue_full = True
            self._runner.log_event("egress queue full", lines=self._ledger.total_entries, cause=cause)

    def _may_write(self, session: ProxySession, now_ns: int) -> bool:
        """Whether a proxy has read enough or is due for a retry, and its quota allows a message."""
        has_read = session.unread_bytes < MAX_UNREAD_BYTES
        retry_due = now_ns - session.last_push_ns >= UNREAD_RETRY_NS
        return (has_read or retry_due) and self._quota_allows(session, now_ns)

    def _quota_allows(self, session: ProxySession, now_ns: int) -> bool:
        """Whether the proxy has been sent fewer messages within the window than the protocol allows."""
        settings = self._runner.settings
        times_ns = session.push_times_ns
        while times_ns and now_ns - times_ns[0] > settings.message_quota_window_ns:
            times_ns.popleft()
        return not settings.message_quota or len(times_ns) < settings.message_quota

    def _encode(
        self, proxy: int, session: ProxySession, nonce: int | None, newly_ejected: Iterable[str], now_ns: int
    ) -> bytes:
        """Encode the message to a proxy and record it as written; empty if there is nothing to write.

        Raises:
            EgressQueueFullError: The egress queue has no room for the message now.
        """
        try:
            message = self._encoder.encode(proxy, nonce, newly_ejected, self._ledger.free_entries)
        except MessageTooLargeError as error:
            self._statistics.too_large += 1
            self._runner.log_event("message too large", proxy=proxy, cause=str(error))
            return b""
        if message.data:
            self._statistics.nonces_lost += session.record_push(len(message.data), nonce, now_ns)
            self._ledger.record_message(session, nonce, message.entry_count)
            self._statistics.messages += 1
            self._statistics.entries += message.entry_count
            self._statistics.bytes += len(message.data)
        return message.data
