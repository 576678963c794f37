"""Requests read and answers judged, for gRPC and plain HTTP. No I/O.

    request = read(message, rpc)             # Asked: the operation, whether it is gRPC, its caller's deadline
    end = judge(answer, rpc)                 # how a try that was answered ended
    answer = turned("level", rpc)            # what the proxy says itself
    message = onward(message, rpc, left)     # what goes to the server

An operation is the last part of a request's path: a gRPC method, or a plain path's end.
"""

from dataclasses import dataclass
from urllib.parse import unquote

from swiftchute.proxy.http_framing import Headers, Message
from swiftchute.proxy.retry import ANSWERED, ERRORED, End

S = 1_000_000_000
_UNITS = {b"H": 3600 * S, b"M": 60 * S, b"S": S, b"m": 10**6, b"u": 10**3, b"n": 1}
# what the proxy says itself: gRPC status (its core documentation's codes) and HTTP status
_SAID = {
    "unknown": (12, 404, "no such operation"),
    "full": (14, 503, "too many invocations under way"),
    "no line": (14, 503, "no server to send it to"),
    "level": (8, 429, "not let in now"),
    "late": (4, 504, "no answer in time"),
    "unreachable": (14, 502, "no server could be reached"),
    "refused": (14, 503, "servers refused it"),
    "withdrawn": (14, 503, "its server was withdrawn"),
    "broken": (14, 502, "the connection to its server broke"),
    "errored": (13, 502, "its server failed"),
    "too large": (8, 413, "the message is too large"),
}
_HOP = {b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade", b"te"}


@dataclass(frozen=True)
class Asked:
    """What a request says of itself; `within`: the caller's own deadline in ns, if it tells one."""

    operation: str
    rpc: bool
    within: int | None


def _field(headers: Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key.lower() == name), None)


def read(message: Message) -> Asked:
    """The operation and form of a request."""
    path = (_field(message.headers, b":path") or b"/").partition(b"?")[0]
    rpc = (_field(message.headers, b"content-type") or b"").startswith(b"application/grpc")
    operation = unquote(path.rpartition(b"/")[2].decode("latin-1"))
    return Asked(operation, rpc, _timeout(_field(message.headers, b"grpc-timeout")))


def _timeout(value: bytes | None) -> int | None:
    """A `grpc-timeout` (gRPC over HTTP/2: up to eight digits and a unit); what is none is passed over."""
    if value and len(value) <= 9 and value[:-1].isdigit() and value[-1:] in _UNITS:
        return int(value[:-1]) * _UNITS[value[-1:]]
    return None


def onward(message: Message, rpc: bool, left: int) -> Message:
    """The request as it goes to a server: hop-by-hop fields away, and what time is left told."""
    headers = [(k, v) for k, v in message.headers if k.lower() not in _HOP and k.lower() != b"grpc-timeout"]
    if rpc:
        headers += [(b"te", b"trailers"), (b"grpc-timeout", str(max(left // 10**6, 1)).encode() + b"m")]
    return Message(0, headers, message.body, message.trailers)


def judge(answer: Message, rpc: bool) -> End:
    """Whether an answer is a good one. For plain HTTP what the server says of the request (4xx) is, but for
    429; for gRPC status 0 alone."""
    if rpc:
        status = _field(answer.trailers, b"grpc-status") or _field(answer.headers, b"grpc-status")
        return ANSWERED if status == b"0" else ERRORED
    code = _field(answer.headers, b":status") or b"500"
    return ANSWERED if code.isdigit() and int(code) < 500 and code != b"429" else ERRORED


def turned(why: str, rpc: bool) -> Message:
    """What the proxy answers itself."""
    status, code, text = _SAID[why]
    if rpc:
        said = [(b"grpc-status", str(status).encode()), (b"grpc-message", text.encode())]
        return Message(0, [(b":status", b"200"), (b"content-type", b"application/grpc"), *said])
    headers = [(b":status", str(code).encode()), (b"content-type", b"text/plain")]
    return Message(0, headers, text.encode() + b"\n")
