"""Manages all client sessions of this instance, between the policy runner and the sockets. No I/O.

The manager applies the rules that concern more than one session: which session belongs to a proxy, how many
may be pending, and when a silent client is disconnected. The server closes the sessions listed in
`sessions_to_close`. `ProxySession` describes how invalid messages are handled.
"""

from collections.abc import Callable, Iterable, Iterator, KeysView
from typing import Any

from swiftchute.api.endpoints import EndpointRecord, ListScope
from swiftchute.api.events import PushAcknowledged
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform import load_reports, wire_messages
from swiftchute.platform.egress_ledger import EgressLedger
from swiftchute.platform.errors import MalformedMessageError
from swiftchute.platform.load_reports import ReportValidator
from swiftchute.platform.proxy_session import AckResult, ProxySession
from swiftchute.platform.push_delivery import Delivery, PushDelivery
from swiftchute.platform.push_encoder import PushEncoder
from swiftchute.platform.statistics import SessionStatistics

NS_PER_S = 1_000_000_000
JOIN_TIMEOUT_NS = 1 * NS_PER_S  # for a client to identify itself
IDLE_TIMEOUT_NS = 15 * NS_PER_S  # for a proxy with pending acknowledgements to send anything
MIN_PENDING_SESSIONS = 8  # allowed even if no descriptors are left for them
RESERVED_SOCKETS = 32  # descriptors kept for files, discovery, listeners and the event loop
MAX_COLLECTORS_PER_ZONE = 4
MAX_LOGGED_MALFORMED = 3  # these malformed messages are all logged, then one in `MALFORMED_LOG_STEP`
MALFORMED_LOG_STEP = 100
IDENTIFYING_MESSAGES = (wire_messages.ProxyHello, wire_messages.CollectorHello)


