"""Searches for scenarios that break an invariant or come close to it, and shrinks the worst of them.

    ordered = worst_first(played)
    smallest, plays = shrink(scenario, breaks, max_plays=20)   # `breaks` plays one

A scenario keeps its seed while it is shrunk, so that the remaining faults play as before.
"""

import multiprocessing
import os
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from swiftchute.drill.evidence import Verdict
from swiftchute.drill.faults import KINDS, draw_scenario
from swiftchute.drill.invariants import judge
from swiftchute.drill.report import broken
from swiftchute.drill.runner import Runner
from swiftchute.drill.scenario import Fault, Scenario

DUPLICATE_RULE = "no effect twice"  # left out: at its limit already by the one execution that is allowed
MIN_DURATION_S = 1.0  # a fault is not shortened below this


@dataclass(frozen=True)
class Played:
    """A scenario that was played, and how it went."""

    scenario: Scenario
    seed: int
    nearest: float  # largest used part of any invariant's limit; 1: the limit
    rules: tuple[str, ...]  # names of the invariants that broke
    failed: bool = False  # not played as written, or a repeated response changed something

    @property
    def bad(self) -> bool:
        """Whether an invariant broke or the run failed."""
        return bool(self.rules) or self.failed


def nearest(verdicts: list[Verdict]) -> float:
    """Return the largest used part of any invariant's limit."""
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
    """Sort runs: the bad ones first, then those closest to a limit."""
    return sorted(played, key=lambda one: (not one.bad, -one.nearest))


def smaller(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios that are a step smaller: one fault fewer, or one fault that lasts half as long."""
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
    """Return the smallest scenario found for which `breaks` still holds, and the number of plays."""
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
    """Play randomly drawn scenarios, a few at a time, and shrink the worst one if it is bad.

    Args:
        seed: Seed of the first scenario; the others count up from it.
        count: Number of scenarios.
        faults: Number of faults in each.
        max_plays: Maximum number of plays for shrinking.

    Returns:
        All runs, worst first; the shrunk scenario, or None if no run was bad; the plays spent on shrinking.
    """
    jobs = max((os.cpu_count() or 2) // 2, 1)  # each run starts several processes
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
