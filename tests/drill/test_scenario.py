"""Drills on real sockets: broken planners are caught, each by the rule it breaks, and the module is not.

All days run at once, each in a process of its own; the checker sees what passed on the sockets and the
workers' receipts.
"""

import multiprocessing
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

import pytest
import uvloop

from swiftchute.dns import frontend, ttl
from swiftchute.drill.builtin_scenarios import SCENARIOS
from swiftchute.drill.faulty_policies import FAULTY_POLICIES, FaultyPolicy, Oscillates, cases
from swiftchute.drill.fleet import FleetOptions
from swiftchute.drill.invariants import judge
from swiftchute.drill.predict import shares
from swiftchute.drill.report import broken, text
from swiftchute.drill.runner import Runner
from swiftchute.drill.scenario import Fault
from swiftchute.policy import Reconciler

RULES = {
    "lost": "nobody left without a server",
    "twice": "no effect twice",
    "drain": "drains kept",
    "cold": "no cold server pushed over",
    "queue": "a short queue",
}


class Floods(Oscillates):
    """Swings its weights where neither channel nor guard knows the limit."""


class OrdersRetries(FaultyPolicy):
    def alter_command(self, verb, arguments):
        if verb != "set_admission":
            return [(verb, arguments)]
        return [(verb, (*arguments[:3], 2))]


class OverlongTtlPolicy(ttl.TtlPolicy):
    """Lets answers live for longer than a drain allows."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.limit_s = 8


LOOSE = {"egress_queue_limit": 1e6, "egress_rate": 1e6, "message_quota": 0}
QUIET = replace(SCENARIOS["quiet"], duration=8.0, backends=9, gateways=6, instances=1)
BROKEN = {  # what no guard mends: it is the module's, and the channel's
    "twice": (SCENARIOS["errors"], OrdersRetries, {}),
    "queue": (replace(QUIET, duration=6.0), Floods, LOOSE),
}
KEPT = {
    rule: day
    for day, rule in (
        (FAULTY_POLICIES["empties"][2], "lost"),
        (SCENARIOS["errors"], "twice"),
        (SCENARIOS["drains"], "drain"),
        (SCENARIOS["cold"], "cold"),
        (BROKEN["queue"][0], "queue"),
    )
}
CASES = cases(bad_day=False)
DNS = replace(SCENARIOS["drains"], gateways=3, dns_clients=6, faults=(*SCENARIOS["drains"].faults,
              Fault(8.9, "summarize_dns_clients")))  # fmt: skip


def play(rule, kind):
    """One day in a process of its own: a loop shared by all would slow each by the others' load."""
    if kind == "sabotage":
        return rule.play(7)
    day, make, loose, guard = SCENARIOS.get(rule), None, {}, "enforce"
    if kind == "broken":
        (day, make, loose), guard = BROKEN[rule], "off"
    elif kind == "kept":
        day, make = KEPT[rule], Reconciler
    elif rule.startswith("dns"):
        day, make = DNS, Reconciler
        if rule == "dns overlong":
            frontend.TtlPolicy = OverlongTtlPolicy  # in this process of the pool alone, and put back below
    try:
        with tempfile.TemporaryDirectory() as folder:
            result = uvloop.run(Runner(day, 7, folder, FleetOptions(make, loose, guard)).run())
    finally:
        frontend.TtlPolicy = ttl.TtlPolicy
    return result, judge(result.evidence)


@pytest.fixture(scope="module")
def played():
    """Each broken planner's day without a guard and under one, and the same days with the module as it is."""
    days = [(rule, "broken") for rule in BROKEN] + [(rule, "kept") for rule in RULES]
    days += [("half-push", "process"), ("rollback", "process"), ("canary", "process")]
    days += [("rollback-cut", "process"), ("dns", "day"), ("dns overlong", "day")]
    days += [(case, "sabotage") for case in CASES]
    with ProcessPoolExecutor(10, multiprocessing.get_context("spawn")) as pool:
        return dict(zip(days, pool.map(play, *zip(*days, strict=True)), strict=True))


