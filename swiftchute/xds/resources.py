"""Translates tables into xDS resources: no I/O, no clock.

`Translator(settings).wanted(tables, ejected, collections)` returns all resources that a proxy with these
tables should hold, as {type URL: {name: Resource}}. Resources are immutable and shared: a table's content is
encoded once a change, however many proxies hold it.

An entry of a table is a locality of its own (zone, and the endpoint as sub-zone), with the entry's weight as
the locality's: clients that pick localities by weight then follow the table exactly, whatever their policy
for endpoints within one, and load reports, which every client makes by locality, tell endpoints apart. A
client that takes endpoints one by one (LEDS) is given a locality a zone, with a collection of entries.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash
from envoy.config.cluster.v3.cluster_pb2 import Cluster
from envoy.config.core.v3.address_pb2 import Address, SocketAddress
from envoy.config.core.v3.base_pb2 import Locality
from envoy.config.core.v3.config_source_pb2 import AggregatedConfigSource, ConfigSource
from envoy.config.core.v3.health_check_pb2 import DRAINING
from envoy.config.endpoint.v3.endpoint_components_pb2 import (
    Endpoint,
    LbEndpoint,
    LedsClusterLocalityConfig,
    LocalityLbEndpoints,
)
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from envoy.config.listener.v3.api_listener_pb2 import ApiListener
from envoy.config.listener.v3.listener_pb2 import Listener
from envoy.config.route.v3.route_components_pb2 import (
    RetryPolicy,
    Route,
    RouteAction,
    RouteMatch,
    VirtualHost,
)
from envoy.config.route.v3.route_pb2 import RouteConfiguration
from envoy.extensions.filters.http.router.v3.router_pb2 import Router
from envoy.extensions.filters.network.http_connection_manager.v3.http_connection_manager_pb2 import (
    HttpConnectionManager,
    HttpFilter,
    Rds,
)
from envoy.type.v3.percent_pb2 import FractionalPercent
from google.protobuf.any_pb2 import Any as Packed
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import Message
from google.protobuf.wrappers_pb2 import UInt32Value

from swiftchute.api.settings import Operation, Settings
from swiftchute.controller.table_contents import ProxyTables, TableContent, TableEntry
from swiftchute.xds import names

WEIGHT_UNIT = 10_000  # the module's weights have four decimals; xDS takes whole numbers of 1 or more
WEIGHT_SUM = 2**32 - 1  # the weights of a priority may not add up to more (endpoint_components.proto)
MILLION = 1_000_000
LEVEL_CATEGORY = "level"
# retry policies as conditions and counts (route_components.proto, retry_on): 1 retries only attempts that
# provably never ran
_RETRIES = {
    0: ("", 0),
    1: ("refused-stream,connect-failure", 1),
    2: ("5xx,reset,connect-failure,unavailable", 1),
    3: ("5xx,reset,connect-failure,unavailable", 2),
}


@dataclass(frozen=True, eq=False)
class Resource:
    """One resource: its packed bytes, a version that is a hash of them, and what it names of other types."""

    kind: str
    name: str
    body: bytes
    version: str
    refs: tuple[tuple[str, str], ...] = ()
    lines: tuple[
        TableEntry, ...
    ] = ()  # EDS given whole: what it was made of, so that a part of it can be sent
    level: float = 1.0


class Wanted(dict[str, dict[str, Resource]]):
    """All that a proxy should have, by type URL and name; shared by all proxies with the same holding."""

    def __init__(self) -> None:
        """Empty of every type."""
        super().__init__({kind: {} for kind in names.ORDER})
        self.globs: dict[str, dict[str, Resource]] = {}

    def lines(self, name: str) -> dict[str, Resource]:
        """The lines of a collection, or the one line of this name."""
        if name not in self.globs:
            held = self[names.LEDS]
            inner = (
                {n: r for n, r in held.items() if n.startswith(name[:-1])} if name.endswith("/*") else None
            )
            self.globs[name] = {n: held[n] for n in (name,) if n in held} if inner is None else inner
        return self.globs[name]


def _resource(
    kind: str,
    name: str,
    message: Message,
    refs: Iterable[tuple[str, str]] = (),
    lines: tuple[TableEntry, ...] = (),
    level: float = 1.0,
) -> Resource:
    body = message.SerializeToString(deterministic=True)
    version = xxhash.xxh3_64_hexdigest(body)
    return Resource(kind, name, body, version, tuple(refs), lines, level)


def whole_weights(lines: Iterable[TableEntry]) -> list[int]:
    """Weights as whole numbers of 1 or more whose sum the protocol takes: no line is rounded away."""
    weights = [weight * WEIGHT_UNIT for _, _, weight in lines]
    over = sum(weights) / (WEIGHT_SUM - len(weights)) if weights else 0
    return [max(1, int(w / over) if over > 1 else round(w)) for w in weights]


def _endpoint(server: str, weight: int, draining: bool = False) -> LbEndpoint:
    host, _, port = server.rpartition(":")
    at = Address(socket_address=SocketAddress(address=host.strip("[]"), port_value=int(port)))
    made = LbEndpoint(endpoint=Endpoint(address=at), load_balancing_weight=UInt32Value(value=weight))
    if draining:
        made.health_status = DRAINING
    return made


def assignment(name: str, lines: tuple[TableEntry, ...], level: float) -> Resource:
    """A table given whole: a locality a line."""
    made = ClusterLoadAssignment(cluster_name=name)
    for (server, zone, _), weight in zip(lines, whole_weights(lines), strict=True):
        made.endpoints.append(
            LocalityLbEndpoints(
                locality=Locality(zone=zone, sub_zone=server),
                load_balancing_weight=UInt32Value(value=weight),
                lb_endpoints=[_endpoint(server, weight)],
            )
        )
    _set_admission_rate(made, level)
    return _resource(names.EDS, name, made, lines=lines, level=level)


def _set_admission_rate(made: ClusterLoadAssignment, level: float) -> None:
    if level < 1:
        share = FractionalPercent(numerator=round((1 - max(level, 0)) * MILLION), denominator="MILLION")
        made.policy.drop_overloads.add(category=LEVEL_CATEGORY, drop_percentage=share)


@lru_cache(maxsize=65_536)
def cluster(name: str, service: str) -> Resource:
    """The cluster of an operation on a table: its lines come by EDS, under the table's name."""
    made = Cluster(
        name=name,
        type="EDS",
        lb_policy="ROUND_ROBIN",
        lrs_server=ConfigSource(self={}, resource_api_version="V3"),
        eds_cluster_config=Cluster.EdsClusterConfig(eds_config=_ads(), service_name=service),
    )
    made.common_lb_config.locality_weighted_lb_config.SetInParent()
    return _resource(names.CDS, name, made, [(names.EDS, service)])


