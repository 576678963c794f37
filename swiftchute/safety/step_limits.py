"""Pools: what tables bring the warm servers of each zone, and how far a change may go at once.

    pools = Pools(zone_of, answers, ill)
    loads = pools.loads(tables)                     # invocations a second by zone
    over = pools.over(old, new, then, most, step)   # the pools that a change of loads puts past a limit
    parts = pools.parts(old, new, judge)            # by table: how much of its change may go out, 0 to 1

Tables are `(demand, lines)`. A change that goes out in part is a mixture of its old and new shares, so that
what a pool gets moves evenly with the part; the least that must be held back follows without trying. Two
rules:

- `overfull pool`: a pool would get more than a stated multiple of the most that it was seen to answer, and
  more than it gets now, while another that the change takes from has room.
- `large step`: within a window a pool would take up more than a stated part of all demand. What leaves a pool
  that answers badly is not counted: there is nothing to go back to.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

SLACK = 1.001
Loads = Mapping[str, float]
Tables = Mapping[int, tuple[float, Mapping[str, float]]]


@dataclass(frozen=True)
class Over:
    """A pool past a limit: the rule, the zone, its figure and the limit in invocations a second."""

    rule: str
    zone: str
    figure: float
    limit: float


class StepLimits:
    """The warm servers by zone, and what each pool was seen to answer at most."""

    def __init__(self, zone_of: Mapping[str, str], answers: Mapping[str, float], ill: frozenset[str]) -> None:
        """`zone_of`: the zone of each warm open server; `answers`: the most by zone, where known; `ill`:
        zones whose servers fail most of what they get."""
        self.zone_of, self.answers, self.ill = zone_of, answers, ill

    def shares(self, lines: Mapping[str, float]) -> dict[str, float]:
        """The part of a table that goes to each zone's warm servers."""
        total, found = sum(lines.values()), defaultdict(float)
        for server, weight in lines.items():
            if server in self.zone_of:
                found[self.zone_of[server]] += weight / total
        return found

    def loads(self, tables: Tables) -> dict[str, float]:
        """Invocations a second by zone."""
        found: dict[str, float] = defaultdict(float)
        for demand, lines in tables.values():
            for zone, share in self.shares(lines).items():
                found[zone] += demand * share
        return found

    def over(self, old: Loads, new: Loads, then: Loads, most: float, step: float) -> list[Over]:
        """The pools that a change from `old` to `new` would put past a limit; `then`: a window ago."""
        found = []
        total = sum(new.values())
        free = sum(then.get(zone, 0.0) for zone in self.ill)  # may go anywhere at once
        room = {z for z in self.answers if z not in self.ill and new.get(z, 0.0) < self.answers[z]}
        for zone, load in sorted(new.items()):
            rest = old.get(zone, 0.0)
            if load <= rest * SLACK:
                continue
            limit = max(most * self.answers.get(zone, float("inf")), rest)
            taken = {z for z in room - {zone} if old.get(z, 0.0) > new.get(z, 0.0)}
            if load > limit * SLACK and taken:
                found.append(Over("overfull pool", zone, load, limit))
            limit = max(then.get(zone, 0.0) + step * total + free, rest)
            if load > limit * SLACK:
                found.append(Over("large step", zone, load, limit))
        return found

    def parts(
        self, old: Tables, new: Tables, judge: Callable[[Loads, Loads], list[Over]]
    ) -> dict[int, float]:
        """By table, how much of its change may go out so that `judge(old loads, new loads)` finds nothing."""
        parts = dict.fromkeys(old, 1.0)
        was = self.loads(old)
        moves = {t: (self.shares(old[t][1]), self.shares(new[t][1])) for t in old}
        for _ in range(len(was) + 2):
            held = self.loads({t: (new[t][0], blend(old[t][1], new[t][1], parts.get(t, 1.0))) for t in new})
            over = judge(was, held)
            if not over:
                return parts
            for found in over:
                up = {
                    t: new[t][0] * (b.get(found.zone, 0.0) - a.get(found.zone, 0.0))
                    for t, (a, b) in moves.items()
                }
                rise = sum(parts[t] * d for t, d in up.items() if d > 0)
                rest = held[found.zone] - rise
                factor = min(max((found.limit - rest) / rise, 0.0), 1.0) if rise > 0 else 0.0
                for t, d in up.items():
                    parts[t] *= factor if d > 0 else 1.0
        return dict.fromkeys(old, 0.0)  # what one gives up another takes: nothing moves until the next round


def blend(old: Mapping[str, float], new: Mapping[str, float], part: float) -> dict[str, float]:
    """Lines whose shares are `part` of the way from old to new; at 1 the new lines to the letter."""
    if part >= 1 or not old:
        return dict(new)
    before, after = sum(old.values()), sum(new.values())
    made = {
        n: after * (part * new.get(n, 0.0) / after + (1 - part) * old.get(n, 0.0) / before)
        for n in {**new, **old}
    }
    return {n: w for n, w in made.items() if w > 0}
