"""What the safety rules hold back, what they publish without commands, and what they must not delay."""

import pytest

from swiftchute.api.events import DemandReport, EndpointLoadReport, PushAcknowledged
from swiftchute.controller.controller import Controller
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.safety.proposal import SafetyRules
from tests.support.controller import (
    NS_PER_S,
    SETTINGS,
    InterferingPolicy,
    command,
    list_change,
    log_events,
    play,
    published_weights,
    record,
    start,
)


class OneTablePolicy:
    """Commands one table once: endpoint `c:1` has a thousand times the weight of the two warm endpoints."""

    def __init__(self, settings, seed):
        self.done = False

    def reconcile(self, now, events, commands):
        if not self.done:
            self.done = True
            for endpoint, weight in (("a:1", 1.0), ("b:1", 1.0), ("c:1", 1000.0)):
                commands.set_weight(1, endpoint, weight)
            commands.assign_table("p", 1, 0)


def acknowledgements(controller):
    """Return (proxy, nonce) of the acknowledgements that wait for the policy."""
    return [
        (event.proxy, event.nonce)
        for event in controller.runner.pending_events
        if isinstance(event, PushAcknowledged)
    ]


def test_an_invalid_weight_is_ignored_and_does_not_crash_the_policy(guarded_controller):
    before = published_weights(guarded_controller)
    InterferingPolicy.interference = lambda commands: [
        commands.set_weight(1, "a:1", weight) for weight in (float("nan"), -1.0)
    ]
    events = log_events(play(guarded_controller, 2 * NS_PER_S, 1))
    assert (
        "invalid weights ignored",
        {"rule": "bad weight", "lines": [[1, "a:1", "nan"], [1, "a:1", "-1.0"]]},
    ) in events
    assert guarded_controller.counts["faults"] == 0
    assert published_weights(guarded_controller) == before


def test_a_cleared_table_is_not_published(guarded_controller):
    InterferingPolicy.interference = lambda commands: commands.clear_table(1)
    events = log_events(play(guarded_controller, 2 * NS_PER_S, 1))
    assert published_weights(guarded_controller) == {"a:1": 1.0, "b:1": 1.0}
    (first, *_) = [fields for name, fields in events if name == "guard"]
    assert (first["rule"], first["table"], first["done"]) == ("empty pool", 1, "mended")


def test_a_table_held_back_longer_than_the_drain_grace_is_logged_once(guarded_controller):
    InterferingPolicy.interference = lambda commands: commands.clear_table(1)
    names = [name for name, _ in log_events(play(guarded_controller, 2 * NS_PER_S, 6))]
    assert names.count("guard") == 1  # logged once, then counted
    assert names.count("table held") == 1
    assert guarded_controller.publish_gate.counts["empty pool"] >= 5


def test_the_limit_of_a_warming_endpoint_rises_without_commands():
    controller = Controller(SETTINGS, 7, OneTablePolicy, safety_rules=SafetyRules())
    controller.on_list_update(list_change("a:1", "b:1"))
    controller.on_list_update(EndpointListChange("changes", (record("c:1", started_ns=1),), ()))
    controller.on_proxy_connected("p", "east", 10.0, True)
    weights, pushes = [], 0
    for second in range(18):
        pushes += sum(len(output.pushes) for output in play(controller, second * NS_PER_S, 1))
        weights.append(published_weights(controller)["c:1"])
    assert weights[0] == pytest.approx(0.6 * 2.5 * 0.2, rel=0.1)
    assert weights == sorted(weights)
    assert weights[-1] == 1000.0  # warm: the table is published as commanded
    assert pushes > 5


def test_without_enforcement_tables_are_published_as_commanded_and_violations_logged():
    controller = Controller(SETTINGS, 7, InterferingPolicy, safety_rules=SafetyRules(), enforce=False)
    start(controller, "a:1", "b:1")
    play(controller, 0, 2)
    InterferingPolicy.interference = lambda commands: commands.clear_table(1)
    events = log_events(play(controller, 2 * NS_PER_S, 1))
    assert published_weights(controller) == {}
    assert [fields["done"] for name, fields in events if name == "guard"][:1] == ["warned"]


