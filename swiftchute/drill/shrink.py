"""Searches for scenarios that break a rule or come nearest to it, and shrinks them to what matters.

    ordered = worst_first(played)
    smallest, plays = shrink(scenario, breaks, max_plays=20)   # `breaks(scenario)` plays it

A scenario that shrinks keeps its seed, so that what is left is played as it was.
"""

import multiprocessing
import os
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from swiftchute.drill.faults import KINDS, draw_scenario
from swiftchute.drill.invariants import Verdict, judge
from swiftchute.drill.report import broken
from swiftchute.drill.runner import Runner
from swiftchute.drill.scenario import Fault, Scenario

DUPLICATE_RULE = "no effect twice"  # one execution of one allowed is not near the limit
MIN_DURATION_S = 1.0  # a fault is not shortened below this


@dataclass(frozen=True)
class Played:
    """A scenario that was played."""

    scenario: Scenario
    seed: int
    nearest: float  # how near it came to the limit of any rule; 1: the limit
    rules: tuple[str, ...]  # that broke
    failed: bool = False  # it was not played as written

    @property
    def bad(self) -> bool:
        """Whether a rule broke or it was not played as written."""
        return bool(self.rules) or self.failed


def nearest(verdicts: list[Verdict]) -> float:
    """Return the largest part of any rule's limit that was used up."""
    parts = (v.figure / v.limit for v in verdicts if v.rule != DUPLICATE_RULE and v.limit)
    return max(parts, default=0.0)


def play(scenario: Scenario, seed: int) -> Played:
    """Play a scenario once; call it in a process of its own."""
    import uvloop

    with tempfile.TemporaryDirectory() as folder:
        result = uvloop.run(Runner(scenario, seed, folder).run())
    verdicts = judge(result.evidence)
    rules = tuple(verdict.rule for verdict in verdicts if verdict.broken)
    failed = broken(result, verdicts) and not rules
    return Played(scenario, seed, nearest(verdicts), rules, failed)


def worst_first(played: list[Played]) -> list[Played]:
    """Return the broken ones first, then those nearest to a limit."""
    return sorted(played, key=lambda one: (not one.bad, -one.nearest))


def smaller(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios that are a step smaller: one fault less, or one that lasts half as long."""
    faults = scenario.faults
    for index in range(len(faults)):
        if len(faults) > 1:
            yield replace(scenario, faults=faults[:index] + faults[index + 1 :])
    for index, fault in enumerate(faults):
        shorter = _shorter(fault)
        if shorter is not None:
            yield replace(scenario, faults=(*faults[:index], shorter, *faults[index + 1 :]))


def _shorter(fault: Fault) -> Fault | None:
    names = list(KINDS[fault.action].fields)
    if "lasts" not in names:
        return None
    place = names.index("lasts")
    lasts = fault.arguments[place]
    if lasts <= MIN_DURATION_S:
        return None
    half = round(lasts / 2, 3)
    return replace(fault, arguments=(*fault.arguments[:place], half, *fault.arguments[place + 1 :]))


def shrink(scenario: Scenario, breaks: Callable[[Scenario], bool], max_plays: int) -> tuple[Scenario, int]:
    """Return the smallest scenario found that still breaks, and how many plays it took."""
    plays = 0
    found = True
    while found:
        found = False
        for candidate in smaller(scenario):
            if plays >= max_plays:
                return scenario, plays
            plays += 1
            if breaks(candidate):
                scenario, found = candidate, True
                break
    return scenario, plays


def search(seed: int, count: int, faults: int, max_plays: int) -> tuple[list[Played], Scenario | None, int]:
    """Play drawn scenarios, a few at a time, and shrink the worst if it broke.

    Args:
        seed: Seed of the first; the others follow.
        count: How many are played.
        faults: Faults in each.
        max_plays: Bound of the plays that shrinking takes.

    Returns:
        All of them, worst first; the shrunk one if any broke; and the plays that it took.
    """
    jobs = max((os.cpu_count() or 2) // 2, 1)  # each is a few processes
    seeds = range(seed, seed + count)
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        scenarios = [draw_scenario(one, faults) for one in seeds]
        played = worst_first(list(pool.map(play, scenarios, seeds)))
        worst = played[0]
        if not worst.bad:
            return played, None, 0

        def breaks(scenario: Scenario) -> bool:
            return pool.submit(play, scenario, worst.seed).result().bad

        smallest, plays = shrink(worst.scenario, breaks, max_plays)
    return played, smallest, plays
