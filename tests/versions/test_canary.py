"""Canaries: who holds what while a change is tried, when it goes on or back, and what never waits."""

import itertools

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import TimerFired
from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller
from swiftchute.controller.load_aggregation import LoadReport
from swiftchute.controller.version_state import RetentionSettings
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.safety.validator import SafetyRules
from swiftchute.versions.canary import (
    MIN_REQUESTS,
    CanaryLimits,
    CanaryTrials,
    ReportTotals,
    moved_fraction,
    regression,
    weight_shares,
)
from tests.conftest import FACTS, ScriptedPolicy, operation

S = 1_000_000_000
NOW = 1000 * S
LIMITS = CanaryLimits(part=0.25, span=5 * S, most=30 * S, step=0.25)
PROXIES = {f"p{k}": float(k + 1) for k in range(8)}
EVEN = dict.fromkeys("abcd", 1.0)
SKEWED = EVEN | {"a": 50.0}
OLD = dict.fromkeys("abcd", 0)


@pytest.fixture
def trials():
    made = CanaryTrials(LIMITS)
    assert made.change("t", EVEN, SKEWED, (b"1", b"2"), PROXIES, OLD, frozenset(), NOW)
    return made


def feed(trials, first, rest, at=NOW + S, invs=2 * MIN_REQUESTS):
    """Both sides report so many errors of `invs`, after the first have acknowledged."""
    for p in ("p0", "p1"):
        trials.settled(p, {"t": b"2"}, NOW + S)
    trials.heard("p0", "t", (invs, first, 0, 0), at)
    trials.heard("p7", "t", (invs, rest, 0, 0), at)


def test_the_least_busy_part_is_first_and_the_rest_keeps_its_lines(trials):
    assert [p for p in PROXIES if trials.first("t", p)] == ["p0", "p1"]
    assert trials.rest("t", OLD) == EVEN
    assert trials.first("other", "p7")


def test_a_small_change_few_proxies_or_no_part_is_no_trial():
    for limits, after, proxies in (
        (LIMITS, EVEN | {"a": 1.2}, PROXIES),
        (LIMITS, SKEWED, {"p": 1.0}),
        (CanaryLimits(), SKEWED, PROXIES),
    ):
        made = CanaryTrials(limits)
        assert not made.change("t", EVEN, after, (b"1", b"2"), proxies, OLD, frozenset(), NOW)
        assert made.rest("t", OLD) is None


def test_it_goes_on_after_its_time_when_the_sums_are_no_worse(trials):
    feed(trials, 2, 1)
    assert trials.over(NOW + 6 * S - 1) == []
    assert trials.due == NOW + 6 * S
    ((table, end),) = trials.over(NOW + 6 * S)
    assert (table, end.back, trials.open) == ("t", False, {})


def test_it_goes_back_at_once_when_the_sums_are_much_worse_and_not_by_chance(trials):
    feed(trials, 9, 1)  # 15% against 2%: surely worse at the end, not yet in the midst of many looks
    assert trials.over(NOW + 2 * S) == []
    assert trials.over(NOW + 6 * S) == []  # 2.6 standard errors: neither sure nor as good, it waits for more
    assert [end.back for _, end in trials.over(NOW + 30 * S)] == [True]
    again = CanaryTrials(LIMITS)
    again.change("t", EVEN, SKEWED, (b"1", b"2"), PROXIES, OLD, frozenset(), NOW)
    feed(again, 40, 1)
    ((_, end),) = again.over(NOW + 2 * S)
    assert (end.back, end.before) == (True, b"1")
    assert "40 of 60 errored, 1 of 60" in end.why


def test_slow_answers_are_worse_and_few_say_nothing():
    many = 10 * MIN_REQUESTS
    slow, quick = ReportTotals(many, 0, many * 900, many), ReportTotals(many, 0, many * 300, many)
    assert "ms a good answer" in regression(slow, quick, 3.0)
    assert regression(quick, slow, 3.0) == ""
    assert (
        regression(ReportTotals(MIN_REQUESTS - 1, MIN_REQUESTS - 1, 0, 0), ReportTotals(many, 0, 0, 0), 3.0)
        == ""
    )


def test_only_time_under_the_new_table_counts(trials):
    trials.settled("p0", {"t": b"1"}, NOW)  # it still holds the old
    trials.heard("p0", "t", (100, 100, 0, 0), NOW + S)
    trials.settled("p0", {"t": b"2"}, NOW + 2 * S)
    trials.heard("p0", "t", (100, 100, 0, 0), NOW + 2 * S - 1)  # a report of a time that began before
    trials.heard("p7", "t", (100, 0, 0, 0), NOW + 3 * S)
    assert trials.over(NOW + 4 * S) == []
    trials.heard("p0", "t", (100, 100, 0, 0), NOW + 2 * S)
    assert [end.back for _, end in trials.over(NOW + 4 * S)] == [True]


def test_without_sums_it_goes_on_at_its_longest(trials):
    assert trials.over(NOW + 30 * S - 1) == []
    ((_, end),) = trials.over(NOW + 30 * S)
    assert (end.back, end.why) == (False, "0 invocations in all its time")


