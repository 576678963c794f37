"""All connections of one planner, between its round loop and its sockets. No I/O.

    front = SessionManager(loop, sockets)
    stream = front.opened(now); stream.received(data, now); front.closed(stream, cause)
    front.listed(scope, entries)        # from discovery
    for stream, data in front.turn(now): ...
    front.due, front.ending             # when the next turn is due; streams to be closed

Rules of the protocol that concern more than one connection are kept here: which stream is a proxy's, how many
connections may wait to join, what may be written to a proxy that does not read.
"""

import math
from collections.abc import Iterable, Iterator, KeysView
from typing import Any

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import DemandReport, EndpointLoadReport, PushAcknowledged
from swiftchute.controller.assignments import RoundResult
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform import wire_messages
from swiftchute.platform.errors import MessageTooLargeError
from swiftchute.platform.proxy_session import ProxySession
from swiftchute.platform.push_encoder import PushEncoder

MS, S = 1_000_000, 1_000_000_000
JOIN_WITHIN = 1 * S  # a connection that has not joined by then is closed, once its socket was read again
UNREAD_MOST = 40 * 1024  # bytes that a proxy may leave unread before what follows is merged
HELD_WAIT = 5 * S  # a proxy that proves nothing read is tried again so often, by one message
SILENT = 15 * S  # a proxy that owes a mark and says nothing for so long has left
UNJOINED_LEAST = 8  # connections that may wait to join, whatever the descriptors
RESERVE = 32  # descriptors kept for what is no client's: files, discovery, listeners, the loop's own
COLLECTORS_MOST = 4  # connections of collectors, by zone
MEAN_LEAST = 10 * S  # a mean time up to this is believed, however short the timeouts are
SPAN_MOST = 600 * S  # a report of a longer span is none
OUT_MOST = 256 * 1024  # bytes waiting in this process for a client that reads nothing: it is let go
SPOILT_LOGGED = 3  # spoilt messages that are told one by one; the rest is counted


