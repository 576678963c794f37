"""Decodes requests and encodes responses of both ADS variants, SotW and delta.

Source: envoy/service/discovery/v3/discovery.proto. Malformed messages raise `ProtocolViolationError`.
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
    """The proxy that a stream belongs to, from the `Node` of its first request."""

    id: str
    zone: str
    request_rate: float | None  # requests per second that it expects
    fresh: bool
    features: frozenset[str]


@dataclass(frozen=True)
class AdsRequest:
    """A request of either variant; SotW uses `names`, delta `subscribe`, `unsubscribe` and `initial`."""

    type_url: str
    nonce: str = ""
    error: str | None = None
    names: tuple[str, ...] = ()
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()
    initial: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class AdsResponse:
    """A response of either variant; only delta uses `removed`."""

    type_url: str
    version: str
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()


def parse_node(node: Node, zones: tuple[str, ...]) -> ProxyNode:
    """Return the proxy that a node describes.

    Raises:
        ProtocolViolationError: The node has no id, too long an id, or a zone that is not served.
    """
    if not node.id:
        raise ProtocolViolationError("INVALID_ARGUMENT", "the first request carries no node id")
    if len(node.id) > 256:
        raise ProtocolViolationError(
            "INVALID_ARGUMENT", f"node id has {len(node.id)} characters, at most 256 are allowed"
        )
    if node.locality.zone not in zones:
        raise ProtocolViolationError(
            "INVALID_ARGUMENT",
            f"node {node.id}: zone {node.locality.zone[:64]!r} is none of {', '.join(zones)}",
        )
    rate = node.metadata.fields["rate"].number_value if "rate" in node.metadata.fields else 0.0
    fresh = "fresh" not in node.metadata.fields or node.metadata.fields["fresh"].bool_value
    request_rate = rate if 0 < rate < 1e9 else None
    return ProxyNode(node.id, node.locality.zone, request_rate, fresh, frozenset(node.client_features))


def decode(data: bytes, delta: bool) -> tuple[AdsRequest, Node]:
    """Decode a request; its node may be empty after the first request of a stream.

    Raises:
        ProtocolViolationError: The bytes are not a request of this variant.
    """
    message = DeltaDiscoveryRequest() if delta else DiscoveryRequest()
    try:
        message.ParseFromString(data)
    except DecodeError:
        raise ProtocolViolationError(
            "INVALID_ARGUMENT", f"cannot decode {len(data)} bytes as {type(message).__name__}"
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
def _encode_without_nonce(
    type_url: str, delta: bool, version: str, resources: tuple[Resource, ...], removed: tuple[str, ...]
) -> bytes:
    """Encode all but the nonce: it is equal for proxies with equal tables, so it is encoded once per push."""
    if not delta:
        message = DiscoveryResponse(version_info=version, type_url=type_url)
        for resource in resources:
            message.resources.add(type_url=resource.type_url, value=resource.body)
        return message.SerializeToString()
    message = DeltaDiscoveryResponse(
        system_version_info=version, type_url=type_url, removed_resources=removed
    )
    for resource in resources:
        added = message.resources.add(name=resource.name, version=resource.version)
        added.resource.type_url, added.resource.value = resource.type_url, resource.body
    return message.SerializeToString()


def encode(response: AdsResponse, delta: bool) -> bytes:
    """Encode a response.

    The nonce is encoded apart: fields of a message may come in pieces and in any order (protobuf encoding
    page).
    """
    nonce = DeltaDiscoveryResponse(nonce=response.nonce) if delta else DiscoveryResponse(nonce=response.nonce)
    return (
        _encode_without_nonce(
            response.type_url, delta, response.version, response.resources, response.removed
        )
        + nonce.SerializeToString()
    )
