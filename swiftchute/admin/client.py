"""A blocking client of the admin socket."""

import contextlib
import socket
from typing import Any

import msgspec

from swiftchute.admin import protocol
from swiftchute.admin.errors import NoReplyError

RECEIVE_BYTES = 65_536


def send_command(path: str, command: str, timeout_s: float = 5.0, **arguments: Any) -> Any:
    """Send one command to the instance that listens at a path and return its result.

    Args:
        path: Path of the Unix socket.
        command: Name of the command.
        timeout_s: Time limit of each step of the exchange: connecting, sending, and each read.
        **arguments: Arguments of the command.

    Raises:
        NoReplyError: Nothing listens at the path, a step took too long, the connection was closed early,
            or the instance replied with an error.
    """
    try:
        data = _exchange(path, protocol.encode_request(command, **arguments), timeout_s)
    except TimeoutError:
        raise NoReplyError(f"{path}: a step of the exchange took more than {timeout_s:g} s") from None
    except OSError as error:
        raise NoReplyError(f"{path}: {error.strerror or error}") from None
    reply = msgspec.json.decode(data, type=protocol.Reply)
    if reply.error:
        raise NoReplyError(reply.error)
    return reply.result


def _exchange(path: str, request: bytes, timeout_s: float) -> bytes:
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(timeout_s)
        connection.connect(path)
        with contextlib.suppress(BrokenPipeError):  # closed by the server: the cause can still be received
            connection.sendall(request)
        data = b""
        while not data.endswith(b"\n"):
            received = connection.recv(RECEIVE_BYTES)
            if not received:
                raise NoReplyError(f"{path}: connection closed before the reply was complete")
            data += received
        return data
