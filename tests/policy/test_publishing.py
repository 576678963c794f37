"""Debounce, urgent entries and the content of pushes."""

from dataclasses import replace

import pytest

from tests.support.policy import CALM, list_changes, weights_in
from tests.support.settings import operation


def test_changes_are_debounced_and_only_changed_entries_are_pushed(started):
    harness = started
    assert harness.run_round(list_changes([harness.endpoint("e8")]), wait_s=1.5).of("set_weight") == []
    assert harness.run_round(list_changes([harness.endpoint("e9")]), wait_s=0.1).of("set_weight") == []
    commands = harness.run_round(wait_s=0.3)
    assert set(weights_in(commands, harness.table())) == {"e8", "e9"}
    assert commands.of("assign_table") == []


def test_steady_changes_are_pushed_after_a_second_at_the_latest(started):
    harness, pushes = started, 0
    harness.run(1.5)
    for k in range(12):
        pushes += bool(
            harness.run_round(list_changes([harness.endpoint(f"n{k}")]), wait_s=0.1).of("set_weight")
        )
    assert pushes == 1


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_endpoint_that_is_not_ready_leaves_all_tables_at_once(started, state):
    commands = started.run_round(list_changes([started.endpoint("e0", state=state)]), wait_s=0.01)
    assert weights_in(commands, started.table())["e0"] == 0
    assert "e0" not in started.table().published


def test_entry_that_waits_for_removal_is_urgent_once_its_endpoint_drains(started):
    endpoint = started.state.endpoints["e0"]
    endpoint.subset = 9  # its entry leaves the table with the next ordinary push
    started.run_round()
    commands = started.run_round(list_changes([started.endpoint("e0", state="draining")]))
    assert (started.table().number, "e0", 0) in commands.of("set_weight")


def test_urgent_removal_does_not_wait_for_capacity_for_other_changes(make_harness):
    harness = make_harness(egress_queue_limit_entries=100.0)
    harness.start(east=12, proxies=("east",))
    harness.run(3, CALM)
    harness.state.proxies[0].unacknowledged_entries = {9999: 70}
    harness.budget.unacknowledged_entries = 70
    for endpoint in harness.state.endpoints.values():
        endpoint.health_weight = 1.3
    commands = harness.run_round(list_changes([harness.endpoint("e0", state="draining")]))
    assert [(endpoint, weight) for _, endpoint, weight in commands.of("set_weight")] == [("e0", 0)]


def test_first_endpoints_of_an_empty_table_do_not_wait_for_capacity_for_other_changes(make_harness):
    """Guards against proxies without an endpoint for an operation while ordinary pushes have to wait."""
    harness = make_harness(operations=(operation("read"), operation("write", zone_local=True)))
    harness.start(proxies=("east", "west"))
    harness.run(2)
    harness.run_round(list_changes([harness.endpoint(f"w{k}", "west", "gone") for k in range(4)]))
    harness.run(3)
    harness.state.proxies[0].unacknowledged_entries = {9999: 1200}
    harness.budget.unacknowledged_entries = 1200  # of 2000
    commands = harness.run_round(list_changes([harness.endpoint("w0", "west", age_s=1)]), wait_s=0.05)
    assert "w0" in weights_in(commands, harness.table("west", zone_local=True))


def test_warming_endpoints_are_not_left_alone_when_the_last_warm_one_drains(make_harness):
    """Guards against a removal that is pushed at once, and a limit and other endpoints that follow later."""
    harness = make_harness(operations=(operation("read"), operation("write", zone_local=True)))
    harness.start(proxies=("east", "west"))
    harness.run(6, CALM, requests=20)
    harness.run_round(list_changes([harness.endpoint(f"e{k}", age_s=1) for k in range(3)]))
    harness.run(3, CALM, requests=20)
    commands = harness.run_round(list_changes([harness.endpoint("e3", state="draining")]), wait_s=0.05)
    assert {"w0", "w1", "w2", "w3"} <= weights_in(commands, harness.table()).keys()
    local_table = harness.table(zone_local=True).number
    limits = [limit for number, _, limit, _ in commands.of("set_admission") if number == local_table]
    assert len(limits) == 1
    assert limits[0] < 0.5


def test_operations_with_side_effects_get_only_safe_retries(make_harness):
    pay = replace(operation("pay"), idempotency="side-effecting")
    commands = make_harness(operations=(operation("read"), pay), default_retry_policy=2).start()
    assert {retry_policy for _, _, _, retry_policy in commands.of("set_admission")} == {1}


def test_admission_by_rate_admits_everything(make_harness):
    commands = make_harness(admission_mode="rate").start()
    assert all(rate > 1000 for _, _, rate, _ in commands.of("set_admission"))
