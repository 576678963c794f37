"""Slow start: what all tables together may send an endpoint that warms up."""

import pytest

from swiftchute.safety.proposal import (
    PendingShare,
    Proposal,
)
from tests.support.safety import proposal, status, validate, violated


def test_a_table_of_endpoints_that_warm_up_gets_a_lower_admission_rate():
    statuses = {f"s{k}": status(age=0) for k in range(100)}
    verdict = validate({1: proposal(demand=1000.0, **dict.fromkeys(statuses, 1.0))}, statuses)
    weights, admission_rate = verdict.tables[1]
    assert len(weights) == 100
    assert admission_rate == pytest.approx(100 * 2.5 * 0.2 * 10 / 1000)
    assert violated(verdict) == {"only cold servers"}


def test_a_table_left_empty_for_endpoints_that_warm_up_is_filled_and_limited():
    """A policy without limits leaves it empty until they can serve half of the requests."""
    statuses = {f"s{k}": status(age=0) for k in range(100)}
    verdict = validate({1: proposal(demand=1000.0)}, statuses)
    weights, admission_rate = verdict.tables[1]
    assert len(weights) == 100
    assert admission_rate == pytest.approx(100 * 2.5 * 0.2 * 10 / 1000)


def test_two_tables_each_safe_alone_and_unsafe_together():
    statuses = {"a": status(), "c": status(age=0)}
    table = proposal(a=1.0, c=1.0, demand=8.0)
    assert validate({1: table}, statuses).violations == []
    both = validate({1: table, 2: table}, statuses)
    assert violated(both) == {"cold budget"}
    assert (
        sum(8.0 * weights["c"] / sum(weights.values()) for weights, _ in both.tables.values()) <= 5.0 * 1.01
    )


def test_without_request_rates_weights_are_compared():
    statuses = {"a": status(), "b": status(), "c": status(age=0)}
    within_limit = Proposal({"a": 1.0, "b": 1.0, "c": 0.25}, 1.0, frozenset({"east"}))
    assert validate({1: within_limit}, statuses, full={}).violations == []
    over_limit = Proposal({"a": 1.0, "b": 1.0, "c": 1000.0}, 1.0, frozenset({"east"}))
    verdict = validate({1: over_limit}, statuses, full={})
    assert violated(verdict) == {"cold budget"}
    assert verdict.tables[1][0]["c"] <= 0.5 * 1.01


def test_an_endpoint_that_warms_up_with_a_weight_of_a_million_gets_no_more_than_its_limit():
    statuses = {"a": status(), "c": status(age=0)}
    verdict = validate({1: proposal(a=1.0, c=1e6)}, statuses)
    weights, _ = verdict.tables[1]
    assert 10 * weights["c"] / sum(weights.values()) <= 5.0 * 1.01


def test_a_controller_with_half_of_the_proxies_gets_half_of_a_slow_start_limit():
    statuses = {"a": status(), "c": status(age=0)}
    proposed = {
        1: proposal(a=1.0, c=1.0, demand=8.0)
    }  # sends c 4 requests/s; all controllers together may send it 5
    assert validate(proposed, statuses).violations == []
    half = validate(proposed, statuses, known={"proxy_fraction": 0.5})
    assert violated(half) == {"cold budget"}
    weights, _ = half.tables[1]
    assert 8.0 * weights["c"] / sum(weights.values()) == pytest.approx(2.5, rel=0.01)
    # a peak rate that its own proxies observed in that zone counts in full
    assert (
        validate(
            proposed,
            statuses,
            known={"proxy_fraction": 0.5, "peak_rate_by_zone_and_kind": {("east", "east"): 10.0}},
        ).violations
        == []
    )


