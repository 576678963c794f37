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

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from swiftchute.api.events import PushAcknowledged
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import RoundResult
from swiftchute.controller.egress_queue import EgressQueue
from swiftchute.controller.load_aggregation import LoadAggregator, LoadReport
from swiftchute.controller.log_events import LogEvent
from swiftchute.controller.policy_runner import (
    IDLE_ROUND_INTERVAL_NS,
    NS_PER_S,
    ConnectedProxy,
    PolicyFactory,
    PolicyRunner,
)
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

TableEntry = tuple[str, str, float]  # server, its zone, weight


@dataclass(frozen=True)
class TableContent:
    """What a table holds: its lines, and by operation of the settings the level and the way of
    further tries."""

    entries: tuple[TableEntry, ...]
    admission: tuple[tuple[float, int], ...]
    version: bytes = field(default=b"", compare=False)  # the name of its canonical form


@dataclass(frozen=True)
class ProxyTables:
    """What a proxy should hold: by operation the name of its table, and the tables' contents by name."""

    tables_by_operation: tuple[tuple[str, str], ...] = ()
    contents: dict[str, TableContent] = field(default_factory=dict, compare=False)
    baseline_tables: frozenset[str] = frozenset()  # tables whose newest content others try first


class Push(NamedTuple):
    """A message to a proxy: it is to hold `tables_of(proxy)`, and to answer for the nonce."""

    proxy: Any
    nonce: int | None


@dataclass
class RoundOutput:
    """What a turn asks of the fronts."""

    pushes: list[Push] = field(default_factory=list)
    overflowed_proxies: list[Any] = field(
        default_factory=list
    )  # proxies for whose message the channel had no room
    log_events: list[LogEvent] = field(default_factory=list)


@dataclass
class _Joined(ConnectedProxy):
    seal: int | None = None  # the newest mark ordered and not pushed yet
    carried: ProxyTables | None = None  # what it held of a module that failed


@dataclass(frozen=True)
class RetentionSettings:
    """How much history is kept, and when a version that proxies reject is taken back."""

    max_versions: int = 1000
    max_age_ns: int = 3600 * NS_PER_S
    rejected_fraction: float = 0.3
    max_rollbacks: int = 3
    rollback_window_ns: int = 600 * NS_PER_S
    rollback_duration_ns: int = 300 * NS_PER_S
    canary_fraction: float = 0.0
    canary_duration_ns: int = 5 * NS_PER_S
    max_canary_duration_ns: int = 30 * NS_PER_S
    min_canary_change: float = 0.25