def test_half_of_the_first_that_reject_take_it_back(trials):
    trials.refused("p7", "t")  # one that is not first
    assert trials.over(NOW) == []
    trials.refused("p0", "t")
    ((_, end),) = trials.over(NOW)
    assert end.back


def test_the_first_that_leave_are_replaced_and_not_for_ever(trials):
    for chosen in range(2):
        for p in list(PROXIES):
            if trials.first("t", p):
                trials.left(p)
        assert trials.choose("t", PROXIES), chosen
    for p in PROXIES:
        trials.left(p)
    assert not trials.choose("t", PROXIES)
    assert [end.why for _, end in trials.over(NOW)] == ["nobody is left to try it"]


def test_less_for_a_cold_server_never_waits(trials):
    made = CanaryTrials(LIMITS)
    cold = frozenset("d")
    assert not made.change("t", EVEN, SKEWED, (b"1", b"2"), PROXIES, OLD, cold, NOW)
    # nor within a trial: more for a cold server may be tried, less may not wait
    assert not trials.change("t", EVEN, {"a": 1.0, "b": 1.0}, (b"2", b"3"), PROXIES, OLD, cold, NOW + S)
    assert trials.rest("t", OLD) is None


def test_a_large_change_within_a_trial_begins_its_time_anew_and_a_return_ends_it(trials):
    feed(trials, 0, 0)
    other = EVEN | {"b": 50.0}
    assert trials.change("t", SKEWED, other, (b"2", b"3"), PROXIES, OLD, frozenset(), NOW + 4 * S)
    assert trials.over(NOW + 6 * S) == []
    assert trials.due == NOW + 30 * S  # its longest is counted from its first beginning
    assert trials.change("t", SKEWED, EVEN, (b"3", b"1"), PROXIES, OLD, frozenset(), NOW + 7 * S)
    assert [end.why for _, end in trials.over(NOW + 7 * S)] == ["what was tried is taken back"]


STEPS = st.tuples(st.sampled_from("abcd"), st.sampled_from(["out", "in", "again", "skew", "look"]))


@given(steps=st.lists(STEPS, max_size=25))
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_the_rest_never_holds_a_server_that_closed_or_started_anew(steps):
    """Beside a set of servers that were ever out since the trial began, kept apart from what is tested."""
    made, starts, lines, spoilt, clock = (
        CanaryTrials(LIMITS),
        dict(OLD),
        dict(EVEN),
        set(),
        itertools.count(1),
    )
    for server, what in steps:
        opened = "t" in made.open
        if what == "out":
            starts.pop(server, None)
            spoilt.add(server)
        elif what == "in":
            starts.setdefault(server, next(clock))
        elif what == "again" and server in starts:
            starts[server] = next(clock)
            spoilt.add(server)
        elif what == "skew":
            after = EVEN | {server: 50.0}
            made.change("t", lines, after, (b"1", b"2"), PROXIES, starts, frozenset(), NOW)
            lines = after
        if not opened:
            spoilt = set()
        rest = made.rest("t", starts)
        if rest is not None:
            assert rest
            assert rest.keys() <= starts.keys()
            if opened:
                assert not rest.keys() & spoilt


@given(one=st.dictionaries(st.sampled_from("abc"), st.floats(0.01, 9), min_size=1),
       two=st.dictionaries(st.sampled_from("abc"), st.floats(0.01, 9), min_size=1))  # fmt: skip
@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
def test_what_moves_is_half_of_the_absolute_differences(one, two):
    one, two = weight_shares(one), weight_shares(two)
    assert moved_fraction(one, two) == pytest.approx(
        sum(abs(one.get(n, 0) - two.get(n, 0)) for n in "abc") / 2
    )


# -- on a planner


