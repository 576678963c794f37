"""The five rules, judged from what passed on the sockets: orders, tries, streams, and the workers' receipts.

`judge(evidence)` returns a `Verdict` a rule. It reads nothing of a planner: what proxies held is worked out
by replaying the orders as their sockets received them, what they did from the tries, what took effect from
the receipts. Times are monotonic nanoseconds of one machine; every figure is of stand-ins on one machine.
"""

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from envoy.service.discovery.v3.discovery_pb2 import DeltaDiscoveryResponse, DiscoveryResponse

from swiftchute.api.settings import Settings
from swiftchute.fakes.backend import BackendEvent, Receipt
from swiftchute.fakes.traffic_record import AttemptRecord, ReceivedResponse, StreamEvent
from swiftchute.proxy.xds_client import XdsClient

S = 1_000_000_000


@dataclass(frozen=True)
class Observation:
    """What the published list said of an endpoint from `time_ns` on; `started` is the planner clock's, 0 if
    long ago."""

    time_ns: int
    endpoint: str
    zone: str
    state: str
    started: int = 0


@dataclass
class Evidence:
    """All that a day left behind; `deaf` are spans in which a planner (by address) could not be told
    anything."""

    settings: Settings
    told: list[Observation]
    orders: list[ReceivedResponse]
    tries: list[AttemptRecord]
    streams: list[StreamEvent]
    receipts: list[Receipt]
    gateways: dict[
        str, tuple[str, float, bool, bool, dict[str, int]]
    ]  # zone, rate, delta, lines, standing table
    capacity: dict[str, float]  # work a second by server, warm
    deaf: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    end: int = 0
    planners: dict[str, str] = field(default_factory=dict)  # a dialled address -> the planner behind it
    # clients by DNS: when each went by another answer for an operation, and whether that had lines; what they
    # do is in the rows above. `overstaying` are those whose resolver keeps answers past their time to live:
    # no rule binds them
    answers: dict[str, list[tuple[int, str, bool]]] = field(default_factory=dict)
    overstaying: frozenset[str] = frozenset()


@dataclass
class Verdict:
    """A rule: the figure nearest to its limit, what was looked at, and where it broke, if it did."""

    rule: str
    figure: float
    limit: float
    unit: str
    looked_at: str
    broken: list[str] = field(default_factory=list)

    @property
    def line(self) -> str:
        """One line for people."""
        state = "BROKEN" if self.broken else "kept"
        where = f"; first: {self.broken[0]}" if self.broken else ""
        return (
            f"{self.rule:34} {state:6} nearest {self.figure:.2f} of {self.limit:.2f} {self.unit}"
            f" ({self.looked_at}){where}"
        )


def judge(evidence: Evidence) -> list[Verdict]:
    """All five rules, in the brief's order."""
    day = _Day(evidence)
    return [day.lost(), day.twice(), day.drains(), day.cold(), day.queue()]


