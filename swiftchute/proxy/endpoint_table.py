"""The endpoint table of an operation, and how it is built from xDS resources."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from envoy.config.core.v3.health_check_pb2 import DRAINING
from envoy.config.endpoint.v3.endpoint_components_pb2 import LbEndpoint
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from envoy.config.route.v3.route_components_pb2 import RouteAction

from swiftchute.proxy.settings import NS_PER_S

RETRY_ON_PROOF = "refused-stream,connect-failure"  # `retry_on` of a route that requires proof for retries
DROP_DENOMINATOR = 1_000_000  # denominator of the drop percentages


@dataclass
class EndpointTable:
    """How the requests of one operation are routed.

    Attributes:
        cluster: name of the cluster, used in load reports.
        weights: weight by endpoint, integers of 1 or more.
        admission_rate: fraction of requests that is admitted, 0 to 1.
        max_retries: limit of retries per request.
        requires_proof: whether a retry requires proof that the previous attempt was never executed.
        attempt_timeout_s: timeout of one attempt; None means that of the request.
        request_timeout_s: timeout of a whole request; None means that of the settings.
    """

    cluster: str
    weights: dict[str, int]
    admission_rate: float = 1.0
    max_retries: int = 0
    requires_proof: bool = True
    attempt_timeout_s: float | None = None
    request_timeout_s: float | None = None


def table_from_resources(
    action: RouteAction, assignment: ClusterLoadAssignment, weights: dict[str, int]
) -> EndpointTable:
    """Build a table from a route's action, its cluster's load assignment and the assignment's weights."""
    retry_policy = action.retry_policy
    attempt_timeout_s = request_timeout_s = None
    if retry_policy.HasField("per_try_timeout"):
        attempt_timeout_s = retry_policy.per_try_timeout.ToNanoseconds() / NS_PER_S
    if action.HasField("timeout"):
        request_timeout_s = action.timeout.ToNanoseconds() / NS_PER_S
    drops = assignment.policy.drop_overloads
    return EndpointTable(
        cluster=action.cluster,
        weights=weights,
        admission_rate=1 - sum(drop.drop_percentage.numerator for drop in drops) / DROP_DENOMINATOR,
        max_retries=retry_policy.num_retries.value if retry_policy.retry_on else 0,
        requires_proof=retry_policy.retry_on == RETRY_ON_PROOF,
        attempt_timeout_s=attempt_timeout_s,
        request_timeout_s=request_timeout_s,
    )


def collection_names(assignment: ClusterLoadAssignment) -> list[str]:
    """LEDS collections that an assignment refers to, one per locality; "" for a locality without one."""
    return [locality.leds_cluster_locality_config.leds_collection_name for locality in assignment.endpoints]


def weights_of(
    assignment: ClusterLoadAssignment,
    collection_entries: Mapping[str, tuple[str, Any]],
    subscribed_collections: set[str],
) -> dict[str, int] | None:
    """Return the weights of an assignment's endpoints, without draining ones.

    Args:
        assignment: load assignment with inline endpoints or references to LEDS collections.
        collection_entries: version and endpoint by resource name, of all collections.
        subscribed_collections: collections that the client has subscribed to.

    Returns:
        Weights by endpoint, or None while a collection is not subscribed or still empty.
    """
    weights: dict[str, int] = {}
    for locality, collection in zip(assignment.endpoints, collection_names(assignment), strict=True):
        endpoints = locality.lb_endpoints
        if collection:
            if collection not in subscribed_collections:
                return None
            prefix = collection[:-1]  # the name without its trailing glob "*"
            endpoints = [
                endpoint for name, (_, endpoint) in collection_entries.items() if name.startswith(prefix)
            ]
            if not endpoints:
                return None
        for endpoint in endpoints:
            if endpoint.health_status != DRAINING:
                weights[endpoint_address(endpoint)] = endpoint.load_balancing_weight.value
    return weights


def endpoint_addresses(assignment: ClusterLoadAssignment) -> set[str]:
    """The addresses of all inline endpoints of an assignment."""
    return {
        endpoint_address(endpoint) for locality in assignment.endpoints for endpoint in locality.lb_endpoints
    }


def endpoint_address(endpoint: LbEndpoint) -> str:
    """Return an endpoint's address as "host:port"."""
    address = endpoint.endpoint.address.socket_address
    return f"{address.address}:{address.port_value}"
