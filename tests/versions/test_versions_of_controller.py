"""Versions, rollbacks and rejections on a controller."""

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import TimerFired
from swiftchute.discovery.endpoint_list import EndpointListChange

S = 1_000_000_000
NOW = 1000 * S


@pytest.fixture
def started_controller(scripted_controller):
    """A controller with a table of three endpoints, pushed and acknowledged, and a function to run rounds."""
    controller, policy = scripted_controller
    entries = [EndpointRecord(n, "east", "", 0, "ready", 1.0, 0) for n in "abd"]
    controller.on_list_update(EndpointListChange("held", tuple(entries), ()))
    controller.on_proxy_connected("p", "east", 1.0, True)

    def run_rounds(now, *writes):
        policy.writes = list(writes)
        controller.runner.pending_events.append(TimerFired(0))
        pushed = [p for p, _ in controller.run_round(now).pushes + controller.run_round(now + S // 2).pushes]
        if "p" in pushed:
            controller.tables_of("p")
            controller.on_fully_acknowledged("p", NOW)
        return pushed

    run_rounds(NOW, *[("set_weight", 1, n, 1.0) for n in "abd"], ("assign_table", "p", 1, 0))
    return controller, run_rounds


def weights(controller):
    return {n: w for content in controller.tables_of("p").contents.values() for n, _, w in content.entries}


def test_each_change_is_recorded_with_its_cause(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 2.0))
    run_rounds(NOW + 2 * S, ("set_admission", 1, 0, 0.5, 1))
    controller.on_list_update(EndpointListChange(
        "changes", (EndpointRecord("b", "east", "", 0, "draining", 1.0, 0),), ()))  # fmt: skip
    run_rounds(NOW + 3 * S, ("set_weight", 1, "b", 0.0))
    assert [c.cause for c in controller.history.changes("0.1")] == ["list", "level", "health", "start"]


def test_a_rollback_is_a_desired_state_that_expires(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 50.0), ("set_admission", 1, 0, 0.5, 1))
    bad = controller.history.newest_change("0.1")
    controller.pin("0.1", "~1", 60 * S, False, "rollback", NOW + 2 * S)
    assert run_rounds(NOW + 2 * S) == ["p"]
    assert weights(controller) == {"a": 1.0, "b": 1.0, "d": 1.0}
    assert [c.admission[0][0] for c in controller.tables_of("p").contents.values()] == [0.5]
    (row,) = controller.explain(NOW + 3 * S)
    assert [(line["server"], line["why"][:8]) for line in row["lines"]] == [("a", "held at ")]
    # meanwhile the policy's commands have no effect, and a draining endpoint leaves the pinned table
    run_rounds(NOW + 4 * S, ("set_weight", 1, "a", 70.0))
    assert weights(controller)["a"] == 1.0
    controller.on_list_update(EndpointListChange(
        "changes", (EndpointRecord("b", "east", "", 0, "draining", 1.0, 0),), ()))  # fmt: skip
    run_rounds(NOW + 5 * S)
    run_rounds(NOW + 6 * S)
    assert weights(controller) == {"a": 1.0, "d": 1.0}
    assert run_rounds(NOW + 63 * S) == ["p"]
    assert weights(controller)["a"] == 70.0
    assert controller.history.newest_change("0.1").cause == "release"
    assert bad.version in {c.version for c in controller.history.changes("0.1")}


def test_the_later_of_two_rollbacks_counts(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 2.0))
    run_rounds(NOW + 2 * S, ("set_weight", 1, "a", 3.0))
    controller.pin("0.1", "#0", 60 * S, False, "rollback", NOW + 3 * S)
    controller.pin("0.1", "#1", 60 * S, False, "rollback", NOW + 3 * S)
    run_rounds(NOW + 3 * S)
    assert weights(controller)["a"] == 2.0
    controller.release("0.1", NOW + 4 * S)
    run_rounds(NOW + 4 * S)
    assert weights(controller)["a"] == 3.0


def test_a_version_that_many_proxies_reject_is_rolled_back(started_controller):
    controller, run_rounds = started_controller
    for p in "qr":
        controller.on_proxy_connected(p, "east", 1.0, True)
    run_rounds(NOW + S, ("assign_table", "q", 1, 0), ("assign_table", "r", 1, 0))
    good = controller.history.newest_change("0.1").version
    run_rounds(NOW + 2 * S, ("set_weight", 1, "a", 99.0))
    assert controller.history.newest_change("0.1").version != good
    controller.on_tables_rejected("q", ["0.1"], NOW + 3 * S)
    assert not controller.pins.by_table
    controller.on_tables_rejected("r", ["0.1"], NOW + 3 * S)
    run_rounds(NOW + 3 * S)
    assert controller.history.newest_change("0.1").version == good
    assert controller.history.newest_change("0.1").cause == "rollback"


def test_holder_counts_distinguish_acknowledged_from_pushed(started_controller):
    controller, run_rounds = started_controller
    controller.on_proxy_connected("q", "east", 1.0, True)
    run_rounds(NOW + S, ("assign_table", "q", 1, 0))
    first = controller.history.newest_change("0.1").version
    run_rounds(NOW + 2 * S, ("set_weight", 1, "a", 2.0))
    second = controller.history.newest_change("0.1").version
    assert controller.deliveries.holder_counts("0.1") == {second: (1, 1), first: (0, 1)}
