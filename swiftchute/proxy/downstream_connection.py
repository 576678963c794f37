"""A caller's connection: an asyncio protocol around the HTTP framing. It makes no routing decisions."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.http_framing import HttpEvent, HttpMessage, MessageTooLarge, StreamReset
from swiftchute.proxy.settings import MAX_UNREAD_BYTES, ServerSettings

HTTP2_PREFACE_START = b"PRI * HTTP/2.0"  # the first bytes of every HTTP/2 client
CONTENT_TOO_LARGE = b"HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\n\r\n"


class RequestHandler(Protocol):
    """The part of the proxy server that a caller's connection needs."""

    settings: ServerSettings
    clock: Callable[[], int]

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
        framing = self._framing
        if framing is None:
            self._first_bytes += data
            framing = self._framing = self._detect_framing()
            if framing is None:
                return
            framing.start()
            data = bytes(self._first_bytes)
            self._first_bytes = bytearray()
        self._run_framing(framing, lambda: self._handle_events(framing, framing.receive_data(data)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the closed connection."""
        for task in self.tasks.values():
            task.cancel()
        self._handler.downstream_closed(self)

    def pause_writing(self) -> None:
        """Stop reading requests while the caller does not read its responses."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read requests again once the caller reads its responses."""
        self.transport.resume_reading()

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

    def _respond(self, framing: Http2Connection | Http1Connection, response: HttpMessage) -> None:
        framing.send(response)
        if isinstance(framing, Http1Connection):
            self._handle_events(framing, framing.next_events())  # a request that arrived in the meantime

    def _flush(self, framing: Http2Connection | Http1Connection) -> None:
        data = framing.data_to_send()
        if data and not self.transport.is_closing():
            self.transport.write(data)
