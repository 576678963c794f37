"""A connection to an endpoint, without sockets."""

import asyncio

from swiftchute.proxy.http1_connection import Http1Connection
from swiftchute.proxy.http_framing import HttpMessage
from swiftchute.proxy.retry import AttemptOutcome
from swiftchute.proxy.upstream_connection import UpstreamConnection

REQUEST = HttpMessage(0, [(b":method", b"GET"), (b":path", b"/read"), (b"host", b"x")])
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Transport:
    """A transport that drops what is written."""

    def __init__(self):
        self.aborted = False

    def write(self, data):
        pass

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def set_write_buffer_limits(self, high):
        pass


def test_the_end_of_an_attempt_does_not_cancel_the_next_one_on_its_connection():
    """Guards against a request whose answer was dropped, as the request before it on HTTP/1.1 ended then."""

    async def exchange():
        connection = UpstreamConnection(Http1Connection(True, 2**20), lambda closed: None, lambda: 0)
        connection.connection_made(Transport())
        stream_id, first = connection.send(REQUEST)
        connection.data_received(RESPONSE)
        _, second = connection.send(REQUEST)  # before the task of the first one runs again
        connection.cancel(stream_id, first)
        assert not connection.transport.aborted
        connection.data_received(RESPONSE)
        assert (await second).response.body == b"ok"
        stream_id, third = connection.send(REQUEST)
        connection.cancel(stream_id, third)
        assert connection.transport.aborted
        assert not third.done()
        assert first.result().outcome is AttemptOutcome.FAILED  # until the response is classified

    asyncio.run(exchange())
