"""Admission rates and retries under load."""

import pytest

from swiftchute.policy.admission import UNLIMITED_REQUEST_RATE
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


def test_limits_by_rate_admit_the_same_share_at_busy_and_quiet_proxies(make_harness):
    """Guards against overload that is seen and never limited, as the limit is written in another unit."""
    harness = make_harness(admission_mode="rate")
    harness.start(proxies=("east",) * 4)
    commands = harness.run(12, dict.fromkeys(CALM, (20, 0, 1.5)), requests=100)
    limits = {mask: limit for _, mask, limit, _ in commands.of("set_admission")}
    share = harness.table().admission_rate
    assert share < 0.9
    assert limits[1] == pytest.approx(share * 200, rel=0.12)  # of `read`; `write` has no requests
    harness.run(40, CALM, requests=10)
    assert harness.table().desired_admission.limits[0].value == UNLIMITED_REQUEST_RATE


@pytest.mark.parametrize("mode, retry_policy, sheds", [("none", 0, False), ("rate", 0, True)])
def test_retries_end_under_load_however_admission_is_expressed(make_harness, mode, retry_policy, sheds):
    """Guards against retries that double an overload where shares are not in use."""
    harness = make_harness(admission_mode=mode)
    harness.start()
    harness.run(12, dict.fromkeys(CALM, (20, 0, 1.5)), requests=400)
    assert harness.table().retry_policy == retry_policy
    assert not harness.table().published_admission.may_retry
    assert (harness.table().admission_rate < 1) == sheds


def test_single_failing_endpoint_does_not_lower_the_admission_rate(started):
    started.run(6, CALM | {"e0": (5, 5, 0)})
    assert started.table().admission_rate == 1.0
