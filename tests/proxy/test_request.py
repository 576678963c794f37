"""The request path: admission, endpoint selection, deadlines and retries."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.request import ActiveRequest, Rejection, RequestRouter
from swiftchute.proxy.retry import AttemptOutcome, RequestResult
from swiftchute.proxy.settings import AdmissionDraw, Idempotency, ProxyLimits, RouteSettings
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import names

S = 1_000_000_000
NOW = 1000 * S


def make_router(limits=None, tables=None):
    client = XdsClient("gw", "z", 1.0)
    client.tables = (
        tables if tables is not None else {"read": EndpointTable("0.1/read", dict.fromkeys("abc", 1), 1.0, 1)}
    )
    routes = {"read": RouteSettings("read", 4 * S, Idempotency.IDEMPOTENT)}
    router = RequestRouter(client, routes, limits or ProxyLimits(), 7)
    router.update_tables()
    return router


def test_a_request_follows_the_table_it_began_with():
    router = make_router()
    request = router.admit("read", "k", NOW)
    first = router.next_attempt(request, NOW).endpoint
    router.client.tables = {"read": EndpointTable("0.2/read", {first: 1, "x": 5}, 0.0, 0)}
    router.update_tables()
    # the new table allows no retries, but the one that the request began with does
    assert not router.attempt_ended(request, AttemptOutcome.REFUSED, NOW)
    # the other endpoints of the request's table are withdrawn: no table in force contains them
    assert router.next_attempt(request, NOW) is None
    router.abandon(request, NOW)
    assert router.admit("read", "k", NOW) == Rejection(RequestResult.NOT_ADMITTED)
    assert (router.in_flight, dict(router.in_flight_by_endpoint)) == (0, {})


def test_an_unsent_attempt_moves_to_another_endpoint_when_its_own_is_withdrawn():
    router = make_router()
    request = router.admit("read", "k", NOW)
    first = router.next_attempt(request, NOW).endpoint
    router.client.tables = {"read": EndpointTable("0.1/read", {s: 1 for s in "abc" if s != first}, 1.0, 0)}
    router.update_tables()
    assert router.is_withdrawn(first)
    assert not router.attempt_ended(request, AttemptOutcome.WITHDRAWN, NOW)
    assert router.next_attempt(request, NOW).endpoint != first
    assert router.attempt_ended(request, AttemptOutcome.SUCCEEDED, NOW)
    # the attempt that was not sent is not in the load report
    assert router.client.load_by_cluster["0.1/read"].endpoints.keys() == {request.endpoint}


def test_a_retry_goes_to_another_endpoint_and_respects_the_limit():
    router = make_router()
    request = router.admit("read", "k", NOW)
    first = router.next_attempt(request, NOW).endpoint
    assert not router.attempt_ended(request, AttemptOutcome.UNREACHABLE, NOW)
    second = router.next_attempt(request, NOW).endpoint
    assert second != first
    assert router.attempt_ended(request, AttemptOutcome.UNREACHABLE, NOW)


def test_an_unknown_operation_is_never_executed_twice():
    router = make_router(tables={"new": EndpointTable("0.1/new", {"a": 1, "b": 1}, 1.0, 3, False)})
    router.client.resources[names.LDS]["new"] = ("1", None)
    router.update_tables()
    request = router.admit("new", "k", NOW)
    router.next_attempt(request, NOW)
    assert router.attempt_ended(request, AttemptOutcome.CONNECTION_LOST, NOW)


def test_an_admission_rate_of_zero_rejects_and_counts_every_request():
    router = make_router(tables={"read": EndpointTable("0.1/read", {"a": 1}, 0.0)})
    assert [router.admit("read", "k", NOW) for _ in range(3)] == [Rejection(RequestResult.NOT_ADMITTED)] * 3
    assert router.client.load_by_cluster["0.1/read"].dropped == 3


def test_an_admission_rate_admits_its_fraction_and_per_caller_draws_are_consistent():
    router = make_router(tables={"read": EndpointTable("0.1/read", {"a": 1}, 0.3)})
    admitted = sum(isinstance(router.admit("read", "k", NOW), ActiveRequest) for _ in range(2000))
    assert admitted / 2000 == pytest.approx(0.3, abs=0.04)
    per_caller = make_router(
        ProxyLimits(admission_draw=AdmissionDraw.PER_CALLER),
        {"read": EndpointTable("0.1/read", {"a": 1}, 0.3)},
    )
    kinds_by_caller = {
        k: {type(per_caller.admit("read", f"k{k}", NOW + n)) for n in range(5)} for k in range(500)
    }
    assert all(len(kinds) == 1 for kinds in kinds_by_caller.values())
    assert sum(ActiveRequest in kinds for kinds in kinds_by_caller.values()) / 500 == pytest.approx(
        0.3, abs=0.07
    )


def test_requests_over_the_limit_are_rejected_until_one_ends():
    router = make_router(ProxyLimits(max_in_flight=2))
    first, _ = router.admit("read", "k", NOW), router.admit("read", "k", NOW)
    assert router.admit("read", "k", NOW) == Rejection(RequestResult.AT_CAPACITY)
    router.abandon(first, NOW)
    assert isinstance(router.admit("read", "k", NOW), ActiveRequest)
    assert router.admit("nothing", "k", NOW) == Rejection(RequestResult.UNKNOWN_OPERATION)


def test_a_single_ejected_endpoint_is_still_used():
    router = make_router(ProxyLimits(ejection_failures=1), {"read": EndpointTable("0.1/read", {"a": 1})})
    for _ in range(3):
        request = router.admit("read", "k", NOW)
        assert router.next_attempt(request, NOW).endpoint == "a"
        router.attempt_ended(request, AttemptOutcome.TIMED_OUT, NOW)
    assert router.ejector.ejected(NOW) == {"a"}


def test_an_abandoned_request_leaves_no_state_behind():
    router = make_router(ProxyLimits(ejection_failures=1))
    request = router.admit("read", "k", NOW)
    router.next_attempt(request, NOW)
    router.abandon(request, NOW + S)
    assert (router.in_flight, dict(router.in_flight_by_endpoint), router.ejector.ejected(NOW)) == (
        0,
        {},
        set(),
    )
    timed_out = router.admit("read", "k", NOW)
    attempt = router.next_attempt(timed_out, NOW)
    router.abandon(timed_out, NOW + 5 * S)  # no answer until the deadline counts as a failure
    assert router.ejector.ejected(NOW + 5 * S) == {attempt.endpoint}


def test_an_attempt_has_the_tables_timeout_and_the_last_one_all_that_remains():
    router = make_router(
        tables={"read": EndpointTable("0.1/read", dict.fromkeys("ab", 1), 1.0, 1, False, 0.5, 3.0)}
    )
    request = router.admit("read", "k", NOW)
    assert router.next_attempt(request, NOW).deadline_ns == NOW + S // 2
    assert not router.attempt_ended(request, AttemptOutcome.TIMED_OUT, NOW + S // 2)
    assert router.next_attempt(request, NOW + S // 2).deadline_ns == NOW + 3 * S


OUTCOMES = [
    AttemptOutcome.SUCCEEDED,
    AttemptOutcome.FAILED,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.REFUSED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.WITHDRAWN,
    None,
]


@given(st.lists(st.sampled_from(OUTCOMES), max_size=60), st.integers(0, 3), st.booleans())
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_any_sequence_of_outcomes_leaves_nothing_in_flight_and_tries_no_endpoint_twice(
    outcomes, max_retries, requires_proof
):
    router = make_router(
        ProxyLimits(ejection_failures=2),
        {"read": EndpointTable("0.1/read", dict.fromkeys("abcd", 1), 1.0, max_retries, requires_proof)},
    )
    now, remaining = NOW, iter(outcomes)
    for outcome in remaining:
        request = router.admit("read", "k", now)
        endpoints, finished = [], False
        while not finished and (attempt := router.next_attempt(request, now)) is not None:
            endpoints.append(attempt.endpoint)
            now += S // 7
            if outcome is None:
                break
            finished = router.attempt_ended(request, outcome, now)
            outcome = next(remaining, AttemptOutcome.SUCCEEDED)
        router.abandon(request, now)
        assert len(set(endpoints)) == len(endpoints) <= 4
    assert (router.in_flight, dict(router.in_flight_by_endpoint)) == (0, {})
