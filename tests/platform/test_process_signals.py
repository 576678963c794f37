"""Signals raised at a chosen point of a process, and a process that runs out of descriptors."""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time

import pytest

from tests.support.platform import (
    MEMBERS,
    ROOT,
    TIMEOUT_S,
    Client,
    Discovery,
    PlatformProcess,
    free_port,
    wire_settings,
)

S = 1_000_000_000

LAUNCHER = """
import importlib, os, signal, sys
point, times, *numbers = sys.argv[1].split(",")
numbers, left = [int(n) for n in numbers], [int(times)]

def raise_signals():
    if left[0]:
        left[0] -= 1
        for number in numbers:
            os.kill(os.getpid(), number)

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == point:
            raise_signals()

sys.meta_path.insert(0, Finder())
if ":" in point:
    module, path = point.split(":")
    owner = importlib.import_module(module)
    *attributes, function = path.split(".")
    for attribute in attributes:
        owner = getattr(owner, attribute)
    original = getattr(owner, function)
    def signal_and_call(*arguments, **named):
        raise_signals()
        return original(*arguments, **named)
    setattr(owner, function, signal_and_call)
from swiftchute.platform.__main__ import run
run()
"""

POINTS = {
    "an import of the start": "uvloop,1",
    "the configuration is read": "swiftchute.platform.settings:read,1",
    "before the loop's handlers": "swiftchute.platform.server:Server.__init__,1",
    "before the listener": "swiftchute.platform.transports:DiscoveryTransport.__init__,1",
    "in a round": "swiftchute.platform.session_manager:SessionManager.run_round,1",
    "before the first request": "swiftchute.platform.discovery_client:DiscoveryClient.connection_opened,1",
}


class LaunchedProcess:
    """An instance started by the launcher script."""

    def __init__(self, tmp_path, trigger, **more):
        self.port, self.discovery = free_port(), socket.create_server(("127.0.0.1", 0))  # never responds
        file = tmp_path / "config.json"
        file.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}",
            "discovery": "{}:{}".format(*self.discovery.getsockname()),
            "seed": "1", "settings": wire_settings(),
            "known": {"revision": 41, "complete": True, "members": MEMBERS},
        }))  # fmt: skip
        self.process = subprocess.Popen(
            [sys.executable, "-c", LAUNCHER, trigger], cwd=ROOT, stderr=subprocess.PIPE,
            env=os.environ | {"GW_CONFIG": str(file)}, **more,
        )  # fmt: skip

    def event(self, name):
        until = time.monotonic() + TIMEOUT_S
        for line in self.process.stderr:  # a statistics line comes every 10 s
            row = json.loads(line)
            if row["event"] == name:
                return row
            assert time.monotonic() < until
        raise AssertionError(f"no event {name!r}: the process ended with {self.process.wait(TIMEOUT_S)}")

    def probe(self):
        with socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S) as client:
            client.settimeout(TIMEOUT_S)
            client.sendall(b'{"msg":"probe"}\n')
            return client.makefile().readline()

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        self.process.stderr.read()
        code = self.process.wait(TIMEOUT_S)
        self.process.stderr.close()
        return code


@pytest.fixture
def launch(tmp_path):
    launched = []

    def launch(*arguments, **more):
        launched.append(LaunchedProcess(tmp_path, *arguments, **more))
        return launched[-1]

    yield launch
    for platform in launched:
        if platform.process.poll() is None:
            platform.process.kill()
            platform.process.wait(TIMEOUT_S)
        platform.process.stderr.close()
        platform.discovery.close()


@pytest.mark.parametrize("point", POINTS)
def test_sigterm_at_any_point_of_the_start_exits_with_code_0(launch, point):
    platform = launch(f"{POINTS[point]},{int(signal.SIGTERM)}")
    assert platform.process.wait(TIMEOUT_S) == 0
    assert b"Traceback" not in platform.process.stderr.read()


@pytest.mark.parametrize("point", POINTS)
def test_sighup_at_any_point_of_the_start_reloads_and_continues(launch, point):
    platform = launch(f"{POINTS[point]},{int(signal.SIGHUP)}")
    platform.event("reloaded")
    assert platform.probe() == '{"msg":"alive"}\n'
    assert platform.end() == 0


def test_sighup_during_a_reload_reloads_again(launch):
    """A second SIGHUP arrives while the file is being read for the first one."""
    platform = launch(f"swiftchute.platform.settings:read,3,{int(signal.SIGHUP)}")
    for _ in range(2):
        platform.event("reloaded")
    assert platform.probe() == '{"msg":"alive"}\n'
    assert platform.end() == 0


@pytest.mark.parametrize("point", ["_stop", "on_client_closed", "os:_exit"])
def test_repeated_signals_while_stopping_change_nothing(launch, point):
    many = ",".join(str(int(n)) for n in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM))
    point = point if ":" in point else f"swiftchute.platform.server:Server.{point}"
    platform = launch(f"{point},9,{many}")
    platform.event("serving")
    assert platform.end() == 0


def test_connections_are_accepted_again_after_descriptors_ran_out(launch):
    def limit_descriptors():
        resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))

    platform = launch("none,0", preexec_fn=limit_descriptors)
    platform.event("serving")
    replies, clients = (
        [],
        [socket.create_connection(("127.0.0.1", platform.port), TIMEOUT_S) for _ in range(200)],
    )
    try:
        for client in clients:  # each one is answered or disconnected, none waits forever
            client.settimeout(TIMEOUT_S)
            with contextlib.suppress(ConnectionError):
                client.sendall(b'{"msg":"probe"}\n')
                replies.append(client.recv(100))
        assert b'{"msg":"alive"}\n' in replies
        assert platform.process.poll() is None
    finally:
        for client in clients:
            client.close()
    reply = ""
    while not reply:  # until the process has noticed that the other clients disconnected
        assert platform.process.poll() is None
        with contextlib.suppress(ConnectionError):
            reply = platform.probe()
    assert reply == '{"msg":"alive"}\n'
    platform.process.send_signal(signal.SIGTERM)
    assert platform.event("stopped")["evicted"] > 0  # by the limit on pending sessions
    assert platform.end() == 0


SHORT_SILENCE = "from swiftchute.platform import session_manager; session_manager.IDLE_TIMEOUT_NS = 10**9"


@pytest.mark.parametrize("stopped_s", [1.5, 3.0])
def test_proxies_that_report_while_the_process_is_suspended_stay_connected(tmp_path, stopped_s):
    async def scenario():
        process = PlatformProcess(tmp_path, (await Discovery().start()).address, prelude=SHORT_SILENCE)
        try:
            await process.event("serving")
            proxies = [await Client().open_proxy(process.port, proxy) for proxy in range(20)]
            for proxy in proxies:
                await proxy.receive_table()  # the acknowledgement of the table stays pending
            process.process.send_signal(signal.SIGSTOP)
            for _ in range(int(stopped_s / 0.25)):
                for number, proxy in enumerate(proxies):
                    report = {"msg": "demand", "proxy": number, "class": "read", "tries": 1, "failed": 0}
                    proxy.send(report | {"span_ms": 250.0})
                await asyncio.sleep(0.25)
            process.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
            for number, proxy in enumerate(proxies):
                proxy.send({"msg": "probe"})
                while (message := await proxy.receive()) is not None and message["msg"] != "alive":
                    pass
                assert message is not None, f"the stream of proxy {number} was closed"
        finally:
            process.process.send_signal(signal.SIGCONT)
            await process.stop()

    asyncio.run(scenario())
