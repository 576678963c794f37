"""The sockets of the DNS front: datagrams and streams for each view's address. It decides nothing.

Streams carry a length before each message (RFC 1035, 4.2.2; RFC 7766). A stream that brings no whole message
for `idle` is closed, whatever single bytes it brings; past `connections` the one that has been silent longest
is; one that does not read what it asked for is not read from.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from swiftchute.controller.controller import RoundOutput
from swiftchute.dns.frontend import Front

S = 1_000_000_000
HEAD = 12  # bytes of the shortest message
UNREAD_MOST = 256 * 1024  # bytes of replies that may wait for a client


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, shell: "Shell", view: str) -> None:
        self.shell, self.view, self.answer = shell, view, shell.front.datagram

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        reply = self.answer(data, source[0], self.view, self.shell.clock())
        if reply is not None:
            self.transport.sendto(reply, source)


class _Notifies(asyncio.DatagramProtocol):
    def __init__(self, front: Front) -> None:
        self.front = front

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.front.notified(source[0], data)


class _Stream(asyncio.Protocol):
    def __init__(self, shell: "Shell", view: str) -> None:
        self.shell, self.view, self.buffer, self.full = shell, view, bytearray(), False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=UNREAD_MOST)
        peer = transport.get_extra_info("peername")
        self.source = peer[0] if peer else ""
        self.shell.opened(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        self._take()

    def _take(self) -> None:
        while not self.full and len(self.buffer) >= 2:
            size = int.from_bytes(self.buffer[:2], "big")
            if size < HEAD:  # lengths of nothing, a byte now and then, would keep a stream open for ever
                self.transport.abort()
                return
            if len(self.buffer) < 2 + size:
                break
            message = bytes(self.buffer[2 : 2 + size])
            del self.buffer[: 2 + size]
            self.shell.active(self)
            for reply in self.shell.front.stream(message, self.source, self.view, self.shell.clock()):
                self.transport.write(len(reply).to_bytes(2, "big") + reply)

    def pause_writing(self) -> None:
        self.full = True
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.full = False
        self._take()
        if not self.full:
            self.transport.resume_reading()

    def connection_lost(self, why: Exception | None) -> None:
        self.shell.streams.pop(self, None)


class Shell:
    """Listens for one front: its own zone's view, and further ones by address."""

    def __init__(self, front: Front, zone: str, clock: Callable[[], int], log: Any) -> None:
        """`zone` is the planner's: whose view the main address serves."""
        self.front, self.clock, self.log = front, clock, log
        plumbing = front.plumbing
        self.listen = [(zone, plumbing["listen"]), *plumbing["views"]]
        self.most, self.idle = plumbing["connections"], plumbing["idle"]
        self.streams: OrderedDict[_Stream, int] = OrderedDict()  # by the time of their last message
        self.transports: list[Any] = []
        self.servers: list[asyncio.Server] = []
        self.addresses: dict[str, tuple[str, int]] = {}
        self.closed = dict.fromkeys(("streams_idle", "streams_past_bound"), 0)

    async def start(self) -> None:
        """Listen; the views join the core."""
        loop = asyncio.get_running_loop()
        try:
            for view, (host, port) in self.listen:
                server = await loop.create_server(lambda v=view: _Stream(self, v), host, port, backlog=1024)
                self.servers.append(server)
                at = server.sockets[0].getsockname()[:2]
                made = await loop.create_datagram_endpoint(lambda v=view: _Datagrams(self, v), local_addr=at)
                self.transports.append(made[0])
                self.addresses.setdefault(view, at)
                self.log.info("answering", view=view, address=f"{at[0]}:{at[1]}")
            host = self.listen[0][1][0]
            made = await loop.create_datagram_endpoint(lambda: _Notifies(self.front), local_addr=(host, 0))
            self.transports.append(made[0])
        except OSError:
            await self.stop()
            raise
        self.front.start(self.clock())

    async def stop(self) -> None:
        """Close everything."""
        for server in self.servers:
            server.close()
        for transport in self.transports:
            transport.close()
        for stream in list(self.streams):
            stream.transport.abort()

    def turn(self, turn: RoundOutput, now: int) -> None:
        """A turn of the planner: the front takes it, and what is due is done."""
        self.front.turn(turn, now)
        for address, data in self.front.notifies(now):
            self.transports[-1].sendto(data, address)
        while self.streams:
            stream, last = next(iter(self.streams.items()))
            if now - last < self.idle:
                break
            self._close(stream, "streams_idle")

    @property
    def due(self) -> int:
        """When the front is to be called at the latest."""
        return self.front.due

    def opened(self, stream: _Stream) -> None:
        """A new stream; past the bound the one that has been silent longest goes."""
        if len(self.streams) >= self.most:
            self._close(next(iter(self.streams)), "streams_past_bound")
        self.streams[stream] = self.clock()

    def active(self, stream: _Stream) -> None:
        """A stream brought a whole message."""
        if stream in self.streams:
            self.streams[stream] = self.clock()
            self.streams.move_to_end(stream)

    def _close(self, stream: _Stream, why: str) -> None:
        self.closed[why] += 1
        del self.streams[stream]
        stream.transport.abort()

    @property
    def counts(self) -> dict[str, int]:
        """Figures for the log's last line."""
        limited = {
            f"dns_{verdict.value}": many for verdict, many in self.front.limiter.verdict_counts.items()
        }
        return {f"dns_{k}": v for k, v in (self.front.counts | self.closed).items()} | limited
