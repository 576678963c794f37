"""Canonical encoding of an endpoint table, its hash, and deltas between two tables. No I/O.

    table = make_table([("read", 1.0, 1)], [("10.0.0.1:80", "east", 1.0)])
    data = encode(table); version = version_of_bytes(data); table = decode_table(data)
    delta = make_delta(before, after); after = apply_delta(delta, before)

Equal content has equal bytes and therefore the same version. A delta names its base and target version. It
is rejected for a table of another version, and never applied in part. `docs/formats/tables.md` describes the
byte format.
"""

import hashlib
from collections.abc import Iterable
from itertools import starmap
from typing import Any

import msgspec

from swiftchute.versions.errors import DeltaMismatchError, EncodingError

FORMAT_VERSION = 1
VERSION_BYTES = 16  # length of a version, the hash of a table
# A weight is stored as an integer in units of 1/10000, at least one, so that no entry is rounded away.
WEIGHT_SCALE = 10_000
ADMISSION_RATE_SCALE = 1_000_000  # an admission rate is stored as an integer in millionths


class OperationAdmission(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, gc=False):
    """Admission rate and retry policy of one operation, as stored."""

    operation: str
    rate_millionths: int
    retry_policy: int  # 0 to 3, see `CommandSink.set_admission`


class TableEntry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, gc=False):
    """One endpoint of a table, as stored."""

    endpoint: str
    zone: str
    weight_units: int


class Table(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The content of an endpoint table.

    Attributes:
        admission: Admission rate and retry policy of each operation, sorted by operation.
        entries: The endpoints, sorted by name.
        format_version: Version of the stored format.
    """

    admission: tuple[OperationAdmission, ...] = ()
    entries: tuple[TableEntry, ...] = ()
    format_version: int = FORMAT_VERSION


class Delta(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The difference from one version of a table to another.

    Attributes:
        base_version: Version of the table that the delta applies to.
        target_version: Version of the table that results.
        changed: Entries that are new or whose weight or zone changed.
        removed: Endpoints whose entries are removed.
        admission: Admission rates and retry policies of all operations if any of them changed, else None.
        format_version: Version of the stored format.
    """

    base_version: bytes
    target_version: bytes
    changed: tuple[TableEntry, ...]
    removed: tuple[str, ...]
    admission: tuple[OperationAdmission, ...] | None = None
    format_version: int = FORMAT_VERSION


def make_table(
    admission: Iterable[tuple[str, float, int]], entries: Iterable[tuple[str, str, float]]
) -> Table:
    """Make a table from the controller's rates and weights.

    Args:
        admission: Tuples of operation, admission rate (0 to 1) and retry policy.
        entries: Tuples of endpoint, zone and weight.
    """
    admission_rows = sorted(
        (operation, round(min(max(rate, 0.0), 1.0) * ADMISSION_RATE_SCALE), retry_policy)
        for operation, rate, retry_policy in admission
    )
    entry_rows = sorted(
        (endpoint, zone, max(round(weight * WEIGHT_SCALE), 1)) for endpoint, zone, weight in entries
    )
    return Table(tuple(starmap(OperationAdmission, admission_rows)), tuple(starmap(TableEntry, entry_rows)))


def encode(content: Table | Delta) -> bytes:
    """Encode a table or delta."""
    return msgspec.msgpack.encode(content)


def version_of_bytes(data: bytes) -> bytes:
    """Return the version of the table with these bytes."""
    return hashlib.blake2b(data, digest_size=VERSION_BYTES).digest()


def version_of(table: Table) -> bytes:
    """Return the version of a table; equal tables have the same version."""
    return version_of_bytes(encode(table))


def decode_table(data: bytes) -> Table:
    """Decode a table.

    Raises:
        EncodingError: The bytes are not a table, or not in canonical form. Another encoding is rejected as it
            would give equal content a second version.
    """
    table = _decode(data, Table)
    endpoints = [entry.endpoint for entry in table.entries]
    operations = [row.operation for row in table.admission]
    if encode(table) != data or not _is_sorted_and_unique(endpoints) or not _is_sorted_and_unique(operations):
        raise EncodingError("table is not in canonical form")
    for entry in table.entries:
        if entry.weight_units < 1:
            raise EncodingError(f"{entry.endpoint}: weight {entry.weight_units} is less than 1 unit")
    return table


def decode_delta(data: bytes) -> Delta:
    """Decode a delta.

    Raises:
        EncodingError: The bytes are not a delta of this format.
    """
    return _decode(data, Delta)


def _decode(data: bytes, kind: Any) -> Any:
    try:
        content = msgspec.msgpack.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise EncodingError(str(error)) from None
    if content.format_version != FORMAT_VERSION:
        raise EncodingError(f"format {content.format_version} is not supported, only {FORMAT_VERSION}")
    return content


def _is_sorted_and_unique(names: list[str]) -> bool:
    """Return whether names are sorted and none occurs twice."""
    return names == sorted(set(names))


def make_delta(before: Table, after: Table) -> Delta:
    """Return the delta from one table to another.

    Its size grows with the changed entries, not with the table; admission is all included if any changed.
    """
    unmatched = {entry.endpoint: entry for entry in before.entries}
    changed = tuple(entry for entry in after.entries if unmatched.pop(entry.endpoint, None) != entry)
    return Delta(
        version_of(before),
        version_of(after),
        changed,
        tuple(sorted(unmatched)),
        None if before.admission == after.admission else after.admission,
    )


def apply_delta(delta: Delta, before: Table) -> Table:
    """Apply a delta to a table.

    Raises:
        DeltaMismatchError: The delta is for another version, or the result is not its target version.
    """
    base_version = version_of(before)
    if base_version != delta.base_version:
        raise DeltaMismatchError(
            f"delta applies to version {delta.base_version.hex()}, not to {base_version.hex()}"
        )
    entries = {entry.endpoint: entry for entry in before.entries}
    for endpoint in delta.removed:
        entries.pop(endpoint, None)
    entries |= {entry.endpoint: entry for entry in delta.changed}
    admission = before.admission if delta.admission is None else delta.admission
    after = Table(admission, tuple(entries[endpoint] for endpoint in sorted(entries)))
    target_version = version_of(after)
    if target_version != delta.target_version:
        raise DeltaMismatchError(
            f"delta resulted in version {target_version.hex()}, not its target {delta.target_version.hex()}"
        )
    return after
