"""A planner as a process: its core, the event loop that turns it, the list's source and the fronts."""

import asyncio
import signal
import time
from collections.abc import Mapping
from typing import Any

from swiftchute.admin.server import AdminServer
from swiftchute.config import Config
from swiftchute.controller.controller import Controller, RetentionSettings
from swiftchute.daemon.commands import Commands
from swiftchute.discovery.endpoint_list import EndpointList
from swiftchute.discovery.errors import EndpointListError
from swiftchute.discovery.sources import FileSource, HttpSource
from swiftchute.dns.frontend import Front as DnsFront
from swiftchute.dns.server import Shell as DnsShell
from swiftchute.observability.logging import mode_fields
from swiftchute.policy import Reconciler
from swiftchute.safety.proposal import SafetyRules
from swiftchute.xds.frontend import FrontendOutput, XdsFrontend
from swiftchute.xds.server import XdsServer

S = 1_000_000_000
ROUND = 5_000_000  # what comes in within so long makes one round, as in the bench's rounds
_WARN = (
    "module fault", "module waits", "table refused", "proxy silent", "channel full", "stood still", "guard",
    "table held", "table waits", "order mended", "table pinned", "table released", "not taken back",
    "canary over",
)  # fmt: skip


class CannotListen(Exception):
    """An address or socket cannot be had; its text names the field and the cause."""


def _retention(tables: Mapping[str, Any]) -> RetentionSettings:
    """Return the values of the `tables` block of the settings by their names in the controller."""
    return RetentionSettings(
        max_versions=tables["most"],
        max_age_ns=tables["age"],
        rejected_fraction=tables["rejected_part"],
        max_rollbacks=tables["back_most"],
        rollback_window_ns=tables["back_within"],
        rollback_duration_ns=tables["back_for"],
        canary_fraction=tables["canary_part"],
        canary_duration_ns=tables["canary_for"],
        max_canary_duration_ns=tables["canary_most"],
        min_canary_change=tables["canary_step"],
    )


