"""Requests and replies on a control socket: one JSON object a line. No I/O.

    session = Session(most=65536)
    for request in session.feed(data): ...     # Request, or raises BadRequest
    data = reply(result); data = fault("cause")

A request is `{"command": "guard.explain", "with": {"table": 3}}`; a reply `{"result": ..}` or `{"error":
".."}`.
"""

from typing import Any

import msgspec


class BadRequest(Exception):
    """What came is no request; its text says why."""


class Request(msgspec.Struct, forbid_unknown_fields=True, rename={"arguments": "with"}):
    """A command by name, and what it is given."""

    command: str
    arguments: dict[str, Any] = {}


class Reply(msgspec.Struct):
    """A result, or why there is none."""

    result: Any = None
    error: str = ""


class Session:
    """Cuts what comes in into requests; a line over `most` bytes ends it."""

    def __init__(self, most: int = 65_536) -> None:
        """Nothing has come in."""
        self.most, self.rest = most, b""

    def feed(self, data: bytes) -> list[Request]:
        """The requests that are whole now. Raises `BadRequest`."""
        *whole, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > self.most or any(len(line) > self.most for line in whole):
            raise BadRequest(f"a line of more than {self.most} bytes")
        try:
            return [msgspec.json.decode(line, type=Request) for line in whole if line.strip()]
        except (msgspec.DecodeError, UnicodeDecodeError) as why:
            raise BadRequest(f"not a request: {why}") from None


def ask(command: str, **arguments: Any) -> bytes:
    """A request as it goes over the socket."""
    return msgspec.json.encode(Request(command, arguments)) + b"\n"


def reply(result: Any) -> bytes:
    """A result as it goes over the socket."""
    return msgspec.json.encode({"result": result}) + b"\n"


def fault(cause: str) -> bytes:
    """An error as it goes over the socket."""
    return msgspec.json.encode({"error": cause}) + b"\n"
