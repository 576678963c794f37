"""The asyncio protocols of the client connections and of the connections to discovery.

Each passes received bytes and the time to its state machine and writes the output of that. `TransportOwner`
is the part of the server's interface that they use.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from swiftchute.ingress.buffer_budget import BufferBudget
from swiftchute.ingress.fair_protocol import FairProtocol
from swiftchute.ingress.turn_scheduler import TurnScheduler
from swiftchute.platform.connection_limits import CLOSE_TIMEOUT_S, MAX_UNSENT_BYTES
from swiftchute.platform.discovery_client import DiscoveryClient, DiscoveryConnection
from swiftchute.platform.endpoint_list import ListUpdate
from swiftchute.platform.session_manager import SessionManager


class TransportOwner(Protocol):
    """The server's interface to its transports."""

    event_loop: asyncio.AbstractEventLoop
    clock: Callable[[], int]
    sessions: SessionManager
    discovery: DiscoveryClient
    clients: "set[ClientTransport]"
    turns: TurnScheduler
    buffer_budget: "BufferBudget[ClientTransport]"

    @property
    def stopping(self) -> bool:
        """Whether the process is stopping, so that no more input is handled."""

    def close_sessions(self) -> None:
        """Close the connections of the sessions that the session manager has ended."""

    def on_input(self) -> None:
        """Handle the effects of received bytes or of the end of a connection."""

    def on_client_closed(self) -> None:
        """Handle the removal of a client from `clients`."""

    def on_list_update(self, update: ListUpdate) -> None:
        """Handle an update of the endpoint list."""

    def run_discovery_commands(self) -> None:
        """Carry out the commands of the discovery client."""

    def on_discovery_closed(self, connection: DiscoveryConnection, cause: str) -> None:
        """Handle a connection to discovery that ended or could not be opened."""


class ClientTransport(asyncio.Protocol):
    """A connection of a proxy or a collector."""

    def __init__(self, owner: TransportOwner) -> None:
        """Create the protocol of a connection that is not accepted yet."""
        self.owner = owner

    @property
    def has_waiting_input(self) -> bool:
        """Whether received bytes wait for their turn."""
        return self.transport.has_waiting_input

    def connection_made(self, transport: Any) -> None:
        """Start the session."""
        self.transport = transport
        if self.owner.stopping:  # it was accepted before the listener was closed
            transport.abort()
            return
        self.session = self.owner.sessions.open_session(self.owner.clock())
        self.session.transport = self
        self.owner.clients.add(self)
        self.owner.close_sessions()

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the session."""
        if self.owner.stopping:
            return
        self.session.receive_data(data, self.owner.clock())
        for other in self.owner.buffer_budget.update(self, len(self.session.unparsed)):
            other.discard_unfinished_message()
        if self.session.end_cause is not None:
            self.close()
        else:
            self._flush()
        self.owner.on_input()

    def write(self, data: bytes) -> None:
        """Write a message; abort the connection if too many bytes are unsent."""
        if self.transport.is_closing():
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort_connection()

    def discard_unfinished_message(self) -> None:
        """Close the connection, as the unfinished messages of all clients take too much memory."""
        self.session.unparsed.clear()
        self.session.end("unfinished messages of all clients take too much memory")
        self.close()

    def abort_connection(self) -> None:
        """Abort the connection; unsent bytes are discarded."""
        if self in self.owner.clients:
            self.owner.sessions.statistics.unsent_overflow += 1
            self.session.end("client does not read its messages", notify=False)
            self.transport.abort()

    def _flush(self) -> None:
        """Write the output of the session."""
        if self.session.outgoing:
            outgoing, self.session.outgoing = self.session.outgoing, []
            self.write(b"".join(outgoing))

    def close(self) -> None:
        """Write the output of the session and close; abort the connection if the client does not read it."""
        if not self.transport.is_closing():
            self._flush()
            self.transport.close()
            if self.transport.get_write_buffer_size():
                self.owner.event_loop.call_later(CLOSE_TIMEOUT_S, self.abort_connection)

    def connection_lost(self, error: Exception | None) -> None:
        """End the session."""
        if self not in self.owner.clients:
            return
        self.owner.clients.remove(self)
        self.owner.buffer_budget.release(self)
        self.owner.sessions.session_closed(self.session, self.session.end_cause or _closing_cause(error))
        self.owner.on_input()
        self.owner.on_client_closed()


class DiscoveryTransport(asyncio.Protocol):
    """A connection to discovery; it exists from the command to open it."""

    def __init__(self, owner: TransportOwner, connection: DiscoveryConnection) -> None:
        """Start connecting."""
        self.owner = owner
        self.connection = connection
        self.transport: Any = None
        self._connecting = asyncio.ensure_future(self._connect())

    async def _connect(self) -> None:
        host, port = self.connection.address
        try:
            await self.owner.event_loop.create_connection(
                lambda: FairProtocol(self.owner.turns, self), host, port
            )
        except OSError as error:
            self.owner.on_discovery_closed(self.connection, f"{type(error).__name__}: {error}")

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self.transport = transport
        request = self.owner.discovery.connection_opened(self.connection)
        if request is None:  # it was closed by the discovery client while it was being established
            transport.abort()
        else:
            transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the discovery client."""
        now_ns = self.owner.clock()
        for update in self.owner.discovery.receive_data(self.connection, data, now_ns):
            self.owner.on_list_update(update)
        self.owner.run_discovery_commands()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self.owner.on_discovery_closed(self.connection, _closing_cause(error))

    def close(self) -> None:
        """Abort the connection, or cancel the attempt to open it."""
        if self.transport is not None:
            self.transport.abort()
        else:
            self._connecting.cancel()


def _closing_cause(error: Exception | None) -> str:
    return f"the connection broke: {error}" if error else "the connection ended"
