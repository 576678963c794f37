"""The messages at the platform's address, one JSON object a line, and their names on the wire. No I/O.

Messages that arrive are decoded and checked by `decode`, which raises `UnreadableMessageError` for bytes that
are not a JSON object and `MalformedMessageError` for an object that is not a message. Messages to write are
encoded by `encode_error` and `encode_push`.
"""

import json
from typing import Annotated, Any

import msgspec

from swiftchute.platform.errors import MalformedMessageError, UnreadableMessageError

MAX_MESSAGE_BYTES = 1 << 20  # limit of the protocol
MAX_CAUSE_CHARACTERS = 200  # of a cause that is sent to the client

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class _Message(msgspec.Struct, tag_field="msg", frozen=True, gc=False):
    """Base class of messages that arrive; fields that this program does not know are ignored."""


class LivenessProbe(_Message, tag="probe", frozen=True):
    """Asks for a sign of life."""


class CollectorHello(_Message, tag="agent", frozen=True):
    """A collector of load reports states its zone."""

    zone: Name


class ProxyHello(_Message, tag="hello", frozen=True):
    """A proxy connects."""

    proxy: Count
    zone: Name
    request_rate: Amount = msgspec.field(name="weight")  # requests per second
    fresh: bool  # the proxy holds no tables of an earlier session


class Acknowledgement(_Message, tag="ack", frozen=True):
    """A proxy has applied all messages up to the one with this nonce."""

    proxy: Count
    nonce: Count = msgspec.field(name="mark")
    latency_ms: Amount = msgspec.field(name="took_ms")


class EndpointOutcomes(_Message, tag="outcomes", frozen=True):
    """Attempts that the proxies of a zone made at an endpoint within a window."""

    zone: Name
    endpoint: Name = msgspec.field(name="server")
    attempts: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(name="failed")
    window_ms: Amount = msgspec.field(name="span_ms")
    mean_latency_ms: Amount | None = msgspec.field(name="mean_ms", default=None)
    load: dict[str, float] | None = None  # figures that the endpoint reports of itself


class ProxyDemand(_Message, tag="demand", frozen=True):
    """Requests for an operation that arrived at a proxy within a window."""

    proxy: Count
    operation: Name = msgspec.field(name="class")
    requests: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(name="failed")
    window_ms: Amount = msgspec.field(name="span_ms")


Message = LivenessProbe | CollectorHello | ProxyHello | Acknowledgement | EndpointOutcomes | ProxyDemand

# Names of an endpoint's load figures: on the wire, and in `EndpointLoadReport`.
LOAD_FIGURES = {
    "inflight": "in_hand", "queue": "queued", "util": "busy",
    "latency_ms": "service_ms", "qps": "served_rate", "eps": "error_rate",
}  # fmt: skip

LIVENESS_REPLY = b'{"msg":"alive"}\n'


class PushPart(msgspec.Struct, tag_field="msg", tag="push", omit_defaults=True):
    """One part of a push message; fields are encoded in this order, those without a value are left out."""

    operations: list[str] | None = msgspec.field(name="routes", default=None)  # None: all operations
    full: bool = False  # replaces the table
    weights: list[list[Any]] | None = msgspec.field(name="endpoints", default=None)  # [endpoint, weight]
    admission_rate: float | None = msgspec.field(name="admit", default=None)
    retry_policy: int | None = msgspec.field(name="policy", default=None)
    eject: list[str] | None = None
    restore: list[str] | None = None
    nonce: int | None = msgspec.field(name="nonce_out", default=None)
    continued: bool = False  # another part of the same message follows

    @property
    def entry_count(self) -> int:
        """Entries of this part as the protocol counts them."""
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
        MalformedMessageError: The object is not a message.
    """
    try:
        return _decoder.decode(line)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(str(error)[:MAX_CAUSE_CHARACTERS]) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # NaN and Infinity are not JSON, yet a careless reporter writes them among good messages.
        if (b"NaN" in line or b"Infinity" in line) and _is_lenient_message(line):
            raise MalformedMessageError("a figure that is not finite") from None
        raise UnreadableMessageError(str(error)[:MAX_CAUSE_CHARACTERS]) from None


def _is_lenient_message(line: bytes) -> bool:
    """Whether a decoder that accepts NaN and Infinity finds a message."""
    try:
        return "msg" in json.loads(line)
    except (ValueError, TypeError, RecursionError):
        return False


def encode_error(cause: str) -> bytes:
    """Encode the last message to a client whose connection is closed, with the cause."""
    return _encoder.encode({"msg": "error", "cause": cause[:MAX_CAUSE_CHARACTERS]}) + b"\n"


def encode_push(parts: list[PushPart]) -> bytes:
    """Encode the parts of one push message, one a line."""
    for part in parts[:-1]:
        part.continued = True
    return b"".join(_encoder.encode(part) + b"\n" for part in parts)
