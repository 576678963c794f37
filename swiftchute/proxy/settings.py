"""Typed settings of a proxy; `swiftchute.config.proxy` loads them from an HCL file."""

from dataclasses import dataclass
from enum import StrEnum

NS_PER_S = 1_000_000_000

# Socket constants, which are not configurable.
MAX_UNREAD_BYTES = 4 * 2**20  # write-buffer limit per connection, above which writing pauses
CHECK_INTERVAL_S = 0.5  # between checks for idle and unresponsive connections
DRAIN_POLL_INTERVAL_S = 0.02  # between checks for requests in flight while the proxy stops
LISTEN_BACKLOG = 1024


class Idempotency(StrEnum):
    """Whether a request may be executed twice; the values are those of settings files."""

    IDEMPOTENT = "idempotent"  # may be executed twice
    WITH_KEY = "fingerprinted"  # has an idempotency key, by which some endpoints drop duplicates
    SIDE_EFFECTING = "side-effecting"  # must not be executed twice


class LoadBalancing(StrEnum):
    """Load-balancing algorithm; the values are those of settings files."""

    WEIGHTED_RANDOM = "weight"
    ROUND_ROBIN = "rotate"
    TWO_CHOICES = "two-choices"


class AdmissionDraw(StrEnum):
    """Random draw against the admission rate; the values are those of settings files."""

    PER_REQUEST = "anew"  # an independent draw for each request
    PER_CALLER = "refused"  # a caller that was rejected stays rejected for a while


@dataclass(frozen=True)
class RouteSettings:
    """Settings of one operation that do not come from its table.

    Attributes:
        name: name of the operation.
        request_timeout_ns: timeout of a whole request if its table sets none.
        idempotency: whether a request that may have been executed can be retried.
    """

    name: str
    request_timeout_ns: int
    idempotency: Idempotency


@dataclass(frozen=True)
class ProxyLimits:
    """Limits and rules of the request path.

    Attributes:
        max_in_flight: limit of requests in flight in the whole proxy; more are rejected.
        max_in_flight_per_endpoint: limit of requests in flight to one endpoint; 0 means no limit.
        load_balancing: load-balancing algorithm.
        ejection_failures: consecutive failures that eject an endpoint; 0 means never.
        ejection_ns: base duration of an ejection.
        retry_budget_fraction: retries allowed as a fraction of requests.
        min_retries_per_s: retries allowed per second even without requests; added to that fraction.
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
        max_connections: limit of connections to the endpoint.
        max_streams: limit of concurrent requests on one connection.
        initial_streams: limit of concurrent requests on a new connection.
        max_waiting: limit of requests that wait for a connection.
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
        pool: limits of the connections to one endpoint; its `max_streams` and `idle_timeout_ns` also apply to
            callers' connections.
        silence_timeout_ns: time without received bytes after which a connection with requests in flight is
            pinged, and then the timeout of the answer.
        connect_timeout_ns: time limit for establishing a connection.
        max_message_bytes: size limit of the body of a request or response.
        max_buffered_bytes: limit of the memory that all callers together may take, each for unfinished
            requests, for requests in flight and for responses that they have not read.
        max_downstream_connections: limit of callers' connections; more are closed unread.
        drain_timeout_ns: time that requests in flight get to complete when the proxy stops.
    """

    listen_address: tuple[str, int] = ("127.0.0.1", 0)
    pool: PoolLimits = PoolLimits()
    silence_timeout_ns: int = 2 * NS_PER_S
    connect_timeout_ns: int = NS_PER_S
    max_message_bytes: int = 2**20
    max_buffered_bytes: int = 2**26
    max_downstream_connections: int = 2000
    drain_timeout_ns: int = 5 * NS_PER_S
