"""The proxy's sockets and timers: downstream connections from callers, upstream connections to endpoints.

A request is forwarded in the HTTP version that its caller uses. Every wait is limited in time (connecting, an
attempt, a request, a caller that sends half a request), and the number of waiting requests is bounded by the
requests in flight and by each pool's waiters. `RequestRouter` makes all routing decisions.
"""

import asyncio
import time
from collections.abc import Callable

from swiftchute.ingress.buffer_budget import BufferBudget
from swiftchute.ingress.disconnect_watcher import disconnect_watcher
from swiftchute.ingress.fair_protocol import FairProtocol
from swiftchute.ingress.turn_scheduler import event_loop_turns
from swiftchute.proxy import response_headers
from swiftchute.proxy.connection_pool import PooledConnection
from swiftchute.proxy.downstream_connection import DownstreamConnection, UnfinishedRequest
from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http_framing import HttpMessage
from swiftchute.proxy.request import ActiveRequest, Attempt, Rejection, RequestRouter
from swiftchute.proxy.response_headers import RequestInfo
from swiftchute.proxy.retry import AttemptOutcome, RequestResult
from swiftchute.proxy.settings import (
    CHECK_INTERVAL_S,
    DRAIN_POLL_INTERVAL_S,
    LISTEN_BACKLOG,
    NS_PER_S,
    ServerSettings,
)
from swiftchute.proxy.upstream import Upstream
from swiftchute.proxy.upstream_connection import AttemptEnd, UpstreamConnection


