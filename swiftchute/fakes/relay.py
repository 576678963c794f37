"""A TCP relay on loopback that troubles what passes: it delays, paces, cuts and refuses. One a
gateway and planner."""

import asyncio
from collections import deque

HELD_MOST = 2**20  # bytes waiting in one direction past which it stops reading


class _Side(asyncio.Protocol):
    """One socket of a pair; what comes in goes out at the other, late if told so."""

    def __init__(self, relay: "Relay") -> None:
        self.relay, self.transport, self.other = relay, None, None
        self.queue: deque[tuple[float, bytes]] = deque()
        self.held, self.last, self.timer = 0, 0.0, None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.other is None:  # the dialling side: find the target
            if self.relay.refusing:
                transport.abort()
                return
            self.relay.pairs.add(self)
            self.other = _Side(self.relay)
            self.other.other = self
            asyncio.ensure_future(self._dial())
        else:
            self.other._flush()

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(2):
                await asyncio.get_running_loop().create_connection(lambda: self.other, *self.relay.target)
        except (OSError, TimeoutError):
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        relay, loop = self.relay, asyncio.get_running_loop()
        when = max(loop.time() + relay.delay, self.last)
        if relay.pace:
            when += len(data) / relay.pace
        self.last = when
        self.held += len(data)
        self.queue.append((when, data))
        if self.held > HELD_MOST:
            self.transport.pause_reading()
        self._flush()

    def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        if self.other is None or self.other.transport is None or self.timer is not None:
            return
        while self.queue and self.queue[0][0] <= loop.time() + 0.0005:
            _, data = self.queue.popleft()
            if self.held > HELD_MOST >= self.held - len(data):
                self.transport.resume_reading()
            self.held -= len(data)
            self.other.transport.write(data)
        if self.queue:
            self.timer = loop.call_at(self.queue[0][0], self._due)

    def _due(self) -> None:
        self.timer = None
        self._flush()

    def connection_lost(self, why: Exception | None) -> None:
        self.relay.pairs.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Relay:
    """Listens on a port of its own and passes on to `target`."""

    def __init__(self, target: tuple[str, int]) -> None:
        """`delay` in seconds and `pace` in bytes a second (0: any) hold for both directions."""
        self.target, self.delay, self.pace, self.refusing = target, 0.0, 0.0, False
        self.pairs: set[_Side] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> tuple[str, int]:
        """Listen; returns the address to dial."""
        self.server = await asyncio.get_running_loop().create_server(lambda: _Side(self), host, 0)
        return self.server.sockets[0].getsockname()[:2]

    def cut(self) -> None:
        """Break what is open, at both ends."""
        for side in list(self.pairs):
            for end in (side, side.other):
                if end is not None and end.transport is not None:
                    end.transport.abort()

    async def stop(self) -> None:
        """Cut and stop listening."""
        self.cut()
        if self.server is not None:
            self.server.close()
