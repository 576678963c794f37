"""The gRPC shell of the xDS front: bytes between sockets and a planner's core. It decides nothing.

grpclib speaks HTTP/2 by asyncio protocol classes. A stream has one writer, which waits on its client's
flow-control window alone; what is queued for it is bounded by the state machine (one reply a type), and a
client that does not read for `read_within` is cut off.
"""

import asyncio
import contextlib
import itertools
import weakref
from collections.abc import Callable
from typing import Any

from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from swiftchute.api.settings import Settings
from swiftchute.xds import load_reports, messages
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.frontend import FrontendOutput, XdsFrontend

S = 1_000_000_000
ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
QUEUE = 64  # replies that may wait for a client's window: five types, each with a few overtaken ones


class RawCodec(CodecBase):
    """Messages stay bytes; the cores read and make them."""

    __content_subtype__ = "proto"

    def encode(self, message: bytes, message_type: Any) -> bytes:
        """As it is."""
        return message

    def decode(self, data: bytes, message_type: Any) -> bytes:
        """As it is."""
        return bytes(data)


async def receive(stream: Stream, most: int) -> bytes | None:
    """The next message, or None at the end; one over `most` bytes is refused before it is read."""
    if stream._stream is None:  # grpclib has no limit of its own; the length prefix is read here
        return None
    head = await stream._stream.recv_data(5)
    if not head:
        return None
    size = int.from_bytes(head[1:5], "big")
    if head[0]:
        raise ProtocolViolationError("UNIMPLEMENTED", "compressed messages are not taken")
    if size > most:
        raise ProtocolViolationError("RESOURCE_EXHAUSTED", f"a message of {size} bytes; {most} at most")
    return bytes(await stream._stream.recv_data(size))


class _Closed(asyncio.Protocol):
    """What a connection past the bound gets."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.abort()


class AbortableServer(Server):
    """A server with a bound of connections, which can be broken at once: grpclib's own close leaves
    them open."""

    def __init__(self, *arguments: Any, most: int = 10_000, **named: Any) -> None:
        """As its parent; past `most` connections a new one is closed unread."""
        super().__init__(*arguments, **named)
        self.made: weakref.WeakSet = weakref.WeakSet()
        self.most, self.turned_away = most, 0

    def _protocol_factory(self) -> asyncio.BaseProtocol:
        if sum(1 for p in self.made if p.connection is None or not p.connection.is_closing()) >= self.most:
            self.turned_away += 1
            return _Closed()
        protocol = super()._protocol_factory()
        protocol.connection = None
        self.made.add(protocol)
        return protocol

    def break_all(self) -> None:
        """Break what is open, as a process's death breaks it."""
        for protocol in self.made:
            if protocol.connection is not None and not protocol.connection.is_closing():
                protocol.connection._transport.abort()