@pytest.fixture
def planner():
    """A core with eight proxies on a table of four servers, pushed and acknowledged."""
    decider = ScriptedPolicy()
    settings = Settings(**(FACTS | {"operations": (operation("read"),), "egress_rate_entries_per_s": 1e6,
                                    "egress_queue_limit_entries": 1e6, "message_quota": 0}))  # fmt: skip
    keep = RetentionSettings(canary_fraction=0.25, canary_duration_ns=5 * S, max_canary_duration_ns=30 * S)
    controller = Controller(settings, 7, lambda settings, seed: decider, NOW, SafetyRules(), retention=keep)
    controller.on_list_update(
        EndpointListChange(
            "held", tuple(EndpointRecord(n, "east", "", 0, "ready", 1.0, 0) for n in "abcd"), ()
        )
    )
    for p, rate in PROXIES.items():
        controller.on_proxy_connected(p, "east", rate, True)

    def play(now, *writes):
        """A round, and every push is acknowledged at once; returns (pushed proxies, events)."""
        decider.writes = list(writes)
        controller.runner.pending_events.append(TimerFired(0))
        pushed, events = set(), []
        for at in (now, now + S // 10, now + S // 5):
            turn = controller.run_round(at)
            events += turn.log_events
            for p, _ in turn.pushes:
                pushed.add(p)
                controller.on_fully_acknowledged(p, at)
        return pushed, [(name, fields) for name, fields in events if name.startswith(("canary", "table"))]

    play(NOW, *[("set_weight", 1, n, 1.0) for n in "abcd"], *[("assign_table", p, 1, 0) for p in PROXIES])
    return controller, play


def held(controller, proxy):
    return {n: w for content in controller.tables_of(proxy).contents.values() for n, _, w in content.entries}


def report(controller, at, errored):
    """Every proxy reports a second; `errored` of the first's hundred invocations."""
    for p in PROXIES:
        bad = errored if controller.canaries.first("0.1", p) else 0
        controller.on_load_report(
            p, LoadReport(S, (("read", 100, bad),), (("a", 100, bad, 100 - bad, 100 - bad),)), at
        )


def test_a_large_change_reaches_the_least_busy_first_and_all_once_it_is_no_worse(planner):
    controller, play = planner
    play(NOW + S, ("set_weight", 1, "a", 9.0))
    assert [p for p in PROXIES if held(controller, p)["a"] == 9.0] == ["p0", "p1"]
    assert [c.cause for c in controller.history.log("0.1/rest")] == ["canary"]
    assert controller.deliveries.states("0.1")[controller.history.current("0.1").version] == (2, 0)
    for k in range(2, 7):
        report(controller, NOW + k * S, 1)
    pushed, events = play(NOW + 7 * S)
    assert pushed >= set(PROXIES) - {"p0", "p1"}
    assert ("canary ended", "on") in [(name, fields.get("went")) for name, fields in events]
    assert all(held(controller, p)["a"] == 9.0 for p in PROXIES)


def test_a_change_that_is_worse_goes_back_and_is_held(planner):
    controller, play = planner
    play(NOW + S, ("set_weight", 1, "a", 9.0))
    report(controller, NOW + 3 * S, 50)
    pushed, events = play(NOW + 3 * S)
    assert {"p0", "p1"} <= pushed
    assert [name for name, _ in events] == ["canary ended", "table pinned"]
    assert all(held(controller, p)["a"] == 1.0 for p in PROXIES)
    play(NOW + 4 * S, ("set_weight", 1, "a", 12.0))  # the module's orders are shown beside it, and wait
    assert all(held(controller, p)["a"] == 1.0 for p in PROXIES)


def test_past_the_limit_of_ways_back_it_goes_on_and_the_log_is_told(planner):
    controller, play = planner
    controller.rejections.back.extend([NOW] * 3)
    play(NOW + S, ("set_weight", 1, "a", 9.0))
    report(controller, NOW + 3 * S, 50)
    events = controller.run_round(NOW + 3 * S).log_events
    assert [name for name, _ in events][-2:] == ["canary ended", "rollback refused"]
    play(NOW + 4 * S)
    assert all(held(controller, p)["a"] == 9.0 for p in PROXIES)


def test_drains_reach_all_at_once_though_a_change_is_tried(planner):
    controller, play = planner
    play(NOW + S, ("set_weight", 1, "a", 9.0))
    controller.on_list_update(
        EndpointListChange("changes", (EndpointRecord("b", "east", "", 0, "draining", 1.0, 0),), ())
    )
    pushed, _ = play(NOW + 2 * S)
    assert pushed >= set(PROXIES) - {"p0", "p1"}
    for p in PROXIES:
        assert "b" not in held(controller, p)
    assert held(controller, "p7") == {"a": 1.0, "c": 1.0, "d": 1.0}
    assert held(controller, "p0")["a"] == 9.0
    # it comes back as another process: to those behind it is out until the trial is over
    controller.on_list_update(
        EndpointListChange("changes", (EndpointRecord("b", "east", "", 0, "ready", 1.0, NOW + 2 * S),), ())
    )
    play(NOW + 3 * S, ("set_weight", 1, "b", 0.1))
    assert "b" not in held(controller, "p7")


def test_levels_are_the_loads_of_now_for_all(planner):
    controller, play = planner
    play(NOW + S, ("set_weight", 1, "a", 9.0))
    pushed, _ = play(NOW + 2 * S, ("set_admission", 1, 0, 0.5, 1))
    assert pushed == set(PROXIES)
    for p in PROXIES:
        assert [made.admission[0][0] for made in controller.tables_of(p).contents.values()] == [0.5]
    assert held(controller, "p7")["a"] == 1.0


def test_a_pin_by_staff_ends_a_trial(planner):
    controller, play = planner
    play(NOW + S, ("set_weight", 1, "a", 9.0))
    controller.pin("0.1", "~0", 60 * S, False, "pin", NOW + 2 * S)
    play(NOW + 2 * S)
    assert not controller.canaries.open
    assert all(held(controller, p)["a"] == 9.0 for p in PROXIES)


def test_a_proxy_that_joins_meanwhile_is_not_of_the_first(planner):
    controller, play = planner
    play(NOW + S, ("set_weight", 1, "a", 9.0))
    controller.on_proxy_connected("new", "east", 0.1, True)
    play(NOW + 2 * S, ("assign_table", "new", 1, 0))
    assert held(controller, "new")["a"] == 1.0
