"""HTTP/2 framing of one connection, built on h2. No I/O, no clock.

connection = Http2Connection(client=True, max_message_bytes=2**20)
connection.start()
stream_id = connection.send(HttpMessage(0, headers, body))
transport.write(connection.data_to_send())
for event in connection.receive_data(data): ...
"""

from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http_framing import (
    ENHANCE_YOUR_CALM,
    MAX_HEADER_BYTES,
    GoAway,
    Headers,
    HttpEvent,
    HttpMessage,
    MessageTooLarge,
    PartialMessage,
    PingAcknowledged,
    StreamReset,
)

PREFACE_BYTES = 24  # length of a client's connection preface (RFC 9113, 3.4)
FRAME_HEADER_BYTES = 9
HEADERS_TYPE, GOAWAY_TYPE, CONTINUATION_TYPE = 1, 7, 9
END_HEADERS_FLAG = 4
CONNECTION_STREAM = 0  # stands for what belongs to no stream yet
GOAWAY_MIN_BYTES = 8  # last stream ID and error code
MAX_FRAME_BYTES = 2**14  # payload limit: the initial SETTINGS_MAX_FRAME_SIZE, which is never raised
STREAM_WINDOW_BYTES = 2**18
CONNECTION_WINDOW_INCREMENT_BYTES = 2**22
DEFAULT_MAX_STREAMS = 100  # assumed until the peer announces its limit
PING_PAYLOAD = b"alive?\0\0"


