"""The maximum share of one endpoint."""

import pytest

from tests.support.safety import proposal, status, validate


def test_one_of_several_endpoints_gets_no_more_than_the_maximum_share():
    statuses = {n: status() for n in "abc"}
    verdict = validate({1: proposal(a=100.0, b=1.0, c=1.0)}, statuses, max_endpoint_share=0.6)
    weights, _ = verdict.tables[1]
    assert weights["a"] / sum(weights.values()) == pytest.approx(0.6)
