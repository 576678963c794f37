"""An HTTP/2 connection without sockets, and headers of a gRPC call."""

from swiftchute.proxy.http2_connection import Http2Connection

REQUEST_HEADERS = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/svc/read"),
    (b":authority", b"x"),
    (b"content-type", b"application/grpc"),
]
RESPONSE_HEADERS = [(b":status", b"200"), (b"content-type", b"application/grpc")]


def connected_pair(max_message_bytes=2**20, max_streams=100):
    """Client and server of an HTTP/2 connection past their prefaces; `exchange` moves what they sent."""
    client, server = (
        Http2Connection(True, max_message_bytes),
        Http2Connection(False, max_message_bytes, max_streams),
    )
    client.start()
    server.start()
    exchange(client, server)
    return client, server


def exchange(client, server, step=None):
    """Move bytes until nothing is left to send; returns the events of both, fed in pieces of `step` bytes."""
    received = ([], [])
    while True:
        moved = False
        for sender, receiver, events in ((client, server, received[1]), (server, client, received[0])):
            data = sender.data_to_send()
            for start in range(0, len(data), step or max(len(data), 1)):
                moved = True
                events += receiver.receive_data(data[start : start + (step or len(data))])
        if not moved:
            return received
