"""Parses and forwards requests, classifies responses and builds local ones, for gRPC and plain HTTP. No I/O.

The operation of a request is the last segment of its path: the gRPC method, or the end of a plain HTTP path.
"""

from dataclasses import dataclass
from urllib.parse import unquote

from swiftchute.proxy.http_framing import Headers, HttpMessage
from swiftchute.proxy.retry import AttemptOutcome, RequestResult
from swiftchute.proxy.settings import NS_PER_S

NS_PER_MS = 10**6
MAX_TIMEOUT_DIGITS = 8  # of grpc-timeout (gRPC over HTTP/2, "Timeout")
_TIMEOUT_UNITS_NS = {
    b"H": 3600 * NS_PER_S,
    b"M": 60 * NS_PER_S,
    b"S": NS_PER_S,
    b"m": NS_PER_MS,
    b"u": 10**3,
    b"n": 1,
}
_HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"transfer-encoding",
    b"upgrade",
    b"te",
}
_REPLACED_HEADERS = _HOP_BY_HOP_HEADERS | {b"grpc-timeout"}


@dataclass(frozen=True)
class LocalStatus:
    """Status of a response that the proxy generates itself, for gRPC and plain HTTP."""

    grpc_status: int
    http_status: int
    text: str


LOCAL_STATUSES = {
    RequestResult.UNKNOWN_OPERATION: LocalStatus(12, 404, "no such operation"),
    RequestResult.AT_CAPACITY: LocalStatus(14, 503, "too many invocations under way"),
    RequestResult.NO_ENDPOINT: LocalStatus(14, 503, "no server to send it to"),
    RequestResult.NOT_ADMITTED: LocalStatus(8, 429, "not let in now"),
    RequestResult.TIMED_OUT: LocalStatus(4, 504, "no answer in time"),
    RequestResult.UNREACHABLE: LocalStatus(14, 502, "no server could be reached"),
    RequestResult.REFUSED: LocalStatus(14, 503, "servers refused it"),
    RequestResult.WITHDRAWN: LocalStatus(14, 503, "its server was withdrawn"),
    RequestResult.CONNECTION_LOST: LocalStatus(14, 502, "the connection to its server broke"),
    RequestResult.FAILED: LocalStatus(13, 502, "its server failed"),
    RequestResult.TOO_LARGE: LocalStatus(8, 413, "the message is too large"),
}


@dataclass(frozen=True)
class RequestInfo:
    """The parts of a request that routing needs.

    Attributes:
        operation: name of the requested operation.
        grpc: whether it is a gRPC request.
        timeout_ns: timeout sent by the caller, None if it sent none.
    """

    operation: str
    grpc: bool
    timeout_ns: int | None


def parse_request(message: HttpMessage) -> RequestInfo:
    """Parse the operation, protocol and timeout of a request."""
    path = (_header(message.headers, b":path") or b"/").partition(b"?")[0]
    grpc = (_header(message.headers, b"content-type") or b"").startswith(b"application/grpc")
    operation = unquote(path.rpartition(b"/")[2].decode("latin-1"))
    return RequestInfo(operation, grpc, _parse_grpc_timeout(_header(message.headers, b"grpc-timeout")))


def forwarded_request(message: HttpMessage, grpc: bool, remaining_ns: int) -> HttpMessage:
    """Build the request to an endpoint: without hop-by-hop headers, in gRPC with the remaining timeout."""
    headers = [(name, value) for name, value in message.headers if name.lower() not in _REPLACED_HEADERS]
    if grpc:
        timeout_ms = max(remaining_ns // NS_PER_MS, 1)
        headers += [(b"te", b"trailers"), (b"grpc-timeout", str(timeout_ms).encode() + b"m")]
    return HttpMessage(0, headers, message.body, message.trailers)


def classify_response(response: HttpMessage, grpc: bool) -> AttemptOutcome:
    """Classify an endpoint's response as success or failure.

    In gRPC only status 0 is a success. In plain HTTP, client errors (4xx) except 429 count as successes too,
    because they say nothing about the endpoint.
    """
    if grpc:
        status = _header(response.trailers, b"grpc-status") or _header(response.headers, b"grpc-status")
        succeeded = status == b"0"
    else:
        code = _header(response.headers, b":status") or b"500"
        succeeded = code.isdigit() and int(code) < 500 and code != b"429"
    return AttemptOutcome.SUCCEEDED if succeeded else AttemptOutcome.FAILED


def local_response(result: RequestResult, grpc: bool) -> HttpMessage:
    """Build the proxy's own response for a request with this result."""
    status = LOCAL_STATUSES[result]
    if grpc:
        headers = [
            (b":status", b"200"),
            (b"content-type", b"application/grpc"),
            (b"grpc-status", str(status.grpc_status).encode()),
            (b"grpc-message", status.text.encode()),
        ]
        return HttpMessage(0, headers)
    headers = [(b":status", str(status.http_status).encode()), (b"content-type", b"text/plain")]
    return HttpMessage(0, headers, status.text.encode() + b"\n")


def _header(headers: Headers, name: bytes) -> bytes | None:
    return next((value for key, value in headers if key.lower() == name), None)


def _parse_grpc_timeout(value: bytes | None) -> int | None:
    """Parse a `grpc-timeout` header into ns; None if it is missing or malformed."""
    if not value or len(value) > MAX_TIMEOUT_DIGITS + 1:
        return None
    number, unit = value[:-1], value[-1:]
    if not number.isdigit() or unit not in _TIMEOUT_UNITS_NS:
        return None
    return int(number) * _TIMEOUT_UNITS_NS[unit]
