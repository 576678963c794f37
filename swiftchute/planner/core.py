"""One planner without I/O: streams' requests, load reports and lists in; replies, cuts and log events out.

    core = Core(settings, seed, life, make=Planner, ...)
    core.opened(sid, peer, delta, now); core.request(sid, request, now); core.closed(sid, now)
    core.report(node, report, now); core.listed(news, now)
    out = core.turn(now)        # call after any of these, and at core.due
    out.replies, out.cuts, out.events

It keeps the clock's rounds: the module is called once a turn with all that came in. Every decision about
servers,
weights, levels, times and who is bound where is the module's. What is decided here is plumbing: what of the
module's
orders a proxy has not been sent, when a proxy has answered, and what becomes of a module or a proxy that
fails.
"""

import random
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from swiftchute.interface import Call, Decider, Settings
from swiftchute.planner.channel import Channel
from swiftchute.planner.orders import Held, Orders, Round, open_lines
from swiftchute.registry.lists import News
from swiftchute.xds import names
from swiftchute.xds.loads import Report, Sums
from swiftchute.xds.messages import Peer, Reply, Request, Violation
from swiftchute.xds.resources import Content, Translator, Wanted
from swiftchute.xds.stream import Applied, Refused, Stale, Stream

MS, S = 1_000_000, 1_000_000_000
STALL = 2 * S  # a turn that comes so much later than it was due: this planner stood still
FAULTS, FAULT_SPAN = (
    5,
    60 * S,
)  # faults of the module within the span past which it waits before the next start
FAULT_WAIT = 10 * S
CALLS_MOST = 200_000  # calls that may wait for a round, sums apart: joins, answers, lists
SEALS_KEPT = 4096  # marks whose time of order is remembered


@dataclass
class Out:
    """What a turn asks of the shells: replies by stream, streams to end with a status, events for the log."""

    replies: list[tuple[int, Reply]] = field(default_factory=list)
    cuts: list[tuple[int, str, str]] = field(default_factory=list)
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)


@dataclass
class _Joined:
    peer: Peer
    stream: Stream
    seal: int | None = None  # the newest mark ordered and not sent yet
    carried: tuple[dict[str, Content], dict[str, str]] | None = None  # tables of a module that failed


