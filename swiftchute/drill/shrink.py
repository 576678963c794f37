"""Looks for days that break a rule or come nearest to it, and cuts them down to what matters.

    worst = worst_first([(day, nearest, is_broken), ..])
    small = shrink(day, breaks, most=20)      # `breaks(day)` plays it and says whether it is still broken

The decisions are free of I/O: who plays a day is the caller's. A day that shrinks keeps its seed, so that
what is left is played as it was.
"""

import multiprocessing
import os
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from swiftchute.drill.faults import KINDS, drawn
from swiftchute.drill.invariants import Verdict, judge
from swiftchute.drill.report import broken
from swiftchute.drill.scenario import Day, Runner, Trouble

TWICE = "no effect twice"  # one run of one allowed is no nearness


@dataclass(frozen=True)
class Played:
    """A day, its seed, how near it came to any rule (1: the limit), and which it broke."""

    day: Day
    seed: int
    nearest: float
    rules: tuple[str, ...]
    failed: bool = False

    @property
    def bad(self) -> bool:
        """Whether a rule broke or the day was not played as written."""
        return bool(self.rules) or self.failed


def nearest(verdicts: list[Verdict]) -> float:
    """The largest part of any rule's limit that was used up."""
    return max((v.figure / v.limit for v in verdicts if v.rule != TWICE and v.limit), default=0.0)


def play(day: Day, seed: int) -> Played:
    """Play a day once; call in a process of its own."""
    import uvloop

    with tempfile.TemporaryDirectory() as folder:
        result = uvloop.run(Runner(day, seed, folder).run())
    verdicts = judge(result.evidence)
    rules = tuple(v.rule for v in verdicts if v.broken)
    return Played(day, seed, nearest(verdicts), rules, broken(result, verdicts) and not rules)


def worst_first(found: list[Played]) -> list[Played]:
    """Broken ones first, then by nearness."""
    return sorted(found, key=lambda p: (not p.bad, -p.nearest))


def smaller(day: Day) -> Iterator[Day]:
    """Days that are a step less than this one: without one of its troubles, or with one lasting half as
    long."""
    for place in range(len(day.troubles)):
        if len(day.troubles) > 1:
            yield replace(day, troubles=day.troubles[:place] + day.troubles[place + 1 :])
    for place, trouble in enumerate(day.troubles):
        names = list(KINDS[trouble.what].fields)
        if "lasts" in names and trouble.args[names.index("lasts")] > 1.0:
            at = names.index("lasts")
            args = (*trouble.args[:at], round(trouble.args[at] / 2, 3), *trouble.args[at + 1 :])
            less = Trouble(trouble.at, trouble.what, args)
            yield replace(day, troubles=(*day.troubles[:place], less, *day.troubles[place + 1 :]))


def shrink(day: Day, breaks: Callable[[Day], bool], most: int) -> tuple[Day, int]:
    """The least day that still breaks, with `most` plays at the most; and how many it took."""
    plays, again = 0, True
    while again:
        again = False
        for less in smaller(day):
            if plays >= most:
                return day, plays
            plays += 1
            if breaks(less):
                day, again = less, True
                break
    return day, plays


def search(seed: int, days: int, troubles: int, plays: int) -> tuple[list[Played], Day | None, int]:
    """Play so many drawn days, a few at a time; all of them, worst first, and the worst cut down if it
    broke."""
    jobs = max((os.cpu_count() or 2) // 2, 1)  # a day is a few processes
    seeds = range(seed, seed + days)
    with ProcessPoolExecutor(jobs, multiprocessing.get_context("spawn")) as pool:
        found = worst_first(list(pool.map(play, [drawn(s, troubles) for s in seeds], seeds)))
        worst = found[0]
        if not worst.bad:
            return found, None, 0
        day, took = shrink(worst.day, lambda d: pool.submit(play, d, worst.seed).result().bad, plays)
    return found, day, took
