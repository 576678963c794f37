"""What both HTTP versions have in common: whole messages and the other events of a connection.

A connection's framing (`Http2Connection`, `Http1Connection`) has no I/O and no clock: bytes in, events out.
Both sides and both versions take and give `HttpMessage`: a request and its response are each buffered
whole, up to a bound, so that a request can be sent elsewhere and a response is never cut. A longer one is
reset and reported as `MessageTooLarge`. What waits for a peer's flow-control window is bounded by the
messages in flight.
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
    """A whole request or response.

    Attributes:
        stream_id: of its stream; 0 in HTTP/1.1 and for a request that is not sent yet.
        headers: names and values, pseudo-headers first.
        body: the whole body.
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
    """The peer accepts no new streams; those above `last_stream_id` never ran."""

    last_stream_id: int
    error_code: int


@dataclass(frozen=True)
class MessageTooLarge:
    """A message exceeds the bound; its stream is reset."""

    stream_id: int


@dataclass(frozen=True)
class PingAcknowledged:
    """The peer answered a ping."""


HttpEvent = HttpMessage | StreamReset | GoAway | MessageTooLarge | PingAcknowledged


@dataclass
class PartialMessage:
    """A message of which parts have arrived."""

    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    trailers: Headers = field(default_factory=list)