class Core:
    """The state of one planner's life."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        life: int,
        make: Callable[[Settings, int], Decider],
        ack_within: int,
        proxy_rate: float,
        streams: int = 4096,
        now: int = 0,
    ) -> None:
        """`life` tells this start from earlier ones in the versions of pushes."""
        self.set, self.life, self.make = settings, life, make
        self.ack_within, self.proxy_rate, self.streams_most = ack_within, proxy_rate, streams
        self.random = random.Random(seed)
        self.seed = seed
        self.planner: Decider | None = make(settings, seed)
        self.orders = Orders(settings)
        self.translator = Translator(settings)
        self.channel = self._channel()
        self.sums = Sums(settings.report_lines, settings.report_period)
        self.zones: dict[str, str] = {}
        self.list: dict[str, Any] = {}
        self.barred: frozenset[str] = frozenset()  # servers listed as draining, or gone where gone binds
        self.joined: dict[int, _Joined] = {}
        self.sids: dict[str, int] = {}
        self.calls: list[Call] = []
        self.touched: set[int] = set()
        self.timers: list[tuple[int, int]] = []
        self.ordered: dict[int, int] = {}
        self.faults: deque[int] = deque(maxlen=FAULTS)
        self.asleep: int | None = None  # until when the module is not started again
        self.pushes = 0
        self.built: dict[Any, Wanted] = {}
        self.contents: dict[int, tuple[int, Content]] = {}
        self.checked = self.turned = now
        self.counts = dict.fromkeys(
            ("rounds", "faults", "stale", "refused", "applied", "cut", "calls_lost"), 0
        )
        self.out = Out()

    def _channel(self) -> Channel:
        s = self.set
        return Channel(s.channel_pace, s.channel_limit, s.message_lines, s.message_limit, s.message_window)

    def _event(self, event: str, **fields: Any) -> None:
        self.out.events.append((event, fields))

    def _call(self, name: str, *arguments: Any) -> None:
        if len(self.calls) >= CALLS_MOST:
            self.counts["calls_lost"] += 1
            return
        self.calls.append((name, arguments))

    # -- in

    def opened(self, sid: int, peer: Peer, delta: bool, now: int) -> None:
        """A stream's first request named its node: the proxy is joined. Raises `Violation` if it may
        not be."""
        old = self.sids.get(peer.node)
        if old is None and len(self.joined) >= self.streams_most:
            raise Violation("RESOURCE_EXHAUSTED", f"{self.streams_most} streams are open, the most allowed")
        if old is not None:  # a proxy that dialled again before its broken stream was noticed, or a double
            self._cut(old, "ABORTED", f"node {peer.node} opened another stream")
        token = f"{self.life:x}.{sid}"
        self.joined[sid] = _Joined(
            peer, Stream(delta, token, self.random.getrandbits(32), delta and self._lines(peer))
        )
        self.joined[sid].stream.barred = self.barred
        self.sids[peer.node] = sid
        self.orders.joined(peer.node, peer.zone)
        self._call("joined", peer.node, peer.zone, peer.rate or self.proxy_rate, peer.fresh)
        self._event("proxy joined", proxy=peer.node, zone=peer.zone, delta=delta, lines=self._lines(peer))
        if self.orders.shut:
            self._want(sid, None, now)

    def request(self, sid: int, request: Request, now: int) -> None:
        """A request on an open stream; one that must end is cut."""
        joined = self.joined.get(sid)
        if joined is None:
            return
        try:
            events = joined.stream.request(request, now)
        except Violation as why:
            self._cut(sid, why.status, why.text)
            return
        self._tell(joined, events, now)
        self.touched.add(sid)

    def closed(self, sid: int, cause: str) -> None:
        """A stream broke or was ended."""
        joined = self.joined.pop(sid, None)
        if joined is None:
            return
        node = joined.peer.node
        if self.sids.get(node) == sid:
            del self.sids[node]
        self.orders.left(node)
        self.channel.left(node)
        self.sums.left(node)
        self.touched.discard(sid)
        self._call("left", node)
        self._event("proxy left", proxy=node, cause=cause)

    def _cut(self, sid: int, status: str, text: str) -> None:
        self.counts["cut"] += 1
        self.out.cuts.append((sid, status, text))
        self.closed(sid, text)

    def report(self, node: str, report: Report, now: int) -> None:
        """A load report of a proxy; one that is not joined here is not heard."""
        sid = self.sids.get(node)
        if sid is not None:
            self.sums.add(node, self.joined[sid].peer.zone, report, now)

    def listed(self, news: News) -> None:
        """A good list brought these entries."""
        barred = set(self.barred)
        for entry in news.entries:
            self.zones[entry[0]] = entry[1]
            if entry[4] == "gone":
                self.list.pop(entry[0], None)
            else:
                self.list[entry[0]] = entry
            if entry[4] == "ready" or (entry[4] == "gone" and not self.set.gone_binds):
                barred.discard(entry[0])
            else:
                barred.add(entry[0])
        if barred != self.barred:
            self.barred = frozenset(barred)
            for sid, joined in self.joined.items():
                joined.stream.barred = self.barred
                if joined.stream.since is not None:  # what it goes by may not be what it was last sent
                    self.touched.add(sid)
        self._call("listed", news.scope, list(news.entries))

    # -- a turn

    @property
    def due(self) -> int:
        """When the next turn is due."""
        times = [self.checked + S, *(t for t, _ in self.timers)]
        times += [t for t in (self.channel.due, self.sums.due, self.asleep) if t is not None]
        return min(times)

    def turn(self, now: int) -> Out:
        """Call the module if anything came in, send what may go, and return what the shells are to do."""
        if now - self.turned > STALL + S:
            # streams buffered what came meanwhile; nothing decided before the gap is waiting but in the
            # channel,
            # and that sends the state of now: what was overtaken is never sent
            self._event("stood still", seconds=round((now - self.turned) / S, 1))
        self.turned = now
        for when, token in [t for t in self.timers if t[0] <= now]:
            self.timers.remove((when, token))
            self._call("woke", token)
        if self.asleep is not None and now >= self.asleep:
            self._start_again(now)
        self.calls += self.sums.take(now)
        if self.calls and self.planner is not None:
            self._round(now)
        for node, _ in self.channel.take(now):
            sid = self.sids.get(node)
            if sid is not None:
                joined = self.joined[sid]
                self.pushes += 1
                seal, joined.seal = joined.seal, None
                self._want(sid, seal, now)
        if now - self.checked >= S:
            self.checked = now
            self._overdue(now)
        # a retry of a refused resource wakes by the second's check
        for sid in sorted(self.touched):
            joined = self.joined.get(sid)
            if joined is not None:
                replies, events = joined.stream.progress(now)
                self.out.replies += [(sid, r) for r in replies]
                self._tell(joined, events, now)
        self.touched.clear()
        out, self.out = self.out, Out()
        return out

    def _round(self, now: int) -> None:
        calls, self.calls = self.calls, []
        self.counts["rounds"] += 1
        try:
            assert self.planner is not None
            self.planner.decide(now, calls, self.orders)
            done = self.orders.end()
        except Exception as why:  # the module's fault is this planner's, never silence
            self._fault(why, len(calls), now)
            return
        self._apply(done, now)

    def _apply(self, done: Round, now: int) -> None:
        for text in done.logs:
            self._event("mode", text=text)
        for wait, token in done.timers:
            self.timers.append((now + wait, token))
        if done.tables or done.withdrawals:
            self.built.clear()
            if done.withdrawals:
                self.translator.shut_out(self.orders.shut)
        if done.seal is not None:
            self.ordered[done.seal] = now
            while len(self.ordered) > SEALS_KEPT:
                del self.ordered[next(iter(self.ordered))]
        lines = {node: count for node, count in done.lines.items() if node in self.sids}
        refused = self.channel.put(lines, now)
        for node in lines:
            if done.seal is not None:
                self.joined[self.sids[node]].seal = done.seal
        for node in refused:
            self._event("channel full", proxy=node, lines=self.channel.lines, limit=self.channel.limit)
            self._cut(self.sids[node], "RESOURCE_EXHAUSTED", "the planner's channel is full")

    def _overdue(self, now: int) -> None:
        for sid, joined in list(self.joined.items()):
            stream = joined.stream
            if stream.wake is not None and now >= stream.wake:
                self.touched.add(sid)
            oldest = min((k.out.since for k in stream.kinds.values() if k.out), default=None)
            if oldest is not None and now - oldest > self.ack_within:
                text = f"nothing acknowledged for {self.ack_within / S:g} s"
                self._event("proxy silent", proxy=joined.peer.node, seconds=round((now - oldest) / S, 1))
                self._cut(sid, "DEADLINE_EXCEEDED", text)

    def _tell(self, joined: _Joined, events: list[Any], now: int) -> None:
        node = joined.peer.node
        for event in events:
            if isinstance(event, Applied):
                self.counts["applied"] += 1
                self._call("applied", node, event.seal, now - self.ordered.get(event.seal, now))
            elif isinstance(event, Stale):
                self.counts["stale"] += 1
            elif isinstance(event, Refused):
                self.counts["refused"] += 1
                self._event(
                    "table refused",
                    proxy=node,
                    type=names.SHORT[event.kind],
                    names=list(event.names)[:8],
                    detail=event.detail,
                    answer=event.answer,
                )

    # -- what a proxy should hold

    @staticmethod
    def _lines(peer: Peer) -> bool:
        return names.LINES_FEATURE in peer.features

    def _want(self, sid: int, seal: int | None, now: int) -> None:
        joined = self.joined[sid]
        lines = joined.stream.lines
        held = self.orders.proxies[joined.peer.node]
        if held.bound:
            joined.carried = None
            wanted = self._wanted(held, lines)
        elif joined.carried:
            contents, bound = joined.carried
            open_ = {
                t: Content(tuple(x for x in c.lines if x[0] not in self.orders.shut), c.levels)
                for t, c in contents.items()
            }
            wanted = Translator(self.set).wanted(open_, bound, lines)
        else:
            wanted = self.translator.wanted({}, {}, lines)
        joined.stream.want(wanted, f"{self.set.planner}/{self.life}/{self.pushes}", seal, now)
        self.touched.add(sid)

    def _wanted(self, held: Held, lines: bool) -> Wanted:
        key = (tuple(sorted(held.bound.items())), lines)
        if key not in self.built:
            contents, bound = self._bound(held)
            self.built[key] = self.translator.wanted(contents, bound, lines)
        return self.built[key]

    def _bound(self, held: Held) -> tuple[dict[str, Content], dict[str, str]]:
        bound = {
            self.set.operations[place].name: names.table_name(self.set.planner, table)
            for place, table in sorted(held.bound.items())
        }
        contents = {
            names.table_name(self.set.planner, table): self.content(table) for table in held.bound.values()
        }
        return contents, bound

    def content(self, number: int) -> Content:
        """What a table holds for its proxies; the same object until the table changes."""
        table = self.orders.tables[number]
        kept = self.contents.get(number)
        if kept is None or kept[0] != table.revision:
            levels = tuple(self.orders.level(number, place) for place in range(len(self.set.operations)))
            made = Content(open_lines(table, self.orders.shut, self.zones), levels)
            self.contents[number] = kept = (table.revision, made)
            self.translator.forget(names.table_name(self.set.planner, number))
        return kept[1]

    # -- the module's faults

    def _fault(self, why: Exception, calls: int, now: int) -> None:
        """The module failed: proxies keep their tables and it starts anew with the last list."""
        self.counts["faults"] += 1
        place = traceback.extract_tb(why.__traceback__)[-1]
        self._event(
            "module fault",
            error=f"{type(why).__name__}: {why}",
            at=f"{place.name}:{place.lineno}",
            calls=calls,
            faults=self.counts["faults"],
        )
        for sid, joined in self.joined.items():
            held = self.orders.proxies.get(joined.peer.node)
            if held and held.bound:
                joined.carried = self._bound(held)
            joined.seal = None
            joined.stream.seals = []
            self.touched.discard(sid)
        self.planner, self.timers, self.asleep = None, [], now
        if len(self.faults) == FAULTS and now - self.faults[0] < FAULT_SPAN:
            self.asleep = now + int(FAULT_WAIT * self.random.uniform(0.5, 1.0))
            self._event("module waits", seconds=round((self.asleep - now) / S, 1), faults=FAULTS)
        self.faults.append(now)

    def _start_again(self, now: int) -> None:
        self.asleep = None
        self.seed = self.random.getrandbits(63)
        self.planner = self.make(self.set, self.seed)
        self.orders, self.translator, self.channel = Orders(self.set), Translator(self.set), self._channel()
        self.built, self.contents, self.ordered, self.calls = {}, {}, {}, []
        if self.list:
            self._call("listed", "held", [self.list[n] for n in sorted(self.list)])
        for joined in self.joined.values():
            peer = joined.peer
            self.orders.joined(peer.node, peer.zone)
            self._call("joined", peer.node, peer.zone, peer.rate or self.proxy_rate, False)
        self._event("module started", proxies=len(self.joined), servers=len(self.list))
