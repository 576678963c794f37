"""A canary: a large change of a table goes to a part of its proxies first, and on unless sums turn worse.

    trials = Trials(Limits(part=0.2, span=5 * S, most=30 * S, step=0.25))
    trials.change(table, before, after, versions, proxies, starts, cold, now)   # perhaps a trial
    trials.first(table, proxy)                  # whether a proxy is to hold the new content
    trials.rest(table, starts)                  # the lines of the others; None: there is no trial
    trials.settled(proxy, versions, now); trials.heard(proxy, table, rows, now); trials.left(proxy)
    trials.over(now)                            # (table, end): those that are over, and how they ended

What a rule needs never waits. The others' lines lose servers that drain, are gone, were withdrawn or have
started anew, as soon as that is known; a change that gives a cold server less is no trial; levels and tries
are never tried. No I/O, no clock: times come in, in nanoseconds.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

S = 1_000_000_000
MIN_REQUESTS = 30  # invocations on each side, below which a share of errors says nothing
MARGIN = 0.05  # a part of errors higher by less is no reason to go back, however sure
# standard errors: after its span, at each look before it (many looks find chance), and when all time is over
SURE, SURE_EARLY, SURE_LAST = 3.0, 4.0, 2.0
SLOWER = 2.0  # times the others' mean time of a good answer
TRIALS_MOST = 1000  # past it a change goes to all at once
CHOICES = 3  # proxies are chosen anew so often when all that were chosen have left


@dataclass(frozen=True)
class CanaryLimits:
    """The part of a table's proxies that hold a change first (0: no canary), for how long after they
    acknowledged it, for how long at most in all, and the part of the shares that must move."""

    part: float = 0.0
    span: int = 5 * S
    most: int = 30 * S
    step: float = 0.25


@dataclass
class ReportTotals:
    """What proxies reported: invocations, those that errored, the sum of good times and their number."""

    invs: int = 0
    errored: int = 0
    took: int = 0
    timed: int = 0

    def add(self, invs: int, errored: int, took: int, timed: int) -> None:
        """One report's rows."""
        self.invs, self.errored = self.invs + invs, self.errored + errored
        self.took, self.timed = self.took + took, self.timed + timed


@dataclass(frozen=True)
class TrialOutcome:
    """How a trial ended: back or on, why in words, and the version that was before it."""

    back: bool
    why: str
    before: bytes


@dataclass
class _Trial:
    lines: dict[str, float]  # what the others hold
    starts: dict[str, int]  # when its servers had started
    weight_shares: dict[str, float]  # of what is tried
    before: bytes
    version: bytes
    began: int
    first: set[Any]
    choices: int = 1
    since: dict[Any, int] = field(default_factory=dict)  # when each of the first acknowledged it
    refused: set[Any] = field(default_factory=set)
    new: ReportTotals = field(default_factory=ReportTotals)
    old: ReportTotals = field(default_factory=ReportTotals)
    ended: str = ""  # goes on at once, for this reason


def weight_shares(lines: Mapping[str, float]) -> dict[str, float]:
    """Weights as parts of their sum."""
    total = sum(lines.values())
    return {n: w / total for n, w in lines.items()} if total else {}


def moved_fraction(one: Mapping[str, float], two: Mapping[str, float]) -> float:
    """The part of all invocations that goes elsewhere by shares `two` than by `one`."""
    return sum(max(part - one.get(n, 0.0), 0.0) for n, part in two.items())


def regression(new: ReportTotals, old: ReportTotals, sure: float) -> str:
    """Why what the first report is worse than what the others do; "" if it is not.

    Errors by the difference of two proportions in standard errors (pooled), times by their means.
    """
    if min(new.invs, old.invs) >= MIN_REQUESTS:
        a, b = new.errored / new.invs, old.errored / old.invs
        pooled = (new.errored + old.errored) / (new.invs + old.invs)
        error = math.sqrt(pooled * (1 - pooled) * (1 / new.invs + 1 / old.invs))
        if a - b > max(MARGIN, sure * error):
            return f"{new.errored} of {new.invs} errored, {old.errored} of {old.invs} with the others"
    if min(new.timed, old.timed) >= MIN_REQUESTS and new.took / new.timed > SLOWER * old.took / old.timed:
        a, b = (t.took / t.timed / 1e6 for t in (new, old))
        return f"{a:.0f} ms a good answer, {b:.0f} with the others"
    return ""


