"""Connection pool of one endpoint: selects a connection, or decides to dial or wait. No I/O, no clock.

A new connection starts with a low stream limit, which doubles after each round of successes, so that an
endpoint that has just started does not receive all waiting requests at once. One connection is dialed at a
time.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from swiftchute.proxy.settings import PoolLimits


class StreamCapacity(Protocol):
    """The part of a connection's framing that the pool needs."""

    @property
    def available_streams(self) -> int:
        """How many more streams the peer accepts now."""


class PoolDecision(StrEnum):
    """What to do with a request while no connection has a free stream."""

    DIAL = "dial"  # open a connection and wait for it
    WAIT = "wait"
    TOO_MANY_WAITING = "full"  # the limit of waiting requests is reached


@dataclass(eq=False)
class PooledConnection:
    """One connection of a pool.

    Attributes:
        framing: reports how many more streams the peer accepts.
        stream_limit: current limit of concurrent requests.
        in_flight: requests in flight.
        successes: successful requests since the limit was last raised.
        last_used_ns: when a request last started or ended.
        closing: whether it accepts no more requests.
    """

    framing: StreamCapacity
    stream_limit: int
    in_flight: int = 0
    successes: int = 0
    last_used_ns: int = 0
    closing: bool = False

    @property
    def available_streams(self) -> int:
        """How many more requests the connection may carry."""
        if self.closing:
            return 0
        return min(self.stream_limit - self.in_flight, self.framing.available_streams)


@dataclass
class ConnectionPool:
    """The connections to one endpoint.

    Attributes:
        limits: limits of the pool.
        connections: open connections.
        dialing: number of connections being established.
        waiting: number of requests that wait for a connection.
    """

    limits: PoolLimits
    connections: list[PooledConnection] = field(default_factory=list)
    dialing: int = 0
    waiting: int = 0

    def select(self) -> PooledConnection | PoolDecision:
        """Return the connection with the most available streams, or what to do if none has any."""
        best = max(self.connections, key=lambda connection: connection.available_streams, default=None)
        if best is not None and best.available_streams > 0:
            return best
        if self.waiting >= self.limits.max_waiting:
            return PoolDecision.TOO_MANY_WAITING
        if not self.dialing and len(self.connections) < self.limits.max_connections:
            return PoolDecision.DIAL
        return PoolDecision.WAIT

    def add(self, framing: StreamCapacity, now_ns: int) -> PooledConnection:
        """Add a connection that was established."""
        connection = PooledConnection(framing, self.limits.initial_streams, last_used_ns=now_ns)
        self.connections.append(connection)
        return connection

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that was closed."""
        if connection in self.connections:
            self.connections.remove(connection)

    def request_started(self, connection: PooledConnection, now_ns: int) -> None:
        """Record that a request was assigned to the connection."""
        connection.in_flight += 1
        connection.last_used_ns = now_ns

    def request_ended(self, connection: PooledConnection, succeeded: bool, now_ns: int) -> None:
        """Record the end of a request; the stream limit doubles after as many successes as the limit."""
        connection.in_flight -= 1
        connection.last_used_ns = now_ns
        connection.successes += succeeded
        max_streams = self.limits.max_streams
        if connection.successes >= connection.stream_limit and connection.stream_limit < max_streams:
            connection.stream_limit = min(2 * connection.stream_limit, max_streams)
            connection.successes = 0

    def idle_connections(self, now_ns: int) -> list[PooledConnection]:
        """Connections to close: those without requests that reached the idle timeout or are closing."""
        return [connection for connection in self.connections if self._is_idle(connection, now_ns)]

    def _is_idle(self, connection: PooledConnection, now_ns: int) -> bool:
        if connection.in_flight:
            return False
        return connection.closing or now_ns - connection.last_used_ns >= self.limits.idle_timeout_ns