def test_two_pushes_each_safe_alone_and_unsafe_together_until_the_first_is_acknowledged():
    statuses = {"a": status(), "c": status(age=0)}
    before = {1: {"a": 1.0, "c": 1.0}, 2: {"a": 1.0}}
    without_c, with_c = (
        {"a": 1.0},
        {"a": 1.0, "c": 1.0},
    )  # c moves from table 1 to table 2; its limit is 5 requests/s
    unacknowledged = (
        PendingShare(1.0, {"c": 0.5}),
    )  # all of the proxies on table 1 still apply its old weights
    first = Proposal(without_c, 1.0, frozenset({"east"}), request_rate=8.0, pending=unacknowledged)
    second = proposal(demand=8.0, **with_c)
    assert validate({1: first}, statuses, before).violations == []
    assert validate({2: second}, statuses, before).violations == []
    verdict = validate({1: first, 2: second}, statuses, before)
    assert violated(verdict) == {"cold budget"}
    assert verdict.tables[1][0] == without_c
    weights, _ = verdict.tables[2]
    assert 4.0 + 8.0 * weights.get("c", 0.0) / sum(weights.values()) <= 5.0 * 1.01
    acknowledged = Proposal(without_c, 1.0, frozenset({"east"}), request_rate=8.0)
    assert validate({1: acknowledged, 2: second}, statuses, before).violations == []


def test_an_old_table_that_half_the_proxies_still_apply_counts_besides_the_new_one():
    statuses = {"a": status(), "c": status(age=0)}
    unacknowledged_half = (
        PendingShare(0.5, {"c": 0.5}),
    )  # half of them rejected the version with a smaller share of c: they send it 2 requests/s
    smaller_share = Proposal(
        {"a": 0.8, "c": 0.2}, 1.0, frozenset({"east"}), request_rate=8.0, pending=unacknowledged_half
    )
    verdict = validate(
        {1: smaller_share, 2: proposal(a=1.0, c=1.0, demand=5.0)}, statuses, {1: {"a": 1.0, "c": 1.0}}
    )
    # 2.0 from these, 0.8 from the other proxies of table 1 and 2.5 from table 2 exceed 5
    assert violated(verdict) == {"cold budget"}
    one, two = (verdict.tables[t][0] for t in (1, 2))
    other_rate = 4.0 * one.get("c", 0.0) / sum(one.values()) + 5.0 * two.get("c", 0.0) / sum(two.values())
    assert 2.0 + other_rate <= 5.0 * 1.01


def test_no_share_grows_while_earlier_tables_alone_exceed_the_limit():
    statuses = {"a": status(), "c": status(age=0)}
    unacknowledged_load = (PendingShare(0.5, {"c": 0.9}),)
    rising = Proposal(
        {"a": 0.8, "c": 0.2}, 1.0, frozenset({"east"}), request_rate=20.0, pending=unacknowledged_load
    )
    verdict = validate({1: rising}, statuses, {1: {"a": 0.9, "c": 0.1}})
    assert violated(verdict) == {"cold budget"}
    assert verdict.tables[1][0]["c"] / sum(verdict.tables[1][0].values()) == pytest.approx(0.1)
    falling = Proposal(
        {"a": 0.95, "c": 0.05}, 1.0, frozenset({"east"}), request_rate=20.0, pending=unacknowledged_load
    )
    assert validate({1: falling}, statuses, {1: {"a": 0.9, "c": 0.1}}).tables[1][0] == {"a": 0.95, "c": 0.05}


def test_a_table_with_only_a_warming_up_endpoint_leaves_other_tables_none_of_its_limit():
    statuses = {"a": status("west"), "c": status(age=0)}
    only_warming_up = proposal(local=True, demand=10.0, c=1.0)
    verdict = validate(
        {1: only_warming_up, 2: proposal(demand=5.0, a=1.0, c=1.0)}, statuses, {2: {"a": 1.0, "c": 1.0}}
    )
    assert verdict.tables[1] == ({"c": 1.0}, pytest.approx(0.5))
    assert verdict.tables[2][0] == {"a": 1.0}
    assert violated(verdict) == {"only cold servers", "cold budget"}
