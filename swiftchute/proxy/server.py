"""The proxy's sockets: callers' connections in, servers' connections out. Who goes where is the core's.

A caller speaks HTTP/2 (gRPC or plain) or HTTP/1.1, told apart by its first bytes, and its server is spoken to
in the same. Every wait has an end: a connection to be made, a try, an invocation, a caller that brings half a
request; what waits is bounded by the core's invocations under way and each pool's line of waiters.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from swiftchute.proxy import response_headers
from swiftchute.proxy.connection_pool import DIAL, FULL, Limits, Line, Pool
from swiftchute.proxy.http_framing import (
    CANCEL,
    REFUSED_STREAM,
    Broken,
    GoAway,
    Http1,
    Http2,
    Message,
    Pong,
    Reset,
    TooLarge,
)
from swiftchute.proxy.request import Core, Invocation, Turned
from swiftchute.proxy.retry import BROKEN, ERRORED, LATE, REFUSED, UNREACHABLE, UNSENT, WITHDRAWN, End

S = 1_000_000_000
PREFACE = b"PRI * HTTP/2.0"
UNREAD_MOST = 4 * 2**20  # bytes that may wait for a peer to read
CHECK = 0.5  # seconds between looks for idle and silent connections


class ToServer(asyncio.Protocol):
    """A connection to a server: a future by the number of what is under way on it."""

    def __init__(
        self, wire: Http2 | Http1, gone: Callable[["ToServer"], None], clock: Callable[[], int]
    ) -> None:
        self.wire, self.gone, self.clock = wire, gone, clock
        self.out: dict[int, asyncio.Future[tuple[End, Message | None]]] = {}
        self.line: Line | None = None
        self.heard = clock()
        self.pinged: int | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=UNREAD_MOST)
        self.wire.start()
        self._flush()

    def send(self, message: Message) -> tuple[int, asyncio.Future]:
        """Write a request; raises `Broken` if nothing of it was written."""
        number = self.wire.send(message)
        future = self.out[number] = asyncio.get_running_loop().create_future()
        self._flush()
        return number, future

    def _flush(self) -> None:
        data = self.wire.out()
        if data and not self.transport.is_closing():
            self.transport.write(data)

    def give_up(self, number: int) -> None:
        """Nobody waits for this any more."""
        if self.out.pop(number, None) is not None:
            self.wire.reset(number, CANCEL)
            self._flush()
            if isinstance(self.wire, Http1):
                self.close()

    def data_received(self, data: bytes) -> None:
        self.heard, self.pinged = self.clock(), None
        try:
            events = self.wire.feed(data)
        except Broken:
            self.close()
            return
        for event in events:
            self._take(event)
        self._flush()
        if self.wire.closing and self.line is not None:
            self.line.closing = True
            if not self.out:
                self.close()

    def eof_received(self) -> bool:
        """An HTTP/1.1 answer may end with its connection."""
        if isinstance(self.wire, Http1):
            self.data_received(b"")
        return False

    def _take(self, event: Any) -> None:
        if isinstance(event, Message):
            self._end(event.number, (ERRORED, event))  # `judge` says whether it is a good one
        elif isinstance(event, Reset):
            self._end(event.number, (REFUSED if event.code == REFUSED_STREAM else BROKEN, None))
        elif isinstance(event, TooLarge):
            self._end(event.number, (ERRORED, None))
        elif isinstance(event, GoAway):
            for number in [n for n in self.out if n > event.last]:
                self._end(number, (REFUSED, None))
        elif isinstance(event, Pong):
            self.pinged = None

    def _end(self, number: int, end: tuple[End, Message | None]) -> None:
        future = self.out.pop(number, None)
        if future is not None and not future.done():
            future.set_result(end)

    def look(self, now: int, silent: int) -> None:
        """Ask for a sign of life where one is under way and nothing was heard; without it, close."""
        if not self.out or not isinstance(self.wire, Http2):
            return
        if self.pinged is not None:
            if now - self.pinged > silent:
                self.close()
        elif now - self.heard > silent:
            self.pinged = now
            self.wire.ping()
            self._flush()

    def close(self) -> None:
        """Break it."""
        self.transport.abort()

    def connection_lost(self, why: Exception | None) -> None:
        for number in list(self.out):  # it was written: it may have run
            self._end(number, (BROKEN, None))
        self.gone(self)


class Upstream:
    """All connections to one server in one protocol."""

    def __init__(
        self, server: str, second: bool, limits: Limits, plumbing: dict[str, Any], clock: Callable[[], int]
    ) -> None:
        self.server, self.second, self.plumbing, self.clock = server, second, plumbing, clock
        self.pool = Pool(limits)
        self.protocols: dict[Line, ToServer] = {}
        self.waiters: deque[asyncio.Future[Line | None]] = deque()
        self.task: asyncio.Task | None = None

    async def line(self, until: int) -> Line | str:
        """A connection with room, waiting for one until then; "full", "late" or "unreachable"."""
        while True:
            asked = self.pool.ask()
            if isinstance(asked, Line):
                return asked
            if asked is FULL:
                return "full"
            if asked is DIAL:
                self.pool.dialling += 1
                self.task = asyncio.ensure_future(self._dial())
            future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            self.waiters.append(future)
            self.pool.waiting += 1
            try:
                async with asyncio.timeout(max(until - self.clock(), 0) / S):
                    if not await future:
                        return "unreachable"
            except TimeoutError:
                if future.done() and not future.cancelled():
                    self._wake(True, 1)  # its turn had come just then: it is the next one's
                return "late"
            finally:
                self.pool.waiting -= 1
                if future in self.waiters:
                    self.waiters.remove(future)

    async def _dial(self) -> None:
        host, _, port = self.server.rpartition(":")
        most = self.plumbing["message_most"]
        wire = Http2(True, most) if self.second else Http1(True, most)
        try:
            async with asyncio.timeout(self.plumbing["connect_within"] / S):
                _, made = await asyncio.get_running_loop().create_connection(
                    lambda: ToServer(wire, self._gone, self.clock), host.strip("[]"), int(port)
                )
        except (OSError, TimeoutError):
            self.pool.dialling -= 1
            if not self.pool.lines:  # others may still answer: who waits for one of them goes on waiting
                self._wake(False, len(self.waiters))
            return
        self.pool.dialling -= 1
        line = made.line = self.pool.opened(wire, self.clock())
        self.protocols[line] = made
        self._wake(True, line.free)

    def _wake(self, good: bool, most: int) -> None:
        while self.waiters and most > 0:
            future = self.waiters.popleft()
            if not future.done():
                future.set_result(good)
                most -= 1

    def _gone(self, made: ToServer) -> None:
        if made.line is not None:
            self.pool.closed(made.line)
            self.protocols.pop(made.line, None)
            if not self.pool.lines:
                self._wake(True, len(self.waiters))  # they ask again, and one of them dials

    def pass_on(self, line: Line | str) -> None:
        """A line that was given is not used after all."""
        if isinstance(line, Line):
            self._wake(True, 1)

    def freed(self, line: Line, good: bool) -> None:
        """One on a line ended."""
        self.pool.answered(line, good, self.clock())
        self._wake(True, max(line.free, 0))

    def look(self, silent: int) -> None:
        """Close what is idle or silent."""
        now = self.clock()
        for line in self.pool.idle(now):
            self.protocols[line].close()
        for made in list(self.protocols.values()):
            made.look(now, silent)

    def close(self) -> None:
        """Break everything."""
        if self.task is not None:
            self.task.cancel()
        for made in list(self.protocols.values()):
            made.close()


class FromCaller(asyncio.Protocol):
    """A caller's connection."""

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy, self.wire = proxy, None
        self.first = bytearray()
        self.tasks: dict[int, asyncio.Task] = {}
        self.full = False
        self.came = proxy.clock()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=UNREAD_MOST)
        peer = transport.get_extra_info("peername")
        self.key = str(peer[0]) if peer else ""
        self.proxy.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.wire is None:
            self.first += data
            if PREFACE.startswith(self.first[: len(PREFACE)]) and len(self.first) < len(PREFACE):
                return
            most = self.proxy.plumbing["message_most"]
            second = self.first.startswith(PREFACE)
            self.wire = Http2(False, most, self.proxy.plumbing["streams"]) if second else Http1(False, most)
            self.wire.start()
            data, self.first = bytes(self.first), bytearray()
        self._move(lambda: self._all(self.wire.feed(data)))

    def _move(self, act: Callable[[], None]) -> None:
        """Do something on the wire and write what comes of it; a peer that breaks the protocol is left."""
        try:
            act()
        except Broken:
            self._flush()
            self.transport.close()
            return
        self._flush()
        if self.wire.closing and not self.tasks and not self.transport.is_closing():
            self.transport.close()

    def _all(self, events: list[Any]) -> None:
        for event in events:
            if isinstance(event, Message):
                self.came = self.proxy.clock()
                self.tasks[event.number] = asyncio.ensure_future(self._serve(event))
            elif isinstance(event, Reset) and event.number in self.tasks:
                self.tasks.pop(event.number).cancel()
            elif isinstance(event, TooLarge) and isinstance(self.wire, Http1):
                self.transport.write(b"HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\n\r\n")
                self.transport.close()

    async def _serve(self, message: Message) -> None:
        second = isinstance(self.wire, Http2)
        made = await self.proxy.answer(message, self.key, second)
        self.tasks.pop(message.number, None)
        if self.transport.is_closing():
            return
        self._move(lambda: self._reply(Message(message.number, made.headers, made.body, made.trailers)))

    def _reply(self, message: Message) -> None:
        self.wire.send(message)
        if isinstance(self.wire, Http1):
            self._all(self.wire.more())  # what came meanwhile

    def _flush(self) -> None:
        data = self.wire.out()
        if data and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        self.transport.pause_reading()  # a caller that does not read asks for nothing more

    def resume_writing(self) -> None:
        self.transport.resume_reading()

    def leave(self) -> None:
        """Take no new invocations; those under way end."""
        if isinstance(self.wire, Http2) and not self.wire.closing:
            self.wire.leave()
            self._flush()
        if not self.tasks:
            self.transport.close()

    def connection_lost(self, why: Exception | None) -> None:
        for task in self.tasks.values():
            task.cancel()
        self.proxy.callers.discard(self)


