"""A real process beside clients that stop half way or send at full speed: its memory, and who waits."""

import contextlib
import time

import pytest

from tests.support.hostile_clients import Bystander, Flood, HalfWritten, LineClient, connect, peak_memory_mb
from tests.support.platform import PlatformProcess, wire_settings

MEMORY_MB, PROXIES = 96, 150
MIB = 1 << 20
MAX_WAIT_S = 1.0  # a client that is not handled for longer is taken for one that does not identify itself
PROBE = b'{"msg":"probe"}\n'
REPORT = (
    b'{"msg":"outcomes","zone":"east","server":"e0","tries":1,"failed":0,"span_ms":1000,"mean_ms":5,"load":{'
)


def hello(proxy):
    return b'{"msg":"hello","proxy":%d,"zone":"east","weight":1.0,"fresh":true}\n' % proxy


@pytest.fixture
def process(tmp_path):
    """A process under a memory limit that it does not enforce itself, with discovery out of reach."""
    started = PlatformProcess(
        tmp_path, "127.0.0.1:9", settings=wire_settings(PROXIES),
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
    )  # fmt: skip
    started.address = ("127.0.0.1", started.port)
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), connect(started.address):
            break
    yield started
    started.process.terminate()
    assert started.process.wait(20) == 0
    started.process.stderr.close()


def test_many_clients_that_stop_half_way_stay_within_the_memory_limit(process):
    """Guards against memory for an unfinished message of each client: 150 clients left 1 MiB each."""
    payloads = [hello(number) + b'{"a":"' + bytes(MIB - 100) for number in range(PROXIES)]
    clients = HalfWritten(process.address, payloads)
    clients.send(10)
    assert Bystander(LineClient(process.address, PROBE)).watch(0.5) < MAX_WAIT_S
    assert peak_memory_mb(process.process.pid) < MEMORY_MB
    assert 0 < clients.refused < PROXIES
    assert all(b"unfinished messages of all clients" in reply for reply in clients.replies if reply)
    clients.close()


def test_reports_with_many_load_figures_take_no_memory(process):
    """Guards against reports that hold a large object each until the next round."""
    report = REPORT + b",".join(b'"%x":1' % key for key in range(90_000)) + b"}}\n"
    flood = Flood(process.address, b'{"msg":"agent","zone":"east"}\n', lambda number: report)
    flood.start()
    bystander = Bystander(LineClient(process.address, PROBE))
    bystander.watch(3)
    flood.stop()
    assert peak_memory_mb(process.process.pid) < MEMORY_MB
    assert max(bystander.latencies_s) < MAX_WAIT_S


@pytest.mark.parametrize(
    "block", [b"{}\n" * 20_000, b'{"msg":"x"}\n' * 5000, PROBE * 4000], ids=["empty", "unknown", "probes"]
)
def test_a_client_at_full_speed_does_not_hold_up_others(process, block):
    """Guards against answers that wait for all that one client has sent: 18 s with `{}` alone."""
    flood = Flood(process.address, hello(0), lambda number: block)
    flood.start()
    bystander = Bystander(LineClient(process.address, PROBE))
    bystander.watch(3)
    flood.stop()
    assert flood.sent_bytes > MIB
    assert bystander.failures == []
    assert max(bystander.latencies_s) < MAX_WAIT_S


def test_many_clients_at_full_speed_do_not_hold_up_others(process):
    """Guards against a limit for each client only: together they took all turns."""
    payloads = [hello(number) + b"{}\n" * 300_000 for number in range(PROXIES)]
    clients = HalfWritten(process.address, payloads)
    bystander = Bystander(LineClient(process.address, PROBE))
    for _ in range(10):
        clients.send(0.3)
        bystander.watch(0.01)
    assert bystander.failures == []
    assert max(bystander.latencies_s) < MAX_WAIT_S
    assert peak_memory_mb(process.process.pid) < MEMORY_MB
    clients.close()
