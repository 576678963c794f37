"""Responses of the discovery service to a watch request."""

import json

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def member(name, phase="Ready", **changes):
    """Return a member of the endpoint list."""
    return {"id": name, "host_port": "10.0.0.1:80", "locality": "east", "flavor": "m2", "cell": 3,
            "phase": phase, "size": 1.5, "up_since_ms": 0} | changes  # fmt: skip


def line(revision, complete, *members):
    """Return a line with the full list, or with changes to it."""
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


def chunk(data):
    """Encode data as one chunk of the response body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


EMPTY_LINE = chunk(b"\n")
