"""Parsing and forwarding of requests, classification of responses, and local responses."""

import pytest

from swiftchute.proxy import response_headers
from swiftchute.proxy.http_framing import HttpMessage
from tests.support.http2 import REQUEST_HEADERS, RESPONSE_HEADERS

S = 1_000_000_000


def test_operation_protocol_and_timeout_of_a_request_are_parsed_and_forwarded():
    info = response_headers.parse_request(HttpMessage(1, [*REQUEST_HEADERS, (b"grpc-timeout", b"250m")]))
    assert (info.operation, info.grpc, info.timeout_ns) == ("read", True, 250_000_000)
    http_info = response_headers.parse_request(HttpMessage(0, [(b":path", b"/x/lot%2Destimate?q=1")]))
    assert (http_info.operation, http_info.grpc, http_info.timeout_ns) == ("lot-estimate", False, None)
    assert (
        response_headers.parse_request(
            HttpMessage(1, [*REQUEST_HEADERS, (b"grpc-timeout", b"99999999999S")])
        ).timeout_ns
        is None
    )
    forwarded = response_headers.forwarded_request(
        HttpMessage(1, [*REQUEST_HEADERS, (b"connection", b"x"), (b"grpc-timeout", b"9S")]), True, 2 * S
    )
    assert dict(forwarded.headers)[b"grpc-timeout"] == b"2000m"
    assert b"connection" not in dict(forwarded.headers)


@pytest.mark.parametrize(
    ("grpc", "headers", "trailers", "succeeded"),
    [
        (True, RESPONSE_HEADERS, [(b"grpc-status", b"0")], True),
        (True, RESPONSE_HEADERS, [(b"grpc-status", b"14")], False),
        (True, [*RESPONSE_HEADERS, (b"grpc-status", b"0")], [], True),
        (True, RESPONSE_HEADERS, [], False),
        (False, [(b":status", b"200")], [], True),
        (False, [(b":status", b"404")], [], True),
        (False, [(b":status", b"503")], [], False),
        (False, [(b":status", b"429")], [], False),
    ],
)
def test_responses_are_classified_by_status(grpc, headers, trailers, succeeded):
    assert (
        response_headers.classify_response(HttpMessage(1, headers, b"", trailers), grpc).succeeded
        == succeeded
    )


def test_every_local_status_has_a_response_in_both_protocols():
    for result in response_headers.LOCAL_STATUSES:
        assert dict(response_headers.local_response(result, True).headers)[b"grpc-status"] != b"0"
        assert int(dict(response_headers.local_response(result, False).headers)[b":status"]) >= 400
