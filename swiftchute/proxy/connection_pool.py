"""The connections to one endpoint: which one is used, when another is made, who waits. No I/O, no clock.

A new connection carries a few requests at once and twice as many after each round of successes, so that an
endpoint that has just started does not receive all that waited. One connection is made at a time.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from swiftchute.proxy.settings import PoolLimits


class StreamCapacity(Protocol):
    """The framing of a connection, as far as the pool needs it."""

    @property
    def available_streams(self) -> int:
        """How many more streams the peer accepts now."""


class PoolDecision(StrEnum):
    """What to do with a request that no connection can carry now."""

    DIAL = "dial"  # make a connection and wait
    WAIT = "wait"
    FULL = "full"  # as many wait as may


@dataclass(eq=False)
class PooledConnection:
    """One connection of a pool.

    Attributes:
        framing: says how many more streams the peer accepts.
        stream_limit: requests at once that the connection may carry now.
        in_flight: requests that it carries.
        successes: successful requests since the limit was last raised.
        last_used_ns: when a request on it last started or ended.
        closing: it accepts no more requests.
    """

    framing: StreamCapacity
    stream_limit: int
    in_flight: int = 0
    successes: int = 0
    last_used_ns: int = 0
    closing: bool = False

    @property
    def available_streams(self) -> int:
        """How many more requests it may carry."""
        if self.closing:
            return 0
        return min(self.stream_limit - self.in_flight, self.framing.available_streams)


@dataclass
class ConnectionPool:
    """The connections to one endpoint.

    Attributes:
        limits: limits of the pool.
        connections: the open ones.
        dialing: connections that are being made.
        waiting: requests that wait for a connection.
    """

    limits: PoolLimits
    connections: list[PooledConnection] = field(default_factory=list)
    dialing: int = 0
    waiting: int = 0

    def select(self) -> PooledConnection | PoolDecision:
        """The connection for the next request, the one with most available streams, or what to do instead."""
        best = max(self.connections, key=lambda connection: connection.available_streams, default=None)
        if best is not None and best.available_streams > 0:
            return best
        if self.waiting >= self.limits.max_waiting:
            return PoolDecision.FULL
        if not self.dialing and len(self.connections) < self.limits.max_connections:
            return PoolDecision.DIAL
        return PoolDecision.WAIT

    def add(self, framing: StreamCapacity, now_ns: int) -> PooledConnection:
        """A connection was made."""
        connection = PooledConnection(framing, self.limits.initial_streams, last_used_ns=now_ns)
        self.connections.append(connection)
        return connection

    def remove(self, connection: PooledConnection) -> None:
        """A connection was closed."""
        if connection in self.connections:
            self.connections.remove(connection)

    def request_started(self, connection: PooledConnection, now_ns: int) -> None:
        """A request was assigned to the connection."""
        connection.in_flight += 1
        connection.last_used_ns = now_ns

    def request_ended(self, connection: PooledConnection, succeeded: bool, now_ns: int) -> None:
        """A request on the connection ended; after as many successes as its limit, the limit is doubled."""
        connection.in_flight -= 1
        connection.last_used_ns = now_ns
        connection.successes += succeeded
        max_streams = self.limits.max_streams
        if connection.successes >= connection.stream_limit and connection.stream_limit < max_streams:
            connection.stream_limit = min(2 * connection.stream_limit, max_streams)
            connection.successes = 0

    def idle_connections(self, now_ns: int) -> list[PooledConnection]:
        """Connections to close: unused for the idle timeout, or closing with nothing in flight."""
        return [connection for connection in self.connections if self._is_idle(connection, now_ns)]

    def _is_idle(self, connection: PooledConnection, now_ns: int) -> bool:
        if connection.in_flight:
            return False
        return connection.closing or now_ns - connection.last_used_ns >= self.limits.idle_timeout_ns
