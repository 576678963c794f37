"""Events that the policy handles in a reconciliation round, one class each.

Events are handled in order of arrival. Load and demand reports are sums over a window that has ended;
`window_ns` is its length.
"""

from collections.abc import Hashable

import msgspec

from swiftchute.api.endpoints import EndpointRecord, ListScope

ProxyId = Hashable
LoadFigures = dict[str, float]


class Event(msgspec.Struct, frozen=True):
    """Base class of all events."""


class EndpointListUpdate(Event, frozen=True):
    """Discovery delivered a full list or changes to it, or the subscription was lost."""

    scope: ListScope | str
    endpoints: list[EndpointRecord]


class ProxyConnected(Event, frozen=True):
    """A proxy connected and accepts messages of this instance from now on."""

    proxy: ProxyId
    zone: str
    request_rate: float  # requests per second that the proxy expects to receive
    fresh: bool  # the proxy holds no tables from an earlier session


class ProxyDisconnected(Event, frozen=True):
    """The session of a proxy ended; messages queued for it are lost."""

    proxy: ProxyId


class EndpointLoadReport(Event, frozen=True):
    """Attempts at one endpoint by the connected proxies of one zone."""

    zone: str  # of the proxies
    endpoint: str
    attempts: int
    failures: int
    mean_latency_ns: int  # of the successful attempts; 0 if there are none
    window_ns: int
    load: LoadFigures | None  # load figures that the endpoint reported about itself


class DemandReport(Event, frozen=True):
    """Requests for one operation that arrived at one connected proxy."""

    proxy: ProxyId
    operation: str
    requests: int
    failures: int
    window_ns: int


class PushAcknowledged(Event, frozen=True):
    """A proxy applied all messages up to and including the one that carried this nonce."""

    proxy: ProxyId
    nonce: int
    latency_ns: int  # from the command to the acknowledgement


class EgressQueueObserved(Event, frozen=True):
    """Upper bound of the entries queued in the channel at the start of a round, for any proxy and writer."""

    entries: int  # including the overhead of each message


class TimerFired(Event, frozen=True):
    """A timer that the policy started has expired."""

    timer_id: int


class ProbeCompleted(Event, frozen=True):
    """A health check that the policy requested has completed."""

    endpoint: str
    outcome: str  # "answered", or the reason for the failure
    latency_ns: int
    load: LoadFigures | None


class PeerMessageReceived(Event, frozen=True):
    """Another instance of the controller sent bytes."""

    peer: int
    payload: bytes


class KeyRangeAssigned(Event, frozen=True):
    """This instance owns a key range from now on."""

    key_range: int


class KeyRangeRevoked(Event, frozen=True):
    """This instance no longer owns a key range."""

    key_range: int


class KeyRangeEntryRestored(Event, frozen=True):
    """The table of a key range already holds an entry."""

    key_range: int
    endpoint: str
    weight: float


class KeyRangeDemandReport(Event, frozen=True):
    """Requests for one operation that arrived for one key range."""

    key_range: int
    operation: str
    requests: int
    failures: int
    window_ns: int
