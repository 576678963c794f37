"""Decides which proxies are silent, and holds back their messages. No I/O, no clock.

What is written to a proxy that does not read enters the channel once it reads on, all at once. So a proxy
that does not acknowledge in time is paused: its changes are merged into one message until it acknowledges. As
an acknowledgement may also be lost, a paused proxy is sent a message at growing intervals, as long as paused
proxies have little to read. The policy reserves nothing for paused proxies.
"""

from collections.abc import Callable

import msgspec

from swiftchute.api.settings import Settings
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform.egress_ledger import EgressLedger
from swiftchute.platform.proxy_session import ProxySession
from swiftchute.platform.statistics import SessionStatistics
from swiftchute.policy.egress_budget import QUEUE_THRESHOLD, acknowledgement_timeout_ns

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000
CHECK_INTERVAL_NS = 100 * NS_PER_MS
FIRST_RETRY_NS = 1 * NS_PER_S  # from the pause to the first message; the interval doubles with each one
MAX_RETRY_INTERVAL_NS = 5 * NS_PER_S
READ_ON_NS = 1 * NS_PER_S  # without an acknowledgement of paused proxies, the others have not read on
# Fractions of the egress queue limit.
RETRY_THRESHOLD = 0.3  # of entries that silent proxies have not read, up to which retries are written
SPEAKING_RETRY_THRESHOLD = 0.4  # of the same, for retries to proxies that do not read but send reports
RESUME_THRESHOLD = 0.5  # of other entries in the channel, up to which resumed proxies are written to


class _Pause(msgspec.Struct):
    """When a paused proxy may be sent a message."""

    started_ns: int
    retry_at_ns: int
    retry_interval_ns: int = FIRST_RETRY_NS


class DeliveryPauses:
    """The proxies whose messages are held back because they are silent."""

    def __init__(
        self,
        runner: PolicyRunner,
        ledger: EgressLedger,
        sessions: dict[int, ProxySession],
        statistics: SessionStatistics,
    ) -> None:
        """Create an instance that holds nothing back.

        Args:
            runner: Told which proxies are paused; holds the settings and the log.
            ledger: Knows what was written and acknowledged.
            sessions: The sessions by proxy; owned by the session manager.
            statistics: The counters to update.
        """
        self._runner = runner
        self._ledger = ledger
        self._sessions = sessions
        self._statistics = statistics
        self._paused: dict[int | None, _Pause] = {}
        self._resumed: set[int] = set()  # whose merged message was not written yet
        self._checked_at_ns = 0
        self._acknowledged_at_ns = 0  # when a paused proxy last acknowledged a message

    @property
    def paused_count(self) -> int:
        """Number of paused proxies."""
        return len(self._paused)

    def check(self, now_ns: int) -> None:
        """Pause the proxies that are silent now."""
        if now_ns - self._checked_at_ns < CHECK_INTERVAL_NS:
            return
        self._checked_at_ns = now_ns
        is_silent = self._silence_check(now_ns)
        for proxy, session in self._sessions.items():
            if proxy not in self._paused and session.pending_nonces and is_silent(session):
                self._pause(proxy, now_ns)

    def on_acknowledged(self, session: ProxySession, now_ns: int) -> None:
        """Resume a paused proxy unless older messages show that it is still silent."""
        proxy = session.proxy
        if proxy is None or proxy not in self._paused:
            return
        self._acknowledged_at_ns = now_ns
        if not self._silence_check(now_ns)(session):
            self._end_pause(proxy)
            self._resumed.add(proxy)
            self._runner.on_delivery_changed(proxy, paused=False)

    def on_disconnected(self, proxy: int) -> None:
        """Forget a proxy whose session has ended."""
        if proxy in self._paused:
            self._end_pause(proxy)
        self._resumed.discard(proxy)

    def may_write(self, session: ProxySession, now_ns: int) -> bool:
        """Return whether the proxy of a session may be sent a message now."""
        limit = self._settings.egress_queue_limit_entries
        pause = self._paused.get(session.proxy)
        if pause is not None:
            speaks = session.last_received_ns > pause.started_ns
            threshold = SPEAKING_RETRY_THRESHOLD if speaks else RETRY_THRESHOLD
            return now_ns >= pause.retry_at_ns and self._ledger.overtaken_entries <= threshold * limit
        if session.proxy not in self._resumed:
            return True
        return self._queued_entries(now_ns) <= RESUME_THRESHOLD * limit

    def free_entries(self, proxy: int) -> float:
        """Return how many entries the next message to a proxy may have.

        The policy reserves nothing for one that is or was paused, so the margin of the queue stays free.
        """
        free_entries = self._ledger.free_entries
        if self.is_catching_up(proxy):
            free_entries -= (1 - QUEUE_THRESHOLD) * self._settings.egress_queue_limit_entries
        return free_entries

    def is_catching_up(self, proxy: int) -> bool:
        """Return whether a proxy is or was paused, so that no other waits for its message."""
        return proxy in self._paused or proxy in self._resumed

    def on_written(self, proxy: int, now_ns: int) -> None:
        """Record a message to a proxy, which contains all that was held back."""
        self._resumed.discard(proxy)
        pause = self._paused.get(proxy)
        if pause is not None:
            pause.retry_interval_ns = min(2 * pause.retry_interval_ns, MAX_RETRY_INTERVAL_NS)
            pause.retry_at_ns = now_ns + pause.retry_interval_ns

    def _queued_entries(self, now_ns: int) -> int:
        """Return how many entries the channel may hold.

        Soon after a paused proxy has read on, others may have done so too: what they had not read is in it.
        """
        entries = self._ledger.total_entries
        if now_ns - self._acknowledged_at_ns > READ_ON_NS:
            entries -= self._ledger.overtaken_entries
        return entries

    @property
    def _settings(self) -> Settings:
        return self._runner.settings

    def _silence_check(self, now_ns: int) -> Callable[[ProxySession], bool]:
        """Return a function that tells whether a session is silent.

        A session is silent if it has not acknowledged a message in time after the channel has sent it. Where
        no proxy acknowledges anything, the channel is taken to have its nominal speed.
        """
        ledger, settings = self._ledger, self._settings
        timeout_ns = acknowledgement_timeout_ns(settings)
        queued = ledger.total_entries - ledger.overtaken_entries
        quiet_timeout_ns = timeout_ns + int(queued / settings.egress_rate_entries_per_s * NS_PER_S)

        def is_silent(session: ProxySession) -> bool:
            message = ledger.oldest_unacknowledged(session)
            if message is None:
                return False
            sent_by_ns = ledger.acknowledged_rounds.sent_by_ns(message.round_number)
            if sent_by_ns is not None:
                return now_ns - sent_by_ns > timeout_ns
            quiet_since_ns = max(ledger.acknowledged_rounds.last_ns, message.written_ns)
            return now_ns - quiet_since_ns > quiet_timeout_ns

        return is_silent

    def _pause(self, proxy: int, now_ns: int) -> None:
        if not self._paused:
            self._runner.log_event("deliveries paused", proxy=proxy, lines=self._ledger.overtaken_entries)
        self._statistics.pauses += 1
        self._resumed.discard(proxy)
        self._paused[proxy] = _Pause(now_ns, now_ns + FIRST_RETRY_NS)
        self._runner.on_delivery_changed(proxy, paused=True)

    def _end_pause(self, proxy: int) -> None:
        del self._paused[proxy]
        if not self._paused:
            self._runner.log_event("no delivery paused", pauses=self._statistics.pauses)
