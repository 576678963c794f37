"""Tracks what each proxy may apply: the content it acknowledged, and all pushed since. No I/O, no clock.

    tracker.on_pushed(proxy, holding)
    tracker.on_acknowledged(proxy)
    tracker.on_disconnected(proxy)
    tracker.pending_shares(proxies, operations, endpoints, request_rate)

A push is safe only in combination with the tables it replaces: until a proxy acknowledges it, the proxy may
still apply the old tables. A share that moves from one table to another counts in both until then.
"""

from collections.abc import Callable, Collection, Hashable, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from swiftchute.safety.proposal import PendingShare
from swiftchute.versions.history import VersionHistory

MAX_HOLDINGS = 8  # per proxy; beyond this the second oldest, replaced by later pushes, is dropped

Proxy = Hashable


class Content(Protocol):
    """The content of a table.

    Entries (endpoint, zone, weight), and by operation its admission rate and retry policy.
    """

    version: bytes
    entries: tuple[tuple[str, str, float], ...]
    admission: tuple[tuple[float, int], ...]


class Holding(Protocol):
    """What a proxy holds: (operation, table name) pairs, and the content of each table."""

    @property
    def tables_by_operation(self) -> tuple[tuple[str, str], ...]:
        """Pairs of operation and table name."""

    @property
    def contents(self) -> Mapping[str, Any]:
        """The tables' contents by name."""


class HolderCount(NamedTuple):
    """How many proxies hold a version of a table.

    Attributes:
        acknowledged: Proxies that acknowledged it.
        pushed: Proxies that it was pushed to and that have not answered yet.
    """

    acknowledged: int
    pushed: int


class DeliveryTracker:
    """Keeps for each proxy the acknowledged holding and those pushed since, oldest first."""

    def __init__(self, history: VersionHistory) -> None:
        """Start without a proxy.

        Args:
            history: History that retains the versions a proxy may apply.
        """
        self.history = history
        self.holdings_by_proxy: dict[Proxy, list[Holding]] = {}
        self._acknowledged: set[Proxy] = set()  # proxies that acknowledged their oldest holding

    def on_pushed(self, proxy: Proxy, holding: Holding) -> None:
        """Record that a holding was pushed to a proxy."""
        holdings = self.holdings_by_proxy.setdefault(proxy, [])
        if holdings and holdings[-1] is holding:
            return
        holdings.append(holding)
        for content in holding.contents.values():
            self.history.retain(content.version)
        if len(holdings) > MAX_HOLDINGS:
            self._release(holdings.pop(1))

    def on_acknowledged(self, proxy: Proxy) -> None:
        """Record that a proxy acknowledged its newest holding, which replaces all earlier ones."""
        holdings = self.holdings_by_proxy.get(proxy)
        if holdings:
            self._acknowledged.add(proxy)
            while len(holdings) > 1:
                self._release(holdings.pop(0))

    def is_up_to_date(self, proxy: Proxy) -> bool:
        """Return whether a proxy has acknowledged everything that was pushed to it."""
        return proxy in self._acknowledged and len(self.holdings_by_proxy[proxy]) == 1

    def on_disconnected(self, proxy: Proxy) -> None:
        """Remove a proxy; what it applies from now on is unknown."""
        self._acknowledged.discard(proxy)
        for holding in self.holdings_by_proxy.pop(proxy, ()):
            self._release(holding)

    def _release(self, holding: Holding) -> None:
        for content in holding.contents.values():
            self.history.release(content.version)

    def holder_counts(self, table: str) -> dict[bytes, HolderCount]:
        """Return how many proxies hold each version of a table."""
        counts: dict[bytes, HolderCount] = {}
        for proxy, holdings in self.holdings_by_proxy.items():
            for index, holding in enumerate(holdings):
                if table not in holding.contents:
                    continue
                version = holding.contents[table].version
                acknowledged, pushed = counts.get(version, (0, 0))
                if index == 0 and proxy in self._acknowledged:
                    counts[version] = HolderCount(acknowledged + 1, pushed)
                else:
                    counts[version] = HolderCount(acknowledged, pushed + 1)
        return counts

    def pending_shares(
        self,
        proxies: Iterable[Proxy],
        operations: Collection[str],
        endpoints: Collection[str],
        request_rate: Callable[[Proxy], float | None],
    ) -> tuple[PendingShare, ...]:
        """Return what a table's proxies may send to endpoints until they acknowledge.

        Args:
            proxies: Proxies of the table.
            operations: Operations that the table serves.
            endpoints: Endpoints whose shares are requested.
            request_rate: Requests per second that come to a proxy; None if unknown.
        """
        total_rate = 0.0
        rate_by_group: dict[tuple[int, ...], float] = {}
        holdings_by_group: dict[tuple[int, ...], list[Holding]] = {}
        for proxy in proxies:
            holdings = self.holdings_by_proxy.get(proxy, [])
            rate = request_rate(proxy) or 0.0
            total_rate += rate
            group = tuple(map(id, holdings))  # proxies with the same holdings count as one group
            rate_by_group[group] = rate_by_group.get(group, 0.0) + rate
            holdings_by_group.setdefault(group, holdings)
        pending = []
        for group, rate in rate_by_group.items():
            shares = _largest_shares(holdings_by_group[group], operations, endpoints) if rate else {}
            if shares:
                pending.append(PendingShare(rate / total_rate, shares))
        return tuple(pending)


def _largest_shares(
    holdings: Iterable[Holding], operations: Collection[str], endpoints: Collection[str]
) -> dict[str, float]:
    """Return the largest share that any table of these holdings gives each endpoint."""
    largest: dict[str, float] = {}
    for holding in holdings:
        for operation, table in holding.tables_by_operation:
            if operation in operations:
                for endpoint, share in _admitted_shares(holding.contents[table], endpoints).items():
                    largest[endpoint] = max(largest.get(endpoint, 0.0), share)
    return largest


def _admitted_shares(content: Content, endpoints: Collection[str]) -> Mapping[str, float]:
    """Return the share of a table's arriving requests, including rejected ones, that each endpoint gets."""
    weights = [(endpoint, weight) for endpoint, _, weight in content.entries if endpoint in endpoints]
    if not weights:
        return {}
    rate = min(max((rate for rate, _ in content.admission), default=1.0), 1.0)
    total = sum(weight for _, _, weight in content.entries)
    return {endpoint: rate * weight / total for endpoint, weight in weights}
