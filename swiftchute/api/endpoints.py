"""Endpoint records as discovery delivers them."""

from enum import StrEnum
from typing import NamedTuple


class EndpointState(StrEnum):
    """Whether an endpoint may receive requests."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests in flight, must not receive new ones
    REMOVED = "gone"  # no longer in the endpoint list


class ListScope(StrEnum):
    """How an endpoint list update relates to the list before it."""

    DELTA = "changes"  # contains only the endpoints that changed
    SNAPSHOT = "whole"  # endpoints that it does not contain are removed
    CACHED = "held"  # a snapshot of the last good list, used at a start
    UNAVAILABLE = "lost"  # the subscription broke; carries no endpoints


class EndpointRecord(NamedTuple):
    """An endpoint as described by the endpoint list."""

    endpoint: str  # identifier, for example address:port
    zone: str
    kind: str  # hardware or instance type
    cell: int  # failure domain within the zone
    state: EndpointState | str
    weight: float  # capacity relative to other endpoints
    started_ns: int  # time of its last start, 0 if unknown
