"""Requests and replies of both forms of ADS, between the wire's bytes and plain dataclasses.

Source: envoy/service/discovery/v3/discovery.proto. Bytes that are no such message raise `Violation`.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache

from envoy.config.core.v3.base_pb2 import Node
from envoy.service.discovery.v3.discovery_pb2 import (
    DeltaDiscoveryRequest,
    DeltaDiscoveryResponse,
    DiscoveryRequest,
    DiscoveryResponse,
)
from google.protobuf.message import DecodeError

from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.resources import Resource


@dataclass(frozen=True)
class ProxyNode:
    """Who a stream belongs to: `Node.id`, its zone, invocations a second it expects, and what it can do."""

    node: str
    zone: str
    request_rate: float | None  # requests per second that it expects
    fresh: bool
    features: frozenset[str]


@dataclass(frozen=True)
class AdsRequest:
    """A request of either form; a SotW one has `names`, a delta one has `subscribe` and `unsubscribe`."""

    kind: str
    nonce: str = ""
    error: str | None = None
    names: tuple[str, ...] = ()
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class AdsResponse:
    """A response of either form; `removed` is of the delta form only."""

    kind: str
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()


def parse_node(node: Node, zones: tuple[str, ...]) -> ProxyNode:
    """Read a node; one without id or of a zone that is not served is a `Violation`."""
    if not node.id:
        raise ProtocolViolationError("INVALID_ARGUMENT", "the first request carries no node id")
    if len(node.id) > 256:
        raise ProtocolViolationError("INVALID_ARGUMENT", f"node id of {len(node.id)} characters; 256 at most")
    if node.locality.zone not in zones:
        raise ProtocolViolationError(
            "INVALID_ARGUMENT",
            f"node {node.id}: zone {node.locality.zone[:64]!r} is none of {', '.join(zones)}",
        )
    rate = node.metadata.fields["rate"].number_value if "rate" in node.metadata.fields else 0.0
    fresh = "fresh" not in node.metadata.fields or node.metadata.fields["fresh"].bool_value
    known = rate if 0 < rate < 1e9 else None
    return ProxyNode(node.id, node.locality.zone, known, fresh, frozenset(node.client_features))


def decode(data: bytes, delta: bool) -> tuple[AdsRequest, Node]:
    """Bytes of a request; the node may be empty after the first on a stream."""
    message = DeltaDiscoveryRequest() if delta else DiscoveryRequest()
    try:
        message.ParseFromString(data)
    except DecodeError:
        raise ProtocolViolationError(
            "INVALID_ARGUMENT", f"{len(data)} bytes that are no {type(message).__name__}"
        ) from None
    error = message.error_detail.message[:500] if message.HasField("error_detail") else None
    if delta:
        return AdsRequest(
            message.type_url,
            message.response_nonce,
            error,
            subscribe=tuple(message.resource_names_subscribe),
            unsubscribe=tuple(message.resource_names_unsubscribe),
            initial=dict(message.initial_resource_versions),
        ), message.node
    return AdsRequest(
        message.type_url, message.response_nonce, error, names=tuple(message.resource_names)
    ), message.node


@lru_cache(maxsize=1024)
def _body(
    kind: str, delta: bool, version: str, resources: tuple[Resource, ...], removed: tuple[str, ...]
) -> bytes:
    """All of a response but its nonce: the same for every proxy of a group, so it is encoded once a push."""
    if not delta:
        made = DiscoveryResponse(version_info=version, type_url=kind)
        for resource in resources:
            made.resources.add(type_url=resource.kind, value=resource.body)
        return made.SerializeToString()
    made = DeltaDiscoveryResponse(system_version_info=version, type_url=kind, removed_resources=removed)
    for resource in resources:
        added = made.resources.add(name=resource.name, version=resource.version)
        added.resource.type_url, added.resource.value = resource.kind, resource.body
    return made.SerializeToString()


def encode(reply: AdsResponse, delta: bool) -> bytes:
    """Return the bytes of a response.

    Fields of a message may come in pieces and in any order (protobuf encoding page).
    """
    nonce = DeltaDiscoveryResponse(nonce=reply.nonce) if delta else DiscoveryResponse(nonce=reply.nonce)
    return _body(reply.kind, delta, reply.version, reply.resources, reply.removed) + nonce.SerializeToString()