@lru_cache(maxsize=65_536)
def entry(name: str, server: str, weight: int) -> Resource:
    """One line of a table, for clients that take them one by one."""
    return _resource(names.LEDS, name, _endpoint(server, weight))


def collection_assignment(name: str, lines: tuple[TableEntry, ...], level: float) -> Resource:
    """A table whose lines come one by one: a locality a zone, with a glob collection of lines."""
    made, refs = ClusterLoadAssignment(cluster_name=name), []
    table = name.partition("~")[0]
    for zone in sorted({zone for _, zone, _ in lines}):
        glob = names.collection(table, zone)
        refs.append((names.LEDS, glob))
        by_line = LedsClusterLocalityConfig(leds_config=_ads(), leds_collection_name=glob)
        made.endpoints.append(
            LocalityLbEndpoints(
                locality=Locality(zone=zone),
                load_balancing_weight=UInt32Value(value=1),
                leds_cluster_locality_config=by_line,
            )
        )
    _set_admission_rate(made, level)
    return _resource(names.EDS, name, made, refs, level=level)


@lru_cache(maxsize=64)
def ejections(servers: frozenset[str]) -> Resource:
    """The servers shut out for proxies that are not bound, each DRAINING: a table that only takes away."""
    made = ClusterLoadAssignment(cluster_name=names.WITHDRAWN)
    made.endpoints.append(LocalityLbEndpoints(lb_endpoints=[_endpoint(s, 1, True) for s in sorted(servers)]))
    return _resource(names.EDS, names.WITHDRAWN, made)


def _ads() -> ConfigSource:
    return ConfigSource(ads=AggregatedConfigSource(), resource_api_version="V3")


