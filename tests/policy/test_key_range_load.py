"""Which endpoints get key ranges: an endpoint that has just started gets no more than it can serve."""

from collections import Counter

import pytest

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import (
    EndpointListUpdate,
    KeyRangeAssigned,
    KeyRangeDemandReport,
    KeyRangeEntryRestored,
    ProxyConnected,
)
from tests.support.key_range_fleet import KeyRangeFleet
from tests.support.policy import list_changes


def key_ranges_by_endpoint(fleet):
    return Counter(name for _, names in fleet.store.values() for name in names)


def roll(fleet, count):
    """Replace endpoints one after the other; the next one drains right after a successor is listed."""
    for number in range(count):
        fleet.change(f"e{number}", "draining")
        fleet.run(3)
        fleet.change(f"e{number}", "gone")
        fleet.change(f"n{number}", "ready")
        fleet.run(0.2)


@pytest.mark.parametrize("single_owner", [False, True])
def test_successors_in_a_rolling_deploy_are_not_sent_more_than_they_can_serve(single_owner):
    """Guards against a cold endpoint that gets all key ranges of the next one that drains."""
    fleet = KeyRangeFleet(ranges=24, single_owner=single_owner, start_capacity_fraction=0.1)
    fleet.run(2)
    roll(fleet, 4)
    fleet.run(40)
    assert fleet.violations == []
    counts = key_ranges_by_endpoint(fleet)  # 4 each at the start
    assert set(counts) == {"n0", "n1", "n2", "n3", "e4", "e5"}
    assert max(counts.values()) <= 5


@pytest.mark.parametrize("single_owner", [False, True])
def test_an_endpoint_that_restarts_in_place_gives_up_key_ranges(single_owner):
    """Guards against a restarted endpoint that keeps the load of a warm one."""
    fleet = KeyRangeFleet(ranges=24, single_owner=single_owner)
    fleet.run(2)
    fleet.change("e0", "ready")
    fleet.run(5)
    assert key_ranges_by_endpoint(fleet)["e0"] <= 1
    fleet.run(30)
    assert fleet.violations == []
    assert key_ranges_by_endpoint(fleet)["e0"] >= 2


def test_admission_is_limited_while_no_endpoint_is_warm():
    """Guards against a fleet that restarts as a whole and falls over under the load of a warm one."""
    fleet = KeyRangeFleet(ranges=24)
    fleet.run(2)
    for name in list(fleet.states):
        fleet.change(name, "ready")
    fleet.run(3)
    assert {proxy.admission < 0.5 for proxy in fleet.proxies.values()} == {True}
    fleet.run(20)
    assert {proxy.admission for proxy in fleet.proxies.values()} == {1.0}
    assert fleet.violations == []


@pytest.fixture
def measured(make_harness):
    """Key ranges 1 to 4 of endpoints e0 and e1, with reported request rates; returns the harness."""

    def start(**rates):
        harness = make_harness(key_range_count=4)
        events = [EndpointListUpdate(ListScope.CACHED, [harness.endpoint("e0"), harness.endpoint("e1")])]
        for number in (1, 2, 3, 4):
            events += [KeyRangeAssigned(number), KeyRangeEntryRestored(number, f"e{number % 2}", 1.0)]
            requests = rates.get(f"range{number}", 10)
            events.append(KeyRangeDemandReport(number, "read", requests, 0, 10**9))
        harness.run_round(*events)
        return harness

    return start


@pytest.mark.parametrize("requests, owner", [(10, "e2"), (400, "e1")])
def test_a_warming_endpoint_gets_a_key_range_only_if_its_requests_fit(measured, requests, owner):
    """Guards against key ranges that count alike whatever comes for them."""
    harness = measured(range2=requests, range4=0)
    changes = [harness.endpoint("e2", age_s=12), harness.endpoint("e0", state="draining")]
    assert (2, owner, 1) in harness.run_round(list_changes(changes)).of("set_weight")


def test_a_key_range_with_several_endpoints_keeps_those_that_are_ready(measured):
    harness = measured()
    harness.run_round(KeyRangeEntryRestored(1, "e0", 0.5))
    changes = list_changes([harness.endpoint("e1", state="draining")])
    assert harness.run_round(changes).of("set_weight") == [(1, "e1", 0), (3, "e0", 1), (3, "e1", 0)]


@pytest.mark.parametrize("single_owner", [False, True])
def test_key_ranges_leave_the_last_endpoint_when_it_drains(single_owner):
    """Guards against requests to a draining endpoint for as long as no other one is ready."""
    fleet = KeyRangeFleet(single_owner=single_owner)
    fleet.run(2)
    for name in list(fleet.states):
        fleet.change(name, "draining")
    fleet.run(5)
    assert not key_ranges_by_endpoint(fleet)
    fleet.change("n0", "ready")
    fleet.run(3)
    assert key_ranges_by_endpoint(fleet) == {"n0": 12}
    assert [violation for violation in fleet.violations if violation[1] == "drain"] == []


