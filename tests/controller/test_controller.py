"""The whole controller: tables of proxies, messages that exceed the egress queue, and message quotas."""

from dataclasses import replace

from swiftchute.api.events import TimerFired
from swiftchute.controller.controller import Controller
from tests.support.controller import NS_PER_S, SETTINGS, play, published_weights, start


class VerbosePolicy:
    """Commands more entries in one round than a short egress queue can hold."""

    def __init__(self, settings, seed):
        pass

    def reconcile(self, now, events, commands):
        for k in range(20):
            commands.set_weight(1, f"10.0.0.{k}:80", 1.0)
        commands.assign_table("p", 1, 0)


def test_a_proxy_is_assigned_tables_for_all_operations(controller):
    outputs = play(controller, 0, 2)
    assert [proxy for output in outputs for proxy, _ in output.pushes]
    tables = controller.tables_of("p")
    assert [operation for operation, _ in tables.tables_by_operation] == ["read", "write"]
    assert published_weights(controller).keys() == {"a:1", "b:1"}
    assert controller.runner.policy.budget.unacknowledged_entries == 0  # every nonce was acknowledged


def test_a_message_that_exceeds_the_egress_queue_is_logged_and_its_proxy_reported():
    controller = start(Controller(replace(SETTINGS, egress_queue_limit_entries=8.0), 7, VerbosePolicy), "a:1")
    output = controller.run_round(0)
    assert output.overflowed_proxies == ["p"]
    assert output.log_events[0][0] == "egress queue full"
    assert controller.egress_queue.queued_entries == 0


class CrashingAfterCommands(VerbosePolicy):
    """Assigns a table in each round, and crashes in every twelfth round."""

    rounds = 0

    def reconcile(self, now, events, commands):
        CrashingAfterCommands.rounds += 1
        if CrashingAfterCommands.rounds % 12 == 0:
            raise ZeroDivisionError("on purpose")
        super().reconcile(now, events, commands)


def test_a_policy_that_crashes_repeatedly_stays_within_the_message_quota():
    settings = replace(SETTINGS, egress_rate_entries_per_s=1e6, message_quota=10)
    controller = start(Controller(settings, 7, CrashingAfterCommands), "a:1")
    times = []
    for step in range(3000):
        now = step * NS_PER_S // 100
        controller.runner.enqueue(TimerFired(0))
        times += [now for _ in controller.run_round(now).pushes]
    assert controller.runner.counters.crashes >= 5
    assert len(times) > 10
    assert all(times[k + 10] - times[k] > 10 * NS_PER_S for k in range(len(times) - 10))
