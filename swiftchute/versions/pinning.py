"""Ways back: tables that staff hold at an earlier version for a while, and versions that many proxies reject.

    pins.set("0.3", Pin(change, table, until, levels, "rollback"), open_servers)
    lines = pins.lines("0.3", open_servers)   # proposed in place of the module's lines; None: not pinned
    pins.ended(open_servers, now)             # those whose time is over, or all of whose servers are gone
    rejected.by(proxy, "0.3", version, on)          # whether the version should be taken back
    rejected.back_again(now)                        # whether that may be done once more, and counts it

A rollback is a wanted state and no replay of bytes: what it proposes is judged like any table. Drained and
gone servers do not come back, cold ones stay within their bound; levels and tries follow the load of now
unless they are held too. It ends by itself.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from swiftchute.versions.encoding import WEIGHT_SCALE, Table
from swiftchute.versions.history import VersionChange

S = 1_000_000_000
MAX_PINS = 1000
MIN_PIN_NS, MAX_PIN_NS = S, 24 * 3600 * S  # a pin that is forgotten ends within a day


class PinError(Exception):
    """What was asked cannot be done; its text says why."""


@dataclass(frozen=True)
class Pin:
    """A table held at a version until a time; `levels`: its levels and tries too."""

    change: VersionChange
    content: Table
    until: int
    levels: bool
    cause: str


class PinnedVersions:
    """Pins by table name."""

    def __init__(self) -> None:
        """Nothing is pinned."""
        self.by: dict[str, Pin] = {}

    def set(self, table: str, pin: Pin, open_: Collection[str]) -> None:
        """Pin a table, in place of an earlier pin. Raises `PinError` if no server of the version is
        open."""
        if not any(server in open_ for server, _, _ in pin.content.lines):
            version, many = pin.change.version.hex()[:12], len(pin.content.lines)
            raise PinError(f"version {version} of table {table}: none of its {many} servers is open")
        if table not in self.by and len(self.by) >= MAX_PINS:
            raise PinError(f"{MAX_PINS} tables are pinned, the most allowed")
        self.by[table] = pin

    def release(self, table: str) -> Pin:
        """The module's orders count again. Raises `PinError` if it is not pinned."""
        if table not in self.by:
            raise PinError(f"table {table} is not pinned")
        return self.by.pop(table)

    def lines(self, table: str, open_: Collection[str]) -> dict[str, float] | None:
        """Weights by open server of the version that a table is held at; None if it is not pinned."""
        pin = self.by.get(table)
        if pin is None:
            return None
        return {server: units / WEIGHT_SCALE for server, _, units in pin.content.lines if server in open_}

    def levels(self, table: str) -> dict[str, tuple[float, int]]:
        """Levels and tries by operation, where these are held too."""
        pin = self.by.get(table)
        if pin is None or not pin.levels:
            return {}
        return {op: (millionths / 1e6, tries) for op, millionths, tries in pin.content.levels}

    def ended(self, open_: Collection[str], now: int) -> list[tuple[str, str]]:
        """(table, why) of pins that are over; they are dropped."""
        over = []
        for table, pin in self.by.items():
            if now >= pin.until:
                over.append((table, "its time is over"))
            elif not self.lines(table, open_):
                over.append((table, "none of its servers is open"))
        for table, _ in over:
            del self.by[table]
        return over

    @property
    def due(self) -> int | None:
        """When the next pin ends."""
        return min((pin.until for pin in self.by.values()), default=None)


class RejectionTracker:
    """Who rejects which version, and when it is to be taken back: not often, as what is wrong may be the
    proxies."""

    def __init__(self, part: float, most: int, within: int) -> None:
        """`part` of a table's proxies, two at least, take a version back; `most` times `within` so long."""
        self.part, self.most, self.within = part, most, within
        self.who: dict[str, tuple[bytes, set[object]]] = {}
        self.back: deque[int] = deque(maxlen=max(most, 1))

    def by(self, proxy: object, table: str, version: bytes, on: int) -> bool:
        """A proxy rejects the version that a table of `on` proxies holds; whether it should be taken back."""
        held, who = self.who.get(table, (b"", set()))
        who = who | {proxy} if held == version else {proxy}
        self.who[table] = (version, who)
        if len(who) < max(2, self.part * on) or not self.most:
            return False
        del self.who[table]
        return True

    def back_again(self, now: int) -> bool:
        """Whether one more may be taken back now; counts it."""
        while self.back and now - self.back[0] > self.within:
            self.back.popleft()
        if len(self.back) >= self.most:
            return False
        self.back.append(now)
        return True