class Proxy:
    """The server, and all connections; `plumbing` is the `proxy` block of the settings."""

    def __init__(
        self, core: Core, plumbing: dict[str, Any], clock: Callable[[], int] = time.monotonic_ns
    ) -> None:
        self.core, self.plumbing, self.clock = core, plumbing, clock
        self.limits = Limits(*(plumbing[k] for k in ("connections", "streams", "first", "waiting", "idle")))
        self.upstreams: dict[tuple[str, bool], Upstream] = {}
        self.callers: set[FromCaller] = set()
        self.turned_away = 0
        self.server: asyncio.Server | None = None
        self.task: asyncio.Task | None = None

    async def start(self) -> tuple[str, int]:
        """Listen; returns the address."""
        host, port = self.plumbing["listen"]
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: FromCaller(self), host, port, backlog=1024)
        self.task = asyncio.ensure_future(self._look())
        return self.server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Take nothing new, let what is under way end for a while, and close."""
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            caller.leave()
        end = self.clock() + self.plumbing["drain"]
        while self.core.under_way and self.clock() < end:
            await asyncio.sleep(0.02)
        if self.task is not None:
            self.task.cancel()
        for caller in list(self.callers):
            caller.transport.abort()
        for upstream in self.upstreams.values():
            upstream.close()

    def opened(self, caller: FromCaller) -> None:
        """A caller's connection; past the bound it is closed unread."""
        if len(self.callers) >= self.plumbing["callers"]:
            self.turned_away += 1
            caller.transport.abort()
            return
        self.callers.add(caller)

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(CHECK)
            for key, upstream in list(self.upstreams.items()):
                upstream.look(self.plumbing["silent"])
                if key[0] not in self.core.named and not upstream.pool.lines and not upstream.waiters:
                    upstream.close()
                    del self.upstreams[key]
            late = self.clock() - self.plumbing["idle"]
            for caller in [c for c in self.callers if not c.tasks and c.came < late]:
                caller.transport.close()

    async def answer(self, message: Message, key: str, second: bool) -> Message:
        """One invocation of a caller, from its request to its answer."""
        asked = response_headers.read(message)
        why, reply = await self.invoke(message, asked, key, second)
        return reply if reply is not None else response_headers.turned(why, asked.rpc)

    async def invoke(
        self, message: Message, asked: response_headers.Asked, key: str, second: bool
    ) -> tuple[str, Message | None]:
        """How an invocation ended ("answered", or why not), and the server's answer if there was one."""
        inv = self.core.came(asked.operation, key, self.clock())
        if isinstance(inv, Turned):
            return inv.why, None
        if asked.within is not None:
            inv.until = min(inv.until, self.clock() + asked.within)
        end, reply = End("no line", False), None
        try:
            while (where := self.core.next(inv, self.clock())) is not None:
                end, reply = await self._try(inv, where.server, where.until, message, asked.rpc, second)
                self.told(inv, end)
                if self.core.ended(inv, end, self.clock()):
                    break
        finally:
            self.core.given_up(inv, self.clock())
        late = reply is None and self.clock() >= inv.until
        return "late" if late else end.kind, reply

    def told(self, inv: Invocation, end: End) -> None:
        """A try at `inv.server` ended: for whoever keeps a record."""

    async def _try(
        self, inv: Invocation, server: str, until: int, message: Message, rpc: bool, second: bool
    ) -> tuple[End, Message | None]:
        upstream = self.upstreams.get((server, second))
        if upstream is None:
            upstream = self.upstreams[server, second] = Upstream(
                server, second, self.limits, self.plumbing, self.clock
            )
        line = await upstream.line(until)
        if self.core.withdrawn(server):
            upstream.pass_on(line)
            return WITHDRAWN, None
        if not isinstance(line, Line):
            return UNREACHABLE, None
        made = upstream.protocols[line]
        upstream.pool.given(line, self.clock())
        good, number = False, None
        try:
            try:
                number, future = made.send(response_headers.onward(message, rpc, until - self.clock()))
            except Broken:
                line.closing = True
                return UNSENT, None
            inv.sent = self.clock()
            async with asyncio.timeout(max(until - self.clock(), 0) / S):
                end, reply = await future
            if reply is not None:
                end = response_headers.judge(reply, rpc)
            good = end.good
            return end, reply
        except TimeoutError:
            return LATE, None
        finally:
            if number is not None:
                made.give_up(number)
            upstream.freed(line, good)
