"""The xDS frontend without I/O: the ADS streams of one instance, by number.

    frontend = XdsFrontend(controller, settings, options, seed)
    frontend.open_stream(stream_id, node, delta, now)
    frontend.on_request(stream_id, request, now)
    frontend.close_stream(stream_id, cause)
    frontend.on_load_report(node, report, now)
    output = frontend.publish(controller.run_round(now), now)

A stream that opens connects its proxy, one that ends disconnects it; a proxy is on one stream at a time. What
a proxy should hold is the controller's; how far its stream is with it is `AdsStream`'s.
"""

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller, LogEvent, RoundOutput
from swiftchute.controller.load_aggregation import LoadReport
from swiftchute.xds import names
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.messages import AdsRequest, AdsResponse, ProxyNode
from swiftchute.xds.resources import Translator
from swiftchute.xds.stream import Acknowledged, AdsStream, Rejected, StaleRequest, StreamEvent

SECOND_NS = 1_000_000_000
CHECK_INTERVAL_NS = 1 * SECOND_NS  # between checks of all streams for retries and time-outs
MAX_LOGGED_NAMES = 8


class StreamTermination(NamedTuple):
    """A stream that has to be ended, with a gRPC status by name."""

    stream_id: int
    status: str
    text: str


@dataclass
class FrontendOutput:
    """What a round asks of the transport."""

    responses: list[tuple[int, AdsResponse]] = field(default_factory=list)  # with their streams' numbers
    terminations: list[StreamTermination] = field(default_factory=list)
    log_events: list[LogEvent] = field(default_factory=list)  # the controller's among them


@dataclass(frozen=True)
class FrontendOptions:
    """Limits and identity of a frontend."""

    incarnation: int  # tells its versions and nonces from those of earlier ones
    ack_timeout_ns: int  # a stream that answers nothing for so long is ended
    default_request_rate: float  # of a proxy that gives none, requests per second
    max_streams: int


@dataclass
class FrontendCounts:
    """Events since the start."""

    acknowledged: int = 0
    stale: int = 0
    rejected: int = 0
    terminated: int = 0

    def log_fields(self) -> dict[str, int]:
        """Return the counts by the names that they have in the log."""
        return {
            "applied": self.acknowledged,
            "stale": self.stale,
            "refused": self.rejected,
            "cut": self.terminated,
        }


class _OpenStream(NamedTuple):
    node: ProxyNode
    stream: AdsStream


