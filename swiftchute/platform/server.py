"""The sockets, timers and signals of one instance; all decisions are made by the state machines it calls.

Input that is already waiting in the sockets when a round is due is read before the round runs. One iteration
of the event loop polls all sockets, so the round is delayed by one full iteration after its timer.
"""

import asyncio
import contextlib
import gc
import random
import resource
import signal
import socket
import time
from collections.abc import Callable, Mapping

import msgspec

from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.discovery.start_times import StartTimes
from swiftchute.ingress.buffer_budget import BufferBudget
from swiftchute.ingress.fair_protocol import FairProtocol
from swiftchute.ingress.turn_scheduler import TurnScheduler, event_loop_turns
from swiftchute.platform import connection_limits, settings
from swiftchute.platform.discovery_client import DiscoveryClient, DiscoveryConnection, OpenConnection
from swiftchute.platform.discovery_watch import MAX_DELIVERY_DELAY_NS
from swiftchute.platform.endpoint_list import EndpointList, ListUpdate
from swiftchute.platform.errors import DiscoveryError, SettingsError
from swiftchute.platform.round_schedule import RoundSchedule
from swiftchute.platform.session_manager import SessionManager
from swiftchute.platform.settings import Configuration
from swiftchute.platform.signals import StartupSignals
from swiftchute.platform.transports import ClientTransport, DiscoveryTransport
from swiftchute.policy import Reconciler

NS_PER_MS, NS_PER_S = 1_000_000, 1_000_000_000


def steady_clock() -> Callable[[], int]:
    """Return a Unix clock that never goes back: the monotonic clock plus its offset to the Unix time now.

    Later steps of the wall clock do not affect it. `StartTimes` compares it with times of other machines.
    """
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: time.monotonic_ns() + offset


