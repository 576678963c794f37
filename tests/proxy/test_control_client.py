"""A proxy's connection to a control plane that sends what it cannot use, or at full speed."""

import asyncio
import contextlib
import threading
import time

import pytest
import uvloop
from envoy.config.listener.v3.listener_pb2 import Listener
from envoy.service.discovery.v3.discovery_pb2 import DeltaDiscoveryRequest, DeltaDiscoveryResponse
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from swiftchute.proxy.control_client import ControlPlaneClient
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import names
from swiftchute.xds.grpc_transport import RawCodec
from swiftchute.xds.server import ADS, LRS
from tests.support.hostile_bytes import frame
from tests.support.processes import ThreadedServer

MAX_PAUSE_S = 0.5  # of the event loop, in which a proxy serves nobody


class FakeControlPlane:
    """Sends a response `count` times on each stream."""

    def __init__(self, response, count, report_response=None):
        self.response, self.count, self.streams, self.sent = response, count, 0, 0
        self.report_response = report_response

    def __mapping__(self):
        cardinality = Cardinality.STREAM_STREAM
        return {
            ADS + "DeltaAggregatedResources": Handler(self._serve, cardinality, bytes, bytes),
            LRS: Handler(self._serve_reports, cardinality, bytes, bytes),
        }

    async def _serve_reports(self, stream):
        await stream.recv_message()
        if self.report_response is not None:
            await stream.send_message(self.report_response)
        await asyncio.sleep(60)

    async def _serve(self, stream):
        self.streams += 1
        await stream.recv_message()
        await asyncio.sleep(0.2)  # the answer to the load report comes first
        for _ in range(self.count):
            await stream.send_message(self.response)
            self.sent += 1
        await asyncio.sleep(60)


class ControlPlaneThread(threading.Thread):
    """Serves a fake control plane on an event loop of its own."""

    def __init__(self, control_plane):
        super().__init__(daemon=True)
        self.control_plane, self.ready, self.loop = control_plane, threading.Event(), None

    def run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        server = Server([self.control_plane], codec=RawCodec())
        await server.start("127.0.0.1", 0)
        self.address = server._server.sockets[0].getsockname()[:2]
        self.loop, self.stopping = asyncio.get_running_loop(), asyncio.Event()
        self.ready.set()
        await self.stopping.wait()
        server.close()

    def stop(self):
        self.loop.call_soon_threadsafe(self.stopping.set)
        self.join(10)


class PingServer(ThreadedServer):
    """Sends HTTP/2 pings at full speed on each connection."""

    sent_bytes = 0

    def serve_connection(self, connection):
        threading.Thread(target=self._discard, args=(connection,), daemon=True).start()
        connection.sendall(frame(4, 0, 0, b""))
        while True:
            self.sent_bytes += connection.send(frame(6, 0, 0, bytes(8)) * 4000)

    def _discard(self, connection):
        with contextlib.suppress(OSError):
            while connection.recv(1 << 16):
                pass


async def connect_client(server, seconds):
    """Run a client for a while; return the longest pause of its event loop."""
    server.start()
    if isinstance(server, ControlPlaneThread):
        assert server.ready.wait(10)
    client = ControlPlaneClient(XdsClient("gw", "z", 1.0), [server.address], 1, reconnect_delay_s=(0.05, 0.1))
    client.start()
    longest_s, previous_s, deadline_s = 0.0, time.monotonic(), time.monotonic() + seconds
    while previous_s < deadline_s:
        await asyncio.sleep(0.005)
        now_s = time.monotonic()
        longest_s, previous_s = max(longest_s, now_s - previous_s), now_s
    await client.stop()
    server.stop()
    return longest_s


def response(type_url, nonce):
    return DeltaDiscoveryResponse(type_url=type_url, nonce=nonce).SerializeToString()


@pytest.mark.parametrize(
    "data",
    [b"\xff\xff\xff", b"", response("unknown", "a-1"), response(names.LDS, "no number")],
    ids=["bytes", "empty", "type", "nonce"],
)
def test_a_client_connects_again_after_a_response_that_it_cannot_use(data):
    """Guards against a proxy that is never told of any change again after one unsound response."""
    control_plane = FakeControlPlane(data, 1)
    uvloop.run(connect_client(ControlPlaneThread(control_plane), 1.5))
    assert control_plane.streams >= 3


def test_responses_at_full_speed_do_not_stop_the_event_loop():
    """Guards against a proxy that serves no request while its control plane sends without a pause."""
    control_plane = FakeControlPlane(response(names.LDS, "a-1"), 20_000)
    assert uvloop.run(connect_client(ControlPlaneThread(control_plane), 3)) < MAX_PAUSE_S
    assert control_plane.sent > 1000


def test_a_client_connects_again_after_a_report_response_that_it_cannot_use():
    """Guards against a proxy that hears of no change any more after one unsound load report response."""
    control_plane = FakeControlPlane(b"\xff\xff\xff", 1, report_response=b"\xff\xff\xff")
    uvloop.run(connect_client(ControlPlaneThread(control_plane), 1.5))
    assert control_plane.streams >= 3


class LostConnectionClient(ControlPlaneClient):
    """A client whose connection is lost when `lost` is set; its reports need a while to end."""

    async def _run_stream(self, channel, server, stream_number):
        await self.lost.wait()
        raise ConnectionError("lost")

    async def _run_load_reports(self, channel):
        try:
            await asyncio.sleep(60)
        finally:
            for _ in range(3):
                await asyncio.sleep(0)


@pytest.mark.parametrize("turns", range(8))
def test_a_client_stops_however_recently_its_connection_was_lost(turns):
    """Guards against a stop that waits for ever, as the wait for the reports swallowed the cancellation."""

    async def scenario():
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        client = LostConnectionClient(XdsClient("gw", "z", 1.0), [server.sockets[0].getsockname()], 1)
        client.lost = asyncio.Event()
        client.start()
        await asyncio.sleep(0.1)
        client.lost.set()
        for _ in range(turns):
            await asyncio.sleep(0)
        async with asyncio.timeout(2):
            await client.stop()
        server.close()

    asyncio.run(scenario())


def test_pings_at_full_speed_do_not_stop_the_event_loop():
    """Guards against frames that are handled in one go, however many have come."""
    server = PingServer()
    assert uvloop.run(connect_client(server, 3)) < MAX_PAUSE_S
    assert server.sent_bytes > 1 << 20


def test_a_listener_with_an_unsound_connection_manager_is_rejected():
    """Guards against a listener that makes every later response fail, as its routes cannot be read."""
    client = XdsClient("gw", "z", 1.0)
    client.open_stream(fresh=True)
    unsound = DeltaDiscoveryResponse(type_url=names.LDS, nonce="a-1")
    listener = Listener(name="read")
    listener.api_listener.api_listener.value = b"\xff\xff"
    unsound.resources.add(name="read").resource.value = listener.SerializeToString()
    answer = DeltaDiscoveryRequest.FromString(client.receive(unsound.SerializeToString())[0])
    assert answer.error_detail.message
    assert client.receive(response(names.CDS, "a-2"))
