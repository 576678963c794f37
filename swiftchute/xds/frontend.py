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
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.messages import AdsRequest, AdsResponse, ProxyNode
from swiftchute.xds.resources import Translator
from swiftchute.xds.stream import Acknowledged, AdsStream, Rejected, StaleRequest, StreamEvent

S = 1_000_000_000
CHECK = 1 * S  # streams are looked over for answers that do not come at most so often


@dataclass
class FrontendOutput:
    """Replies by stream, streams to end with a gRPC status, and events for the log, the core's among them."""

    replies: list[tuple[int, AdsResponse]] = field(default_factory=list)
    cuts: list[tuple[int, str, str]] = field(default_factory=list)
    events: list[tuple[str, dict[str, Any]]] = field(default_factory=list)


class XdsFrontend:
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
        self.streams: dict[int, tuple[ProxyNode, AdsStream]] = {}
        self.sids: dict[str, int] = {}
        self.touched: set[int] = set()
        self.barred = controller.unavailable_endpoints
        self.pushes = 0
        self.checked = 0
        self.cuts: list[tuple[int, str, str]] = []
        self.counts = dict.fromkeys(("applied", "stale", "refused", "cut"), 0)

    # -- in

    def opened(self, sid: int, peer: ProxyNode, delta: bool, now: int) -> None:
        """A stream's first request named its node: it is joined. Raises `Violation` if it may not be."""
        old = self.sids.get(peer.node)
        if old is None and len(self.streams) >= self.most:
            raise ProtocolViolationError(
                "RESOURCE_EXHAUSTED", f"{self.most} streams are open, the most allowed"
            )
        if old is None and peer.node in self.controller.proxies:
            raise ProtocolViolationError("ALREADY_EXISTS", f"{peer.node} is a proxy of another front")
        if old is not None:  # it dialled again before its broken stream was noticed, or it is a double
            self._cut(old, "ABORTED", f"node {peer.node} opened another stream")
        collections = delta and names.LINES_FEATURE in peer.features
        stream = AdsStream(delta, f"{self.life:x}.{sid}", self.random.getrandbits(32), collections)
        stream.unavailable = self.controller.unavailable_endpoints
        self.streams[sid], self.sids[peer.node] = (peer, stream), sid
        self.controller.on_proxy_connected(peer.node, peer.zone, peer.rate or self.proxy_rate, peer.fresh)
        self.controller.log_event(
            "proxy joined", proxy=peer.node, zone=peer.zone, delta=delta, lines=collections
        )
        if self.controller.assignments.ejected:
            self._want(sid, None, now)

    def request(self, sid: int, request: AdsRequest, now: int) -> None:
        """A request on an open stream; one that must end is cut."""
        if sid not in self.streams:
            return
        peer, stream = self.streams[sid]
        try:
            self._tell(peer, stream.on_request(request, now), now)
        except ProtocolViolationError as why:
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

    def turn(self, turn: RoundOutput, now: int) -> FrontendOutput:
        """Carry out a turn of the core: push, and see how far each stream is."""
        if self.controller.unavailable_endpoints is not self.barred:
            self.barred = self.controller.unavailable_endpoints
            for sid, (_, stream) in self.streams.items():
                stream.unavailable = self.barred
                if stream.unanswered_since_ns is not None:  # what it goes by may not be what it was last sent
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
        out = FrontendOutput(events=turn.log_events)
        for sid in sorted(self.touched):
            peer, stream = self.streams[sid]
            replies, events = stream.advance(now)
            out.replies += [(sid, reply) for reply in replies]
            self._tell(peer, events, now)
            if stream.unanswered_since_ns is None and stream.wanted is not None:
                self.controller.on_fully_acknowledged(peer.node, now)
        self.touched.clear()
        out.cuts, self.cuts = self.cuts, []
        return out

    def _want(self, sid: int, seal: int | None, now: int) -> None:
        peer, stream = self.streams[sid]
        wanted = self.translator.wanted(
            self.controller.tables_of(peer.node), self.controller.assignments.ejected, stream.collections
        )
        stream.set_wanted(wanted, f"{self.set.instance}/{self.life}/{self.pushes}", seal, now)
        self.touched.add(sid)

    def _look_over(self, now: int) -> None:
        """Wake streams whose refused resources may be tried again; cut off those that answer nothing."""
        for sid, (peer, stream) in list(self.streams.items()):
            if stream.retry_at_ns is not None and now >= stream.retry_at_ns:
                self.touched.add(sid)
            oldest = stream.oldest_pending_ns()
            if oldest is not None and now - oldest > self.ack_within:
                self.controller.log_event(
                    "proxy silent", proxy=peer.node, seconds=round((now - oldest) / S, 1)
                )
                text = f"nothing acknowledged for {self.ack_within / S:g} s"
                self._cut(sid, "DEADLINE_EXCEEDED", text)

    def _tell(self, peer: ProxyNode, events: list[StreamEvent], now: int) -> None:
        for event in events:
            if isinstance(event, Acknowledged):
                self.counts["applied"] += 1
                self.controller.on_acknowledged(peer.node, event.nonce, now)
            elif isinstance(event, StaleRequest):
                self.counts["stale"] += 1
            elif isinstance(event, Rejected):
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
