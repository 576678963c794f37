"""What discovery writes to a watch."""

import json

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def member(name, phase="Ready", **changes):
    """An entry of the list."""
    return {"id": name, "host_port": "10.0.0.1:80", "locality": "east", "flavor": "m2", "cell": 3,
            "phase": phase, "size": 1.5, "up_since_ms": 0} | changes  # fmt: skip


def line(revision, complete, *members):
    """A line: the whole list, or changes to it."""
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


def chunk(data):
    """A chunk of the answer's body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


EMPTY_LINE = chunk(b"\n")
