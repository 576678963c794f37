"""Rollbacks: tables pinned to an earlier version for a limited time, and versions that proxies reject.

    pinned.pin("0.3", Pin(change, table, until_ns, True, "rollback"), open_endpoints)
    weights = pinned.weights("0.3", open_endpoints)   # replace the policy's; None if not pinned
    pinned.take_ended(open_endpoints, now_ns)         # pins that expired or lost all of their endpoints
    rejections.on_rejected(proxy, "0.3", version, proxy_count)   # whether to roll the version back
    rejections.reserve_rollback(now_ns)               # whether one more is allowed; if so, counts it

A rollback proposes the weights of an earlier version, and the table is validated like any other; the stored
bytes are not sent again. It contains only open endpoints, which are the ready ones: draining and removed ones
do not come back, and endpoints in warm-up stay within their slow-start limit. Admission rates
and retry policies follow the current load unless they are pinned too. A pin expires. No I/O, no clock.
"""

from collections import deque
from collections.abc import Collection, Hashable
from dataclasses import dataclass
from typing import NamedTuple

from swiftchute.versions.encoding import ADMISSION_RATE_SCALE, WEIGHT_SCALE, Table
from swiftchute.versions.errors import PinError
from swiftchute.versions.table_log import VersionChange

NS_PER_S = 1_000_000_000
MAX_PINS = 1000
MIN_PIN_NS = NS_PER_S
MAX_PIN_NS = 24 * 3600 * NS_PER_S  # a forgotten pin ends within a day
MIN_REJECTING_PROXIES = 2  # a single rejecting proxy may itself be faulty


@dataclass(frozen=True, slots=True)
class Pin:
    """A table pinned to a version.

    Attributes:
        change: The change that created the version.
        content: Content of the table at that version.
        until_ns: Time at which the pin expires.
        pins_admission: Whether admission rates and retry policies are pinned too.
        cause: Why the table is pinned.
    """

    change: VersionChange
    content: Table
    until_ns: int
    pins_admission: bool
    cause: str


class EndedPin(NamedTuple):
    """A pin that ended: name of its table, and why."""

    table: str
    cause: str


class PinnedVersions:
    """Pins by table name."""

    def __init__(self) -> None:
        """Start without a pin."""
        self.by_table: dict[str, Pin] = {}

    def pin(self, table: str, pin: Pin, open_endpoints: Collection[str]) -> None:
        """Pin a table, replacing an earlier pin.

        Raises:
            PinError: No endpoint of the version is open, or too many tables are pinned.
        """
        if not any(entry.endpoint in open_endpoints for entry in pin.content.entries):
            version, count = pin.change.version.hex()[:12], len(pin.content.entries)
            raise PinError(f"version {version} of table {table}: none of its {count} endpoints is open")
        if table not in self.by_table and len(self.by_table) >= MAX_PINS:
            raise PinError(f"{MAX_PINS} tables are pinned already, the maximum")
        self.by_table[table] = pin

    def release(self, table: str) -> Pin:
        """Remove and return the pin of a table.

        Raises:
            PinError: The table is not pinned.
        """
        if table not in self.by_table:
            raise PinError(f"table {table} is not pinned")
        return self.by_table.pop(table)

    def weights(self, table: str, open_endpoints: Collection[str]) -> dict[str, float] | None:
        """Return a table's pinned weights of open endpoints; None if it is not pinned."""
        pin = self.by_table.get(table)
        if pin is None:
            return None
        return {
            entry.endpoint: entry.weight_units / WEIGHT_SCALE
            for entry in pin.content.entries
            if entry.endpoint in open_endpoints
        }

    def admission(self, table: str) -> dict[str, tuple[float, int]]:
        """Return the pinned admission rate and retry policy by operation; empty if they are not pinned."""
        pin = self.by_table.get(table)
        if pin is None or not pin.pins_admission:
            return {}
        return {
            row.operation: (row.rate_millionths / ADMISSION_RATE_SCALE, row.retry_policy)
            for row in pin.content.admission
        }

    def take_ended(self, open_endpoints: Collection[str], now_ns: int) -> list[EndedPin]:
        """Remove and return the pins that expired or have no open endpoint left."""
        ended = []
        for table, pin in self.by_table.items():
            if now_ns >= pin.until_ns:
                ended.append(EndedPin(table, "its time is over"))
            elif not self.weights(table, open_endpoints):
                ended.append(EndedPin(table, "none of its endpoints is open"))
        for table, _ in ended:
            del self.by_table[table]
        return ended

    @property
    def due(self) -> int | None:
        """When the next pin expires, in nanoseconds; None if there is none."""
        return min((pin.until_ns for pin in self.by_table.values()), default=None)


class RejectionTracker:
    """Tracks which proxies reject which version, and decides when to roll it back.

    The rate of rollbacks is limited, as the proxies themselves may be at fault.
    """

    def __init__(self, proxy_fraction: float, max_rollbacks: int, window_ns: int) -> None:
        """Start without a rejection.

        Args:
            proxy_fraction: Fraction of a table's proxies whose rejections roll a version back.
            max_rollbacks: Rollbacks allowed within the window; 0 turns them off.
            window_ns: Length of the window, nanoseconds.
        """
        self.proxy_fraction = proxy_fraction
        self.max_rollbacks = max_rollbacks
        self.window_ns = window_ns
        self.rollback_times: deque[int] = deque(maxlen=max(max_rollbacks, 1))
        self._rejections: dict[str, tuple[bytes, set[Hashable]]] = {}  # version and proxies by table

    def on_rejected(self, proxy: Hashable, table: str, version: bytes, proxy_count: int) -> bool:
        """Record that a proxy rejects a version.

        Args:
            proxy: The proxy.
            table: Name of the table.
            version: Version of the table that it rejects.
            proxy_count: Number of proxies that the table is assigned to.

        Returns:
            Whether the version should be rolled back.
        """
        rejected_version, proxies = self._rejections.get(table, (b"", set()))
        proxies = proxies | {proxy} if rejected_version == version else {proxy}
        self._rejections[table] = (version, proxies)
        threshold = max(MIN_REJECTING_PROXIES, self.proxy_fraction * proxy_count)
        if len(proxies) < threshold or not self.max_rollbacks:
            return False
        del self._rejections[table]
        return True

    def reserve_rollback(self, now_ns: int) -> bool:
        """Return whether a rollback is allowed now, and count it if so."""
        while self.rollback_times and now_ns - self.rollback_times[0] > self.window_ns:
            self.rollback_times.popleft()
        if len(self.rollback_times) >= self.max_rollbacks:
            return False
        self.rollback_times.append(now_ns)
        return True