def test_a_key_range_that_is_assigned_while_admission_is_limited_gets_the_limit(make_harness):
    """Guards against a limit that is lifted for nobody, or missing for a key range that came later."""
    harness = make_harness(key_range_count=2)
    cold = [harness.endpoint("e0", age_s=0.1), harness.endpoint("e1", age_s=0.1)]
    harness.run_round(EndpointListUpdate(ListScope.CACHED, cold), KeyRangeAssigned(1))
    assert harness.run_round(KeyRangeAssigned(2), wait_s=0.1).of("set_admission") == [(None, 0, 0.21, 1)]
    commands = [harness.run_round(KeyRangeAssigned(1), wait_s=16.0), harness.run_round(wait_s=2)]
    assert commands[0].of("set_admission") + commands[1].of("set_admission") == [(None, 0, 1.0, 1)]


@pytest.mark.parametrize("single_owner", [False, True])
@pytest.mark.parametrize("admission_mode", ["rate", "none"])
def test_key_ranges_wait_while_no_endpoint_is_warm_and_no_limit_protects_them(admission_mode, single_owner):
    """Guards against a fleet that restarts as a whole where limits are rates or off."""
    warm_up = {"start_capacity_fraction": 0.1, "max_warmup_ns": 40 * 10**9}
    fleet = KeyRangeFleet(ranges=24, admission_mode=admission_mode, single_owner=single_owner, **warm_up)
    fleet.run(2)
    for name in list(fleet.states):
        fleet.change(name, "ready")
    fleet.run(24)
    assert sum(key_ranges_by_endpoint(fleet).values()) >= 12
    fleet.run(20)
    assert sum(key_ranges_by_endpoint(fleet).values()) == 24
    assert fleet.violations == []


def test_admission_falls_as_far_as_one_starting_endpoint_of_many_needs(make_harness):
    """Guards against a lower bound of the limit that is more than the endpoint can serve."""
    harness = make_harness(key_range_count=12)
    records = [harness.endpoint(f"e{number}") for number in range(12)]
    assigned = [KeyRangeAssigned(number) for number in range(12)]
    harness.run_round(EndpointListUpdate(ListScope.CACHED, records), *assigned)
    left = [harness.endpoint(f"e{number}", state="gone") for number in range(1, 12)]
    commands = harness.run_round(list_changes([*left, harness.endpoint("e0", age_s=0)]), wait_s=2)
    limits = [limit for _, _, limit, _ in commands.of("set_admission")]
    assert limits == [pytest.approx(0.3 / 12)]  # at 0.3 of its capacity


def test_a_warming_endpoint_is_not_pushed_over_for_a_warm_one_that_has_more_than_its_share(measured):
    """Guards against a choice by the load alone, where the warm endpoints are short of capacity."""
    harness = measured()
    changes = [harness.endpoint("e2", age_s=2), harness.endpoint("e0", state="draining")]
    weights = harness.run_round(list_changes(changes)).of("set_weight")
    assert {name for _, name, weight in weights if weight} == {"e1"}


def test_warming_endpoints_share_the_load_evenly_if_none_is_warm(measured):
    """Guards against one of them that keeps what it served before it restarted."""
    harness = measured()
    harness.run_round(list_changes([harness.endpoint("e0", state="gone")]))  # e1 serves all
    cold = [harness.endpoint("e1", age_s=0.1), harness.endpoint("e2", age_s=0.1)]
    weights = harness.run_round(list_changes(cold)).of("set_weight")
    assert sorted(weight for _, name, weight in weights if name == "e2") == [1, 1]


def test_the_limit_of_a_warming_endpoint_does_not_grow_when_others_leave(make_harness):
    """Guards against a fleet that shrinks: each endpoint's share is larger, its capacity is not."""
    harness = make_harness(key_range_count=4)
    names = ("e0", "e1", "e2", "e3")
    events = [EndpointListUpdate(ListScope.CACHED, [harness.endpoint(name) for name in names])]
    for number, name in enumerate(names):
        events += [KeyRangeAssigned(number), KeyRangeEntryRestored(number, name, 1.0)]
    harness.run_round(*events)
    gone = [harness.endpoint(name, state="gone") for name in names[1:]]
    changes = list_changes([*gone, harness.endpoint("e4", age_s=8)])  # at 0.6 of its capacity
    assert {name for _, name, weight in harness.run_round(changes).of("set_weight") if weight} == {"e0"}


def test_the_key_range_that_has_waited_longest_for_the_channel_comes_first(measured):
    """Guards against key ranges of a low number that keep others waiting in a full channel."""
    harness = measured()
    harness.run_round(ProxyConnected(0, "east", 10.0, True))
    harness.budget.unacknowledged_entries = 1800
    harness.run_round(list_changes([harness.endpoint("e2"), harness.endpoint("e0", state="draining")]))
    harness.run_round(list_changes([harness.endpoint("e1", state="draining")]), wait_s=0.1)
    harness.budget.unacknowledged_entries = 1800 - 8  # room for one message with two entries
    weights = harness.run_round(wait_s=0.1).of("set_weight")
    assert weights == [(2, "e2", 1), (2, "e0", 0)]
