"""Asks a running planner over its control socket, and waits for the reply."""

import contextlib
import socket
from typing import Any

import msgspec

from swiftchute.admin import protocol


class Unanswered(Exception):
    """No reply came, or one that says why not."""


def call(path: str, command: str, timeout: float = 5.0, **arguments: Any) -> Any:
    """The result of one command. Raises `Unanswered` with a plain cause."""
    try:
        with socket.socket(socket.AF_UNIX) as way:
            way.settimeout(timeout)
            way.connect(path)
            with contextlib.suppress(BrokenPipeError):  # turned away unread: the cause is there to be read
                way.sendall(protocol.ask(command, **arguments))
            data = b""
            while not data.endswith(b"\n"):
                more = way.recv(65_536)
                if not more:
                    raise Unanswered(f"{path}: the planner ended the connection")
                data += more
    except TimeoutError:
        raise Unanswered(f"{path}: no reply within {timeout:g} s") from None
    except OSError as why:
        raise Unanswered(f"{path}: {why.strerror or why}") from None
    answer = msgspec.json.decode(data, type=protocol.Reply)
    if answer.error:
        raise Unanswered(answer.error)
    return answer.result
