"""The lines of a discovery watch, with their names on the wire. No I/O.

A line names the whole endpoint list (`complete`) or only what changed. A member that cannot be used is left
out and its cause kept; the rest of the line counts.
"""

from typing import Annotated

import msgspec

from swiftchute.api.endpoints import EndpointRecord, EndpointState
from swiftchute.platform.errors import DiscoveryError

MAX_ENDPOINTS = 20_000  # of a list
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
    """A line of a watch, decoded."""

    revision: int
    complete: bool  # names the whole list
    endpoints: dict[str, EndpointRecord] = msgspec.field(default_factory=dict)
    rejected: list[str] = msgspec.field(default_factory=list)  # causes, one for each member that was left out


def decode_line(text: bytes, zones: tuple[str, ...]) -> WatchLine:
    """Decode a line.

    Args:
        text: The line.
        zones: The zones that an endpoint may be in.

    Raises:
        DiscoveryError: The line as a whole cannot be used.
    """
    try:
        message = _line_decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DiscoveryError(f"not a list: {error}") from None
    if len(message.members) > MAX_ENDPOINTS:
        raise DiscoveryError(f"{len(message.members)} members; {MAX_ENDPOINTS} at most")
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
        raise DiscoveryError(f", {member.endpoint!r}: phase {member.phase!r} is not known")
    if member.zone not in zones:
        raise DiscoveryError(f", {member.endpoint!r}: locality {member.zone!r} is not known")
    started_ns = int(member.started_ms * NS_PER_MS)
    return EndpointRecord(
        member.endpoint, member.zone, member.kind, member.cell, state, member.weight, started_ns
    )
