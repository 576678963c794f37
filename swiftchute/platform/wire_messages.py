"""The messages on the platform's listening address, one JSON object per line, and their wire names. No I/O.

`decode` decodes and validates received messages; it raises `UnreadableMessageError` for a line that is not a
JSON object and `MalformedMessageError` for an object that is not a valid message. `encode_error` and
`encode_push` encode the messages to write.
"""

import json
from typing import Annotated, Any

import msgspec

from swiftchute.platform.errors import MalformedMessageError, UnreadableMessageError

MAX_MESSAGE_BYTES = 1 << 20  # a limit of the protocol
MAX_LOAD_FIGURES = 64  # in one report; the protocol has six
MAX_CAUSE_CHARACTERS = 200  # limit for a cause that is sent to the client

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class _Message(msgspec.Struct, tag_field="msg", frozen=True, gc=False):
    """Base class of the received messages; unknown fields are ignored."""


class LivenessProbe(_Message, tag="probe", frozen=True):
    """A client checks that this instance is alive."""


class CollectorHello(_Message, tag="agent", frozen=True):
    """A collector of load reports identifies itself with its zone."""

    zone: Name


class ProxyHello(_Message, tag="hello", frozen=True):
    """A proxy identifies itself."""

    proxy: Count
    zone: Name
    request_rate: Amount = msgspec.field(name="weight")  # requests per second
    fresh: bool  # the proxy holds no tables from an earlier session


class Acknowledgement(_Message, tag="ack", frozen=True):
    """A proxy has applied all push messages up to the one with this nonce."""

    proxy: Count
    nonce: Count = msgspec.field(name="mark")
    latency_ms: Amount = msgspec.field(name="took_ms")


class EndpointOutcomes(_Message, tag="outcomes", frozen=True):
    """The attempts of a zone's proxies at an endpoint within a window."""

    zone: Name
    endpoint: Name = msgspec.field(name="server")
    attempts: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(name="failed")
    window_ms: Amount = msgspec.field(name="span_ms")
    mean_latency_ms: Amount | None = msgspec.field(name="mean_ms", default=None)
    load: Annotated[dict[str, float], msgspec.Meta(max_length=MAX_LOAD_FIGURES)] | None = (
        None  # load figures reported by the endpoint itself
    )


class ProxyDemand(_Message, tag="demand", frozen=True):
    """The requests for an operation that a proxy received within a window."""

    proxy: Count
    operation: Name = msgspec.field(name="class")
    requests: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(name="failed")
    window_ms: Amount = msgspec.field(name="span_ms")


Message = LivenessProbe | CollectorHello | ProxyHello | Acknowledgement | EndpointOutcomes | ProxyDemand

# Maps the names of an endpoint's load figures on the wire to those in `EndpointLoadReport`.
LOAD_FIGURES = {
    "inflight": "in_hand", "queue": "queued", "util": "busy",
    "latency_ms": "service_ms", "qps": "served_rate", "eps": "error_rate",
}  # fmt: skip

LIVENESS_REPLY = b'{"msg":"alive"}\n'


class PushPart(msgspec.Struct, tag_field="msg", tag="push", omit_defaults=True):
    """One part of a push message; fields are encoded in this order, and defaults are omitted."""

    operations: list[str] | None = msgspec.field(name="routes", default=None)  # None: all operations
    full: bool = False  # the weights replace the table
    weights: list[list[Any]] | None = msgspec.field(name="endpoints", default=None)  # [endpoint, weight]
    admission_rate: float | None = msgspec.field(name="admit", default=None)
    retry_policy: int | None = msgspec.field(name="policy", default=None)
    eject: list[str] | None = None
    restore: list[str] | None = None
    nonce: int | None = msgspec.field(name="nonce_out", default=None)
    continued: bool = False  # another part of the same message follows

    @property
    def entry_count(self) -> int:
        """Entries of this part, counted by the rules of the protocol."""
        return (
            len(self.weights or ()) + len(self.eject or ()) + len(self.restore or ())
            + (self.admission_rate is not None) + self.full + (self.nonce is not None)
        )  # fmt: skip


_decoder = msgspec.json.Decoder(Message)
_encoder = msgspec.json.Encoder()


def decode(line: bytes) -> Message:
    """Decode one line.

    Raises:
        UnreadableMessageError: The line is not a JSON object.
        MalformedMessageError: The object is not a valid message.
    """
    try:
        return _decoder.decode(line)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)[:MAX_CAUSE_CHARACTERS]) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # NaN and Infinity are not JSON, but some clients send them among valid messages.
        if (b"NaN" in line or b"Infinity" in line) and _is_message_with_non_finite_numbers(line):
            raise MalformedMessageError("a figure that is not finite") from None
        raise UnreadableMessageError(str(error)[:MAX_CAUSE_CHARACTERS]) from None


def _is_message_with_non_finite_numbers(line: bytes) -> bool:
    """Whether a decoder that accepts NaN and Infinity can decode the line as a message."""
    try:
        return "msg" in json.loads(line)
    except (ValueError, TypeError, RecursionError):
        return False


def encode_error(cause: str) -> bytes:
    """Encode the error message that is sent to a client before its connection is closed."""
    return _encoder.encode({"msg": "error", "cause": cause[:MAX_CAUSE_CHARACTERS]}) + b"\n"


def encode_push(parts: list[PushPart]) -> bytes:
    """Encode the parts of one push message, one per line."""
    for part in parts[:-1]:
        part.continued = True
    return b"".join(_encoder.encode(part) + b"\n" for part in parts)
