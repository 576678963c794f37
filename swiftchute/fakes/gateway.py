"""A fake gateway: connects to the control plane, applies its tables, calls backends and reports load.

It forwards with the router and server of `swiftchute.proxy`, and records the traffic on its sockets.
"""

import asyncio
import time
from dataclasses import dataclass

from swiftchute.fakes.backend import SERVICE
from swiftchute.fakes.traffic_record import AttemptRecord, ReceivedResponse, StreamEvent, TrafficRecord
from swiftchute.proxy.control_client import KEEPALIVE_S, RECONNECT_DELAY_S, ControlPlaneClient
from swiftchute.proxy.http_framing import HttpMessage
from swiftchute.proxy.request import ActiveRequest, RequestRouter
from swiftchute.proxy.response_headers import RequestInfo
from swiftchute.proxy.retry import AttemptOutcome, RequestResult
from swiftchute.proxy.server import ProxyServer
from swiftchute.proxy.settings import (
    NS_PER_S,
    Idempotency,
    PoolLimits,
    ProxyLimits,
    RouteSettings,
    ServerSettings,
)
from swiftchute.proxy.xds_client import XdsClient

MAX_IN_FLIGHT = 200
REQUEST_TIMEOUT_NS = 4 * NS_PER_S  # for routes that have no timeout
EJECTION_FAILURES = 5
MAX_RESULT_CHARS = 80
RESULT_NAMES = {
    RequestResult.ANSWERED: "succeeded",
    RequestResult.NOT_ADMITTED: "rate-limited",
    RequestResult.AT_CAPACITY: "gateway full",
}
_REQUEST_HEADERS = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":authority", b"worker"),
    (b"content-type", b"application/grpc+proto"),
    (b"user-agent", b"swiftchute-standin"),
]
_SERVER_SETTINGS = ServerSettings(
    pool=PoolLimits(
        max_connections=2,
        max_streams=100,
        initial_streams=100,
        max_waiting=200,
        idle_timeout_ns=60 * NS_PER_S,
    ),
    silence_timeout_ns=60 * NS_PER_S,
    connect_timeout_ns=NS_PER_S,
    max_message_bytes=2**20,
    drain_timeout_ns=0,
)


@dataclass(frozen=True)
class OperationValue:
    """Value of an answer to an operation.

    Attributes:
        latency_objective_s: an answer that takes longer is late.
        value: value of an answer in time.
        late_value_fraction: fraction of that value that a late answer has.
    """

    latency_objective_s: float
    value: float
    late_value_fraction: float


NO_VALUE = OperationValue(0.0, 0.0, 0.0)


