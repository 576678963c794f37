"""What each proxy may go by: what it has acknowledged, and what is on its way to it.

    sent.pushed(proxy, holding); sent.settled(proxy); sent.left(proxy)
    sent.pending(proxies, operations, cold, demand)   # parts of a table's demand, and what goes by them

A push is safe only together with what it replaces: until a proxy acknowledges it goes by the old, so that a
share taken from one table and given to another is in both for a while.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Any, Protocol

KEPT = (
    8  # holdings a proxy may have unacknowledged; past it the second oldest goes, as it was overtaken unsent
)


class Content(Protocol):
    """A table's lines (server, zone, weight) and, by operation, its level and the way of further tries."""

    lines: tuple[tuple[str, str, float], ...]
    levels: tuple[tuple[float, int], ...]


class Holding(Protocol):
    """Operation and table name by operation, and the tables' contents by name."""

    bound: tuple[tuple[str, str], ...]
    contents: dict[str, Any]


class Sent:
    """By proxy the acknowledged holding and those pushed since."""

    def __init__(self) -> None:
        """Nobody was sent anything."""
        self.by: dict[Any, list[Holding]] = {}

    def pushed(self, proxy: Any, holding: Holding) -> None:
        """This is on its way to a proxy."""
        rows = self.by.setdefault(proxy, [])
        if not rows or rows[-1] is not holding:
            rows.append(holding)
            if len(rows) > KEPT:
                del rows[1]

    def settled(self, proxy: Any) -> None:
        """The proxy has acknowledged the last that was pushed: what was before it is over."""
        rows = self.by.get(proxy)
        if rows and len(rows) > 1:
            del rows[:-1]

    def left(self, proxy: Any) -> None:
        """Its stream is gone; what it goes by now is not this planner's to know."""
        self.by.pop(proxy, None)

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
                for operation, table in holding.bound:
                    if operation in operations:
                        self._most(shares, holding.contents[table], cold)
            if shares:
                found.append((rate / total, shares))
        return tuple(found)

    @staticmethod
    def _most(shares: dict[str, float], content: Content, cold: Collection[str]) -> None:
        lines = [(server, weight) for server, _, weight in content.lines if server in cold]
        if lines:
            level = min(max((level for level, _ in content.levels), default=1.0), 1.0)
            total = sum(weight for _, _, weight in content.lines)
            for server, weight in lines:
                shares[server] = max(shares.get(server, 0.0), level * weight / total)