class Service:
    """Runs one planner until it is told to stop."""

    def __init__(self, config: Config, log: Any, make: Any = Reconciler) -> None:
        """`make` builds the deciding module."""
        self.config, self.log = config, log
        self.clock = time.monotonic_ns
        now = self.clock()
        mode = config.guard["mode"]
        rules = SafetyRules.from_config(config.guard) if mode != "off" else None
        self.controller = Controller(
            config.settings, config.seed, make, now, rules, mode == "enforce", _retention(config.tables)
        )
        xds, life = config.xds, int(time.time() * 1000)
        self.front = XdsFrontend(
            self.controller,
            config.settings,
            life,
            xds["ack_within"],
            xds["proxy_rate"],
            xds["streams"],
            config.seed,
        )
        offset = time.time_ns() - now
        self.registry = EndpointList(config.settings.zones, offset)
        self.dns: DnsShell | None = None
        if config.dns["listen"]:
            answers = DnsFront(self.controller, config.settings, config.dns, config.seed, offset)
            self.dns = DnsShell(answers, config.settings.zone, self.clock, log)
        self.shell = XdsServer(self.front, config.settings, xds, self.kick, self.clock, log)
        commands = Commands(self.controller, self.clock, self.kick).all()
        self.control = AdminServer(config.control, commands) if config.control else None
        self.stop, self.fault = asyncio.Event(), None
        self.past, self.tell_past = self._past_bounds(), 0
        self.handle: asyncio.TimerHandle | None = None
        self.at = 0
        self.address: tuple[str, int] | None = None
        self.source = self._source(config)

    def _source(self, config: Config) -> FileSource | HttpSource:
        of = config.list
        if config.list_kind == "file":
            return FileSource(of["path"], of["every"], self._took, self._failed)
        return HttpSource(of["url"], of["every"], of["timeout"], self._took, self._failed, config.seed)

    def _took(self, text: bytes) -> None:
        try:
            news = self.registry.update(text)
        except EndpointListError as why:
            self.log.warning(
                "list refused",
                cause=str(why),
                kept=len(self.registry.endpoints),
                bad=self.registry.rejected_count,
            )
            return
        if news is None:
            return
        for passed in news.skipped[:16]:
            self.log.warning("entry passed over", cause=passed)
        self.log.info("list", scope=news.scope, entries=len(news.endpoints), passed=len(news.skipped))
        self.controller.on_list_update(news)
        self.kick()

    def _failed(self, cause: str) -> None:
        self.registry.rejected_count += 1
        self.log.warning(
            "list unreadable",
            cause=cause,
            kept=len(self.registry.endpoints),
            bad=self.registry.rejected_count,
        )

    def kick(self) -> None:
        """Something came in: have a turn soon."""
        self._plan(self.clock() + ROUND)

    def _plan(self, when: int) -> None:
        if self.handle is not None:
            if self.at <= when:
                return
            self.handle.cancel()
        self.at = when
        self.handle = asyncio.get_running_loop().call_later(max(when - self.clock(), 0) / S, self._turn)

    def _turn(self) -> None:
        self.handle = None
        now = self.clock()
        try:
            turn = self.controller.run_round(now)
            if self.dns is not None:
                self.dns.turn(turn, now)
            out = self.front.turn(turn, now)
            self.shell.carry_out(out)
            self._events(out)
        except Exception as why:
            # a fault of the program itself, not of the module: state may be half changed, so the process ends
            # with an error and is started anew; proxies keep their tables meanwhile
            self.fault = why
            self.stop.set()
            raise
        due = (
            min(self.controller.next_deadline_ns, self.dns.due)
            if self.dns is not None
            else self.controller.next_deadline_ns
        )
        self._plan(max(due, self.clock() + 1_000_000))

    def _past_bounds(self) -> dict[str, int]:
        """What was dropped or turned away past a bound, since the start."""
        server = self.shell.server
        found = {
            "sums": self.controller.load_aggregator.dropped,
            "calls": self.controller.counts["calls_lost"],
            "events": self.controller.counts["events_lost"],
            "connections": server.turned_away if server else 0,
        }
        if self.dns is not None:
            found["dns_streams"] = self.dns.closed["streams_past_bound"]
            found["dns_notifies"] = self.dns.front.secondaries.lost
        return found

    def _events(self, out: FrontendOutput) -> None:
        now = self._past_bounds()
        if now != self.past and self.clock() >= self.tell_past:  # told at most once in ten seconds
            self.past, self.tell_past = now, self.clock() + 10 * S
            self.log.warning("past a bound", **now)
        for event, fields in out.events:
            if event == "mode":
                fields = mode_fields(fields["text"])
            (self.log.warning if event in _WARN else self.log.info)(event, **fields)

    async def run(self, ready: Any = None, signals: bool = True) -> None:
        """Serve until SIGTERM or SIGINT, or cancelled; `ready(address)` is called once streams are taken."""
        for number in (signal.SIGTERM, signal.SIGINT) if signals else ():
            asyncio.get_running_loop().add_signal_handler(number, self.stop.set)
        try:
            self.address = await self.shell.start()
        except OSError as why:
            raise CannotListen(f"xds.listen: {why}") from None
        if self.dns is not None:
            try:
                await self.dns.start()
            except OSError as why:
                await self.shell.stop()
                raise CannotListen(f"dns.listen: {why}") from None
        source = asyncio.ensure_future(self.source.run())
        self.log.info("serving", address=f"{self.address[0]}:{self.address[1]}")
        stopped = asyncio.ensure_future(self.stop.wait())
        try:
            if self.control is not None:
                try:
                    await self.control.start()
                except OSError as why:
                    raise CannotListen(f"control.socket: {why}") from None
            if ready is not None:
                ready(self.address)
            self.kick()
            await asyncio.wait([stopped, source], return_when=asyncio.FIRST_COMPLETED)
            if source.done():
                source.result()
            if self.fault is not None:
                raise self.fault
        finally:
            source.cancel()
            stopped.cancel()
            if self.handle is not None:
                self.handle.cancel()
            await self.shell.stop()
            if self.dns is not None:
                await self.dns.stop()
            if self.control is not None:
                await self.control.stop()
            gate = self.controller.publish_gate
            counts = self.controller.counts | self.front.counts | (self.dns.counts if self.dns else {})
            self.log.info("stopped", counts=counts, guard=gate.counts if gate else {})