class Http2Connection:
    """The client or server side of a connection.

    Attributes:
        closing: whether the connection accepts no new streams.
        h2: protocol state of the h2 library.
    """

    def __init__(self, client: bool, max_message_bytes: int, max_streams: int = DEFAULT_MAX_STREAMS) -> None:
        """Create the framing; `start` sends the first bytes.

        Args:
            client: whether this is the client side, which opens the streams.
            max_message_bytes: limit of a message's body.
            max_streams: limit of streams that the peer may have open at once.
        """
        self.client = client
        self.max_message_bytes = max_message_bytes
        self.closing = False
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=client, header_encoding=None)
        )
        self.h2.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: max_streams,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW_BYTES,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_BYTES,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self._partial_messages: dict[int, PartialMessage] = {}
        self._unsent_bodies: dict[int, tuple[memoryview, Headers]] = {}  # body awaiting window, trailers
        self._partial_frame = bytearray()
        self._header_block_bytes = 0  # of a header block that is not complete
        self._unfinished_sizes: dict[int, int] = {}  # changed since they were taken
        self._preface_bytes_left = 0 if client else PREFACE_BYTES

    def start(self) -> None:
        """Queue the preface and settings for sending."""
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW_INCREMENT_BYTES)

    @property
    def available_streams(self) -> int:
        """How many more streams the peer currently accepts."""
        if self.closing:
            return 0
        try:
            max_streams = self.h2.remote_settings.max_concurrent_streams
            return max(max_streams - self.h2.open_outbound_streams, 0)
        except KeyError:
            return DEFAULT_MAX_STREAMS

    def data_to_send(self) -> bytes:
        """Return and clear the bytes to write to the transport."""
        return self.h2.data_to_send()

    def receive_data(self, data: bytes) -> list[HttpEvent]:
        """Process received bytes; raises HttpFramingError if they violate the protocol."""
        events: list[HttpEvent] = []
        try:
            h2_events = self.h2.receive_data(self._remove_goaways(data, events))
        except (h2.exceptions.H2Error, ValueError, KeyError, IndexError) as error:
            self.closing = True
            raise HttpFramingError(f"{type(error).__name__}: {error}") from None
        for h2_event in h2_events:
            self._handle(h2_event, events)
        self._send_waiting_bodies()
        return events

    def take_unfinished_sizes(self) -> dict[int, int]:
        """Return the changed memory of messages that are being received, by stream id."""
        sizes, self._unfinished_sizes = self._unfinished_sizes, {}
        sizes[CONNECTION_STREAM] = len(self._partial_frame) + self._header_block_bytes
        return sizes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of messages that wait for the peer's flow control."""
        return sum(len(body) for body, _ in self._unsent_bodies.values())

    def send(self, message: HttpMessage) -> int:
        """Send a request on a new stream, or a response on the stream of `message`.

        Returns:
            The stream's id, which is assigned here for a request.

        Raises:
            HttpFramingError: the connection or stream accepts no message; nothing was sent.
        """
        stream_id = message.stream_id
        try:
            if self.client:
                stream_id = self.h2.get_next_available_stream_id()
            headers_only = not message.body and not message.trailers
            self.h2.send_headers(stream_id, message.headers, end_stream=headers_only)
            if not headers_only:
                self._unsent_bodies[stream_id] = (memoryview(message.body), message.trailers)
                self._send_body(stream_id)
        except h2.exceptions.H2Error as error:
            self._unsent_bodies.pop(stream_id, None)
            raise HttpFramingError(f"{type(error).__name__}: {error}") from None
        return stream_id

    def reset_stream(self, stream_id: int, error_code: int) -> None:
        """Reset a stream; no-op if it has ended."""
        self._forget_partial(stream_id)
        self._unsent_bodies.pop(stream_id, None)
        try:
            self.h2.reset_stream(stream_id, error_code)
        except h2.exceptions.H2Error:
            return

    def ping(self) -> None:
        """Send a PING to check that the peer is alive."""
        self.h2.ping(PING_PAYLOAD)

    def send_goaway(self) -> None:
        """Send GOAWAY: no new streams are accepted."""
        self.closing = True
        self.h2.close_connection()

    def _remove_goaways(self, data: bytes, events: list[HttpEvent]) -> bytes:
        """Return the complete frames received so far, and turn GOAWAY frames into events instead.

        h2 considers a connection closed after a GOAWAY and would lose the outstanding responses, but streams
        up to the last stream ID continue (RFC 9113, 6.8).
        """
        frames = bytearray(data[: self._preface_bytes_left])
        self._preface_bytes_left -= len(frames)
        self._partial_frame += data[len(frames) :]
        start = 0
        while len(self._partial_frame) - start >= FRAME_HEADER_BYTES:
            payload_bytes = int.from_bytes(self._partial_frame[start : start + 3], "big")
            if payload_bytes > MAX_FRAME_BYTES:
                raise ValueError(f"frame payload is {payload_bytes} bytes, the maximum {MAX_FRAME_BYTES}")
            end = start + FRAME_HEADER_BYTES + payload_bytes
            if len(self._partial_frame) < end:
                break
            frame = self._partial_frame[start:end]
            start = end
            self._check_header_block(frame[3], frame[4], payload_bytes)
            if frame[3] == GOAWAY_TYPE and payload_bytes >= GOAWAY_MIN_BYTES:
                self.closing = True
                events.append(_parse_goaway(frame))
            else:
                frames += frame
        del self._partial_frame[:start]
        return bytes(frames)

    def _check_header_block(self, frame_type: int, flags: int, payload_bytes: int) -> None:
        """Count the bytes of a header block; raises ValueError if it is too large."""
        if frame_type not in (HEADERS_TYPE, CONTINUATION_TYPE):
            return
        self._header_block_bytes += payload_bytes
        if self._header_block_bytes > MAX_HEADER_BYTES:
            raise ValueError(f"header block of more than {MAX_HEADER_BYTES} bytes")
        if flags & END_HEADERS_FLAG:
            self._header_block_bytes = 0

    def _note_unfinished(self, stream_id: int, size: int) -> None:
        """Keep the size of a request that is being received; nobody asks for those of responses."""
        if not self.client:
            self._unfinished_sizes[stream_id] = size

    def _forget_partial(self, stream_id: int) -> PartialMessage | None:
        partial = self._partial_messages.pop(stream_id, None)
        if partial is not None:
            self._note_unfinished(stream_id, 0)
        return partial

    def _handle(self, h2_event: Any, events: list[HttpEvent]) -> None:
        match h2_event:
            case h2.events.RequestReceived() | h2.events.ResponseReceived():
                message = PartialMessage(list(h2_event.headers))
                self._partial_messages[h2_event.stream_id] = message
                self._note_unfinished(h2_event.stream_id, message.memory_bytes)
            case h2.events.TrailersReceived():
                partial = self._partial_messages.get(h2_event.stream_id)
                if partial is not None:
                    partial.trailers = list(h2_event.headers)
            case h2.events.DataReceived():
                self._handle_data(h2_event, events)
            case h2.events.StreamEnded():
                self._handle_stream_ended(h2_event.stream_id, events)
            case h2.events.StreamReset():
                self._forget_partial(h2_event.stream_id)
                self._unsent_bodies.pop(h2_event.stream_id, None)
                events.append(StreamReset(h2_event.stream_id, int(h2_event.error_code or 0)))
            case h2.events.ConnectionTerminated():
                self.closing = True
                events.append(GoAway(h2_event.last_stream_id or 0, int(h2_event.error_code or 0)))
            case h2.events.PingAckReceived():
                events.append(PingAcknowledged())

    def _handle_data(self, h2_event: h2.events.DataReceived, events: list[HttpEvent]) -> None:
        stream_id = h2_event.stream_id
        self.h2.acknowledge_received_data(h2_event.flow_controlled_length, stream_id)
        partial = self._partial_messages.get(stream_id)
        if partial is None:
            return
        if partial.body_bytes + len(h2_event.data) > self.max_message_bytes:
            self.reset_stream(stream_id, ENHANCE_YOUR_CALM)
            events.append(MessageTooLarge(stream_id))
        else:
            partial.add_body(h2_event.data)
            self._note_unfinished(stream_id, partial.memory_bytes)

    def _handle_stream_ended(self, stream_id: int, events: list[HttpEvent]) -> None:
        partial = self._forget_partial(stream_id)
        if partial is not None:
            events.append(HttpMessage(stream_id, partial.headers, partial.body, partial.trailers))

    def _send_waiting_bodies(self) -> None:
        for stream_id in list(self._unsent_bodies):
            try:
                self._send_body(stream_id)
            except h2.exceptions.H2Error:
                self._unsent_bodies.pop(stream_id, None)  # the stream is closed

    def _send_body(self, stream_id: int) -> None:
        """Send as much of a body as flow control allows; the trailers follow the complete body."""
        body, trailers = self._unsent_bodies[stream_id]
        while body:
            window_bytes = min(self.h2.local_flow_control_window(stream_id), self.h2.max_outbound_frame_size)
            if window_bytes <= 0:
                self._unsent_bodies[stream_id] = (body, trailers)
                return
            chunk, body = body[:window_bytes], body[window_bytes:]
            self.h2.send_data(stream_id, bytes(chunk), end_stream=not body and not trailers)
        if trailers:
            self.h2.send_headers(stream_id, trailers, end_stream=True)
        del self._unsent_bodies[stream_id]


def _parse_goaway(frame: bytearray) -> GoAway:
    last_stream_id = int.from_bytes(frame[9:13], "big") & 0x7FFFFFFF
    return GoAway(last_stream_id, int.from_bytes(frame[13:17], "big"))
