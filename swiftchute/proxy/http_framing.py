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
    """A message that is still being received."""

    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    trailers: Headers = field(default_factory=list)
