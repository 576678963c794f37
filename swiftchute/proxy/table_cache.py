"""The last tables a proxy was given, kept on disk for a start at which no planner answers.

    keep = Keep(path, age=3600 * S)
    keep.save(tables, wall); tables = keep.load(wall)        # {} with `why` if there is nothing to go by

A file is written beside its place and renamed over it, so that a cut leaves the last whole one; a checksum
tells a damaged one. What is older than `age` is not gone by: its servers may be other machines by then.
"""

import os
from collections.abc import Mapping

import msgspec
import xxhash

from swiftchute.proxy.xds_client import Table

S = 1_000_000_000
FORMAT = 1
BYTES_MOST = 64 * 2**20


class _Kept(msgspec.Struct, array_like=True):
    format: int
    at: int  # wall clock, ns
    tables: dict[str, tuple[str, dict[str, int], float, int, bool, float | None, float | None]]


class Keep:
    """One file; `why` says why the last call came to nothing."""

    def __init__(self, path: str, age: int) -> None:
        """`age` in ns."""
        self.path, self.age, self.why = path, age, ""
        self.last = b""

    def save(self, tables: Mapping[str, Table], wall: int) -> bool:
        """Write them, if they are not what was written last; whether they are on disk."""
        rows = {name: (t.cluster, t.lines, t.level, t.tries, t.sure, t.per_try, t.timeout)
                for name, t in tables.items() if t.lines}  # fmt: skip
        body = msgspec.msgpack.encode(rows)
        if body == self.last or not rows:
            return True
        data = msgspec.msgpack.encode(_Kept(FORMAT, wall, rows))
        try:
            with open(self.path + ".new", "wb") as out:
                out.write(xxhash.xxh3_64_digest(data) + data)
                out.flush()
                os.fsync(out.fileno())
            os.replace(self.path + ".new", self.path)
        except OSError as why:
            self.why = f"{self.path}: {why.strerror or why}"
            return False
        self.last, self.why = body, ""
        return True

    def load(self, wall: int) -> dict[str, Table]:
        """What was kept; nothing if it is damaged, of another format, or too old."""
        try:
            with open(self.path, "rb") as source:
                data = source.read(BYTES_MOST)
        except OSError as why:
            self.why = f"{self.path}: {why.strerror or why}"
            return {}
        if xxhash.xxh3_64_digest(data[8:]) != data[:8]:
            self.why = f"{self.path}: damaged"
            return {}
        try:
            kept = msgspec.msgpack.decode(data[8:], type=_Kept)
        except (msgspec.DecodeError, UnicodeDecodeError) as why:
            self.why = f"{self.path}: {why}"
            return {}
        if kept.format != FORMAT:
            self.why = f"{self.path}: format {kept.format}; this program knows {FORMAT}"
            return {}
        if not 0 <= wall - kept.at <= self.age:
            self.why = f"{self.path}: {(wall - kept.at) / S:.0f} s old"
            return {}
        self.why = ""
        return {name: Table(*row) for name, row in kept.tables.items()}
