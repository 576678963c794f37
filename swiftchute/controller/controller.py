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

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from swiftchute.api.commands import Policy
from swiftchute.api.events import PushAcknowledged
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import Round
from swiftchute.controller.egress_queue import Channel
from swiftchute.controller.load_aggregation import Report, Sums
from swiftchute.controller.policy_runner import IDLE, Joined, Loop, S
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.safety.observed_traffic import ObservedTraffic, peak_by_kind
from swiftchute.safety.proposal import EndpointStatus, Observations, Proposal, SafetyRules
from swiftchute.safety.publish_gate import PublishGate
from swiftchute.versions import encoding
from swiftchute.versions.canary import CanaryTrials
from swiftchute.versions.canary_statistics import ReportTotals
from swiftchute.versions.canary_trial import CanaryLimits
from swiftchute.versions.delivery import DeliveryTracker
from swiftchute.versions.errors import PinError, UnknownVersionError
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.pinning import MAX_PIN_NS, MIN_PIN_NS, Pin, PinnedVersions, RejectionTracker
from swiftchute.versions.table_log import VersionChange

SEALS_KEPT = 4096  # marks whose time of order is remembered
FACTS_MOST = 200_000  # servers remembered, those gone among them: past it the gone are forgotten

Line = tuple[str, str, float]  # server, its zone, weight


@dataclass(frozen=True)
class Content:
    """What a table holds: its lines, and by operation of the settings the level and the way of
    further tries."""

    lines: tuple[Line, ...]
    levels: tuple[tuple[float, int], ...]
    version: bytes = field(default=b"", compare=False)  # the name of its canonical form


@dataclass(frozen=True)
class Holding:
    """What a proxy should hold: by operation the name of its table, and the tables' contents by name."""

    bound: tuple[tuple[str, str], ...] = ()
    contents: dict[str, Content] = field(default_factory=dict, compare=False)
    behind: frozenset[str] = frozenset()  # tables whose newest content others try first


@dataclass
class Turn:
    """What a turn asks of the fronts."""

    pushes: list[tuple[Any, int | None]] = field(default_factory=list)
    refused: list[Any] = field(default_factory=list)  # proxies for whose message the channel had no room
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)


@dataclass
class _Joined(Joined):
    seal: int | None = None  # the newest mark ordered and not pushed yet
    carried: Holding | None = None  # what it held of a module that failed


@dataclass(frozen=True)
class Keep:
    """How much history is kept, and when a version that proxies reject is taken back."""

    most: int = 1000
    age: int = 3600 * S
    rejected_part: float = 0.3
    back_most: int = 3
    back_within: int = 600 * S
    back_for: int = 300 * S
    canary_part: float = 0.0
    canary_for: int = 5 * S
    canary_most: int = 30 * S
    canary_step: float = 0.25


