"""The sockets of the DNS frontend: UDP and TCP on the address of each view.

Over TCP, each message is prefixed with its length (RFC 1035, section 4.2.2; RFC 7766). A connection without a
complete message for the idle timeout is closed, even if it sends single bytes. When the maximum number of
connections is exceeded, the longest idle one is closed. A client that does not read replies is not read from.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from swiftchute.controller.controller import RoundOutput
from swiftchute.dns.errors import DnsError
from swiftchute.dns.frontend import DnsFrontend
from swiftchute.dns.query import HEADER_BYTES
from swiftchute.dns.settings import Address
from swiftchute.ingress.fair_protocol import FairProtocol
from swiftchute.ingress.turn_scheduler import event_loop_turns

LENGTH_PREFIX_BYTES = 2
MAX_UNREAD_REPLIES_BYTES = 256 * 1024  # replies that a client has not read yet
LISTEN_BACKLOG = 1024  # TCP connections waiting to be accepted


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Answers the queries over UDP for one view."""

    def __init__(self, server: "DnsServer", view: str) -> None:
        self._view = view
        self._answer = server.frontend.queries.answer_datagram
        self._clock = server.clock

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        reply = self._answer(data, source[0], self._view, self._clock())
        if reply is not None:
            self._transport.sendto(reply, source)


class _NotifyProtocol(asyncio.DatagramProtocol):
    """Receives the replies to NOTIFY messages."""

    def __init__(self, frontend: DnsFrontend) -> None:
        self._frontend = frontend

    def datagram_received(self, data: bytes, source: Any) -> None:
        self._frontend.on_notify_reply(source[0], data)


class _StreamProtocol(asyncio.Protocol):
    """Answers the messages of one TCP connection."""

    def __init__(self, server: "DnsServer", view: str) -> None:
        self._server = server
        self._view = view
        self._buffer = bytearray()
        self._writing_paused = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNREAD_REPLIES_BYTES)
        peer = transport.get_extra_info("peername")
        self._source = peer[0] if peer else ""
        self._server.on_connected(self)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._process_buffer()

    def _process_buffer(self) -> None:
        while not self._writing_paused and len(self._buffer) >= LENGTH_PREFIX_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_PREFIX_BYTES], "big")
            if length < HEADER_BYTES:  # otherwise empty messages would keep an idle connection open
                self._transport.abort()
                return
            end = LENGTH_PREFIX_BYTES + length
            if len(self._buffer) < end:
                break
            message = bytes(self._buffer[LENGTH_PREFIX_BYTES:end])
            del self._buffer[:end]
            self._answer(message)

    def _answer(self, message: bytes) -> None:
        server = self._server
        server.on_message(self)
        for reply in server.frontend.queries.answer_stream(message, self._source, self._view, server.clock()):
            self._transport.write(len(reply).to_bytes(LENGTH_PREFIX_BYTES, "big") + reply)

    def pause_writing(self) -> None:
        self._writing_paused = True
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._writing_paused = False
        self._process_buffer()
        if not self._writing_paused:
            self._transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self._server.on_disconnected(self)

    def abort(self) -> None:
        """Close the connection immediately, without flushing."""
        self._transport.abort()


