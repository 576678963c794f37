"""Policy crashes and restarts, and stalls of the event loop."""

from tests.support.controller import (
    NS_PER_S,
    CrashingPolicy,
    list_change,
    log_events,
    play,
    published_weights,
)


def test_a_crash_is_logged_and_the_restarted_policy_gets_the_endpoint_list(controller):
    play(controller, 0, 2)
    before = controller.tables_of("p")
    CrashingPolicy.crashes = True
    controller.on_list_update(list_change("c:1", scope="changes"))
    (output,) = play(controller, 2 * NS_PER_S, 0.1)
    assert output.log_events[0][0] == "policy crashed"
    assert "on purpose" in output.log_events[0][1]["error"]
    assert controller.tables_of("p") == before  # the proxy keeps its tables
    CrashingPolicy.crashes = False
    play(controller, 3 * NS_PER_S, 2)
    assert published_weights(controller).keys() == {"a:1", "b:1", "c:1"}


def test_a_drain_during_a_crash_takes_effect_once_the_policy_is_restarted(controller):
    play(controller, 0, 2)
    CrashingPolicy.crashes = True
    controller.on_list_update(list_change("b:1", scope="changes", state="draining"))
    play(controller, 2 * NS_PER_S, 0.1)
    CrashingPolicy.crashes = False
    play(controller, 2 * NS_PER_S + NS_PER_S // 10, 1)
    assert published_weights(controller).keys() == {"a:1"}
    assert controller.unavailable_endpoints == {"b:1"}


def test_repeated_crashes_delay_the_restart(controller):
    CrashingPolicy.crashes = True
    events = log_events(play(controller, 0, 8))
    delays = [fields["seconds"] for name, fields in events if name == "policy restart delayed"]
    assert delays
    assert all(5 <= delay <= 10 for delay in delays)
    assert sum(name == "policy crashed" for name, _ in events) <= 8


def test_a_stall_of_the_event_loop_is_logged(controller):
    play(controller, 0, 2)
    output = controller.run_round(20 * NS_PER_S)
    assert ("event loop stalled", {"seconds": 18.1}) in output.log_events
