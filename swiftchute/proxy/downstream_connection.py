"""A caller's connection: an asyncio protocol around the HTTP framing. It makes no routing decisions."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from swiftchute.ingress.buffer_budget import BufferBudget
from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http2_connection import CONNECTION_STREAM, Http2Connection
from swiftchute.proxy.http_framing import (
    ENHANCE_YOUR_CALM,
    HttpEvent,
    HttpMessage,
    MessageTooLarge,
    StreamReset,
)
from swiftchute.proxy.settings import MAX_UNREAD_BYTES, ServerSettings

HTTP2_PREFACE_START = b"PRI * HTTP/2.0"  # the first bytes of every HTTP/2 client
SERVICE_UNAVAILABLE = (
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-type: text/plain\r\n"
    b"content-length: 55\r\n\r\nunfinished requests of all callers take too much memory"
)
CONTENT_TOO_LARGE = b"HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\n\r\n"


class UnfinishedRequest(NamedTuple):
    """A request that is being received."""

    connection: "DownstreamConnection"
    stream_id: int


class RequestHandler(Protocol):
    """The part of the proxy server that a caller's connection needs."""

    settings: ServerSettings
    clock: Callable[[], int]
    unfinished_requests: BufferBudget[UnfinishedRequest]
    unread_responses: "BufferBudget[DownstreamConnection]"

    async def handle_request(self, request: HttpMessage, caller: str, http2: bool) -> HttpMessage:
        """Return the response to a request."""

    def downstream_opened(self, connection: "DownstreamConnection") -> None:
        """Called when a connection is established."""

    def downstream_closed(self, connection: "DownstreamConnection") -> None:
        """Called when a connection is lost."""


