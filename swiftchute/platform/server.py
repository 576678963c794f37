"""The sockets of one planner on the platform: bytes between them and the state machines. It decides nothing.

    asyncio.run(Server(told, environment, log).run())      # until SIGTERM or SIGINT; on uvloop

A round runs at most every 5 ms, and what lies in the sockets when it is due is read before it: one turn of
the event loop polls all sockets, so a round waits for a whole turn after its timer.
"""

import asyncio
import contextlib
import gc
import random
import resource
import signal
import time
from collections.abc import Callable, Mapping
from typing import Any

from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform import settings as reader
from swiftchute.platform.discovery_client import DiscoveryClient, DiscoveryConnection, OpenConnection
from swiftchute.platform.endpoint_list import EndpointList
from swiftchute.platform.errors import DiscoveryError, SettingsError
from swiftchute.platform.session_manager import OUT_MOST, SessionManager
from swiftchute.platform.settings import Configuration
from swiftchute.platform.signals import StartupSignals
from swiftchute.policy import Reconciler

MS, S = 1_000_000, 1_000_000_000
ROUND_EVERY = 5 * MS
TEND_EVERY = 0.1  # s
FIGURES_EVERY = 10.0  # s
BACKLOG = 1024
CLOSE_WITHIN = 3.0  # s; a client that does not read the last words to it is cut off then
STOP_WITHIN = 0.3  # s; the same at the end: the platform kills a planner 0.7 s after SIGTERM at the soonest


def clock() -> Callable[[], int]:
    """Unix nanoseconds: a fixed offset plus the monotonic clock, so that time never goes back."""
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset


