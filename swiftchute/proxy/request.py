"""The request path without I/O: admission, endpoint selection, attempt deadlines and retries.

    router = RequestRouter(client, routes, limits, seed)
    router.update_tables()                                # after the client applied a response
    request = router.admit("lot-estimate", caller, now_ns)     # ActiveRequest or Rejection
    attempt = router.next_attempt(request, now_ns)        # Attempt, or None: no endpoint or no time left
    router.is_withdrawn(attempt.endpoint)                 # checked just before an attempt is sent
    finished = router.attempt_ended(request, outcome, now_ns)
    router.abandon(request, now_ns)                       # the caller disconnected, or no attempt is left

A request uses the table that was in force when it arrived, even if weights, retries or the admission rate
change while it is in flight. The exception is a withdrawn endpoint, which gets no further attempts. The
control plane decides what a table contains; the modules `admission`, `load_balancing`, `outlier_ejection` and
`retry` implement how the router applies it.
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

DEFAULT_REQUEST_TIMEOUT_NS = 15 * NS_PER_S  # used if neither the settings nor the route set a timeout


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is answered locally without any attempt, and the cause."""

    cause: RequestResult


class Attempt(NamedTuple):
    """The endpoint to send an attempt to, and the attempt's deadline."""

    endpoint: str
    deadline_ns: int


@dataclass(slots=True)
class ActiveRequest:
    """A request in flight, with the table that was in force when it arrived.

    Attributes:
        route: settings of the requested operation.
        caller: identifies the caller.
        table: the table that the request uses until it ends.
        picker: the picker of that table.
        arrived_at_ns: arrival time.
        deadline_ns: time by which the request ends.
        retries: attempts after the first; attempts withdrawn before they were sent do not count.
        attempted: endpoints of the attempts that have ended.
        endpoint: the endpoint of the latest attempt, None before the first.
        attempt_started_ns: when the latest attempt started.
        attempt_sent_ns: when the latest attempt was written to a connection; 0 means not yet.
        finished: whether no more attempts follow.
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
        """Shorten the deadline to `deadline_ns`, after which the caller no longer waits."""
        self.deadline_ns = min(self.deadline_ns, deadline_ns)

    def result_of(self, outcome: AttemptOutcome | None, answered: bool, now_ns: int) -> RequestResult:
        """Return the final result of the request.

        Args:
            outcome: outcome of the last attempt; None if there was none.
            answered: whether an endpoint's response is returned to the caller.
            now_ns: current time.
        """
        if not answered and now_ns >= self.deadline_ns:
            return RequestResult.TIMED_OUT
        return RequestResult.NO_ENDPOINT if outcome is None else outcome.result


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """A table in force and the picker built from its weights."""

    table: EndpointTable
    picker: EndpointPicker


class RequestRouter:
    """Routes the requests of one proxy and holds their shared state.

    Attributes:
        client: xDS client that holds the received tables.
        routes: settings by operation.
        tables: tables in force by operation.
        known_endpoints: endpoints of all tables in force.
        in_flight: number of requests in flight.
        in_flight_by_endpoint: attempts in flight by endpoint.
        attempt_counts: completed attempts by result.
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
        """Create a router without tables; `update_tables` loads them.

        Args:
            client: xDS client that holds the received tables.
            routes: settings by operation.
            limits: limits and rules of the request path.
            seed: seed of all random decisions.
            default_idempotency: idempotency of operations that are not in `routes`.
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
        """Put the client's current tables in force; a table with unchanged weights keeps its picker."""
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
        """Whether the endpoint gets no more attempts, even from requests whose table still contains it."""
        return endpoint in self._withdrawn or endpoint not in self.known_endpoints

    def admit(self, operation: str, caller: str, now_ns: int) -> ActiveRequest | Rejection:
        """Admit or reject an arriving request; `caller` identifies who sent it."""
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
        """Start the next attempt of a request; None if no endpoint or no time is left."""
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
        """Record the end of an attempt; returns whether the request is finished.

        An attempt whose endpoint was withdrawn before it was sent is left out of load reports.
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
        """End a request whose caller disconnected or that has no attempt left; no-op if it is finished.

        An attempt in flight counts as failed only if the request's deadline has passed; otherwise its outcome
        is unknown.
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
        """Endpoints that are ejected or at their limit of requests in flight."""
        avoided = self.ejector.ejected(now_ns)
        limit = self.limits.max_in_flight_per_endpoint
        if limit:
            avoided |= {endpoint for endpoint, count in self.in_flight_by_endpoint.items() if count >= limit}
        return avoided

    def _excluded_endpoints(self, request: ActiveRequest) -> set[str]:
        """Endpoints that this request has already tried, and withdrawn ones."""
        routing = self.tables.get(request.route.name)
        if routing is not None and routing.picker is request.picker:
            return request.attempted  # same picker: the table in force has no withdrawn endpoints
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
    """The table's attempt timeout; the last attempt gets all the time that remains."""
    timeout_s = request.table.attempt_timeout_s
    if not timeout_s or request.retries >= request.table.max_retries:
        return remaining_ns
    return min(remaining_ns, int(timeout_s * NS_PER_S))