class SessionManager:
    """The state of a planner's address."""

    def __init__(self, loop: PolicyRunner, sockets: int) -> None:
        """No connection is open; `sockets` are the descriptors that this process may hold."""
        self.loop, self.sockets, self.set = loop, sockets, loop.settings
        self.operations = {op.name for op in self.set.operations}
        self.zones = set(self.set.zones)
        self.longest = max(2 * max(op.timeout_ns for op in self.set.operations), MEAN_LEAST)
        self.writer = PushEncoder(self.set, loop.assignments)
        self.streams: dict[int, ProxySession] = {}  # by proxy
        self.collectors: dict[ProxySession, None] = {}
        self.unjoined: dict[ProxySession, None] = {}  # the oldest first
        self.ending: list[ProxySession] = []  # to be closed by the shell
        self.shut: set[str] = set()  # what was withdrawn when proxies were last written to
        self.pending: dict[int, int | None] = {}  # proxies that could not be written to: their newest mark
        self.counts = dict.fromkeys(
            ("opened", "joined", "left", "replaced", "refused", "crowded", "late", "silent", "spoilt",
             "reports", "acks", "messages", "lines", "bytes", "merged", "too_large", "out_bytes",
             "collectors_closed", "marks_lost"), 0,
        )  # fmt: skip

    # -- connections

    def opened(self, now: int) -> ProxySession:
        """A connection was accepted; past the bound the oldest that has not joined gives way."""
        stream = ProxySession(self, now)
        self.counts["opened"] += 1
        self.unjoined[stream] = None
        # By descriptors alone: a whole fleet may come at once, read only after all of it was accepted.
        most = max(self.sockets - RESERVE - len(self.streams) - len(self.collectors), UNJOINED_LEAST)
        while len(self.unjoined) > most:
            self.counts["crowded"] += 1
            self._refuse(next(iter(self.unjoined)), "too many connections")
        return stream

    def _refuse(self, stream: ProxySession, cause: str) -> None:
        self.unjoined.pop(stream, None)
        stream.end(cause)
        self.ending.append(stream)

    def closed(self, stream: ProxySession, cause: str) -> None:
        """A connection is over, by whichever side. A proxy's old stream that ends after its new one began
        changes nothing."""
        self.counts["refused"] += not stream.joined and stream.ended is not None
        self.unjoined.pop(stream, None)
        self.collectors.pop(stream, None)
        if stream.proxy is not None and self.streams.get(stream.proxy) is stream:
            self._left(stream.proxy, cause)

    def _left(self, proxy: int, cause: str) -> None:
        del self.streams[proxy]
        self.pending.pop(proxy, None)
        self.writer.left(proxy)
        self.loop.on_proxy_disconnected(proxy)
        self.counts["left"] += 1
        self.loop.log_event("proxy left", proxy=proxy, cause=cause)

    def dropped(self, stream: ProxySession, cause: str) -> None:
        """A spoilt message of a joined connection is passed over."""
        self.counts["spoilt"] += 1
        if self.counts["spoilt"] <= SPOILT_LOGGED or not self.counts["spoilt"] % 100:
            who = {"proxy": stream.proxy} if stream.proxy is not None else {"collector": stream.zone}
            self.loop.log_event("message dropped", cause=cause, dropped=self.counts["spoilt"], **who)

    def tend(self, now: int) -> None:
        """Look at connections that wait: those that do not join, and proxies that say nothing."""
        for stream in list(self.unjoined):
            if now - stream.since < JOIN_WITHIN:
                break
            if stream.late:
                self.counts["late"] += 1
                self._refuse(stream, "no joining within 1 s")
            # Its bytes may lie in the socket while this process stood still: one reading more is waited for.
            stream.late = True
        for proxy, stream in list(self.streams.items()):
            since = stream.waiting()
            if since is not None and now - max(since, stream.heard) > SILENT:
                self.counts["silent"] += 1
                stream.end("nothing heard", tell=False)
                self.ending.append(stream)
                self._left(proxy, "silent")

    # -- messages

    def take(self, stream: ProxySession, message: Any, now: int) -> str | None:
        """A message other than `probe`; returns why it cannot be used, or None."""
        kind = type(message)
        if kind is wire_messages.Hello:
            return self._hello(stream, message, now)
        if kind is wire_messages.Agent:
            return self._agent(stream, message)
        if not stream.joined:
            return "a report before joining"
        if kind is wire_messages.Ack:
            return self._ack(stream, message)
        if kind is wire_messages.Outcomes:
            return self._outcomes(stream, message)
        return self._demand(stream, message)

    def _hello(self, stream: ProxySession, message: wire_messages.Hello, now: int) -> str | None:
        if stream.joined:
            return "a second joining"
        if message.proxy >= self.set.proxy_count:
            return f"proxy {message.proxy}: numbers end at {self.set.proxy_count - 1}"
        if message.zone not in self.zones:
            return f"zone {message.zone!r} is not known"
        proxy = message.proxy
        old = self.streams.get(proxy)
        if old is not None:  # the new stream arrived before the old one was seen to end
            self.counts["replaced"] += 1
            old.end("replaced by a new stream", tell=False)
            self.ending.append(old)
            self._left(proxy, "replaced")
        self.unjoined.pop(stream, None)
        stream.proxy = proxy
        stream.wrote = now
        self.streams[proxy] = stream
        self.counts["joined"] += 1
        self.writer.joined(proxy, message.fresh)
        self.loop.on_proxy_connected(proxy, message.zone, message.weight, message.fresh)
        return None

    def _agent(self, stream: ProxySession, message: wire_messages.Agent) -> str | None:
        if stream.joined:
            return "a second joining"
        if message.zone not in self.zones:
            return f"zone {message.zone!r} is not known"
        same = [s for s in self.collectors if s.zone == message.zone]
        if len(same) >= COLLECTORS_MOST:  # a collector that comes again: the oldest is the dead one
            self.collectors.pop(same[0])
            self.counts["collectors_closed"] += 1
            same[0].end("too many collectors of the zone")
            self.ending.append(same[0])
        self.unjoined.pop(stream, None)
        stream.zone = message.zone
        self.collectors[stream] = None
        return None

    def _ack(self, stream: ProxySession, message: wire_messages.Ack) -> str | None:
        if message.proxy != stream.proxy:
            return "an answer of another proxy"
        if message.took_ms * MS > SPAN_MOST:
            return f"took_ms {message.took_ms:g}"
        asked = stream.applied(message.mark)
        if asked is None:
            return f"mark {message.mark} was not asked for"
        self.counts["acks"] += 1
        if asked:
            self.loop.enqueue(PushAcknowledged(stream.proxy, message.mark, int(message.took_ms * MS)))
        return None

    def _span(self, message: wire_messages.Outcomes | wire_messages.Demand) -> str | None:
        if not 0 < message.span_ms * MS <= SPAN_MOST:
            return f"span_ms {message.span_ms:g}"
        return None

    def _outcomes(self, stream: ProxySession, message: wire_messages.Outcomes) -> str | None:
        if stream.zone is None:
            return "a report of outcomes on a proxy's stream"
        if message.zone not in self.zones:
            return f"zone {message.zone!r} is not known"
        if not self._known(message.server):
            return f"server {message.server!r} was not listed"
        good = message.tries - message.failed
        mean = message.mean_ms
        if good and mean is None or mean is not None and not 0 <= mean * MS <= self.longest:
            return f"mean_ms {mean}"
        cause = self._span(message)
        if cause is not None:
            return cause
        if good < 0:
            return f"{message.failed} of {message.tries} failed"
        load = message.load
        if load is not None:
            if not all(math.isfinite(v) and v >= 0 for v in load.values()):
                return "a load figure below 0"
            load = {wire_messages.LOADS.get(name, name): value for name, value in load.items()}
        self.counts["reports"] += 1
        took = int(mean * MS) if good and mean is not None else 0
        window = int(message.span_ms * MS)
        self.loop.enqueue(
            EndpointLoadReport(
                message.zone, message.server, message.tries, message.failed, took, window, load or None
            )
        )
        return None

    def _demand(self, stream: ProxySession, message: wire_messages.Demand) -> str | None:
        if message.proxy != stream.proxy and stream.zone is None:
            return "usage of another proxy"
        if message.proxy not in self.streams:
            return f"proxy {message.proxy} has not joined"
        if message.operation not in self.operations:
            return f"class {message.operation!r} is not known"
        cause = self._span(message)
        if cause is not None:
            return cause
        self.counts["reports"] += 1
        window = int(message.span_ms * MS)
        self.loop.enqueue(
            DemandReport(message.proxy, message.operation, message.tries, message.failed, window)
        )
        return None

    # -- the list

    def listed(self, scope: str, entries: Iterable[EndpointRecord]) -> None:
        """News from discovery, in the words of `interface`."""
        entries = list(entries)
        self.writer.listed(entries, scope in ("whole", "held"))
        self.loop.on_endpoint_list(scope, entries)

    def _known(self, server: str) -> bool:
        """Reports may name servers that are listed, and those lately gone."""
        return server in self.loop.endpoint_records or server in self.writer.gone

    @property
    def known(self) -> set[str]:
        """All that reports may name."""
        return self.loop.endpoint_records.keys() | self.writer.gone.keys()

    # -- a turn

    @property
    def held(self) -> KeysView[int]:
        """Proxies that something could not be written to yet."""
        return self.pending.keys()

    @property
    def due(self) -> int:
        """When the next turn is due."""
        return self.loop.next_deadline_ns

    def turn(self, now: int) -> Iterator[tuple[ProxySession, bytes]]:
        """Call the module if anything came in, and yield what is to be written now, message by message."""
        done = self.loop.run_round(now)
        if self.loop.assignments is not self.writer.orders:  # the module started anew after a fault
            self.writer.fresh(self.loop.assignments)
            self.shut = set()
            for stream in self.streams.values():
                stream.fresh()
        self.writer.begin()
        if done is not None:
            yield from self._ordered(done, now)
        for proxy in list(self.pending):
            stream = self.streams[proxy]
            if self._room(stream, now):
                made = self._write(proxy, stream, self.pending.pop(proxy), self.loop.assignments.ejected, now)
                if made:
                    yield stream, made
        self.writer.begin()

    def _ordered(self, done: RoundResult, now: int) -> Iterator[tuple[ProxySession, bytes]]:
        shut = self.loop.assignments.ejected
        withdrawn = shut - self.shut if done.ejections_changed else ()
        if done.ejections_changed:
            self.shut = set(shut)
        if (
            done.fetch_list or done.subscribe is not None
        ):  # the watch is open at all times here: what is held is told
            entries = [self.loop.endpoint_records[n] for n in sorted(self.loop.endpoint_records)]
            self.loop.on_endpoint_list(
                "whole" if done.fetch_list else "changes", entries if done.fetch_list else []
            )
        for proxy in done.entries_by_proxy:
            stream = self.streams.get(proxy)
            if stream is None:
                continue
            if proxy in self.pending or not self._room(stream, now):
                self.counts["merged"] += 1
                self.pending[proxy] = done.nonce if done.nonce is not None else self.pending.get(proxy)
                continue
            made = self._write(proxy, stream, done.nonce, withdrawn, now)
            if made:
                yield stream, made

    def _room(self, stream: ProxySession, now: int) -> bool:
        """Whether a proxy may be written to: it has read enough of what it got, or is tried again."""
        return stream.unread < UNREAD_MOST or now - stream.wrote >= HELD_WAIT

    def _write(
        self, proxy: int, stream: ProxySession, seal: int | None, withdrawn: Iterable[str], now: int
    ) -> bytes:
        try:
            data, lines = self.writer.message(proxy, seal, withdrawn)
        except MessageTooLargeError as why:
            self.counts["too_large"] += 1
            self.loop.log_event("message too large", proxy=proxy, cause=str(why))
            return b""
        if data:
            self.counts["marks_lost"] += stream.pushed(len(data), seal, now)
            self.counts["messages"] += 1
            self.counts["lines"] += lines
            self.counts["bytes"] += len(data)
        return data
