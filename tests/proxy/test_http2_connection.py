"""HTTP/2 framing: complete messages, GOAWAY, resets, limits, and corrupt bytes."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.proxy.errors import HttpFramingError
from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http_framing import (
    ENHANCE_YOUR_CALM,
    REFUSED_STREAM,
    GoAway,
    HttpMessage,
    MessageTooLarge,
    StreamReset,
)
from tests.support.http2 import REQUEST_HEADERS, RESPONSE_HEADERS, connected_pair, exchange


@pytest.mark.parametrize("step", [1, 2, 3, 7, 64, None])
@pytest.mark.parametrize("size", [0, 5, 70_000, 700_000])
def test_messages_are_complete_however_their_bytes_are_split(step, size):
    if step and step < 64 and size > 5:
        size = 20_000
    client, server = connected_pair()
    body = bytes(k % 251 for k in range(size))
    stream_id = client.send(HttpMessage(0, REQUEST_HEADERS, body))
    _, (request,) = exchange(client, server, step)
    assert (request.body, dict(request.headers)[b":path"]) == (body, b"/svc/read")
    server.send(HttpMessage(stream_id, RESPONSE_HEADERS, body, [(b"grpc-status", b"0")]))
    (response,), _ = exchange(client, server, step)
    assert (response.stream_id, response.body, response.trailers) == (
        stream_id,
        body,
        [(b"grpc-status", b"0")],
    )


def test_a_goaway_names_streams_that_never_ran_and_earlier_ones_still_end():
    client, server = connected_pair()
    first, second = (
        client.send(HttpMessage(0, REQUEST_HEADERS, b"1")),
        client.send(HttpMessage(0, REQUEST_HEADERS, b"2")),
    )
    exchange(client, server)
    # built by hand: h2 would close the server's connection after sending a GOAWAY
    goaway = (8).to_bytes(3, "big") + b"\x07\0" + bytes(4) + first.to_bytes(4, "big") + bytes(4)
    assert client.receive_data(goaway) == [GoAway(first, 0)]
    assert (client.available_streams, second > first) == (0, True)
    server.send(HttpMessage(first, RESPONSE_HEADERS, b"done", [(b"grpc-status", b"0")]))
    (response,) = client.receive_data(server.data_to_send())
    assert response.body == b"done"


def test_a_client_that_sends_goaway_still_gets_responses_in_flight():
    client, server = connected_pair()
    stream_id = client.send(HttpMessage(0, REQUEST_HEADERS, b"1"))
    exchange(client, server)
    goaway = (8).to_bytes(3, "big") + b"\x07\0" + bytes(12)
    assert server.receive_data(goaway) == [GoAway(0, 0)]
    assert server.closing
    server.send(HttpMessage(stream_id, RESPONSE_HEADERS, b"done", [(b"grpc-status", b"0")]))
    (response,) = client.receive_data(server.data_to_send())
    assert response.body == b"done"


def test_a_reset_carries_its_error_code():
    client, server = connected_pair()
    stream_id = client.send(HttpMessage(0, REQUEST_HEADERS, b"1"))
    exchange(client, server)
    server.reset_stream(stream_id, REFUSED_STREAM)
    assert client.receive_data(server.data_to_send()) == [StreamReset(stream_id, REFUSED_STREAM)]
    client.reset_stream(stream_id, 8)  # no-op: the stream has ended


def test_a_message_over_the_limit_is_reset_and_others_continue():
    client, server = connected_pair(max_message_bytes=1000)
    large, small = (
        client.send(HttpMessage(0, REQUEST_HEADERS, bytes(5000))),
        client.send(HttpMessage(0, REQUEST_HEADERS, b"ok")),
    )
    client_events, server_events = exchange(client, server)
    assert [type(event) for event in server_events] == [MessageTooLarge, HttpMessage]
    assert client_events == [StreamReset(large, ENHANCE_YOUR_CALM)]
    assert server_events[1].stream_id == small


def test_no_more_streams_are_opened_than_the_peer_announced():
    client, _ = connected_pair(max_streams=3)
    for left in (3, 2, 1):
        assert client.available_streams == left
        client.send(HttpMessage(0, REQUEST_HEADERS, b"x"))
    assert client.available_streams == 0
    with pytest.raises(HttpFramingError):
        client.send(HttpMessage(0, REQUEST_HEADERS, b"x"))


@given(st.data())
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_corrupt_bytes_raise_only_framing_errors(data):
    client, server = connected_pair()
    client.send(HttpMessage(0, REQUEST_HEADERS, b"abc"))
    corrupt = bytearray(client.data_to_send())
    for _ in range(data.draw(st.integers(1, 4))):
        corrupt[data.draw(st.integers(0, len(corrupt) - 1))] = data.draw(st.integers(0, 255))
    http1_server = Http1Connection(False, 1000)
    for connection, sent in (
        (server, bytes(corrupt)),
        (client, bytes(corrupt)),
        (http1_server, bytes(corrupt)),
        (http1_server, b""),
    ):
        try:
            connection.receive_data(sent)
        except HttpFramingError:
            assert connection.closing


def test_a_client_keeps_nothing_of_responses_that_are_complete():
    """Guards against memory for each response, for as long as a connection to an endpoint lasts."""
    client, server = connected_pair()
    for _ in range(50):
        stream_id = client.send(HttpMessage(0, REQUEST_HEADERS, b"x"))
        exchange(client, server)
        server.send(HttpMessage(stream_id, RESPONSE_HEADERS, b"y"))
        exchange(client, server)
    assert client.take_unfinished_sizes() == {0: 0}
    assert server.take_unfinished_sizes().keys() == {0, *range(1, 100, 2)}
