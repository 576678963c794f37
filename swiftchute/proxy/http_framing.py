"""HTTP/2 and HTTP/1.1 as whole messages, by h2 and h11. No I/O, no clock: bytes in, events out.

    wire = Http2(client=True, most=2**20); wire.start()
    for event in wire.feed(data): ...        # Message, Reset, GoAway; raises Broken
    number = wire.send(Message(0, headers, body, trailers)); transport.write(wire.out())

Both sides and both protocols take and give `Message`s: an invocation is one request and one answer, each held
whole up to `most` bytes, so that a request can be sent elsewhere and an answer is never cut. What is longer
is reset and told as `TooLarge`. What waits for a peer's window is bounded by the messages under way.
"""

from dataclasses import dataclass, field
from typing import Any

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import h11

Headers = list[tuple[bytes, bytes]]
CANCEL, REFUSED_STREAM, CALM = 8, 7, 11
HEADERS_MOST = 64 * 1024
PREFACE = 24  # bytes of a client connection preface
GOAWAY, FRAME_MOST = 7, 2**14  # the frame's type, and the size that is announced


class Broken(Exception):
    """The peer broke the protocol, or nothing more may go over this connection."""


@dataclass(frozen=True)
class Message:
    """A request or an answer, whole; `number` is its stream's."""

    number: int
    headers: Headers
    body: bytes = b""
    trailers: Headers = field(default_factory=list)


@dataclass(frozen=True)
class Reset:
    """The peer gave a stream up."""

    number: int
    code: int


@dataclass(frozen=True)
class GoAway:
    """The peer takes no new streams; those above `last` never ran."""

    last: int
    code: int


@dataclass(frozen=True)
class TooLarge:
    """A message past the bound; its stream is reset."""

    number: int


@dataclass(frozen=True)
class Pong:
    """A ping was answered."""


Event = Message | Reset | GoAway | TooLarge | Pong


@dataclass
class _Coming:
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    trailers: Headers = field(default_factory=list)


