"""Canary trials: what each proxy holds during a trial, and when a trial completes or rolls back."""

import itertools

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.versions.canary import CanaryTrials
from swiftchute.versions.canary_statistics import MIN_REQUESTS, ReportTotals
from swiftchute.versions.canary_trial import CanaryLimits

S = 1_000_000_000
NOW = 1000 * S
LIMITS = CanaryLimits(0.25, min_duration_ns=5 * S, max_duration_ns=30 * S, min_moved_fraction=0.25)
PROXIES = {f"p{k}": float(k + 1) for k in range(8)}
EVEN = dict.fromkeys("abcd", 1.0)
SKEWED = EVEN | {"a": 50.0}
OLD = dict.fromkeys("abcd", 0)


@pytest.fixture
def trials():
    made = CanaryTrials(LIMITS)
    assert made.on_table_changed("t", EVEN, SKEWED, (b"1", b"2"), PROXIES, OLD, frozenset(), NOW)
    return made


def feed(trials, canary_failures, other_failures, at=NOW + S, requests=2 * MIN_REQUESTS):
    """Report `canary_failures` and `other_failures` of `requests` after the canary proxies acknowledged."""
    for p in ("p0", "p1"):
        trials.on_acknowledged(p, {"t": b"2"}, NOW + S)
    trials.on_report("p0", "t", ReportTotals(requests, canary_failures), at)
    trials.on_report("p7", "t", ReportTotals(requests, other_failures), at)


def test_the_least_busy_proxies_get_a_change_first_and_the_others_keep_the_baseline(trials):
    assert [p for p in PROXIES if trials.is_canary("t", p)] == ["p0", "p1"]
    assert trials.baseline_weights("t", OLD) == EVEN
    assert trials.is_canary("other", "p7")


def test_a_small_change_too_few_proxies_or_no_fraction_opens_no_trial():
    for limits, after, proxies in (
        (LIMITS, EVEN | {"a": 1.2}, PROXIES),
        (LIMITS, SKEWED, {"p": 1.0}),
        (CanaryLimits(), SKEWED, PROXIES),
    ):
        made = CanaryTrials(limits)
        assert not made.on_table_changed("t", EVEN, after, (b"1", b"2"), proxies, OLD, frozenset(), NOW)
        assert made.baseline_weights("t", OLD) is None


def test_a_trial_completes_after_its_time_when_reports_are_no_worse(trials):
    feed(trials, 2, 1)
    assert trials.take_finished(NOW + 6 * S - 1) == []
    assert trials.due == NOW + 6 * S
    ((table, end),) = trials.take_finished(NOW + 6 * S)
    assert (table, end.rolled_back, trials.open_trials) == ("t", False, {})


def test_a_trial_rolls_back_at_once_when_reports_are_significantly_worse(trials):
    feed(trials, 9, 1)  # 15% against 2%: significant at the timeout, but not at an early check
    assert trials.take_finished(NOW + 2 * S) == []
    # 2.6 standard errors: neither significantly worse nor as good, so the trial goes on
    assert trials.take_finished(NOW + 6 * S) == []
    assert [end.rolled_back for _, end in trials.take_finished(NOW + 30 * S)] == [True]
    clear_case = CanaryTrials(LIMITS)
    clear_case.on_table_changed("t", EVEN, SKEWED, (b"1", b"2"), PROXIES, OLD, frozenset(), NOW)
    feed(clear_case, 40, 1)
    ((_, end),) = clear_case.take_finished(NOW + 2 * S)
    assert (end.rolled_back, end.previous_version) == (True, b"1")
    assert "40 of 60 errored, 1 of 60" in end.cause


def test_only_reports_on_the_time_after_the_acknowledgement_count(trials):
    trials.on_acknowledged("p0", {"t": b"1"}, NOW)  # it still holds the old version
    trials.on_report("p0", "t", ReportTotals(100, 100), NOW + S)
    trials.on_acknowledged("p0", {"t": b"2"}, NOW + 2 * S)
    trials.on_report("p0", "t", ReportTotals(100, 100), NOW + 2 * S - 1)  # window began too early
    trials.on_report("p7", "t", ReportTotals(100, 0), NOW + 3 * S)
    assert trials.take_finished(NOW + 4 * S) == []
    trials.on_report("p0", "t", ReportTotals(100, 100), NOW + 2 * S)
    assert [end.rolled_back for _, end in trials.take_finished(NOW + 4 * S)] == [True]


