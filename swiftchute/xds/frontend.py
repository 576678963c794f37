"""The xDS frontend without I/O: the ADS streams of one instance, by stream id.

    frontend = XdsFrontend(controller, settings, options, seed)
    frontend.open_stream(stream_id, node, delta, now)
    frontend.on_request(stream_id, request, now)
    frontend.close_stream(stream_id, cause)
    frontend.on_load_report(node, report, now)
    output = frontend.publish(controller.run_round(now), now)

Opening a stream connects its proxy to the controller, closing it disconnects the proxy; a proxy has one
stream at a time. The controller decides what a proxy should hold; `AdsStream` tracks what it acknowledged.
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
    """A stream to end, with the name of a gRPC status."""

    stream_id: int
    status: str
    text: str


@dataclass
class FrontendOutput:
    """What the transport has to do after a round."""

    responses: list[tuple[int, AdsResponse]] = field(default_factory=list)  # with their stream ids
    terminations: list[StreamTermination] = field(default_factory=list)
    log_events: list[LogEvent] = field(default_factory=list)  # including the controller's


@dataclass(frozen=True)
class FrontendOptions:
    """Limits and identity of a frontend."""

    incarnation: int  # distinguishes its versions and nonces from earlier incarnations
    ack_timeout_ns: int  # a stream that leaves a response unanswered for longer is ended
    default_request_rate: float  # requests per second of a proxy that states no rate
    max_streams: int


@dataclass
class FrontendCounts:
    """Counts of events since the start."""

    acknowledged: int = 0
    stale: int = 0
    rejected: int = 0
    terminated: int = 0

    def log_fields(self) -> dict[str, int]:
        """Return the counts by their names in the log."""
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
        """Create a frontend without streams; `seed` seeds the retry jitter."""
        self.counts = FrontendCounts()
        self._controller = controller
        self._instance = settings.instance
        self._options = options
        self._random = random.Random(seed)
        self._translator = Translator(settings)
        self._streams: dict[int, _OpenStream] = {}
        self._stream_ids: dict[str, int] = {}  # by proxy
        self._changed: set[int] = set()  # streams that may have something to send
        self._overdue: set[int] = set()  # streams that the last check found past the time-out
        self._unavailable = controller.unavailable_endpoints
        self._publication_count = 0
        self._checked_at_ns = 0
        self._terminations: list[StreamTermination] = []

    @property
    def stream_count(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def is_connected(self, proxy: str) -> bool:
        """Whether a proxy has a stream."""
        return proxy in self._stream_ids

    def open_stream(self, stream_id: int, node: ProxyNode, delta: bool, now_ns: int) -> None:
        """Connect the proxy that a stream's first request names.

        Raises:
            ProtocolViolationError: There are too many streams, or another frontend has the proxy.
        """
        previous = self._stream_ids.get(node.id)
        if previous is None:
            self._check_new_proxy(node.id)
        else:  # the proxy reconnected before its broken stream was noticed, or two proxies share a node id
            self._terminate(previous, "ABORTED", f"node {node.id} opened another stream")
        collections = delta and names.LEDS_FEATURE in node.features
        token = f"{self._options.incarnation:x}.{stream_id}"
        stream = AdsStream(delta, token, self._random.getrandbits(32), collections)
        stream.unavailable = self._controller.unavailable_endpoints
        self._streams[stream_id] = _OpenStream(node, stream)
        self._stream_ids[node.id] = stream_id
        rate = node.request_rate or self._options.default_request_rate
        self._controller.on_proxy_connected(node.id, node.zone, rate, node.fresh)
        self._controller.log_event(
            "proxy joined", proxy=node.id, zone=node.zone, delta=delta, lines=collections
        )
        if self._controller.assignments.ejected:
            self._set_wanted(stream_id, None, now_ns)

    def _check_new_proxy(self, proxy: str) -> None:
        limit = self._options.max_streams
        if len(self._streams) >= limit:
            raise ProtocolViolationError("RESOURCE_EXHAUSTED", f"{limit} streams are open, the maximum")
        if proxy in self._controller.proxies:
            raise ProtocolViolationError("ALREADY_EXISTS", f"node {proxy} is connected to another frontend")

    def on_request(self, stream_id: int, request: AdsRequest, now_ns: int) -> None:
        """Handle a request on an open stream; a protocol violation ends the stream."""
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
        del self._stream_ids[node.id]
        self._changed.discard(stream_id)
        self._overdue.discard(stream_id)
        self._controller.on_proxy_disconnected(node.id)
        self._controller.log_event("proxy left", proxy=node.id, cause=cause)

    def on_load_report(self, proxy: str, report: LoadReport, now_ns: int) -> None:
        """Handle a load report of a proxy."""
        self._controller.on_load_report(proxy, report, now_ns)

    def publish(self, round_output: RoundOutput, now_ns: int) -> FrontendOutput:
        """Apply a round of the controller and advance the streams that it affects."""
        self._update_unavailable()
        for proxy in round_output.overflowed_proxies:
            if proxy in self._stream_ids:
                text = "the egress queue is full"
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
        """Tell streams which endpoints are unavailable; a client may still use tables that it held before."""
        if self._controller.unavailable_endpoints is self._unavailable:
            return
        self._unavailable = self._controller.unavailable_endpoints
        for stream_id, (_, stream) in self._streams.items():
            stream.unavailable = self._unavailable
            if stream.unsettled_since_ns is not None:
                self._changed.add(stream_id)

    def _advance(self, stream_id: int, output: FrontendOutput, now_ns: int) -> None:
        node, stream = self._streams[stream_id]
        responses, events = stream.advance(now_ns)
        output.responses += [(stream_id, response) for response in responses]
        self._handle(node, events, now_ns)
        if stream.unsettled_since_ns is None and stream.wanted is not None:
            self._controller.on_fully_acknowledged(node.id, now_ns)

    def _set_wanted(self, stream_id: int, nonce: int | None, now_ns: int) -> None:
        node, stream = self._streams[stream_id]
        tables = self._controller.tables_of(node.id)
        ejected = self._controller.assignments.ejected
        wanted = self._translator.wanted(tables, ejected, stream.collections)
        version = f"{self._instance}/{self._options.incarnation}/{self._publication_count}"
        stream.set_wanted(wanted, version, nonce, now_ns)
        self._changed.add(stream_id)

    def _check_timeouts(self, now_ns: int) -> None:
        """Advance streams with a retry that is due, and end those that do not acknowledge in time.

        A stream is ended by the second check in a row that finds it overdue: if this process was stopped, the
        acknowledgement may lie in the socket, and is read between the two checks.
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
                self._controller.log_event("proxy silent", proxy=node.id, seconds=seconds)
                text = f"a response was not answered within {timeout_ns / SECOND_NS:g} s"
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
                    self._controller.on_acknowledged(node.id, nonce, now_ns)
                case StaleRequest():
                    self.counts.stale += 1
                case Rejected():
                    self.counts.rejected += 1
                    self._on_rejected(node, event, now_ns)

    def _on_rejected(self, node: ProxyNode, event: Rejected, now_ns: int) -> None:
        self._controller.on_tables_rejected(node.id, names.tables_of(event.names), now_ns)
        self._controller.log_event(
            "table refused",
            proxy=node.id,
            type=names.SHORT_NAMES[event.type_url],
            names=list(event.names)[:MAX_LOGGED_NAMES],
            detail=event.detail,
            answer=event.answer,
        )
