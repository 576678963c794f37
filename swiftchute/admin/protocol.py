"""Requests and replies of the admin socket, one JSON object per line. No I/O.

    parser = RequestParser(max_line_bytes=65536)
    for request in parser.feed(data): ...     # Request, or raises RequestError
    data = encode_result(result)
    data = encode_error("cause")

A request is `{"command": "guard.explain", "with": {"table": 3}}`; a reply is `{"result": ..}` or
`{"error": ".."}`.
"""

from typing import Any

import msgspec

from swiftchute.admin.errors import RequestError

MAX_LINE_BYTES = 65_536


class Request(msgspec.Struct, forbid_unknown_fields=True, rename={"arguments": "with"}):
    """A command by name, with its arguments."""

    command: str
    arguments: dict[str, Any] = {}


class Reply(msgspec.Struct):
    """The result of a command, or why there is none."""

    result: Any = None
    error: str = ""


class RequestParser:
    """Splits the received bytes of one connection into requests."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        """Start without received bytes; a longer line is an error."""
        self._max_line_bytes = max_line_bytes
        self._remainder = b""

    def feed(self, data: bytes) -> list[Request]:
        """Return the requests that are complete now.

        Raises:
            RequestError: A line is too long or is not a request.
        """
        *lines, self._remainder = (self._remainder + data).split(b"\n")
        if any(len(line) > self._max_line_bytes for line in [*lines, self._remainder]):
            raise RequestError(f"a line of more than {self._max_line_bytes} bytes")
        try:
            return [msgspec.json.decode(line, type=Request) for line in lines if line.strip()]
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise RequestError(f"not a request: {error}") from None


def encode_request(command: str, **arguments: Any) -> bytes:
    """Return a request as it goes over the socket."""
    return msgspec.json.encode(Request(command, arguments)) + b"\n"


def encode_result(result: Any) -> bytes:
    """Return a successful reply as it goes over the socket."""
    return msgspec.json.encode({"result": result}) + b"\n"


def encode_error(cause: str) -> bytes:
    """Return an error reply as it goes over the socket."""
    return msgspec.json.encode({"error": cause}) + b"\n"
