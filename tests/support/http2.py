"""A pair of HTTP/2 connections without sockets, and the headers of a gRPC call."""

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
    """Return client and server of a connection after the prefaces; `exchange` delivers their bytes."""
    client, server = (
        Http2Connection(True, max_message_bytes),
        Http2Connection(False, max_message_bytes, max_streams),
    )
    client.start()
    server.start()
    exchange(client, server)
    return client, server


def exchange(client, server, step=None):
    """Deliver bytes in pieces of `step` until none are left; return the events of client and server."""
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
