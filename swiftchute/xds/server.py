"""The gRPC server of the xDS frontend: passes messages between sockets and the frontend's state machines.

Each stream has its own writer, which waits for nothing but its client's flow-control window. Its queue is
bounded by the state machine (one pending response per type), and a client that does not read in time is
disconnected.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from envoy.config.core.v3.base_pb2 import Node
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from swiftchute.api.settings import Settings
from swiftchute.ingress.buffer_budget import BufferBudget
from swiftchute.xds import load_reports, messages
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.frontend import FrontendOutput, XdsFrontend
from swiftchute.xds.grpc_transport import AbortableServer, RawCodec, UnfinishedMessage, receive

SECOND_NS = 1_000_000_000
ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
# Responses that wait for a client's window; five types with one pending response each need fewer.
MAX_QUEUED_RESPONSES = 64
STOP_TIMEOUT_S = 2
MAX_UNFINISHED_MESSAGES = 16  # of the largest size, that all clients together may leave in memory
CONNECTION_WINDOW_BYTES = 2**20
STREAM_WINDOW_BYTES = 2**18
LISTEN_BACKLOG = 1024


class _Termination(NamedTuple):
    """The gRPC status by name with which a stream ends."""

    status: str
    text: str


class _OpenStream(NamedTuple):
    """An open stream with the queue of its writer."""

    queue: "asyncio.Queue[bytes | _Termination]"
    delta: bool


class XdsServer:
    """Serves ADS in both variants and LRS for one frontend."""

    def __init__(
        self,
        frontend: XdsFrontend,
        settings: Settings,
        options: Mapping[str, Any],
        request_round: Callable[[], None],
        clock: Callable[[], int],
        log: Any,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            frontend: The state machines.
            settings: Source of zones, operations and the interval of load reports.
            options: The `xds` block of the settings file.
            request_round: Schedules a round of the controller.
            clock: Returns the time in nanoseconds.
            log: Logger for rejected streams and clients that do not read.
        """
        self.sent_bytes = 0
        self.sent_messages = 0
        self._frontend = frontend
        self._settings = settings
        self._operations = frozenset(operation.name for operation in settings.operations)
        self._address: tuple[str, int] = options["listen"]
        self._max_streams: int = options["streams"]
        self._max_message_bytes: int = options["max_message"]
        self._read_timeout_s = options["read_within"] / SECOND_NS  # for a first request and for each write
        self._unfinished: BufferBudget[UnfinishedMessage] = BufferBudget(
            MAX_UNFINISHED_MESSAGES * self._max_message_bytes
        )
        self._request_round = request_round
        self._clock = clock
        self._log = log
        self._stream_ids = itertools.count(1)
        self._streams: dict[int, _OpenStream] = {}
        self._server: AbortableServer | None = None
        self._unidentified_streams = 0  # whose node is not known yet
        self._report_streams: dict[str, int] = {}  # newest stream id by node

    @property
    def rejected_connections(self) -> int:
        """Number of connections rejected at the limit since the start."""
        return self._server.rejected_connections if self._server else 0

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers that grpclib serves."""
        cardinality = Cardinality.STREAM_STREAM
        return {
            ADS + "StreamAggregatedResources": Handler(self._serve_sotw, cardinality, bytes, bytes),
            ADS + "DeltaAggregatedResources": Handler(self._serve_delta, cardinality, bytes, bytes),
            LRS: Handler(self._serve_load_reports, cardinality, bytes, bytes),
        }

    async def start(self) -> tuple[str, int]:
        """Listen and return the address; raises OSError if that is not possible."""
        config = Configuration(
            http2_connection_window_size=CONNECTION_WINDOW_BYTES,
            http2_stream_window_size=STREAM_WINDOW_BYTES,
        )
        self._server = AbortableServer(
            [self], codec=RawCodec(), config=config, max_connections=2 * self._max_streams
        )
        host, port = self._address
        await self._server.start(host, port, backlog=LISTEN_BACKLOG)
        return self._server.address

    async def stop(self) -> None:
        """Stop listening and end all streams."""
        if self._server is None:
            return
        self._server.close()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._server.wait_closed(), STOP_TIMEOUT_S)
        # on a connection left open, a client would open its next stream, which would not be served
        self._server.abort_connections()

    def send(self, output: FrontendOutput) -> None:
        """Queue the responses and terminations of a round."""
        for stream_id, response in output.responses:
            stream = self._streams.get(stream_id)
            if stream is None:
                continue
            data = messages.encode(response, stream.delta)
            self.sent_bytes += len(data)
            self.sent_messages += 1
            self._enqueue(stream, data)
        for termination in output.terminations:
            stream = self._streams.get(termination.stream_id)
            if stream is not None:
                self._enqueue(stream, _Termination(termination.status, termination.text))

    @staticmethod
    def _enqueue(stream: _OpenStream, item: bytes | _Termination) -> None:
        """Queue an item; if the queue is full, drop its items and end the stream with the cause."""
        queue = stream.queue
        if queue.full():
            while not queue.empty():
                queue.get_nowait()
            item = _Termination("RESOURCE_EXHAUSTED", f"{MAX_QUEUED_RESPONSES} responses not read")
        queue.put_nowait(item)

    async def _serve_sotw(self, stream: Stream) -> None:
        await self._serve_ads(stream, False)

    async def _serve_delta(self, stream: Stream) -> None:
        await self._serve_ads(stream, True)

    async def _receive_first(self, stream: Stream) -> bytes | None:
        """Return the first message of a stream; streams that wait for it are limited in number and time."""
        if self._unidentified_streams >= self._max_streams:
            raise ProtocolViolationError(
                "RESOURCE_EXHAUSTED", f"{self._max_streams} streams without a request, the maximum"
            )
        self._unidentified_streams += 1
        try:
            async with asyncio.timeout(self._read_timeout_s):
                return await receive(stream, self._max_message_bytes, self._unfinished)
        except TimeoutError:
            raise ProtocolViolationError("DEADLINE_EXCEEDED", "first request not received in time") from None
        finally:
            self._unidentified_streams -= 1

    async def _serve_ads(self, stream: Stream, delta: bool) -> None:
        stream_id = next(self._stream_ids)
        cause = "the stream ended"
        writer: asyncio.Task[_Termination] | None = None
        try:
            data = await self._receive_first(stream)
            if data is None:
                return
            request, node = messages.decode(data, delta)
            writer = self._open(stream_id, stream, node, delta)
            while True:
                self._frontend.on_request(stream_id, request, self._clock())
                self._request_round()
                data = await receive(stream, self._max_message_bytes, self._unfinished)
                if data is None:
                    break
                request, _ = messages.decode(data, delta)
        except ProtocolViolationError as error:
            cause = error.text
            self._log.warning("stream refused", stream=stream_id, status=error.status, cause=error.text)
            raise GRPCError(Status[error.status], error.text) from None
        except (StreamTerminatedError, ConnectionError, AssertionError) as error:
            # grpclib raises AssertionError if the stream ends within a message
            cause = f"the stream broke: {error or type(error).__name__}"
        except asyncio.CancelledError:
            termination = _final_status(writer)
            cause = termination.text if termination else "the connection closed"
            if termination:
                raise GRPCError(Status[termination.status], termination.text) from None
            raise
        finally:
            if writer is not None:
                writer.cancel()
            self._streams.pop(stream_id, None)
            self._frontend.close_stream(stream_id, cause)
            self._request_round()

    def _open(self, stream_id: int, stream: Stream, node: Node, delta: bool) -> "asyncio.Task[_Termination]":
        """Connect the proxy of a stream's first request and start the stream's writer."""
        proxy = messages.parse_node(node, self._settings.zones)
        self._frontend.open_stream(stream_id, proxy, delta, self._clock())
        opened = self._streams[stream_id] = _OpenStream(asyncio.Queue(MAX_QUEUED_RESPONSES), delta)
        return asyncio.ensure_future(self._write(stream_id, opened, stream, asyncio.current_task()))

    async def _write(self, stream_id: int, opened: _OpenStream, stream: Stream, reader: Any) -> _Termination:
        """Send what is queued until the stream has to end; cancel its reader and return the final status."""
        end = _Termination("UNAVAILABLE", "the stream broke")
        try:
            while True:
                item = await opened.queue.get()
                if isinstance(item, _Termination):
                    end = item
                    break
                async with asyncio.timeout(self._read_timeout_s):
                    await stream.send_message(item)
        except TimeoutError:
            end = _Termination("DEADLINE_EXCEEDED", f"client read nothing for {self._read_timeout_s:g} s")
            self._log.warning("proxy does not read", stream=stream_id, cause=end.text)
        except (StreamTerminatedError, ConnectionError, RuntimeError) as error:
            # uvloop raises RuntimeError on a closed transport; the reader ends for the same cause
            end = _Termination("UNAVAILABLE", f"the stream broke: {error}")
        reader.cancel()
        return end

    async def _serve_load_reports(self, stream: Stream) -> None:
        """Pass on load reports until the stream ends or its node opens a newer one."""
        node, stream_id = None, 0
        try:
            data = await self._receive_first(stream)
            if data is None:
                return
            report, sender = load_reports.decode(data, self._operations)
            node = messages.parse_node(sender, self._settings.zones).id
            stream_id = next(self._stream_ids)
            self._open_report_stream(node, stream_id)
            await stream.send_message(load_reports.encode_response(self._settings.report_interval_ns))
            while self._report_streams.get(node) == stream_id:
                self._frontend.on_load_report(node, report, self._clock())
                self._request_round()
                data = await receive(stream, self._max_message_bytes, self._unfinished)
                if data is None:
                    return
                report, _ = load_reports.decode(data, self._operations)
            raise ProtocolViolationError("ABORTED", f"node {node} opened another report stream")
        except ProtocolViolationError as error:
            raise GRPCError(Status[error.status], error.text) from None
        except (StreamTerminatedError, ConnectionError, AssertionError):  # as in `_serve_ads`
            return
        finally:
            if node is not None and self._report_streams.get(node) == stream_id:
                del self._report_streams[node]

    def _open_report_stream(self, node: str, stream_id: int) -> None:
        """Accept a report stream; an older stream of the same node will be ended."""
        if node not in self._report_streams and len(self._report_streams) >= self._max_streams:
            text = f"{len(self._report_streams)} report streams are open, the maximum"
            raise ProtocolViolationError("RESOURCE_EXHAUSTED", text)
        self._report_streams[node] = stream_id


def _final_status(writer: "asyncio.Task[_Termination] | None") -> _Termination | None:
    """Return the status with which a writer ended its stream, if it did."""
    if writer is None or not writer.done() or writer.cancelled():
        return None
    return writer.result()
