"""The client side of ADS as a state machine without I/O, and the endpoint tables built from its resources.

    client = XdsClient(node, zone, request_rate_per_s)
    requests = client.open_stream(fresh)      # the first requests of a new stream
    requests = client.receive(data)           # ACK or NACK of a response, and changed subscriptions
    client.table("lot-estimate")              # EndpointTable, or None if none was received
    report = client.build_load_report(window_s)

Each response is applied at most once: it is ignored unless its nonce is newer than the last one of the same
type on the stream.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from envoy.config.cluster.v3.cluster_pb2 import Cluster
from envoy.config.core.v3.base_pb2 import Locality, Node
from envoy.config.endpoint.v3.endpoint_components_pb2 import LbEndpoint
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
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

from swiftchute.proxy.endpoint_table import (
    EndpointTable,
    collection_names,
    endpoint_addresses,
    table_from_resources,
    weights_of,
)
from swiftchute.proxy.errors import ControlPlaneResponseError
from swiftchute.proxy.load_stats import ClusterLoad
from swiftchute.xds import names

INVALID_ARGUMENT = 3  # google.rpc code of a NACK
STATIC_TABLE_RETRIES = 1  # max_retries of tables built from the static endpoints

# Called with type URL, resource name and message; returns the cause of a rejection, or None.
ResourceValidator = Callable[[str, str, Any], str | None]
Resources = dict[str, tuple[str, Any]]  # version and message by resource name

_MESSAGE_TYPES: dict[str, Any] = {
    names.CDS: Cluster,
    names.EDS: ClusterLoadAssignment,
    names.LEDS: LbEndpoint,
    names.LDS: Listener,
    names.RDS: RouteConfiguration,
}


class XdsClient:
    """xDS client state, which outlives the streams to the control plane.

    Attributes:
        resources: accepted resources by type URL.
        tables: the last complete table by operation.
        static_endpoints: weights by endpoint, used for operations that have no table yet.
        load_by_cluster: load since the last load report.
        applied: number of accepted responses.
        ignored: number of duplicate or out-of-date responses.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        request_rate_per_s: float,
        delta: bool = True,
        endpoint_collections: bool = True,
        validate: ResourceValidator | None = None,
        agent: str = "swiftchute-standin",
    ) -> None:
        """Create a client without an open stream.

        Args:
            node: name of this proxy.
            zone: zone of this proxy.
            request_rate_per_s: request rate that this proxy expects.
            delta: use the incremental (delta) protocol variant instead of state-of-the-world.
            endpoint_collections: subscribe to individual endpoints (LEDS); requires `delta`.
            validate: may reject a resource.
            agent: user agent of the node.
        """
        self.node = node
        self.zone = zone
        self.request_rate_per_s = request_rate_per_s
        self.delta = delta
        self.endpoint_collections = endpoint_collections and delta
        self.validate: ResourceValidator = validate or (lambda type_url, name, message: None)
        self.agent = agent
        self.resources: dict[str, Resources] = {type_url: {} for type_url in names.ORDER}
        self.static_endpoints: dict[str, int] = {}
        self.tables: dict[str, EndpointTable] = {}
        self.load_by_cluster: dict[str, ClusterLoad] = {}
        self.applied = 0
        self.ignored = 0
        self._request_type = DeltaDiscoveryRequest if delta else DiscoveryRequest
        self._response_type = DeltaDiscoveryResponse if delta else DiscoveryResponse
        self._reset_stream_state()

    def _reset_stream_state(self) -> None:
        self._subscribed: dict[str, set[str]] = {}
        self._last_sequence_number: dict[str, int] = {}  # sequence number of the last nonce, by type URL
        self._nonces: dict[str, str] = {}
        self._versions: dict[str, str] = {}
        self._nonce_prefix = ""  # identifies this stream; responses of earlier streams are ignored

    def open_stream(self, fresh: bool) -> list[bytes]:
        """Return the first requests of a new stream; with delta they list the known resource versions.

        Args:
            fresh: whether this proxy has no tables yet.
        """
        self._reset_stream_state()
        requests = [self._subscribe(type_url, set()) for type_url in (names.CDS, names.LDS)]
        requests += self._changed_subscriptions()
        message = self._request_type.FromString(requests[0])
        message.node.CopyFrom(self._node(fresh))
        return [message.SerializeToString(), *requests[1:]]

    def receive(self, data: bytes) -> list[bytes]:
        """Apply a response unless it is a duplicate or out of date.

        Args:
            data: a serialized response of the stream's protocol variant.

        Returns:
            The ACK or NACK, followed by subscription changes; empty for an ignored response.

        Raises:
            ControlPlaneResponseError: the response is not one of the protocol; no table is changed.
        """
        try:
            return self._receive(data)
        except (DecodeError, KeyError, ValueError, IndexError) as error:
            raise ControlPlaneResponseError(f"{type(error).__name__}: {error}") from None

    def _receive(self, data: bytes) -> list[bytes]:
        response = self._response_type.FromString(data)
        type_url = response.type_url
        if not self._accept_nonce(type_url, response.nonce):
            self.ignored += 1
            return []
        resources, error = self._decode(type_url, response)
        if error is not None:
            return [self._acknowledgement(type_url, response.nonce, error).SerializeToString()]
        self._apply(type_url, resources, response)
        acknowledgement = self._acknowledgement(type_url, response.nonce, None)
        requests = self._changed_subscriptions()
        if not self.delta and requests:  # an ACK lists the subscription, so it must have the new names
            acknowledgement.resource_names[:] = sorted(self._subscribed.get(type_url, ()))
        return [acknowledgement.SerializeToString(), *requests]

    def table(self, operation: str) -> EndpointTable | None:
        """Return the last complete table, or else the static one, without withdrawn endpoints."""
        withdrawn = self.withdrawn_endpoints()
        table = self.tables.get(operation)
        if table is None:
            table = EndpointTable(f"standing/{operation}", self.static_endpoints, 1.0, STATIC_TABLE_RETRIES)
        if withdrawn & table.weights.keys():
            weights = {
                endpoint: weight for endpoint, weight in table.weights.items() if endpoint not in withdrawn
            }
            table = replace(table, weights=weights)
        return table if table.weights or operation in self.tables else None

    def withdrawn_endpoints(self) -> set[str]:
        """Endpoints that must not be used, even if a table contains them."""
        resource = self.resources[names.EDS].get(names.WITHDRAWN)
        return endpoint_addresses(resource[1]) if resource else set()

    def record_attempt(self, cluster: str, endpoint: str, succeeded: bool, latency_s: float) -> None:
        """Count a completed attempt for the load report."""
        self._cluster_load(cluster).endpoint(endpoint).record(succeeded, latency_s)

    def record_drop(self, cluster: str) -> None:
        """Count a request rejected by the admission rate."""
        self._cluster_load(cluster).dropped += 1

    def build_load_report(self, window_s: float, first: bool = False) -> bytes:
        """Build a LoadStatsRequest of the load since the last one; the first of a stream names the node."""
        report = LoadStatsRequest()
        if first:
            report.node.CopyFrom(self._node(fresh=False))
        for cluster, load in sorted(self.load_by_cluster.items()):
            report.cluster_stats.append(load.to_cluster_stats(cluster, window_s))
        self.load_by_cluster = {}
        return report.SerializeToString()

    def _cluster_load(self, cluster: str) -> ClusterLoad:
        load = self.load_by_cluster.get(cluster)
        if load is None:
            load = self.load_by_cluster[cluster] = ClusterLoad()
        return load

    def _node(self, fresh: bool) -> Node:
        node = Node(id=self.node, locality=Locality(zone=self.zone), user_agent_name=self.agent)
        node.metadata.update({"rate": self.request_rate_per_s, "fresh": fresh})
        if self.endpoint_collections:
            node.client_features.append(names.LEDS_FEATURE)
        return node

    def _accept_nonce(self, type_url: str, nonce: str) -> bool:
        """Whether a nonce is of this stream and newer than the last of its type; if so, record it."""
        prefix, _, number_text = nonce.rpartition("-")
        sequence_number = int(number_text)
        self._nonce_prefix = self._nonce_prefix or prefix
        if prefix != self._nonce_prefix or sequence_number <= self._last_sequence_number.get(type_url, 0):
            return False
        self._last_sequence_number[type_url] = sequence_number
        self._nonces[type_url] = nonce
        return True

    def _decode(self, type_url: str, response: Any) -> tuple[Resources, str | None]:
        """Decode the resources of a response; also returns the cause of a rejection, or None."""
        resources: Resources = {}
        error = None
        for item in response.resources:
            packed = item.resource if self.delta else item
            try:
                message = _MESSAGE_TYPES[type_url].FromString(packed.value)
                if type_url == names.LDS:
                    HttpConnectionManager.FromString(message.api_listener.api_listener.value)
            except DecodeError as decode_error:
                return resources, str(decode_error)
            name = item.name if self.delta else _resource_name(type_url, message)
            error = error or self.validate(type_url, name, message)
            resources[name] = (item.version if self.delta else response.version_info, message)
        return resources, error

    def _apply(self, type_url: str, resources: Resources, response: Any) -> None:
        if not self.delta and type_url in names.FULL_STATE_TYPES:
            self.resources[type_url] = {}
        self.resources[type_url] |= resources
        if self.delta:
            for name in response.removed_resources:
                self.resources[type_url].pop(name, None)
        self._versions[type_url] = "" if self.delta else response.version_info
        self.applied += 1
        self._update_tables()

    def _acknowledgement(self, type_url: str, nonce: str, error: str | None) -> Any:
        message = self._request_type(type_url=type_url, response_nonce=nonce)
        if not self.delta:
            message.resource_names.extend(sorted(self._subscribed.get(type_url, ())))
            message.version_info = self._versions.get(type_url, "")
        if error is not None:
            message.error_detail.code = INVALID_ARGUMENT
            message.error_detail.message = error
        return message

    def _changed_subscriptions(self) -> list[bytes]:
        requests = []
        for type_url, wanted in self._referenced_names().items():
            if type_url == names.LEDS and not self.endpoint_collections:
                continue
            if wanted != self._subscribed.get(type_url, set()):
                requests.append(self._subscribe(type_url, wanted))
        return requests

    def _referenced_names(self) -> dict[str, set[str]]:
        """Names that the accepted resources refer to, by type URL."""
        assignments = {
            cluster.eds_cluster_config.service_name or name
            for name, (_, cluster) in self.resources[names.CDS].items()
        }
        routes = set()
        for _, listener in self.resources[names.LDS].values():
            manager = HttpConnectionManager.FromString(listener.api_listener.api_listener.value)
            routes.add(manager.rds.route_config_name)
        collections = {
            collection
            for _, assignment in self.resources[names.EDS].values()
            for collection in collection_names(assignment)
        } - {""}
        return {names.EDS: assignments | {names.WITHDRAWN}, names.RDS: routes, names.LEDS: collections}

    def _subscribe(self, type_url: str, wanted: set[str]) -> bytes:
        previous_names = self._subscribed.get(type_url)
        self._subscribed[type_url] = wanted
        if not self.delta:
            return DiscoveryRequest(
                type_url=type_url,
                resource_names=sorted(wanted),
                version_info=self._versions.get(type_url, ""),
                response_nonce=self._nonces.get(type_url, ""),
            ).SerializeToString()
        initial_versions = {}
        if previous_names is None:
            initial_versions = {name: version for name, (version, _) in self.resources[type_url].items()}
        return DeltaDiscoveryRequest(
            type_url=type_url,
            resource_names_subscribe=sorted(wanted - (previous_names or set())),
            resource_names_unsubscribe=sorted((previous_names or set()) - wanted),
            initial_resource_versions=initial_versions,
        ).SerializeToString()

    def _update_tables(self) -> None:
        """Build tables from listeners down to endpoints; with a resource missing, the old table is kept."""
        for operation in self.resources[names.LDS]:
            table = self._complete_table(operation)
            if table is not None:
                self.tables[operation] = table

    def _complete_table(self, operation: str) -> EndpointTable | None:
        """Build an operation's table from its resources; None if a resource is missing."""
        route = self.resources[names.RDS].get(operation)
        if route is None or not route[1].virtual_hosts or not route[1].virtual_hosts[0].routes:
            return None
        action = route[1].virtual_hosts[0].routes[0].route
        cluster = self.resources[names.CDS].get(action.cluster)
        if cluster is None:
            return None
        assignment = self.resources[names.EDS].get(cluster[1].eds_cluster_config.service_name)
        if assignment is None:
            return None
        weights = weights_of(
            assignment[1], self.resources[names.LEDS], self._subscribed.get(names.LEDS, set())
        )
        if weights is None:
            return None
        return table_from_resources(action, assignment[1], weights)


def _resource_name(type_url: str, message: Any) -> str:
    """The resource's name, taken from the message: state-of-the-world responses have no separate name."""
    return message.cluster_name if type_url == names.EDS else message.name
