"""The kinds of message at a planner's address, checked as they are read. No I/O.

    message = read(line)            # a Hello, Ack, ...; raises an error
    error(cause), ALIVE             # bytes to write

`UnreadableMessageError` means that the bytes are not JSON, `MalformedMessageError` that a field is wrong.
"""

import json
from typing import Annotated

import msgspec

from swiftchute.platform.errors import MalformedMessageError, UnreadableMessageError

LINE_MOST = 1 << 20  # bytes of a message; the protocol's limit
CAUSE_MOST = 200  # characters of a cause that are told to the other side

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class _Kind(msgspec.Struct, tag_field="msg", frozen=True, gc=False):
    """A message; fields that this program does not know are ignored."""


class Probe(_Kind, tag="probe"):
    """Asks for a sign of life."""


class Agent(_Kind, tag="agent"):
    """A collector states its zone."""

    zone: Name


class Hello(_Kind, tag="hello"):
    """A proxy joins."""

    proxy: Count
    zone: Name
    weight: Figure
    fresh: bool


class Ack(_Kind, tag="ack"):
    """A proxy has applied everything up to a mark."""

    proxy: Count
    mark: Count
    took_ms: Figure


class Outcomes(_Kind, tag="outcomes"):
    """What the proxies of a zone met at a server."""

    zone: Name
    server: Name
    tries: Count
    failed: Count
    span_ms: Figure
    mean_ms: Figure | None = None
    load: dict[str, float] | None = None


class Demand(_Kind, tag="demand"):
    """What came to a proxy for an operation."""

    proxy: Count
    operation: Name = msgspec.field(name="class")
    tries: Count
    failed: Count
    span_ms: Figure


Message = Probe | Agent | Hello | Ack | Outcomes | Demand

# the load figures of a report, in the words of the interface
LOADS = {
    "inflight": "in_hand", "queue": "queued", "util": "busy",
    "latency_ms": "service_ms", "qps": "served_rate", "eps": "error_rate",
}  # fmt: skip

ALIVE = b'{"msg":"alive"}\n'
_decoder = msgspec.json.Decoder(Message)


def read(line: bytes) -> Message:
    """Read one line. Raises `UnreadableMessageError` or `MalformedMessageError`."""
    try:
        return _decoder.decode(line)
    except msgspec.ValidationError as why:
        raise MalformedMessageError(str(why)[:CAUSE_MOST]) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as why:
        # NaN and Infinity are no JSON, yet what a careless reporter writes among good messages
        if (b"NaN" in line or b"Infinity" in line) and _object(line):
            raise MalformedMessageError("a figure that is not finite") from None
        raise UnreadableMessageError(str(why)[:CAUSE_MOST]) from None


def _object(line: bytes) -> bool:
    try:
        return "msg" in json.loads(line)
    except (ValueError, TypeError, RecursionError):
        return False


def error(cause: str) -> bytes:
    """The word to a client that is let go."""
    return msgspec.json.encode({"msg": "error", "cause": cause[:CAUSE_MOST]}) + b"\n"


def line(fields: dict) -> bytes:
    """One order as a line."""
    return msgspec.json.encode(fields) + b"\n"
