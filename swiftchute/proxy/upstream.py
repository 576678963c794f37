"""All connections to one endpoint in one HTTP version: dialing, waiting requests and the connection pool."""

import asyncio
from collections import deque
from enum import Enum, auto

from swiftchute.proxy.connection_pool import ConnectionPool, PoolDecision, PooledConnection
from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http2_connection import Http2Connection
from swiftchute.proxy.settings import NS_PER_S, ServerSettings
from swiftchute.proxy.upstream_connection import Clock, UpstreamConnection


class NoConnection(Enum):
    """Why no connection could be acquired."""

    TOO_MANY_WAITING = auto()  # the limit of waiting requests is reached
    TIMED_OUT = auto()
    UNREACHABLE = auto()


class Upstream:
    """The connections to one endpoint.

    Attributes:
        pool: selects the connection for each request.
        connections: the asyncio protocol of each pooled connection.
    """

    def __init__(self, endpoint: str, http2: bool, settings: ServerSettings, clock: Clock) -> None:
        """Create an upstream; connections are made on demand.

        Args:
            endpoint: "host:port".
            http2: whether to use HTTP/2; otherwise HTTP/1.1.
            settings: limits and timeouts.
            clock: returns the current time in ns.
        """
        self.endpoint = endpoint
        self.pool = ConnectionPool(settings.pool)
        self.connections: dict[PooledConnection, UpstreamConnection] = {}
        self._http2 = http2
        self._settings = settings
        self._clock = clock
        self._waiters: deque[asyncio.Future[bool]] = deque()  # True: ask the pool again; False: unreachable
        self._dial_task: asyncio.Task | None = None

    @property
    def is_unused(self) -> bool:
        """Whether there are no connections and no request waits for one."""
        return not self.pool.connections and not self._waiters

    async def acquire(self, deadline_ns: int) -> PooledConnection | NoConnection:
        """Return a connection with room for one more request; waits for one until the deadline."""
        while True:
            decision = self.pool.select()
            if isinstance(decision, PooledConnection):
                return decision
            if decision is PoolDecision.TOO_MANY_WAITING:
                return NoConnection.TOO_MANY_WAITING
            if decision is PoolDecision.DIAL:
                self.pool.dialing += 1
                self._dial_task = asyncio.ensure_future(self._dial())
            failure = await self._wait_until_woken(deadline_ns)
            if failure is not None:
                return failure

    def release_unused(self) -> None:
        """Wake the next waiting request: an acquired connection was not used; `acquire` reserves nothing."""
        self._wake(True, 1)

    def request_ended(self, connection: PooledConnection, succeeded: bool) -> None:
        """Record the end of a request, and wake as many waiting requests as the connection has room for."""
        self.pool.request_ended(connection, succeeded, self._clock())
        self._wake(True, max(connection.available_streams, 0))

    def check_connections(self) -> None:
        """Close idle connections, and ping or close unresponsive ones."""
        now_ns = self._clock()
        for pooled in self.pool.idle_connections(now_ns):
            self.connections[pooled].close()
        for connection in list(self.connections.values()):
            connection.check_alive(now_ns, self._settings.silence_timeout_ns)

    def close(self) -> None:
        """Cancel dialing and close all connections immediately."""
        if self._dial_task is not None:
            self._dial_task.cancel()
        for connection in list(self.connections.values()):
            connection.close()

    async def _wait_until_woken(self, deadline_ns: int) -> NoConnection | None:
        """Wait to be woken; returns None if the caller should ask the pool again, else why it cannot."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        self.pool.waiting += 1
        try:
            async with asyncio.timeout(max(deadline_ns - self._clock(), 0) / NS_PER_S):
                reachable = await future
            return None if reachable else NoConnection.UNREACHABLE
        except TimeoutError:
            if future.done() and not future.cancelled():
                self._wake(True, 1)  # woken just as it timed out: pass the wake-up to the next waiter
            return NoConnection.TIMED_OUT
        finally:
            self.pool.waiting -= 1
            if future in self._waiters:
                self._waiters.remove(future)

    async def _dial(self) -> None:
        host, _, port = self.endpoint.rpartition(":")
        max_message_bytes = self._settings.max_message_bytes
        framing: Http2Connection | Http1Connection = (
            Http2Connection(True, max_message_bytes)
            if self._http2
            else Http1Connection(True, max_message_bytes)
        )
        try:
            async with asyncio.timeout(self._settings.connect_timeout_ns / NS_PER_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: UpstreamConnection(framing, self._on_closed, self._clock),
                    host.strip("[]"),
                    int(port),
                )
        except (OSError, TimeoutError):
            self.pool.dialing -= 1
            if not self.pool.connections:  # otherwise an open connection may still get room for a request
                self._wake(False, len(self._waiters))
            return
        self.pool.dialing -= 1
        pooled = connection.pooled = self.pool.add(framing, self._clock())
        self.connections[pooled] = connection
        self._wake(True, pooled.available_streams)

    def _wake(self, reachable: bool, max_count: int) -> None:
        """Wake up to `max_count` waiting requests; `reachable` is False only after a failed dial."""
        while self._waiters and max_count > 0:
            future = self._waiters.popleft()
            if not future.done():
                future.set_result(reachable)
                max_count -= 1

    def _on_closed(self, connection: UpstreamConnection) -> None:
        if connection.pooled is None:
            return
        self.pool.remove(connection.pooled)
        self.connections.pop(connection.pooled, None)
        if not self.pool.connections:
            self._wake(True, len(self._waiters))  # all ask the pool again, and one of them dials
