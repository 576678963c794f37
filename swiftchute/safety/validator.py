"""The guard: judges the tables of one planner before any front sees them, and mends what it refuses.

    guard = Guard(settings, Rules(...))
    verdict = guard.judge(proposed, before, facts, Known(full, ..), now)
    verdict.tables[number]      # the lines and level that may go out
    verdict.refusals            # rule, table, servers, figure, limit, and what was done

It is asked with all tables at once, since cold servers are loaded by all of them together. A table that
breaks no rule
goes out as it was proposed, to the letter. One that does is mended by the least that keeps the rules, in
this order; what
stands later gives way to what stands earlier:

1. `bad weight`: a weight that is not finite or is negative; the line keeps what it had, or goes.
2. `barred server`: a server that drains or is gone; the line goes. A drain is never held back.
3. `own zone`: a line outside the zone of an operation that may not leave it; it goes.
4. `empty pool`: no line is left; the lines before come back, less what 2 and 3 take, else every open warm
server.
5. `no warm server`: only cold lines while a warm server may be used; the warm ones join.
6. `one line`: a line of more than a stated part beside others; it is cut to that part.
7. `cold budget`: a cold server gets more, from all tables together, than it may; its lines are cut in all of
them. What proxies may still go by until they acknowledge counts with what they are to go by.
8. `overfull pool`, `large step` (`pools`): a change goes out in part only.
9. `full channel` (`gate`): what rule five lets through is nearly used up; the table stays, so that drains
   still get through.

Where no table is safe the least harmful goes out under a named exception: `no open server` (what there is
stays), `only
cold servers` (lines stay, the level falls to what they may be sent).
"""

import math
from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from swiftchute.api.settings import Settings
from swiftchute.safety.stale_list import worst_case_overload
from swiftchute.safety.step_limits import Over, StepLimits, blend

RULES = (
    "bad weight", "barred server", "own zone", "empty pool", "no warm server", "one line", "cold budget",
    "overfull pool", "large step", "full channel",
)  # fmt: skip
EXCEPTIONS = ("no open server", "only cold servers")
LATE = "late list"  # counted and told, never mended: see `Validator._late`
SLACK = 1.001  # figures are floats: what is over its limit by less is not over it


@dataclass(frozen=True)
class SafetyRules:
    """Settings of the guard: rules that only warn, the part a line may have, how far the list may be wrong,
    the part of the rule on cold servers that tables may plan for, as arrivals bunch and speeds differ, how
    far past the most it was seen to answer a pool may be filled, and the part of all demand that it may take
    up within the window."""

    warn: frozenset[str] = frozenset()
    line_part: float = 1.0
    late_part: float = 0.2
    cold_part: float = 0.6
    pool_most: float = 2.0
    step_part: float = 0.6
    step_window: int = 2_000_000_000
    channel_part: float = 0.7


@dataclass(frozen=True)
class EndpointStatus:
    """What the list says of a server: "ready", "draining" or "gone"; `started` 0 if long ago; its
    listed weight; its kind: those of a kind do the same work."""

    zone: str
    state: str
    started: int
    weight: float
    kind: str = ""


@dataclass(frozen=True)
class Proposal:
    """A table that is to go out, who is on it, and what they were sent of late (None: not known)."""

    lines: Mapping[str, float]
    level: float
    zones: frozenset[str]  # of the proxies on it; none: nobody is
    local: bool = False  # holds an operation that may not leave its zone
    demand: float | None = None  # invocations a second
    # what proxies on it go by until they acknowledge: the part of the demand that is theirs, and by cold
    # server the most of that part that it may get
    pending: tuple[tuple[float, Mapping[str, float]], ...] = ()
    spent: float = 0.0  # the part of what the rule on the queue lets through that is used up for its proxies


@dataclass(frozen=True)
class Observations:
    """What is known besides tables and the list.

    `full`: by kind, good answers a second that a warm server of weight 1 was seen to give; a kind that is not
    in it is not known; `used`: the same by zone and kind, in that zone alone. `answering`: servers that were
    seen to answer of late. `ill`: zones whose servers fail most of what they get. `here`: the part of all
    proxies that is on this planner; the others are sent to the same cold servers by other planners, or by
    their standing tables. `then`: what tables held a window ago.
    """

    full: Mapping[str, float] = field(default_factory=dict)
    used: Mapping[tuple[str, str], float] = field(default_factory=dict)
    answering: Collection[str] = ()
    ill: frozenset[str] = frozenset()
    here: float = 1.0
    then: Mapping[int, Mapping[str, float]] = field(default_factory=dict)


