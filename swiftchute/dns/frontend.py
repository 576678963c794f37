"""The DNS frontend without I/O: serves a view per zone, each a proxy of the controller.

Example:
    frontend = DnsFrontend(controller, settings, dns_settings, seed, wall_clock_offset_ns)
    frontend.start(now_ns)                                  # connect the views
    frontend.publish(controller.run_round(now_ns), now_ns)  # apply pushes; call again at `due_ns`
    frontend.queries.answer_datagram(data, source, view, now_ns)

A view is a proxy like any other: the controller assigns and pushes tables to it, and the safety rules apply.
Only its acknowledgement differs: a view acknowledges a version once no answer of an earlier version can be in
any cache, which is one TTL after the last such answer was sent. So whatever the policy and the safety rules
do about proxies that have not acknowledged also covers resolvers.
"""

from dataclasses import dataclass, field

from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller, RoundOutput
from swiftchute.controller.load_aggregation import DemandEntry, LoadReport
from swiftchute.controller.table_contents import TableContent
from swiftchute.dns.answer_cache import AnswerCache, AnswerUsage
from swiftchute.dns.names import OriginNames
from swiftchute.dns.query_handler import QueryHandler
from swiftchute.dns.records import RecordLayout, TableEntries, ZoneRecords
from swiftchute.dns.secondaries import Notify, SecondaryServers
from swiftchute.dns.settings import DnsSettings
from swiftchute.dns.ttl import TtlPolicy
from swiftchute.dns.zone_transfer import ViewTable, ZoneJournal

NS_PER_S = 1_000_000_000
CHECK_INTERVAL_NS = NS_PER_S // 4  # between measurements of the query rate
DELIVERY_ALLOWANCE_NS = NS_PER_S // 4  # a resolver counts the TTL from the arrival of the answer
QUERY_RATE_SMOOTHING = 0.5  # weight of the newest measurement
_SERIAL_MASK = 0xFFFFFFFF

ViewTablesByZone = dict[str, dict[str, ViewTable]]


@dataclass(slots=True)
class _View:
    """The view of one availability zone.

    Attributes:
        zone: The availability zone.
        contents: The table contents that were pushed to it, by operation.
        nonce: The newest nonce that it has not acknowledged; None if there is none.
        awaits_expiry: Whether it received a push and earlier answers may still be cached.
        expires_at_ns: When all answers of earlier versions have expired.
    """

    zone: str
    contents: dict[str, TableContent] = field(default_factory=dict)
    nonce: int | None = None
    awaits_expiry: bool = False
    expires_at_ns: int = 0


