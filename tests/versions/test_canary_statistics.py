"""Canary statistics: regressions, and the fraction of requests that a change moves."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.versions.canary_statistics import (
    MIN_REQUESTS,
    ReportTotals,
    moved_fraction,
    regression,
    weight_shares,
)


def test_high_latency_is_a_regression_and_too_few_requests_give_none():
    many = 10 * MIN_REQUESTS
    slow, quick = ReportTotals(many, 0, many * 900, many), ReportTotals(many, 0, many * 300, many)
    assert "ms a good answer" in regression(slow, quick, 3.0)
    assert regression(quick, slow, 3.0) == ""
    assert (
        regression(ReportTotals(MIN_REQUESTS - 1, MIN_REQUESTS - 1, 0, 0), ReportTotals(many, 0, 0, 0), 3.0)
        == ""
    )


@given(one=st.dictionaries(st.sampled_from("abc"), st.floats(0.01, 9), min_size=1),
       two=st.dictionaries(st.sampled_from("abc"), st.floats(0.01, 9), min_size=1))  # fmt: skip
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_the_moved_fraction_is_half_of_the_absolute_differences(one, two):
    one, two = weight_shares(one), weight_shares(two)
    assert moved_fraction(one, two) == pytest.approx(
        sum(abs(one.get(n, 0) - two.get(n, 0)) for n in "abc") / 2
    )
