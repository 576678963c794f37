"""The client side of ADS without I/O, and the tables that follow from what was received.

    ads = Client(node, zone, rate, delta=True, lines=True)
    requests = ads.hello(fresh)              # on a new stream
    requests = ads.receive(data)             # a response's bytes: ACK or NACK, and what is now asked for
    ads.table("lot-estimate")                # Table, or None while nothing was received
    report = ads.report(span)                # a LoadStatsRequest with what was counted since the last

An order is applied once: a response whose nonce is not newer than the stream's last of that type is ignored.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from envoy.config.cluster.v3.cluster_pb2 import Cluster
from envoy.config.core.v3.base_pb2 import Locality, Node
from envoy.config.core.v3.health_check_pb2 import DRAINING
from envoy.config.endpoint.v3.endpoint_components_pb2 import LbEndpoint
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from envoy.config.endpoint.v3.load_report_pb2 import ClusterStats
from envoy.config.listener.v3.listener_pb2 import Listener
from envoy.config.route.v3.route_pb2 import RouteConfiguration
from envoy.extensions.filters.network.http_connection_manager.v3.http_connection_manager_pb2 import (
    HttpConnectionManager,
)
from envoy.service.discovery.v3.discovery_pb2 import (
    DeltaDiscoveryRequest,
    DeltaDiscoveryResponse,
    DiscoveryRequest,
    DiscoveryResponse,
)
from envoy.service.load_stats.v3.lrs_pb2 import LoadStatsRequest
from google.protobuf.message import DecodeError

from swiftchute.xds import names
from swiftchute.xds.load_reports import TOOK

_TYPES = {
    names.CDS: Cluster,
    names.EDS: ClusterLoadAssignment,
    names.LEDS: LbEndpoint,
    names.LDS: Listener,
    names.RDS: RouteConfiguration,
}
SURE = "refused-stream,connect-failure"


@dataclass
class Table:
    """What one operation's invocations follow: weights by server, the share let in, further tries, and
    whether they need proof that the try before never ran."""

    cluster: str
    lines: dict[str, int]
    level: float = 1.0
    tries: int = 0
    sure: bool = True
    per_try: float | None = None
    timeout: float | None = None  # of the whole invocation, as its route says


@dataclass
class Counted:
    """Tries by server since the last report: [good, errored, sum of good times in ms], and what was
    dropped."""

    servers: dict[str, list[float]] = field(default_factory=dict)
    dropped: int = 0


class Client:
    """State that outlives streams; `refuses(kind, name, message)` returns a text to reject a resource."""

    def __init__(
        self,
        node: str,
        zone: str,
        rate: float,
        delta: bool = True,
        lines: bool = True,
        refuses: Callable[[str, str, Any], str | None] | None = None,
        agent: str = "swiftchute-standin",
    ) -> None:
        """`lines` asks for endpoints line by line; only a delta stream can have them so."""
        self.agent = agent
        self.node, self.zone, self.rate, self.delta, self.lines = node, zone, rate, delta, lines and delta
        self.refuses = refuses or (lambda kind, name, message: None)
        self.held: dict[str, dict[str, tuple[str, Any]]] = {url: {} for url in names.ORDER}
        self.asked: dict[str, set[str]] = {}
        self.last: dict[str, int] = {}
        self.versions: dict[str, str] = {}
        self.nonces: dict[str, str] = {}
        self.token = ""  # of the stream's nonces: an order of an earlier stream is none of this one
        self.ignored = self.applied = 0
        self.standing: dict[str, int] = {}
        self.tables: dict[str, Table] = {}
        self.counted: dict[str, Counted] = {}

    # -- streams

    def _node(self, fresh: bool) -> Node:
        node = Node(id=self.node, locality=Locality(zone=self.zone), user_agent_name=self.agent)
        node.metadata.update({"rate": self.rate, "fresh": fresh})
        if self.lines:
            node.client_features.append(names.LINES_FEATURE)
        return node

    def hello(self, fresh: bool) -> list[bytes]:
        """The first requests of a new stream; what is held is told to a delta stream."""
        self.asked, self.last, self.nonces, self.versions, self.token = {}, {}, {}, {}, ""
        first = [self._ask(kind, set(), first=True) for kind in (names.CDS, names.LDS)]
        first += [r for r in self._subscriptions(first=True) if r]
        message = (DeltaDiscoveryRequest if self.delta else DiscoveryRequest).FromString(first[0])
        message.node.CopyFrom(self._node(fresh))
        return [message.SerializeToString(), *first[1:]]

    def _needed(self) -> dict[str, set[str]]:
        eds = {c.eds_cluster_config.service_name or n for n, (_, c) in self.held[names.CDS].items()}
        rds = set()
        for _, listener in self.held[names.LDS].values():
            manager = HttpConnectionManager.FromString(listener.api_listener.api_listener.value)
            rds.add(manager.rds.route_config_name)
        leds = {
            locality.leds_cluster_locality_config.leds_collection_name
            for _, a in self.held[names.EDS].values()
            for locality in a.endpoints
        } - {""}
        return {names.EDS: eds | {names.WITHDRAWN}, names.RDS: rds, names.LEDS: leds}

    def _subscriptions(self, first: bool = False) -> list[bytes]:
        out = []
        for kind, wanted in self._needed().items():
            if wanted != self.asked.get(kind, set()) and (kind != names.LEDS or self.lines):
                out.append(self._ask(kind, wanted, first=first and kind not in self.asked))
        return out

    def _ask(self, kind: str, wanted: set[str], first: bool = False) -> bytes:
        before = self.asked.get(kind)
        self.asked[kind] = wanted
        if self.delta:
            initial = {n: version for n, (version, _) in self.held[kind].items()} if before is None else {}
            return DeltaDiscoveryRequest(
                type_url=kind,
                resource_names_subscribe=sorted(wanted - (before or set())),
                resource_names_unsubscribe=sorted((before or set()) - wanted),
                initial_resource_versions=initial,
            ).SerializeToString()
        return DiscoveryRequest(
            type_url=kind,
            resource_names=sorted(wanted),
            version_info=self.versions.get(kind, ""),
            response_nonce=self.nonces.get(kind, ""),
        ).SerializeToString()

    def receive(self, data: bytes) -> list[bytes]:
        """Apply a response once; returns the ACK or NACK, and requests for what is named now."""
        response = (DeltaDiscoveryResponse if self.delta else DiscoveryResponse).FromString(data)
        token, _, place = response.nonce.rpartition("-")
        kind, order = response.type_url, int(place)
        self.token = self.token or token
        if token != self.token or order <= self.last.get(kind, 0):
            self.ignored += 1  # delivered again: it was applied, or something newer was
            return []
        self.last[kind], self.nonces[kind] = order, response.nonce
        found, error = {}, None
        for item in response.resources:
            packed = item.resource if self.delta else item
            try:
                message = _TYPES[kind].FromString(packed.value)
            except DecodeError as why:
                error = str(why)
                break
            name = item.name if self.delta else self._name(kind, message)
            error = error or self.refuses(kind, name, message)
            found[name] = (item.version if self.delta else response.version_info, message)
        if error is None:
            if not self.delta and kind in names.WHOLE:
                self.held[kind] = {}
            self.held[kind] |= found
            for name in response.removed_resources if self.delta else ():
                self.held[kind].pop(name, None)
            self.versions[kind] = "" if self.delta else response.version_info
            self.applied += 1
            self._resolve()
        answer = (DeltaDiscoveryRequest if self.delta else DiscoveryRequest)(
            type_url=kind, response_nonce=response.nonce
        )
        if not self.delta:
            answer.resource_names.extend(sorted(self.asked.get(kind, ())))
            answer.version_info = self.versions.get(kind, "")
        if error is not None:
            answer.error_detail.code, answer.error_detail.message = 3, error
        later = self._subscriptions() if error is None else []
        if not self.delta and later:  # an ACK names what is wanted then, so it goes with the newest names
            answer.resource_names[:] = sorted(self.asked.get(kind, ()))
        return [answer.SerializeToString(), *later]

    @staticmethod
    def _name(kind: str, message: Any) -> str:
        return message.cluster_name if kind == names.EDS else message.name

    # -- tables

    def _resolve(self) -> None:
        """Follow listeners to lines; an operation whose chain is broken keeps the table it has."""
        for operation in self.held[names.LDS]:
            route = self.held[names.RDS].get(operation)
            if route is None:
                continue
            action = route[1].virtual_hosts[0].routes[0].route
            cluster = self.held[names.CDS].get(action.cluster)
            if cluster is None:
                continue
            made = self.held[names.EDS].get(cluster[1].eds_cluster_config.service_name)
            if made is None:
                continue
            lines = self._lines(made[1])
            if lines is None:
                continue
            drops = made[1].policy.drop_overloads
            retry = action.retry_policy
            spent = retry.per_try_timeout.ToNanoseconds() / 1e9 if retry.HasField("per_try_timeout") else None
            self.tables[operation] = Table(
                action.cluster,
                lines,
                1 - sum(d.drop_percentage.numerator for d in drops) / 1_000_000,
                retry.num_retries.value if retry.retry_on else 0,
                retry.retry_on == SURE,
                spent,
                action.timeout.ToNanoseconds() / 1e9 if action.HasField("timeout") else None,
            )

    def _lines(self, made: ClusterLoadAssignment) -> dict[str, int] | None:
        lines: dict[str, int] = {}
        for locality in made.endpoints:
            glob = locality.leds_cluster_locality_config.leds_collection_name
            endpoints = locality.lb_endpoints
            if glob:
                if glob not in self.asked.get(names.LEDS, ()):
                    return None
                endpoints = [m for n, (_, m) in self.held[names.LEDS].items() if n.startswith(glob[:-1])]
                if not endpoints:
                    return None
            for e in endpoints:
                if e.health_status != DRAINING:
                    lines[self._at(e)] = e.load_balancing_weight.value
        return lines

    @staticmethod
    def _at(endpoint: LbEndpoint) -> str:
        at = endpoint.endpoint.address.socket_address
        return f"{at.address}:{at.port_value}"

    def shut(self) -> set[str]:
        """Servers withdrawn for proxies that are not bound."""
        made = self.held[names.EDS].get(names.WITHDRAWN)
        return (
            {self._at(e) for locality in made[1].endpoints for e in locality.lb_endpoints} if made else set()
        )

    def table(self, operation: str) -> Table | None:
        """The table in force: the last complete one, or the standing one, less withdrawn servers."""
        shut = self.shut()
        table = self.tables.get(operation)
        if table is None:
            table = Table(f"standing/{operation}", self.standing, 1.0, 1)
        if shut & table.lines.keys():
            lines = {s: w for s, w in table.lines.items() if s not in shut}
            table = replace(table, lines=lines)
        return table if table.lines or operation in self.tables else None

    # -- sums

    def met(self, cluster: str, server: str, good: bool, took: float) -> None:
        """Count a try that ended; `took` in seconds."""
        row = self.counted.setdefault(cluster, Counted()).servers.setdefault(server, [0, 0, 0.0])
        row[0 if good else 1] += 1
        row[2] += took * 1000 if good else 0

    def dropped(self, cluster: str) -> None:
        """Count an invocation that its level turned away."""
        self.counted.setdefault(cluster, Counted()).dropped += 1

    def report(self, span: float, first: bool = False) -> bytes:
        """A load report of what was counted since the last; `span` in seconds."""
        made = LoadStatsRequest()
        if first:
            made.node.CopyFrom(self._node(False))
        for cluster, counted in sorted(self.counted.items()):
            stats = ClusterStats(
                cluster_name=cluster,
                cluster_service_name=cluster.partition("/")[0],
                total_dropped_requests=counted.dropped,
            )
            stats.load_report_interval.FromNanoseconds(int(span * 1e9))
            for server, (good, bad, took) in sorted(counted.servers.items()):
                row = stats.upstream_locality_stats.add(
                    locality=Locality(sub_zone=server),
                    total_successful_requests=int(good),
                    total_error_requests=int(bad),
                    total_issued_requests=int(good + bad),
                )
                row.load_metric_stats.add(
                    metric_name=TOOK, num_requests_finished_with_metric=int(good), total_metric_value=took
                )
            made.cluster_stats.append(stats)
        self.counted = {}
        return made.SerializeToString()
