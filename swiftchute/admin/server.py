"""The admin server: a Unix socket that only the user of the process, and root, may use.

The socket file is accessible to its owner alone. The user of a client is read from the kernel as well
(SO_PEERCRED), because the file could be replaced in a directory that others may write to. Connections are
limited in number, idle ones are closed, and a client that does not read its replies is disconnected.
"""

import asyncio
import contextlib
import os
import socket
import stat
import struct
from collections.abc import Callable
from typing import Any, cast

from swiftchute.admin import protocol
from swiftchute.admin.errors import CommandRejectedError, RequestError
from swiftchute.ingress.fair_protocol import FairProtocol
from swiftchute.ingress.turn_scheduler import event_loop_turns

MAX_CONNECTIONS = 16
IDLE_TIMEOUT_S = 30.0  # without a request
MAX_UNREAD_BYTES = 8 * 2**20  # of replies that a client has not read
PROBE_TIMEOUT_S = 1.0
SOCKET_UMASK = 0o177  # read and write for the owner alone

Command = Callable[..., Any]


class _AdminConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: "AdminServer") -> None:
        self._server = server
        self._parser = protocol.RequestParser()
        self._transport: asyncio.Transport
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the client, or send the cause and close the connection."""
        self._transport = cast(asyncio.Transport, transport)
        user = _peer_user_id(transport.get_extra_info("socket"))
        if user not in (0, os.geteuid()):
            self._close(f"user {user} may not control this instance")
        elif len(self._server.connections) >= MAX_CONNECTIONS:
            self._close(f"{MAX_CONNECTIONS} connections are open, the maximum")
        else:
            self._server.connections.add(self)
            self._restart_idle_timer()

    def data_received(self, data: bytes) -> None:
        """Execute the requests that the data completes."""
        if self not in self._server.connections:
            return
        self._restart_idle_timer()
        try:
            for request in self._parser.feed(data):
                self._transport.write(self._server.execute(request))
        except RequestError as error:
            self._close(str(error))
            return
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Forget the connection."""
        self._server.connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def abort(self) -> None:
        """Close the connection immediately; unsent replies are lost."""
        self._transport.abort()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        cause = f"no request received for {IDLE_TIMEOUT_S:g} s"
        self._idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self._close, cause)

    def _close(self, cause: str) -> None:
        self._transport.write(protocol.encode_error(cause))
        self._transport.close()


class AdminServer:
    """Serves commands by name; each takes the arguments of its request and returns plain data."""

    def __init__(self, path: str, commands: dict[str, Command]) -> None:
        """Create a server that does not listen yet.

        Args:
            path: Path of the Unix socket.
            commands: The commands by name.
        """
        self.connections: set[_AdminConnection] = set()
        self._path = path
        self._commands = commands
        self._listener: asyncio.AbstractServer | None = None

    def execute(self, request: protocol.Request) -> bytes:
        """Execute one request and return the encoded reply."""
        command = self._commands.get(request.command)
        if command is None:
            names = ", ".join(sorted(self._commands))
            return protocol.encode_error(f"unknown command {request.command!r}; known commands: {names}")
        try:
            return protocol.encode_result(command(**request.arguments))
        except (CommandRejectedError, TypeError, ValueError) as error:
            return protocol.encode_error(f"{request.command}: {error}")

    async def start(self) -> None:
        """Listen at the path.

        Raises:
            OSError: Another instance listens at the path, or it exists and is not a socket.
        """
        self._remove_stale_socket()
        loop = asyncio.get_running_loop()
        turns = event_loop_turns()
        previous_umask = os.umask(SOCKET_UMASK)
        try:
            self._listener = await loop.create_unix_server(
                lambda: FairProtocol(turns, _AdminConnection(self)), self._path
            )
        finally:
            os.umask(previous_umask)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is None:  # not started: the socket file may be another instance's
            return
        self._listener.close()
        for connection in list(self.connections):
            connection.abort()
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._path)

    def _remove_stale_socket(self) -> None:
        """Remove the socket file that a killed instance left behind."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.lstat(self._path).st_mode):
                raise OSError(f"{self._path}: exists and is not a socket")
            if _accepts_connections(self._path):
                raise OSError(f"{self._path}: another instance listens on this socket")
            os.unlink(self._path)


def _peer_user_id(connection: socket.socket) -> int:
    size = struct.calcsize("3i")
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
    _, user_id, _ = struct.unpack("3i", credentials)
    return user_id


def _accepts_connections(path: str) -> bool:
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        try:
            probe.connect(path)
        except OSError:
            return False
        return True
