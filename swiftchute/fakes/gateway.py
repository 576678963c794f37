"""A stand-in gateway: dials planners, follows its tables, calls workers, reports what it met.

It records what passes on its sockets: each response as it was received (`Order`), each try as it was sent
(`Try`), and when its streams opened and broke. The checker of a drill reads these and nothing of a planner's.
"""

import asyncio
import time
from dataclasses import dataclass, field

from swiftchute.fakes.backend import SERVICE
from swiftchute.proxy.control_client import ControlPlaneClient
from swiftchute.proxy.http_framing import HttpMessage
from swiftchute.proxy.request import ActiveRequest, RequestRouter
from swiftchute.proxy.response_headers import RequestInfo
from swiftchute.proxy.retry import AttemptOutcome, RequestResult
from swiftchute.proxy.server import ProxyServer
from swiftchute.proxy.settings import Idempotency, PoolLimits, ProxyLimits, RouteSettings, ServerSettings
from swiftchute.proxy.xds_client import XdsClient

RECORD_MOST = 500_000
WAITING_MOST = 200
S = 1_000_000_000
TIMEOUT = 4 * S  # of an invocation whose route names none
ENDS = {
    RequestResult.ANSWERED: "succeeded",
    RequestResult.NOT_ADMITTED: "rate-limited",
    RequestResult.AT_CAPACITY: "gateway full",
}
_HEADERS = [(b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"worker"),
            (b"content-type", b"application/grpc+proto"), (b"user-agent", b"swiftchute-standin")]  # fmt: skip
_SETTINGS = ServerSettings(
    pool=PoolLimits(2, 100, initial_streams=100, max_waiting=200, idle_timeout_ns=60 * S),
    silence_timeout_ns=60 * S,
    connect_timeout_ns=S,
    max_message_bytes=2**20,
    drain_timeout_ns=0,
)


@dataclass(frozen=True)
class Order:
    """A response as it came from the socket, on the gateway's n-th stream, to the planner at `planner`."""

    at: int
    gateway: str
    stream: int
    planner: str
    delta: bool
    data: bytes


@dataclass(frozen=True)
class Try:
    """A try as it went to a worker, and how it ended."""

    at: int
    gateway: str
    server: str
    operation: str
    inv: str
    attempt: int
    end: str
    took: float


@dataclass(frozen=True)
class Stream:
    """A stream that opened (`on`) or broke."""

    at: int
    gateway: str
    stream: int
    planner: str
    on: bool


@dataclass
class Record:
    """What passed on a gateway's sockets, bounded; `lost` counts what was past the bound."""

    orders: list[Order] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    streams: list[Stream] = field(default_factory=list)
    bare: list[tuple[int, str, str]] = field(default_factory=list)  # invocations that found no line
    ends: dict[str, int] = field(default_factory=dict)
    asked: float = 0.0  # billed value of what came, and of what was answered in time
    earned: float = 0.0
    lost: int = 0

    def add(self, rows: list, row: object) -> None:
        """Keep a row, or count it as lost."""
        if len(rows) < RECORD_MOST:
            rows.append(row)
        else:
            self.lost += 1