class DnsServer:
    """Serves a frontend: the view of the local zone on the main address, other views on other addresses.

    Attributes:
        frontend: The frontend.
        clock: Returns the time of the controller in nanoseconds.
        connections: The open TCP connections with the time of their last message, the oldest first.
        addresses: The listen address of each served view.
        closed: Number of connections closed by the server, by cause, as named in the log.
    """

    def __init__(self, frontend: DnsFrontend, zone: str, clock: Callable[[], int], log: Any) -> None:
        """Create a server that is not listening yet.

        Args:
            frontend: The frontend, whose settings contain the addresses.
            zone: The zone whose view the main address serves.
            clock: Returns the time of the controller in nanoseconds.
            log: The logger.
        """
        self.frontend = frontend
        self.clock = clock
        self.connections: OrderedDict[_StreamProtocol, int] = OrderedDict()
        self.addresses: dict[str, Address] = {}
        self.closed = dict.fromkeys(("streams_idle", "streams_past_bound"), 0)
        self._zone = zone
        self._log = log
        self._max_connections = frontend.dns_settings.max_connections
        self._idle_timeout_ns = frontend.dns_settings.idle_timeout_ns
        self._datagram_transports: list[Any] = []
        self._notify_transport: Any = None
        self._tcp_servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on all addresses and connect the views to the controller.

        Raises:
            DnsError: The settings contain no main address.
            OSError: Listening on an address failed; all sockets are closed.
        """
        settings = self.frontend.dns_settings
        if settings.listen_address is None:
            raise DnsError("dns.listen is not set: the DNS server has no main address to listen on")
        try:
            for view, address in ((self._zone, settings.listen_address), *settings.view_addresses):
                await self._listen(view, address)
            self._notify_transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: _NotifyProtocol(self.frontend), local_addr=(settings.listen_address[0], 0)
            )
        except OSError:
            await self.stop()
            raise
        self.frontend.start(self.clock())

    async def _listen(self, view: str, address: Address) -> None:
        """Serve a view over TCP and, on the same port, over UDP."""
        loop = asyncio.get_running_loop()
        host, port = address
        turns = event_loop_turns()
        server = await loop.create_server(
            lambda: FairProtocol(turns, _StreamProtocol(self, view)),
            host,
            port,
            backlog=LISTEN_BACKLOG,
        )
        self._tcp_servers.append(server)
        bound_address = server.sockets[0].getsockname()[:2]
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self, view), local_addr=bound_address
        )
        self._datagram_transports.append(transport)
        self.addresses.setdefault(view, bound_address)
        self._log.info("answering", view=view, address=f"{bound_address[0]}:{bound_address[1]}")

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for server in self._tcp_servers:
            server.close()
        for transport in self._datagram_transports:
            transport.close()
        if self._notify_transport is not None:
            self._notify_transport.close()
        for connection in list(self.connections):
            connection.abort()

    def publish(self, output: RoundOutput, now_ns: int) -> None:
        """Apply the output of a round, send due NOTIFY messages and close idle connections."""
        self.frontend.publish(output, now_ns)
        for notify in self.frontend.due_notifies(now_ns):
            self._notify_transport.sendto(notify.data, notify.address)
        self._close_idle(now_ns)

    def _close_idle(self, now_ns: int) -> None:
        while self.connections:
            connection, last_message_ns = next(iter(self.connections.items()))
            if now_ns - last_message_ns < self._idle_timeout_ns:
                break
            self._close(connection, "streams_idle")

    @property
    def due_ns(self) -> int:
        """The latest time for the next call of `publish`."""
        return self.frontend.due_ns

    def on_connected(self, connection: _StreamProtocol) -> None:
        """Add a connection; at the maximum, the connection that was idle for longest is closed."""
        if len(self.connections) >= self._max_connections:
            self._close(next(iter(self.connections)), "streams_past_bound")
        self.connections[connection] = self.clock()

    def on_message(self, connection: _StreamProtocol) -> None:
        """Note that a connection received a complete message."""
        if connection in self.connections:
            self.connections[connection] = self.clock()
            self.connections.move_to_end(connection)

    def on_disconnected(self, connection: _StreamProtocol) -> None:
        """Remove a connection that either side closed."""
        self.connections.pop(connection, None)

    def _close(self, connection: _StreamProtocol, cause: str) -> None:
        self.closed[cause] += 1
        del self.connections[connection]
        connection.abort()

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by their names in the log."""
        queries = self.frontend.queries
        counts = queries.counts | self.closed
        for verdict, count in queries.limiter.verdict_counts.items():
            counts[verdict.value] = count
        return {f"dns_{name}": count for name, count in counts.items()}
