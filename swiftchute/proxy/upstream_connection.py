"""A connection to an endpoint: an asyncio protocol around the HTTP framing. It makes no routing decisions."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from swiftchute.proxy.connection_pool import PooledConnection
from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.http_framing import (
    CANCEL,
    GoAway,
    HttpEvent,
    HttpMessage,
    MessageTooLarge,
    StreamReset,
)
from swiftchute.proxy.keepalive import Keepalive, KeepaliveAction
from swiftchute.proxy.retry import AttemptOutcome, outcome_of_reset
from swiftchute.proxy.settings import MAX_UNREAD_BYTES

Clock = Callable[[], int]


class AttemptEnd(NamedTuple):
    """How an attempt ended on its connection; a response still has to be classified."""

    outcome: AttemptOutcome
    response: HttpMessage | None


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint, with a future for each attempt in flight.

    Attributes:
        framing: HTTP protocol state.
        pooled: the connection's entry in the pool, None until it is added.
    """

    def __init__(
        self,
        framing: Http2Connection | Http1Connection,
        on_closed: Callable[["UpstreamConnection"], None],
        clock: Clock,
    ) -> None:
        """`on_closed` is called when the connection is lost; `clock` returns the current time in ns."""
        self.framing = framing
        self.pooled: PooledConnection | None = None
        self._on_closed = on_closed
        self._clock = clock
        self._attempts: dict[int, asyncio.Future[AttemptEnd]] = {}
        self._keepalive = Keepalive(clock())

    def send(self, request: HttpMessage) -> tuple[int, asyncio.Future[AttemptEnd]]:
        """Write a request.

        Returns:
            The stream's id, and a future for the end of the attempt.

        Raises:
            HttpFramingError: the request was rejected, and nothing of it was written.
        """
        stream_id = self.framing.send(request)
        future = self._attempts[stream_id] = asyncio.get_running_loop().create_future()
        self._flush()
        return stream_id, future

    def cancel(self, stream_id: int, future: asyncio.Future[AttemptEnd]) -> None:
        """Cancel an attempt that nobody waits for any more; no-op if it has ended.

        Another attempt may have its stream id by then: in HTTP/1.1 all have the same.
        """
        if self._attempts.get(stream_id) is not future:
            return
        del self._attempts[stream_id]
        self.framing.reset_stream(stream_id, CANCEL)
        self._flush()
        if isinstance(self.framing, Http1Connection):
            self.close()

    def check_alive(self, now_ns: int, silence_timeout_ns: int) -> None:
        """Ping an HTTP/2 connection that awaits responses and receives nothing; close it if that goes on."""
        if not self._attempts or not isinstance(self.framing, Http2Connection):
            return
        action = self._keepalive.check(now_ns, silence_timeout_ns)
        if action is KeepaliveAction.CLOSE:
            self.close()
        elif action is KeepaliveAction.PING:
            self.framing.ping()
            self._flush()

    def close(self) -> None:
        """Close immediately, without flushing buffered data."""
        self.transport.abort()

    def connection_made(self, transport: Any) -> None:
        """Start the framing on the established connection."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        self.framing.start()
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Process bytes from the endpoint."""
        self._keepalive.data_received(self._clock())
        try:
            events = self.framing.receive_data(data)
        except HttpFramingError:
            self.close()
            return
        for event in events:
            self._handle(event)
        self._flush()
        if self.framing.closing and self.pooled is not None:
            self.pooled.closing = True
            if not self._attempts:
                self.close()

    def eof_received(self) -> bool:
        """Process the end of the endpoint's data, which may complete an HTTP/1.1 response."""
        if isinstance(self.framing, Http1Connection):
            self.data_received(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempts in flight as lost: they were sent, so the endpoint may have executed them."""
        for stream_id in list(self._attempts):
            self._end(stream_id, AttemptOutcome.CONNECTION_LOST)
        self._on_closed(self)

    def _handle(self, event: HttpEvent) -> None:
        match event:
            case HttpMessage():  # the caller classifies the response and replaces the outcome
                self._end(event.stream_id, AttemptOutcome.FAILED, event)
            case StreamReset():
                self._end(event.stream_id, outcome_of_reset(event.error_code))
            case MessageTooLarge():
                self._end(event.stream_id, AttemptOutcome.FAILED)
            case GoAway():  # later streams were not processed, so they are safe to retry
                for stream_id in [number for number in self._attempts if number > event.last_stream_id]:
                    self._end(stream_id, AttemptOutcome.REFUSED)

    def _end(self, stream_id: int, outcome: AttemptOutcome, response: HttpMessage | None = None) -> None:
        future = self._attempts.pop(stream_id, None)
        if future is not None and not future.done():
            future.set_result(AttemptEnd(outcome, response))

    def _flush(self) -> None:
        data = self.framing.data_to_send()
        if data and not self.transport.is_closing():
            self.transport.write(data)
