"""The canonical form of a table and its hash; deltas between two tables (docs/formats/tables.md). No I/O.

    table = Table(levels=(("read", 1_000_000, 1),), lines=(("10.0.0.1:80", "east", 10_000),))
    data = encode(table); name = digest(data); table = decode(data)
    change = diff(before, after); after = apply(change, before)

Equal content has equal bytes, and so one name. A delta names the version it applies to and the one it makes;
on anything else it is refused, never applied in part.
"""

import hashlib
from collections.abc import Iterable
from typing import Any

import msgspec

FORMAT = 1
WEIGHT_SCALE = 10_000  # weights are whole numbers of a ten thousandth, 1 or more: no line is rounded away
ADMISSION_RATE_SCALE = 1_000_000  # levels are whole millionths
DIGEST = 16  # bytes of a version's name


class EncodingError(Exception):
    """Bytes that are no table or delta of this format; its text says why."""


class DeltaMismatchError(Exception):
    """A delta for another version, or one whose result is not what it names; its text says which."""


class Table(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a table holds, sorted: (operation, level in millionths, way of further tries) for the operations
    it is bound for, and (server, zone, weight in units)."""

    levels: tuple[tuple[str, int, int], ...] = ()
    lines: tuple[tuple[str, str, int], ...] = ()
    format: int = FORMAT


class Delta(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """From one version to another: lines set, servers taken away, and all levels if any changed."""

    before: bytes
    after: bytes
    put: tuple[tuple[str, str, int], ...]
    gone: tuple[str, ...]
    levels: tuple[tuple[str, int, int], ...] | None = None
    format: int = FORMAT


def table(levels: Iterable[tuple[str, float, int]], lines: Iterable[tuple[str, str, float]]) -> Table:
    """A table from weights and levels as the planner has them."""
    return Table(
        tuple(
            sorted(
                (op, round(min(max(level, 0.0), 1.0) * ADMISSION_RATE_SCALE), tries)
                for op, level, tries in levels
            )
        ),
        tuple(sorted((server, zone, max(round(weight * WEIGHT_SCALE), 1)) for server, zone, weight in lines)),
    )


def encode(made: Table | Delta) -> bytes:
    """The bytes of a table or delta."""
    return msgspec.msgpack.encode(made)


def digest(data: bytes) -> bytes:
    """The name of the version with these bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST).digest()


def name(made: Table) -> bytes:
    """The name of this content's version."""
    return digest(encode(made))


def _decode(data: bytes, kind: Any) -> Any:
    try:
        made = msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        raise EncodingError(str(why)) from None
    if made.format != FORMAT:
        raise EncodingError(f"format {made.format}; this program knows {FORMAT}")
    return made


def decode(data: bytes) -> Table:
    """The table of these bytes. Raises `EncodingError`, also for bytes that say the same in another form:
    two names for one content would make equal versions differ."""
    made = _decode(data, Table)
    if encode(made) != data or list(made.lines) != sorted({line[0]: line for line in made.lines}.values()):
        raise EncodingError("not in canonical form")
    if list(made.levels) != sorted({row[0]: row for row in made.levels}.values()):
        raise EncodingError("not in canonical form")
    for server, _, weight in made.lines:
        if weight < 1:
            raise EncodingError(f"{server}: weight {weight}")
    return made


def decode_delta(data: bytes) -> Delta:
    """The delta of these bytes. Raises `EncodingError`."""
    return _decode(data, Delta)


def diff(before: Table, after: Table) -> Delta:
    """What makes `after` of `before`; its size goes by what changed, not by the table's."""
    old = {line[0]: line for line in before.lines}
    put = tuple(line for line in after.lines if old.pop(line[0], None) != line)
    return Delta(
        name(before),
        name(after),
        put,
        tuple(sorted(old)),
        None if before.levels == after.levels else after.levels,
    )


def apply(change: Delta, before: Table) -> Table:
    """The table that a delta makes. Raises `DeltaMismatchError` if it is for another version, or its
    result is not the one that it names."""
    if name(before) != change.before:
        raise DeltaMismatchError(f"a delta for {change.before.hex()}, not for {name(before).hex()}")
    lines = {line[0]: line for line in before.lines}
    for server in change.gone:
        lines.pop(server, None)
    lines |= {line[0]: line for line in change.put}
    after = Table(before.levels if change.levels is None else change.levels, tuple(sorted(lines.values())))
    if name(after) != change.after:
        raise DeltaMismatchError(f"a delta makes {name(after).hex()}, not {change.after.hex()} as it says")
    return after
