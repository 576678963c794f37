"""Versions, rollbacks and rejections on a controller."""

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import TimerFired
from swiftchute.discovery.endpoint_list import EndpointListChange

S = 1_000_000_000
NOW = 1000 * S


@pytest.fixture
def controller(fixed):
    """A core with a table of three servers, pushed and acknowledged: (core, decider, round)."""
    core, decider = fixed
    entries = [EndpointRecord(n, "east", "", 0, "ready", 1.0, 0) for n in "abd"]
    core.listed(EndpointListChange("held", tuple(entries), ()))
    core.joined("p", "east", 1.0, True)

    def play(now, *writes):
        decider.writes = list(writes)
        core.calls.append(TimerFired(0))
        pushed = [p for p, _ in core.turn(now).pushes + core.turn(now + S // 2).pushes]
        if "p" in pushed:
            core.held("p")
            core.settled("p", NOW)
        return pushed

    play(NOW, *[("set_weight", 1, n, 1.0) for n in "abd"], ("assign_table", "p", 1, 0))
    return core, play


def weights(core):
    return {n: w for content in core.held("p").contents.values() for n, _, w in content.lines}


def test_each_change_is_recorded_with_its_cause(controller):
    core, play = controller
    play(NOW + S, ("set_weight", 1, "a", 2.0))
    play(NOW + 2 * S, ("set_admission", 1, 0, 0.5, 1))
    core.listed(EndpointListChange(
        "changes", (EndpointRecord("b", "east", "", 0, "draining", 1.0, 0),), ()))  # fmt: skip
    play(NOW + 3 * S, ("set_weight", 1, "b", 0.0))
    assert [c.cause for c in core.history.changes("0.1")] == ["list", "level", "health", "start"]


def test_a_rollback_is_a_desired_state_that_ends_by_itself(controller):
    core, play = controller
    play(NOW + S, ("set_weight", 1, "a", 50.0), ("set_admission", 1, 0, 0.5, 1))
    bad = core.history.newest_change("0.1")
    core.pin("0.1", "~1", 60 * S, False, "rollback", NOW + 2 * S)
    assert play(NOW + 2 * S) == ["p"]
    assert weights(core) == {"a": 1.0, "b": 1.0, "d": 1.0}
    assert [c.levels[0][0] for c in core.held("p").contents.values()] == [0.5]
    (row,) = core.explain(NOW + 3 * S)
    assert [(line["server"], line["why"][:8]) for line in row["lines"]] == [("a", "held at ")]
    # the module's orders meanwhile change nothing, and a drain leaves the pinned table
    play(NOW + 4 * S, ("set_weight", 1, "a", 70.0))
    assert weights(core)["a"] == 1.0
    core.listed(EndpointListChange(
        "changes", (EndpointRecord("b", "east", "", 0, "draining", 1.0, 0),), ()))  # fmt: skip
    play(NOW + 5 * S)
    play(NOW + 6 * S)
    assert weights(core) == {"a": 1.0, "d": 1.0}
    assert play(NOW + 63 * S) == ["p"]
    assert weights(core)["a"] == 70.0
    assert core.history.newest_change("0.1").cause == "release"
    assert bad.version in {c.version for c in core.history.changes("0.1")}


def test_of_two_rollbacks_the_later_counts(controller):
    core, play = controller
    play(NOW + S, ("set_weight", 1, "a", 2.0))
    play(NOW + 2 * S, ("set_weight", 1, "a", 3.0))
    core.pin("0.1", "#0", 60 * S, False, "rollback", NOW + 3 * S)
    core.pin("0.1", "#1", 60 * S, False, "rollback", NOW + 3 * S)
    play(NOW + 3 * S)
    assert weights(core)["a"] == 2.0
    core.release("0.1", NOW + 4 * S)
    play(NOW + 4 * S)
    assert weights(core)["a"] == 3.0


def test_a_version_that_many_proxies_reject_is_rolled_back(controller):
    core, play = controller
    for p in "qr":
        core.joined(p, "east", 1.0, True)
    play(NOW + S, ("assign_table", "q", 1, 0), ("assign_table", "r", 1, 0))
    good = core.history.newest_change("0.1").version
    play(NOW + 2 * S, ("set_weight", 1, "a", 99.0))
    assert core.history.newest_change("0.1").version != good
    core.refused("q", ["0.1"], NOW + 3 * S)
    assert not core.pins.by_table
    core.refused("r", ["0.1"], NOW + 3 * S)
    play(NOW + 3 * S)
    assert core.history.newest_change("0.1").version == good
    assert core.history.newest_change("0.1").cause == "rollback"


def test_holder_counts_tell_acknowledged_from_pushed(controller):
    core, play = controller
    core.joined("q", "east", 1.0, True)
    play(NOW + S, ("assign_table", "q", 1, 0))
    first = core.history.newest_change("0.1").version
    play(NOW + 2 * S, ("set_weight", 1, "a", 2.0))
    second = core.history.newest_change("0.1").version
    assert core.sent.holder_counts("0.1") == {second: (1, 1), first: (0, 1)}
