"""Decodes the lines of a discovery watch and maps the field names of the protocol. No I/O.

A line holds either the complete endpoint list (`complete`) or only the changed members. An invalid member is
rejected and its cause is kept; the rest of the line is applied.
"""

from typing import Annotated

import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.platform.errors import DiscoveryError

MAX_ENDPOINTS = 20_000  # per list
NS_PER_MS = 1_000_000
_STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class _Member(msgspec.Struct):
    endpoint: _Name = msgspec.field(name="id")
    zone: str = msgspec.field(name="locality")
    phase: str
    kind: str = msgspec.field(name="flavor", default="")
    cell: int = 0
    weight: Annotated[float, msgspec.Meta(gt=0, le=1e12)] = msgspec.field(name="size", default=1.0)
    started_ms: (
        Annotated[int, msgspec.Meta(ge=0, le=10**15)] | Annotated[float, msgspec.Meta(ge=0, le=1e15)]
    ) = msgspec.field(name="up_since_ms", default=0)


class _Line(msgspec.Struct):
    revision: int
    complete: bool
    members: list[msgspec.Raw]


_line_decoder = msgspec.json.Decoder(_Line)
_member_decoder = msgspec.json.Decoder(_Member)


class WatchLine(msgspec.Struct):
    """A decoded line of a watch."""

    revision: int
    complete: bool  # holds the complete list instead of changes
    endpoints: dict[str, EndpointRecord] = msgspec.field(default_factory=dict)
    rejected: list[str] = msgspec.field(default_factory=list)  # one cause per rejected member


def decode_line(text: bytes, zones: tuple[str, ...]) -> WatchLine:
    """Decode a line.

    Args:
        text: The line.
        zones: The zones that an endpoint may be in.

    Raises:
        DiscoveryError: The line as a whole is invalid.
    """
    try:
        message = _line_decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DiscoveryError(f"invalid endpoint list: {error}") from None
    if len(message.members) > MAX_ENDPOINTS:
        raise DiscoveryError(f"endpoint list has {len(message.members)} members; {MAX_ENDPOINTS} at most")
    line = WatchLine(message.revision, message.complete)
    for number, raw in enumerate(message.members, 1):
        try:
            record = _decode_member(bytes(raw), zones)
        except DiscoveryError as error:
            line.rejected.append(f"member {number}{error}")
        else:
            line.endpoints[record.endpoint] = record
    return line


def _decode_member(raw: bytes, zones: tuple[str, ...]) -> EndpointRecord:
    try:
        member = _member_decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DiscoveryError(f": {error}") from None
    state = _STATES.get(member.phase)
    if state is None:
        raise DiscoveryError(f", {member.endpoint!r}: unknown phase {member.phase!r}")
    if member.zone not in zones:
        raise DiscoveryError(f", {member.endpoint!r}: unknown locality {member.zone!r}")
    started_ns = int(member.started_ms * NS_PER_MS)
    return EndpointRecord(
        member.endpoint, member.zone, member.kind, member.cell, state, member.weight, started_ns
    )
