"""Canaries on a controller: what each proxy is pushed during and after a trial."""

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import TimerFired
from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller
from swiftchute.controller.load_aggregation import LoadReport
from swiftchute.controller.version_state import RetentionSettings
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.safety.proposal import SafetyRules
from tests.conftest import DEFAULTS, ScriptedPolicy, operation

S = 1_000_000_000
NOW = 1000 * S
PROXIES = {f"p{k}": float(k + 1) for k in range(8)}


@pytest.fixture
def started_controller():
    """A controller with eight proxies on a table of four endpoints, pushed and acknowledged."""
    policy = ScriptedPolicy()
    settings = Settings(**(DEFAULTS | {"operations": (operation("read"),), "egress_rate_entries_per_s": 1e6,
                                    "egress_queue_limit_entries": 1e6, "message_quota": 0}))  # fmt: skip
    retention = RetentionSettings(
        canary_fraction=0.25, canary_duration_ns=5 * S, max_canary_duration_ns=30 * S
    )
    controller = Controller(
        settings, 7, lambda settings, seed: policy, NOW, SafetyRules(), retention=retention
    )
    controller.on_list_update(
        EndpointListChange(
            "held", tuple(EndpointRecord(n, "east", "", 0, "ready", 1.0, 0) for n in "abcd"), ()
        )
    )
    for p, rate in PROXIES.items():
        controller.on_proxy_connected(p, "east", rate, True)

    def run_rounds(now, *writes):
        """Run rounds in which every push is acknowledged at once; return (pushed proxies, events)."""
        policy.writes = list(writes)
        controller.runner.pending_events.append(TimerFired(0))
        pushed, events = set(), []
        for at in (now, now + S // 10, now + S // 5):
            output = controller.run_round(at)
            events += output.log_events
            for p, _ in output.pushes:
                pushed.add(p)
                controller.on_fully_acknowledged(p, at)
        return pushed, [(name, fields) for name, fields in events if name.startswith(("canary", "table"))]

    run_rounds(
        NOW, *[("set_weight", 1, n, 1.0) for n in "abcd"], *[("assign_table", p, 1, 0) for p in PROXIES]
    )
    return controller, run_rounds


def held_weights(controller, proxy):
    return {n: w for content in controller.tables_of(proxy).contents.values() for n, _, w in content.entries}


def report(controller, at, canary_failures):
    """Every proxy reports on one second; `canary_failures` of 100 requests fail on the canary."""
    for p in PROXIES:
        failures = canary_failures if controller.canaries.is_canary("0.1", p) else 0
        controller.on_load_report(
            p,
            LoadReport(
                S, (("read", 100, failures),), (("a", 100, failures, 100 - failures, 100 - failures),)
            ),
            at,
        )


def test_a_large_change_reaches_the_least_busy_proxies_first_and_all_once_it_is_no_worse(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 9.0))
    assert [p for p in PROXIES if held_weights(controller, p)["a"] == 9.0] == ["p0", "p1"]
    assert [c.cause for c in controller.history.changes("0.1/rest")] == ["canary"]
    assert controller.deliveries.holder_counts("0.1")[controller.history.newest_change("0.1").version] == (
        2,
        0,
    )
    for k in range(2, 7):
        report(controller, NOW + k * S, 1)
    pushed, events = run_rounds(NOW + 7 * S)
    assert pushed >= set(PROXIES) - {"p0", "p1"}
    assert ("canary ended", "on") in [(name, fields.get("went")) for name, fields in events]
    assert all(held_weights(controller, p)["a"] == 9.0 for p in PROXIES)


def test_a_change_that_is_worse_is_rolled_back_and_pinned(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 9.0))
    report(controller, NOW + 3 * S, 50)
    pushed, events = run_rounds(NOW + 3 * S)
    assert {"p0", "p1"} <= pushed
    assert [name for name, _ in events] == ["canary ended", "table pinned"]
    assert all(held_weights(controller, p)["a"] == 1.0 for p in PROXIES)
    run_rounds(NOW + 4 * S, ("set_weight", 1, "a", 12.0))  # the policy's commands have no effect yet
    assert all(held_weights(controller, p)["a"] == 1.0 for p in PROXIES)


def test_beyond_the_rollback_limit_a_worse_change_completes_and_is_logged(started_controller):
    controller, run_rounds = started_controller
    controller.rejections.rollback_times.extend([NOW] * 3)
    run_rounds(NOW + S, ("set_weight", 1, "a", 9.0))
    report(controller, NOW + 3 * S, 50)
    events = controller.run_round(NOW + 3 * S).log_events
    assert [name for name, _ in events][-2:] == ["canary ended", "rollback refused"]
    run_rounds(NOW + 4 * S)
    assert all(held_weights(controller, p)["a"] == 9.0 for p in PROXIES)


def test_drains_reach_all_proxies_at_once_during_a_trial(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 9.0))
    controller.on_list_update(
        EndpointListChange("changes", (EndpointRecord("b", "east", "", 0, "draining", 1.0, 0),), ())
    )
    pushed, _ = run_rounds(NOW + 2 * S)
    assert pushed >= set(PROXIES) - {"p0", "p1"}
    for p in PROXIES:
        assert "b" not in held_weights(controller, p)
    assert held_weights(controller, "p7") == {"a": 1.0, "c": 1.0, "d": 1.0}
    assert held_weights(controller, "p0")["a"] == 9.0
    # it comes back restarted, and stays out of the baseline until the trial ends
    controller.on_list_update(
        EndpointListChange("changes", (EndpointRecord("b", "east", "", 0, "ready", 1.0, NOW + 2 * S),), ())
    )
    run_rounds(NOW + 3 * S, ("set_weight", 1, "b", 0.1))
    assert "b" not in held_weights(controller, "p7")


def test_admission_rates_are_never_tried_but_reach_all_proxies(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 9.0))
    pushed, _ = run_rounds(NOW + 2 * S, ("set_admission", 1, 0, 0.5, 1))
    assert pushed == set(PROXIES)
    for p in PROXIES:
        assert [content.admission[0][0] for content in controller.tables_of(p).contents.values()] == [0.5]
    assert held_weights(controller, "p7")["a"] == 1.0


def test_a_pin_ends_a_trial(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 9.0))
    controller.pin("0.1", "~0", 60 * S, False, "pin", NOW + 2 * S)
    run_rounds(NOW + 2 * S)
    assert not controller.canaries.open_trials
    assert all(held_weights(controller, p)["a"] == 9.0 for p in PROXIES)


def test_a_proxy_that_connects_during_a_trial_gets_the_baseline(started_controller):
    controller, run_rounds = started_controller
    run_rounds(NOW + S, ("set_weight", 1, "a", 9.0))
    controller.on_proxy_connected("new", "east", 0.1, True)
    run_rounds(NOW + 2 * S, ("assign_table", "new", 1, 0))
    assert held_weights(controller, "new")["a"] == 1.0
