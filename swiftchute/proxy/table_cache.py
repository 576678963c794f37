"""On-disk cache of a proxy's last tables, used if the control plane is unavailable when the proxy starts.

A temporary file is renamed over the cache file, so that a crash leaves the last complete file; a checksum
detects a corrupt one. A file older than the maximum age is not used, because its addresses may belong to
other machines by then.
"""

import os
from collections.abc import Mapping

import msgspec
import xxhash

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.errors import TableCacheError
from swiftchute.proxy.settings import NS_PER_S

FORMAT_VERSION = 1
MAX_FILE_BYTES = 64 * 2**20
CHECKSUM_BYTES = 8

# cluster, weights, admission rate, maximum retries, proof required, attempt timeout (s), request timeout (s)
_StoredTable = tuple[str, dict[str, int], float, int, bool, float | None, float | None]


class _StoredTables(msgspec.Struct, array_like=True):
    """Stored format, encoded as an array without field names."""

    format: int
    saved_at_ns: int  # wall clock
    tables: dict[str, _StoredTable]


class TableCache:
    """A cache file; `last_error` is the error of the last read or write, empty if it succeeded."""

    def __init__(self, path: str, max_age_ns: int) -> None:
        """Create the cache without any file access.

        Args:
            path: the cache file; `path` with ".new" appended is the temporary file.
            max_age_ns: maximum age of a file that is used.
        """
        self.path = path
        self.max_age_ns = max_age_ns
        self.last_error = ""
        self._last_saved = b""

    def save(self, tables: Mapping[str, EndpointTable], wall_ns: int) -> bool:
        """Write the tables that have endpoints, unless they are unchanged since the last write.

        Args:
            tables: tables by operation.
            wall_ns: wall-clock time.

        Returns:
            False if writing failed; `last_error` then has the cause.
        """
        stored = {operation: _to_stored(table) for operation, table in tables.items() if table.weights}
        body = msgspec.msgpack.encode(stored)
        if body == self._last_saved or not stored:
            return True
        data = msgspec.msgpack.encode(_StoredTables(FORMAT_VERSION, wall_ns, stored))
        try:
            self._write(xxhash.xxh3_64_digest(data) + data)
        except OSError as error:
            self.last_error = f"{self.path}: cannot write table cache: {error.strerror or error}"
            return False
        self._last_saved = body
        self.last_error = ""
        return True

    def load(self, wall_ns: int) -> dict[str, EndpointTable]:
        """Return the cached tables by operation; empty, with `last_error` set, if the file is unusable."""
        try:
            stored = self._decode(self._read(), wall_ns)
        except TableCacheError as error:
            self.last_error = str(error)
            return {}
        self.last_error = ""
        return {operation: EndpointTable(*row) for operation, row in stored.tables.items()}

    def _write(self, content: bytes) -> None:
        new_path = self.path + ".new"
        with open(new_path, "wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, self.path)

    def _read(self) -> bytes:
        try:
            with open(self.path, "rb") as file:
                return file.read(MAX_FILE_BYTES)
        except OSError as error:
            raise TableCacheError(
                f"{self.path}: cannot read table cache: {error.strerror or error}"
            ) from None

    def _decode(self, content: bytes, wall_ns: int) -> _StoredTables:
        checksum, data = content[:CHECKSUM_BYTES], content[CHECKSUM_BYTES:]
        if xxhash.xxh3_64_digest(data) != checksum:
            raise TableCacheError(f"{self.path}: checksum mismatch: table cache is truncated or corrupt")
        try:
            stored = msgspec.msgpack.decode(data, type=_StoredTables)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise TableCacheError(f"{self.path}: cannot decode table cache: {error}") from None
        if stored.format != FORMAT_VERSION:
            raise TableCacheError(f"{self.path}: format is {stored.format}, expected {FORMAT_VERSION}")
        if not 0 <= wall_ns - stored.saved_at_ns <= self.max_age_ns:
            raise TableCacheError(
                f"{self.path}: table cache is {(wall_ns - stored.saved_at_ns) / NS_PER_S:.0f} s old,"
                f" accepted ages are 0 to {self.max_age_ns / NS_PER_S:.0f} s"
            )
        return stored


def _to_stored(table: EndpointTable) -> _StoredTable:
    return (
        table.cluster,
        table.weights,
        table.admission_rate,
        table.max_retries,
        table.requires_proof,
        table.attempt_timeout_s,
        table.request_timeout_s,
    )
