"""A proxy on real sockets between a gRPC client and servers, some of them faulty."""

import asyncio

import uvloop
from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError, StreamTerminatedError

from swiftchute.fakes.backend import SERVICE, BackendEvent, BackendProfile, FakeBackend
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.http_framing import CANCEL, REFUSED_STREAM, HttpMessage
from swiftchute.proxy.request import RequestRouter
from swiftchute.proxy.server import ProxyServer
from swiftchute.proxy.settings import Idempotency, ProxyLimits, RouteSettings, ServerSettings
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds.grpc_transport import RawCodec

S = 1_000_000_000
SETTINGS = ServerSettings()
PROFILE = BackendProfile({"read": 0.02, "pay": 0.02}, queue_capacity=10_000)
IDEMPOTENCY = {"read": Idempotency.IDEMPOTENT, "pay": Idempotency.SIDE_EFFECTING}


class Fault:
    """The fault of a server, shared by its connections; `requests` counts the requests it received."""

    def __init__(self, action):
        self.action = action
        self.requests = 0


class FaultyServer(asyncio.Protocol):
    """A connection of an HTTP/2 server that handles each request with the action of its fault."""

    def __init__(self, fault):
        self.fault = fault
        self.framing = Http2Connection(False, 2**20)

    def connection_made(self, transport):
        self.transport = transport
        self.framing.start()
        transport.write(self.framing.data_to_send())

    def data_received(self, data):
        for event in self.framing.receive_data(data):
            if isinstance(event, HttpMessage):
                self.fault.requests += 1
                self.fault.action(self, event)
        self.transport.write(self.framing.data_to_send())


class SilentServer(asyncio.Protocol):
    """A connection of a server that sends the HTTP/2 preface, then neither reads nor responds."""

    def connection_made(self, transport):
        framing = Http2Connection(False, 2**20)
        framing.start()
        transport.write(framing.data_to_send())


def send_headers_only(server, request):
    server.framing.h2.send_headers(request.stream_id, [(b":status", b"200")])


def close_after_execution(server, request):
    """Abort the connection after the request arrived; the proxy cannot know whether it was executed."""
    server.transport.abort()


def refuse_stream(server, request):
    server.framing.reset_stream(request.stream_id, REFUSED_STREAM)


def cancel_stream(server, request):
    server.framing.reset_stream(request.stream_id, CANCEL)


def send_goaway(server, request):
    """Send a GOAWAY that names an earlier stream, so the request's stream was not processed."""
    last_stream_id = max(request.stream_id - 2, 0)
    frame = (8).to_bytes(3, "big") + b"\x07\0" + bytes(4) + last_stream_id.to_bytes(4, "big") + bytes(4)
    server.transport.write(server.framing.data_to_send() + frame)


async def start_faulty_server(action):
    """Start a server that handles requests with `action`; return its fault, the server and its address."""
    fault = Fault(action)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: FaultyServer(fault), "127.0.0.1", 0)
    return fault, server, "{}:{}".format(*server.sockets[0].getsockname()[:2])


class ProxyUnderTest:
    """A proxy with the tables that a test specifies, and a gRPC channel to it."""

    def __init__(
        self,
        weights,
        max_retries=1,
        requires_proof=True,
        admission_rate=1.0,
        limits=None,
        timeout=1.0,
        settings=SETTINGS,
    ):
        client = XdsClient("gw", "z", 1.0)
        client.tables = {
            operation: EndpointTable(
                f"0.1/{operation}",
                dict(weights),
                admission_rate,
                max_retries,
                requires_proof,
                None,
                timeout,
            )
            for operation in IDEMPOTENCY
        }
        routes = {
            operation: RouteSettings(operation, S, idempotency)
            for operation, idempotency in IDEMPOTENCY.items()
        }
        self.router = RequestRouter(client, routes, limits or ProxyLimits(ejection_failures=0), 7)
        self.router.update_tables()
        self.server = ProxyServer(self.router, settings)

    async def __aenter__(self):
        self.address = await self.server.start()
        self.channel = Channel(*self.address, codec=RawCodec())
        return self

    async def __aexit__(self, *_):
        self.channel.close()
        await self.server.stop()

    async def call(self, operation="read", body=b"inv|0|g", timeout=2.0):
        """Call through its channel; return the result as `call` does."""
        return await call(self.channel, operation, body, timeout)


async def call(channel, operation="read", body=b"inv|0|g", timeout=2.0):
    """Call through a channel; return "ok", the gRPC status, "broken" (terminated) or "given up" (timeout)."""
    try:
        async with channel.request(
            SERVICE + operation, Cardinality.UNARY_UNARY, bytes, bytes, timeout=timeout
        ) as stream:
            await stream.send_message(body, end=True)
            await stream.recv_message()
            await stream.recv_trailing_metadata()
            return "ok"
    except GRPCError as error:
        return error.status
    except StreamTerminatedError:
        return "broken"
    except TimeoutError:
        return "given up"


async def start_backends(count):
    backends = [FakeBackend(PROFILE, "z", 1.0, seed) for seed in range(count)]
    for backend in backends:
        await backend.start()
    return backends


def executed(backend, operation=None):
    """Return how many requests a backend executed, of one operation or of all."""
    return sum(
        receipt.event is BackendEvent.STARTED and operation in (None, receipt.operation)
        for receipt in backend.receipts
    )


def run(scenario, seconds=30):
    return uvloop.run(asyncio.wait_for(scenario(), seconds))
