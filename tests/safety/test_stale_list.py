"""Stale lists: the worst case compared with an enumeration, and which changes are reported."""

import itertools

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.safety.stale_list import worst_case_overload
from tests.support.safety import proposal, status, validate


def enumerated_worst_case(weights, rate, limits, k):
    """Try every choice of up to `k` endpoints that differ from the list, each restarted or removed."""
    worst = 0.0
    for count in range(1, k + 1):
        for chosen in itertools.combinations(weights, count):
            for restarted in itertools.product((True, False), repeat=count):
                removed = {
                    endpoint
                    for endpoint, is_restarted in zip(chosen, restarted, strict=True)
                    if not is_restarted
                }
                remaining = sum(weight for endpoint, weight in weights.items() if endpoint not in removed)
                for endpoint, is_restarted in zip(chosen, restarted, strict=True):
                    if is_restarted:
                        worst = max(worst, rate * weights[endpoint] / remaining / limits[endpoint])
    return worst


@given(
    st.lists(st.tuples(st.floats(0.01, 10), st.floats(0.1, 10)), min_size=1, max_size=6),
    st.integers(0, 4),
)
@hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
def test_the_worst_stale_list_is_that_of_an_enumeration(rows, k):
    weights = {f"s{n}": w for n, (w, _) in enumerate(rows)}
    budget = {f"s{n}": b for n, (_, b) in enumerate(rows)}
    ratio, cold, gone = worst_case_overload(weights, 7.0, budget, min(k, len(rows)))
    assert ratio == pytest.approx(enumerated_worst_case(weights, 7.0, budget, min(k, len(rows))))
    assert cold not in gone


def test_a_change_that_is_safe_only_with_an_up_to_date_list_is_reported():
    statuses = {f"s{k}": status() for k in range(5)}
    even, heavy = dict.fromkeys(statuses, 1.0), dict.fromkeys(statuses, 1.0) | {"s0": 9.0}
    verdict = validate({1: proposal(demand=20.0, **heavy)}, statuses, {1: even})
    (violation,) = verdict.violations
    assert (violation.rule, violation.endpoints, violation.outcome) == ("late list", ("s0",), "warned")
    assert validate({1: proposal(demand=20.0, **even)}, statuses, {1: heavy}).violations == []