class Http2:
    """One connection's state."""

    def __init__(self, client: bool, most: int, streams: int = 100) -> None:
        """`most` bytes a message; `streams` that a peer may open at once."""
        config = h2.config.H2Configuration(client_side=client, header_encoding=None)
        self.wire = h2.connection.H2Connection(config)
        self.wire.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: streams,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 2**18,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: HEADERS_MOST,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self.client, self.most = client, most
        self.coming: dict[int, _Coming] = {}
        self.waiting: dict[int, tuple[memoryview, Headers]] = {}  # bodies that wait for a window
        self.closing = False
        self.frames = bytearray()  # the frame that has not come whole yet
        self.preface = 0 if client else PREFACE  # bytes of the caller's preface still to come

    def start(self) -> None:
        """The preface and settings."""
        self.wire.initiate_connection()
        self.wire.increment_flow_control_window(2**22)

    @property
    def room(self) -> int:
        """How many more streams the peer takes now."""
        if self.closing:
            return 0
        try:
            return max(self.wire.remote_settings.max_concurrent_streams - self.wire.open_outbound_streams, 0)
        except KeyError:
            return 100

    def out(self) -> bytes:
        """The bytes to write now."""
        return self.wire.data_to_send()

    def feed(self, data: bytes) -> list[Event]:
        """What came of these bytes. Raises `Broken`."""
        made: list[Event] = []
        try:
            found = self.wire.receive_data(self._apart(data, made))
        except (h2.exceptions.H2Error, ValueError, KeyError, IndexError) as why:
            self.closing = True
            raise Broken(f"{type(why).__name__}: {why}") from None
        for event in found:
            self._take(event, made)
        self._flush()
        return made

    def _apart(self, data: bytes, made: list[Event]) -> bytes:
        """Whole frames less GOAWAYs, which are told at once: to h2 a connection ends with one, and the
        answers that were to go over it would be lost (RFC 9113, 6.8: streams up to the last one go
        on)."""
        kept, at = bytearray(data[: self.preface]), 0
        self.preface -= len(kept)
        self.frames += data[len(kept) :]
        while len(self.frames) - at >= 9:
            size = int.from_bytes(self.frames[at : at + 3], "big")
            if size > FRAME_MOST:
                raise ValueError(f"a frame of {size} bytes")
            if len(self.frames) - at < 9 + size:
                break
            frame = self.frames[at : at + 9 + size]
            at += 9 + size
            if frame[3] == GOAWAY and size >= 8:
                self.closing = True
                last, code = (int.from_bytes(frame[k : k + 4], "big") for k in (9, 13))
                made.append(GoAway(last & 0x7FFFFFFF, code))
            else:
                kept += frame
        del self.frames[:at]
        return bytes(kept)

    def _take(self, event: Any, made: list[Event]) -> None:
        number = getattr(event, "stream_id", 0)
        if isinstance(event, (h2.events.RequestReceived, h2.events.ResponseReceived)):
            self.coming[number] = _Coming(list(event.headers))
        elif isinstance(event, h2.events.TrailersReceived) and number in self.coming:
            self.coming[number].trailers = list(event.headers)
        elif isinstance(event, h2.events.DataReceived):
            self.wire.acknowledge_received_data(event.flow_controlled_length, number)
            held = self.coming.get(number)
            if held is not None and len(held.body) + len(event.data) > self.most:
                del self.coming[number]
                self.reset(number, CALM)
                made.append(TooLarge(number))
            elif held is not None:
                held.body += event.data
        elif isinstance(event, h2.events.StreamEnded):
            held = self.coming.pop(number, None)
            if held is not None:
                made.append(Message(number, held.headers, bytes(held.body), held.trailers))
        elif isinstance(event, h2.events.StreamReset):
            self.coming.pop(number, None)
            self.waiting.pop(number, None)
            made.append(Reset(number, int(event.error_code)))
        elif isinstance(event, h2.events.ConnectionTerminated):
            self.closing = True
            made.append(GoAway(event.last_stream_id or 0, int(event.error_code)))
        elif isinstance(event, h2.events.PingAckReceived):
            made.append(Pong())

    def send(self, message: Message) -> int:
        """Begin a request (its number is taken here), or answer the stream of its number. Raises `Broken`."""
        number = message.number
        try:
            if self.client:
                number = self.wire.get_next_available_stream_id()
            done = not message.body and not message.trailers
            self.wire.send_headers(number, message.headers, end_stream=done)
            if not done:
                self.waiting[number] = (memoryview(message.body), message.trailers)
                self._flush_one(number)
        except h2.exceptions.H2Error as why:
            self.waiting.pop(number, None)
            raise Broken(f"{type(why).__name__}: {why}") from None
        return number

    def _flush(self) -> None:
        for number in list(self.waiting):
            try:
                self._flush_one(number)
            except h2.exceptions.H2Error:
                self.waiting.pop(number, None)  # its stream is gone

    def _flush_one(self, number: int) -> None:
        body, trailers = self.waiting[number]
        while body:
            room = min(self.wire.local_flow_control_window(number), self.wire.max_outbound_frame_size)
            if room <= 0:
                self.waiting[number] = (body, trailers)
                return
            part, body = body[:room], body[room:]
            self.wire.send_data(number, bytes(part), end_stream=not body and not trailers)
        if trailers:
            self.wire.send_headers(number, trailers, end_stream=True)
        del self.waiting[number]

    def reset(self, number: int, code: int) -> None:
        """Give a stream up."""
        self.coming.pop(number, None)
        self.waiting.pop(number, None)
        try:
            self.wire.reset_stream(number, code)
        except h2.exceptions.H2Error:
            return  # it had ended

    def ping(self) -> None:
        """Ask for a sign of life."""
        self.wire.ping(b"alive?\0\0")

    def leave(self) -> None:
        """Say that no new streams are taken."""
        self.closing = True
        self.wire.close_connection()