class FakeGateway(ControlPlaneClient):
    """One gateway.

    Attributes:
        router: routes its requests.
        proxy: forwards them.
        record: the traffic on its sockets.
        reading: while this event is cleared, the gateway does not read its stream.
        acknowledgement_delay_s: delay of each acknowledgement.
    """

    def __init__(
        self,
        client: XdsClient,
        servers: list[tuple[str, int]],
        seed: int,
        ejection_failures: int = EJECTION_FAILURES,
        reconnect_delay_s: tuple[float, float] = RECONNECT_DELAY_S,
        keepalive_s: float = KEEPALIVE_S,
        values: dict[str, OperationValue] | None = None,
    ) -> None:
        """Create a gateway that connects once `start` is called.

        Args:
            client: state of the xDS client.
            servers: host and port of the control plane's servers, in the order of connecting.
            seed: seed of all random decisions.
            ejection_failures: consecutive failures that eject an endpoint.
            reconnect_delay_s: bounds of the delay before a reconnection.
            keepalive_s: interval of pings to the control plane.
            values: value of answers, by operation.
        """
        super().__init__(client, servers, seed, reconnect_delay_s, keepalive_s)
        self.record = TrafficRecord()
        limits = ProxyLimits(
            max_in_flight=MAX_IN_FLIGHT, ejection_failures=ejection_failures, retry_budget_fraction=1.0
        )
        # obeys its tables, also for side-effecting operations: the control plane must keep the rules
        self.router = RequestRouter(client, {}, limits, self.random.getrandbits(32), Idempotency.IDEMPOTENT)
        self.proxy = _RecordingProxy(self)
        self.reading = asyncio.Event()
        self.reading.set()
        self.acknowledgement_delay_s = 0.0
        self._values = values or {}
        self._request_count = 0
        self._in_flight = 0

    def start(self) -> None:
        """Connect, and reconnect until `stop`."""
        self.router.update_tables()
        super().start()

    async def stop(self) -> None:
        """Disconnect and stop the proxy."""
        await super().stop()
        await self.proxy.stop()

    async def kill(self) -> None:
        """Drop the connection and all tables; after `start` only the static endpoints are known."""
        await super().stop()
        client = self.client
        fresh = XdsClient(
            client.node,
            client.zone,
            client.request_rate_per_s,
            client.delta,
            client.endpoint_collections,
            client.validate,
        )
        fresh.static_endpoints = client.static_endpoints
        self.client = self.router.client = fresh
        self.router.update_tables()

    def on_applied(self) -> None:
        """Apply the received tables, from the next request on."""
        self.router.update_tables()

    def on_stream_opened(self, server: str, stream: int) -> None:
        """Record a stream that opened."""
        self._record_stream_event(server, stream, opened=True)

    def on_stream_closed(self, server: str, stream: int) -> None:
        """Record a stream that ended."""
        self._record_stream_event(server, stream, opened=False)

    def on_response(self, server: str, stream: int, data: bytes) -> None:
        """Record a response."""
        row = ReceivedResponse(time.monotonic_ns(), self.client.node, stream, server, self.client.delta, data)
        self.record.add(self.record.responses, row)

    async def before_receiving(self) -> None:
        """Wait while the gateway does not read."""
        await self.reading.wait()

    async def before_acknowledging(self) -> None:
        """Delay the acknowledgement."""
        if self.acknowledgement_delay_s:
            await asyncio.sleep(self.acknowledgement_delay_s)

    async def generate_load(self, operation: str, rate_per_s: float, duration_s: float) -> None:
        """Send requests at random times; those beyond `MAX_IN_FLIGHT` are counted but not sent.

        Args:
            operation: operation of the requests.
            rate_per_s: average requests per second.
            duration_s: how long to send.
        """
        end_s = time.monotonic() + duration_s
        while (now_s := time.monotonic()) < end_s:
            await asyncio.sleep(min(self.random.expovariate(rate_per_s), end_s - now_s + 0.001))
            if self._in_flight < MAX_IN_FLIGHT:
                self._in_flight += 1
                task = asyncio.ensure_future(self.send_request(operation))
                task.add_done_callback(self._on_request_done)
            else:
                self._count_result(RESULT_NAMES[RequestResult.AT_CAPACITY], operation)

    async def prepare(self, operation: str) -> None:
        """Add a route for an operation that no listener has configured yet."""
        if operation not in self.router.routes:
            route = RouteSettings(operation, REQUEST_TIMEOUT_NS, Idempotency.IDEMPOTENT)
            self.router.routes[operation] = route
            self.router.update_tables()

    async def send_request(self, operation: str) -> str:
        """Send one request and return the name of its result."""
        self._request_count += 1
        started_s = time.monotonic()
        request_id = f"{self.client.node}-{self._request_count}"
        await self.prepare(operation)
        result, _ = await self.proxy.route_request(
            self._message(operation, request_id), RequestInfo(operation, True, None), request_id, True
        )
        if result is RequestResult.NO_ENDPOINT:
            row = (time.monotonic_ns(), self.client.node, operation)
            self.record.add(self.record.unroutable, row)
        name = RESULT_NAMES.get(result, result.value)
        return self._count_result(name, operation, time.monotonic() - started_s)

    def _message(self, operation: str, request_id: str) -> HttpMessage:
        """Return a gRPC request with an uncompressed, length-prefixed message."""
        body = f"{request_id}|0|{self.client.node}".encode()
        headers = [(b":path", (SERVICE + operation).encode()), *_REQUEST_HEADERS]
        return HttpMessage(0, headers, bytes(1) + len(body).to_bytes(4, "big") + body)

    def _on_request_done(self, task: asyncio.Future) -> None:
        self._in_flight -= 1
        if not task.cancelled() and task.exception():
            self._count_result(f"fault {task.exception()!r}"[:MAX_RESULT_CHARS])

    def _count_result(self, name: str, operation: str = "", latency_s: float = 0.0) -> str:
        record = self.record
        record.results[name] = record.results.get(name, 0) + 1
        value = self._values.get(operation, NO_VALUE)
        record.requested_value += value.value
        if name == RESULT_NAMES[RequestResult.ANSWERED]:
            late = latency_s > value.latency_objective_s
            record.earned_value += value.late_value_fraction * value.value if late else value.value
        return name

    def _record_stream_event(self, server: str, stream: int, opened: bool) -> None:
        row = StreamEvent(time.monotonic_ns(), self.client.node, stream, server, opened)
        self.record.add(self.record.stream_events, row)


class _RecordingProxy(ProxyServer):
    """The proxy that forwards a fake gateway's requests and records their attempts."""

    def __init__(self, gateway: FakeGateway) -> None:
        super().__init__(gateway.router, _SERVER_SETTINGS)
        self._gateway = gateway

    def on_attempt_ended(self, request: ActiveRequest, outcome: AttemptOutcome) -> None:
        """Record an attempt with the time it was sent, unless its endpoint was withdrawn before."""
        if outcome is AttemptOutcome.WITHDRAWN:
            return
        sent_at_ns = request.attempt_sent_ns or request.attempt_started_ns
        row = AttemptRecord(
            time_ns=sent_at_ns,
            gateway=self._gateway.client.node,
            endpoint=request.endpoint or "",
            operation=request.route.name,
            request_id=request.caller,
            attempt=request.retries,
            result=RESULT_NAMES.get(outcome.result, outcome.result.value),
            latency_s=(self.clock() - sent_at_ns) / NS_PER_S,
        )
        self._gateway.record.add(self._gateway.record.attempts, row)