def _seconds(nanoseconds: int) -> Duration:
    return Duration(seconds=nanoseconds // 10**9, nanos=nanoseconds % 10**9)


class Translator:
    """Builds resources for one planner; keeps what it built of a table until the table's next change."""

    def __init__(self, settings: Settings) -> None:
        """Start without resources; operations and their time-outs come from the settings."""
        self._settings = settings
        self._listeners = {op.name: self._listener(op.name) for op in settings.operations}
        self._operation_index = {op.name: index for index, op in enumerate(settings.operations)}
        self._tables: dict[tuple[str, bool, bool], tuple[TableContent, dict[str, dict[str, Resource]]]] = {}
        self._wanted: dict[tuple[object, frozenset[str], bool], tuple[ProxyTables, Wanted]] = {}
        self._routes: dict[tuple[str, str, int], Resource] = {}

    def _listener(self, name: str) -> Resource:
        manager = HttpConnectionManager(
            stat_prefix=name,
            rds=Rds(config_source=_ads(), route_config_name=name),
            http_filters=[HttpFilter(name="router", typed_config=_pack(Router()))],
        )
        listener = Listener(name=name, api_listener=ApiListener(api_listener=_pack(manager)))
        return _resource(names.LDS, name, listener, [(names.RDS, name)])

    def _route(self, op: Operation, cluster: str, tries: int) -> Resource:
        key = (op.name, cluster, tries)
        if key not in self._routes:
            action = RouteAction(cluster=cluster, timeout=_seconds(op.timeout_ns))
            self._set_retry_policy(action, op, tries)
            host = VirtualHost(
                name=op.name, domains=["*"], routes=[Route(match=RouteMatch(prefix=""), route=action)]
            )
            made = RouteConfiguration(name=op.name, virtual_hosts=[host])
            self._routes[key] = _resource(names.RDS, op.name, made, [(names.CDS, cluster)])
        return self._routes[key]

    def _set_retry_policy(self, action: RouteAction, op: Operation, retry_policy: int) -> None:
        conditions, count = _RETRIES[retry_policy]
        if not count:
            return
        timeout_ns = int(self._settings.attempt_timeout_objectives * op.latency_objective_ns)
        action.retry_policy.CopyFrom(
            RetryPolicy(
                retry_on=conditions,
                num_retries=UInt32Value(value=count),
                per_try_timeout=_seconds(timeout_ns) if retry_policy > 1 else None,
            )
        )

    def table(
        self, table: str, content: TableContent, collections: bool, baseline: bool = False
    ) -> dict[str, dict[str, Resource]]:
        """Return the EDS (and LEDS) resources of a table; the same objects until it changes.

        Args:
            table: Name of the table.
            content: Its content.
            collections: Whether endpoints are resources of their own.
            baseline: Whether it is for proxies that a canary keeps at the version before.
        """
        cached = self._tables.get((table, collections, baseline))
        if cached is not None and cached[0] is content:
            return cached[1]
        made: dict[str, dict[str, Resource]] = {names.EDS: {}, names.LEDS: {}}
        make = collection_assignment if collections else assignment
        for index, (level, _) in enumerate(content.admission):
            name = self._service_name(table, content, index)
            if name not in made[names.EDS]:
                made[names.EDS][name] = make(name, content.entries, level)
        if collections:
            weights = whole_weights(content.entries)
            for (endpoint, zone, _), weight in zip(content.entries, weights, strict=True):
                name = names.entry_name(table, zone, endpoint)
                made[names.LEDS][name] = entry(name, endpoint, weight)
        self._tables[table, collections, baseline] = (content, made)
        return made

    def _service_name(self, table: str, content: TableContent, index: int) -> str:
        """Return the EDS name of an operation: one of its own where its admission rate is."""
        own = content.admission[index][0] != content.admission[0][0]
        return f"{table}~{self._settings.operations[index].name}" if own else table

    def wanted(self, tables: ProxyTables, ejected: Collection[str], collections: bool) -> Wanted:
        """Return everything that a proxy should hold; the same object for the same tables.

        Args:
            tables: Tables of the proxy; without any it is sent the ejected endpoints alone.
            ejected: Endpoints that no proxy may use.
            collections: Whether endpoints are resources of their own.
        """
        if not tables.tables_by_operation:
            return _only_ejections(frozenset(ejected))
        key = (tables.tables_by_operation, tables.baseline_tables, collections)
        cached = self._wanted.get(key)
        if cached is not None and cached[0] is tables:
            return cached[1]
        made = _only_ejections(frozenset())
        for operation, table in tables.tables_by_operation:
            self._add_operation(made, tables, operation, table, collections)
        if cached is not None:
            # types in which nothing changed stay the same object, so that streams skip them
            made.update({kind: old for kind, old in cached[1].items() if old == made[kind]})
        self._wanted[key] = (tables, made)
        return made

    def _add_operation(
        self, wanted: Wanted, tables: ProxyTables, operation: str, table: str, collections: bool
    ) -> None:
        content, index = tables.contents[table], self._operation_index[operation]
        cluster_name = names.cluster_name(table, operation)
        wanted[names.CDS][cluster_name] = cluster(cluster_name, self._service_name(table, content, index))
        built = self.table(table, content, collections, table in tables.baseline_tables)
        for kind in (names.EDS, names.LEDS):
            wanted[kind] |= built[kind]
        wanted[names.LDS][operation] = self._listeners[operation]
        retry_policy = content.admission[index][1]
        route = self._route(self._settings.operations[index], cluster_name, retry_policy)
        wanted[names.RDS][operation] = route


def _only_ejections(ejected: frozenset[str]) -> Wanted:
    wanted = Wanted()
    wanted[names.EDS][names.WITHDRAWN] = ejections(ejected)
    return wanted


def _pack(message: Message) -> Packed:
    packed = Packed()
    packed.Pack(message, deterministic=True)
    return packed
