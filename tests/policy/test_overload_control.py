"""Admission rates and retries under load."""

import pytest

from swiftchute.policy.overload_control import MIN_ADMISSION_RATE
from tests.support.policy import CALM


def test_retries_are_disabled_before_admission_falls_and_both_recover(started):
    table, seen = started.table(), []
    for _ in range(16):
        started.run(0.5, dict.fromkeys(CALM, (20, 0, 0.7)), requests=400)
        seen.append((table.retry_policy, table.admission_rate))
    assert (0, 1.0) in seen
    assert MIN_ADMISSION_RATE <= table.admission_rate < 1
    started.run(30, CALM)
    assert (table.retry_policy, table.admission_rate) == (1, 1.0)


def test_admission_rate_stays_above_most_of_the_rate_answered(make_harness):
    """Requests that overloaded endpoints still answer need not be rejected."""
    harness = make_harness()
    harness.start()
    harness.run(30, dict.fromkeys(CALM, (20, 0, 1.5)), requests=100)
    assert harness.table().admission_rate == pytest.approx(0.8 * 160 / 200)


def test_missing_load_reports_change_no_admission_rate(started):
    table = started.table()
    started.run(6, dict.fromkeys(CALM, (20, 0, 0.7)), requests=400)
    started.run(3)
    rate = table.admission_rate
    started.run(10)
    assert table.admission_rate == rate < 1


def test_repeated_requests_lower_the_admission_rate_further(make_harness):
    steady, repeating = make_harness(), make_harness()
    for harness, requests in ((steady, 20), (repeating, 60)):
        harness.start()
        harness.run(6, CALM, requests=400)
        harness.run(6, dict.fromkeys(CALM, (20, 0, 0.7)), requests=20 * requests)
    assert repeating.table().admission_rate < 0.7 * steady.table().admission_rate


def test_single_failing_endpoint_does_not_lower_the_admission_rate(started):
    started.run(6, CALM | {"e0": (5, 5, 0)})
    assert started.table().admission_rate == 1.0