class XdsServer:
    """Serves ADS in both forms and LRS for one front; `kick` asks the planner's loop for a turn."""

    def __init__(
        self,
        front: XdsFrontend,
        settings: Settings,
        plumbing: dict[str, Any],
        kick: Callable[[], None],
        clock: Callable[[], int],
        log: Any,
    ) -> None:
        """`plumbing` is the `xds` block of the settings."""
        self.front, self.set, self.plumbing = front, settings, plumbing
        self.kick, self.clock, self.log = kick, clock, log
        self.sids = itertools.count(1)
        self.queues: dict[int, asyncio.Queue[bytes | tuple[str, str]]] = {}
        self.deltas: dict[int, bool] = {}
        self.operations = frozenset(op.name for op in settings.operations)
        self.server: AbortableServer | None = None
        self.bytes = self.messages = 0
        self.waiting = 0  # streams that have not named their node yet
        self.reporting: dict[str, int] = {}  # by node, the number of its newest report stream

    def __mapping__(self) -> dict[str, Handler]:
        """The handlers that grpclib serves."""
        both = Cardinality.STREAM_STREAM
        return {
            ADS + "StreamAggregatedResources": Handler(self._sotw, both, bytes, bytes),
            ADS + "DeltaAggregatedResources": Handler(self._delta, both, bytes, bytes),
            LRS: Handler(self._loads, both, bytes, bytes),
        }

    async def start(self) -> tuple[str, int]:
        """Listen; returns the address."""
        config = Configuration(http2_connection_window_size=2**20, http2_stream_window_size=2**18)
        self.server = AbortableServer(
            [self], codec=RawCodec(), config=config, most=2 * self.plumbing["streams"]
        )
        host, port = self.plumbing["listen"]
        await self.server.start(host, port, backlog=1024)
        return self.server._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stop listening and end all streams."""
        if self.server is not None:
            self.server.close()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.server.wait_closed(), 2)
            self.server.break_all()  # a client would open its next stream on a connection nobody serves

    async def _sotw(self, stream: Stream) -> None:
        await self._serve(stream, False)

    async def _delta(self, stream: Stream) -> None:
        await self._serve(stream, True)

    async def _first(self, stream: Stream) -> bytes | None:
        if self.waiting >= self.plumbing["streams"]:
            raise ProtocolViolationError("RESOURCE_EXHAUSTED", "too many streams without a node")
        self.waiting += 1
        try:  # a client that opens streams and says nothing holds them no longer than this
            async with asyncio.timeout(self.plumbing["read_within"] / S):
                return await receive(stream, self.plumbing["max_message"])
        except TimeoutError:
            raise ProtocolViolationError("DEADLINE_EXCEEDED", "no first request") from None
        finally:
            self.waiting -= 1

    async def _serve(self, stream: Stream, delta: bool) -> None:
        sid, most = next(self.sids), self.plumbing["max_message"]
        cause, writer = "the stream ended", None
        try:
            data = await self._first(stream)
            if data is None:
                return
            request, node = messages.decode(data, delta)
            self.front.opened(sid, messages.peer(node, self.set.zones), delta, self.clock())
            self.queues[sid] = asyncio.Queue(QUEUE)
            self.deltas[sid] = delta
            writer = asyncio.ensure_future(self._write(sid, stream, asyncio.current_task()))
            while True:
                self.front.request(sid, request, self.clock())
                self.kick()
                data = await receive(stream, most)
                if data is None:
                    break
                request, _ = messages.decode(data, delta)
        except ProtocolViolationError as why:
            cause = why.text
            self.log.warning("stream refused", stream=sid, status=why.status, cause=why.text)
            raise GRPCError(Status[why.status], why.text) from None
        except (StreamTerminatedError, ConnectionError, AssertionError) as why:
            cause = f"the stream broke: {why or type(why).__name__}"
        except asyncio.CancelledError:
            ended = writer is not None and writer.done() and not writer.cancelled()
            failed = writer.result() if ended else None
            cause = failed[1] if failed else "the connection closed"
            if failed:
                raise GRPCError(Status[failed[0]], failed[1]) from None
            raise
        finally:
            if writer is not None:
                writer.cancel()
            self.queues.pop(sid, None)
            self.deltas.pop(sid, None)
            self.front.closed(sid, cause)
            self.kick()

    async def _write(self, sid: int, stream: Stream, reader: Any) -> tuple[str, str]:
        """Write what is queued; returns the status the stream ends with, and stops its reader."""
        queue = self.queues[sid]
        end = ("UNAVAILABLE", "the stream broke")
        try:
            while True:
                item = await queue.get()
                if isinstance(item, tuple):
                    end = item
                    break
                async with asyncio.timeout(self.plumbing["read_within"] / S):
                    await stream.send_message(item)
        except TimeoutError:
            end = ("DEADLINE_EXCEEDED", f"nothing read for {self.plumbing['read_within'] / S:g} s")
            self.log.warning("proxy does not read", stream=sid, cause=end[1])
        except (StreamTerminatedError, ConnectionError, RuntimeError) as why:
            # uvloop says by RuntimeError that a transport is closed; the reader ends by the same loss
            end = ("UNAVAILABLE", f"the stream broke: {why}")
        reader.cancel()
        return end

    def carry_out(self, out: FrontendOutput) -> None:
        """Queue a turn's replies and cuts."""
        for sid, reply in out.replies:
            queue = self.queues.get(sid)
            if queue is None:
                continue
            data = messages.encode(reply, self.deltas[sid])
            self.bytes += len(data)
            self.messages += 1
            self._put(sid, queue, data)
        for sid, status, text in out.cuts:
            queue = self.queues.get(sid)
            if queue is not None:
                self._put(sid, queue, (status, text))

    def _put(self, sid: int, queue: Any, item: Any) -> None:
        if queue.full():  # past its bound the stream is cut off with a reason
            while not queue.empty():
                queue.get_nowait()
            item = ("RESOURCE_EXHAUSTED", f"{QUEUE} replies unread")
        queue.put_nowait(item)

    async def _loads(self, stream: Stream) -> None:
        peer, mine = None, 0
        try:
            data = await self._first(stream)
            if data is None:
                return
            report, node = load_reports.decode(data, self.operations)
            peer, mine = messages.peer(node, self.set.zones), next(self.sids)
            if peer.node not in self.reporting and len(self.reporting) >= self.plumbing["streams"]:
                raise ProtocolViolationError(
                    "RESOURCE_EXHAUSTED", f"{len(self.reporting)} report streams are open"
                )
            self.reporting[peer.node] = mine
            await stream.send_message(load_reports.answer(self.set.report_interval_ns))
            while self.reporting.get(peer.node) == mine:  # a node reports on one stream, the newest
                self.front.report(peer.node, report, self.clock())
                self.kick()
                data = await receive(stream, self.plumbing["max_message"])
                if data is None:
                    return
                report, _ = load_reports.decode(data, self.operations)
            raise ProtocolViolationError("ABORTED", f"node {peer.node} opened another report stream")
        except ProtocolViolationError as why:
            raise GRPCError(Status[why.status], why.text) from None
        except (StreamTerminatedError, ConnectionError, AssertionError):
            return
        finally:
            if peer is not None and self.reporting.get(peer.node) == mine:
                del self.reporting[peer.node]