@pytest.mark.parametrize("rule", BROKEN)
def test_a_broken_planner_is_caught_by_its_rule(played, rule):
    result, verdicts = played[rule, "broken"]
    caught = [v.rule for v in verdicts if v.broken]
    assert RULES[rule] in caught, text(result, verdicts)
    assert broken(result, verdicts)


@pytest.mark.parametrize("rule", RULES)
def test_the_module_keeps_the_same_day(played, rule):
    result, verdicts = played[rule, "kept"]
    assert not broken(result, verdicts), text(result, verdicts)
    assert result.replayed > 20


@pytest.mark.parametrize("case", CASES, ids=lambda case: f"{case.name}-{case.kind}")
def test_sabotage_breaks_its_rule_and_keeps_all_under_the_guard(played, case):
    result, verdicts = played[case, "sabotage"]
    assert case.as_expected(result, verdicts), text(result, verdicts)


def test_a_planner_killed_with_half_a_push_out_keeps_the_rules_after_its_return(played):
    result, verdicts = played["half-push", "process"]
    assert not broken(result, verdicts), text(result, verdicts)
    streams = [s for s in result.evidence.streams if s.opened]
    assert len(streams) >= 2 * len(
        result.evidence.gateways
    )  # all came back to it, and once more after the cut


def test_bad_tables_are_taken_back_by_staff_on_running_planners(played):
    result, verdicts = played["rollback", "process"]
    assert not broken(result, verdicts), text(result, verdicts)
    back = result.notes[0]
    assert "to the last ACK" in back
    assert not back.startswith("0 ")


def test_a_planner_killed_between_a_rollbacks_order_and_its_answers_keeps_the_rules(played):
    result, verdicts = played["rollback-cut", "process"]
    assert not broken(result, verdicts), text(result, verdicts)
    assert len({s.server for s in result.evidence.streams}) > 12  # its gateways were on the other one too
    assert "tables ordered back" in result.notes[0]
    assert not result.notes[0].startswith("0 ")


def test_a_bad_table_is_tried_by_a_part_of_the_gateways_first(played):
    """Whether it goes back hangs on the errors that two gateways meet: the design note has the figures."""
    result, verdicts = played["canary", "process"]
    assert not broken(result, verdicts), text(result, verdicts)
    assert any("tried by 2 of 8" in note for note in result.notes), result.notes
    assert any(": back, " in note or ": on, " in note for note in result.notes), result.notes


def test_clients_by_dns_keep_the_rules(played):
    result, verdicts = played["dns", "day"]
    assert not broken(result, verdicts), text(result, verdicts)
    assert len(result.evidence.answers) == 6
    assert sum(t.gateway.startswith("dns") for t in result.evidence.tries) > 100


def test_answers_that_live_too_long_break_the_rule_on_drains(played):
    result, verdicts = played["dns overlong", "day"]
    (found,) = [v for v in verdicts if v.broken]
    assert found.rule == RULES["drain"], text(result, verdicts)
    assert all(text.startswith("dns-") for text in found.broken)


def test_tries_go_where_the_tables_in_force_say(played):
    """And a proxy that favours one server is caught: its tries of a server here are told as another's."""
    evidence = played["queue", "kept"][0].evidence  # a day on which nobody is avoided
    assert shares(evidence).chance > 1e-4
    favoured = evidence.tries[0].endpoint
    bent = [replace(t, endpoint=favoured) if k % 5 == 0 else t for k, t in enumerate(evidence.tries)]
    assert shares(replace(evidence, tries=bent)).chance < 1e-6


def test_the_days_hold_what_their_rules_look_at(played):
    """A verdict of a day that holds nothing to look at would say nothing."""
    assert any(t.state == "draining" for t in played["drain", "kept"][0].evidence.told)
    assert any(t.started for t in played["cold", "kept"][0].evidence.told)
    ends = played["twice", "kept"][0].ends
    assert ends.get("errored", 0) > 10