class Server:
    """One running instance."""

    event_loop: asyncio.AbstractEventLoop
    turns: TurnScheduler

    def __init__(
        self,
        configuration: Configuration,
        environment: Mapping[str, str],
        log: Callable[..., None],
    ) -> None:
        """Create the state machines without opening any socket.

        Args:
            configuration: The configuration to start with.
            environment: The environment variables from which a reload reads the configuration again.
            log: Called with the name and the fields of each event.

        Raises:
            SettingsError: The endpoint list in the configuration is invalid.
        """
        self.configuration = configuration
        self.environment = environment
        self.log = log
        self.clock = steady_clock()
        self.endpoint_list = EndpointList(configuration.settings.zones)
        self.runner = PolicyRunner(configuration.settings, configuration.seed, Reconciler, self.clock())
        self.sessions = SessionManager(self.runner, self._usable_sockets())
        self.discovery = DiscoveryClient(self.endpoint_list, random.Random(configuration.seed))
        self._start_times = StartTimes(MAX_DELIVERY_DELAY_NS)
        self.clients: set[ClientTransport] = set()
        self.buffer_budget: BufferBudget[ClientTransport] = BufferBudget(
            connection_limits.max_unfinished_bytes(configuration.max_memory_mb)
        )
        self._schedule = RoundSchedule()
        self._requested_round_timer: asyncio.TimerHandle | None = None
        self._idle_round_timer: asyncio.TimerHandle | None = None
        self._total_round_cpu_ns = 0
        self._all_closed: asyncio.Event | None = None  # None until the process is stopping
        if configuration.known_list is not None:
            try:
                self.on_list_update(self.endpoint_list.load_cached(configuration.known_list))
            except DiscoveryError as error:
                raise SettingsError(f"{environment.get('GW_CONFIG')}: known: {error}") from None

    @property
    def stopping(self) -> bool:
        """Whether the process is stopping."""
        return self._all_closed is not None

    def _usable_sockets(self) -> int:
        """Return the number of descriptors that this process may hold."""
        system, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        system_limit = None if system == resource.RLIM_INFINITY else system
        return connection_limits.usable_sockets(self.configuration.max_sockets, system_limit)

    async def run(self, signals: StartupSignals | None = None) -> None:
        """Serve until SIGTERM or SIGINT.

        Args:
            signals: The signals received before the event loop handles them.

        Raises:
            SettingsError: The listening address cannot be used.
        """
        self.event_loop = asyncio.get_running_loop()
        self.turns = event_loop_turns()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.event_loop.add_signal_handler(number, stop.set)
        self.event_loop.add_signal_handler(signal.SIGHUP, self.reload)
        listener = await self._listen()
        self.discovery.set_address(self.configuration.discovery, self.clock())
        self.run_discovery_commands()
        if signals is not None and signals.reload:
            self.reload()
        self.event_loop.call_later(connection_limits.CHECK_INTERVAL_S, self._check_timeouts)
        self.event_loop.call_later(connection_limits.STATISTICS_INTERVAL_S, self._log_statistics)
        self._request_round()
        gc.collect()
        gc.freeze()
        await stop.wait()
        await self._stop(listener)
        self.log("stopped", **msgspec.structs.asdict(self.sessions.statistics))

    async def _listen(self) -> asyncio.Server:
        host, port = self.configuration.listen
        listener = await self.event_loop.create_server(
            lambda: FairProtocol(self.turns, ClientTransport(self)),
            sock=await self._open_listening_socket(),
            backlog=connection_limits.LISTEN_BACKLOG,
        )
        self.log("serving", address=f"{host}:{port}", endpoints=len(self.endpoint_list.endpoints))
        return listener

    async def _open_listening_socket(self) -> socket.socket:
        """Open the socket here, because the event loop would ignore an error and serve without a socket."""
        host, port = self.configuration.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        waits_s = iter(connection_limits.LISTEN_RETRY_WAITS_S)
        while True:
            try:
                listening = socket.create_server(
                    (host, port), family=family, backlog=connection_limits.LISTEN_BACKLOG
                )
            except OSError as error:
                wait_s = next(waits_s, None)
                if wait_s is None or error.errno not in connection_limits.TRANSIENT_LISTEN_ERRORS:
                    raise SettingsError(f"listen: {host}:{port}: {error}") from None
                self.log("listen failed", address=f"{host}:{port}", cause=str(error), retry_after_s=wait_s)
                await asyncio.sleep(wait_s)
            else:
                listening.setblocking(False)
                return listening

    async def _stop(self, listener: asyncio.Server) -> None:
        """Close all connections; a partly sent message is completed if its client reads it in time."""
        self._all_closed = asyncio.Event()
        listener.close()
        for client in list(self.clients):
            client.transport.close()
        self.on_client_closed()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_closed.wait(), connection_limits.STOP_TIMEOUT_S)
        for client in list(self.clients):
            client.abort_connection()

    def on_client_closed(self) -> None:
        """Let a stopping process end once all client connections are closed."""
        if self._all_closed is not None and not self.clients:
            self._all_closed.set()

    def close_sessions(self) -> None:
        """Close the connections of the sessions that the session manager has ended."""
        to_close, self.sessions.sessions_to_close = self.sessions.sessions_to_close, []
        for session in to_close:
            session.transport.close()

    def on_input(self) -> None:
        """Request a round if the input produced events for the policy."""
        if self.sessions.needs_round:
            self._request_round()

    def _request_round(self) -> None:
        """Run a round as soon as the schedule allows it."""
        if self._requested_round_timer is None:
            wait_ns = self._schedule.wait_for_round_ns(self.clock())
            self._requested_round_timer = self.event_loop.call_later(
                wait_ns / NS_PER_S, self._run_after_reading
            )

    def _run_after_reading(self) -> None:
        self._call_after_reading(self._run_round)

    def _call_after_reading(self, callback: Callable[[], None]) -> None:
        """Call back once input that already waits in the sockets has been read.

        A due timer itself runs before that, also after a suspension of the process.
        """
        # The outer callback runs before the input of the next poll is read, the inner one after it.
        self.event_loop.call_soon(self.event_loop.call_soon, callback)

    def _run_round(self) -> None:
        """Run a round of the policy, write its messages, and request another if events are pending."""
        if self.stopping:
            return
        now_ns = self.clock()
        self._schedule.record_round(now_ns)
        self._requested_round_timer = None
        cpu_start_ns = time.thread_time_ns()
        try:
            for session, data in self.sessions.run_round(now_ns):
                session.transport.write(data)
        finally:  # the next idle round must be scheduled even after an exception
            self._schedule_idle_round()
        self._total_round_cpu_ns += time.thread_time_ns() - cpu_start_ns
        for event, fields in self.runner.drain_log_events():
            self.log(event, **fields)
        self.close_sessions()
        self.on_input()

    def _schedule_idle_round(self) -> None:
        if self._idle_round_timer is not None:
            self._idle_round_timer.cancel()
        wait_ns = self._schedule.wait_for_idle_round_ns(self.sessions.next_round_at_ns, self.clock())
        self._idle_round_timer = self.event_loop.call_later(wait_ns / NS_PER_S, self._request_round)

    def _check_timeouts(self) -> None:
        self.event_loop.call_later(connection_limits.CHECK_INTERVAL_S, self._check_timeouts)
        self._call_after_reading(self._check_timeouts_now)

    def _check_timeouts_now(self) -> None:
        if self.stopping:
            return
        now_ns = self.clock()
        for client in self.clients:
            if client.has_waiting_input:
                client.session.input_waits(now_ns)
        self.sessions.check_timeouts(now_ns)
        for update in self.discovery.check_timeouts(now_ns):
            self.on_list_update(update)
        self.run_discovery_commands()
        self.close_sessions()
        self.on_input()

    def _log_statistics(self) -> None:
        """Log the counters since the start and the current sizes."""
        self.event_loop.call_later(connection_limits.STATISTICS_INTERVAL_S, self._log_statistics)
        self.log(
            "statistics",
            **msgspec.structs.asdict(self.sessions.statistics),
            **self.runner.counts,
            proxies=len(self.sessions.sessions_by_proxy),
            pending=len(self.sessions.pending_sessions),
            deferred=len(self.sessions.deferred_proxies),
            **self.sessions.ledger.log_fields,
            endpoints=len(self.runner.endpoint_records),
            reportable=len(self.sessions.reportable_endpoints),
            unfinished_evicted=self.buffer_budget.evicted,
            stale_lines=self.endpoint_list.stale_lines,
            cpu_ms=time.process_time_ns() // NS_PER_MS,
            round_cpu_ms=self._total_round_cpu_ns // NS_PER_MS,
        )

    def on_list_update(self, update: ListUpdate) -> None:
        """Pass an update of the endpoint list to the policy."""
        for cause in update.rejections_to_log:
            self.log("endpoint rejected", cause=cause, rejected=len(update.rejected))
        if update.changes_list:
            now_ns, list_confirmed_ns = self.clock(), self.discovery.list_confirmed_ns
            records = [
                self._start_times.adjust(record, now_ns, list_confirmed_ns) for record in update.endpoints
            ]
            self.sessions.update_list(update.scope, records)
            if not update.is_cached:  # loaded before the event loop exists; `run` requests the first round
                self._request_round()

    def run_discovery_commands(self) -> None:
        """Carry out the commands of the discovery client."""
        for command in self.discovery.take_commands(self.clock()):
            if isinstance(command, OpenConnection):
                command.connection.transport = DiscoveryTransport(self, command.connection)
            else:
                command.connection.transport.close()
        for event, fields in self.discovery.take_log_events():
            self.log(event, **fields)

    def on_discovery_closed(self, connection: DiscoveryConnection, cause: str) -> None:
        """Handle a connection to discovery that ended or could not be opened."""
        self.discovery.connection_closed(connection, cause, self.clock())
        self.run_discovery_commands()

    def reload(self) -> None:
        """Read the configuration again; if it is invalid, keep the current one."""
        try:
            configuration = settings.read(self.environment)
        except SettingsError as error:
            self.log("reload refused", cause=str(error))
            return
        for field in configuration.fields_needing_restart(self.configuration):
            self.log("setting not reloaded", field=field, cause="the change takes effect after a restart")
        host, port = configuration.discovery
        self.log("reloaded", discovery=f"{host}:{port}")
        self.configuration = configuration
        self.sessions.max_sockets = self._usable_sockets()
        self.buffer_budget.limit_bytes = connection_limits.max_unfinished_bytes(configuration.max_memory_mb)
        self.discovery.set_address(configuration.discovery, self.clock())
        self.run_discovery_commands()
