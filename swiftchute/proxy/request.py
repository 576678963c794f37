"""The request path without I/O: admission, the endpoint of each attempt, its deadline, and retries.

    router = RequestRouter(client, routes, limits, seed)
    router.update_tables()                                # after the client applied a response
    request = router.admit("lot-estimate", caller, now_ns)     # ActiveRequest or Rejection
    attempt = router.next_attempt(request, now_ns)        # Attempt, or None: nothing is left to try
    router.is_withdrawn(attempt.endpoint)                 # asked before an attempt is sent
    finished = router.attempt_ended(request, outcome, now_ns)
    router.abandon(request, now_ns)                       # its caller went away, or nothing is left

A request follows the table it began with: weights, retries and admission rates that change meanwhile are the
next one's. Only a withdrawn endpoint gets no more attempts. The control plane decides what is in a table; how
a table is followed is decided by the rules that the router calls: `admission`, `load_balancing`,
`outlier_ejection`, `retry`.
"""

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from swiftchute.proxy.admission import AdmissionControl
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.load_balancing import EndpointPicker, choose_endpoint, make_picker
from swiftchute.proxy.outlier_ejection import OutlierEjector
from swiftchute.proxy.retry import AttemptOutcome, RequestResult, RetryBudget, should_retry
from swiftchute.proxy.settings import NS_PER_S, Idempotency, ProxyLimits, RouteSettings
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import names