class XdsFrontend:
    """All ADS streams of one incarnation."""

    def __init__(
        self, controller: Controller, settings: Settings, options: FrontendOptions, seed: int
    ) -> None:
        """Create a frontend without streams; `seed` is that of the jitter of retries."""
        self.counts = FrontendCounts()
        self._controller = controller
        self._instance = settings.instance
        self._options = options
        self._random = random.Random(seed)
        self._translator = Translator(settings)
        self._streams: dict[int, _OpenStream] = {}
        self._stream_ids: dict[str, int] = {}  # by proxy
        self._changed: set[int] = set()  # streams that may have something to send
        self._overdue: set[int] = set()  # streams found without an acknowledgement in time
        self._unavailable = controller.unavailable_endpoints
        self._publication_count = 0
        self._checked_at_ns = 0
        self._terminations: list[StreamTermination] = []

    @property
    def stream_count(self) -> int:
        """How many streams are open."""
        return len(self._streams)

    def is_connected(self, proxy: str) -> bool:
        """Whether a proxy has a stream."""
        return proxy in self._stream_ids

    def open_stream(self, stream_id: int, node: ProxyNode, delta: bool, now_ns: int) -> None:
        """Connect the proxy that a stream's first request named.

        Raises:
            ProtocolViolationError: It may not be connected.
        """
        previous = self._stream_ids.get(node.node)
        if previous is None:
            self._check_new_proxy(node.node)
        else:  # it dialled again before its broken stream was noticed, or it is a duplicate
            self._terminate(previous, "ABORTED", f"node {node.node} opened another stream")
        collections = delta and names.LEDS_FEATURE in node.features
        token = f"{self._options.incarnation:x}.{stream_id}"
        stream = AdsStream(delta, token, self._random.getrandbits(32), collections)
        stream.unavailable = self._controller.unavailable_endpoints
        self._streams[stream_id] = _OpenStream(node, stream)
        self._stream_ids[node.node] = stream_id
        rate = node.request_rate or self._options.default_request_rate
        self._controller.on_proxy_connected(node.node, node.zone, rate, node.fresh)
        self._controller.log_event(
            "proxy joined", proxy=node.node, zone=node.zone, delta=delta, lines=collections
        )
        if self._controller.assignments.ejected:
            self._set_wanted(stream_id, None, now_ns)

    def _check_new_proxy(self, proxy: str) -> None:
        limit = self._options.max_streams
        if len(self._streams) >= limit:
            raise ProtocolViolationError("RESOURCE_EXHAUSTED", f"{limit} streams are open, the most allowed")
        if proxy in self._controller.proxies:
            raise ProtocolViolationError("ALREADY_EXISTS", f"{proxy} is a proxy of another front")

    def on_request(self, stream_id: int, request: AdsRequest, now_ns: int) -> None:
        """Handle a request on an open stream; a stream whose client violates the protocol is ended."""
        if stream_id not in self._streams:
            return
        node, stream = self._streams[stream_id]
        try:
            self._handle(node, stream.on_request(request, now_ns), now_ns)
        except ProtocolViolationError as error:
            self._terminate(stream_id, error.status, error.text)
            return
        self._changed.add(stream_id)

    def close_stream(self, stream_id: int, cause: str) -> None:
        """Disconnect the proxy of a stream that broke or was ended."""
        if stream_id not in self._streams:
            return
        node, _ = self._streams.pop(stream_id)
        del self._stream_ids[node.node]
        self._changed.discard(stream_id)
        self._overdue.discard(stream_id)
        self._controller.on_proxy_disconnected(node.node)
        self._controller.log_event("proxy left", proxy=node.node, cause=cause)

    def on_load_report(self, proxy: str, report: LoadReport, now_ns: int) -> None:
        """Handle a load report of a proxy."""
        self._controller.on_load_report(proxy, report, now_ns)

    def publish(self, round_output: RoundOutput, now_ns: int) -> FrontendOutput:
        """Carry out a round of the controller and advance the streams that it concerns."""
        self._update_unavailable()
        for proxy in round_output.overflowed_proxies:
            if proxy in self._stream_ids:
                text = "the planner's channel is full"
                self._terminate(self._stream_ids[proxy], "RESOURCE_EXHAUSTED", text)
        for proxy, nonce in round_output.pushes:
            if proxy in self._stream_ids:
                self._publication_count += 1
                self._set_wanted(self._stream_ids[proxy], nonce, now_ns)
        if now_ns - self._checked_at_ns >= CHECK_INTERVAL_NS:
            self._checked_at_ns = now_ns
            self._check_timeouts(now_ns)
        output = FrontendOutput(log_events=round_output.log_events)
        for stream_id in sorted(self._changed):
            self._advance(stream_id, output, now_ns)
        self._changed.clear()
        output.terminations, self._terminations = self._terminations, []
        return output

    def _update_unavailable(self) -> None:
        """Tell streams which endpoints are unavailable; what a client uses may not be what it was sent."""
        if self._controller.unavailable_endpoints is self._unavailable:
            return
        self._unavailable = self._controller.unavailable_endpoints
        for stream_id, (_, stream) in self._streams.items():
            stream.unavailable = self._unavailable
            if stream.unanswered_since_ns is not None:
                self._changed.add(stream_id)

    def _advance(self, stream_id: int, output: FrontendOutput, now_ns: int) -> None:
        node, stream = self._streams[stream_id]
        responses, events = stream.advance(now_ns)
        output.responses += [(stream_id, response) for response in responses]
        self._handle(node, events, now_ns)
        if stream.unanswered_since_ns is None and stream.wanted is not None:
            self._controller.on_fully_acknowledged(node.node, now_ns)

    def _set_wanted(self, stream_id: int, nonce: int | None, now_ns: int) -> None:
        node, stream = self._streams[stream_id]
        tables = self._controller.tables_of(node.node)
        ejected = self._controller.assignments.ejected
        wanted = self._translator.wanted(tables, ejected, stream.collections)
        version = f"{self._instance}/{self._options.incarnation}/{self._publication_count}"
        stream.set_wanted(wanted, version, nonce, now_ns)
        self._changed.add(stream_id)

    def _check_timeouts(self, now_ns: int) -> None:
        """Advance streams with a retry that is due, and end those that do not acknowledge in time.

        A stream is ended by the second check that finds it overdue: its acknowledgement may lie in the socket
        of a process that was stopped, and is read between the two.
        """
        timeout_ns = self._options.ack_timeout_ns
        for stream_id, (node, stream) in list(self._streams.items()):
            if stream.retry_at_ns is not None and now_ns >= stream.retry_at_ns:
                self._changed.add(stream_id)
            oldest_ns = stream.oldest_pending_ns()
            if oldest_ns is None or now_ns - oldest_ns <= timeout_ns:
                self._overdue.discard(stream_id)
            elif stream_id not in self._overdue:
                self._overdue.add(stream_id)
            else:
                seconds = round((now_ns - oldest_ns) / SECOND_NS, 1)
                self._controller.log_event("proxy silent", proxy=node.node, seconds=seconds)
                text = f"nothing acknowledged for {timeout_ns / SECOND_NS:g} s"
                self._terminate(stream_id, "DEADLINE_EXCEEDED", text)

    def _terminate(self, stream_id: int, status: str, text: str) -> None:
        self.counts.terminated += 1
        self._terminations.append(StreamTermination(stream_id, status, text))
        self.close_stream(stream_id, text)

    def _handle(self, node: ProxyNode, events: list[StreamEvent], now_ns: int) -> None:
        for event in events:
            match event:
                case Acknowledged(nonce):
                    self.counts.acknowledged += 1
                    self._controller.on_acknowledged(node.node, nonce, now_ns)
                case StaleRequest():
                    self.counts.stale += 1
                case Rejected():
                    self.counts.rejected += 1
                    self._on_rejected(node, event, now_ns)

    def _on_rejected(self, node: ProxyNode, event: Rejected, now_ns: int) -> None:
        self._controller.on_tables_rejected(node.node, names.tables_of(event.names), now_ns)
        self._controller.log_event(
            "table refused",
            proxy=node.node,
            type=names.SHORT[event.kind],
            names=list(event.names)[:MAX_LOGGED_NAMES],
            detail=event.detail,
            answer=event.answer,
        )