class DownstreamConnection(asyncio.Protocol):
    """A caller's connection; its first bytes decide between HTTP/2 and HTTP/1.1.

    Attributes:
        tasks: tasks of the requests in flight, by stream id.
        caller: the peer's host, which identifies the caller.
    """

    def __init__(self, handler: RequestHandler) -> None:
        """`handler` answers the requests of this connection."""
        self.caller = ""
        self.tasks: dict[int, asyncio.Task] = {}
        self._handler = handler
        self._framing: Http2Connection | Http1Connection | None = None
        self._first_bytes = bytearray()
        self._last_request_ns = handler.clock()
        self._unfinished_streams: set[int] = set()
        self._has_pipelined = False  # bytes after an HTTP/1.1 request that is not answered yet
        self._writing_paused = False

    def is_idle(self, now_ns: int) -> bool:
        """Whether no request is in flight and none has arrived for longer than the idle timeout."""
        idle_since_ns = now_ns - self._handler.settings.pool.idle_timeout_ns
        return not self.tasks and self._last_request_ns < idle_since_ns

    def drain(self) -> None:
        """Stop accepting requests; those in flight are still answered."""
        if isinstance(self._framing, Http2Connection) and not self._framing.closing:
            self._framing.send_goaway()
            self._flush(self._framing)
        if not self.tasks:
            self.transport.close()

    def connection_made(self, transport: Any) -> None:
        """The connection is established."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        peer = transport.get_extra_info("peername")
        self.caller = str(peer[0]) if peer else ""
        self._handler.downstream_opened(self)

    def data_received(self, data: bytes) -> None:
        """Process bytes from the caller."""
        if self.transport.is_closing():
            return
        framing = self._framing
        if framing is None:
            self._first_bytes += data
            framing = self._framing = self._detect_framing()
            if framing is None:
                return
            framing.start()
            data = bytes(self._first_bytes)
            self._first_bytes = bytearray()
        self._has_pipelined = isinstance(framing, Http1Connection) and bool(self.tasks)
        self._run_framing(framing, lambda: self._handle_events(framing, framing.receive_data(data)))
        self._update_unfinished(framing)
        self._update_reading()

    def eof_received(self) -> None:
        """Cancel the requests of a caller that has left, whatever it has left unread."""
        self._cancel_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the closed connection."""
        self._cancel_requests()
        for stream_id in self._unfinished_streams:
            self._handler.unfinished_requests.release(UnfinishedRequest(self, stream_id))
        self._handler.unread_responses.release(self)
        self._handler.downstream_closed(self)
        self._framing = None  # frees what was received; other objects may refer to this one for a while

    def pause_writing(self) -> None:
        """Stop reading requests while the caller does not read its responses."""
        self._writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Read requests again once the caller reads its responses."""
        self._writing_paused = False
        framing = self._framing
        if isinstance(framing, Http1Connection) and not self.tasks:
            self._run_framing(framing, lambda: self._handle_events(framing, framing.next_events()))
        self.update_unread()
        self._update_reading()

    def discard_unfinished_request(self, stream_id: int) -> None:
        """Refuse a request that is being received, as those of all callers take too much memory."""
        framing = self._framing
        if framing is None or self.transport.is_closing():
            return
        if stream_id == CONNECTION_STREAM and self.tasks:
            return  # closing the connection would lose other requests
        framing.reset_stream(stream_id, ENHANCE_YOUR_CALM)
        self._flush(framing)
        if isinstance(framing, Http2Connection) and stream_id != CONNECTION_STREAM:
            return
        if isinstance(framing, Http1Connection):
            self.transport.write(SERVICE_UNAVAILABLE)
        self.transport.close()

    def update_unread(self) -> None:
        """Count the responses that the caller has not read; abort callers whose limit is exceeded."""
        if self.transport.is_closing() or self._framing is None:
            return
        unread_bytes = self.transport.get_write_buffer_size() + self._framing.unsent_bytes
        for connection in self._handler.unread_responses.update(self, unread_bytes):
            connection.transport.abort()

    def _update_unfinished(self, framing: Http2Connection | Http1Connection) -> None:
        """Count the requests that are being received; refuse the oldest if they take too much memory."""
        for stream_id, size in framing.take_unfinished_sizes().items():
            (self._unfinished_streams.add if size else self._unfinished_streams.discard)(stream_id)
            request = UnfinishedRequest(self, stream_id)
            for connection, number in self._handler.unfinished_requests.update(request, size):
                connection.discard_unfinished_request(number)

    def _update_reading(self) -> None:
        """Read requests unless responses are unread, or an HTTP/1.1 request waits for the one before it."""
        if self._writing_paused or self._has_pipelined:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _cancel_requests(self) -> None:
        for task in self.tasks.values():
            task.cancel()

    def _detect_framing(self) -> Http2Connection | Http1Connection | None:
        """Create the framing for the HTTP version of the first bytes; None while they are ambiguous."""
        start = bytes(self._first_bytes[: len(HTTP2_PREFACE_START)])
        settings = self._handler.settings
        if start == HTTP2_PREFACE_START:
            return Http2Connection(False, settings.max_message_bytes, settings.pool.max_streams)
        if HTTP2_PREFACE_START.startswith(start):
            return None
        return Http1Connection(False, settings.max_message_bytes)

    def _run_framing(self, framing: Http2Connection | Http1Connection, action: Callable[[], None]) -> None:
        """Run an action on the framing and write its output; close on a protocol violation."""
        try:
            action()
        except HttpFramingError:
            self._flush(framing)
            self.transport.close()
            return
        self._flush(framing)
        if framing.closing and not self.tasks and not self.transport.is_closing():
            self.transport.close()

    def _handle_events(self, framing: Http2Connection | Http1Connection, events: list[HttpEvent]) -> None:
        for event in events:
            match event:
                case HttpMessage():
                    self._last_request_ns = self._handler.clock()
                    self.tasks[event.stream_id] = asyncio.ensure_future(self._serve(framing, event))
                case StreamReset() if event.stream_id in self.tasks:
                    self.tasks.pop(event.stream_id).cancel()
                case MessageTooLarge() if isinstance(framing, Http1Connection):
                    self.transport.write(CONTENT_TOO_LARGE)
                    self.transport.close()

    async def _serve(self, framing: Http2Connection | Http1Connection, request: HttpMessage) -> None:
        is_http2 = isinstance(framing, Http2Connection)
        response = await self._handler.handle_request(request, self.caller, is_http2)
        self.tasks.pop(request.stream_id, None)
        if self.transport.is_closing():
            return
        stream_response = HttpMessage(request.stream_id, response.headers, response.body, response.trailers)
        self._run_framing(framing, lambda: self._respond(framing, stream_response))
        self._has_pipelined = self._has_pipelined and bool(self.tasks)
        self.update_unread()
        self._update_reading()

    def _respond(self, framing: Http2Connection | Http1Connection, response: HttpMessage) -> None:
        framing.send(response)
        if isinstance(framing, Http1Connection) and not self._writing_paused:
            self._handle_events(framing, framing.next_events())  # a request that arrived in the meantime

    def _flush(self, framing: Http2Connection | Http1Connection) -> None:
        data = framing.data_to_send()
        if data and not self.transport.is_closing():
            self.transport.write(data)
