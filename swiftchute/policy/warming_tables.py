"""Tables without a warm endpoint: what they may admit, and whether their endpoints have to wait.

A limit by rate lets a proxy that has been idle send its next request at once, so that a new limit has no
effect until each proxy has received a request. Where that would be too much, the endpoints wait until the
limit has been in force for long enough. A proxy consults it before it looks for an endpoint, so requests that
find no endpoint count as well. So a table without endpoints is limited to what its first one can serve.
"""

import math
from collections.abc import Iterator
from typing import NamedTuple

from swiftchute.policy.admission import MIN_SHARE, table_operations, table_proxies
from swiftchute.policy.load_stats import operation_request_rate
from swiftchute.policy.model import EndpointTable, Proxy
from swiftchute.policy.slow_start import starting_endpoint_share
from swiftchute.policy.state import PolicyState
from swiftchute.policy.units import NS_PER_S

MIN_UNLIMITED_SHARE = 0.5  # servable share from which on endpoints need not wait, whatever is admitted
MIN_STAY_SHARE = 0.3  # servable share below which they leave the table again
MAX_BURST_MULTIPLE = 1.5  # of the servable requests, for those that proxies may send when a limit rises
MAX_UNSPENT_FRACTION = 0.5  # of the servable requests, for those that a limit does not hold back yet


class _Demand(NamedTuple):
    """Requests for one operation at one proxy."""

    proxy: Proxy
    operation: str
    request_rate: float  # per second


def limit_table(
    state: PolicyState, table: EndpointTable, entries: dict[str, float], servable: float
) -> float:
    """Return the share of the requests that a table without warm endpoints admits, 0 to 1.

    Args:
        state: State of the policy.
        table: The table.
        entries: Weights by endpoint; all are removed if the endpoints have to wait.
        servable: Share of the table's requests that the endpoints can serve.
    """
    if state.settings.admission_mode == "rate":
        return _limit_by_rate(state, table, entries, servable)
    if state.settings.admission_mode == "none":
        min_servable = MIN_STAY_SHARE if table.has_endpoints else MIN_UNLIMITED_SHARE
        if servable < min_servable:
            entries.clear()
        return 1.0
    return min(max(servable, MIN_SHARE), 1.0) if entries else 1.0


def _limit_by_rate(
    state: PolicyState, table: EndpointTable, entries: dict[str, float], servable: float
) -> float:
    """Return the share that limits by rate admit; it rises only if a burst would do no harm.

    A proxy may begin each new limit with a request at once, whatever it has sent before.
    """
    starting = max(min(starting_endpoint_share(state, table), 1.0), MIN_SHARE)
    if not entries:
        return starting
    if servable >= MIN_UNLIMITED_SHARE:
        return min(servable, 1.0)
    unspent = _unspent_share(state, table)
    if unspent > servable * (1.0 if table.has_endpoints else MAX_UNSPENT_FRACTION):
        entries.clear()
        return min(starting, servable)
    if not table.has_endpoints or _burst_share(state, table) > MAX_BURST_MULTIPLE * servable:
        return min(starting, servable)
    return max(servable - unspent, MAX_UNSPENT_FRACTION * servable)


def _demands(state: PolicyState, table: EndpointTable) -> Iterator[_Demand]:
    """Return the demand of a table, by proxy and operation."""
    for proxy in table_proxies(state, table):
        for _, operation in table_operations(state, table):
            yield _Demand(proxy, operation, operation_request_rate(state, proxy, operation))


def _unspent_share(state: PolicyState, table: EndpointTable) -> float:
    """Return the share of a table's requests that a proxy may admit as its first under the limit."""
    total = unspent = 0.0
    for demand in _demands(state, table):
        total += demand.request_rate
        unspent += demand.request_rate * _unspent_probability(table, demand.proxy, demand.operation)
    return unspent / total if total else 1.0


def _unspent_probability(table: EndpointTable, proxy: Proxy, operation: str) -> float:
    """Return how likely no request for an operation has come to a proxy since the table's limit is in force.

    Only reports count: the clients may pause. Requests are spread evenly over the window of a report.
    """
    if table.limited_since_ns is None or proxy.assigned_at_ns is None:
        return 1.0
    limited_since_ns = max(table.limited_since_ns, proxy.assigned_at_ns)
    probability = 1.0
    for requests, window_ns, reported_at_ns in proxy.demand.get(operation, ()):
        limited_fraction = (reported_at_ns - limited_since_ns) / max(window_ns, 1)
        probability *= (1 - min(max(limited_fraction, 0.0), 1.0)) ** requests
    return probability


def _burst_share(state: PolicyState, table: EndpointTable) -> float:
    """Return the share of the requests in an overload window that come first at a proxy and operation."""
    window_s = state.settings.overload_window_ns / NS_PER_S
    total = first = 0.0
    for demand in _demands(state, table):
        requests = demand.request_rate * window_s
        total += requests
        first += 1 - math.exp(-requests)
    return first / total if total else 1.0
