"""What reaches the policy in one reconciliation round, as one class per event.

Events are handled in the order in which they came in. Load reports are sums over a window that has ended;
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
    """Discovery delivered a list, changes to it, or the loss of the subscription."""

    scope: ListScope | str
    endpoints: list[EndpointRecord]


class ProxyConnected(Event, frozen=True):
    """A proxy takes this instance's messages from now on."""

    proxy: ProxyId
    zone: str
    request_rate: float  # requests per second that the proxy expects
    fresh: bool  # the proxy holds no tables of an earlier session


class ProxyDisconnected(Event, frozen=True):
    """The session of a proxy ended; messages that were queued for it are lost."""

    proxy: ProxyId


class EndpointLoadReport(Event, frozen=True):
    """Attempts that the connected proxies of one zone made at one endpoint."""

    zone: str  # of the proxies
    endpoint: str
    attempts: int
    failures: int
    mean_latency_ns: int  # of the successful attempts; 0 without any
    window_ns: int
    load: LoadFigures | None  # figures that the endpoint reported of itself


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
    """What may wait in the channel to the proxies at the start of a round, whoever wrote it and to whom."""

    entries: int  # with the overhead of each message


class TimerFired(Event, frozen=True):
    """A timer that the policy started is due."""

    timer_id: int


class ProbeCompleted(Event, frozen=True):
    """A health check that the policy requested ended."""

    endpoint: str
    outcome: str  # "answered", or the reason why it was not
    latency_ns: int
    load: LoadFigures | None


class PeerMessageReceived(Event, frozen=True):
    """Bytes from another instance of the controller."""

    peer: int
    payload: bytes


class KeyRangeAssigned(Event, frozen=True):
    """This instance owns a key range from now on."""

    key_range: int


class KeyRangeRevoked(Event, frozen=True):
    """This instance no longer owns a key range."""

    key_range: int


class KeyRangeEntryRestored(Event, frozen=True):
    """An entry that the table of a key range already holds."""

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
