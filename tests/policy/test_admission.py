"""Shares as limits by rate."""

import pytest

from swiftchute.api.events import DemandReport
from swiftchute.policy.admission import UNKNOWN_DEMAND_LIMIT, admission_of
from swiftchute.policy.units import NS_PER_S


@pytest.mark.parametrize(
    "rates, share, limit",
    [
        ([4, 4, 4, 4], 0.5, 2.0),
        ([1, 1, 1, 9], 0.5, 3.0),  # three quiet proxies are not limited
        ([20, 0, 0, 0], 0.25, 5.0),
        ([2, 4, 6, 8], 0.9, 6.0),
        (
            [0, 0, 0, 0],
            0.5,
            5.0 * 0.5,
        ),  # nothing came yet: by the announced 10 a second, half for each operation
    ],
)
def test_all_proxies_together_admit_the_share_of_an_operation(make_harness, rates, share, limit):
    """Guards against a limit that is the share of the mean, under which busy proxies admit too little."""
    harness = make_harness(admission_mode="rate")
    harness.start(proxies=("east",) * len(rates))
    reports = [DemandReport(proxy, "read", rate, 0, NS_PER_S) for proxy, rate in enumerate(rates) if rate]
    others = [DemandReport(proxy, "write", 1, 0, NS_PER_S) for proxy in range(len(rates))]
    harness.run_round(*reports, *others, wait_s=0.1)
    limits = dict(admission_of(harness.state, harness.table(), share, may_retry=True).limits)
    assert limits[1] == pytest.approx(limit)


def test_operations_get_limits_by_their_own_demand_and_unknown_demand_is_limited(make_harness):
    """Guards against a light operation that loses all, or is not limited, beside a heavy one."""
    harness = make_harness(admission_mode="rate")
    harness.start(proxies=("east",))
    reports = [DemandReport(0, name, count, 0, NS_PER_S) for name, count in (("read", 40), ("write", 2))]
    harness.run_round(*reports, wait_s=0.1)
    admission = admission_of(harness.state, harness.table(), 0.5, may_retry=False)
    assert dict(admission.limits) == {1: 20.0, 2: 1.0}
    harness.state.proxies.clear()
    assert {limit.value for limit in admission_of(harness.state, harness.table(), 0.5, True).limits} == {
        UNKNOWN_DEMAND_LIMIT
    }
