"""The table that the requests of one operation follow, and how it is read from xDS resources."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from envoy.config.core.v3.health_check_pb2 import DRAINING
from envoy.config.endpoint.v3.endpoint_components_pb2 import LbEndpoint
from envoy.config.endpoint.v3.endpoint_pb2 import ClusterLoadAssignment
from envoy.config.route.v3.route_components_pb2 import RouteAction

from swiftchute.proxy.settings import NS_PER_S

RETRY_ON_PROOF = "refused-stream,connect-failure"  # `retry_on` of a route whose retries need proof
DROP_DENOMINATOR = 1_000_000  # of the drop percentages


@dataclass
class EndpointTable:
    """What the requests of one operation follow.

    Attributes:
        cluster: name of the cluster, which load reports name.
        weights: weight by endpoint, whole numbers of 1 or more.
        admission_rate: fraction of requests that is admitted, 0 to 1.
        max_retries: retries of one request.
        requires_proof: whether a retry needs proof that the attempt before it never ran.
        attempt_timeout_s: time of one attempt; None means the request's.
        request_timeout_s: time of a whole request; None means that of the settings.
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
    """The table of a route's action, its cluster's assignment and the weights of the assignment."""
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
    """The LEDS collections that an assignment refers to; "" stands for a locality without one."""
    return [locality.leds_cluster_locality_config.leds_collection_name for locality in assignment.endpoints]


def weights_of(
    assignment: ClusterLoadAssignment,
    collection_entries: Mapping[str, tuple[str, Any]],
    subscribed_collections: set[str],
) -> dict[str, int] | None:
    """The weights of an assignment's endpoints, without draining ones.

    Args:
        assignment: with its endpoints inside or in LEDS collections.
        collection_entries: version and endpoint by resource name, of all collections.
        subscribed_collections: collections that were asked for.

    Returns:
        Weights by endpoint, or None while a collection is not subscribed or still empty.
    """
    weights: dict[str, int] = {}
    for locality, collection in zip(assignment.endpoints, collection_names(assignment), strict=True):
        endpoints = locality.lb_endpoints
        if collection:
            if collection not in subscribed_collections:
                return None
            prefix = collection[:-1]  # the name without its glob "*"
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
    """The addresses of all endpoints inside an assignment."""
    return {
        endpoint_address(endpoint) for locality in assignment.endpoints for endpoint in locality.lb_endpoints
    }


def endpoint_address(endpoint: LbEndpoint) -> str:
    """An endpoint's address as "host:port"."""
    address = endpoint.endpoint.address.socket_address
    return f"{address.address}:{address.port_value}"