class ProxyServer:
    """The listening socket and all connections of a proxy.

    Attributes:
        router: makes the routing decisions.
        settings: settings of the sockets.
        clock: returns the current time in ns.
        upstreams: upstreams keyed by endpoint and whether they use HTTP/2.
        downstreams: open connections of callers.
        unfinished_requests: memory of the requests that are being received.
        unread_responses: memory of the responses that callers have not read.
        in_flight_bytes: memory of the requests in flight.
        rejected_connections: number of caller connections closed because the limit was reached.
    """

    def __init__(
        self, router: RequestRouter, settings: ServerSettings, clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        """Create a server; `start` opens the listening socket."""
        self.router = router
        self.settings = settings
        self.clock = clock
        self.upstreams: dict[tuple[str, bool], Upstream] = {}
        self.downstreams: set[DownstreamConnection] = set()
        self.unfinished_requests: BufferBudget[UnfinishedRequest] = BufferBudget(settings.max_buffered_bytes)
        self.unread_responses: BufferBudget[DownstreamConnection] = BufferBudget(settings.max_buffered_bytes)
        self.in_flight_bytes = 0
        self.rejected_connections = 0
        self._server: asyncio.Server | None = None
        self._check_task: asyncio.Task | None = None

    async def start(self) -> tuple[str, int]:
        """Start listening; returns the bound host and port."""
        host, port = self.settings.listen_address
        loop = asyncio.get_running_loop()
        turns, watcher = event_loop_turns(), disconnect_watcher()
        self._server = await loop.create_server(
            lambda: FairProtocol(turns, DownstreamConnection(self), watcher),
            host,
            port,
            backlog=LISTEN_BACKLOG,
        )
        self._check_task = asyncio.ensure_future(self._check_connections())
        return self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stop accepting connections, wait up to the drain timeout for requests in flight, and close."""
        if self._server is not None:
            self._server.close()
        for downstream in list(self.downstreams):
            downstream.drain()
        deadline_ns = self.clock() + self.settings.drain_timeout_ns
        while self.router.in_flight and self.clock() < deadline_ns:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        if self._check_task is not None:
            self._check_task.cancel()
        for downstream in list(self.downstreams):
            downstream.transport.abort()
        for upstream in self.upstreams.values():
            upstream.close()

    def downstream_opened(self, connection: DownstreamConnection) -> None:
        """Register a caller's connection; over the limit it is closed without being read."""
        if len(self.downstreams) >= self.settings.max_downstream_connections:
            self.rejected_connections += 1
            connection.transport.abort()
            return
        self.downstreams.add(connection)

    def downstream_closed(self, connection: DownstreamConnection) -> None:
        """Forget a caller's connection that was closed."""
        self.downstreams.discard(connection)

    async def handle_request(self, request: HttpMessage, caller: str, http2: bool) -> HttpMessage:
        """Return the response to a caller's request: an endpoint's, or a local one."""
        info = response_headers.parse_request(request)
        request_bytes = request.memory_bytes
        if self.in_flight_bytes + request_bytes > self.settings.max_buffered_bytes:
            return response_headers.local_response(RequestResult.AT_CAPACITY, info.grpc)
        self.in_flight_bytes += request_bytes
        try:
            result, response = await self.route_request(request, info, caller, http2)
        finally:
            self.in_flight_bytes -= request_bytes
        if response is not None:
            return response
        return response_headers.local_response(result, info.grpc)

    async def route_request(
        self, message: HttpMessage, info: RequestInfo, caller: str, http2: bool
    ) -> tuple[RequestResult, HttpMessage | None]:
        """Send a request to endpoints, with retries, until it is finished.

        Args:
            message: the request.
            info: operation, protocol and timeout parsed from the request.
            caller: identifies the caller.
            http2: whether to use HTTP/2; otherwise HTTP/1.1.

        Returns:
            The result, and the endpoint's response if there is one.
        """
        request = self.router.admit(info.operation, caller, self.clock())
        if isinstance(request, Rejection):
            return request.cause, None
        if info.timeout_ns is not None:
            request.limit_deadline(self.clock() + info.timeout_ns)
        outcome, response = None, None
        try:
            while (attempt := self.router.next_attempt(request, self.clock())) is not None:
                outcome, response = await self._run_attempt(request, attempt, message, info.grpc, http2)
                self.on_attempt_ended(request, outcome)
                if self.router.attempt_ended(request, outcome, self.clock()):
                    break
        finally:
            self.router.abandon(request, self.clock())
        return request.result_of(outcome, response is not None, self.clock()), response

    def on_attempt_ended(self, request: ActiveRequest, outcome: AttemptOutcome) -> None:
        """Hook for subclasses that record attempts: an attempt at `request.endpoint` ended."""

    async def _run_attempt(
        self, request: ActiveRequest, attempt: Attempt, message: HttpMessage, grpc: bool, http2: bool
    ) -> AttemptEnd:
        upstream = self._upstream(attempt.endpoint, http2)
        acquired = await upstream.acquire(attempt.deadline_ns)
        if self.router.is_withdrawn(attempt.endpoint):
            if isinstance(acquired, PooledConnection):
                upstream.release_unused()
            return AttemptEnd(AttemptOutcome.WITHDRAWN, None)
        if not isinstance(acquired, PooledConnection):
            return AttemptEnd(AttemptOutcome.UNREACHABLE, None)
        upstream.pool.request_started(acquired, self.clock())
        succeeded = False
        try:
            remaining_ns = attempt.deadline_ns - self.clock()
            forwarded = response_headers.forwarded_request(message, grpc, remaining_ns)
            end = await self._exchange(
                upstream.connections[acquired], acquired, request, forwarded, attempt.deadline_ns
            )
            if end.response is not None:
                end = AttemptEnd(response_headers.classify_response(end.response, grpc), end.response)
            succeeded = end.outcome.succeeded
            return end
        finally:
            upstream.request_ended(acquired, succeeded)

    async def _exchange(
        self,
        connection: UpstreamConnection,
        pooled: PooledConnection,
        request: ActiveRequest,
        message: HttpMessage,
        deadline_ns: int,
    ) -> AttemptEnd:
        """Send a request on a connection and wait for the attempt's end, at most until the deadline."""
        try:
            stream_id, future = connection.send(message)
        except HttpFramingError:
            pooled.closing = True
            return AttemptEnd(AttemptOutcome.NOT_SENT, None)
        request.attempt_sent_ns = self.clock()
        try:
            async with asyncio.timeout(max(deadline_ns - self.clock(), 0) / NS_PER_S):
                return await future
        except TimeoutError:
            return AttemptEnd(AttemptOutcome.TIMED_OUT, None)
        finally:
            connection.cancel(stream_id, future)

    def _upstream(self, endpoint: str, http2: bool) -> Upstream:
        upstream = self.upstreams.get((endpoint, http2))
        if upstream is None:
            upstream = Upstream(endpoint, http2, self.settings, self.clock)
            self.upstreams[endpoint, http2] = upstream
        return upstream

    async def _check_connections(self) -> None:
        """Periodically close idle and unresponsive connections, and drop upstreams no table refers to."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for key, upstream in list(self.upstreams.items()):
                upstream.check_connections()
                if key[0] not in self.router.known_endpoints and upstream.is_unused:
                    upstream.close()
                    del self.upstreams[key]
            now_ns = self.clock()
            for downstream in list(self.downstreams):
                downstream.update_unread()
            for downstream in [connection for connection in self.downstreams if connection.is_idle(now_ns)]:
                downstream.transport.close()