def test_oscillating_weights_leave_part_of_the_message_quota_for_drains(busy_controller):
    """Guards against a drain that is late because oscillating weights have used up the message quota."""
    controller, policy = busy_controller
    now = 1001 * NS_PER_S
    for k in range(20):
        now += NS_PER_S // 4
        command(controller, policy, now, ("set_weight", 1, "a", 1.0 + k % 2), ("request_ack", k, False))
    used = len(controller.egress_queue.send_times_ns["p"])
    assert used <= 0.8 * SETTINGS.message_quota
    controller.on_list_update(list_change("b", scope="changes", state="draining"))
    now += NS_PER_S // 4
    pushes = command(controller, policy, now, ("set_weight", 1, "b", 0.0), ("set_weight", 1, "a", 9.0))
    assert "p" in [proxy for proxy, _ in pushes]
    assert published_weights(controller).keys() == {"a", "d"}


def test_the_nonce_of_a_withheld_message_is_acknowledged_once_the_proxy_is_up_to_date(busy_controller):
    """An unacknowledged nonce would keep egress budget reserved in the policy and delay assignments."""
    controller, policy = busy_controller
    send_times_ns = controller.egress_queue.send_times_ns["p"]
    send_times_ns.extend([1001 * NS_PER_S] * 9)  # nearly the whole message quota
    before = controller.tables_of("p")
    pushes = command(
        controller,
        policy,
        1002 * NS_PER_S,
        ("set_weight", 1, "a", 5.0),
        ("set_weight", 2, "a", 5.0),
        ("request_ack", 8, False),
    )
    assert pushes == [("q", 8)]
    assert controller.tables_of("p").contents == before.contents
    assert acknowledgements(controller) == []
    controller.on_fully_acknowledged("p", 1003 * NS_PER_S)
    assert acknowledgements(controller) == [("p", 8)]


def test_a_share_moved_to_another_table_waits_for_the_acknowledgement_of_the_first(busy_controller):
    controller, policy = busy_controller
    now = 1001 * NS_PER_S
    for _ in range(8):  # each endpoint serves 10 requests per second, and each proxy receives 10
        now += NS_PER_S
        controller.runner.pending_events += [
            EndpointLoadReport("east", endpoint, 10, 0, 1, NS_PER_S, None) for endpoint in "abd"
        ]
        controller.runner.pending_events += [DemandReport(proxy, "read", 10, 0, NS_PER_S) for proxy in "pq"]
        command(controller, policy, now)
    # the new endpoint may get 4.5 requests per second; p sends it 2.9 of its 10
    controller.on_list_update(EndpointListChange("changes", (record("c", started_ns=now),), ()))
    command(controller, policy, now + NS_PER_S, ("set_weight", 1, "c", 1.2))
    controller.on_fully_acknowledged("p", 1001 * NS_PER_S)
    controller.on_fully_acknowledged("q", 1001 * NS_PER_S)
    moved = (("set_weight", 1, "c", 0.0), ("set_weight", 2, "c", 1.2))
    command(controller, policy, now + 2 * NS_PER_S, *moved)
    # p may still use its old table
    assert controller.publish_gate.allowed[2][0].get("c", 0.0) < 1.0
    controller.on_fully_acknowledged("p", 1001 * NS_PER_S)
    controller.on_fully_acknowledged("q", 1001 * NS_PER_S)
    controller.run_round(now + 4 * NS_PER_S)
    controller.run_round(now + 6 * NS_PER_S)
    assert controller.publish_gate.allowed[2][0]["c"] == pytest.approx(1.2)


def test_a_drain_ignored_by_the_policy_is_published_within_half_a_second_of_the_list_change(busy_controller):
    controller, _ = busy_controller
    now = 1001 * NS_PER_S + NS_PER_S // 10
    controller.run_round(now)
    controller.on_list_update(list_change("b", scope="changes", state="draining"))
    pushes = controller.run_round(now + 5_000_000).pushes  # an event triggers a round soon after
    while now < 1002 * NS_PER_S and len(pushes) < 2:
        now = max(controller.next_deadline_ns, now + 1)
        pushes += controller.run_round(now).pushes
    assert {proxy for proxy, _ in pushes} == {"p", "q"}
    assert now - 1001 * NS_PER_S - NS_PER_S // 10 < NS_PER_S // 2
    assert all(
        "b" not in [entry.endpoint for entry in content.entries]
        for content in controller.tables_of("p").contents.values()
    )
