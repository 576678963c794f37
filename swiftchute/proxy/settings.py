"""Settings of a proxy as typed values; `swiftchute.config.proxy` makes them from an HCL file."""

from dataclasses import dataclass
from enum import StrEnum

NS_PER_S = 1_000_000_000

# Constants of the sockets, which no settings file sets.
MAX_UNREAD_BYTES = 4 * 2**20  # may wait for a peer to read, before writing to it pauses
CHECK_INTERVAL_S = 0.5  # between checks for idle and silent connections
DRAIN_POLL_INTERVAL_S = 0.02  # between checks for requests in flight while the proxy stops
LISTEN_BACKLOG = 1024


class Idempotency(StrEnum):
    """What may happen to a request that reaches an endpoint twice; the values are those of settings files."""

    IDEMPOTENT = "idempotent"  # it may be executed twice
    WITH_KEY = "fingerprinted"  # an idempotency key lets some endpoints drop a duplicate
    SIDE_EFFECTING = "side-effecting"  # it must not be executed twice


class LoadBalancing(StrEnum):
    """How an endpoint is picked by weight; the values are those of settings files."""

    WEIGHTED_RANDOM = "weight"
    ROUND_ROBIN = "rotate"
    TWO_CHOICES = "two-choices"


class AdmissionDraw(StrEnum):
    """How a request is drawn against the admission rate; the values are those of settings files."""

    PER_REQUEST = "anew"  # each request is drawn independently
    PER_CALLER = "refused"  # a caller that was rejected is rejected again for a while


@dataclass(frozen=True)
class RouteSettings:
    """One operation, as far as it is known without its table.

    Attributes:
        name: name of the operation.
        request_timeout_ns: time for a whole request where the route sets none.
        idempotency: whether an attempt that may have run can be retried.
    """

    name: str
    request_timeout_ns: int
    idempotency: Idempotency


@dataclass(frozen=True)
class ProxyLimits:
    """Limits and rules of the request path.

    Attributes:
        max_in_flight: requests in flight in the whole proxy; more are rejected.
        max_in_flight_per_endpoint: requests in flight to one endpoint; 0 means no limit.
        load_balancing: how an endpoint is picked.
        ejection_failures: consecutive failures that eject an endpoint; 0 means never.
        ejection_ns: base duration of an ejection.
        retry_budget_fraction: retries allowed as a fraction of requests.
        min_retries_per_s: retries allowed beside that fraction.
        admission_draw: how requests are drawn against a table's admission rate.
    """

    max_in_flight: int = 2000
    max_in_flight_per_endpoint: int = 0
    load_balancing: LoadBalancing = LoadBalancing.WEIGHTED_RANDOM
    ejection_failures: int = 5
    ejection_ns: int = 3 * NS_PER_S
    retry_budget_fraction: float = 0.2
    min_retries_per_s: float = 3.0
    admission_draw: AdmissionDraw = AdmissionDraw.PER_REQUEST


@dataclass(frozen=True)
class PoolLimits:
    """Limits of the connections to one endpoint.

    Attributes:
        max_connections: connections to the endpoint.
        max_streams: requests at once on one connection.
        initial_streams: requests at once on a new connection.
        max_waiting: requests that may wait for a connection.
        idle_timeout_ns: time after which an unused connection is closed.
    """

    max_connections: int = 2
    max_streams: int = 100
    initial_streams: int = 4
    max_waiting: int = 200
    idle_timeout_ns: int = 60 * NS_PER_S


@dataclass(frozen=True)
class ServerSettings:
    """Settings of the proxy's sockets.

    Attributes:
        listen_address: host and port for callers; port 0 takes a free one.
        pool: limits of the connections to one endpoint; its `max_streams` holds for a caller's connection
            too, its `idle_timeout_ns` as well.
        silence_timeout_ns: time without a byte after which an endpoint with requests in flight is pinged, and
            then the time for its answer.
        connect_timeout_ns: time to establish a connection.
        max_message_bytes: body of one request or response.
        max_downstream_connections: callers' connections; more are closed unread.
        drain_timeout_ns: time that requests in flight get when the proxy stops.
    """

    listen_address: tuple[str, int] = ("127.0.0.1", 0)
    pool: PoolLimits = PoolLimits()
    silence_timeout_ns: int = 2 * NS_PER_S
    connect_timeout_ns: int = NS_PER_S
    max_message_bytes: int = 2**20
    max_downstream_connections: int = 2000
    drain_timeout_ns: int = 5 * NS_PER_S
