"""One planner without I/O: what fronts and sources tell it in, pushes and log events out.

    core = Core(settings, seed, make=Planner)
    core.joined(proxy, zone, rate, fresh); core.left(proxy); core.applied(proxy, seal, now)
    core.heard(proxy, zone, report, now); core.listed(news)
    turn = core.turn(now)       # call after any of these, and at core.due
    turn.pushes                 # (proxy, seal): these proxies are to hold core.held(proxy) now
    turn.refused, turn.events

It keeps the clock's rounds: the module is called once a turn with all that came in. Every decision about
servers, weights, levels, times and who is bound where is the module's. Fronts (xDS, others to come) hold no
tables of their own: they serve `held(proxy)` and `content(table)`. What is decided here is plumbing: what of
the module's orders has left the channel, and what becomes of a module that fails.
"""

import random
import traceback
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from swiftchute.guard.gate import Gate
from swiftchute.guard.guard import Fact, Known, Proposal, Rules
from swiftchute.guard.seen import Seen, by_kind
from swiftchute.interface import Call, Decider, Entry, Settings
from swiftchute.planner.channel import Channel
from swiftchute.planner.orders import Orders, Round
from swiftchute.planner.sent import Sent
from swiftchute.planner.sums import Report, Sums
from swiftchute.registry.lists import News

S = 1_000_000_000
STALL = 2 * S  # a turn that comes so much later than it was due: this planner stood still
FAULTS, FAULT_SPAN = (
    5,
    60 * S,
)  # faults of the module within the span past which it waits before the next start
FAULT_WAIT = 10 * S
CALLS_MOST = 200_000  # calls that may wait for a round; joins, leaves and lists pass the bound, sums do not
SEALS_KEPT = 4096  # marks whose time of order is remembered
FACTS_MOST = 200_000  # servers remembered, those gone among them: past it the gone are forgotten
IDLE = 1 * S  # a turn at least so often

Line = tuple[str, str, float]  # server, its zone, weight


@dataclass(frozen=True)
class Content:
    """What a table holds: its lines, and by operation of the settings the level and the way of
    further tries."""

    lines: tuple[Line, ...]
    levels: tuple[tuple[float, int], ...]


@dataclass(frozen=True)
class Holding:
    """What a proxy should hold: by operation the name of its table, and the tables' contents by name."""

    bound: tuple[tuple[str, str], ...] = ()
    contents: dict[str, Content] = field(default_factory=dict, compare=False)


@dataclass
class Turn:
    """What a turn asks of the fronts."""

    pushes: list[tuple[Any, int | None]] = field(default_factory=list)
    refused: list[Any] = field(default_factory=list)  # proxies for whose message the channel had no room
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)


@dataclass
class _Joined:
    zone: str
    rate: float
    seal: int | None = None  # the newest mark ordered and not pushed yet
    carried: Holding | None = None  # what it held of a module that failed


