"""The sockets of one planner on the platform: bytes between them and the state machines. It decides nothing.

    asyncio.run(Shell(told, environment, log).run())      # until SIGTERM or SIGINT; on uvloop

A round runs at most every 5 ms, and what lies in the sockets when it is due is read before it: one turn of
the event loop polls all sockets, so a round waits for a whole turn after its timer.
"""

import asyncio
import contextlib
import gc
import random
import signal
import time
from collections.abc import Callable, Mapping
from typing import Any

from swiftchute.planner.loop import Loop
from swiftchute.platform import settings as reader
from swiftchute.platform.catalog import SILENT, BadWatch, Catalog, Watch
from swiftchute.platform.front import OUT_MOST, Front
from swiftchute.platform.settings import BadSettings, Told
from swiftchute.policy import Planner

MS, S = 1_000_000, 1_000_000_000
ROUND_EVERY = 5 * MS
TEND_EVERY = 0.1  # s
FIGURES_EVERY = 10.0  # s
BACKLOG = 1024
DIAL_WITHIN = 1.5  # s
WAIT_FIRST, WAIT_MOST = 0.1, 2.0  # s between two dials, with jitter
OLD_WATCH_FOR = 2.0  # s; an old discovery that goes on is let go then


def clock() -> Callable[[], int]:
    """Unix nanoseconds: a fixed offset plus the monotonic clock, so that time never goes back."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset


class _Client(asyncio.Protocol):
    """A connection at the planner's address."""

    def __init__(self, shell: "Shell") -> None:
        self.shell = shell

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.stream = self.shell.front.opened(self.shell.clock())
        self.stream.tag = self
        self.shell.clients.add(self)
        self.shell.end_some()

    def data_received(self, data: bytes) -> None:
        self.stream.received(data, self.shell.clock())
        self.flush()
        if self.stream.ended is not None:
            self.transport.close()
        self.shell.heard()

    def write(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > OUT_MOST:
            self.shell.front.counts["out_bytes"] += 1
            self.transport.abort()

    def flush(self) -> None:
        """Write what the stream itself has to say."""
        if self.stream.out:
            out, self.stream.out = self.stream.out, []
            self.write(b"".join(out))

    def close(self) -> None:
        """Write what is still owed and close."""
        self.flush()
        self.transport.close()

    def connection_lost(self, why: Exception | None) -> None:
        cause = self.stream.ended or (f"the connection broke: {why}" if why else "the connection ended")
        self.shell.clients.discard(self)
        self.shell.front.closed(self.stream, cause)
        self.shell.heard()


class _Discovery(asyncio.Protocol):
    """One connection to discovery."""

    def __init__(self, shell: "Shell", watch: Watch) -> None:
        self.shell, self.watch = shell, watch
        self.over = asyncio.get_running_loop().create_future()
        self.heard = time.monotonic()
        self.began = asyncio.get_running_loop().create_future()  # done with the head of the answer

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(self.watch.request())

    def data_received(self, data: bytes) -> None:
        self.heard = time.monotonic()
        try:
            for news in self.watch.received(data):
                self.shell.news(news)
        except BadWatch as why:
            self.end(str(why))
        if self.watch.answered and not self.began.done():
            self.began.set_result(None)

    def connection_lost(self, why: Exception | None) -> None:
        self.end(f"the connection broke: {why}" if why else "the connection ended")

    def end(self, cause: str) -> None:
        if not self.over.done():
            self.over.set_result(cause)
        if not self.began.done():
            self.began.set_result(None)
        self.transport.abort()


class Shell:
    """One running planner."""

    def __init__(self, told: Told, environment: Mapping[str, str], log: Any) -> None:
        """Nothing is opened yet. Raises `BadSettings` where the held list cannot be used."""
        self.told, self.environment, self.log = told, environment, log
        self.clock = clock()
        self.random = random.Random(told.seed)
        self.catalog = Catalog(told.settings.zones)
        self.loop = Loop(told.settings, told.seed, Planner, self.clock())
        self.front = Front(self.loop, told.sockets)
        self.clients: set[_Client] = set()
        self.rounds_cpu = 0
        self.address = told.discovery
        self.watching: asyncio.Task | None = None
        self.connection: _Discovery | None = None
        self.tasks: set[asyncio.Task] = set()
        self.armed: Any = None  # the timer of a round that is due
        self.sleeping: Any = None  # that of the next one by time
        self.last = 0
        if told.known is not None:
            try:
                self.news(self.catalog.held(told.known))
            except BadWatch as why:
                raise BadSettings(f"{environment.get('GW_CONFIG')}: known: {why}") from None

    async def run(self) -> None:
        """Serve until an order to stop."""
        self.events = asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.events.add_signal_handler(number, stop.set)
        self.events.add_signal_handler(signal.SIGHUP, self.reload)
        host, port = self.told.listen
        try:
            server = await self.events.create_server(lambda: _Client(self), host, port, backlog=BACKLOG)
        except OSError as why:
            raise BadSettings(f"listen: {host}:{port}: {why}") from None
        self.log("serving", address=f"{host}:{port}", servers=len(self.catalog.servers))
        self.watch_at(self.told.discovery)
        self.events.call_later(TEND_EVERY, self.tend)
        self.events.call_later(FIGURES_EVERY, self.figures)
        self.kick()
        gc.collect()
        gc.freeze()
        await stop.wait()
        server.close()
        for client in list(self.clients):
            client.transport.abort()
        self.log("stopped", **self.front.counts)

    # -- rounds

    def heard(self) -> None:
        """Bytes came or a connection ended: a round is due if that is anything to the module."""
        if self.loop.calls and self.loop.planner is not None:  # else it waits after a fault: `due` wakes it
            self.kick()

    def kick(self) -> None:
        """A round is due, 5 ms after the last one at the soonest."""
        if self.armed is None:
            wait = max(self.last + ROUND_EVERY - self.clock(), 0) / S
            self.armed = self.events.call_later(wait, self._after_reading)

    def _after_reading(self) -> None:
        # A call made here runs before the next poll of the sockets, and one made from there after it.
        self.events.call_soon(self.events.call_soon, self._round)

    def _round(self) -> None:
        now = self.last = self.clock()
        self.armed = None
        began = time.thread_time_ns()
        for stream, data in self.front.turn(now):
            stream.tag.write(data)
        self.rounds_cpu += time.thread_time_ns() - began
        for event, fields in self.loop.take_events():
            self.log(event, **fields)
        self.end_some()
        if self.sleeping is not None:
            self.sleeping.cancel()
        self.sleeping = self.events.call_later(max(self.front.due - self.clock(), ROUND_EVERY) / S, self.kick)
        self.heard()

    def tend(self) -> None:
        """Look at connections that wait."""
        self.events.call_later(TEND_EVERY, self.tend)
        self.front.tend(self.clock())
        self.end_some()
        self.heard()

    def end_some(self) -> None:
        """Close what the front let go."""
        ending, self.front.ending = self.front.ending, []
        for stream in ending:
            stream.tag.close()

    def figures(self) -> None:
        """A line with what was counted since the start."""
        self.events.call_later(FIGURES_EVERY, self.figures)
        front, loop = self.front, self.loop
        self.log(
            "figures", **front.counts, **loop.counts, proxies=len(front.streams),
            unjoined=len(front.unjoined), held=len(front.held), servers=len(loop.list),
            known=len(front.known), stale_lists=self.catalog.stale,
            cpu_ms=time.process_time_ns() // MS, rounds_cpu_ms=self.rounds_cpu // MS,
        )  # fmt: skip

    # -- discovery

    def news(self, news: Any) -> None:
        """Discovery told something."""
        for cause in news.passed[:3]:
            self.log("entry passed over", cause=cause, passed=len(news.passed))
        if news.entries or news.scope != "changes":
            self.front.listed(news.scope, news.entries)
            if news.scope != "held":
                self.kick()

    def watch_at(self, address: tuple[str, int]) -> None:
        """Watch discovery there; the watch before goes on until this one is answered."""
        self.address = address
        old_task, old = self.watching, self.connection
        self.watching = self._task(self._watch(address, old_task, old))

    def _task(self, work: Any) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _watch(
        self, address: tuple[str, int], old_task: asyncio.Task | None, old: _Discovery | None
    ) -> None:
        wait, host = WAIT_FIRST, f"{address[0]}:{address[1]}"
        if old_task is not None:
            old_task.cancel()  # it dials no more; its connection stays until this one is answered
        if old is not None:
            self.events.call_later(OLD_WATCH_FOR, old.end, "the address changed")
        while True:
            watch = Watch(self.catalog, host)
            began = time.monotonic()
            try:
                async with asyncio.timeout(DIAL_WITHIN):
                    _, connection = await self.events.create_connection(
                        lambda w=watch: _Discovery(self, w), *address
                    )
            except (OSError, TimeoutError) as why:
                cause = f"{type(why).__name__}: {why}"
            else:
                self.connection = connection
                self._task(self._answered(connection, old))
                cause = await self._until_over(connection)
                old = None
                if watch.told:
                    wait = WAIT_FIRST
            self.log("discovery lost", address=host, cause=cause, seconds=round(time.monotonic() - began, 1))
            await asyncio.sleep(wait * self.random.uniform(0.5, 1.0))
            wait = min(2 * wait, WAIT_MOST)

    @staticmethod
    async def _answered(connection: _Discovery, old: _Discovery | None) -> None:
        await connection.began
        if old is not None and connection.watch.answered:
            old.end("the address changed")

    async def _until_over(self, connection: _Discovery) -> str:
        while not connection.over.done():
            left = connection.heard + SILENT - time.monotonic()
            if left <= 0:
                connection.end(f"silent for {SILENT:g} s")
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.shield(connection.over), left)
        return connection.over.result()

    def reload(self) -> None:
        """SIGHUP: the file is read anew; a bad one is refused and the old one holds."""
        try:
            told = reader.read(self.environment)
        except BadSettings as why:
            self.log("reload refused", cause=str(why))
            return
        for field in ("name", "listen", "settings"):
            if getattr(told, field) != getattr(self.told, field):
                self.log("not taken", field=field, cause="a new start is needed")
        self.log("reloaded", discovery="{}:{}".format(*told.discovery))
        self.front.sockets = told.sockets
        self.told = told
        if told.discovery != self.address:
            self.watch_at(told.discovery)

