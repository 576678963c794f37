"""All client connections of this process, between its policy runner and its sockets. No I/O.

The manager holds the rules that concern more than one connection: which session is a proxy's, how many
connections may be pending, and when the connection of a silent client is closed. What is to be closed is in
`sessions_to_close`; `ProxySession` describes how messages that cannot be used are answered.
"""

from collections.abc import Callable, Iterable, Iterator, KeysView
from typing import Any

from swiftchute.api.endpoints import EndpointRecord, ListScope
from swiftchute.api.events import PushAcknowledged
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform import load_reports, wire_messages
from swiftchute.platform.egress_ledger import EgressLedger
from swiftchute.platform.errors import MalformedMessageError
from swiftchute.platform.load_reports import ReportReader
from swiftchute.platform.proxy_session import AckResult, ProxySession
from swiftchute.platform.push_delivery import Delivery, PushDelivery
from swiftchute.platform.push_encoder import PushEncoder
from swiftchute.platform.statistics import SessionStatistics

NS_PER_S = 1_000_000_000
JOIN_TIMEOUT_NS = 1 * NS_PER_S  # until a client has said what it is
IDLE_TIMEOUT_NS = 15 * NS_PER_S  # a proxy that owes an acknowledgement must say something within this time
MIN_PENDING_SESSIONS = 8  # that may be open, however few descriptors are left
RESERVED_SOCKETS = 32  # descriptors kept for files, discovery, listeners and the event loop
MAX_COLLECTORS_PER_ZONE = 4
MAX_LOGGED_MALFORMED = 3  # malformed messages that are logged each; after them one of `MALFORMED_LOG_STEP`
MALFORMED_LOG_STEP = 100
IDENTIFYING_MESSAGES = (wire_messages.ProxyHello, wire_messages.CollectorHello)