class CanaryTrials:
    """Open trials by table."""

    def __init__(self, limits: CanaryLimits) -> None:
        """None is open."""
        self.limits = limits
        self.open: dict[str, _Trial] = {}
        self.counts = dict.fromkeys(("trials", "on", "back"), 0)

    def change(
        self,
        table: str,
        before: Mapping[str, float],
        after: Mapping[str, float],
        versions: tuple[bytes, bytes],
        proxies: Mapping[Any, float],
        starts: Mapping[str, int],
        cold: frozenset[str],
        now: int,
    ) -> bool:
        """A table's lines changed by an order that may wait; whether a trial is open.

        `versions`: before and after; `proxies`: on the table, with their invocations a second; `starts`: of
        open servers. A change within a trial goes to the first alone; one as large as a trial's begins its
        time anew, within what a trial may last.
        """
        trial, new = self.open.get(table), weight_shares(after)
        held = {n: w for n, w in (trial.lines if trial else before).items() if n in starts}
        old = weight_shares(held)
        if any(old.get(n, 0.0) > new.get(n, 0.0) + 1e-9 for n in cold):
            self.close(table)  # less for a cold server is what a rule needs: no waiting
            return False
        if trial is not None:
            if moved_fraction(trial.weight_shares, new) >= self.limits.step:
                trial.since, trial.new, trial.old = {}, ReportTotals(), ReportTotals()
                trial.weight_shares = new
            trial.version = versions[1]
            if moved_fraction(old, new) < self.limits.step:
                trial.ended = "what was tried is taken back"
            return True
        few = max(1, round(self.limits.part * len(proxies)))
        if (
            not self.limits.part
            or few >= len(proxies)
            or not old
            or moved_fraction(old, new) < self.limits.step
        ):
            return False
        if len(self.open) >= TRIALS_MOST:
            return False
        began = {n: starts[n] for n in held}
        self.open[table] = _Trial(held, began, new, *versions, now, set(self._least_busy(proxies, few)))
        self.counts["trials"] += 1
        return True

    @staticmethod
    def _least_busy(proxies: Mapping[Any, float], few: int) -> list[Any]:
        """The busiest come last: what is wrong hurts the fewest."""
        return sorted(proxies, key=lambda p: (proxies[p], str(p)))[:few]

    def close(self, table: str) -> None:
        """All proxies go by what is newest."""
        self.open.pop(table, None)

    def first(self, table: str, proxy: Any) -> bool:
        """Whether a proxy holds what is newest."""
        trial = self.open.get(table)
        return trial is None or proxy in trial.first

    def rest(self, table: str, starts: Mapping[str, int]) -> dict[str, float] | None:
        """The lines of those who are not first, less servers that are not open, or not what they were;
        what was taken out stays out. None: there is no trial, or none of the servers is left."""
        trial = self.open.get(table)
        if trial is None:
            return None
        kept = {n: w for n, w in trial.lines.items() if starts.get(n) == trial.starts[n]}
        if not kept:
            self.close(table)
            return None
        trial.lines = kept
        return kept

    def settled(self, proxy: Any, held: Mapping[str, bytes], now: int) -> None:
        """A proxy has acknowledged these versions by table."""
        for table, trial in self.open.items():
            if proxy in trial.first and held.get(table) == trial.version:
                trial.since.setdefault(proxy, now)

    def refused(self, proxy: Any, table: str) -> None:
        """A proxy rejects what is tried."""
        trial = self.open.get(table)
        if trial is not None and proxy in trial.first:
            trial.refused.add(proxy)

    def heard(self, proxy: Any, table: str, rows: tuple[int, int, int, int], since: int) -> None:
        """What a proxy of the table reported of the time from `since` on, as `Tally.add` takes it."""
        trial = self.open.get(table)
        if trial is None:
            return
        if proxy in trial.first:
            if since >= trial.since.get(proxy, 2**63):  # it went by the new for all of the report's time
                trial.new.add(*rows)
        elif trial.since and since >= min(trial.since.values()):
            trial.old.add(*rows)

    def left(self, proxy: Any) -> None:
        """A proxy's stream broke."""
        for trial in self.open.values():
            trial.first.discard(proxy)
            trial.since.pop(proxy, None)
            trial.refused.discard(proxy)

    def choose(self, table: str, proxies: Mapping[Any, float]) -> bool:
        """Choose anew if all that were chosen have left; whether others were chosen."""
        trial = self.open.get(table)
        if trial is None or trial.first:
            return False
        few = max(1, round(self.limits.part * len(proxies)))
        if few >= len(proxies) or trial.choices >= CHOICES:
            trial.ended = "nobody is left to try it"
            return False
        trial.choices += 1
        trial.first = set(self._least_busy(proxies, few))
        trial.new, trial.old = ReportTotals(), ReportTotals()
        return True

    def over(self, now: int) -> list[tuple[str, TrialOutcome]]:
        """Trials that are over; they are closed."""
        found = []
        for table, trial in self.open.items():
            end = self._end(trial, now)
            if end is not None:
                found.append((table, end))
        for table, end in found:
            self.counts["back" if end.back else "on"] += 1
            self.close(table)
        return found

    def _end(self, trial: _Trial, now: int) -> TrialOutcome | None:
        if trial.ended:
            return TrialOutcome(False, trial.ended, trial.before)
        if trial.first and 2 * len(trial.refused) >= len(trial.first):
            return TrialOutcome(True, f"{len(trial.refused)} of {len(trial.first)} reject it", trial.before)
        last = max(trial.since.values(), default=now)
        ready = len(trial.since) == len(trial.first) and now - last >= self.limits.span
        why = regression(trial.new, trial.old, SURE if ready else SURE_EARLY)
        if why:
            return TrialOutcome(True, why, trial.before)
        doubts = regression(trial.new, trial.old, 0.0)  # past the margin and perhaps by chance: wait for more
        if ready and min(trial.new.invs, trial.old.invs) >= MIN_REQUESTS and not doubts:
            why = f"{trial.new.errored} of {trial.new.invs} errored, {trial.old.errored} of {trial.old.invs}"
            return TrialOutcome(False, f"{why} with the others", trial.before)
        if now - trial.began >= self.limits.most:
            why = regression(trial.new, trial.old, SURE_LAST)
            if why:
                return TrialOutcome(True, why, trial.before)
            return TrialOutcome(False, f"{trial.new.invs} invocations in all its time", trial.before)
        return None

    @property
    def due(self) -> int | None:
        """When a trial may be over without further news."""
        times = [trial.began + self.limits.most for trial in self.open.values()]
        times += [
            max(trial.since.values()) + self.limits.span
            for trial in self.open.values()
            if trial.since
            and len(trial.since) == len(trial.first)
            and min(trial.new.invs, trial.old.invs) >= MIN_REQUESTS  # else the next report tells
            and not regression(trial.new, trial.old, 0.0)
        ]
        return min(times, default=None)