class Gateway(ControlPlaneClient):
    """One gateway. `planners` are addresses in the order of dialling."""

    def __init__(
        self,
        client: XdsClient,
        planners: list[tuple[str, int]],
        seed: int,
        avoids_after: int = 5,
        reconnect_delay_s: tuple[float, float] = (0.1, 0.6),
        keepalive_s: float = 1.0,
        worth: dict[str, tuple[float, float, float]] | None = None,
    ) -> None:
        """`worth`: by operation the latency objective in seconds, the billed value and the part that a late
        answer earns; the others as `Link`'s."""
        super().__init__(client, planners, seed, reconnect_delay_s, keepalive_s)
        self.worth = worth or {}
        self.record = Record()
        limits = ProxyLimits(
            max_in_flight=WAITING_MOST, ejection_failures=avoids_after, retry_budget_fraction=1.0
        )
        # a plain proxy does as its tables say, whatever the operation: the rules are the planner's to keep
        self.core = RequestRouter(client, {}, limits, self.random.getrandbits(32), Idempotency.IDEMPOTENT)
        self.proxy = _Recorded(self)
        self.count = 0
        self.reading = asyncio.Event()  # cleared: it stops reading its stream
        self.reading.set()
        self.ack_delay = 0.0
        self.waiting = 0

    # -- streams

    async def stop(self) -> None:
        """End everything."""
        await super().stop()
        await self.proxy.stop()

    def start(self) -> None:
        """Dial and go on until `stop`."""
        self.core.update_tables()
        super().start()

    async def die(self) -> None:
        """Its process is gone, and with it its tables; `start` brings it back with its standing table."""
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
        self.client = self.core.client = fresh
        self.core.update_tables()

    def on_applied(self) -> None:
        """What was taken in holds from the next invocation on."""
        self.core.update_tables()

    def on_stream_opened(self, planner: str, stream: int) -> None:
        """Record a stream that opened."""
        self._streamed(planner, stream, True)

    def on_stream_closed(self, planner: str, stream: int) -> None:
        """Record a stream that broke."""
        self._streamed(planner, stream, False)

    def _streamed(self, planner: str, stream: int, on: bool) -> None:
        row = Stream(time.monotonic_ns(), self.client.node, stream, planner, on)
        self.record.add(self.record.streams, row)

    def on_response(self, planner: str, stream: int, data: bytes) -> None:
        """Record a response."""
        row = Order(time.monotonic_ns(), self.client.node, stream, planner, self.client.delta, data)
        self.record.add(self.record.orders, row)

    async def before_receiving(self) -> None:
        """Stand still for as long as a drill asks."""
        await self.reading.wait()

    async def before_acknowledging(self) -> None:
        """Answer as late as a drill asks."""
        if self.ack_delay:
            await asyncio.sleep(self.ack_delay)

    # -- invocations

    async def load(self, operation: str, rate: float, seconds: float) -> None:
        """Invocations at random, `rate` a second on average; at most `WAITING_MOST` are in hand at once."""
        until = time.monotonic() + seconds
        while (now := time.monotonic()) < until:
            await asyncio.sleep(min(self.random.expovariate(rate), until - now + 0.001))
            if self.waiting < WAITING_MOST:
                self.waiting += 1
                task = asyncio.ensure_future(self.invoke(operation))
                task.add_done_callback(self._done)
            else:
                self._end("gateway full", operation)

    def _done(self, task: asyncio.Future) -> None:
        self.waiting -= 1
        if not task.cancelled() and task.exception():
            self._end(f"fault {task.exception()!r}"[:80])

    def _end(self, end: str, operation: str = "", took: float = 0.0) -> str:
        self.record.ends[end] = self.record.ends.get(end, 0) + 1
        objective, value, late = self.worth.get(operation, (0.0, 0.0, 0.0))
        self.record.asked += value
        if end == "succeeded":
            self.record.earned += value if took <= objective else late * value
        return end

    async def ready(self, operation: str) -> None:
        """Let the core know an operation, if no listener has named it yet."""
        if operation not in self.core.routes:
            self.core.routes[operation] = RouteSettings(operation, TIMEOUT, Idempotency.IDEMPOTENT)
            self.core.update_tables()

    async def invoke(self, operation: str) -> str:
        """One invocation: returns how it ended."""
        self.count += 1
        began, inv = time.monotonic(), f"{self.client.node}-{self.count}"
        await self.ready(operation)
        body = f"{inv}|0|{self.client.node}".encode()
        headers = [(b":path", (SERVICE + operation).encode()), *_HEADERS]
        message = HttpMessage(0, headers, bytes(1) + len(body).to_bytes(4, "big") + body)
        result, _ = await self.proxy.route_request(message, RequestInfo(operation, True, None), inv, True)
        if result is RequestResult.NO_ENDPOINT:
            self.record.add(self.record.bare, (time.monotonic_ns(), self.client.node, operation))
        return self._end(ENDS.get(result, result.value), operation, time.monotonic() - began)


class _Recorded(ProxyServer):
    """The proxy that a stand-in's invocations go through; its tries are recorded as they were sent."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__(gateway.core, _SETTINGS)
        self.gateway = gateway

    def on_attempt_ended(self, request: ActiveRequest, outcome: AttemptOutcome) -> None:
        """Record a try, as of when it was written; one that was withdrawn before that is none."""
        if outcome is AttemptOutcome.WITHDRAWN:
            return
        at = request.attempt_sent_ns or request.attempt_started_ns
        kind = ENDS.get(outcome.result, outcome.result.value)
        row = Try(at, self.gateway.client.node, request.endpoint or "", request.route.name, request.caller,
                  request.retries, kind, (self.clock() - at) / S)  # fmt: skip
        self.gateway.record.add(self.gateway.record.tries, row)