class Core(Loop):
    """The state of one planner's life."""

    record = _Joined

    def __init__(
        self,
        settings: Settings,
        seed: int,
        make: Callable[[Settings, int], Policy],
        now: int = 0,
        guard: SafetyRules | None = None,
        enforce: bool = True,
        tables: Keep | None = None,
    ) -> None:
        """`make` builds the module, anew after each of its faults; without `guard` tables go out as
        ordered."""
        super().__init__(settings, seed, make, now, lenient=guard is not None and enforce)
        self.rules, self.enforce = guard, enforce
        tables = self.keep = tables or Keep()
        self.history = VersionHistory(str(settings.instance), tables.most, tables.age)
        self.sent, self.pins = DeliveryTracker(self.history), PinnedVersions()
        self.rejected = RejectionTracker(tables.rejected_part, tables.back_most, tables.back_within)
        limits = CanaryLimits(tables.canary_part, tables.canary_for, tables.canary_most, tables.canary_step)
        self.trials = CanaryTrials(limits)
        self.rests: dict[int, Content] = {}  # of tables on trial, what proxies behind hold
        self.sums = Sums(settings.report_rate_entries_per_s, settings.report_interval_ns)
        self.facts: dict[str, EndpointStatus] = {}  # what the list says, or last said, of each server
        self.reviewed = now
        self.news = self.judged = 0  # lists that brought something, and those that the module was told of
        self.barred: frozenset[str] = frozenset()  # servers listed as draining, or gone where gone binds
        self.counts["pushes"] = 0
        self.out = Turn()
        self._fresh()

    def _fresh(self) -> None:
        super()._fresh()
        s = self.set
        self.gate = (
            PublishGate(s, self.rules, self.enforce, self.random.getrandbits(32)) if self.rules else None
        )
        for proxy in list(self.sent.holdings_by_proxy):  # those of a module that failed are bound to nothing
            self.sent.on_disconnected(proxy)
        self.seen = ObservedTraffic()
        self.marks: dict[Any, int] = {}  # by proxy, the newest mark of a round that was held back
        self.why: dict[int, str] = {}  # by table, the cause of its next version
        self.channel = Channel(
            s.egress_rate_entries_per_s,
            s.egress_queue_limit_entries,
            s.message_overhead_entries,
            s.message_quota,
            s.message_quota_window_ns,
        )
        self.contents: dict[int, tuple[int, Content]] = {}
        self.holdings: dict[Any, Holding] = {}
        for name in list(self.trials.open_trials):
            self.trials.close(name)
        self.rests.clear()
        self.ordered: dict[int, int] = {}

    # -- in

    def left(self, proxy: Any) -> bool:
        """Its stream broke: what waits for it is lost. False if it had not joined."""
        if not super().left(proxy):
            return False
        self.channel.left(proxy)
        self.sent.on_disconnected(proxy)
        self.trials.on_disconnected(proxy)
        self.marks.pop(proxy, None)
        self.sums.left(proxy)
        return True

    def applied(self, proxy: Any, seal: int, now: int) -> None:
        """A proxy has acknowledged all that belongs to a mark and to those before it."""
        self.tell(PushAcknowledged(proxy, seal, now - self.ordered.get(seal, now)))

    def settled(self, proxy: Any, now: int) -> None:
        """A proxy holds all that was pushed to it."""
        self.sent.on_acknowledged(proxy)
        if self.trials.open_trials and proxy in self.sent.holdings_by_proxy:
            held = self.sent.holdings_by_proxy[proxy][-1].contents
            self.trials.on_acknowledged(proxy, {name: made.version for name, made in held.items()}, now)
        if proxy in self.marks and self.proxies[proxy].seal is None:
            self.applied(proxy, self.marks.pop(proxy), now)

    def heard(self, proxy: Any, report: Report, now: int) -> None:
        """A load report of a proxy; one that is not joined is not heard."""
        joined = self.proxies.get(proxy)
        if joined is not None:
            self.sums.add(proxy, joined.zone, report, self.facts, now)
            if self.trials.open_trials:
                self._tried(proxy, report, now)

    def listed(self, news: EndpointListChange) -> None:
        """A good list brought these entries."""
        self.news += 1
        barred = set(self.barred)
        for entry in news.endpoints:
            server, zone, state = entry.endpoint, entry.zone, entry.state
            self.facts[server] = EndpointStatus(zone, state, entry.started_ns, entry.weight, entry.kind)
            if len(self.facts) > FACTS_MOST:  # those gone are forgotten; to the guard they are gone still
                self.facts = {n: f for n, f in self.facts.items() if f.state != "gone"}
            binds = state == "draining" or (state == "gone" and self.set.removal_is_binding)
            (barred.add if binds else barred.discard)(server)
        if len(barred) > FACTS_MOST:
            barred &= self.facts.keys()
        self.barred = frozenset(barred)
        self.news_of_list(news.scope, news.endpoints)

    # -- a turn

    @property
    def due(self) -> int:
        """When the next turn is due."""
        more = (
            self.channel.due, self.sums.due, self.pins.due, self.trials.due,
            self.gate.due if self.gate else None,
        )  # fmt: skip
        return min([super().due, *(t for t in more if t is not None)])

    def turn(self, now: int) -> Turn:
        """Call the module if anything came in, and return what may go to proxies now."""
        self._wake(now)
        for call in self.sums.take(now):
            self.tell(call)
        if self.calls and self.planner is not None:
            self._round(now)
        self._end_pins(now)
        if self.trials.open_trials:
            self._look_at_trials(now)
        if self.gate and self._to_review(now):
            self._review((), now)
        for proxy, _ in self.channel.take(now):
            joined = self.proxies.get(proxy)
            if joined is not None:
                seal, joined.seal = joined.seal, None
                self.counts["pushes"] += 1
                self.sent.on_pushed(proxy, self.held(proxy))
                self.out.pushes.append((proxy, seal))
        out, self.out = self.out, Turn()
        out.events = self.take_events()
        return out

    def _to_review(self, now: int) -> bool:
        """Warmth and demand move without orders, and so does the list: a drain that the module passes over
        may not wait for the next second."""
        assert self.gate is not None
        due = self.gate.due
        return (
            now - self.reviewed >= IDLE
            or self.gate.list_revision != self.news
            or (due is not None and now >= due)
        )

    def _round(self, now: int) -> Round | None:
        for call in self.calls if self.gate else ():
            self.seen.observe_event(call, now)
        done = super()._round(now)
        if done is not None:
            self._apply(done, now)
        return done

    def _apply(self, done: Round, now: int) -> None:
        if done.tables or done.withdrawals:
            self.holdings.clear()
        for number in done.tables if self.news != self.judged else ():
            self.why.setdefault(number, "list")
        self.judged = self.news
        if done.bad:
            self.event("order mended", rule="bad weight", lines=[list(b) for b in done.bad[:8]])
        if self.gate and (done.tables or done.withdrawals or done.bound):
            self._review(done.tables, now)
            self._hold(done, now)
        if done.seal is not None:
            self.ordered[done.seal] = now
            while len(self.ordered) > SEALS_KEPT:
                del self.ordered[next(iter(self.ordered))]
            for proxy in done.lines:
                self.proxies[proxy].seal = done.seal
                self.marks.pop(proxy, None)  # the newer mark answers for it
        self._put(done.lines, now)

    def _put(self, lines: dict[Any, int], now: int) -> None:
        """Queue messages; whose finds no room is let go, and the log told."""
        refused = self.channel.put(lines, now)
        if refused:
            self.out.refused += refused
            many, limit = self.channel.lines, self.channel.limit
            self.event("channel full", proxies=len(refused), lines=many, limit=limit)

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
            elif (pinned := self._pinned(number)) is not None:
                open_ = pinned
            held = self.pins.admission(self.table_name(number))
            if held:
                levels = [held.get(op.name, row) for op, row in zip(self.set.operations, levels, strict=True)]
            lines = tuple((s, self._zone(s), w) for s, w in sorted(open_.items()))
            rows = [(op.name, *row) for op, row in zip(self.set.operations, levels, strict=True)]
            made = encoding.make_table(rows, lines)
            old = kept[1] if kept is not None else None
            version = self._note(number, made)
            kept = self.contents[number] = (table.revision, Content(lines, tuple(levels), version))
            if self.keep.canary_part:
                self._try(number, old, kept[1])
        return kept[1]

    # -- canaries

    def cold(self, now: int) -> frozenset[str]:
        """Ready servers that have started so lately that they are not warm yet; fronts ask here too."""
        since = now - self.set.max_warmup_ns
        facts = self.facts.items()
        return frozenset(n for n, f in facts if f.started_ns > since and f.started_ns and f.state == "ready")

    def _starts(self) -> dict[str, int]:
        """When each open server started."""
        shut = self.orders.shut
        return {n: f.started_ns for n, f in self.facts.items() if f.state == "ready" and n not in shut}

    def _demands(self, number: int) -> dict[Any, float]:
        """The proxies on a table, with their invocations a second."""
        named = [op.name for op in self.set.operations]
        on = self.orders.on.get(number, ())
        return {p: self.seen.request_rate((p,), named, self.turned) or self.proxies[p].rate for p in on}

    def _try(self, number: int, old: Content | None, new: Content) -> None:
        """A table's content changed: whether some proxies try it first, and what others hold meanwhile."""
        name = self.table_name(number)
        change = self.history.newest_change(name)
        at_once = change is None or change.cause in ("guard", "rollback", "pin") or name in self.pins.by_table
        if old is None or at_once:
            self.trials.close(name)
        elif old.lines != new.lines:
            before, after = ({n: w for n, _, w in made.lines} for made in (old, new))
            tried = name in self.trials.open_trials
            starts = self._starts()
            cold, versions = self.cold(self.turned), (old.version, new.version)
            on = self._demands(number)
            if (
                self.trials.on_table_changed(name, before, after, versions, on, starts, cold, self.turned)
                and not tried
            ):
                few, version = len(self.trials.open_trials[name].canary_proxies), new.version.hex()[:12]
                self.event("canary", table=name, version=version, proxies=few, of=len(on))
        rest = self.trials.baseline_weights(name, self._starts())
        if rest is None:
            self.rests.pop(number, None)
            return
        lines = tuple((s, self._zone(s), w) for s, w in sorted(rest.items()))
        rows = [(op.name, *row) for op, row in zip(self.set.operations, new.levels, strict=True)]
        made = encoding.make_table(rows, lines)
        self.history.record(f"{name}/rest", made, self.turned, "canary")
        self.rests[number] = Content(lines, new.levels, encoding.version_of(made))

    def _tried(self, proxy: Any, report: Report, now: int) -> None:
        """A report of a proxy, for the trials of the tables that it is on."""
        bound = self.orders.proxies[proxy].bound
        for number in set(bound.values()):
            ops = {self.set.operations[place].name for place, table in bound.items() if table == number}
            rows = [row for row in report.arrived if row[0] in ops]
            took, timed = (sum(row[k] for row in report.met) for k in (3, 4))
            totals = ReportTotals(sum(r[1] for r in rows), sum(r[2] for r in rows), took, timed)
            self.trials.on_report(proxy, self.table_name(number), totals, now - report.span)

    def _look_at_trials(self, now: int) -> None:
        """Trials that are over go on or back; lines of those behind lose servers that closed."""
        starts = self._starts()
        for name in list(self.trials.open_trials):
            number = self._named(name)
            if number is None or not self.orders.on.get(number):
                self.trials.close(name)
                continue
            chosen = self.trials.reselect(name, self._demands(number))
            was = {s for s, _, _ in self.rests[number].lines} if number in self.rests else set()
            rest = self.trials.baseline_weights(name, starts)
            if chosen or rest is None or rest.keys() != was:
                self._again(number, "list" if rest is not None else "canary", now)
        for name, end in self.trials.take_finished(now):
            number = self._named(name)
            what = "back" if end.rolled_back else "on"
            self.event("canary over", table=name, went=what, cause=end.cause)
            if number is None:
                continue
            if end.rolled_back and self._take_back(name, end.previous_version.hex(), False, now):
                continue
            self._again(number, "canary", now)

    def _take_back(self, name: str, version: str, levels: bool, now: int) -> bool:
        """Hold a table at an earlier version by no order of staff, within the limit on how often."""
        if not self.rejected.reserve_rollback(now):
            self.event("not taken back", table=name, cause=f"{self.rejected.max_rollbacks} times within"
                       f" {self.rejected.window_ns / S:g} s is the most")  # fmt: skip
            return False
        try:
            self.pin(name, version, self.keep.back_for, levels, "rollback", now)
        except (PinError, UnknownVersionError) as why:
            self.event("not taken back", table=name, cause=str(why))
            return False
        return True

    def _note(self, number: int, made: encoding.Table) -> bytes:
        """Keep a version, with its cause: an order's is what it changed. Returns its name."""
        name = self.table_name(number)
        before, cause = self.history.newest_content(name), self.why.pop(number, "")
        if before is None:
            cause = "start"
        elif cause in ("", "list") and before.entries == made.entries:
            cause = "level"
        self.history.record(name, made, self.turned, cause or "health")
        newest = self.history.newest_change(name)
        assert newest is not None
        return newest.version

    def _pinned(self, number: int) -> dict[str, float] | None:
        """The lines that a table is held at, those of open servers."""
        return self.pins.weights(self.table_name(number), self._ready()) if self.pins.by_table else None

    def _ready(self) -> frozenset[str]:
        return frozenset(n for n, f in self.facts.items() if f.state == "ready")

    def _zone(self, server: str) -> str:
        return self.facts[server].zone if server in self.facts else ""

    def _review(self, touched: Collection[int], now: int, urgent: Collection[int] = ()) -> None:
        """Let the guard see all tables; what it changes by itself goes out by the channel like an order."""
        assert self.gate is not None
        self.reviewed = now
        warm = self.gate.warm_check(self.facts, now)
        cold = frozenset(
            n for n, f in self.facts.items() if f.started_ns and f.state == "ready" and not warm(n)
        )
        proposed = {number: self._proposal(number, cold, now) for number in self.orders.tables}
        used = self.seen.peak_rates(self.facts, warm, now)
        known = Observations(
            peak_by_kind(used),
            used,
            () if self.set.removal_is_binding else self.seen.responding_endpoints(now),
            self.seen.failing_zones(self.facts, now),
            min(len(self.proxies) / max(self.set.proxy_count, 1), 1.0),
        )
        lines: dict[Any, int] = {}
        for number in self.gate.review(proposed, touched, self.facts, known, now, self.news, urgent):
            self.why.setdefault(number, "guard")
            self.orders.tables[number].revision += 1
            self.holdings.clear()
            for proxy in self.orders.on.get(number, ()):
                lines[proxy] = lines.get(proxy, 0) + len(self.gate.allowed[number][0])
        self._put(lines, now)
        for event, fields in self.gate.take_events():
            self.event(event, **fields)

    def _hold(self, done: Round, now: int) -> None:
        """Take the lines of held tables out of a round: what does not go out is not counted.

        A mark says that a proxy holds all that was sent to it, so it is answered once that is so. Left open
        it would keep room in the module's book: binds of proxies that rejoined waited for it, and with them
        their drains (3.7 s, of 3).
        """
        assert self.gate is not None
        for number in self.gate.held_tables & done.tables.keys():
            for proxy in self.orders.on.get(number, ()):
                left = done.lines.get(proxy, 0) - done.tables[number]
                if left > (done.seal is not None):
                    done.lines[proxy] = left
                elif done.lines.pop(proxy, None) is not None and done.seal is not None:
                    self.marks[proxy] = done.seal
        for proxy in [p for p in self.marks if self.sent.is_up_to_date(p) and self.proxies[p].seal is None]:
            self.applied(proxy, self.marks.pop(proxy), now)

    def _proposed(self, number: int) -> dict[str, float]:
        """The lines that a table is to hold: what is ordered, or what it is held at."""
        pinned, lines = self._pinned(number), self.orders.tables[number].lines
        return {s: w for s, w in lines.items() if s not in self.orders.shut} if pinned is None else pinned

    def _places(self, number: int) -> list[int]:
        """The places of the operations that proxies are on a table for."""
        bound = (self.orders.proxies[p].bound for p in self.orders.on.get(number, ()))
        return sorted({place for held in bound for place, t in held.items() if t == number})

    def _proposal(self, number: int, cold: frozenset[str], now: int) -> Proposal:
        assert self.gate is not None
        proxies, places = self.orders.on.get(number, {}), self._places(number)
        operations = [self.set.operations[place] for place in places]
        named = [op.name for op in operations]
        levels = [self.orders.level(number, place)[0] for place in places]
        return Proposal(
            self._proposed(number),
            max(levels, default=1.0),
            frozenset(self.orders.proxies[p].zone for p in proxies),
            any(op.zone_local for op in operations),
            self.seen.request_rate(proxies, named, now) if proxies else None,
            self.sent.pending_shares(proxies, named, cold, lambda p: self.seen.request_rate((p,), named, now))
            if cold
            else (),
            self.channel.spent(proxies, self.gate.max_queue_delay_ns, now),
        )

    # -- ways back

    def _number(self, name: str) -> int:
        """The number of a table in use. Raises `PinError`."""
        number = self._named(name)
        if number is not None and self.orders.on.get(number):
            return number
        used = ", ".join(self.table_name(n) for n in sorted(self.orders.tables) if self.orders.on.get(n))
        raise PinError(f"no proxy is on a table {name!r}; in use are {used or 'none'}")

    def pin(self, name: str, asked: str, span: int, levels: bool, cause: str, now: int) -> VersionChange:
        """Hold a table at a kept version for so long. Raises `UnknownVersionError` or `PinError`;
        nothing changes then."""
        if not MIN_PIN_NS <= span <= MAX_PIN_NS:
            raise PinError(f"{span / S:g} s: a pin lasts {MIN_PIN_NS // S} to {MAX_PIN_NS // S} s")
        number, change = self._number(name), self.history.find(name, asked)
        content = self.history.content(change.version)
        if content is None:
            raise PinError(f"version {change.version.hex()[:12]} is no longer kept")
        self.pins.pin(name, Pin(change, content, now + span, levels, cause), self._ready())
        self.event("table pinned", table=name, version=change.version.hex()[:12], serial=change.serial,
                   seconds=round(span / S), levels=levels, cause=cause)  # fmt: skip
        self._again(number, cause, now)
        return change

    def ordered_lines(self, name: str) -> dict[str, float]:
        """What the module orders of a table, whatever goes out; empty for one that is not known."""
        number = self._named(name)
        return {} if number is None else dict(self.orders.tables[number].lines)

    def _named(self, name: str) -> int | None:
        """The number of a table by the name that proxies know it by; None if there is no such table."""
        return next((number for number in self.orders.tables if self.table_name(number) == name), None)

    def release(self, name: str, now: int) -> None:
        """The module's orders count again for a table. Raises `PinError` if it is not pinned."""
        self.pins.release(name)
        self._released(name, "released", now)

    def _released(self, name: str, why: str, now: int) -> None:
        self.event("table released", table=name, why=why)
        number = self._named(name)
        if number is not None:
            self._again(number, "release", now)

    def _end_pins(self, now: int) -> None:
        for name, why in self.pins.take_ended(self._ready(), now) if self.pins.by_table else ():
            self._released(name, why, now)

    def _again(self, number: int, cause: str, now: int) -> None:
        """A table holds something else by no order of the module: judge it and push it, past what waits."""
        self.why[number] = cause
        self.orders.tables[number].revision += 1
        self.holdings.clear()
        if self.gate:
            self._review((number,), now, (number,))
        self._put(dict.fromkeys(self.orders.on.get(number, ()), len(self._proposed(number))), now)

    def refused(self, proxy: Any, names: Collection[str], now: int) -> None:
        """A proxy rejects what was pushed of these tables; what many reject is taken back."""
        for name in names:
            newest = self.history.newest_change(name)
            if newest is None or newest.parent is None or proxy not in self.orders.proxies:
                continue
            on = [n for n in self.orders.proxies[proxy].bound.values() if self.table_name(n) == name]
            if not on or name in self.pins.by_table:
                continue
            self.trials.on_rejected(proxy, name)
            if self.rejected.on_rejected(proxy, name, newest.version, len(self.orders.on[on[0]])):
                self._take_back(name, newest.parent.hex(), True, now)

    def explain(self, now: int) -> list[dict[str, Any]]:
        """By table with proxies on it: what was ordered, what the guard lets out, and why it differs."""
        found = []
        for number, table in sorted(self.orders.tables.items()):
            proxies = self.orders.on.get(number, {})
            places = self._places(number)
            ordered = {s: w for s, w in table.lines.items() if s not in self.orders.shut}
            level = max((self.orders.level(number, place)[0] for place in places), default=1.0)
            row = {
                "table": self.table_name(number),
                "operations": [self.set.operations[place].name for place in places],
                "zones": sorted({self.orders.proxies[p].zone for p in proxies}),
                "proxies": len(proxies),
            }
            if proxies and self.gate is not None:
                pin = self.pins.by_table.get(self.table_name(number))
                held = f"held at {pin.change.version.hex()[:12]} ({pin.cause})" if pin else ""
                found.append(row | self.gate.explain(number, ordered, level, held, now))
        return found

    def held(self, proxy: Any) -> Holding:
        """What a proxy should hold by what was ordered until now; the same object for all on the same
        tables."""
        bound = self.orders.proxies[proxy].bound
        if not bound:
            return self._carried(proxy)
        self.proxies[proxy].carried = None
        bound_to = tuple(sorted(bound.items()))
        made = {table: self.content(table) for _, table in bound_to}
        behind = frozenset(
            t for t in made if t in self.rests and not self.trials.is_canary(self.table_name(t), proxy)
        )
        key = (bound_to, behind)
        if key not in self.holdings:
            named = [(self.set.operations[place].name, self.table_name(table)) for place, table in bound_to]
            contents = {self.table_name(t): self.rests[t] if t in behind else c for t, c in made.items()}
            self.holdings[key] = Holding(tuple(named), contents, frozenset(map(self.table_name, behind)))
        return self.holdings[key]

    def table_name(self, table: int) -> str:
        """The planner is in it: planners that share nothing number their tables alike."""
        return f"{self.set.instance}.{table}"

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

    def _carry(self) -> None:
        for proxy, joined in self.proxies.items():
            if self.orders.proxies[proxy].bound:
                joined.carried = self.held(proxy)  # the copy survives: `held` clears it only when asked again
            joined.seal = None
