"""Endpoint list updates, and the subscription with its backoff."""

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import CALM, list_changes


def test_non_binding_removal_takes_effect_once_attempts_fail(make_harness):
    """An endpoint missing from the list is removed once its attempts fail too, a draining one at once."""
    harness = make_harness(removal_is_binding=False)
    harness.start()
    harness.run(2, CALM)
    harness.run_round(
        EndpointListUpdate(ListScope.SNAPSHOT, [harness.endpoint(f"w{k}", "west") for k in range(4)])
    )
    harness.run_round(list_changes([harness.endpoint("e1", state="draining")]))
    harness.run(3, CALM | {"e0": (9, 9, 0)})
    assert harness.table().desired.keys() == {"e2", "e3"}


def test_restart_resets_health_weight_and_load_samples(started):
    started.state.endpoints["e0"].health_weight = 0.05
    started.run_round(list_changes([started.endpoint("e0", age_s=0)]))
    assert started.state.endpoints["e0"].health_weight == 1.0
    assert len(started.state.endpoints["e0"].samples) == 0


def test_lost_subscription_is_renewed_with_growing_backoff(make_harness):
    harness = make_harness(list_needs_subscription=True)
    assert harness.run_round().of("subscribe") == [(True,)]
    delays_ns = []
    for _ in range(3):
        harness.run_round(EndpointListUpdate(ListScope.UNAVAILABLE, []))
        delays_ns.append(harness.reconciler.endpoint_list.retry_at_ns - harness.now)
        assert harness.run_round(wait_s=8).of("subscribe") == [(True,)]
    assert delays_ns[0] <= NS_PER_S < delays_ns[2] <= 4 * NS_PER_S
