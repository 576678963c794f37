"""The process of a control plane instance: its controller, the endpoint list's source and its servers."""

import asyncio
import secrets
import signal
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from swiftchute.admin.server import AdminServer
from swiftchute.api.endpoints import ListScope
from swiftchute.config import Config
from swiftchute.controller.controller import Controller
from swiftchute.controller.policy_runner import PolicyFactory
from swiftchute.controller.version_state import RetentionSettings
from swiftchute.daemon.commands import AdminCommands
from swiftchute.daemon.errors import ListenError
from swiftchute.daemon.round_scheduler import RoundScheduler
from swiftchute.discovery.endpoint_list import EndpointList
from swiftchute.discovery.errors import EndpointListError
from swiftchute.discovery.sources import FileSource, HttpSource
from swiftchute.discovery.start_times import StartTimes
from swiftchute.dns.frontend import DnsFrontend
from swiftchute.dns.server import DnsServer
from swiftchute.dns.settings import DnsSettings
from swiftchute.observability.logging import condition_fields
from swiftchute.policy import Reconciler
from swiftchute.safety.proposal import SafetyRules
from swiftchute.xds.frontend import FrontendOptions, FrontendOutput, XdsFrontend
from swiftchute.xds.server import XdsServer

NS_PER_S = 1_000_000_000
MIN_ROUND_INTERVAL_NS = 1_000_000
DROP_REPORT_INTERVAL_NS = 10 * NS_PER_S
INCARNATION_BITS = 48  # random, so that no two starts share versions and nonces, whatever the clock says
MAX_LIST_DELAY_NS = 6 * NS_PER_S  # longest time from an endpoint's start until the endpoint list reports it
MAX_LOGGED_ENTRIES = 16  # rejected entries logged per endpoint list
WARNING_EVENTS = frozenset(
    {
        "policy crashed",
        "policy restart delayed",
        "table refused",
        "proxy silent",
        "egress queue full",
        "event loop stalled",
        "guard",
        "table held",
        "table waits",
        "invalid weights ignored",
        "table pinned",
        "table released",
        "rollback refused",
        "canary ended",
    }
)


def _retention_settings(tables: Mapping[str, Any]) -> RetentionSettings:
    """Map the `tables` block of the settings to the controller's retention settings."""
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


def _safety_rules(guard: Mapping[str, Any]) -> SafetyRules | None:
    """Return the safety rules of the `guard` block of the settings, or None if the safety gate is off."""
    return None if guard["mode"] == "off" else SafetyRules.from_config(guard)


def _make_controller(config: Config, policy_factory: PolicyFactory, now: int) -> Controller:
    return Controller(
        config.settings,
        config.seed,
        policy_factory,
        now,
        _safety_rules(config.guard),
        config.guard["mode"] == "enforce",
        _retention_settings(config.tables),
    )


