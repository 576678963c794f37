"""Draining: ejects endpoints that must not receive new requests, and discards removed endpoints.

Proxies that are assigned to a table learn of drains from its entries. Proxies that wait for their first
assignment may hold entries which this instance does not know; an ejection reaches them too.
"""

from itertools import chain

from swiftchute.api.endpoints import EndpointState
from swiftchute.api.events import ProxyId
from swiftchute.policy.channel_turns import PushKind
from swiftchute.policy.conditions import health_condition
from swiftchute.policy.egress_budget import EgressBudget, Reservation
from swiftchute.policy.state import PolicyState

MAX_REMOVED_ENDPOINTS = 200  # kept in memory: proxies of other instances may still hold them
EJECTION_ENTRIES = 1  # size of an ejection within a message


class Ejections:
    """Tracks the endpoints that are currently ejected.

    Attributes:
        ejected: Names of these endpoints.
    """

    def __init__(self) -> None:
        """Create the tracker of an instance that has not ejected any endpoint."""
        self.ejected: set[str] = set()

    def update(self, state: PolicyState, budget: EgressBudget) -> None:
        """Eject endpoints that are not ready while a proxy waits for its first assignment; restore others.

        Ejections use the same queue threshold as assignments, which come first: one assignment announces all
        drains, and ejections that kept the queue full would delay it indefinitely.
        """
        if _any_proxy_never_assigned(state):
            for name, endpoint in state.endpoints.items():
                if endpoint.is_ready or name in self.ejected:
                    continue
                if not self._change(state, budget, name, PushKind.DRAIN_NOTICE):
                    break  # each other one would need as much capacity
        for name in [name for name, e in state.endpoints.items() if e.is_ready and name in self.ejected]:
            self._change(state, budget, name, PushKind.RESTORATION)

    def forget_removed(self, state: PolicyState) -> None:
        """Discard the removed endpoints that were listed first if there are more than the limit.

        An endpoint is kept while a table names it, and all are while a proxy waits for its first assignment.
        """
        if len(state.endpoints) <= MAX_REMOVED_ENDPOINTS:
            return
        removed = [name for name, e in state.endpoints.items() if e.state == EndpointState.REMOVED]
        if len(removed) <= MAX_REMOVED_ENDPOINTS or _any_proxy_never_assigned(state):
            return
        published = set(chain.from_iterable(table.published for table in state.all_tables()))
        for name in removed[:-MAX_REMOVED_ENDPOINTS]:
            if name not in published:
                self._forget(state, name)

    def _forget(self, state: PolicyState, name: str) -> None:
        del state.endpoints[name]
        state.conditions.discard(health_condition(name))
        if name in self.ejected:  # no proxy holds it any more, so no entries are reserved
            self._set_ejected(state, name, False)

    def _change(self, state: PolicyState, budget: EgressBudget, name: str, kind: PushKind) -> bool:
        """Eject or restore an endpoint if the budget allows it; return whether it does."""
        proxies = _affected_proxies(state, name)
        if budget.reserve(state, proxies, EJECTION_ENTRIES, kind) is not Reservation.GRANTED:
            return False
        self._set_ejected(state, name, kind is PushKind.DRAIN_NOTICE)
        return True

    def _set_ejected(self, state: PolicyState, name: str, ejected: bool) -> None:
        state.commands.set_ejected(name, ejected)
        if ejected:
            self.ejected.add(name)
        else:
            self.ejected.remove(name)


def _any_proxy_never_assigned(state: PolicyState) -> bool:
    return any(proxy.subset is None for proxy in state.proxies.values())


def _affected_proxies(state: PolicyState, endpoint: str) -> list[ProxyId]:
    """Return the proxies that may hold an endpoint; the others get no message about it.

    Entries reserved for the others would never be acknowledged and would delay pushes.
    """
    subsets = {key for key, tables in state.tables.items() if any(endpoint in t.published for t in tables)}
    return [name for name, p in state.proxies.items() if p.subset is None or (p.zone, p.subset) in subsets]