class Http1:
    """One connection's state: a message each way at a time."""

    def __init__(self, client: bool, most: int) -> None:
        """`most` bytes a message."""
        self.client, self.most = client, most
        role = h11.CLIENT if client else h11.SERVER
        self.wire = h11.Connection(role, max_incomplete_event_size=HEADERS_MOST)
        self.coming: _Coming | None = None
        self.bytes = bytearray()
        self.busy = False  # between a request and its answer
        self.closing = False

    def start(self) -> None:
        """Nothing is said first."""

    @property
    def room(self) -> int:
        """A request at a time."""
        return int(not self.closing and not self.busy)

    def out(self) -> bytes:
        """The bytes to write now."""
        made, self.bytes = bytes(self.bytes), bytearray()
        return made

    def feed(self, data: bytes) -> list[Event]:
        """What came of these bytes; empty bytes: the peer closed. Raises `Broken`."""
        try:
            self.wire.receive_data(data)
        except h11.ProtocolError as why:
            self.closing = True
            raise Broken(str(why)) from None
        return self.more()

    def more(self) -> list[Event]:
        """What has come, up to the next answer: a request that came while another was under way waits."""
        made: list[Event] = []
        try:
            while (event := self.wire.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.ConnectionClosed):
                    self.closing = True
                    break
                self._take(event, made)
        except (h11.ProtocolError, ValueError) as why:
            self.closing = True
            raise Broken(str(why)) from None
        return made

    def _take(self, event: Any, made: list[Event]) -> None:
        if isinstance(event, h11.Request):
            self.busy = True
            if self.wire.they_are_waiting_for_100_continue:
                self.bytes += self.wire.send(h11.InformationalResponse(status_code=100, headers=[]))
            head = [(b":method", event.method), (b":path", event.target)]
            self.coming = _Coming(head + [(bytes(k), bytes(v)) for k, v in event.headers])
        elif isinstance(event, h11.Response):
            status = (b":status", str(event.status_code).encode())
            self.coming = _Coming([status, *((bytes(k), bytes(v)) for k, v in event.headers)])
        elif isinstance(event, h11.Data) and self.coming is not None:
            if len(self.coming.body) + len(event.data) > self.most:
                self.coming, self.closing = None, True
                made.append(TooLarge(0))
            else:
                self.coming.body += event.data
        elif isinstance(event, h11.EndOfMessage) and self.coming is not None:
            held, self.coming = self.coming, None
            made.append(Message(0, held.headers, bytes(held.body)))
            if self.client:
                self._next()

    def send(self, message: Message) -> int:
        """A request, or the answer to the one that came. Raises `Broken`."""
        fields = {name: value for name, value in message.headers if name[:1] == b":"}
        drop = (b"content-length", b"transfer-encoding", b"connection", b"keep-alive", b"upgrade", b"te")
        rest = [(k, v) for k, v in message.headers if k[:1] != b":" and k.lower() not in drop]
        rest.append((b"content-length", str(len(message.body)).encode()))
        try:
            if self.client:
                self.busy = True
                head = h11.Request(method=fields[b":method"], target=fields[b":path"], headers=rest)
            else:
                head = h11.Response(status_code=int(fields[b":status"]), headers=rest)
            self.bytes += self.wire.send(head)
            if message.body:
                self.bytes += self.wire.send(h11.Data(data=message.body))
            self.bytes += self.wire.send(h11.EndOfMessage())
        except (h11.ProtocolError, KeyError, ValueError) as why:
            self.closing = True
            raise Broken(str(why)) from None
        if not self.client:
            self._next()
        return 0

    def _next(self) -> None:
        """Both sides are done: the connection is free, if it may be used again."""
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
            self.busy = False
        else:
            self.closing = True

    def reset(self, number: int, code: int) -> None:
        """There is no way to give a request up but to close."""
        self.closing = True
