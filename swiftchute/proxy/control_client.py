"""The connection of a proxy to the control plane: one ADS and one LRS stream, with jittered reconnects.

`ControlPlaneClient` owns the connection; its `XdsClient` holds the protocol state and the tables. Subclasses
override the `on_` and `before_` hooks to observe or delay streams and responses.
"""

import asyncio
import random
from collections.abc import Sequence

from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsResponse
from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError, StreamTerminatedError

from swiftchute.proxy.errors import ControlPlaneResponseError
from swiftchute.proxy.settings import NS_PER_S
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds.grpc_transport import FairChannel, RawCodec
from swiftchute.xds.server import ADS, LRS

STREAM_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ControlPlaneResponseError,
    ConnectionError,
    OSError,
    asyncio.TimeoutError,
)
CONNECT_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = (0.1, 0.6)  # range of the random delay
KEEPALIVE_S = 1.0  # interval between pings, and timeout of their acknowledgement
MIN_REPORT_INTERVAL_S = 0.05


class ControlPlaneClient:
    """Connects to the control plane's servers in round-robin order until `stop`.

    Attributes:
        client: the xDS client state.
        servers: host and port of each server.
        connected_to: "host:port" of the server whose stream is open, or None.
        stream_count: number of connection attempts so far, including failed ones; also the number of the
            latest stream.
    """

    def __init__(
        self,
        client: XdsClient,
        servers: Sequence[tuple[str, int]],
        seed: int,
        reconnect_delay_s: tuple[float, float] = RECONNECT_DELAY_S,
        keepalive_s: float = KEEPALIVE_S,
    ) -> None:
        """Create a client; `start` connects it.

        Args:
            client: the xDS client state.
            servers: host and port of each server.
            seed: seed for the choice of the first server and the delays.
            reconnect_delay_s: bounds of the delay before reconnecting.
            keepalive_s: interval between pings, and timeout of their acknowledgement.
        """
        self.client = client
        self.servers = list(servers)
        self.random = random.Random(seed)
        self.reconnect_delay_s = reconnect_delay_s
        self.keepalive_s = keepalive_s
        self.tasks: list[asyncio.Task] = []
        self.stream_count = 0
        self.connected_to: str | None = None
        self._channel: Channel | None = None
        self._next_server = self.random.randrange(len(self.servers))

    def on_stream_opened(self, server: str, stream: int) -> None:
        """Hook: a stream to a server was opened; `stream` is its number."""

    def on_stream_closed(self, server: str, stream: int) -> None:
        """Hook: the stream ended."""

    def on_response(self, server: str, stream: int, data: bytes) -> None:
        """Hook: a response was received and will be applied next."""

    def on_applied(self) -> None:
        """Hook: the response was processed; its ACK or NACK is sent next."""

    async def before_receiving(self) -> None:
        """Hook that may delay receiving the next response."""

    async def before_acknowledging(self) -> None:
        """Hook that may delay an acknowledgement."""

    def start(self) -> None:
        """Start connecting in the background, and reconnect until `stop`."""
        self.tasks = [asyncio.ensure_future(self._run())]

    async def stop(self) -> None:
        """Cancel all tasks and close the connection."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.disconnect()

    def disconnect(self) -> None:
        """Close the current connection, if any."""
        if self._channel is not None:
            self._channel.close()

    async def _run(self) -> None:
        while True:
            host, port = self.servers[self._next_server % len(self.servers)]
            self.stream_count += 1
            await self._run_connection(host, port, self.stream_count)
            self._next_server += 1
            await asyncio.sleep(self.random.uniform(*self.reconnect_delay_s))

    async def _run_connection(self, host: str, port: int, stream: int) -> None:
        """Run one connection until it fails or ends."""
        channel = self._channel = FairChannel(host, port, codec=RawCodec(), config=self._configuration())
        report_task = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.__connect__()
            report_task = asyncio.ensure_future(self._run_load_reports(channel))
            await self._run_stream(channel, f"{host}:{port}", stream)
        except STREAM_ERRORS:
            pass
        finally:
            if self.connected_to:
                self.on_stream_closed(self.connected_to, stream)
            self.connected_to = None
            channel.close()
            if report_task:
                await _cancel(report_task)

    def _configuration(self) -> Configuration:
        return Configuration(
            _keepalive_time=self.keepalive_s,
            _keepalive_timeout=self.keepalive_s,
            _keepalive_permit_without_calls=True,
            _http2_max_pings_without_data=0,
            _http2_min_sent_ping_interval_without_data=self.keepalive_s / 2,
        )

    async def _run_stream(self, channel: Channel, server: str, stream_number: int) -> None:
        variant = "DeltaAggregatedResources" if self.client.delta else "StreamAggregatedResources"
        async with channel.request(ADS + variant, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
            await stream.send_request()
            for request in self.client.open_stream(fresh=not self.client.tables):
                await stream.send_message(request)
            self.connected_to = server
            self.on_stream_opened(server, stream_number)
            while True:
                await self.before_receiving()
                await asyncio.sleep(0)  # other tasks run between two responses, also if both have come
                data = await stream.recv_message()
                if data is None:
                    return
                self.on_response(server, stream_number, data)
                requests = self.client.receive(data)
                self.on_applied()
                await self.before_acknowledging()
                for request in requests:
                    await stream.send_message(request)

    async def _run_load_reports(self, channel: Channel) -> None:
        async with channel.request(LRS, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
            await stream.send_request()
            await stream.send_message(self.client.build_load_report(0, first=True))
            response = await stream.recv_message()
            if response is None:
                return
            try:
                interval = LoadStatsResponse.FromString(response).load_reporting_interval
            except DecodeError as error:
                raise ControlPlaneResponseError(f"load report response: {error}") from None
            interval_s = interval.ToNanoseconds() / NS_PER_S
            while True:
                await asyncio.sleep(max(interval_s, MIN_REPORT_INTERVAL_S))
                await stream.send_message(self.client.build_load_report(interval_s))


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end, without swallowing a cancellation of the caller meanwhile.

    Raises:
        Exception: the task has failed for another reason than the end of its stream.
    """
    task.cancel()
    await asyncio.wait([task])
    error = None if task.cancelled() else task.exception()
    if error is not None and not isinstance(error, STREAM_ERRORS):
        raise error
