"""Rounds keep the minimum interval, run at once after a pause, and run no later than they are due."""

from swiftchute.platform.round_schedule import MIN_ROUND_INTERVAL_NS, RoundSchedule

NOW = 10**18


def test_a_requested_round_waits_for_the_interval_since_the_last_one():
    schedule = RoundSchedule()
    assert schedule.wait_for_round_ns(NOW) == 0
    schedule.record_round(NOW)
    assert schedule.wait_for_round_ns(NOW) == MIN_ROUND_INTERVAL_NS
    assert schedule.wait_for_round_ns(NOW + 1000) == MIN_ROUND_INTERVAL_NS - 1000
    assert schedule.wait_for_round_ns(NOW + MIN_ROUND_INTERVAL_NS + 1) == 0


def test_a_round_without_a_request_waits_until_it_is_due_and_at_least_the_interval():
    schedule = RoundSchedule()
    assert schedule.wait_for_idle_round_ns(NOW + 10**9, NOW) == 10**9
    assert schedule.wait_for_idle_round_ns(NOW - 10**9, NOW) == MIN_ROUND_INTERVAL_NS
