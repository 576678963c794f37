"""Weights and limits of endpoints that are warming up."""

import pytest

from swiftchute.policy.admission import share_admission
from swiftchute.policy.load_stats import request_rate
from swiftchute.policy.slow_start import limit_warming_endpoints, max_request_rate
from tests.support.policy import CALM, list_changes


def test_weight_of_a_new_endpoint_grows_from_a_quarter(started):
    started.run(5, CALM, requests=10)
    started.run_round(list_changes([started.endpoint("e9", age_s=0)]))
    weights = []
    for _ in range(20):
        started.run(1, CALM, requests=1)
        weights.append(started.table().desired["e9"])
    assert 0.25 <= weights[0] < 0.31
    assert weights[-1] == pytest.approx(1.0, rel=0.1)
    assert sorted(weights) == weights
    assert len(set(weights)) <= 12


def test_warming_endpoints_are_limited_by_the_observed_throughput_of_their_zone(started):
    """With three of four endpoints warming up, a quarter of the weight each would still be too much."""
    started.run(6, CALM, requests=40)
    records = [started.endpoint(f"e{k}", age_s=0) for k in range(1, 4)]
    started.run_round(list_changes(records), wait_s=1.1)
    desired = started.table().desired
    rate = request_rate(started.state.proxies[0])
    endpoint = started.state.endpoints["e1"]
    assert rate * desired["e1"] / sum(desired.values()) <= max_request_rate(started.state, endpoint) * 1.01
    assert desired["e1"] < 0.25


def test_table_of_warming_endpoints_alone_lowers_its_admission_rate(make_harness):
    harness = make_harness(zones=("east",))
    harness.start(west=0, proxies=("east",))
    harness.run(6, {f"e{k}": (5, 0, 0.1) for k in range(4)}, requests=40)
    harness.run_round(
        list_changes([harness.endpoint(f"e{k}", age_s=0) for k in range(4)]),
        wait_s=1.1,
    )
    (limit,) = harness.table().desired_admission.limits
    assert 0 < limit.value < 0.5


def test_overloaded_zone_excludes_warming_endpoints(started):
    started.run(5, CALM)
    started.run_round(list_changes([started.endpoint("e9", age_s=0)]))
    assert "e9" in started.table().desired
    started.run(3, {f"e{k}": (20, 19, 0.9) for k in range(4)}, requests=40)
    assert "e9" not in started.table().desired


def test_warming_endpoints_wait_for_four_evaluations_after_a_start(make_harness):
    """The first reports come from the first proxies to connect; later ones may bring an overload."""
    harness = make_harness()
    harness.start()
    harness.run_round(list_changes([harness.endpoint("e9", age_s=1)]))
    harness.run(2, CALM)
    assert "e9" not in harness.table().desired
    harness.run(3, CALM)
    assert "e9" in harness.table().desired


def test_tables_with_warming_endpoints_allow_no_retries(started):
    started.run(5, CALM)
    assert started.table().desired_admission == share_admission(1.0, may_retry=True)
    started.run_round(list_changes([started.endpoint("e9", age_s=0)]))
    assert started.table().desired_admission == share_admission(1.0, may_retry=False)


def test_warming_endpoint_is_limited_by_the_request_rate_of_its_own_subset(make_harness):
    """The zone's rate would be wrong: a subset gets only a part of it."""
    harness = make_harness(subset_size=2)
    harness.start(proxies=("east",) * 4)
    assert harness.state.subset_counts["east"] == 2
    harness.run(6, {f"e{k}": (5, 0, 0.1) for k in range(4)}, requests=5)
    harness.run_round(list_changes([harness.endpoint("e9", age_s=0)]))
    harness.run(3, {f"e{k}": (5, 0, 0.1) for k in range(4)}, requests=5)
    (table,) = [table for table in harness.state.all_tables() if "e9" in table.desired]
    endpoint = harness.state.endpoints["e9"]
    subset_rate = sum(
        request_rate(proxy) for proxy in harness.state.proxies.values() if proxy.subset == table.subset
    )
    share = table.desired["e9"] / sum(table.desired.values())
    assert share * subset_rate == pytest.approx(
        min(max_request_rate(harness.state, endpoint), 0.3 * subset_rate), rel=0.3
    )


@pytest.mark.parametrize("warming, remain", [(8, True), (1, False)])
def test_warming_endpoints_stay_in_an_overloaded_table_that_they_could_serve(make_harness, warming, remain):
    """Proxies avoid failing endpoints: the others get all requests, more than a few can serve."""
    harness = make_harness()
    harness.start(proxies=("east",) * 4)
    harness.run(6, {f"e{k}": (5, 0, 0.1) for k in range(4)}, requests=5)
    names = [f"c{k}" for k in range(warming)]
    harness.run_round(list_changes([harness.endpoint(name, age_s=8) for name in names]))
    harness.state.load_ratios["east"] = 2.0
    table = harness.table()
    entries = dict.fromkeys(["e0", "e1", "e2", "e3", *names], 1.0)
    limit_warming_endpoints(harness.state, table, entries)
    assert (set(names) <= entries.keys()) == remain
    assert not remain or all(0 < entries[name] <= 1.0 for name in names)
