"""A TCP relay on loopback that can delay and slow traffic, break connections and refuse new ones.

A drill has one for each pair of a gateway and a server of the control plane.
"""

import asyncio
from collections import deque
from typing import Any

MAX_BUFFERED_BYTES = 2**20  # per direction; beyond it the relay stops reading
CONNECT_TIMEOUT_S = 2
TIMER_TOLERANCE_S = 0.0005


class _RelaySide(asyncio.Protocol):
    """One socket of a pair; data received here is sent by the other side, delayed if configured."""

    def __init__(self, relay: "Relay", other: "_RelaySide | None" = None) -> None:
        """Create a side; without `other` it is the accepting one, which opens the other."""
        self._relay = relay
        self._other = other
        self._transport: Any = None
        self._queue: deque[tuple[float, bytes]] = deque()  # due time by the event loop's clock, and data
        self._buffered_bytes = 0
        self._last_due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the other side if this one accepted, or send what waits for this one."""
        self._transport = transport
        if self._other is not None:
            self._other._send_due()
            return
        if self._relay.refusing:
            self.abort()
            return
        self._relay.sides.add(self)
        self._other = _RelaySide(self._relay, self)
        asyncio.ensure_future(self._connect(self._other))

    def data_received(self, data: bytes) -> None:
        """Queue data for the other side."""
        relay = self._relay
        due_s = max(asyncio.get_running_loop().time() + relay.delay_s, self._last_due_s)
        if relay.rate_bytes_per_s:
            due_s += len(data) / relay.rate_bytes_per_s
        self._last_due_s = due_s
        self._buffered_bytes += len(data)
        self._queue.append((due_s, data))
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._transport.pause_reading()
        self._send_due()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side too."""
        self._relay.sides.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._other is not None and self._other._transport is not None:
            self._other._transport.close()

    def abort(self) -> None:
        """Abort the connection if there is one."""
        if self._transport is not None:
            self._transport.abort()

    def abort_pair(self) -> None:
        """Abort the connections of both sides."""
        self.abort()
        if self._other is not None:
            self._other.abort()

    async def _connect(self, other: "_RelaySide") -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: other, *self._relay.target)
        except (OSError, TimeoutError):
            self.abort()

    def _send_due(self) -> None:
        """Send the due data by the other side, and set a timer for the rest."""
        loop = asyncio.get_running_loop()
        if self._other is None or self._other._transport is None or self._timer is not None:
            return
        while self._queue and self._queue[0][0] <= loop.time() + TIMER_TOLERANCE_S:
            _, data = self._queue.popleft()
            if self._buffered_bytes > MAX_BUFFERED_BYTES >= self._buffered_bytes - len(data):
                self._transport.resume_reading()
            self._buffered_bytes -= len(data)
            self._other._transport.write(data)
        if self._queue:
            self._timer = loop.call_at(self._queue[0][0], self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._send_due()


class Relay:
    """Listens on its own port and forwards connections to `target`.

    Attributes:
        target: host and port of the server.
        delay_s: delay of data in either direction.
        rate_bytes_per_s: limit of either direction; 0 means no limit.
        refusing: whether new connections are aborted at once.
        sides: the accepting side of each open pair.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        """Create a relay that listens once `start` is called."""
        self.target = target
        self.delay_s = 0.0
        self.rate_bytes_per_s = 0.0
        self.refusing = False
        self.sides: set[_RelaySide] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> tuple[str, int]:
        """Listen and return the address to connect to."""
        self._server = await asyncio.get_running_loop().create_server(lambda: _RelaySide(self), host, 0)
        return self._server.sockets[0].getsockname()[:2]

    def cut(self) -> None:
        """Break all open connections, at both ends."""
        for side in list(self.sides):
            side.abort_pair()

    async def stop(self) -> None:
        """Break all connections and stop listening."""
        self.cut()
        if self._server is not None:
            self._server.close()
