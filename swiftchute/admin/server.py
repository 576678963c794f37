"""The control socket: a Unix socket that only the planner's own user (and root) may speak to.

Its file is made for the owner alone and the caller's user is asked of the kernel (SO_PEERCRED) besides, as a
directory that others may write to would let them put another socket in its place. Connections are few, idle
ones end, and one that does not read its replies is cut off.
"""

import asyncio
import contextlib
import os
import socket
import stat
import struct
from collections.abc import Callable
from typing import Any

from swiftchute.admin import protocol

CONNECTIONS = 16
IDLE = 30.0  # seconds without a request
UNREAD = 8 * 2**20  # bytes of replies that may wait for a caller


class Denied(Exception):
    """The command cannot be done; its text says why."""


class _Caller(asyncio.Protocol):
    """One connection."""

    def __init__(self, control: "Control") -> None:
        self.control, self.session = control, protocol.Session()
        self.transport: asyncio.Transport | None = None
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        user = _user(transport.get_extra_info("socket"))
        if user not in (0, os.geteuid()):
            self._end(f"user {user} may not control this planner")
        elif len(self.control.callers) >= CONNECTIONS:
            self._end(f"{CONNECTIONS} callers at once, the most allowed")
        else:
            self.control.callers.add(self)
            self._wait()

    def _wait(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.idle = asyncio.get_running_loop().call_later(IDLE, self._end, f"nothing asked for {IDLE:g} s")

    def _end(self, cause: str) -> None:
        if self.transport is not None:
            self.transport.write(protocol.fault(cause))
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self not in self.control.callers:
            return
        self._wait()
        try:
            for request in self.session.feed(data):
                self.transport.write(self.control.answer(request))
        except protocol.BadRequest as why:
            self._end(str(why))
            return
        if self.transport.get_write_buffer_size() > UNREAD:
            self.transport.abort()

    def connection_lost(self, why: Exception | None) -> None:
        self.control.callers.discard(self)
        if self.idle is not None:
            self.idle.cancel()


class Control:
    """Serves commands by name; each is called with what the request gives it and returns plain data."""

    def __init__(self, path: str, commands: dict[str, Callable[..., Any]]) -> None:
        """`path` of the socket's file."""
        self.path, self.commands = path, commands
        self.callers: set[_Caller] = set()
        self.server: asyncio.AbstractServer | None = None

    def answer(self, request: protocol.Request) -> bytes:
        """The reply to one request."""
        command = self.commands.get(request.command)
        if command is None:
            return protocol.fault(
                f"no command {request.command!r}; there are {', '.join(sorted(self.commands))}"
            )
        try:
            return protocol.reply(command(**request.arguments))
        except (Denied, TypeError, ValueError) as why:
            return protocol.fault(f"{request.command}: {why}")

    async def start(self) -> None:
        """Take callers. Raises `OSError` with a plain cause if another planner listens there, or a file that
        is no socket is in the way."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.lstat(self.path).st_mode):
                raise OSError(f"{self.path} is there and is no socket")
            if _listens(self.path):
                raise OSError(f"{self.path}: another planner listens there")
            os.unlink(self.path)  # left by one that was killed
        loop, mask = asyncio.get_running_loop(), os.umask(0o177)
        try:
            self.server = await loop.create_unix_server(lambda: _Caller(self), self.path)
        finally:
            os.umask(mask)

    async def stop(self) -> None:
        """Take no more, and let those here go."""
        if self.server is None:  # not started: the socket there may be another planner's
            return
        self.server.close()
        for caller in list(self.callers):
            caller.transport.abort()
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path)


def _user(opened: Any) -> int:
    size = struct.calcsize("3i")
    return struct.unpack("3i", opened.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))[1]


def _listens(path: str) -> bool:
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(path)
        except OSError:
            return False
        return True