class Core:
    """The state of one planner's life."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        make: Callable[[Settings, int], Decider],
        now: int = 0,
        guard: Rules | None = None,
        enforce: bool = True,
    ) -> None:
        """`make` builds the module, anew after each of its faults; without `guard` tables go out as
        ordered."""
        self.rules, self.enforce = guard, enforce
        self.set, self.make, self.random = settings, make, random.Random(seed)
        self.planner: Decider | None = make(settings, seed)
        self.sums = Sums(settings.report_lines, settings.report_period)
        self.proxies: dict[Any, _Joined] = {}
        self.list: dict[str, Entry] = {}
        self.facts: dict[str, Fact] = {}  # what the list says, or last said, of each server
        self.reviewed = now
        self.news = 0  # lists that brought something
        self.barred: frozenset[str] = frozenset()  # servers listed as draining, or gone where gone binds
        self.calls: list[Call] = []
        self.timers: list[tuple[int, int]] = []
        self.faults: deque[int] = deque(maxlen=FAULTS)
        self.asleep: int | None = None  # until when the module is not started again
        self.turned = now
        self.counts = dict.fromkeys(("rounds", "faults", "calls_lost", "pushes"), 0)
        self.out = Turn()
        self._fresh()

    def _fresh(self) -> None:
        s = self.set
        self.orders = Orders(s, lenient=self.rules is not None and self.enforce)
        self.gate = Gate(s, self.rules, self.enforce, self.random.getrandbits(32)) if self.rules else None
        self.seen, self.sent = Seen(), Sent()
        self.channel = Channel(
            s.channel_pace, s.channel_limit, s.message_lines, s.message_limit, s.message_window
        )
        self.contents: dict[int, tuple[int, Content]] = {}
        self.holdings: dict[Any, Holding] = {}
        self.ordered: dict[int, int] = {}

    def event(self, event: str, **fields: Any) -> None:
        """An event for the log, told with the next turn."""
        self.out.events.append((event, fields))

    # -- in

    def joined(self, proxy: Any, zone: str, rate: float, fresh: bool) -> None:
        """A proxy takes this planner's messages from now on; it is bound to nothing yet."""
        self.proxies[proxy] = _Joined(zone, rate)
        self.orders.joined(proxy, zone)
        self.calls.append(("joined", (proxy, zone, rate, fresh)))

    def left(self, proxy: Any) -> None:
        """Its stream broke: what waits for it is lost."""
        if self.proxies.pop(proxy, None) is not None:
            self.orders.left(proxy)
            self.channel.left(proxy)
            self.sent.left(proxy)
            self.sums.left(proxy)
            self.calls.append(("left", (proxy,)))

    def applied(self, proxy: Any, seal: int, now: int) -> None:
        """A proxy has acknowledged all that belongs to a mark and to those before it."""
        self._sum(("applied", (proxy, seal, now - self.ordered.get(seal, now))))

    def settled(self, proxy: Any) -> None:
        """A proxy holds all that was pushed to it."""
        self.sent.settled(proxy)

    def heard(self, proxy: Any, report: Report, now: int) -> None:
        """A load report of a proxy; one that is not joined is not heard."""
        joined = self.proxies.get(proxy)
        if joined is not None:
            self.sums.add(proxy, joined.zone, report, self.facts, now)

    def listed(self, news: News) -> None:
        """A good list brought these entries."""
        self.news += 1
        barred = set(self.barred)
        for entry in news.entries:
            server, zone, state = entry[0], entry[1], entry[4]
            if state == "gone":
                self.list.pop(server, None)
            else:
                self.list[server] = entry
            self.facts[server] = Fact(zone, state, entry[6], entry[5], entry[2])
            if len(self.facts) > FACTS_MOST:  # those gone are forgotten; to the guard they are gone still
                self.facts = {n: f for n, f in self.facts.items() if f.state != "gone"}
            binds = state == "draining" or (state == "gone" and self.set.gone_binds)
            (barred.add if binds else barred.discard)(server)
        if len(barred) > FACTS_MOST:
            barred &= self.facts.keys()
        self.barred = frozenset(barred)
        self.calls.append(("listed", (news.scope, list(news.entries))))

    def _sum(self, call: Call) -> None:
        if len(self.calls) >= CALLS_MOST:
            self.counts["calls_lost"] += 1
        else:
            self.calls.append(call)

    # -- a turn

    @property
    def due(self) -> int:
        """When the next turn is due."""
        times = [self.turned + IDLE, *(when for when, _ in self.timers)]
        more = (self.channel.due, self.sums.due, self.asleep, self.gate.due if self.gate else None)
        return min(times + [t for t in more if t is not None])

    def turn(self, now: int) -> Turn:
        """Call the module if anything came in, and return what may go to proxies now."""
        if now - self.turned > IDLE + STALL:
            # Nothing decided before the gap waits anywhere but in the channel, and a push is of the state of
            # now: what was overtaken is never sent. The drains that came meanwhile are in this round's calls.
            self.event("stood still", seconds=round((now - self.turned) / S, 1))
        self.turned = now
        due = [timer for timer in self.timers if timer[0] <= now]
        self.timers = [timer for timer in self.timers if timer[0] > now]
        self.calls += [("woke", (token,)) for _, token in due]
        if self.asleep is not None and now >= self.asleep:
            self._start_again()
        for call in self.sums.take(now):
            self._sum(call)
        if self.calls and self.planner is not None:
            self._round(now)
        if self.gate and self._to_review(now):
            self._review((), now)
        for proxy, _ in self.channel.take(now):
            joined = self.proxies.get(proxy)
            if joined is not None:
                seal, joined.seal = joined.seal, None
                self.counts["pushes"] += 1
                self.sent.pushed(proxy, self.held(proxy))
                self.out.pushes.append((proxy, seal))
        out, self.out = self.out, Turn()
        return out

    def _to_review(self, now: int) -> bool:
        """Warmth and demand move without orders, and so does the list: a drain that the module passes over
        may not wait for the next second."""
        assert self.gate is not None
        due = self.gate.due
        return now - self.reviewed >= IDLE or self.gate.news != self.news or (due is not None and now >= due)

    def _round(self, now: int) -> None:
        calls, self.calls = self.calls, []
        self.counts["rounds"] += 1
        for call in calls if self.gate else ():
            self.seen.told(call, now)
        try:
            assert self.planner is not None
            self.planner.decide(now, calls, self.orders)
        except Exception as why:  # the module's fault is this planner's, never silence
            self._fault(why, len(calls), now)
            return
        self._apply(self.orders.end(), now)

    def _apply(self, done: Round, now: int) -> None:
        for text in done.logs:
            self.event("mode", text=text)
        self.timers += [(now + wait, token) for wait, token in done.timers]
        if done.tables or done.withdrawals:
            self.holdings.clear()
        if done.bad:
            self.event("order mended", rule="bad weight", lines=[list(b) for b in done.bad[:8]])
        if self.gate and (done.tables or done.withdrawals or done.bound):
            self._review(done.tables, now)
            self._hold(done)
        if done.seal is not None:
            self.ordered[done.seal] = now
            while len(self.ordered) > SEALS_KEPT:
                del self.ordered[next(iter(self.ordered))]
            for proxy in done.lines:
                self.proxies[proxy].seal = done.seal
        self.out.refused += self.channel.put(done.lines, now)
        if self.out.refused:
            self.event(
                "channel full",
                proxies=len(self.out.refused),
                lines=self.channel.lines,
                limit=self.channel.limit,
            )

    # -- what a proxy should hold

    def content(self, number: int) -> Content:
        """What a table holds for its proxies; the same object until the table changes."""
        table = self.orders.tables[number]
        kept = self.contents.get(number)
        if kept is None or kept[0] != table.revision:
            levels = [self.orders.level(number, place) for place in range(len(self.set.operations))]
            open_ = {s: w for s, w in table.lines.items() if s not in self.orders.shut}
            if self.gate and number in self.gate.allowed:
                open_, most = self.gate.allowed[number]
                levels = [(min(level, most), tries) for level, tries in levels]
            lines = tuple((s, self._zone(s), w) for s, w in sorted(open_.items()))
            kept = self.contents[number] = (table.revision, Content(lines, tuple(levels)))
        return kept[1]

    def _zone(self, server: str) -> str:
        return self.facts[server].zone if server in self.facts else ""

    def _review(self, touched: Collection[int], now: int) -> None:
        """Let the guard see all tables; what it changes by itself goes out by the channel like an order."""
        assert self.gate is not None
        self.reviewed = now
        warm = self.gate.warm(self.facts, now)
        cold = frozenset(n for n, f in self.facts.items() if f.started and f.state == "ready" and not warm(n))
        proposed = {number: self._proposal(number, cold, now) for number in self.orders.tables}
        used = self.seen.used(self.facts, warm, now)
        known = Known(
            by_kind(used),
            used,
            () if self.set.gone_binds else self.seen.answering(now),
            self.seen.ill(self.facts, now),
            min(len(self.proxies) / max(self.set.proxies, 1), 1.0),
        )
        lines: dict[Any, int] = {}
        for number in self.gate.review(proposed, touched, self.facts, known, now, self.news):
            self.orders.tables[number].revision += 1
            self.holdings.clear()
            for proxy in self.orders.on.get(number, ()):
                lines[proxy] = lines.get(proxy, 0) + len(self.gate.allowed[number][0])
        if lines:
            self.out.refused += self.channel.put(lines, now)
        self.out.events += self.gate.events()

    def _hold(self, done: Round) -> None:
        """Take the lines of held tables out of a round: what does not go out is not counted, nor is its
        mark."""
        assert self.gate is not None
        for number in self.gate.held & done.tables.keys():
            for proxy in self.orders.on.get(number, ()):
                left = done.lines.get(proxy, 0) - done.tables[number]
                if left > (done.seal is not None):
                    done.lines[proxy] = left
                else:
                    done.lines.pop(proxy, None)

    def _proposal(self, number: int, cold: frozenset[str], now: int) -> Proposal:
        table, proxies = self.orders.tables[number], self.orders.on.get(number, {})
        bound = [self.orders.proxies[p].bound for p in proxies]
        places = sorted({place for held in bound for place, t in held.items() if t == number})
        operations = [self.set.operations[place] for place in places]
        named = [op.name for op in operations]
        levels = [self.orders.level(number, place)[0] for place in places]
        return Proposal(
            {s: w for s, w in table.lines.items() if s not in self.orders.shut},
            max(levels, default=1.0),
            frozenset(self.orders.proxies[p].zone for p in proxies),
            any(op.own_zone for op in operations),
            self.seen.demand(proxies, named, now) if proxies else None,
            self.sent.pending(proxies, named, cold, lambda p: self.seen.demand((p,), named, now))
            if cold
            else (),
            self.channel.spent(proxies, now),
        )

    def explain(self, now: int) -> list[dict[str, Any]]:
        """By table with proxies on it: what was ordered, what the guard lets out, and why it differs."""
        found = []
        for number, table in sorted(self.orders.tables.items()):
            proxies = self.orders.on.get(number, {})
            places = {k for p in proxies for k, t in self.orders.proxies[p].bound.items() if t == number}
            ordered = {s: w for s, w in table.lines.items() if s not in self.orders.shut}
            level = max((self.orders.level(number, place)[0] for place in places), default=1.0)
            row = {
                "table": self.table_name(number),
                "operations": [self.set.operations[place].name for place in sorted(places)],
                "zones": sorted({self.orders.proxies[p].zone for p in proxies}),
                "proxies": len(proxies),
            }
            if proxies and self.gate is not None:
                found.append(row | self.gate.explain(number, ordered, level, now))
        return found

    def held(self, proxy: Any) -> Holding:
        """What a proxy should hold by what was ordered until now; the same object for all on the same
        tables."""
        bound = self.orders.proxies[proxy].bound
        if not bound:
            return self._carried(proxy)
        self.proxies[proxy].carried = None
        key = tuple(sorted(bound.items()))
        if key not in self.holdings:
            named = [(self.set.operations[place].name, self.table_name(table)) for place, table in key]
            contents = {self.table_name(table): self.content(table) for _, table in key}
            self.holdings[key] = Holding(tuple(named), contents)
        return self.holdings[key]

    def table_name(self, table: int) -> str:
        """The planner is in it: planners that share nothing number their tables alike."""
        return f"{self.set.planner}.{table}"

    def _carried(self, proxy: Any) -> Holding:
        """What a proxy holds of a module that failed, less what is withdrawn since."""
        carried, shut = self.proxies[proxy].carried, self.orders.shut
        if carried is None:
            return Holding()
        open_ = {
            name: Content(tuple(x for x in made.lines if x[0] not in shut), made.levels)
            for name, made in carried.contents.items()
        }
        return Holding(carried.bound, open_)

    # -- the module's faults

    def _fault(self, why: Exception, calls: int, now: int) -> None:
        """The module failed: proxies keep their tables and it starts anew with the last list."""
        self.counts["faults"] += 1
        place = traceback.extract_tb(why.__traceback__)[-1]
        self.event(
            "module fault",
            error=f"{type(why).__name__}: {why}",
            at=f"{place.name}:{place.lineno}",
            calls=calls,
            faults=self.counts["faults"],
        )
        for proxy, joined in self.proxies.items():
            if self.orders.proxies[proxy].bound:
                joined.carried = self.held(proxy)  # the copy survives: `held` clears it only when asked again
        self.planner, self.timers, self.asleep = None, [], now
        if len(self.faults) == FAULTS and now - self.faults[0] < FAULT_SPAN:
            # a fault that comes again at once would make the program spin and the log overflow
            self.asleep = now + int(FAULT_WAIT * self.random.uniform(0.5, 1.0))
            self.event("module waits", seconds=round((self.asleep - now) / S, 1), faults=FAULTS)
        self.faults.append(now)
        self._fresh()
        for proxy, joined in self.proxies.items():
            joined.seal = None
            self.orders.joined(proxy, joined.zone)

    def _start_again(self) -> None:
        self.asleep = None
        self.planner = self.make(self.set, self.random.getrandbits(63))
        self.calls = [("listed", ("held", [self.list[n] for n in sorted(self.list)]))] if self.list else []
        self.calls += [("joined", (p, j.zone, j.rate, False)) for p, j in self.proxies.items()]
        self.event("module started", proxies=len(self.proxies), servers=len(self.list))
