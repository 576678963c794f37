"""What each proxy may go by: what it has acknowledged, and what is on its way to it.

    sent.pushed(proxy, holding); sent.settled(proxy); sent.left(proxy)
    sent.pending(proxies, operations, cold, demand)   # parts of a table's demand, and what goes by them

A push is safe only together with what it replaces: until a proxy acknowledges it goes by the old, so that a
share taken from one table and given to another is in both for a while.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Any, Protocol

from swiftchute.versions.history import VersionHistory

KEPT = 8  # holdings a proxy may go by; past it the second oldest is dropped, as it was overtaken unsent


class Content(Protocol):
    """A table's version, its lines (server, zone, weight) and, by operation, its level and the way of further
    tries."""

    version: bytes
    entries: tuple[tuple[str, str, float], ...]
    admission: tuple[tuple[float, int], ...]


class Holding(Protocol):
    """Operation and table name by operation, and the tables' contents by name."""

    tables_by_operation: tuple[tuple[str, str], ...]
    contents: dict[str, Any]


class DeliveryTracker:
    """By proxy the acknowledged holding and those pushed since."""

    def __init__(self, history: VersionHistory) -> None:
        """Nobody was sent anything; `history` keeps the versions that somebody may go by."""
        self.history = history
        self.by: dict[Any, list[Holding]] = {}
        self.told: set[Any] = set()  # whose first row is acknowledged

    def pushed(self, proxy: Any, holding: Holding) -> None:
        """This is on its way to a proxy."""
        rows = self.by.setdefault(proxy, [])
        if not rows or rows[-1] is not holding:
            rows.append(holding)
            for content in holding.contents.values():
                self.history.hold(content.version)
            if len(rows) > KEPT:
                self._drop(rows.pop(1))

    def settled(self, proxy: Any) -> None:
        """The proxy has acknowledged the last that was pushed: what was before it is over."""
        rows = self.by.get(proxy)
        if rows:
            self.told.add(proxy)
            while len(rows) > 1:
                self._drop(rows.pop(0))

    def clear(self, proxy: Any) -> bool:
        """Whether a proxy holds all that was pushed to it."""
        return proxy in self.told and len(self.by[proxy]) == 1

    def left(self, proxy: Any) -> None:
        """Its stream is gone; what it goes by now is not this planner's to know."""
        self.told.discard(proxy)
        for holding in self.by.pop(proxy, ()):
            self._drop(holding)

    def _drop(self, holding: Holding) -> None:
        for content in holding.contents.values():
            self.history.drop(content.version)

    def states(self, table: str) -> dict[bytes, tuple[int, int]]:
        """By version of a table, how many proxies have acknowledged it and to how many it is on its way."""
        found: dict[bytes, list[int]] = {}
        for proxy, rows in self.by.items():
            for place, holding in enumerate(rows):
                if table in holding.contents:
                    row = found.setdefault(holding.contents[table].version, [0, 0])
                    row[0 if place == 0 and proxy in self.told else 1] += 1
        return {version: (row[0], row[1]) for version, row in found.items()}

    def pending(
        self,
        proxies: Iterable[Any],
        operations: Collection[str],
        cold: Collection[str],
        demand: Callable[[Any], float | None],
    ) -> tuple[tuple[float, dict[str, float]], ...]:
        """Parts of the demand of a table's proxies, and by cold server the most of such a part that it may
        get."""
        groups: dict[tuple[int, ...], list[Any]] = {}
        total = 0.0
        for proxy in proxies:
            rows = self.by.get(proxy, [])
            rate = demand(proxy) or 0.0
            total += rate
            group = groups.setdefault(tuple(map(id, rows)), [rows, 0.0])
            group[1] += rate
        found = []
        for rows, rate in groups.values():
            shares: dict[str, float] = {}
            for holding in rows if rate else ():
                for operation, table in holding.tables_by_operation:
                    if operation in operations:
                        self._most(shares, holding.contents[table], cold)
            if shares:
                found.append((rate / total, shares))
        return tuple(found)

    @staticmethod
    def _most(shares: dict[str, float], content: Content, cold: Collection[str]) -> None:
        lines = [(server, weight) for server, _, weight in content.entries if server in cold]
        if lines:
            level = min(max((level for level, _ in content.admission), default=1.0), 1.0)
            total = sum(weight for _, _, weight in content.entries)
            for server, weight in lines:
                shares[server] = max(shares.get(server, 0.0), level * weight / total)
