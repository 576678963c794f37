"""HTTP/1.1 framing: one exchange at a time."""

import pytest

from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http_framing import HttpMessage


@pytest.mark.parametrize("step", [1, 3, None])
def test_a_second_request_waits_for_the_response_to_the_first(step):
    client, server = Http1Connection(True, 1000), Http1Connection(False, 1000)
    client.send(HttpMessage(0, [(b":method", b"POST"), (b":path", b"/a/read"), (b"host", b"x")], b"body"))
    assert client.available_streams == 0
    data = client.data_to_send()
    next_request = b"GET /b/write HTTP/1.1\r\nhost: x\r\n\r\n"
    events = []
    for start in range(0, len(data + next_request), step or 10_000):
        events += server.receive_data((data + next_request)[start : start + (step or 10_000)])
    (request,) = events
    assert (request.body, dict(request.headers)[b":path"]) == (b"body", b"/a/read")
    server.send(HttpMessage(0, [(b":status", b"200")], b"answer"))
    (second,) = server.next_events()
    assert dict(second.headers)[b":path"] == b"/b/write"
    (response,) = client.receive_data(server.data_to_send())
    assert response.body == b"answer"
    assert client.available_streams == 1


def test_a_response_may_end_with_its_connection():
    client = Http1Connection(True, 1000)
    client.send(HttpMessage(0, [(b":method", b"GET"), (b":path", b"/"), (b"host", b"x")]))
    assert client.receive_data(b"HTTP/1.1 200 OK\r\n\r\nabc") == []
    (response,) = client.receive_data(b"")
    assert response.body == b"abc"
    assert client.closing