def test_without_reports_a_trial_completes_at_its_timeout(trials):
    assert trials.take_finished(NOW + 30 * S - 1) == []
    ((_, end),) = trials.take_finished(NOW + 30 * S)
    assert (end.rolled_back, end.cause) == (False, "0 invocations in all its time")


def test_a_trial_rolls_back_when_half_of_its_proxies_reject_it(trials):
    trials.on_rejected("p7", "t")  # not on the canary
    assert trials.take_finished(NOW) == []
    trials.on_rejected("p0", "t")
    ((_, end),) = trials.take_finished(NOW)
    assert end.rolled_back


def test_disconnected_canary_proxies_are_replaced_a_limited_number_of_times(trials):
    for selection in range(2):
        for p in list(PROXIES):
            if trials.is_canary("t", p):
                trials.on_disconnected(p)
        assert trials.reselect("t", PROXIES), selection
    for p in PROXIES:
        trials.on_disconnected(p)
    assert not trials.reselect("t", PROXIES)
    assert [end.cause for _, end in trials.take_finished(NOW)] == ["nobody is left to try it"]


def test_a_smaller_share_for_an_endpoint_that_warms_up_never_waits(trials):
    made = CanaryTrials(LIMITS)
    warming_up = frozenset("d")
    assert not made.on_table_changed("t", EVEN, SKEWED, (b"1", b"2"), PROXIES, OLD, warming_up, NOW)
    # nor within a trial: a larger share may be tried, a smaller one must not wait
    assert not trials.on_table_changed(
        "t", EVEN, {"a": 1.0, "b": 1.0}, (b"2", b"3"), PROXIES, OLD, warming_up, NOW + S
    )
    assert trials.baseline_weights("t", OLD) is None


def test_a_large_change_within_a_trial_restarts_its_duration_and_a_revert_ends_it(trials):
    feed(trials, 0, 0)
    other = EVEN | {"b": 50.0}
    assert trials.on_table_changed("t", SKEWED, other, (b"2", b"3"), PROXIES, OLD, frozenset(), NOW + 4 * S)
    assert trials.take_finished(NOW + 6 * S) == []
    assert trials.due == NOW + 30 * S  # its timeout counts from its start
    assert trials.on_table_changed("t", SKEWED, EVEN, (b"3", b"1"), PROXIES, OLD, frozenset(), NOW + 7 * S)
    assert [end.cause for _, end in trials.take_finished(NOW + 7 * S)] == ["what was tried is taken back"]


STEPS = st.tuples(st.sampled_from("abcd"), st.sampled_from(["out", "in", "again", "skew", "look"]))


@given(steps=st.lists(STEPS, max_size=25))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_the_baseline_never_holds_an_endpoint_that_closed_or_restarted(steps):
    """Beside a set of the endpoints that were ever closed since the trial began, kept apart."""
    made, starts, lines, excluded, clock = (
        CanaryTrials(LIMITS),
        dict(OLD),
        dict(EVEN),
        set(),
        itertools.count(1),
    )
    for server, what in steps:
        opened = "t" in made.open_trials
        if what == "out":
            starts.pop(server, None)
            excluded.add(server)
        elif what == "in":
            starts.setdefault(server, next(clock))
        elif what == "again" and server in starts:
            starts[server] = next(clock)
            excluded.add(server)
        elif what == "skew":
            after = EVEN | {server: 50.0}
            made.on_table_changed("t", lines, after, (b"1", b"2"), PROXIES, starts, frozenset(), NOW)
            lines = after
        if not opened:
            excluded = set()
        rest = made.baseline_weights("t", starts)
        if rest is not None:
            assert rest
            assert rest.keys() <= starts.keys()
            if opened:
                assert not rest.keys() & excluded
