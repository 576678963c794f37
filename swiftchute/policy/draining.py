"""Draining: ejection of endpoints that must receive nothing new, and forgetting removed ones.

Tables carry drains to the proxies that are assigned to them. Proxies that wait for their first assignment may
hold entries which this instance does not know; an ejection reaches those too.
"""

from itertools import chain

from swiftchute.api.endpoints import EndpointState
from swiftchute.api.events import ProxyId
from swiftchute.policy.conditions import health_condition
from swiftchute.policy.egress_budget import DRAIN_NOTICE_THRESHOLD, EgressBudget
from swiftchute.policy.state import PolicyState

MAX_REMOVED_ENDPOINTS = 200  # that are remembered: proxies of other instances may still hold them
EJECTION_ENTRIES = 1  # size of an ejection in a message


class Ejections:
    """The endpoints that are ejected at present.

    Attributes:
        ejected: Their names.
    """

    def __init__(self) -> None:
        """Create the state of an instance that has ejected nothing."""
        self.ejected: set[str] = set()

    def update(self, state: PolicyState, budget: EgressBudget) -> None:
        """Eject endpoints that are not ready while a proxy waits for its first assignment; restore others.

        Ejections may fill the egress queue no further than assignments, which come first: one assignment
        tells of all drains, and a queue that ejections keep full would hold it back for good.
        """
        unknown_tables = _any_proxy_never_assigned(state)
        for name, endpoint in state.endpoints.items():
            eject = not endpoint.is_ready
            if eject == (name in self.ejected) or (eject and not unknown_tables):
                continue
            proxies = _affected_proxies(state, name)
            if budget.reserve(state, proxies, EJECTION_ENTRIES, DRAIN_NOTICE_THRESHOLD):
                self._set_ejected(state, name, eject)
            else:
                unknown_tables = False  # no further ejection in this round: it would concern as many proxies

    def forget_removed(self, state: PolicyState) -> None:
        """Forget the removed endpoints that were listed first, if there are too many.

        None is forgotten that a table names, or while a proxy waits for its first assignment.
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
        if name in self.ejected:  # it concerns no proxy any more, so nothing is reserved for it
            self._set_ejected(state, name, False)

    def _set_ejected(self, state: PolicyState, name: str, ejected: bool) -> None:
        state.commands.set_ejected(name, ejected)
        if ejected:
            self.ejected.add(name)
        else:
            self.ejected.remove(name)


def _any_proxy_never_assigned(state: PolicyState) -> bool:
    return any(proxy.subset is None for proxy in state.proxies.values())


def _affected_proxies(state: PolicyState, endpoint: str) -> list[ProxyId]:
    """Return the proxies that may hold an endpoint: the others get no message.

    Entries reserved for those would never be acknowledged, and would hold pushes back.
    """
    subsets = {key for key, tables in state.tables.items() if any(endpoint in t.published for t in tables)}
    return [name for name, p in state.proxies.items() if p.subset is None or (p.zone, p.subset) in subsets]
