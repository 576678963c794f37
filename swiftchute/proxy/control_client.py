"""The way from a proxy to its planners: one ADS and one LRS stream, dialled again with jitter.

A subclass, or whoever sets the hooks, learns of `opened`, `closed` and each `order` before it is applied. It
decides nothing but when to dial: the tables are the client core's.
"""

import asyncio
import contextlib
import random
from collections.abc import Sequence

from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsResponse
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError, StreamTerminatedError

from swiftchute.proxy.xds_client import Client
from swiftchute.xds.server import ADS, LRS, Raw

LOST = (GRPCError, StreamTerminatedError, ConnectionError, OSError, asyncio.TimeoutError)
CONNECT_WITHIN = 2.0


class Link:
    """Dials the planners in turn until `stop`; `joined` names the one whose stream is open."""

    def __init__(
        self,
        client: Client,
        planners: Sequence[tuple[str, int]],
        seed: int,
        redial: tuple[float, float] = (0.1, 0.6),
        keepalive: float = 1.0,
    ) -> None:
        """`redial` bounds the wait before dialling again, `keepalive` how soon a planner that stands
        still is left (seconds)."""
        self.client, self.planners, self.random = client, list(planners), random.Random(seed)
        self.redial, self.keepalive = redial, keepalive
        self.tasks: list[asyncio.Task] = []
        self.streams = 0
        self.link: Channel | None = None
        self.at = self.random.randrange(len(self.planners))
        self.joined: str | None = None

    # -- hooks

    def opened(self, planner: str, stream: int) -> None:
        """A stream to a planner is open, the n-th."""

    def closed(self, planner: str, stream: int) -> None:
        """It broke."""

    def order(self, planner: str, stream: int, data: bytes) -> None:
        """A response came, and is applied next."""

    def applied(self) -> None:
        """It was applied; its answer goes out next."""

    async def before_reading(self) -> None:
        """May hold up the next response."""

    async def before_answering(self) -> None:
        """May hold up an answer."""

    # -- streams

    def start(self) -> None:
        """Dial and go on until `stop`."""
        self.tasks = [asyncio.ensure_future(self._dial())]

    async def stop(self) -> None:
        """End everything."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.link is not None:
            self.link.close()

    def cut(self) -> None:
        """Break the stream from this side."""
        if self.link is not None:
            self.link.close()

    async def _dial(self) -> None:
        while True:
            host, port = self.planners[self.at % len(self.planners)]
            config = Configuration(
                _keepalive_time=self.keepalive,
                _keepalive_timeout=self.keepalive,
                _keepalive_permit_without_calls=True,
                _http2_max_pings_without_data=0,
                _http2_min_sent_ping_interval_without_data=self.keepalive / 2,
            )
            self.link = Channel(host, port, codec=Raw(), config=config)
            reports = None
            self.streams += 1
            mine = self.streams
            try:
                async with asyncio.timeout(CONNECT_WITHIN):
                    await self.link.__connect__()
                reports = asyncio.ensure_future(self._reports(self.link))
                await self._stream(self.link, f"{host}:{port}", mine)
            except LOST:
                pass
            finally:
                if self.joined:
                    self.closed(self.joined, mine)
                self.joined = None
                if reports:
                    reports.cancel()
                    with contextlib.suppress(asyncio.CancelledError, *LOST):
                        await reports
                self.link.close()
            self.at += 1
            await asyncio.sleep(self.random.uniform(*self.redial))

    async def _stream(self, link: Channel, planner: str, mine: int) -> None:
        form = "DeltaAggregatedResources" if self.client.delta else "StreamAggregatedResources"
        async with link.request(ADS + form, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
            await stream.send_request()
            for request in self.client.hello(fresh=not self.client.tables):
                await stream.send_message(request)
            self.joined = planner
            self.opened(planner, mine)
            while True:
                await self.before_reading()
                data = await stream.recv_message()
                if data is None:
                    return
                self.order(planner, mine, data)
                answers = self.client.receive(data)
                self.applied()
                await self.before_answering()
                for answer in answers:
                    await stream.send_message(answer)

    async def _reports(self, link: Channel) -> None:
        async with link.request(LRS, Cardinality.STREAM_STREAM, bytes, bytes) as stream:
            await stream.send_request()
            await stream.send_message(self.client.report(0, first=True))
            answer = await stream.recv_message()
            if answer is None:
                return
            every = LoadStatsResponse.FromString(answer).load_reporting_interval.ToNanoseconds() / 1e9
            while True:
                await asyncio.sleep(max(every, 0.05))
                await stream.send_message(self.client.report(every))