@dataclass(frozen=True)
class Violation:
    """One finding: the rule, where, the figure and its limit, and what was done ("mended", "warned",
    "sent")."""

    rule: str
    table: int
    servers: tuple[str, ...]
    figure: float
    limit: float
    done: str


@dataclass
class Verdict:
    """What may go out, by table: (lines, level); and all findings."""

    tables: dict[int, tuple[dict[str, float], float]] = field(default_factory=dict)
    refusals: list[Violation] = field(default_factory=list)


class Validator:
    """Judges proposals by the settings' rules."""

    def __init__(self, settings: Settings, rules: SafetyRules) -> None:
        """`settings` hold the figures of the rules on cold servers."""
        self.set, self.rules = settings, rules

    def capacity(self, fact: EndpointStatus, now: int) -> float:
        """The part of its full work that a server can do at least: it grows evenly, on the longest way."""
        if not fact.started:
            return 1.0
        least, age = self.set.start_capacity_fraction, (now - fact.started) / self.set.max_warmup_ns
        return min(least + (1 - least) * max(age, 0.0), 1.0)

    def judge(
        self,
        proposed: Mapping[int, Proposal],
        before: Mapping[int, Mapping[str, float]],
        facts: Mapping[str, EndpointStatus],
        known: Observations,
        now: int,
    ) -> Verdict:
        """Judge all tables.

        `before`: the lines that went out last. Pure: the same arguments give the same verdict.
        """
        self.facts, self.known, self.full, self.now = facts, known, known.full, now
        self.verdict, self.told = Verdict(), set()
        for number, table in sorted(proposed.items()):
            lines = self._lines(number, table, before.get(number, {}))
            self.verdict.tables[number] = (lines, table.level)
        self._pools(proposed, before)
        self._cold(proposed, before)
        for number, table in sorted(proposed.items()):
            self._late(number, table, before.get(number, {}))
        return self.verdict

    def _find(self, rule: str, table: int, servers: list[str], figure: float, limit: float) -> bool:
        """Note a finding; whether it is to be mended."""
        mend = rule not in self.rules.warn
        done = ("mended" if rule in RULES else "sent") if mend else "warned"
        self.verdict.refusals.append(Violation(rule, table, tuple(sorted(servers)), figure, limit, done))
        return mend

    def _open(self, server: str) -> bool:
        if server not in self.facts:
            return False
        state = self.facts[server].state
        # a list may call servers gone that serve: where gone does not bind, those that answer are open
        return state == "ready" or (
            state == "gone" and not self.set.removal_is_binding and server in self.known.answering
        )

    def _warm(self, server: str) -> bool:
        return self._open(server) and self.capacity(self.facts[server], self.now) >= 1

    # -- one table

    def _lines(self, number: int, table: Proposal, before: Mapping[str, float]) -> dict[str, float]:
        lines = dict(table.lines)
        bad = [n for n, w in lines.items() if not (math.isfinite(w) and w > 0)]
        if bad and self._find("bad weight", number, bad, len(bad), 0):
            for n in bad:
                lines.pop(n)
                if before.get(n, 0) > 0:
                    lines[n] = before[n]
        barred = [n for n in lines if not self._open(n) and self._binds(n)]
        taken = dict(lines)
        if barred and self._find("barred server", number, barred, len(barred), 0):
            taken = {n: w for n, w in taken.items() if n not in barred}
        if table.local:
            abroad = [n for n in taken if n in self.facts and self.facts[n].zone not in table.zones]
            if abroad and table.zones and self._find("own zone", number, abroad, len(abroad), 0):
                taken = {n: w for n, w in taken.items() if n not in abroad}
        if not table.zones:
            return taken  # nobody is on it: it harms no one yet
        taken = self._filled(number, table, taken, lines, before)
        return self._parted(number, taken)

    def _binds(self, server: str) -> bool:
        """Whether a server that is not ready must be left: one merely dropped may stay where gone
        does not bind."""
        state = self.facts[server].state if server in self.facts else "gone"
        return state == "draining" or self.set.removal_is_binding

    def _usable(self, table: Proposal) -> list[str]:
        """The open servers that a table may use: those of its proxies' zones, or others if these have
        none warm."""
        own = [n for n, f in self.facts.items() if self._open(n) and f.zone in table.zones]
        if table.local or any(self._warm(n) for n in own):
            return own
        return [n for n in self.facts if self._open(n)]

    def _filled(self, number: int, table: Proposal, taken: dict[str, float], lines: dict[str, float],
                before: Mapping[str, float]) -> dict[str, float]:  # fmt: skip
        usable = self._usable(table)
        if not taken:
            if not usable:
                # no table is safe: what there is stays, as an empty one would be no better
                self._find("no open server", number, [], 0, 1)
                return lines
            if not self._find("empty pool", number, list(lines), 0, 1):
                return taken
            taken = {n: w for n, w in before.items() if n in usable}
            taken = taken or {n: self.facts[n].weight for n in usable}
        warm = [n for n in usable if self._warm(n)]
        if not warm or any(self._warm(n) for n in taken):
            return taken
        if self._find("no warm server", number, list(taken), 0, 1):
            taken = taken | {n: self.facts[n].weight for n in warm}
        return taken

    def _parted(self, number: int, lines: dict[str, float]) -> dict[str, float]:
        part, total = self.rules.line_part, sum(lines.values())
        over = [n for n, w in lines.items() if len(lines) > 1 / part and w > part * total * SLACK]
        if over and self._find("one line", number, over, lines[over[0]] / total, part):
            for n in over:
                rest = total - lines[n]
                lines[n] = rest * part / (1 - part)
        return lines

    # -- all tables together

    def _pools(self, proposed: Mapping[int, Proposal], before: Mapping[int, Mapping[str, float]]) -> None:
        """Let a change go out in part where a pool would get too much, or too much at once."""
        old, new, then = {}, {}, {}
        for number, table in proposed.items():
            lines, level = self.verdict.tables[number]
            if not table.zones or not table.demand or not lines:
                continue
            demand = table.demand * min(level, 1.0)
            new[number] = (demand, lines)
            # what drains, is gone or may not be used any more was not left of one's own will
            usable = set(self._usable(table))
            kept = {n: w for n, w in before.get(number, {}).items() if n in usable}
            if kept:
                old[number] = (demand, kept)
            then[number] = (
                demand,
                {n: w for n, w in self.known.then.get(number, {}).items() if n in usable} or kept,
            )
        if all(new[t][1] == lines for t, (_, lines) in old.items()):
            return
        zone_of = {n: f.zone for n, f in self.facts.items() if self._warm(n)}
        answers: dict[str, float] = defaultdict(float)
        unknown = {self.facts[n].zone for n in zone_of if self.facts[n].kind not in self.full}
        for n, zone in zone_of.items():
            answers[zone] += self._work(self.facts[n]) or 0.0
        pools = StepLimits(zone_of, {z: a for z, a in answers.items() if z not in unknown}, self.known.ill)
        # tables that hold something for the first time load pools as they will; they are not held back
        ours = {t: new[t] for t in new if t not in old}
        was = pools.loads({t: row for t, row in then.items() if t in old} | ours)
        over: dict[tuple[str, str], Over] = {}

        def judge(before_: Mapping[str, float], after: Mapping[str, float]) -> list[Over]:
            found = pools.over(before_, after, was, self.rules.pool_most, self.rules.step_part)
            over.update({(o.rule, o.zone): o for o in found if (o.rule, o.zone) not in over})
            return [o for o in found if o.rule not in self.rules.warn]

        parts = pools.parts(old | ours, new, judge)
        for (rule, zone), found in sorted(over.items()):
            on = [
                t for t in old if pools.shares(new[t][1]).get(zone, 0) > pools.shares(old[t][1]).get(zone, 0)
            ]
            named = sorted(n for n in new[on[0]][1] if zone_of.get(n) == zone) if on else []
            self._find(rule, on[0] if on else min(new), named, found.figure, found.limit)
        for number, part in parts.items():
            if part < 1 and number in old:
                lines, level = self.verdict.tables[number]
                self.verdict.tables[number] = (blend(old[number][1], lines, part), level)

    def budget(self, server: str) -> float | None:
        """Invocations a second that this planner's proxies may send a server now; None if its kind's full
        work is not known."""
        fact = self.facts[server]
        work = self._work(fact)
        return None if work is None else self._multiple(fact) * work

    def _work(self, fact: EndpointStatus) -> float | None:
        """Good answers a second that this planner may count on from a server once it is warm.

        What its own proxies got in that zone is its own by use; where they sent little it is as much of the
        kind's full work as it has of all proxies.
        """
        full = self.full.get(fact.kind)
        if full is None:
            return None
        return max(self.known.used.get((fact.zone, fact.kind), 0.0), full * self.known.here) * fact.weight

    def _multiple(self, fact: EndpointStatus) -> float:
        """What a server may be sent by its full work: the part planned for of what the rule lets
        through now."""
        return self.rules.cold_part * self.set.overload_multiple * self.capacity(fact, self.now)

    def _load(self, proposed: Mapping[int, Proposal], number: int, server: str, share: float) -> float:
        """What a table brings a server a second at this share of it, what proxies still go by included."""
        table, level = proposed[number], min(self.verdict.tables[number][1], 1.0)
        load, rest = 0.0, 1.0
        for part, shares in table.pending:
            load += part * max(level * share, shares.get(server, 0.0))
            rest -= part
        return (table.demand or 0.0) * (load + max(rest, 0.0) * level * share)

    def _alone(self, proposed: Mapping[int, Proposal], number: int, share: float) -> float:
        """The same by what the table is to hold alone."""
        return (proposed[number].demand or 0.0) * min(self.verdict.tables[number][1], 1.0) * share

    def _share(self, number: int, server: str) -> float:
        lines = self.verdict.tables[number][0]
        return lines.get(server, 0.0) / sum(lines.values()) if lines else 0.0

    def _cold(self, proposed: Mapping[int, Proposal], before: Mapping[int, Mapping[str, float]]) -> None:
        used = [number for number, table in proposed.items() if table.zones]
        held = {number: self.verdict.tables[number][0] for number in used}
        cold = sorted({n for lines in held.values() for n in lines if self._open(n) and not self._warm(n)})
        mixed = [number for number in used if self._has_warm(number)]
        self._only_cold(proposed, [number for number in used if number not in mixed])
        cut: dict[str, float] = {}
        for _ in range(len(cold) + 1):  # what one loses others take up, so that more may have to be cut
            more = False
            for n in cold:
                # a table that gives the server up counts until all of its proxies have acknowledged that
                on = [t for t in used if n in held[t] or any(n in part for _, part in proposed[t].pending)]
                figure, limit, room = self._cold_figure(proposed, before, on, mixed, n)
                if n in cut:  # stays at its budget, whatever the others' cuts move
                    more |= figure > limit * SLACK and abs(room) < 1
                    cut[n] = room
                    continue
                if figure <= limit * SLACK or not set(on) & set(mixed):
                    continue
                if n not in self.told:
                    self.told.add(n)
                    if not self._find("cold budget", on[0], [n], figure, limit):
                        continue
                if "cold budget" not in self.rules.warn:
                    cut[n], more = room, True
            if not more:
                return
            for number in mixed:
                self._cut(number, cut)
            held = {number: self.verdict.tables[number][0] for number in used}

    def _cold_figure(
        self,
        proposed: Mapping[int, Proposal],
        before: Mapping[int, Mapping[str, float]],
        on: list[int],
        mixed: list[int],
        server: str,
    ) -> tuple[float, float, float]:
        """What a cold server gets, what it may, and the factor by which its part must fall."""
        budget = self.budget(server)
        if budget is None or any(proposed[number].demand is None for number in on):
            figure, limit = self._by_share(on, server)
            # minus: a factor of its weight, not of its share
            return figure, limit, -limit / figure if figure else -1.0

        def load(factor: float) -> float:
            return sum(
                self._load(
                    proposed, number, server, self._share(number, server) * (factor if number in mixed else 1)
                )
                for number in on
            )

        figure, least = load(1.0), load(0.0)
        if figure <= budget:
            return figure, budget, 1.0
        if least >= budget:
            # what proxies still go by is too much already: nobody is sent more until they acknowledge, and
            # nobody less than their tables held, as that would mend nothing and be undone a moment later
            now = {t: share for t in on if t in mixed and (share := self._share(t, server))}
            then = {t: before[t].get(server, 0.0) / sum(before[t].values()) for t in now if before.get(t)}
            fixed = sum(self._alone(proposed, t, self._share(t, server)) for t in on if t not in mixed)
            alone = sum(self._alone(proposed, t, share) for t, share in now.items())
            limits = [then.get(t, 0.0) / share for t, share in now.items()]
            room = min([*limits, max(budget - fixed, 0.0) / alone if alone else 1.0])
            return (figure, budget, room) if room * SLACK < 1 else (budget, budget, 1.0)
        low, high = 0.0, 1.0  # the load grows with the factor, by straight pieces
        for _ in range(30):
            middle = (low + high) / 2
            low, high = (middle, high) if load(middle) <= budget else (low, middle)
        return figure, budget, low

    def _cut(self, number: int, cut: Mapping[str, float]) -> None:
        """Let the shares (or weights) of these servers fall by their factors; other lines keep their
        weights."""
        held, level = self.verdict.tables[number]
        total = sum(held.values())
        shares = {n: held[n] / total * factor for n, factor in cut.items() if n in held and factor >= 0}
        lines = {n: w * -cut[n] if cut.get(n, 0) < 0 else w for n, w in held.items()}
        rest = sum(w for n, w in lines.items() if n not in shares)
        whole = rest / (1 - sum(shares.values()))
        made = {n: whole * shares[n] if n in shares else w for n, w in lines.items()}
        self.verdict.tables[number] = ({n: w for n, w in made.items() if w > 0}, level)

    def _has_warm(self, number: int) -> bool:
        return any(self._warm(n) for n in self.verdict.tables[number][0])

    def _by_share(self, on: list[int], server: str) -> tuple[float, float]:
        """A cold server's weight by its listed one, against the warm lines' beside it.

        For a planner just started, which knows no demand or full work: while the warm ones are not overfull,
        a
        cold one within this is not over its budget.
        """
        limit = self._multiple(self.facts[server])
        most = 0.0
        for number in on:
            lines = self.verdict.tables[number][0]
            warm = [w / self.facts[n].weight for n, w in lines.items() if self._warm(n)]
            if warm and server in lines:
                most = max(most, lines[server] / self.facts[server].weight / (sum(warm) / len(warm)))
        return most, limit

    def _only_cold(self, proposed: Mapping[int, Proposal], alone: list[int]) -> None:
        """Tables of nothing but cold servers: more than these may be sent would push them over for good."""
        known = [k for k in alone if self.verdict.tables[k][0] and proposed[k].demand is not None]
        loads: dict[str, float] = defaultdict(float)
        for number in known:
            for n in self.verdict.tables[number][0]:
                loads[n] += self._load(proposed, number, n, self._share(number, n))
        for number in known:
            lines, level = self.verdict.tables[number]
            budgets = {n: b for n in lines if self._open(n) and (b := self.budget(n))}
            over = max((loads[n] / b for n, b in budgets.items()), default=0.0)
            if over > SLACK and self._find("only cold servers", number, list(lines), over, 1.0):
                self.verdict.tables[number] = (lines, min(level, 1.0) / over)

    # -- lateness

    def _late(self, number: int, table: Proposal, before: Mapping[str, float]) -> None:
        """Whether a change makes the table less safe under the lists that could be true, and unsafe at that.

        Counted and told, not mended: at ordinary load most tables are unsafe under the worst list, and
        holding back
        a change would leave one in force that is as bad.
        """
        lines, level = self.verdict.tables[number]
        if not table.zones or table.demand is None:
            return
        rate = table.demand * min(level, 1.0)

        def figure(held: Mapping[str, float]) -> tuple[float, str]:
            known = {n: w for n, w in held.items() if n in self.facts and self.facts[n].kind in self.full}
            least = self.set.overload_multiple * self.set.start_capacity_fraction
            start = {n: least * (self._work(self.facts[n]) or 0.0) for n in known}
            ratio, server, _ = worst_case_overload(
                known, rate, start, math.floor(self.rules.late_part * len(known))
            )
            return ratio, server

        (now, server), (then, _) = figure(lines), figure(before)
        if now > 1 and now > then * 1.05 and before:
            self.verdict.refusals.append(Violation(LATE, number, (server,), now, 1.0, "warned"))