class Service:
    """Runs one instance until it is stopped."""

    def __init__(self, config: Config, log: Any, policy_factory: PolicyFactory = Reconciler) -> None:
        """Create the components; sockets are opened by `run`. `policy_factory` creates the policy."""
        self.config, self.log = config, log
        self.clock: Callable[[], int] = time.monotonic_ns
        now = self.clock()
        self.controller = _make_controller(config, policy_factory, now)
        self.scheduler = RoundScheduler(self._run_round, self.clock)
        self.xds_frontend = XdsFrontend(
            self.controller,
            config.settings,
            FrontendOptions(
                incarnation=secrets.randbits(INCARNATION_BITS),
                ack_timeout_ns=config.xds["ack_within"],
                default_request_rate=config.xds["proxy_rate"],
                max_streams=config.xds["streams"],
            ),
            config.seed,
        )
        self.xds_server = XdsServer(
            self.xds_frontend,
            config.settings,
            dict(config.xds),
            self.scheduler.request_round,
            self.clock,
            log,
        )
        wall_clock_offset_ns = time.time_ns() - now
        self.endpoint_list = EndpointList(config.settings.zones, wall_clock_offset_ns)
        self._start_times = StartTimes(MAX_LIST_DELAY_NS)
        self._unreadable_since_ns: int | None = None  # set while polls fail: when the list was last confirmed
        self.dns_server: DnsServer | None = None
        if config.dns["listen"]:
            frontend = DnsFrontend(
                self.controller,
                config.settings,
                DnsSettings.from_block(config.dns),
                config.seed,
                wall_clock_offset_ns,
            )
            self.dns_server = DnsServer(frontend, config.settings.zone, self.clock, log)
        self.admin_server: AdminServer | None = None
        if config.control:
            commands = AdminCommands(self.controller, self.clock, self.scheduler.request_round)
            self.admin_server = AdminServer(config.control, commands.by_name())
        self.source = self._make_source()
        self.stop_requested = asyncio.Event()
        self.fatal_error: Exception | None = None
        self.address: tuple[str, int] | None = None
        self._reported_drops, self._next_drop_report_ns = self._drop_totals(), 0

    async def run(self, ready: Callable[[tuple[str, int]], Any] | None = None, signals: bool = True) -> None:
        """Serve until SIGTERM or SIGINT, or cancelled; call `ready(address)` once proxies can connect.

        Raises `ListenError` if an address cannot be used, or the exception that a round failed with.
        """
        for number in (signal.SIGTERM, signal.SIGINT) if signals else ():
            asyncio.get_running_loop().add_signal_handler(number, self.stop_requested.set)
        self.address = await self._start_servers()
        source = asyncio.ensure_future(self.source.run())
        self.log.info("serving", address=f"{self.address[0]}:{self.address[1]}")
        stopped = asyncio.ensure_future(self.stop_requested.wait())
        try:
            if self.admin_server is not None:
                try:
                    await self.admin_server.start()
                except OSError as error:
                    raise ListenError(f"control.socket: {error}") from None
            if ready is not None:
                ready(self.address)
            self.scheduler.request_round()
            await asyncio.wait([stopped, source], return_when=asyncio.FIRST_COMPLETED)
            if source.done():
                source.result()
            if self.fatal_error is not None:
                raise self.fatal_error
        finally:
            source.cancel()
            stopped.cancel()
            self.scheduler.cancel()
            await self._stop_servers()
            self._log_totals()

    async def _start_servers(self) -> tuple[str, int]:
        """Start the xDS and DNS servers; return the address of the xDS server."""
        try:
            address = await self.xds_server.start()
        except OSError as error:
            raise ListenError(f"xds.listen: {error}") from None
        if self.dns_server is not None:
            try:
                await self.dns_server.start()
            except OSError as error:
                await self.xds_server.stop()
                raise ListenError(f"dns.listen: {error}") from None
        return address

    async def _stop_servers(self) -> None:
        await self.xds_server.stop()
        if self.dns_server is not None:
            await self.dns_server.stop()
        if self.admin_server is not None:
            await self.admin_server.stop()

    def _make_source(self) -> FileSource | HttpSource:
        settings = self.config.list
        if self.config.list_kind == "file":
            return FileSource(
                settings["path"], settings["every"], self._on_list_received, self._on_list_unreadable
            )
        return HttpSource(
            settings["url"],
            settings["every"],
            settings["timeout"],
            self._on_list_received,
            self._on_list_unreadable,
            self.config.seed,
        )

    def _on_list_received(self, text: bytes) -> None:
        try:
            change = self.endpoint_list.update(text)
        except EndpointListError as error:
            self._unreadable_since_ns = self._list_confirmed_ns()
            self.log.warning(
                "endpoint list rejected",
                cause=str(error),
                kept=len(self.endpoint_list.endpoints),
                bad=self.endpoint_list.rejected_count,
            )
            return
        confirmed_ns = (
            self._list_confirmed_ns() if change is None or change.scope != ListScope.CACHED else None
        )
        self._unreadable_since_ns = None
        if change is None:
            return
        now = self.clock()
        records = tuple(self._start_times.adjust(record, now, confirmed_ns) for record in change.endpoints)
        change = replace(change, endpoints=records)
        for cause in change.skipped[:MAX_LOGGED_ENTRIES]:
            self.log.warning("endpoint rejected", cause=cause)
        self.log.info(
            "endpoint list changed",
            scope=change.scope,
            entries=len(change.endpoints),
            passed=len(change.skipped),
        )
        self.controller.on_list_update(change)
        self.scheduler.request_round()

    def _list_confirmed_ns(self) -> int:
        """Return when the list was last known to be current, before the poll that is being handled."""
        if self._unreadable_since_ns is not None:
            return self._unreadable_since_ns
        return self.clock() - self.config.list["every"]

    def _on_list_unreadable(self, cause: str) -> None:
        self._unreadable_since_ns = self._list_confirmed_ns()
        self.endpoint_list.rejected_count += 1
        self.log.warning(
            "endpoint list unreadable",
            cause=cause,
            kept=len(self.endpoint_list.endpoints),
            bad=self.endpoint_list.rejected_count,
        )

    def _run_round(self) -> None:
        now = self.clock()
        try:
            output = self.controller.run_round(now)
            if self.dns_server is not None:
                self.dns_server.publish(output, now)
            xds_output = self.xds_frontend.publish(output, now)
            self.xds_server.send(xds_output)
            self._log_events(xds_output)
        except Exception as error:
            # A bug outside the policy, so the state may be inconsistent: the process exits with the error and
            # has to be restarted. Proxies keep their tables meanwhile.
            self.fatal_error = error
            self.stop_requested.set()
            raise
        deadline_ns = self.controller.next_deadline_ns
        if self.dns_server is not None:
            deadline_ns = min(deadline_ns, self.dns_server.due_ns)
        self.scheduler.schedule(max(deadline_ns, self.clock() + MIN_ROUND_INTERVAL_NS))

    def _log_events(self, xds_output: FrontendOutput) -> None:
        totals = self._drop_totals()
        if totals != self._reported_drops and self.clock() >= self._next_drop_report_ns:
            self._reported_drops = totals
            self._next_drop_report_ns = self.clock() + DROP_REPORT_INTERVAL_NS
            self.log.warning("limits exceeded", **totals)
        for name, fields in xds_output.log_events:
            if name == "condition changed":
                fields = condition_fields(fields["text"])
            (self.log.warning if name in WARNING_EVENTS else self.log.info)(name, **fields)

    def _drop_totals(self) -> dict[str, int]:
        """Return counts of what was dropped or rejected because of a limit, since the start."""
        totals = {
            "sums": self.controller.load_aggregator.dropped,
            "calls": self.controller.counts["calls_lost"],
            "events": self.controller.counts["events_lost"],
            "connections": self.xds_server.rejected_connections,
        }
        if self.dns_server is not None:
            totals["dns_streams"] = self.dns_server.closed["streams_past_bound"]
            totals["dns_notifies"] = self.dns_server.frontend.secondaries.unanswered_notifies
        return totals

    def _log_totals(self) -> None:
        gate = self.controller.publish_gate
        counts = self.controller.counts | self.xds_frontend.counts.log_fields()
        if self.dns_server is not None:
            counts |= self.dns_server.counts
        self.log.info("stopped", counts=counts, guard=gate.counts if gate else {})
