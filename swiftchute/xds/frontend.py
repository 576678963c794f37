"""The xDS front without I/O: streams by number, what each is to hold, and what a turn of the core makes of
it.

    front = Front(core, settings, life, ...)
    front.opened(sid, peer, delta, now); front.request(sid, request, now); front.closed(sid, cause)
    front.report(node, report, now)
    out = front.turn(core.turn(now), now)
    out.replies, out.cuts, out.events

A stream that opens joins its node, one that ends lets it leave; a node is on one stream at a time. What a
node should hold is the core's; how far its stream is with it is `stream.Stream`'s.
"""

import random
from dataclasses import dataclass, field
from typing import Any

from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller, RoundOutput
from swiftchute.controller.load_aggregation import LoadReport
from swiftchute.xds import names
from swiftchute.xds.messages import Peer, Reply, Request, Violation
from swiftchute.xds.resources import Translator
from swiftchute.xds.stream import Applied, Event, Refused, Stale, Stream

S = 1_000_000_000
CHECK = 1 * S  # streams are looked over for answers that do not come at most so often


@dataclass
class Out:
    """Replies by stream, streams to end with a gRPC status, and events for the log, the core's among them."""

    replies: list[tuple[int, Reply]] = field(default_factory=list)
    cuts: list[tuple[int, str, str]] = field(default_factory=list)
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)


class Front:
    """All streams of one planner's life; `life` tells it from earlier ones in versions and nonces."""

    def __init__(
        self,
        controller: Controller,
        settings: Settings,
        life: int,
        ack_within: int,
        proxy_rate: float,
        streams: int,
        seed: int,
    ) -> None:
        """`proxy_rate` stands for a rate that a node does not tell; `streams` may be open at once."""
        self.controller, self.set, self.life = controller, settings, life
        self.ack_within, self.proxy_rate, self.most = ack_within, proxy_rate, streams
        self.random = random.Random(seed)
        self.translator = Translator(settings)
        self.streams: dict[int, tuple[Peer, Stream]] = {}
        self.sids: dict[str, int] = {}
        self.touched: set[int] = set()
        self.barred = controller.unavailable_endpoints
        self.pushes = 0
        self.checked = 0
        self.cuts: list[tuple[int, str, str]] = []
        self.counts = dict.fromkeys(("applied", "stale", "refused", "cut"), 0)

    # -- in

    def opened(self, sid: int, peer: Peer, delta: bool, now: int) -> None:
        """A stream's first request named its node: it is joined. Raises `Violation` if it may not be."""
        old = self.sids.get(peer.node)
        if old is None and len(self.streams) >= self.most:
            raise Violation("RESOURCE_EXHAUSTED", f"{self.most} streams are open, the most allowed")
        if old is None and peer.node in self.controller.proxies:
            raise Violation("ALREADY_EXISTS", f"{peer.node} is a proxy of another front")
        if old is not None:  # it dialled again before its broken stream was noticed, or it is a double
            self._cut(old, "ABORTED", f"node {peer.node} opened another stream")
        lines = delta and names.LINES_FEATURE in peer.features
        stream = Stream(delta, f"{self.life:x}.{sid}", self.random.getrandbits(32), lines)
        stream.barred = self.controller.unavailable_endpoints
        self.streams[sid], self.sids[peer.node] = (peer, stream), sid
        self.controller.on_proxy_connected(peer.node, peer.zone, peer.rate or self.proxy_rate, peer.fresh)
        self.controller.log_event("proxy joined", proxy=peer.node, zone=peer.zone, delta=delta, lines=lines)
        if self.controller.assignments.ejected:
            self._want(sid, None, now)

    def request(self, sid: int, request: Request, now: int) -> None:
        """A request on an open stream; one that must end is cut."""
        if sid not in self.streams:
            return
        peer, stream = self.streams[sid]
        try:
            self._tell(peer, stream.request(request, now), now)
        except Violation as why:
            self._cut(sid, why.status, why.text)
            return
        self.touched.add(sid)

    def closed(self, sid: int, cause: str) -> None:
        """A stream broke or was ended."""
        if sid not in self.streams:
            return
        peer, _ = self.streams.pop(sid)
        del self.sids[peer.node]
        self.touched.discard(sid)
        self.controller.on_proxy_disconnected(peer.node)
        self.controller.log_event("proxy left", proxy=peer.node, cause=cause)

    def report(self, node: str, report: LoadReport, now: int) -> None:
        """A load report of a node."""
        self.controller.on_load_report(node, report, now)

    def _cut(self, sid: int, status: str, text: str) -> None:
        self.counts["cut"] += 1
        self.cuts.append((sid, status, text))
        self.closed(sid, text)

    # -- out

    def turn(self, turn: RoundOutput, now: int) -> Out:
        """Carry out a turn of the core: push, and see how far each stream is."""
        if self.controller.unavailable_endpoints is not self.barred:
            self.barred = self.controller.unavailable_endpoints
            for sid, (_, stream) in self.streams.items():
                stream.barred = self.barred
                if stream.since is not None:  # what it goes by may not be what it was last sent
                    self.touched.add(sid)
        for node in turn.overflowed_proxies:
            if node in self.sids:
                self._cut(self.sids[node], "RESOURCE_EXHAUSTED", "the planner's channel is full")
        for node, seal in turn.pushes:
            if node in self.sids:
                self.pushes += 1
                self._want(self.sids[node], seal, now)
        if now - self.checked >= CHECK:
            self.checked = now
            self._look_over(now)
        out = Out(events=turn.log_events)
        for sid in sorted(self.touched):
            peer, stream = self.streams[sid]
            replies, events = stream.progress(now)
            out.replies += [(sid, reply) for reply in replies]
            self._tell(peer, events, now)
            if stream.since is None and stream.wanted is not None:
                self.controller.on_fully_acknowledged(peer.node, now)
        self.touched.clear()
        out.cuts, self.cuts = self.cuts, []
        return out

    def _want(self, sid: int, seal: int | None, now: int) -> None:
        peer, stream = self.streams[sid]
        wanted = self.translator.wanted(
            self.controller.tables_of(peer.node), self.controller.assignments.ejected, stream.lines
        )
        stream.want(wanted, f"{self.set.instance}/{self.life}/{self.pushes}", seal, now)
        self.touched.add(sid)

    def _look_over(self, now: int) -> None:
        """Wake streams whose refused resources may be tried again; cut off those that answer nothing."""
        for sid, (peer, stream) in list(self.streams.items()):
            if stream.wake is not None and now >= stream.wake:
                self.touched.add(sid)
            oldest = min((kind.out.since for kind in stream.kinds.values() if kind.out), default=now)
            if now - oldest > self.ack_within:
                self.controller.log_event(
                    "proxy silent", proxy=peer.node, seconds=round((now - oldest) / S, 1)
                )
                text = f"nothing acknowledged for {self.ack_within / S:g} s"
                self._cut(sid, "DEADLINE_EXCEEDED", text)

    def _tell(self, peer: Peer, events: list[Event], now: int) -> None:
        for event in events:
            if isinstance(event, Applied):
                self.counts["applied"] += 1
                self.controller.on_acknowledged(peer.node, event.seal, now)
            elif isinstance(event, Stale):
                self.counts["stale"] += 1
            elif isinstance(event, Refused):
                self.counts["refused"] += 1
                self.controller.on_tables_rejected(peer.node, names.tables_of(event.names), now)
                self.controller.log_event(
                    "table refused",
                    proxy=peer.node,
                    type=names.SHORT[event.kind],
                    names=list(event.names)[:8],
                    detail=event.detail,
                    answer=event.answer,
                )
