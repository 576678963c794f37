"""Translates tables into xDS resources: no I/O, no clock.

`Translator(settings).wanted(tables, ejected, collections)` returns all resources that a proxy with these
tables should hold, as {type URL: {name: Resource}}. Resources are immutable and shared: a table's content is
encoded once per change, however many proxies hold it.

An entry of a table is a locality of its own (zone, and the endpoint as sub-zone) that has the entry's weight.
Clients that pick localities by weight then follow the table exactly, whatever policy they apply within a
locality, and load reports, which every client makes by locality, distinguish endpoints. A client that takes
entries as resources of their own (LEDS) gets one locality per zone, with a collection of entries.
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

WEIGHT_SCALE = 10_000  # the policy's weights have four decimals; xDS weights are integers of 1 or more
MAX_WEIGHT_SUM = 2**32 - 1  # most for the weights of a priority (endpoint_components.proto)
MILLION = 1_000_000
ADMISSION_CATEGORY = "level"
# Conditions and counts of retries by retry policy (route_components.proto, retry_on). Policy 1 retries only
# attempts that certainly did not run.
_RETRY_POLICIES = {
    0: ("", 0),
    1: ("refused-stream,connect-failure", 1),
    2: ("5xx,reset,connect-failure,unavailable", 1),
    3: ("5xx,reset,connect-failure,unavailable", 2),
}


@dataclass(frozen=True, eq=False)
class Resource:
    """One resource: its encoded bytes, their hash as version, and the resources that it refers to."""

    type_url: str
    name: str
    body: bytes
    version: str
    refs: tuple[tuple[str, str], ...] = ()  # type URL and name
    entries: tuple[TableEntry, ...] = ()  # of EDS with inline endpoints, so that a part of them can be sent
    admission_rate: float = 1.0


class Wanted(dict[str, dict[str, Resource]]):
    """All resources that a proxy should hold, by type URL and name; shared by proxies with equal tables."""

    def __init__(self) -> None:
        """Start without resources of any type."""
        super().__init__({type_url: {} for type_url in names.ORDER})
        self._entries_by_collection: dict[str, dict[str, Resource]] = {}

    def entries(self, name: str) -> dict[str, Resource]:
        """The entries of a collection, or the one entry of this name."""
        if name not in self._entries_by_collection:
            entries = self[names.LEDS]
            members = (
                {n: r for n, r in entries.items() if n.startswith(name[:-1])} if name.endswith("/*") else None
            )
            self._entries_by_collection[name] = (
                {n: entries[n] for n in (name,) if n in entries} if members is None else members
            )
        return self._entries_by_collection[name]


def _make_resource(
    type_url: str,
    name: str,
    message: Message,
    refs: Iterable[tuple[str, str]] = (),
    entries: tuple[TableEntry, ...] = (),
    admission_rate: float = 1.0,
) -> Resource:
    body = message.SerializeToString(deterministic=True)
    version = xxhash.xxh3_64_hexdigest(body)
    return Resource(type_url, name, body, version, tuple(refs), entries, admission_rate)


def integer_weights(entries: Iterable[TableEntry]) -> list[int]:
    """Return weights as integers of 1 or more within the sum that xDS allows: no entry is rounded to zero."""
    weights = [weight * WEIGHT_SCALE for _, _, weight in entries]
    excess_ratio = sum(weights) / (MAX_WEIGHT_SUM - len(weights)) if weights else 0
    return [max(1, int(w / excess_ratio) if excess_ratio > 1 else round(w)) for w in weights]


def _lb_endpoint(endpoint: str, weight: int, draining: bool = False) -> LbEndpoint:
    host, _, port = endpoint.rpartition(":")
    address = Address(socket_address=SocketAddress(address=host.strip("[]"), port_value=int(port)))
    message = LbEndpoint(endpoint=Endpoint(address=address), load_balancing_weight=UInt32Value(value=weight))
    if draining:
        message.health_status = DRAINING
    return message


def load_assignment(name: str, entries: tuple[TableEntry, ...], admission_rate: float) -> Resource:
    """A table with inline endpoints: one locality per entry."""
    message = ClusterLoadAssignment(cluster_name=name)
    for (endpoint, zone, _), weight in zip(entries, integer_weights(entries), strict=True):
        message.endpoints.append(
            LocalityLbEndpoints(
                locality=Locality(zone=zone, sub_zone=endpoint),
                load_balancing_weight=UInt32Value(value=weight),
                lb_endpoints=[_lb_endpoint(endpoint, weight)],
            )
        )
    _set_admission_rate(message, admission_rate)
    return _make_resource(names.EDS, name, message, entries=entries, admission_rate=admission_rate)


def _set_admission_rate(message: ClusterLoadAssignment, admission_rate: float) -> None:
    if admission_rate < 1:
        drop_share = FractionalPercent(
            numerator=round((1 - max(admission_rate, 0)) * MILLION), denominator="MILLION"
        )
        message.policy.drop_overloads.add(category=ADMISSION_CATEGORY, drop_percentage=drop_share)


@lru_cache(maxsize=65_536)
def cluster(name: str, service: str) -> Resource:
    """The cluster of an operation on a table; its endpoints come by EDS, under the service name."""
    message = Cluster(
        name=name,
        type="EDS",
        lb_policy="ROUND_ROBIN",
        lrs_server=ConfigSource(self={}, resource_api_version="V3"),
        eds_cluster_config=Cluster.EdsClusterConfig(eds_config=_ads(), service_name=service),
    )
    message.common_lb_config.locality_weighted_lb_config.SetInParent()
    return _make_resource(names.CDS, name, message, [(names.EDS, service)])


@lru_cache(maxsize=65_536)
def entry(name: str, endpoint: str, weight: int) -> Resource:
    """One entry of a table, for clients that take entries as resources of their own."""
    return _make_resource(names.LEDS, name, _lb_endpoint(endpoint, weight))


def collection_assignment(name: str, entries: tuple[TableEntry, ...], admission_rate: float) -> Resource:
    """A table without inline endpoints: one locality per zone, with a glob collection of entries."""
    message, refs = ClusterLoadAssignment(cluster_name=name), []
    table = name.partition("~")[0]
    for zone in sorted({zone for _, zone, _ in entries}):
        collection_name = names.collection(table, zone)
        refs.append((names.LEDS, collection_name))
        leds_config = LedsClusterLocalityConfig(leds_config=_ads(), leds_collection_name=collection_name)
        message.endpoints.append(
            LocalityLbEndpoints(
                locality=Locality(zone=zone),
                load_balancing_weight=UInt32Value(value=1),
                leds_cluster_locality_config=leds_config,
            )
        )
    _set_admission_rate(message, admission_rate)
    return _make_resource(names.EDS, name, message, refs, admission_rate=admission_rate)


@lru_cache(maxsize=64)
def ejections(endpoints: frozenset[str]) -> Resource:
    """The ejected endpoints, each DRAINING; proxies without tables of this instance must not use them."""
    message = ClusterLoadAssignment(cluster_name=names.WITHDRAWN)
    message.endpoints.append(
        LocalityLbEndpoints(lb_endpoints=[_lb_endpoint(endpoint, 1, True) for endpoint in sorted(endpoints)])
    )
    return _make_resource(names.EDS, names.WITHDRAWN, message)


def _ads() -> ConfigSource:
    return ConfigSource(ads=AggregatedConfigSource(), resource_api_version="V3")


def _duration(nanoseconds: int) -> Duration:
    return Duration(seconds=nanoseconds // 10**9, nanos=nanoseconds % 10**9)


class Translator:
    """Builds the resources of one instance; caches those of a table until the table changes."""

    def __init__(self, settings: Settings) -> None:
        """Create a translator for the operations of the settings, with their time-outs."""
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
        return _make_resource(names.LDS, name, listener, [(names.RDS, name)])

    def _route(self, op: Operation, cluster: str, retry_policy: int) -> Resource:
        key = (op.name, cluster, retry_policy)
        if key not in self._routes:
            action = RouteAction(cluster=cluster, timeout=_duration(op.timeout_ns))
            self._set_retry_policy(action, op, retry_policy)
            host = VirtualHost(
                name=op.name, domains=["*"], routes=[Route(match=RouteMatch(prefix=""), route=action)]
            )
            message = RouteConfiguration(name=op.name, virtual_hosts=[host])
            self._routes[key] = _make_resource(names.RDS, op.name, message, [(names.CDS, cluster)])
        return self._routes[key]

    def _set_retry_policy(self, action: RouteAction, op: Operation, retry_policy: int) -> None:
        conditions, count = _RETRY_POLICIES[retry_policy]
        if not count:
            return
        # The setting is a multiple of the latency objective. Policy 1 does not retry attempts that timed out,
        # as they may have run, so it has no timeout of an attempt.
        timeout_ns = int(self._settings.attempt_timeout_objectives * op.latency_objective_ns)
        action.retry_policy.CopyFrom(
            RetryPolicy(
                retry_on=conditions,
                num_retries=UInt32Value(value=count),
                per_try_timeout=_duration(timeout_ns) if retry_policy > 1 else None,
            )
        )

    def table_resources(
        self, table: str, content: TableContent, collections: bool, baseline: bool = False
    ) -> dict[str, dict[str, Resource]]:
        """Return the EDS (and LEDS) resources of a table; the same objects until it changes.

        Args:
            table: Name of the table.
            content: Its content.
            collections: Whether entries are resources of their own (LEDS).
            baseline: Whether `content` is the baseline of a canary, for the proxies outside it.
        """
        cached = self._tables.get((table, collections, baseline))
        if cached is not None and cached[0] is content:
            return cached[1]
        built: dict[str, dict[str, Resource]] = {names.EDS: {}, names.LEDS: {}}
        make_assignment = collection_assignment if collections else load_assignment
        for index, (admission_rate, _) in enumerate(content.admission):  # the retry policy is in the routes
            name = self._service_name(table, content, index)
            if name not in built[names.EDS]:
                built[names.EDS][name] = make_assignment(name, content.entries, admission_rate)
        if collections:
            weights = integer_weights(content.entries)
            for (endpoint, zone, _), weight in zip(content.entries, weights, strict=True):
                name = names.entry_name(table, zone, endpoint)
                built[names.LEDS][name] = entry(name, endpoint, weight)
        self._tables[table, collections, baseline] = (content, built)
        return built

    def _service_name(self, table: str, content: TableContent, index: int) -> str:
        """Return the EDS name of an operation: its own if its admission rate is not the first operation's.

        The drop rate is part of the EDS resource, so operations of different rates cannot share one.
        """
        own = content.admission[index][0] != content.admission[0][0]
        return f"{table}~{self._settings.operations[index].name}" if own else table

    def wanted(self, tables: ProxyTables, ejected: Collection[str], collections: bool) -> Wanted:
        """Return everything that a proxy should hold; the same object for the same tables.

        Args:
            tables: Tables of the proxy; without any, it gets the ejected endpoints alone.
            ejected: Ejected endpoints; used only if the proxy has no tables.
            collections: Whether entries are resources of their own (LEDS).
        """
        if not tables.tables_by_operation:
            return _only_ejections(frozenset(ejected))
        key = (tables.tables_by_operation, tables.baseline_tables, collections)
        cached = self._wanted.get(key)
        if cached is not None and cached[0] is tables:
            return cached[1]
        wanted = _only_ejections(frozenset())
        for operation, table in tables.tables_by_operation:
            self._add_operation(wanted, tables, operation, table, collections)
        if cached is not None:
            # an unchanged type keeps its object, so that streams skip it
            wanted.update({type_url: old for type_url, old in cached[1].items() if old == wanted[type_url]})
        self._wanted[key] = (tables, wanted)
        return wanted

    def _add_operation(
        self, wanted: Wanted, tables: ProxyTables, operation: str, table: str, collections: bool
    ) -> None:
        content, index = tables.contents[table], self._operation_index[operation]
        cluster_name = names.cluster_name(table, operation)
        wanted[names.CDS][cluster_name] = cluster(cluster_name, self._service_name(table, content, index))
        built = self.table_resources(table, content, collections, table in tables.baseline_tables)
        for type_url in (names.EDS, names.LEDS):
            wanted[type_url] |= built[type_url]
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