class DnsFrontend:
    """The views of all availability zones, for one incarnation.

    Attributes:
        controller: The controller.
        dns_settings: The values of the `dns` block.
        wall_clock_offset_ns: Wall clock minus the clock of the controller, constant. Serials are at least
            the wall clock in seconds, so that they exceed those of earlier incarnations.
        queries: The handler of queries.
        ttl_policy: Decides the TTL of answers.
        journal: The contents of zone transfers.
        secondaries: The secondary name servers.
    """

    def __init__(
        self,
        controller: Controller,
        settings: Settings,
        dns_settings: DnsSettings,
        seed: int,
        wall_clock_offset_ns: int = 0,
    ) -> None:
        """Create the views of all zones in the settings; none is connected yet.

        Raises:
            DomainNameError: The origin, an operation or a zone cannot be represented in domain names.
        """
        self.controller = controller
        self.dns_settings = dns_settings
        self.wall_clock_offset_ns = wall_clock_offset_ns
        self._settings = settings
        self._seed = seed
        self._index_by_operation = {
            operation.name: index for index, operation in enumerate(settings.operations)
        }
        operations = [operation.name for operation in settings.operations]
        self._names = OriginNames(dns_settings.origin, operations, settings.zones)
        self._layout = _make_layout(dns_settings)
        self.ttl_policy = TtlPolicy(
            settings.drain_grace_ns,
            settings.max_no_endpoint_ns,
            dns_settings.max_ttl_s,
            dns_settings.max_queries_per_s,
        )
        limit_s = self.ttl_policy.limit_s
        self.journal = ZoneJournal(controller.history, self._names, self._layout, limit_s)
        self.secondaries = SecondaryServers(
            dns_settings.secondaries, self._names.origin, dns_settings.expire_ns, limit_s * NS_PER_S, seed
        )
        self.queries = QueryHandler(self._names, dns_settings, self.journal, self.secondaries)
        self._view_by_proxy = {self.proxy_id(zone): _View(zone) for zone in settings.zones}
        self._usage_by_operation: dict[tuple[str, str], AnswerUsage] = {}  # by zone and operation
        self._reported_answers: dict[tuple[str, str], int] = {}  # by zone and operation
        self._measured_answers = 0
        self._tables: ViewTablesByZone = {}
        self._warming_up: frozenset[str] = frozenset()
        self._unavailable = controller.unavailable_endpoints
        self._ttl_s = limit_s
        self._query_rate_per_s = 0.0
        self._checked_at_ns = self._reported_at_ns = self._published_at_ns = 0

    @staticmethod
    def proxy_id(zone: str) -> str:
        """Return the proxy id of the view of a zone; the xDS frontend rejects nodes with such an id."""
        return f"dns/{zone}"

    def start(self, now_ns: int) -> None:
        """Connect the views to the controller."""
        self._checked_at_ns = self._reported_at_ns = now_ns
        for proxy, view in self._view_by_proxy.items():
            self._connect(proxy, view, fresh=True)

    def publish(self, output: RoundOutput, now_ns: int) -> None:
        """Apply a round's pushes; acknowledge versions once earlier answers have expired in all caches."""
        self._published_at_ns = now_ns
        for proxy in output.overflowed_proxies:
            self._reconnect(proxy)
        changed = False
        for proxy, nonce in output.pushes:
            changed |= self._apply_push(proxy, nonce)
        if self.controller.unavailable_endpoints is not self._unavailable:
            self._unavailable = self.controller.unavailable_endpoints
            changed = True
        if now_ns - self._checked_at_ns >= CHECK_INTERVAL_NS:
            changed |= self._update_load_and_ttl(now_ns)
        if changed:
            self._update_answers(now_ns)
        self._acknowledge_expired(now_ns)

    @property
    def due_ns(self) -> int:
        """When `publish` must be called again at the latest."""
        check_interval_ns = max(CHECK_INTERVAL_NS, self._settings.report_interval_ns // 4)
        times_ns = [self._checked_at_ns + check_interval_ns]
        for view in self._view_by_proxy.values():
            if view.awaits_expiry and view.expires_at_ns > self._published_at_ns:
                times_ns.append(view.expires_at_ns)
        if self.secondaries.notify_due_ns is not None:
            times_ns.append(self.secondaries.notify_due_ns)
        return min(times_ns)

    def due_notifies(self, now_ns: int) -> list[Notify]:
        """Return the NOTIFY messages to send now."""
        return self.secondaries.due_notifies(now_ns)

    def on_notify_reply(self, source: str, data: bytes) -> None:
        """Handle a datagram received on the socket that sends NOTIFY messages."""
        self.secondaries.on_notify_reply(source, data)

    def _connect(self, proxy: str, view: _View, fresh: bool) -> None:
        request_rate = self.dns_settings.request_rate_per_s
        self.controller.on_proxy_connected(proxy, view.zone, request_rate, fresh)

    def _reconnect(self, proxy: str) -> None:
        """Reconnect a view whose messages overflowed the egress queue; it keeps serving its tables."""
        view = self._view_by_proxy.get(proxy)
        if view is None:
            return
        view.nonce, view.awaits_expiry = None, False
        self.controller.on_proxy_disconnected(proxy)
        self._connect(proxy, view, fresh=False)

    def _apply_push(self, proxy: str, nonce: int | None) -> bool:
        """Apply a push to a view; return whether its contents were replaced."""
        view = self._view_by_proxy.get(proxy)
        if view is None:
            return False
        tables = self.controller.tables_of(proxy)
        assigned = bool(tables.tables_by_operation)
        if assigned:  # a view without tables keeps serving its last contents
            view.contents = {
                operation: tables.contents[table] for operation, table in tables.tables_by_operation
            }
        if nonce is not None:
            view.nonce = nonce
        view.awaits_expiry = True
        return assigned

    def _update_load_and_ttl(self, now_ns: int) -> bool:
        """Measure the query rate, report load if due, decide the TTL; return whether answers must change."""
        self._measure_query_rate(now_ns)
        if now_ns - self._reported_at_ns >= self._settings.report_interval_ns:
            self._report_load(now_ns)
        ttl_s = self.ttl_policy.ttl_s(self._query_rate_per_s, now_ns)
        if ttl_s != self._ttl_s:
            self.controller.log_event(
                "answers live",
                seconds=ttl_s,
                most=self.ttl_policy.limit_s,
                queries=round(self._query_rate_per_s, 1),
                changes=self.ttl_policy.recent_changes,
            )
        changed = ttl_s != self._ttl_s or self.controller.warming_endpoints(now_ns) != self._warming_up
        self._ttl_s = ttl_s
        return changed

    def _measure_query_rate(self, now_ns: int) -> None:
        window_ns = now_ns - self._checked_at_ns
        self._checked_at_ns = now_ns
        answers = sum(usage.answers for usage in self._usage_by_operation.values())
        measured_per_s = (answers - self._measured_answers) * NS_PER_S / max(window_ns, 1)
        self._query_rate_per_s += QUERY_RATE_SMOOTHING * (measured_per_s - self._query_rate_per_s)
        self._measured_answers = answers

    def _report_load(self, now_ns: int) -> None:
        """Report the load of each view; each answer counts as a fixed number of requests."""
        window_ns = now_ns - self._reported_at_ns
        self._reported_at_ns = now_ns
        for proxy, view in self._view_by_proxy.items():
            demand = []
            for operation in self._index_by_operation:
                key = (view.zone, operation)
                usage = self._usage_by_operation.get(key)
                reported = self._reported_answers.get(key, 0)
                if usage is not None and usage.answers > reported:
                    requests = (usage.answers - reported) * self.dns_settings.requests_per_answer
                    demand.append(DemandEntry(operation, max(round(requests), 1), 0))
                    self._reported_answers[key] = usage.answers
            if demand:
                self.controller.on_load_report(proxy, LoadReport(window_ns, tuple(demand), ()), now_ns)

    def _available_entries(self, content: TableContent) -> TableEntries:
        """Return the entries of endpoints that are neither draining nor removed, or all if none remain.

        The endpoint list may be newer than the pushed contents.
        """
        available = tuple(entry for entry in content.entries if entry.endpoint not in self._unavailable)
        return available or content.entries

    def _collect_tables(self) -> ViewTablesByZone:
        tables: ViewTablesByZone = {}
        for view in self._view_by_proxy.values():
            for operation, content in view.contents.items():
                entries = self._available_entries(content)
                version = content.version if entries is content.entries else b""
                tables.setdefault(view.zone, {})[operation] = ViewTable(version, entries)
        return tables

    def _collect_admission_rates(self) -> dict[tuple[str, str], float]:
        """Return the admission rates by zone and operation; none if the frontend does not shed load."""
        if not self.dns_settings.sheds_load:
            return {}
        rates = {}
        for view in self._view_by_proxy.values():
            for operation, content in view.contents.items():
                rate, _ = content.admission[self._index_by_operation[operation]]
                rates[view.zone, operation] = rate
        return rates

    def _update_answers(self, now_ns: int) -> None:
        """Replace the answers if the contents of the views, or what else they depend on, have changed."""
        tables, admission_rates = self._collect_tables(), self._collect_admission_rates()
        warming_up = self.controller.warming_endpoints(now_ns)
        if not tables:
            return
        old = self.queries.cache.records if self.queries.cache else None
        current = (old.ttl_s, old.admission_rates, old.warming_up) if old else None
        if current == (self._ttl_s, admission_rates, warming_up) and tables == self._tables:
            return
        if tables != self._tables:
            self.ttl_policy.on_answers_changed(now_ns)
        if old:
            self._extend_expiry(tables)
        serial = max(self.journal.serial + 1, (now_ns + self.wall_clock_offset_ns) // NS_PER_S) & _SERIAL_MASK
        self._tables, self._warming_up = tables, warming_up
        entries_by_zone = {
            zone: {operation: table.entries for operation, table in by_operation.items()}
            for zone, by_operation in tables.items()
        }
        records = ZoneRecords(
            self._names, entries_by_zone, warming_up, self._ttl_s, serial, self._layout, admission_rates
        )
        self.queries.cache = AnswerCache(records, self._usage_by_operation, self._seed)
        self.journal.record(serial, tables, warming_up)
        self.secondaries.on_serial_changed(serial, now_ns)

    def _extend_expiry(self, tables: ViewTablesByZone) -> None:
        """For each view whose tables change, wait until the answers sent so far have expired."""
        for view in self._view_by_proxy.values():
            if tables.get(view.zone) == self._tables.get(view.zone):
                continue
            cached_until_ns = max(
                (
                    usage.cached_until_ns
                    for (zone, _), usage in self._usage_by_operation.items()
                    if zone == view.zone
                ),
                default=0,
            )
            view.expires_at_ns = max(view.expires_at_ns, cached_until_ns + DELIVERY_ALLOWANCE_NS)

    def _acknowledge_expired(self, now_ns: int) -> None:
        """Acknowledge the pushes of views whose earlier answers have expired."""
        obsolete_at_ns = self.secondaries.obsolete_at_ns()
        for proxy, view in self._view_by_proxy.items():
            if not view.awaits_expiry or now_ns < max(view.expires_at_ns, obsolete_at_ns):
                continue
            view.awaits_expiry = False
            if view.nonce is not None:
                nonce, view.nonce = view.nonce, None
                self.controller.on_acknowledged(proxy, nonce, now_ns)
            self.controller.on_fully_acknowledged(proxy, now_ns)


def _make_layout(dns_settings: DnsSettings) -> RecordLayout:
    host, port = dns_settings.listen_address or ("localhost", 0)
    return RecordLayout(
        dns_settings.addresses_per_answer,
        dns_settings.min_draws,
        dns_settings.remote_entries,
        expire_s=dns_settings.expire_ns // NS_PER_S,
        name_server_address="" if host == "localhost" else f"{host}:{port}",
    )