class SessionManager:
    """The client sessions of one instance."""

    def __init__(self, runner: PolicyRunner, max_sockets: int) -> None:
        """Create a manager without sessions.

        Args:
            runner: Runs the policy; takes its events and holds its assignments.
            max_sockets: Number of descriptors that this process may hold.
        """
        self.runner = runner
        self.max_sockets = max_sockets
        self.statistics = SessionStatistics()
        self.sessions_by_proxy: dict[int, ProxySession] = {}
        self.collectors: dict[ProxySession, None] = {}  # ordered, oldest first
        self.pending_sessions: dict[ProxySession, None] = {}  # not identified yet; ordered, oldest first
        self.sessions_to_close: list[ProxySession] = []
        self.encoder = PushEncoder(runner.settings, runner.assignments)
        self._proxy_count = runner.settings.proxy_count
        self._report_validator = ReportValidator(runner.settings)
        self.ledger = EgressLedger(runner.settings)
        self._delivery = PushDelivery(
            runner, self.encoder, self.sessions_by_proxy, self.statistics, self.ledger
        )
        self._handlers: dict[type, Callable[[ProxySession, Any, int], None]] = {
            wire_messages.ProxyHello: self._on_proxy_hello,
            wire_messages.CollectorHello: self._on_collector_hello,
            wire_messages.Acknowledgement: self._on_acknowledgement,
            wire_messages.EndpointOutcomes: self._on_endpoint_outcomes,
            wire_messages.ProxyDemand: self._on_proxy_demand,
        }

    def open_session(self, now_ns: int) -> ProxySession:
        """Create the session of an accepted connection.

        The number of pending sessions is limited only by the free descriptors, because a whole fleet may
        connect at once and be read only after all its connections were accepted. Beyond the limit the oldest
        pending sessions are closed.
        """
        session = ProxySession(self, now_ns)
        self.statistics.opened += 1
        self.pending_sessions[session] = None
        free_sockets = (
            self.max_sockets - RESERVED_SOCKETS - len(self.sessions_by_proxy) - len(self.collectors)
        )
        while len(self.pending_sessions) > max(free_sockets, MIN_PENDING_SESSIONS):
            self.statistics.evicted += 1
            self._reject(next(iter(self.pending_sessions)), "too many connections")
        return session

    def _reject(self, session: ProxySession, cause: str) -> None:
        self.pending_sessions.pop(session, None)
        session.end(cause)
        self.sessions_to_close.append(session)

    def session_closed(self, session: ProxySession, cause: str) -> None:
        """Handle the end of a connection, whichever side closed it.

        If the proxy already has a newer session, the end of the old one does not disconnect the proxy.
        """
        self.statistics.rejected += not session.identified and session.end_cause is not None
        self.pending_sessions.pop(session, None)
        self.collectors.pop(session, None)
        if session.proxy is not None and self.sessions_by_proxy.get(session.proxy) is session:
            self._disconnect_proxy(session.proxy, cause)

    def _disconnect_proxy(self, proxy: int, cause: str) -> None:
        session = self.sessions_by_proxy.pop(proxy)
        entries = self.ledger.end_session(session)
        self._delivery.remove_proxy(proxy)
        self.encoder.remove_proxy(proxy)
        self.runner.on_proxy_disconnected(proxy)
        self.statistics.disconnected += 1
        self.runner.log_event("proxy disconnected", proxy=proxy, cause=cause, unacknowledged=entries)

    def check_timeouts(self, now_ns: int) -> None:
        """End the sessions of clients that have been silent for too long.

        The sockets must be read between two calls: if this process was suspended, bytes may be waiting there.
        """
        self._check_pending_sessions(now_ns)
        for proxy, session in list(self.sessions_by_proxy.items()):
            sent_at_ns = session.oldest_nonce_sent_at_ns
            if sent_at_ns is None:
                continue
            if now_ns - max(sent_at_ns, session.last_received_ns) > IDLE_TIMEOUT_NS:
                self.statistics.idle_timeout += 1
                session.end("idle timeout", notify=False)
                self.sessions_to_close.append(session)
                self._disconnect_proxy(proxy, "silent")

    def _check_pending_sessions(self, now_ns: int) -> None:
        for session in list(self.pending_sessions):
            if now_ns - session.opened_at_ns < JOIN_TIMEOUT_NS:
                break
            if session.join_overdue:
                self.statistics.join_timeout += 1
                self._reject(session, "no joining within 1 s")
            session.join_overdue = True  # ended at the next check unless it identifies itself before

    def drop_message(self, session: ProxySession, cause: str) -> None:
        """Count a malformed message of an identified client; only some are logged."""
        self.statistics.malformed += 1
        count = self.statistics.malformed
        if count <= MAX_LOGGED_MALFORMED or not count % MALFORMED_LOG_STEP:
            sender: dict[str, int | str | None]
            if session.proxy is not None:
                sender = {"proxy": session.proxy}
            else:
                sender = {"collector": session.collector_zone}
            self.runner.log_event("message dropped", cause=cause, dropped=count, **sender)

    def handle_message(self, session: ProxySession, message: wire_messages.Message, now_ns: int) -> None:
        """Handle a message of a session; raises `MalformedMessageError` if it is invalid."""
        if not session.identified and not isinstance(message, IDENTIFYING_MESSAGES):
            raise MalformedMessageError("a report before joining")
        self._handlers[type(message)](session, message, now_ns)

    def _on_proxy_hello(self, session: ProxySession, message: wire_messages.ProxyHello, now_ns: int) -> None:
        if session.identified:
            raise MalformedMessageError("hello or agent: this connection has already identified itself")
        proxy = message.proxy
        if proxy >= self._proxy_count:
            raise MalformedMessageError(f"proxy {proxy}: numbers end at {self._proxy_count - 1}")
        self._report_validator.check_zone(message.zone)
        previous = self.sessions_by_proxy.get(proxy)
        if previous is not None:  # the end of the previous connection was not noticed yet
            self.statistics.replaced += 1
            previous.end("replaced by a newer connection of the proxy", notify=False)
            self.sessions_to_close.append(previous)
            self._disconnect_proxy(proxy, "replaced")
        self.pending_sessions.pop(session, None)
        session.proxy = proxy
        session.last_push_ns = now_ns
        self.sessions_by_proxy[proxy] = session
        self.statistics.connected += 1
        self.encoder.add_proxy(proxy, message.fresh)
        self.runner.on_proxy_connected(proxy, message.zone, message.request_rate, message.fresh)

    def _on_collector_hello(
        self, session: ProxySession, message: wire_messages.CollectorHello, now_ns: int
    ) -> None:
        if session.identified:
            raise MalformedMessageError("hello or agent: this connection has already identified itself")
        self._report_validator.check_zone(message.zone)
        same_zone = [other for other in self.collectors if other.collector_zone == message.zone]
        if len(same_zone) >= MAX_COLLECTORS_PER_ZONE:
            oldest = same_zone[0]  # probably the dead connection of a collector that has reconnected
            self.collectors.pop(oldest)
            self.statistics.collectors_closed += 1
            oldest.end(f"more than {MAX_COLLECTORS_PER_ZONE} collectors in zone {message.zone!r}")
            self.sessions_to_close.append(oldest)
        self.pending_sessions.pop(session, None)
        session.collector_zone = message.zone
        self.collectors[session] = None

    def _on_acknowledgement(
        self, session: ProxySession, message: wire_messages.Acknowledgement, now_ns: int
    ) -> None:
        if message.proxy != session.proxy:
            raise MalformedMessageError(f"ack: proxy {message.proxy} does not own this connection")
        latency_ns = load_reports.acknowledgement_latency_ns(message.latency_ms)
        result = session.acknowledge(message.nonce)
        if result is AckResult.UNKNOWN_NONCE:
            raise MalformedMessageError(f"ack: mark {message.nonce} is not a pending nonce")
        self.statistics.acks += 1
        self.ledger.acknowledge(session, message.nonce)
        if result is AckResult.CURRENT_POLICY:
            self.runner.enqueue(PushAcknowledged(message.proxy, message.nonce, latency_ns))

    def _on_endpoint_outcomes(
        self, session: ProxySession, message: wire_messages.EndpointOutcomes, now_ns: int
    ) -> None:
        if session.collector_zone is None:
            raise MalformedMessageError("outcomes: sent on a proxy's connection, not on a collector's")
        self._report_validator.check_zone(message.zone)
        if not self._is_reportable(message.endpoint):
            raise MalformedMessageError(f"outcomes: server {message.endpoint!r} is not in the endpoint list")
        report = self._report_validator.endpoint_report(message)
        self.statistics.reports += 1
        self.runner.enqueue(report)

    def _on_proxy_demand(
        self, session: ProxySession, message: wire_messages.ProxyDemand, now_ns: int
    ) -> None:
        if message.proxy != session.proxy and session.collector_zone is None:
            raise MalformedMessageError(f"demand: proxy {message.proxy} does not own this connection")
        if message.proxy not in self.sessions_by_proxy:
            raise MalformedMessageError(f"demand: proxy {message.proxy} is not connected")
        report = self._report_validator.demand_report(message)
        self.statistics.reports += 1
        self.runner.enqueue(report)

    def update_list(self, scope: ListScope, records: Iterable[EndpointRecord]) -> None:
        """Pass an update of the endpoint list to the encoder and the policy."""
        endpoints = list(records)
        self.encoder.update_list(endpoints, scope in (ListScope.SNAPSHOT, ListScope.CACHED))
        self.runner.on_endpoint_list(scope, endpoints)

    def _is_reportable(self, endpoint: str) -> bool:
        return endpoint in self.runner.endpoint_records or endpoint in self.encoder.listed.removed

    @property
    def reportable_endpoints(self) -> set[str]:
        """Endpoints that reports may name: the listed ones and those removed recently."""
        return self.runner.endpoint_records.keys() | self.encoder.listed.removed.keys()

    @property
    def deferred_proxies(self) -> KeysView[int]:
        """Proxies with a deferred push message."""
        return self._delivery.deferred_nonces.keys()

    @property
    def next_round_at_ns(self) -> int:
        """The latest time at which the next round must run."""
        return self.runner.next_deadline_ns

    @property
    def needs_round(self) -> bool:
        """Whether events are pending and the policy runs; after a crash they wait until a round is due."""
        return bool(self.runner.pending_events) and self.runner.policy is not None

    def run_round(self, now_ns: int) -> Iterator[Delivery]:
        """Run a round of the policy and yield the messages to write now."""
        self.ledger.begin_round(now_ns)
        self.runner.queued_entries = self.ledger.total_entries
        result = self.runner.run_round(now_ns)
        if self.runner.assignments is not self.encoder.assignments:  # the policy was restarted after a crash
            self._on_policy_restart()
        self.encoder.clear_shared()
        if result is not None:
            # The discovery watch is always open, so a request to subscribe is answered at once.
            if result.fetch_list or result.subscribe is not None:
                self._answer_list_request(result.fetch_list)
            yield from self._delivery.deliver_round(result, now_ns)
        yield from self._delivery.deliver_deferred(now_ns)
        self.encoder.clear_shared()

    def _on_policy_restart(self) -> None:
        self.encoder.on_policy_restart(self.runner.assignments)
        self._delivery.on_policy_restart()
        for session in self.sessions_by_proxy.values():
            session.on_policy_restart()

    def _answer_list_request(self, whole: bool) -> None:
        """Send the policy the complete list, or an update without changes."""
        if whole:
            records = self.runner.endpoint_records
            self.runner.on_endpoint_list(ListScope.SNAPSHOT, [records[name] for name in sorted(records)])
        else:
            self.runner.on_endpoint_list(ListScope.DELTA, [])