DEFAULT_REQUEST_TIMEOUT_NS = 15 * NS_PER_S  # where neither the settings nor the route have one


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is answered at once, and why."""

    cause: RequestResult


class Attempt(NamedTuple):
    """The endpoint of an attempt, and when the attempt ends at the latest."""

    endpoint: str
    deadline_ns: int


@dataclass(slots=True)
class ActiveRequest:
    """A request in flight, with its table as it was when the request arrived.

    Attributes:
        route: what is known of its operation.
        caller: tells its caller from others.
        table: its table.
        picker: the table's picker.
        arrived_at_ns: when it arrived.
        deadline_ns: when it ends at the latest.
        retries: attempts after the first; those that were never sent do not count.
        attempted: endpoints that attempts went to.
        endpoint: the endpoint of the last attempt, None before the first.
        attempt_started_ns: when the last attempt started.
        attempt_sent_ns: when it was written to a connection; 0 means not yet.
        finished: no more attempts follow.
    """

    route: RouteSettings
    caller: str
    table: EndpointTable
    picker: EndpointPicker
    arrived_at_ns: int
    deadline_ns: int
    retries: int = 0
    attempted: set[str] = field(default_factory=set)
    endpoint: str | None = None
    attempt_started_ns: int = 0
    attempt_sent_ns: int = 0
    finished: bool = False

    def limit_deadline(self, deadline_ns: int) -> None:
        """Let the request end by `deadline_ns` at the latest: its caller waits no longer."""
        self.deadline_ns = min(self.deadline_ns, deadline_ns)

    def result_of(self, outcome: AttemptOutcome | None, answered: bool, now_ns: int) -> RequestResult:
        """How the request ended.

        Args:
            outcome: of the last attempt; None if there was none.
            answered: whether an endpoint's response is passed on.
            now_ns: the time now.
        """
        if not answered and now_ns >= self.deadline_ns:
            return RequestResult.TIMED_OUT
        return RequestResult.NO_ENDPOINT if outcome is None else outcome.result


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """A table in force and its picker."""

    table: EndpointTable
    picker: EndpointPicker


class RequestRouter:
    """The request state of one proxy.

    Attributes:
        client: holds the tables that were received.
        routes: what is known of each operation, by name.
        tables: tables in force by operation.
        known_endpoints: endpoints of any table in force.
        in_flight: requests in flight.
        in_flight_by_endpoint: attempts in flight by endpoint.
        attempt_counts: attempts that ended, by result.
        rejection_counts: rejected requests by cause.
    """

    def __init__(
        self,
        client: XdsClient,
        routes: Mapping[str, RouteSettings],
        limits: ProxyLimits,
        seed: int,
        default_idempotency: Idempotency = Idempotency.SIDE_EFFECTING,
    ) -> None:
        """No table is in force before `update_tables`.

        Args:
            client: holds the tables.
            routes: known operations by name.
            limits: limits and rules of the request path.
            seed: of all random decisions.
            default_idempotency: of operations that are not in `routes`.
        """
        self.client = client
        self.routes = dict(routes)
        self.limits = limits
        self.default_idempotency = default_idempotency
        self.random = random.Random(seed)
        self.ejector = OutlierEjector(
            limits.ejection_failures, limits.ejection_ns, self.random.getrandbits(32)
        )
        self.admission = AdmissionControl(limits.max_in_flight, limits.admission_draw, self.random)
        self.retry_budget = RetryBudget(limits.retry_budget_fraction, limits.min_retries_per_s)
        self.tables: dict[str, RoutingTable] = {}
        self.known_endpoints: set[str] = set()
        self.in_flight = 0
        self.in_flight_by_endpoint: Counter[str] = Counter()
        self.attempt_counts: Counter[str] = Counter()
        self.rejection_counts: Counter[str] = Counter()
        self._withdrawn: set[str] = set()

    def update_tables(self) -> None:
        """Put the client's tables in force; a table with the same weights keeps its picker."""
        self._withdrawn = self.client.withdrawn_endpoints()
        self.known_endpoints = set()
        for operation in self.client.resources[names.LDS]:
            if operation not in self.routes:
                self.routes[operation] = RouteSettings(
                    operation, DEFAULT_REQUEST_TIMEOUT_NS, self.default_idempotency
                )
        for operation in self.routes:
            table = self.client.table(operation)
            if table is None or not table.weights:
                self.tables.pop(operation, None)
                continue
            self.known_endpoints.update(table.weights)
            self._update_table(operation, table)
        self.ejector.retain(self.known_endpoints)

    def is_withdrawn(self, endpoint: str) -> bool:
        """Whether the endpoint gets no more attempts, whatever table a request began with."""
        return endpoint in self._withdrawn or endpoint not in self.known_endpoints

    def admit(self, operation: str, caller: str, now_ns: int) -> ActiveRequest | Rejection:
        """A request arrived; `caller` tells its caller from others."""
        route = self.routes.get(operation)
        if route is None:
            return self._reject(RequestResult.UNKNOWN_OPERATION)
        if not self.admission.has_capacity(self.in_flight):
            return self._reject(RequestResult.AT_CAPACITY)
        routing = self.tables.get(operation)
        if routing is None:
            return self._reject(RequestResult.NO_ENDPOINT)
        table = routing.table
        if not self.admission.admits(table, operation, caller, now_ns):
            self.client.record_drop(table.cluster)
            return self._reject(RequestResult.NOT_ADMITTED)
        timeout_ns = route.request_timeout_ns
        if table.request_timeout_s:
            timeout_ns = int(table.request_timeout_s * NS_PER_S)
        self.in_flight += 1
        self.retry_budget.record_request(now_ns)
        return ActiveRequest(route, caller, table, routing.picker, now_ns, now_ns + timeout_ns)

    def next_attempt(self, request: ActiveRequest, now_ns: int) -> Attempt | None:
        """The next attempt; None if no endpoint or no time is left."""
        remaining_ns = request.deadline_ns - now_ns
        if remaining_ns <= 0:
            return None
        endpoint = choose_endpoint(
            request.picker, self.random, self._excluded_endpoints(request), self._avoided_endpoints(now_ns)
        )
        if endpoint is None:
            return None
        request.endpoint = endpoint
        request.attempt_started_ns = now_ns
        request.attempt_sent_ns = 0
        self.in_flight_by_endpoint[endpoint] += 1
        self.ejector.attempt_started(endpoint, now_ns)
        return Attempt(endpoint, now_ns + _attempt_timeout_ns(request, remaining_ns))

    def attempt_ended(self, request: ActiveRequest, outcome: AttemptOutcome, now_ns: int) -> bool:
        """An attempt ended; returns whether the request is finished with it.

        Load reports count what was sent, so not an attempt whose endpoint was withdrawn before.
        """
        endpoint = request.endpoint
        assert endpoint is not None
        self._release(endpoint)
        request.attempted.add(endpoint)
        if outcome is AttemptOutcome.WITHDRAWN:
            self.ejector.attempt_abandoned(endpoint)
        else:
            latency_s = (now_ns - request.attempt_started_ns) / NS_PER_S
            self.ejector.attempt_ended(endpoint, outcome.succeeded, now_ns)
            self.client.record_attempt(request.table.cluster, endpoint, outcome.succeeded, latency_s)
        self.attempt_counts[outcome.result] += 1
        if not should_retry(
            outcome,
            request.table,
            request.route.idempotency,
            request.retries,
            now_ns,
            request.deadline_ns,
            self.retry_budget,
        ):
            self._finish(request)
            return True
        request.retries += outcome is not AttemptOutcome.WITHDRAWN
        return False

    def abandon(self, request: ActiveRequest, now_ns: int) -> None:
        """The caller went away, or nothing is left to try; does nothing if the request is finished.

        The outcome of an attempt in flight is not known, unless it had all of its time.
        """
        if request.finished:
            return
        endpoint = request.endpoint
        if (
            endpoint is not None
            and self.in_flight_by_endpoint[endpoint]
            and endpoint not in request.attempted
        ):
            self._release(endpoint)
            if now_ns >= request.deadline_ns:
                self.ejector.attempt_ended(endpoint, False, now_ns)
            else:
                self.ejector.attempt_abandoned(endpoint)
        self._finish(request)

    def _update_table(self, operation: str, table: EndpointTable) -> None:
        current = self.tables.get(operation)
        if current is None or current.table.weights != table.weights:
            picker = make_picker(
                self.limits.load_balancing, table.weights, self.in_flight_by_endpoint.__getitem__
            )
            self.tables[operation] = RoutingTable(table, picker)
        elif current.table != table:
            self.tables[operation] = RoutingTable(table, current.picker)

    def _reject(self, cause: RequestResult) -> Rejection:
        self.rejection_counts[cause] += 1
        return Rejection(cause)

    def _avoided_endpoints(self, now_ns: int) -> set[str]:
        """Endpoints that are ejected or have as many requests in flight as they may."""
        avoided = self.ejector.ejected(now_ns)
        limit = self.limits.max_in_flight_per_endpoint
        if limit:
            avoided |= {endpoint for endpoint, count in self.in_flight_by_endpoint.items() if count >= limit}
        return avoided

    def _excluded_endpoints(self, request: ActiveRequest) -> set[str]:
        """Endpoints that this request was sent to, and withdrawn ones."""
        routing = self.tables.get(request.route.name)
        if routing is not None and routing.picker is request.picker:
            return request.attempted  # the table in force has no withdrawn endpoint
        withdrawn = {endpoint for endpoint in request.picker.endpoints if self.is_withdrawn(endpoint)}
        return request.attempted | withdrawn

    def _release(self, endpoint: str) -> None:
        self.in_flight_by_endpoint[endpoint] -= 1
        if self.in_flight_by_endpoint[endpoint] <= 0:
            del self.in_flight_by_endpoint[endpoint]

    def _finish(self, request: ActiveRequest) -> None:
        request.finished = True
        self.in_flight -= 1


def _attempt_timeout_ns(request: ActiveRequest, remaining_ns: int) -> int:
    """The time of an attempt: its table's, but all that is left for the last attempt."""
    timeout_s = request.table.attempt_timeout_s
    if not timeout_s or request.retries >= request.table.max_retries:
        return remaining_ns
    return min(remaining_ns, int(timeout_s * NS_PER_S))
