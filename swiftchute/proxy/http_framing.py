"""Types shared by the HTTP/1.1 and HTTP/2 framing: complete messages and other connection events.

The framing of a connection (`Http2Connection`, `Http1Connection`) has no I/O and no clock: it turns bytes
into events. Requests and responses are `HttpMessage`s, buffered completely up to a size limit, so that a
request can be retried on another endpoint and a response is never truncated. A larger message is reset and
reported as `MessageTooLarge`. Data waiting for a peer's flow-control window is bounded by the messages in
flight.
"""

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

MAX_HEADER_BYTES = 64 * 1024
PIECE_OVERHEAD_BYTES = 64  # memory that a piece of a body takes beside its bytes
HEADER_OVERHEAD_BYTES = 160  # memory that a header takes beside its name and value

# HTTP/2 error codes (RFC 9113, 7)
REFUSED_STREAM = 7
CANCEL = 8
ENHANCE_YOUR_CALM = 11


@dataclass(frozen=True)
class HttpMessage:
    """A complete request or response.

    Attributes:
        stream_id: HTTP/2 stream id; 0 for HTTP/1.1 and for a request that is not sent yet.
        headers: names and values, pseudo-headers first.
        body: the complete body.
        trailers: names and values after the body.
    """

    stream_id: int
    headers: Headers
    body: bytes = b""
    trailers: Headers = field(default_factory=list)

    @property
    def memory_bytes(self) -> int:
        """Approximate memory that the message takes."""
        return len(self.body) + headers_memory_bytes(self.headers) + headers_memory_bytes(self.trailers)


@dataclass(frozen=True)
class StreamReset:
    """The peer reset a stream."""

    stream_id: int
    error_code: int


@dataclass(frozen=True)
class GoAway:
    """The peer accepts no new streams; it never executed those above `last_stream_id`."""

    last_stream_id: int
    error_code: int


@dataclass(frozen=True)
class MessageTooLarge:
    """A message exceeded the size limit, and its stream was reset."""

    stream_id: int


@dataclass(frozen=True)
class PingAcknowledged:
    """The peer answered a ping."""


HttpEvent = HttpMessage | StreamReset | GoAway | MessageTooLarge | PingAcknowledged


@dataclass
class PartialMessage:
    """A message that is still being received.

    The body is kept in pieces: many bodies that grow at once would leave holes in the memory.
    """

    headers: Headers = field(default_factory=list)
    trailers: Headers = field(default_factory=list)
    body_bytes: int = 0
    _pieces: list[bytes] = field(default_factory=list)

    def add_body(self, data: bytes) -> None:
        """Add received bytes to the body."""
        self._pieces.append(bytes(data))
        self.body_bytes += len(data)

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self._pieces)

    @property
    def memory_bytes(self) -> int:
        """Approximate memory that the message takes so far."""
        pieces_bytes = PIECE_OVERHEAD_BYTES * len(self._pieces)
        return self.body_bytes + pieces_bytes + headers_memory_bytes(self.headers)


def headers_memory_bytes(headers: Headers) -> int:
    """Return the approximate memory that headers take."""
    return sum(len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in headers)