class SessionManager:
    """The client connections of one process."""

    def __init__(self, runner: PolicyRunner, max_sockets: int) -> None:
        """Start without connections.

        Args:
            runner: Runs the policy; events go to it and assignments come from it.
            max_sockets: Descriptors that this process may hold.
        """
        self.runner = runner
        self.max_sockets = max_sockets
        self.statistics = SessionStatistics()
        self.sessions_by_proxy: dict[int, ProxySession] = {}
        self.collectors: dict[ProxySession, None] = {}  # the oldest first
        self.pending_sessions: dict[ProxySession, None] = {}  # not identified yet, the oldest first
        self.sessions_to_close: list[ProxySession] = []
        self.encoder = PushEncoder(runner.settings, runner.assignments)
        self._proxy_count = runner.settings.proxy_count
        self._reports = ReportReader(runner.settings)
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
        """Start the session of a connection that was accepted.

        The limit of pending sessions follows from the descriptors alone: a whole fleet may connect at once,
        and be read only after all of it was accepted. Past the limit the oldest pending sessions are
        closed.
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

        A proxy's old session that ends after its new one began changes nothing.
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
        """Close sessions whose clients say nothing for too long.

        Sockets must be read between two calls: bytes may wait there if this process was stopped.
        """
        self._check_pending_sessions(now_ns)
        for proxy, session in list(self.sessions_by_proxy.items()):
            sent_at_ns = session.oldest_nonce_sent_at_ns
            if sent_at_ns is None:
                continue
            if now_ns - max(sent_at_ns, session.last_received_ns) > IDLE_TIMEOUT_NS:
                self.statistics.idle_timeout += 1
                session.end("nothing heard", notify=False)
                self.sessions_to_close.append(session)
                self._disconnect_proxy(proxy, "silent")

    def _check_pending_sessions(self, now_ns: int) -> None:
        for session in list(self.pending_sessions):
            if now_ns - session.opened_at_ns < JOIN_TIMEOUT_NS:
                break
            if session.join_overdue:
                self.statistics.join_timeout += 1
                self._reject(session, "no joining within 1 s")
            session.join_overdue = True  # closed at the next check, unless its bytes are read before

    def drop_message(self, session: ProxySession, cause: str) -> None:
        """Count a malformed message of a known client; some are logged."""
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
        """Handle a message of a session; raises `MalformedMessageError` where it cannot be used."""
        if not session.identified and not isinstance(message, IDENTIFYING_MESSAGES):
            raise MalformedMessageError("a report before joining")
        self._handlers[type(message)](session, message, now_ns)

    def _on_proxy_hello(self, session: ProxySession, message: wire_messages.ProxyHello, now_ns: int) -> None:
        if session.identified:
            raise MalformedMessageError("a second joining")
        proxy = message.proxy
        if proxy >= self._proxy_count:
            raise MalformedMessageError(f"proxy {proxy}: numbers end at {self._proxy_count - 1}")
        self._reports.check_zone(message.zone)
        previous = self.sessions_by_proxy.get(proxy)
        if previous is not None:  # its end was not seen yet
            self.statistics.replaced += 1
            previous.end("replaced by a new stream", notify=False)
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
            raise MalformedMessageError("a second joining")
        self._reports.check_zone(message.zone)
        same_zone = [other for other in self.collectors if other.collector_zone == message.zone]
        if len(same_zone) >= MAX_COLLECTORS_PER_ZONE:
            oldest = same_zone[0]  # a collector that reconnects leaves its dead connection behind
            self.collectors.pop(oldest)
            self.statistics.collectors_closed += 1
            oldest.end("too many collectors of the zone")
            self.sessions_to_close.append(oldest)
        self.pending_sessions.pop(session, None)
        session.collector_zone = message.zone
        self.collectors[session] = None

    def _on_acknowledgement(
        self, session: ProxySession, message: wire_messages.Acknowledgement, now_ns: int
    ) -> None:
        if message.proxy != session.proxy:
            raise MalformedMessageError("an answer of another proxy")
        latency_ns = load_reports.acknowledgement_latency_ns(message.latency_ms)
        result = session.acknowledge(message.nonce)
        if result is AckResult.UNKNOWN_NONCE:
            raise MalformedMessageError(f"mark {message.nonce} was not asked for")
        self.statistics.acks += 1
        self.ledger.acknowledge(session, message.nonce)
        if result is AckResult.CURRENT_POLICY:
            self.runner.enqueue(PushAcknowledged(message.proxy, message.nonce, latency_ns))

    def _on_endpoint_outcomes(
        self, session: ProxySession, message: wire_messages.EndpointOutcomes, now_ns: int
    ) -> None:
        if session.collector_zone is None:
            raise MalformedMessageError("a report of outcomes on a proxy's stream")
        self._reports.check_zone(message.zone)
        if not self._is_reportable(message.endpoint):
            raise MalformedMessageError(f"server {message.endpoint!r} was not listed")
        report = self._reports.endpoint_report(message)
        self.statistics.reports += 1
        self.runner.enqueue(report)

    def _on_proxy_demand(
        self, session: ProxySession, message: wire_messages.ProxyDemand, now_ns: int
    ) -> None:
        if message.proxy != session.proxy and session.collector_zone is None:
            raise MalformedMessageError("usage of another proxy")
        if message.proxy not in self.sessions_by_proxy:
            raise MalformedMessageError(f"proxy {message.proxy} has not joined")
        report = self._reports.demand_report(message)
        self.statistics.reports += 1
        self.runner.enqueue(report)

    def update_list(self, scope: ListScope, records: Iterable[EndpointRecord]) -> None:
        """Hand on an update of the endpoint list."""
        endpoints = list(records)
        self.encoder.update_list(endpoints, scope in (ListScope.SNAPSHOT, ListScope.CACHED))
        self.runner.on_endpoint_list(scope, endpoints)

    def _is_reportable(self, endpoint: str) -> bool:
        return endpoint in self.runner.endpoint_records or endpoint in self.encoder.listed.removed

    @property
    def reportable_endpoints(self) -> set[str]:
        """Endpoints that reports may name: those listed, and those lately removed."""
        return self.runner.endpoint_records.keys() | self.encoder.listed.removed.keys()

    @property
    def deferred_proxies(self) -> KeysView[int]:
        """Proxies that could not be written to yet."""
        return self._delivery.deferred_nonces.keys()

    @property
    def next_round_at_ns(self) -> int:
        """When the next round is due at the latest."""
        return self.runner.next_deadline_ns

    @property
    def needs_round(self) -> bool:
        """Whether events wait and the policy runs; after a crash it waits until the next round is due."""
        return bool(self.runner.pending_events) and self.runner.policy is not None

    def run_round(self, now_ns: int) -> Iterator[Delivery]:
        """Run the policy if an event arrived, and yield what is to be written now, message by message."""
        self.ledger.begin_round(now_ns)
        self.runner.queued_entries = self.ledger.total_entries
        result = self.runner.run_round(now_ns)
        if self.runner.assignments is not self.encoder.assignments:  # those of a new policy, after a crash
            self._on_policy_restart()
        self.encoder.clear_shared()
        if result is not None:
            # The watch is always open here: a request to subscribe is answered at once.
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
        """Send the policy the whole list, or that nothing changed."""
        if whole:
            records = self.runner.endpoint_records
            self.runner.on_endpoint_list(ListScope.SNAPSHOT, [records[name] for name in sorted(records)])
        else:
            self.runner.on_endpoint_list(ListScope.DELTA, [])
