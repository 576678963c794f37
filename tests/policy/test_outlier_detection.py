"""Health weights from the cost per success of the endpoints."""

import pytest

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, ProxyConnected
from swiftchute.policy.outlier_detection import MIN_HEALTH_WEIGHT
from tests.support.policy import CALM, list_changes


def test_health_weight_follows_the_cost_per_success(started):
    started.run(8, CALM | {"e0": (5, 0, 0.9), "e1": (5, 4, 0.01)})
    slow, failing = (started.state.endpoints[name].health_weight for name in ("e0", "e1"))
    assert MIN_HEALTH_WEIGHT <= failing < MIN_HEALTH_WEIGHT * 1.5
    assert MIN_HEALTH_WEIGHT <= slow < MIN_HEALTH_WEIGHT * 1.5
    assert started.state.endpoints["e2"].health_weight == pytest.approx(1.0, abs=0.1)


def test_weights_stay_if_all_endpoints_degrade_alike(started):
    started.run(8, dict.fromkeys(CALM, (20, 12, 0.5)))
    assert all(0.9 < endpoint.health_weight < 1.1 for endpoint in started.state.endpoints.values())


def test_low_weight_without_attempts_recovers_step_by_step(started):
    started.state.endpoints["e0"].health_weight = 0.05
    started.run(4, {name: report for name, report in CALM.items() if name != "e0"})
    assert 0.05 < started.state.endpoints["e0"].health_weight < 0.2


def test_warming_endpoint_gains_no_weight_from_low_latency(started):
    started.run_round(list_changes([started.endpoint("e0", age_s=0)]))
    started.run(8, CALM | {"e0": (10, 0, 0.01)})
    assert started.state.endpoints["e0"].health_weight <= 1.0


def test_low_health_weight_is_logged_when_it_starts_and_when_it_ends(started):
    logged = started.run(6, CALM | {"e0": (6, 6, 0)}).of("log")
    assert [text.split(",")[0] for (text,) in logged] == ["cut e0: on"]
    logged = started.run(60, CALM).of("log")
    assert [text.split(",")[0] for (text,) in logged] == ["cut e0: off"]


def test_first_evaluations_after_a_start_take_larger_steps(make_harness):
    """An instance that starts under load finds unhealthy endpoints seconds earlier."""
    harness = make_harness()
    harness.start()
    reports = {f"{zone}{k}": (20, 0, 0.2) for zone in "ew" for k in range(4)} | {"e0": (20, 0, 0.8)}
    harness.run(1.5, reports)
    first = harness.state.endpoints["e0"].health_weight
    assert first == pytest.approx(0.5, abs=0.1)  # half of the way in logarithms: 0.25 ** 0.5
    harness.run(12, reports)
    assert harness.reconciler.outlier_detector.evaluation_count > 10
    harness.state.endpoints["e0"].health_weight = 1.0
    harness.run(1, reports)
    assert harness.state.endpoints["e0"].health_weight == pytest.approx(0.25**0.25, abs=0.05)


def test_weight_of_a_warming_endpoint_takes_small_steps_also_after_a_start(make_harness):
    harness = make_harness()
    harness.run_round(
        EndpointListUpdate(
            ListScope.CACHED,
            [harness.endpoint(f"e{k}") for k in range(4)] + [harness.endpoint("c", age_s=0.1)],
        ),
        ProxyConnected(0, "east", 10.0, True),
    )
    harness.run(1.5, {f"e{k}": (20, 0, 0.2) for k in range(4)} | {"c": (20, 0, 0.8)})
    assert harness.state.endpoints["c"].health_weight == pytest.approx(0.25**0.25, abs=0.05)


def test_endpoint_that_fails_nearly_all_attempts_falls_to_its_target_at_once(make_harness):
    """Timeouts are late already; the weight of an endpoint that fails half of its attempts moves in steps."""
    harness = make_harness()
    harness.start()
    calm = {f"{zone}{k}": (20, 0, 0.2) for zone in "ew" for k in range(4)}
    harness.run(8, calm)
    for name in ("e0", "e1"):
        harness.state.endpoints[name].samples.clear()  # earlier reports have expired
    harness.run(1, calm | {"e0": (20, 19, 0.2), "e1": (20, 10, 0.2)})
    assert harness.state.endpoints["e0"].health_weight == pytest.approx(0.25)
    assert harness.state.endpoints["e1"].health_weight > 0.5
    assert harness.table().published["e0"] < 0.3