class Controller(PolicyRunner):
    """The state of one planner's life."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        policy_factory: PolicyFactory,
        now: int = 0,
        safety_rules: SafetyRules | None = None,
        enforce: bool = True,
        retention: RetentionSettings | None = None,
    ) -> None:
        """Start the first policy; without `safety_rules` tables are published as commanded."""
        super().__init__(
            settings, seed, policy_factory, now, ignore_invalid_weights=safety_rules is not None and enforce
        )
        self.safety_rules, self.enforce = safety_rules, enforce
        retention = self.retention = retention or RetentionSettings()
        self.history = VersionHistory(str(settings.instance), retention.max_versions, retention.max_age_ns)
        self.deliveries, self.pins = DeliveryTracker(self.history), PinnedVersions()
        self.rejections = RejectionTracker(
            retention.rejected_fraction, retention.max_rollbacks, retention.rollback_window_ns
        )
        limits = CanaryLimits(
            retention.canary_fraction,
            retention.canary_duration_ns,
            retention.max_canary_duration_ns,
            retention.min_canary_change,
        )
        self.canaries = CanaryTrials(limits)
        self.rests: dict[int, TableContent] = {}  # of tables on trial, what proxies behind hold
        self.load_aggregator = LoadAggregator(settings.report_rate_entries_per_s, settings.report_interval_ns)
        self.known_endpoints: dict[
            str, EndpointStatus
        ] = {}  # what the list says, or last said, of each server
        self.last_review_ns = now
        self.news = self.judged = 0  # lists that brought something, and those that the module was told of
        self.unavailable_endpoints: frozenset[str] = (
            frozenset()
        )  # servers listed as draining, or gone where gone binds
        self.push_count = 0
        self.out = RoundOutput()
        self._reset()

    @property
    def counts(self) -> dict[str, int]:
        """Totals since the start, by the names they have in the log."""
        return super().counts | {"pushes": self.push_count}

    def _connected_proxy(self, zone: str, request_rate: float) -> _Joined:
        return _Joined(zone, request_rate)

    def _reset(self) -> None:
        super()._reset()
        s = self.settings
        self.publish_gate = (
            PublishGate(s, self.safety_rules, self.enforce, self.random.getrandbits(32))
            if self.safety_rules
            else None
        )
        for proxy in list(
            self.deliveries.holdings_by_proxy
        ):  # those of a module that failed are bound to nothing
            self.deliveries.on_disconnected(proxy)
        self.observed_traffic = ObservedTraffic()
        self.marks: dict[Any, int] = {}  # by proxy, the newest mark of a round that was held back
        self.why: dict[int, str] = {}  # by table, the cause of its next version
        self.egress_queue = EgressQueue(
            s.egress_rate_entries_per_s,
            s.egress_queue_limit_entries,
            s.message_overhead_entries,
            s.message_quota,
            s.message_quota_window_ns,
        )
        self.contents: dict[int, tuple[int, TableContent]] = {}
        self.holdings: dict[Any, ProxyTables] = {}
        for name in list(self.canaries.open_trials):
            self.canaries.close(name)
        self.rests.clear()
        self.ordered: dict[int, int] = {}

    # -- in

    def on_proxy_disconnected(self, proxy: Any) -> bool:
        """Its stream broke: what waits for it is lost. False if it had not joined."""
        if not super().on_proxy_disconnected(proxy):
            return False
        self.egress_queue.on_proxy_disconnected(proxy)
        self.deliveries.on_disconnected(proxy)
        self.canaries.on_disconnected(proxy)
        self.marks.pop(proxy, None)
        self.load_aggregator.on_proxy_disconnected(proxy)
        return True

    def on_acknowledged(self, proxy: Any, seal: int, now: int) -> None:
        """A proxy has acknowledged all that belongs to a mark and to those before it."""
        self.enqueue(PushAcknowledged(proxy, seal, now - self.ordered.get(seal, now)))

    def on_fully_acknowledged(self, proxy: Any, now: int) -> None:
        """A proxy holds all that was pushed to it."""
        self.deliveries.on_acknowledged(proxy)
        if self.canaries.open_trials and proxy in self.deliveries.holdings_by_proxy:
            held = self.deliveries.holdings_by_proxy[proxy][-1].contents
            self.canaries.on_acknowledged(proxy, {name: made.version for name, made in held.items()}, now)
        if proxy in self.marks and self.proxies[proxy].seal is None:
            self.on_acknowledged(proxy, self.marks.pop(proxy), now)

    def on_load_report(self, proxy: Any, report: LoadReport, now: int) -> None:
        """A load report of a proxy; one that is not joined is not heard."""
        joined = self.proxies.get(proxy)
        if joined is not None:
            self.load_aggregator.add(proxy, joined.zone, report, self.known_endpoints, now)
            if self.canaries.open_trials:
                self._tried(proxy, report, now)

    def on_list_update(self, news: EndpointListChange) -> None:
        """A good list brought these entries."""
        self.news += 1
        barred = set(self.unavailable_endpoints)
        for entry in news.endpoints:
            server, zone, state = entry.endpoint, entry.zone, entry.state
            self.known_endpoints[server] = EndpointStatus(
                zone, state, entry.started_ns, entry.weight, entry.kind
            )
            if (
                len(self.known_endpoints) > FACTS_MOST
            ):  # those gone are forgotten; to the guard they are gone still
                self.known_endpoints = {n: f for n, f in self.known_endpoints.items() if f.state != "gone"}
            binds = state == "draining" or (state == "gone" and self.settings.removal_is_binding)
            (barred.add if binds else barred.discard)(server)
        if len(barred) > FACTS_MOST:
            barred &= self.known_endpoints.keys()
        self.unavailable_endpoints = frozenset(barred)
        self.on_endpoint_list(news.scope, news.endpoints)

    # -- a turn

    @property
    def next_deadline_ns(self) -> int:
        """When the next turn is due."""
        more = (
            self.egress_queue.next_deadline_ns, self.load_aggregator.next_deadline_ns,
            self.pins.due, self.canaries.due,
            self.publish_gate.due if self.publish_gate else None,
        )  # fmt: skip
        return min([super().next_deadline_ns, *(t for t in more if t is not None)])

    def run_round(self, now: int) -> RoundOutput:
        """Call the module if anything came in, and return what may go to proxies now."""
        self._check_timeouts(now)
        for call in self.load_aggregator.pop_due(now):
            self.enqueue(call)
        if self.pending_events and self.policy is not None:
            self._reconcile(now)
        self._end_pins(now)
        if self.canaries.open_trials:
            self._look_at_trials(now)
        if self.publish_gate and self._to_review(now):
            self._review((), now)
        for proxy, _ in self.egress_queue.pop_sent(now):
            joined = self.proxies.get(proxy)
            if joined is not None:
                seal, joined.seal = joined.seal, None
                self.push_count += 1
                self.deliveries.on_pushed(proxy, self.tables_of(proxy))
                self.out.pushes.append(Push(proxy, seal))
        out, self.out = self.out, RoundOutput()
        out.log_events = self.drain_log_events()
        return out

    def _to_review(self, now: int) -> bool:
        """Warmth and demand move without orders, and so does the list: a drain that the module passes over
        may not wait for the next second."""
        assert self.publish_gate is not None
        due = self.publish_gate.due
        return (
            now - self.last_review_ns >= IDLE_ROUND_INTERVAL_NS
            or self.publish_gate.list_revision != self.news
            or (due is not None and now >= due)
        )

    def _reconcile(self, now: int) -> RoundResult | None:
        for call in self.pending_events if self.publish_gate else ():
            self.observed_traffic.observe_event(call, now)
        done = super()._reconcile(now)
        if done is not None:
            self._apply(done, now)
        return done

    def _apply(self, done: RoundResult, now: int) -> None:
        if done.changed_entries_by_table or done.ejections_changed:
            self.holdings.clear()
        for number in done.changed_entries_by_table if self.news != self.judged else ():
            self.why.setdefault(number, "list")
        self.judged = self.news
        if done.invalid_weights:
            self.log_event(
                "order mended", rule="bad weight", lines=[list(b) for b in done.invalid_weights[:8]]
            )
        if self.publish_gate and (
            done.changed_entries_by_table or done.ejections_changed or done.proxy_assigned
        ):
            self._review(done.changed_entries_by_table, now)
            self._hold(done, now)
        if done.nonce is not None:
            self.ordered[done.nonce] = now
            while len(self.ordered) > SEALS_KEPT:
                del self.ordered[next(iter(self.ordered))]
            for proxy in done.entries_by_proxy:
                self.proxies[proxy].seal = done.nonce
                self.marks.pop(proxy, None)  # the newer mark answers for it
        self._put(done.entries_by_proxy, now)

    def _put(self, lines: dict[Any, int], now: int) -> None:
        """Queue messages; whose finds no room is let go, and the log told."""
        refused = self.egress_queue.enqueue(lines, now)
        if refused:
            self.out.overflowed_proxies += refused
            many, limit = self.egress_queue.queued_entries, self.egress_queue.limit_entries
            self.log_event("channel full", proxies=len(refused), lines=many, limit=limit)

    # -- what a proxy should hold

    def table_content(self, number: int) -> TableContent:
        """What a table holds for its proxies; the same object until the table changes."""
        table = self.assignments.tables[number]
        kept = self.contents.get(number)
        if kept is None or kept[0] != table.revision:
            levels = [
                self.assignments.admission(number, place) for place in range(len(self.settings.operations))
            ]
            open_ = {s: w for s, w in table.weights.items() if s not in self.assignments.ejected}
            if self.publish_gate and number in self.publish_gate.allowed:
                open_, most = self.publish_gate.allowed[number]
                levels = [(min(level, most), tries) for level, tries in levels]
            elif (pinned := self._pinned(number)) is not None:
                open_ = pinned
            held = self.pins.admission(self.table_name(number))
            if held:
                levels = [
                    held.get(op.name, row) for op, row in zip(self.settings.operations, levels, strict=True)
                ]
            lines = tuple((s, self._zone(s), w) for s, w in sorted(open_.items()))
            rows = [(op.name, *row) for op, row in zip(self.settings.operations, levels, strict=True)]
            made = encoding.make_table(rows, lines)
            old = kept[1] if kept is not None else None
            version = self._note(number, made)
            kept = self.contents[number] = (table.revision, TableContent(lines, tuple(levels), version))
            if self.retention.canary_fraction:
                self._try(number, old, kept[1])
        return kept[1]

    # -- canaries

    def warming_endpoints(self, now: int) -> frozenset[str]:
        """Ready servers that have started so lately that they are not warm yet; fronts ask here too."""
        since = now - self.settings.max_warmup_ns
        facts = self.known_endpoints.items()
        return frozenset(n for n, f in facts if f.started_ns > since and f.started_ns and f.state == "ready")

    def _starts(self) -> dict[str, int]:
        """When each open server started."""
        shut = self.assignments.ejected
        return {
            n: f.started_ns for n, f in self.known_endpoints.items() if f.state == "ready" and n not in shut
        }

    def _demands(self, number: int) -> dict[Any, float]:
        """The proxies on a table, with their invocations a second."""
        named = [op.name for op in self.settings.operations]
        on = self.assignments.proxies_by_table.get(number, ())
        return {
            p: self.observed_traffic.request_rate((p,), named, self.last_round_ns)
            or self.proxies[p].request_rate
            for p in on
        }

    def _try(self, number: int, old: TableContent | None, new: TableContent) -> None:
        """A table's content changed: whether some proxies try it first, and what others hold meanwhile."""
        name = self.table_name(number)
        change = self.history.newest_change(name)
        at_once = change is None or change.cause in ("guard", "rollback", "pin") or name in self.pins.by_table
        if old is None or at_once:
            self.canaries.close(name)
        elif old.entries != new.entries:
            before, after = ({n: w for n, _, w in made.entries} for made in (old, new))
            tried = name in self.canaries.open_trials
            starts = self._starts()
            cold, versions = self.warming_endpoints(self.last_round_ns), (old.version, new.version)
            on = self._demands(number)
            if (
                self.canaries.on_table_changed(
                    name, before, after, versions, on, starts, cold, self.last_round_ns
                )
                and not tried
            ):
                few, version = len(self.canaries.open_trials[name].canary_proxies), new.version.hex()[:12]
                self.log_event("canary", table=name, version=version, proxies=few, of=len(on))
        rest = self.canaries.baseline_weights(name, self._starts())
        if rest is None:
            self.rests.pop(number, None)
            return
        lines = tuple((s, self._zone(s), w) for s, w in sorted(rest.items()))
        rows = [(op.name, *row) for op, row in zip(self.settings.operations, new.admission, strict=True)]
        made = encoding.make_table(rows, lines)
        self.history.record(f"{name}/rest", made, self.last_round_ns, "canary")
        self.rests[number] = TableContent(lines, new.admission, encoding.version_of(made))

    def _tried(self, proxy: Any, report: LoadReport, now: int) -> None:
        """A report of a proxy, for the trials of the tables that it is on."""
        bound = self.assignments.proxies[proxy].table_by_operation
        for number in set(bound.values()):
            ops = {self.settings.operations[place].name for place, table in bound.items() if table == number}
            rows = [row for row in report.demand if row[0] in ops]
            took, timed = (sum(row[k] for row in report.endpoints) for k in (3, 4))
            totals = ReportTotals(sum(r[1] for r in rows), sum(r[2] for r in rows), took, timed)
            self.canaries.on_report(proxy, self.table_name(number), totals, now - report.window_ns)

    def _look_at_trials(self, now: int) -> None:
        """Trials that are over go on or back; lines of those behind lose servers that closed."""
        starts = self._starts()
        for name in list(self.canaries.open_trials):
            number = self._named(name)
            if number is None or not self.assignments.proxies_by_table.get(number):
                self.canaries.close(name)
                continue
            chosen = self.canaries.reselect(name, self._demands(number))
            was = {s for s, _, _ in self.rests[number].entries} if number in self.rests else set()
            rest = self.canaries.baseline_weights(name, starts)
            if chosen or rest is None or rest.keys() != was:
                self._again(number, "list" if rest is not None else "canary", now)
        for name, end in self.canaries.take_finished(now):
            number = self._named(name)
            what = "back" if end.rolled_back else "on"
            self.log_event("canary over", table=name, went=what, cause=end.cause)
            if number is None:
                continue
            if end.rolled_back and self._take_back(name, end.previous_version.hex(), False, now):
                continue
            self._again(number, "canary", now)

    def _take_back(self, name: str, version: str, levels: bool, now: int) -> bool:
        """Hold a table at an earlier version by no order of staff, within the limit on how often."""
        if not self.rejections.reserve_rollback(now):
            self.log_event("not taken back", table=name, cause=f"{self.rejections.max_rollbacks} times within"
                       f" {self.rejections.window_ns / NS_PER_S:g} s is the most")  # fmt: skip
            return False
        try:
            self.pin(name, version, self.retention.rollback_duration_ns, levels, "rollback", now)
        except (PinError, UnknownVersionError) as why:
            self.log_event("not taken back", table=name, cause=str(why))
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
        self.history.record(name, made, self.last_round_ns, cause or "health")
        newest = self.history.newest_change(name)
        assert newest is not None
        return newest.version

    def _pinned(self, number: int) -> dict[str, float] | None:
        """The lines that a table is held at, those of open servers."""
        return self.pins.weights(self.table_name(number), self._ready()) if self.pins.by_table else None

    def _ready(self) -> frozenset[str]:
        return frozenset(n for n, f in self.known_endpoints.items() if f.state == "ready")

    def _zone(self, server: str) -> str:
        return self.known_endpoints[server].zone if server in self.known_endpoints else ""

    def _review(self, touched: Collection[int], now: int, urgent: Collection[int] = ()) -> None:
        """Let the guard see all tables; what it changes by itself goes out by the channel like an order."""
        assert self.publish_gate is not None
        self.last_review_ns = now
        warm = self.publish_gate.warm_check(self.known_endpoints, now)
        cold = frozenset(
            n for n, f in self.known_endpoints.items() if f.started_ns and f.state == "ready" and not warm(n)
        )
        proposed = {number: self._proposal(number, cold, now) for number in self.assignments.tables}
        used = self.observed_traffic.peak_rates(self.known_endpoints, warm, now)
        known = Observations(
            peak_by_kind(used),
            used,
            () if self.settings.removal_is_binding else self.observed_traffic.responding_endpoints(now),
            self.observed_traffic.failing_zones(self.known_endpoints, now),
            min(len(self.proxies) / max(self.settings.proxy_count, 1), 1.0),
        )
        lines: dict[Any, int] = {}
        for number in self.publish_gate.review(
            proposed, touched, self.known_endpoints, known, now, self.news, urgent
        ):
            self.why.setdefault(number, "guard")
            self.assignments.tables[number].revision += 1
            self.holdings.clear()
            for proxy in self.assignments.proxies_by_table.get(number, ()):
                lines[proxy] = lines.get(proxy, 0) + len(self.publish_gate.allowed[number][0])
        self._put(lines, now)
        for event, fields in self.publish_gate.take_events():
            self.log_event(event, **fields)

    def _hold(self, done: RoundResult, now: int) -> None:
        """Take the lines of held tables out of a round: what does not go out is not counted.

        A mark says that a proxy holds all that was sent to it, so it is answered once that is so. Left open
        it would keep room in the module's book: binds of proxies that rejoined waited for it, and with them
        their drains (3.7 s, of 3).
        """
        assert self.publish_gate is not None
        for number in self.publish_gate.held_tables & done.changed_entries_by_table.keys():
            for proxy in self.assignments.proxies_by_table.get(number, ()):
                left = done.entries_by_proxy.get(proxy, 0) - done.changed_entries_by_table[number]
                if left > (done.nonce is not None):
                    done.entries_by_proxy[proxy] = left
                elif done.entries_by_proxy.pop(proxy, None) is not None and done.nonce is not None:
                    self.marks[proxy] = done.nonce
        for proxy in [
            p for p in self.marks if self.deliveries.is_up_to_date(p) and self.proxies[p].seal is None
        ]:
            self.on_acknowledged(proxy, self.marks.pop(proxy), now)

    def _proposed(self, number: int) -> dict[str, float]:
        """The lines that a table is to hold: what is ordered, or what it is held at."""
        pinned, lines = self._pinned(number), self.assignments.tables[number].weights
        return (
            {s: w for s, w in lines.items() if s not in self.assignments.ejected}
            if pinned is None
            else pinned
        )

    def _places(self, number: int) -> list[int]:
        """The places of the operations that proxies are on a table for."""
        bound = (
            self.assignments.proxies[p].table_by_operation
            for p in self.assignments.proxies_by_table.get(number, ())
        )
        return sorted({place for held in bound for place, t in held.items() if t == number})

    def _proposal(self, number: int, cold: frozenset[str], now: int) -> Proposal:
        assert self.publish_gate is not None
        proxies, places = self.assignments.proxies_by_table.get(number, {}), self._places(number)
        operations = [self.settings.operations[place] for place in places]
        named = [op.name for op in operations]
        levels = [self.assignments.admission(number, place)[0] for place in places]
        return Proposal(
            self._proposed(number),
            max(levels, default=1.0),
            frozenset(self.assignments.proxies[p].zone for p in proxies),
            any(op.zone_local for op in operations),
            self.observed_traffic.request_rate(proxies, named, now) if proxies else None,
            self.deliveries.pending_shares(
                proxies, named, cold, lambda p: self.observed_traffic.request_rate((p,), named, now)
            )
            if cold
            else (),
            self.egress_queue.utilization(proxies, self.publish_gate.max_queue_delay_ns, now),
        )

    # -- ways back

    def _number(self, name: str) -> int:
        """The number of a table in use. Raises `PinError`."""
        number = self._named(name)
        if number is not None and self.assignments.proxies_by_table.get(number):
            return number
        used = ", ".join(
            self.table_name(n)
            for n in sorted(self.assignments.tables)
            if self.assignments.proxies_by_table.get(n)
        )
        raise PinError(f"no proxy is on a table {name!r}; in use are {used or 'none'}")

    def pin(self, name: str, asked: str, span: int, levels: bool, cause: str, now: int) -> VersionChange:
        """Hold a table at a kept version for so long. Raises `UnknownVersionError` or `PinError`;
        nothing changes then."""
        if not MIN_PIN_NS <= span <= MAX_PIN_NS:
            raise PinError(
                f"{span / NS_PER_S:g} s: a pin lasts {MIN_PIN_NS // NS_PER_S} to {MAX_PIN_NS // NS_PER_S} s"
            )
        number, change = self._number(name), self.history.find(name, asked)
        content = self.history.content(change.version)
        if content is None:
            raise PinError(f"version {change.version.hex()[:12]} is no longer kept")
        self.pins.pin(name, Pin(change, content, now + span, levels, cause), self._ready())
        self.log_event("table pinned", table=name, version=change.version.hex()[:12], serial=change.serial,
                   seconds=round(span / NS_PER_S), levels=levels, cause=cause)  # fmt: skip
        self._again(number, cause, now)
        return change

    def commanded_weights(self, name: str) -> dict[str, float]:
        """What the module orders of a table, whatever goes out; empty for one that is not known."""
        number = self._named(name)
        return {} if number is None else dict(self.assignments.tables[number].weights)

    def _named(self, name: str) -> int | None:
        """The number of a table by the name that proxies know it by; None if there is no such table."""
        return next((number for number in self.assignments.tables if self.table_name(number) == name), None)

    def release(self, name: str, now: int) -> None:
        """The module's orders count again for a table. Raises `PinError` if it is not pinned."""
        self.pins.release(name)
        self._released(name, "released", now)

    def _released(self, name: str, why: str, now: int) -> None:
        self.log_event("table released", table=name, why=why)
        number = self._named(name)
        if number is not None:
            self._again(number, "release", now)

    def _end_pins(self, now: int) -> None:
        for name, why in self.pins.take_ended(self._ready(), now) if self.pins.by_table else ():
            self._released(name, why, now)

    def _again(self, number: int, cause: str, now: int) -> None:
        """A table holds something else by no order of the module: judge it and push it, past what waits."""
        self.why[number] = cause
        self.assignments.tables[number].revision += 1
        self.holdings.clear()
        if self.publish_gate:
            self._review((number,), now, (number,))
        self._put(
            dict.fromkeys(self.assignments.proxies_by_table.get(number, ()), len(self._proposed(number))), now
        )

    def on_tables_rejected(self, proxy: Any, names: Collection[str], now: int) -> None:
        """A proxy rejects what was pushed of these tables; what many reject is taken back."""
        for name in names:
            newest = self.history.newest_change(name)
            if newest is None or newest.parent is None or proxy not in self.assignments.proxies:
                continue
            on = [
                n
                for n in self.assignments.proxies[proxy].table_by_operation.values()
                if self.table_name(n) == name
            ]
            if not on or name in self.pins.by_table:
                continue
            self.canaries.on_rejected(proxy, name)
            if self.rejections.on_rejected(
                proxy, name, newest.version, len(self.assignments.proxies_by_table[on[0]])
            ):
                self._take_back(name, newest.parent.hex(), True, now)

    def explain(self, now: int) -> list[dict[str, Any]]:
        """By table with proxies on it: what was ordered, what the guard lets out, and why it differs."""
        found = []
        for number, table in sorted(self.assignments.tables.items()):
            proxies = self.assignments.proxies_by_table.get(number, {})
            places = self._places(number)
            ordered = {s: w for s, w in table.weights.items() if s not in self.assignments.ejected}
            level = max((self.assignments.admission(number, place)[0] for place in places), default=1.0)
            row = {
                "table": self.table_name(number),
                "operations": [self.settings.operations[place].name for place in places],
                "zones": sorted({self.assignments.proxies[p].zone for p in proxies}),
                "proxies": len(proxies),
            }
            if proxies and self.publish_gate is not None:
                pin = self.pins.by_table.get(self.table_name(number))
                held = f"held at {pin.change.version.hex()[:12]} ({pin.cause})" if pin else ""
                found.append(row | self.publish_gate.explain(number, ordered, level, held, now))
        return found

    def tables_of(self, proxy: Any) -> ProxyTables:
        """What a proxy should hold by what was ordered until now; the same object for all on the same
        tables."""
        bound = self.assignments.proxies[proxy].table_by_operation
        if not bound:
            return self._carried(proxy)
        self.proxies[proxy].carried = None
        bound_to = tuple(sorted(bound.items()))
        made = {table: self.table_content(table) for _, table in bound_to}
        behind = frozenset(
            t for t in made if t in self.rests and not self.canaries.is_canary(self.table_name(t), proxy)
        )
        key = (bound_to, behind)
        if key not in self.holdings:
            named = [
                (self.settings.operations[place].name, self.table_name(table)) for place, table in bound_to
            ]
            contents = {self.table_name(t): self.rests[t] if t in behind else c for t, c in made.items()}
            self.holdings[key] = ProxyTables(tuple(named), contents, frozenset(map(self.table_name, behind)))
        return self.holdings[key]

    def table_name(self, table: int) -> str:
        """The planner is in it: planners that share nothing number their tables alike."""
        return f"{self.settings.instance}.{table}"

    def _carried(self, proxy: Any) -> ProxyTables:
        """What a proxy holds of a module that failed, less what is withdrawn since."""
        carried, shut = self.proxies[proxy].carried, self.assignments.ejected
        if carried is None:
            return ProxyTables()
        open_ = {
            name: TableContent(tuple(x for x in made.entries if x[0] not in shut), made.admission)
            for name, made in carried.contents.items()
        }
        return ProxyTables(carried.tables_by_operation, open_)

    # -- the module's faults

    def _before_reset(self) -> None:
        for proxy, joined in self.proxies.items():
            if self.assignments.proxies[proxy].table_by_operation:
                joined.carried = self.tables_of(
                    proxy
                )  # the copy survives: `held` clears it only when asked again
            joined.seal = None