class _Day:
    def __init__(self, evidence: Evidence) -> None:
        self.e, self.set = evidence, evidence.settings
        self.joined: dict[str, list[tuple[int, int, str]]] = defaultdict(
            list
        )  # gateway -> (from, to, planner)
        opened: dict[tuple[str, int], StreamEvent] = {}
        for s in sorted(evidence.streams, key=lambda s: s.time_ns):
            if s.opened:
                opened[s.gateway, s.stream] = s
            elif (s.gateway, s.stream) in opened:
                start = opened.pop((s.gateway, s.stream))
                self.joined[s.gateway].append((start.time_ns, s.time_ns, self.planner(s.server)))
        for (gateway, _), s in opened.items():
            self.joined[gateway].append((s.time_ns, evidence.end, self.planner(s.server)))
        for spans in self.joined.values():
            spans.sort()
        self.told: dict[str, list[Observation]] = defaultdict(list)
        for t in sorted(evidence.told, key=lambda t: t.time_ns):
            self.told[t.endpoint].append(t)

    def planner(self, address: str) -> str:
        return self.e.planners.get(address, address)

    def stream(self, gateway: str, at: int) -> tuple[int, int, str] | None:
        """The stream a gateway was joined by at a time."""
        spans = self.joined.get(gateway, [])
        place = bisect_right(spans, (at, 2**63, "")) - 1
        return spans[place] if place >= 0 and spans[place][1] > at else None

    def heard(self, planner: str, at: int) -> int:
        """When a planner could first be told what was published at a time: later if it stood still or
        was down."""
        for start, end in sorted(self.e.deaf.get(planner, [])):
            if start <= at < end:
                at = end
        return at

    def replayed(self) -> Iterator[tuple[XdsClient, list[ReceivedResponse]]]:
        """Each gateway's client, fresh, with its orders in the sequence in which they came."""
        by: dict[str, list[ReceivedResponse]] = defaultdict(list)
        for order in self.e.orders:
            by[order.gateway].append(order)
        for gateway, (zone, rate, delta, lines, standing) in sorted(self.e.gateways.items()):
            client = XdsClient(gateway, zone, rate, delta, lines)
            client.static_endpoints = dict(standing)
            yield client, sorted(by[gateway], key=lambda o: o.time_ns)

    # -- 1

    def _servable(self) -> list[tuple[int, bool]]:
        """From when on a ready server that is no longer cold was listed, or none was."""
        points = sorted(
            {t.time_ns for t in self.e.told}
            | {t.started + self.set.max_warmup_ns for t in self.e.told if t.started}
        )
        out = []
        for at in points:
            now = [
                rows[bisect_right([t.time_ns for t in rows], at) - 1]
                for rows in self.told.values()
                if rows[0].time_ns <= at
            ]
            out.append(
                (
                    at,
                    any(
                        t.state == "ready" and at >= t.started + self.set.max_warmup_ns * bool(t.started)
                        for t in now
                    ),
                )
            )
        return out

    def _bare_for(self, since: int, until: int, servable: list[tuple[int, bool]]) -> int:
        """The longest stretch within which a warm server was listed all the time."""
        longest, at = 0, since
        for start, ok in [*servable, (until, False)]:
            if start <= since:
                at = since if ok else until
                continue
            stop = min(start, until)
            longest = max(longest, stop - at)
            at = stop if ok else until
        return max(longest, 0)

    def lost(self) -> Verdict:
        """1: no joined proxy without a line for an operation, while a warm server is listed."""
        verdict = Verdict(
            "nobody left without a server",
            0.0,
            self.set.max_no_endpoint_ns / S,
            "s",
            f"{len(self.e.gateways)} gateways, {len(self.e.orders)} orders",
        )
        servable = self._servable()
        for client, orders in self.replayed():
            spans = self.joined[client.node]
            bare: dict[str, int | None] = {}
            stream = 0
            marks = [(o.time_ns, o) for o in orders] + [(t, None) for a, b, _ in spans for t in (a, b)]
            for at, order in sorted(marks, key=lambda m: m[0]) + [(self.e.end, None)]:
                if order is not None:
                    if order.stream != stream:
                        stream = order.stream
                        client.open_stream(True)
                    client.receive(order.data)
                held = self.stream(client.node, at)
                for op in self.set.operations:
                    table = client.table(op.name)
                    empty = held is not None and (table is None or not table.weights)
                    began = bare.get(op.name)
                    if began is not None:
                        # the span ends with its stream too: a proxy that is cut off is not joined
                        stop = min([at, *(b for a, b, _ in spans if a <= began < b)])
                        took = self._bare_for(began, stop, servable) / S
                        verdict.figure = max(verdict.figure, took)
                        if took > verdict.limit and len(verdict.broken) < 20:
                            verdict.broken.append(f"{client.node} had no line for {op.name} for {took:.2f} s")
                    bare[op.name] = (
                        (began if began is not None and held and began >= held[0] else at) if empty else None
                    )
        self._unanswered(verdict, servable)
        return verdict

    def _unanswered(self, verdict: Verdict, servable: list[tuple[int, bool]]) -> None:
        """Clients by DNS: without a line from an answer that has none, or from none, to the next that has."""
        for caller, rows in self.e.answers.items():
            bare: dict[str, int] = {}
            for at, op, has in [*rows, *((self.e.end, op.name, True) for op in self.set.operations)]:
                began = bare.pop(op, None)
                if began is not None:
                    took = self._bare_for(began, at, servable) / S
                    verdict.figure = max(verdict.figure, took)
                    if took > verdict.limit and len(verdict.broken) < 20:
                        verdict.broken.append(f"{caller} had no answer for {op} for {took:.2f} s")
                if not has:
                    bare[op] = began if began is not None else at

    # -- 2

    def twice(self) -> Verdict:
        """2: what may take effect once was never run twice on a planner's orders."""
        once = {op.name for op in self.set.operations if op.idempotency == "side-effecting"}
        runs: dict[str, list[Receipt]] = defaultdict(list)
        for r in self.e.receipts:
            if r.operation in once and r.event is BackendEvent.STARTED:
                runs[r.request_id].append(r)
        verdict = Verdict(
            "no effect twice",
            float(max(map(len, runs.values()), default=0)),
            1.0,
            "runs",
            f"{len(runs)} side-effecting invocations by {len(self.e.receipts)} receipts",
        )
        for inv, rows in runs.items():
            if len(rows) > 1 and len(verdict.broken) < 20:
                verdict.broken.append(f"{inv} ran at {', '.join(r.endpoint for r in rows)}")
        return verdict

    # -- 3

    def drains(self) -> Verdict:
        """3: joined proxies stop sending to a draining or gone server within the grace."""
        verdict = Verdict("drains kept", 0.0, self.set.drain_grace_ns / S, "s", "")
        looked = 0
        for t in self.e.tries:
            rows = self.told.get(t.endpoint, [])
            place = bisect_right([r.time_ns for r in rows], t.time_ns) - 1
            held = self.stream(t.gateway, t.time_ns)
            if place < 0 or held is None or rows[place].state == "ready" or t.gateway in self.e.overstaying:
                continue
            while place and rows[place - 1].state != "ready":
                place -= 1  # a drain and then gone: the grace began with the drain
            looked += 1
            lag = (t.time_ns - max(self.heard(held[2], rows[place].time_ns), held[0])) / S
            verdict.figure = max(verdict.figure, lag)
            if lag > verdict.limit and len(verdict.broken) < 20:
                verdict.broken.append(
                    f"{t.gateway} sent {t.request_id} to {t.endpoint} {lag:.2f} s after the news"
                )
        verdict.looked_at = f"{looked} tries after a drain's news, of {len(self.e.tries)}"
        return verdict

    # -- 4

    def cold(self) -> Verdict:
        """4: work brought to a cold server within the span, by its capacity then, under the multiple.

        As the wire page counts: a break needs two thirds of the work to come through proxies that were last
        written to after the start's news, or whose planner had it for the grace.
        """
        multiple, span = self.set.overload_multiple, self.set.overload_window_ns
        verdict = Verdict("no cold server pushed over", 0.0, multiple, "times what it can do", "")
        written: dict[str, list[int]] = defaultdict(list)
        for o in sorted(self.e.orders, key=lambda o: o.time_ns):
            written[o.gateway].append(o.time_ns)
        for caller, answers in self.e.answers.items():
            written[caller] = [at for at, _, _ in answers]
        by: dict[str, list[Receipt]] = defaultdict(list)
        for r in sorted(self.e.receipts, key=lambda r: r.time_ns):
            if r.event in (BackendEvent.ARRIVED, BackendEvent.CRASHED):
                by[r.endpoint].append(r)
        starts = 0
        for server, rows in sorted(by.items()):
            for began in sorted({t.started for t in self.told[server] if t.started}):
                news = next(t.time_ns for t in self.told[server] if t.started == began)
                starts += 1
                window: deque[Receipt] = deque()
                for r in rows:
                    if not began <= r.time_ns <= began + self.set.max_warmup_ns:
                        continue
                    window.append(r)
                    while window[0].time_ns < r.time_ns - span:
                        window.popleft()
                    least = self.set.start_capacity_fraction
                    share = least + (1 - least) * (r.time_ns - began) / self.set.max_warmup_ns
                    work = sum(w.work_s for w in window)
                    brought = work / (share * self.e.capacity[server] * span / S)
                    if sum(w.work_s for w in window if self._knew(w, news, written)) < work * 2 / 3:
                        continue
                    verdict.figure = max(verdict.figure, brought)
                    if (brought > multiple or r.event is BackendEvent.CRASHED) and len(verdict.broken) < 20:
                        what = "fell over: it was" if r.event is BackendEvent.CRASHED else "was"
                        verdict.broken.append(
                            f"{server} {what} brought {brought:.2f} times what it could do"
                            f" {(r.time_ns - began) / S:.1f} s after its start"
                        )
        verdict.looked_at = f"{starts} cold starts, {sum(map(len, by.values()))} receipts"
        return verdict

    def _knew(self, r: Receipt, news: int, written: dict[str, list[int]]) -> bool:
        held = self.stream(r.gateway, r.time_ns)
        told = self.heard(held[2], news) if held else news
        last = bisect_right(written[r.gateway], r.time_ns) - 1
        return (last >= 0 and written[r.gateway][last] > told) or r.time_ns - told > self.set.drain_grace_ns

    # -- 5

    def queue(self) -> Verdict:
        """5: messages to a proxy within the window, and lines a planner writes, within what the settings
        allow.

        A message is a push: its responses, one a type, carry one version. Lines that waited cannot be seen
        from outside; but what a planner writes in a second is at most what may wait and what it sends
        meanwhile.
        """
        limit = self.set.message_quota or 10**9
        verdict = Verdict("a short queue", 0.0, 1.0, "of the limit", "")
        lines: dict[str, list[tuple[int, int]]] = defaultdict(list)
        messages = 0
        for client, orders in self.replayed():
            before: dict[str, dict[str, float]] = {}
            recent: deque[int] = deque()
            seen: set[tuple[int, str]] = set()
            stream = 0
            for order in orders:
                if order.stream != stream:
                    stream = order.stream
                    client.open_stream(True)
                    recent.clear()  # counted from its joining
                parsed = (DeltaDiscoveryResponse if order.delta else DiscoveryResponse).FromString(order.data)
                version = parsed.system_version_info if order.delta else parsed.version_info
                client.receive(order.data)
                if (order.stream, version) not in seen:
                    seen.add((order.stream, version))
                    messages += 1
                    recent.append(order.time_ns)
                    while recent[0] < order.time_ns - self.set.message_quota_window_ns:
                        recent.popleft()
                    verdict.figure = max(verdict.figure, len(recent) / limit)
                    if len(recent) > limit and len(verdict.broken) < 20:
                        verdict.broken.append(
                            f"{client.node} was written {len(recent)} messages within"
                            f" {self.set.message_quota_window_ns / S:g} s"
                        )
                count = 0
                for table in {t.cluster.partition("/")[0]: t for t in client.tables.values()}.items():
                    name, now = table[0], dict(table[1].weights) | {"": table[1].admission_rate}
                    old = before.get(name, {})
                    count += sum(old.get(k) != now.get(k) for k in old.keys() | now.keys())
                    before[name] = now
                if count:
                    lines[self.planner(order.server)].append((order.time_ns, count))
        most = self.set.egress_queue_limit_entries + self.set.egress_rate_entries_per_s
        for planner, rows in lines.items():
            window: deque[tuple[int, int]] = deque()
            for at, count in sorted(rows):
                window.append((at, count))
                while window[0][0] < at - S:
                    window.popleft()
                written = sum(n for _, n in window)
                verdict.figure = max(verdict.figure, written / most)
                if written > most and len(verdict.broken) < 20:
                    verdict.broken.append(
                        f"planner {planner} wrote {written} lines within a second; {most:g} at most"
                    )
        total = sum(n for rows in lines.values() for _, n in rows)
        verdict.looked_at = f"{messages} messages, {total} changed lines"
        return verdict
