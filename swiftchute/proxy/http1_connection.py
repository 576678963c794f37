"""HTTP/1.1 framing of one connection, built on h11: one exchange at a time. No I/O, no clock."""

from typing import Any

import h11

from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http_framing import (
    MAX_HEADER_BYTES,
    Headers,
    HttpEvent,
    HttpMessage,
    MessageTooLarge,
    PartialMessage,
)

# hop-by-hop headers, and headers that the framing sets itself
_DROPPED_HEADERS = (b"content-length", b"transfer-encoding", b"connection", b"keep-alive", b"upgrade", b"te")


class Http1Connection:
    """The client or server side of a connection.

    Attributes:
        busy: whether a request is in flight.
        closing: whether the connection accepts no new request.
    """

    def __init__(self, client: bool, max_message_bytes: int) -> None:
        """`client`: whether this side sends the requests; `max_message_bytes` limits a message's body."""
        self.client = client
        self.max_message_bytes = max_message_bytes
        self.busy = False
        self.closing = False
        role = h11.CLIENT if client else h11.SERVER
        self._h11 = h11.Connection(role, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._partial_message: PartialMessage | None = None
        self._unsent = bytearray()
        self._unfinished_bytes = 0  # received of a message that is not complete

    def start(self) -> None:
        """No-op: HTTP/1.1 has no preface."""

    @property
    def available_streams(self) -> int:
        """1 if the connection is free for a request, else 0."""
        return int(not self.closing and not self.busy)

    def data_to_send(self) -> bytes:
        """Return and clear the bytes to write to the transport."""
        data = bytes(self._unsent)
        self._unsent = bytearray()
        return data

    def receive_data(self, data: bytes) -> list[HttpEvent]:
        """Process received bytes; empty bytes mean that the peer closed the connection.

        Raises:
            HttpFramingError: the bytes violate the protocol.
        """
        self._unfinished_bytes += len(data)
        try:
            self._h11.receive_data(data)
        except h11.ProtocolError as error:
            self.closing = True
            raise HttpFramingError(str(error)) from None
        return self.next_events()

    def take_unfinished_sizes(self) -> dict[int, int]:
        """Return the memory of the message that is being received, by its stream id.

        A pipelined request counts from the response to the one before it.
        """
        is_waiting = self.busy and self._partial_message is None
        return {0: 0 if is_waiting else self._unfinished_bytes}

    @property
    def unsent_bytes(self) -> int:
        """Bytes of messages that wait for the peer's flow control: none in HTTP/1.1."""
        return 0

    def next_events(self) -> list[HttpEvent]:
        """Return events for the bytes received so far; a pipelined request waits for the response before it.

        Raises:
            HttpFramingError: the bytes violate the protocol.
        """
        events: list[HttpEvent] = []
        try:
            while (h11_event := self._h11.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(h11_event, h11.ConnectionClosed):
                    self.closing = True
                    break
                self._handle(h11_event, events)
        except (h11.ProtocolError, ValueError) as error:
            self.closing = True
            raise HttpFramingError(str(error)) from None
        return events

    def send(self, message: HttpMessage) -> int:
        """Send a request, or the response to the received request.

        Returns:
            0, as HTTP/1.1 has no stream ids.

        Raises:
            HttpFramingError: the connection accepts no message, or a pseudo-header is missing or invalid.
        """
        try:
            if self.client:
                self.busy = True
            self._unsent += self._h11.send(self._build_head(message))
            if message.body:
                self._unsent += self._h11.send(h11.Data(data=message.body))
            self._unsent += self._h11.send(h11.EndOfMessage())
        except (h11.ProtocolError, KeyError, ValueError) as error:
            self.closing = True
            raise HttpFramingError(str(error)) from None
        if not self.client:
            self._end_exchange()
        return 0

    def reset_stream(self, stream_id: int, error_code: int) -> None:
        """Discard what was received, and mark the connection closing: no single request can be cancelled."""
        self.closing = True
        self._partial_message = None
        self._unfinished_bytes = 0

    def _handle(self, h11_event: Any, events: list[HttpEvent]) -> None:
        match h11_event:
            case h11.Request():
                self._handle_request(h11_event)
            case h11.Response():
                status = (b":status", str(h11_event.status_code).encode())
                self._partial_message = PartialMessage([status, *_headers_of(h11_event)])
            case h11.Data() if self._partial_message is not None:
                self._handle_data(self._partial_message, h11_event.data, events)
            case h11.EndOfMessage() if self._partial_message is not None:
                partial, self._partial_message = self._partial_message, None
                self._unfinished_bytes = 0
                events.append(HttpMessage(0, partial.headers, partial.body))
                if self.client:
                    self._end_exchange()

    def _handle_request(self, request: h11.Request) -> None:
        self.busy = True
        if self._h11.they_are_waiting_for_100_continue:
            self._unsent += self._h11.send(h11.InformationalResponse(status_code=100, headers=[]))
        pseudo_headers = [(b":method", request.method), (b":path", request.target)]
        self._partial_message = PartialMessage(pseudo_headers + _headers_of(request))

    def _handle_data(self, partial: PartialMessage, data: bytes, events: list[HttpEvent]) -> None:
        if partial.body_bytes + len(data) > self.max_message_bytes:
            self._partial_message = None
            self.closing = True
            events.append(MessageTooLarge(0))
        else:
            partial.add_body(data)

    def _build_head(self, message: HttpMessage) -> h11.Request | h11.Response:
        """Build start line and headers; raises KeyError or ValueError on missing or bad pseudo-headers."""
        pseudo_headers = {name: value for name, value in message.headers if name[:1] == b":"}
        headers = [
            (name, value)
            for name, value in message.headers
            if name[:1] != b":" and name.lower() not in _DROPPED_HEADERS
        ]
        headers.append((b"content-length", str(len(message.body)).encode()))
        if self.client:
            return h11.Request(
                method=pseudo_headers[b":method"], target=pseudo_headers[b":path"], headers=headers
            )
        return h11.Response(status_code=int(pseudo_headers[b":status"]), headers=headers)

    def _end_exchange(self) -> None:
        """Free the connection after a complete exchange, or mark it closing if it cannot be reused."""
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self.busy = False
        else:
            self.closing = True


def _headers_of(h11_event: h11.Request | h11.Response) -> Headers:
    return [(bytes(name), bytes(value)) for name, value in h11_event.headers]
