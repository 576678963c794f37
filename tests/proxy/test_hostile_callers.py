"""A real proxy beside callers that stop half way, send at full speed, or leave: its memory, and who waits."""

import socket
import time

import pytest

from tests.support.hostile_clients import Bystander, Flood, HalfWritten, connect, leave, peak_memory_mb
from tests.support.processes import start_proxy

MIB = 1 << 20
MAX_MEMORY_MB = 200  # 64 MiB for unfinished requests, beside what the process takes and read buffers
MAX_WAIT_S = 2.0  # the time-out of the operation
HEAD = b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 1048576\r\n\r\n"
GET = b"GET /%s HTTP/1.1\r\nhost: x\r\n\r\n"
HTTP2_OPENING = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\x04\0\0\0\0\0"
PING = b"\0\0\x08\x06\0\0\0\0\0" + bytes(8)


@pytest.fixture
def proxy(tmp_path):
    process, address, backend = start_proxy(tmp_path)
    yield process.process.pid, address, backend
    process.stop()
    assert process.process.returncode == 0


class Caller:
    """A caller on one connection, which expects 200."""

    def __init__(self, address):
        self.connection = connect(address)
        self.connection.settimeout(20)

    def __call__(self):
        self.connection.sendall(GET % b"read")
        if not self.connection.recv(1 << 16).startswith(b"HTTP/1.1 200"):
            raise ValueError("not answered by the server")


def test_many_callers_that_stop_half_way_stay_within_the_memory_limit(proxy):
    """Guards against memory for an unfinished request of each caller."""
    process, address, _ = proxy
    callers = HalfWritten(address, [HEAD + bytes(MIB - 1000)] * 400)
    bystander = Bystander(Caller(address))
    callers.send_beside(bystander, 12)
    assert peak_memory_mb(process) < MAX_MEMORY_MB
    assert bystander.failures == []
    assert max(bystander.latencies_s) < MAX_WAIT_S
    assert callers.refused > 100
    assert all(b"unfinished requests of all callers" in reply for reply in callers.replies if reply)
    callers.close()


@pytest.mark.parametrize(
    "opening, block",
    [(b"", GET % b"x" * 2000), (b"", GET % b"read" * 2000), (HTTP2_OPENING, PING * 2000)],
    ids=["unknown", "valid", "pings"],
)
def test_a_caller_at_full_speed_holds_up_nobody_and_takes_no_memory(proxy, opening, block):
    """Guards against pipelined requests that are read without end, and against frames handled in one go."""
    process, address, _ = proxy
    flood = Flood(address, opening, lambda number: block)
    flood.start()
    bystander = Bystander(Caller(address))
    bystander.watch(3)
    flood.stop()
    assert peak_memory_mb(process) < MAX_MEMORY_MB
    assert bystander.failures == []
    assert max(bystander.latencies_s) < MAX_WAIT_S


def test_requests_of_a_caller_that_has_left_are_not_sent_on(proxy):
    """Guards against requests that wait in the proxy's memory and run after their caller has left."""
    _, address, backend = proxy
    backend.body, backend.delay_s = bytes(900_000), 0.01
    requests = b"".join(GET % (b"read?id=%d" % number) for number in range(400))
    leave(address, requests, 0.5)
    sent_on = len(backend.requests)
    time.sleep(1)
    assert len(backend.requests) <= sent_on + 1
    assert len(set(backend.requests)) == len(backend.requests)


def test_a_caller_that_reads_nothing_and_shuts_down_gets_no_more_requests_sent_on(proxy):
    """Guards against an end of the stream that goes unnoticed while the caller's answers are unread."""
    _, address, backend = proxy
    backend.body, backend.delay_s = bytes(900_000), 0.01
    with connect(address) as caller:
        caller.sendall(b"".join(GET % (b"read?id=%d" % number) for number in range(400)))
        time.sleep(0.3)
        caller.shutdown(socket.SHUT_WR)
        time.sleep(0.2)
        sent_on = len(backend.requests)
        time.sleep(1)
        assert 0 < sent_on < 40  # 900 kB each: what the kernel and the proxy hold for a caller
        assert len(backend.requests) <= sent_on + 1
