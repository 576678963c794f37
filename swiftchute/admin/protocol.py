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
        """Create a parser that rejects lines longer than this limit."""
        self._max_line_bytes = max_line_bytes
        self._remainder = b""

    def feed(self, data: bytes) -> list[Request]:
        """Add received bytes and return the requests that they complete.

        Raises:
            RequestError: A line is too long or not a valid request.
        """
        *lines, self._remainder = (self._remainder + data).split(b"\n")
        if any(len(line) > self._max_line_bytes for line in [*lines, self._remainder]):
            raise RequestError(f"a line has more than {self._max_line_bytes} bytes")
        try:
            return [msgspec.json.decode(line, type=Request) for line in lines if line.strip()]
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise RequestError(f"not a valid request: {error}") from None


def encode_request(command: str, **arguments: Any) -> bytes:
    """Encode a request as a line."""
    return msgspec.json.encode(Request(command, arguments)) + b"\n"


def encode_result(result: Any) -> bytes:
    """Encode the reply of a successful command as a line."""
    return msgspec.json.encode({"result": result}) + b"\n"


def encode_error(cause: str) -> bytes:
    """Encode an error reply as a line."""
    return msgspec.json.encode({"error": cause}) + b"\n"