class _Client(asyncio.Protocol):
    """A connection at the planner's address."""

    def __init__(self, shell: "Server") -> None:
        self.shell = shell

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.shell.stopped is not None:  # accepted before the listener was closed
            transport.abort()
            return
        self.stream = self.shell.front.opened(self.shell.clock())
        self.stream.tag = self
        self.shell.clients.add(self)
        self.shell.end_some()

    def data_received(self, data: bytes) -> None:
        if self.shell.stopped is not None:
            return
        self.stream.received(data, self.shell.clock())
        if self.stream.ended is not None:
            self.close()
        else:
            self.flush()
        self.shell.heard()

    def write(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > OUT_MOST:
            self.cut_off()

    def cut_off(self) -> None:
        """It reads nothing: what waits for it is lost."""
        if self in self.shell.clients:
            self.shell.front.counts["out_bytes"] += 1
            self.transport.abort()

    def flush(self) -> None:
        """Write what the stream itself has to say."""
        if self.stream.out:
            out, self.stream.out = self.stream.out, []
            self.write(b"".join(out))

    def close(self) -> None:
        """Write what is still owed and close; who does not read it is cut off in the end."""
        if not self.transport.is_closing():
            self.flush()
            self.transport.close()
            if self.transport.get_write_buffer_size():
                self.shell.events.call_later(CLOSE_WITHIN, self.cut_off)

    def connection_lost(self, why: Exception | None) -> None:
        if self not in self.shell.clients:
            return
        cause = self.stream.ended or (f"the connection broke: {why}" if why else "the connection ended")
        self.shell.clients.remove(self)
        self.shell.front.closed(self.stream, cause)
        self.shell.heard()
        self.shell.all_ended()


class _Discovery(asyncio.Protocol):
    """One connection to discovery, from its dial on."""

    def __init__(self, shell: "Server", link: DiscoveryConnection) -> None:
        self.shell, self.link = shell, link
        self.transport: Any = None
        self.dial = asyncio.ensure_future(self._dial())

    async def _dial(self) -> None:
        try:
            await self.shell.events.create_connection(lambda: self, *self.link.address)
        except OSError as why:
            self.shell.unwatched(self.link, f"{type(why).__name__}: {why}")

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        asked = self.shell.watches.connected(self.link)
        if asked is None:  # given up in the instant in which it came up
            transport.abort()
        else:
            transport.write(asked)

    def data_received(self, data: bytes) -> None:
        for news in self.shell.watches.received(self.link, data, self.shell.clock()):
            self.shell.news(news)
        self.shell.watch()

    def connection_lost(self, why: Exception | None) -> None:
        self.shell.unwatched(self.link, f"the connection broke: {why}" if why else "the connection ended")

    def end(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self.dial.cancel()


class Server:
    """One running planner."""

    def __init__(self, told: Configuration, environment: Mapping[str, str], log: Any) -> None:
        """Nothing is opened yet. Raises `SettingsError` where the held list cannot be used."""
        self.told, self.environment, self.log = told, environment, log
        self.clock = clock()
        self.random = random.Random(told.seed)
        self.catalog = EndpointList(told.settings.zones)
        self.loop = PolicyRunner(told.settings, told.seed, Reconciler, self.clock())
        self.front = SessionManager(self.loop, self.sockets())
        self.clients: set[_Client] = set()
        self.rounds_cpu = 0
        self.watches = DiscoveryClient(self.catalog, self.random)
        self.stopped: asyncio.Event | None = None  # once stopping: set when all connections are over
        self.armed: Any = None  # the timer of a round that is due
        self.sleeping: Any = None  # that of the next one by time
        self.last = 0
        if told.known is not None:
            try:
                self.news(self.catalog.held(told.known))
            except DiscoveryError as why:
                raise SettingsError(f"{environment.get('GW_CONFIG')}: known: {why}") from None

    def sockets(self) -> int:
        """Descriptors that this process may hold: the configuration's figure, or the system's lower one."""
        system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return self.told.sockets if system == resource.RLIM_INFINITY else min(self.told.sockets, system)

    async def run(self, signals: StartupSignals | None = None) -> None:
        """Serve until an order to stop; `signals` are those that came before."""
        self.events = asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.events.add_signal_handler(number, stop.set)
        self.events.add_signal_handler(signal.SIGHUP, self.reload)
        host, port = self.told.listen
        try:
            server = await self.events.create_server(lambda: _Client(self), host, port, backlog=BACKLOG)
        except OSError as why:
            raise SettingsError(f"listen: {host}:{port}: {why}") from None
        self.log("serving", address=f"{host}:{port}", servers=len(self.catalog.servers))
        self.watches.at(self.told.discovery, self.clock())
        self.watch()
        if signals is not None and signals.reload:
            self.reload()
        self.events.call_later(TEND_EVERY, self.tend)
        self.events.call_later(FIGURES_EVERY, self.figures)
        self.kick()
        gc.collect()
        gc.freeze()
        await stop.wait()
        await self._stop(server)
        self.log("stopped", **self.front.counts)

    async def _stop(self, server: Any) -> None:
        """End all connections: a message is written whole, as far as its proxy reads, or was not begun."""
        self.stopped = asyncio.Event()
        server.close()
        for client in list(self.clients):
            client.transport.close()
        self.all_ended()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.stopped.wait(), STOP_WITHIN)
        for client in list(self.clients):
            client.cut_off()

    def all_ended(self) -> None:
        """Stopping waits for this."""
        if self.stopped is not None and not self.clients:
            self.stopped.set()

    # -- rounds

    def heard(self) -> None:
        """Bytes came or a connection ended: a round is due if that is anything to the module."""
        if (
            self.loop.pending_events and self.loop.policy is not None
        ):  # else it waits after a fault: `due` wakes it
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
        if self.stopped is not None:
            return
        now = self.last = self.clock()
        self.armed = None
        began = time.thread_time_ns()
        try:
            for stream, data in self.front.turn(now):
                stream.tag.write(data)
        finally:  # a fault of this program ends no later round
            if self.sleeping is not None:
                self.sleeping.cancel()
            wait = max(self.front.due - self.clock(), ROUND_EVERY) / S
            self.sleeping = self.events.call_later(wait, self.kick)
        self.rounds_cpu += time.thread_time_ns() - began
        for event, fields in self.loop.drain_log_events():
            self.log(event, **fields)
        self.end_some()
        self.heard()

    def tend(self) -> None:
        """Look at connections that wait, and at the watch."""
        self.events.call_later(TEND_EVERY, self.tend)
        now = self.clock()
        self.front.tend(now)
        for news in self.watches.tend(now):
            self.news(news)
        self.watch()
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
            unjoined=len(front.unjoined), held=len(front.held), servers=len(loop.endpoint_records),
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

    def watch(self) -> None:
        """Carry out what is to be done about the watch."""
        for act in self.watches.acts(self.clock()):
            if isinstance(act, OpenConnection):
                act.link.tag = _Discovery(self, act.link)
            else:
                act.link.tag.end()
        for event, fields in self.watches.take_events():
            self.log(event, **fields)

    def unwatched(self, link: DiscoveryConnection, cause: str) -> None:
        """A connection to discovery is over, or did not come up."""
        self.watches.ended(link, cause, self.clock())
        self.watch()

    def reload(self) -> None:
        """SIGHUP: the file is read anew; a bad one is refused and the old one holds."""
        try:
            told = reader.read(self.environment)
        except SettingsError as why:
            self.log("reload refused", cause=str(why))
            return
        for field in ("name", "listen", "settings"):
            if getattr(told, field) != getattr(self.told, field):
                self.log("not taken", field=field, cause="a new start is needed")
        self.log("reloaded", discovery="{}:{}".format(*told.discovery))
        self.told = told
        self.front.sockets = self.sockets()
        self.watches.at(told.discovery, self.clock())
        self.watch()
