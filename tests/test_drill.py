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

from swiftchute.drill.checker import judge
from swiftchute.drill.day import DAYS, Runner
from swiftchute.drill.report import broken, text
from swiftchute.policy import Planner

RULES = {
    "lost": "nobody left without a server",
    "twice": "no effect twice",
    "drain": "drains kept",
    "cold": "no cold server pushed over",
    "queue": "a short queue",
}


class Bent(Planner):
    """The module with one decision bent; `bend(verb, arguments)` returns the verbs written in its place."""

    def decide(self, now, calls, writer):
        self.passed = writer
        super().decide(now, [self.hears(name, arguments) for name, arguments in calls], self)
        self.after(now)

    def hears(self, name, arguments):
        return name, arguments

    def bend(self, verb, arguments):
        return [(verb, arguments)]

    def after(self, now):
        """What is written at the end of each round."""

    def __getattr__(self, verb):
        if verb not in (
            "line",
            "clear",
            "bind",
            "admit",
            "withdraw",
            "mark",
            "watch",
            "timer",
            "log",
            "fetch",
        ):
            raise AttributeError(verb)

        def write(*arguments):
            for name, changed in self.bend(verb, arguments):
                getattr(self.passed, name)(*changed)

        return write


class IgnoresDrains(Bent):
    def hears(self, name, arguments):
        if name != "listed":
            return name, arguments
        scope, entries = arguments
        return name, (scope, [(*e[:4], "ready", *e[5:]) for e in entries])


class EmptiesTables(Bent):
    born = None

    def after(self, now):
        self.born = self.born or now
        if now - self.born > 3 * 10**9:
            for tables in self.tables.values():
                for table in tables:
                    self.passed.clear(table.number)


class SendsAllToCold(Bent):
    sent = None

    def after(self, now):
        cold = [n for n, s in self.servers.items() if s.state == "ready" and s.started]
        self.sent = self.sent or set()
        for (zone, _), tables in self.tables.items():
            for table in tables:
                for n in cold:
                    if self.servers[n].zone == zone and (table.number, n) not in self.sent:
                        self.sent.add((table.number, n))
                        self.passed.line(table.number, n, 1000.0)

    def bend(self, verb, arguments):
        if verb == "line" and self.servers[arguments[1]].started and arguments[2]:
            return []
        if verb == "admit":
            return [(verb, (*arguments[:2], 1.0, arguments[3]))]
        return [(verb, arguments)]


class Floods(Bent):
    count, due = 0, False

    def hears(self, name, arguments):
        if (name, arguments) != ("woke", (2,)):
            return name, arguments
        self.due = False
        return "ignored", ()

    def after(self, now):
        self.count += 1
        if not self.due:
            self.due = True
            self.passed.timer(20_000_000, 2)
        for tables in self.tables.values():
            for table in tables:
                for n, weight in table.sent.items():
                    if n:
                        self.passed.line(table.number, n, weight * (1 + self.count % 50 / 10))


class OrdersRetries(Bent):
    def bend(self, verb, arguments):
        if verb != "admit":
            return [(verb, arguments)]
        return [(verb, (*arguments[:3], 2))]


LOOSE = {"limit": 1e6, "pace": 1e6, "messages": 0}
QUIET = replace(DAYS["quiet"], seconds=8.0, workers=9, gateways=6, planners=1)
BROKEN = {
    "lost": (replace(QUIET, bare_limit=1.5), EmptiesTables, {}),
    "twice": (DAYS["errors"], OrdersRetries, {}),
    "drain": (DAYS["drains"], IgnoresDrains, {}),
    "cold": (DAYS["cold"], SendsAllToCold, {}),
    "queue": (replace(QUIET, seconds=6.0), Floods, LOOSE),
}  # fmt: skip


GUARDED = ("lost", "drain", "cold")  # what a guard can mend; the others are the module's and the channel's


def play(rule, kind):
    """One day in a process of its own: a loop shared by all would slow each by the others' load."""
    day, make, loose = BROKEN.get(rule, (DAYS.get(rule), None, {}))
    if kind == "kept":
        make, loose = Planner, {}
    with tempfile.TemporaryDirectory() as folder:
        guard = "off" if kind == "broken" else "enforce"
        result = uvloop.run(Runner(day, 7, folder, make, loose=loose, guard=guard).run())
    return result, judge(result.evidence)


@pytest.fixture(scope="module")
def played():
    """Each broken planner's day without a guard and under one, and the same days with the module as it is."""
    days = [(rule, kind) for rule in BROKEN for kind in ("broken", "kept")] + [("half-push", "process")]
    days += [(rule, "guarded") for rule in GUARDED]
    with ProcessPoolExecutor(len(days), multiprocessing.get_context("spawn")) as pool:
        return dict(zip(days, pool.map(play, *zip(*days, strict=True)), strict=True))


@pytest.mark.parametrize("rule", RULES)
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


@pytest.mark.parametrize("rule", GUARDED)
def test_under_the_guard_the_same_broken_planner_keeps_every_rule(played, rule):
    result, verdicts = played[rule, "guarded"]
    assert not broken(result, verdicts), text(result, verdicts)


def test_a_planner_killed_with_half_a_push_out_keeps_the_rules_after_its_return(played):
    result, verdicts = played["half-push", "process"]
    assert not broken(result, verdicts), text(result, verdicts)
    streams = [s for s in result.evidence.streams if s.on]
    assert len(streams) >= 2 * len(
        result.evidence.gateways
    )  # all came back to it, and once more after the cut


def test_the_days_hold_what_their_rules_look_at(played):
    """A verdict of a day that holds nothing to look at would say nothing."""
    assert any(t.state == "draining" for t in played["drain", "kept"][0].evidence.told)
    assert any(t.started for t in played["cold", "kept"][0].evidence.told)
    ends = played["twice", "kept"][0].ends
    assert ends.get("errored", 0) > 10
