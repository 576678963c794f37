"""The platform's process with a fake discovery server: sockets, signals and configuration."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from tests.support.platform import MEMBERS, ROOT, TIMEOUT_S, Client, Discovery, PlatformProcess


def with_process(scenario):
    """Run a scenario with a process that is always ended."""

    def run(tmp_path):
        async def play():
            discovery = await Discovery().start()
            platform = PlatformProcess(tmp_path, discovery.address)
            try:
                await platform.event("serving")
                await scenario(platform, discovery)
            finally:
                if platform.process.poll() is None:
                    platform.process.kill()
                    platform.process.wait(TIMEOUT_S)
                platform.process.stderr.close()

        asyncio.run(play())

    run.__name__, run.__doc__ = scenario.__name__, scenario.__doc__
    return run


@with_process
async def test_proxies_are_served_and_notified_of_a_draining_endpoint(platform, discovery):
    probe = await Client().open(platform.port, {"msg": "probe"})
    assert await probe.receive() == {"msg": "alive"}
    proxies = [await Client().open_proxy(platform.port, p, ("east", "west")[p % 2]) for p in range(6)]
    tables = [await p.receive_table() for p in proxies]
    assert {s for s, _ in tables[0]["endpoints"]} == {"e0", "e1", "e2"}
    assert {s for s, _ in tables[1]["endpoints"]} == {"w0", "w1", "w2"}
    await discovery.wait_watched()
    assert discovery.targets == ["/catalog/members?watch=1&after=41"]
    discovery.send(42, MEMBERS[0] | {"phase": "Terminating"})
    for proxy in (proxies[0], proxies[2]):
        message = await proxy.receive()
        assert ["e0", 0] in message["endpoints"]
        assert "full" not in message
    assert await platform.stop() == 0


@with_process
async def test_after_discovery_is_lost_the_watch_resumes_at_the_last_revision(platform, discovery):
    proxy = await Client().open_proxy(platform.port, 0)
    await proxy.receive_table()
    await discovery.wait_watched()
    discovery.send(47, MEMBERS[4] | {"phase": "Terminating"})
    discovery.break_all()
    await discovery.wait_watched()
    assert discovery.targets[-1] in (
        "/catalog/members?watch=1&after=47",
        "/catalog/members?watch=1&after=41",
    )
    discovery.send(48, MEMBERS[0] | {"phase": "Terminating"})
    await proxy.receive_removal("e0")


@with_process
async def test_sighup_changes_the_discovery_address_and_an_invalid_file_changes_nothing(platform, discovery):
    proxy = await Client().open_proxy(platform.port, 0)
    await proxy.receive_table()
    await discovery.wait_watched()
    platform.file.write_text('{"name": "n0", ')
    platform.process.send_signal(signal.SIGHUP)
    refused = await platform.event("reload refused")
    assert str(platform.file) in refused["cause"]
    assert "not JSON" in refused["cause"]
    new = await Discovery().start()
    platform.configuration["discovery"] = new.address
    platform.write()
    discovery.send(45, MEMBERS[1] | {"phase": "Terminating"})  # a change sent just before the address changes
    platform.process.send_signal(signal.SIGHUP)
    await new.wait_watched()
    new.send(46, MEMBERS[0] | {"phase": "Terminating"})
    drained = set()
    while drained != {"e0", "e1"}:
        drained |= {s for s, w in (await proxy.receive()).get("endpoints", []) if not w}
    assert platform.process.poll() is None


@with_process
async def test_sigterm_ends_150_sessions_and_the_process(platform, discovery):
    proxies = [await Client().open_proxy(platform.port, p) for p in range(150)]
    for proxy in proxies:
        await proxy.receive_table()
    assert await platform.stop() == 0
    for proxy in proxies:
        await proxy.wait_closed()


@with_process
async def test_unidentified_clients_are_disconnected_while_proxies_are_served(platform, discovery):
    silent = [await Client().open(platform.port) for _ in range(300)]
    proxy = await Client().open_proxy(platform.port, 7)
    assert await proxy.receive_table()
    http = await Client().open(platform.port)
    http.writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await http.receive())["msg"] == "error"
    for client in silent:
        try:
            message = await client.receive()
        except ConnectionError:
            continue
        assert message is None or message["msg"] == "error"
    endless = await Client().open(platform.port)
    await endless.wait_closed(b"x" * 65536)
    late = await Client().open_proxy(platform.port, 8)
    assert await late.receive_table()


@pytest.mark.parametrize("change, named", [
    ({"listen": "nowhere"}, "listen: 'nowhere' is not of the form IP-address:port"),
    ({"discovery": 7}, "discovery: '7' is not of type str"),
    ({"seed": "xyz"}, "seed: 'xyz'"), ({"limits": {"sockets": 3}}, "limits.sockets: 3"),
    ({"settings": {}}, "settings: classes: missing"), ({"settings": [1]}, "settings: '[1]'"),
    ({"known": {"revision": 1}}, "known: invalid endpoint list"), ({"name": None}, "name: missing"),
])  # fmt: skip
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path, change, named):
    platform = PlatformProcess(tmp_path, "127.0.0.1:1", **change)
    _, errors = platform.process.communicate(timeout=TIMEOUT_S)
    assert platform.process.returncode == 2
    (line,) = errors.decode().splitlines()
    assert str(platform.file) in line
    assert named in line


def test_a_missing_configuration_is_reported_in_one_line(tmp_path):
    for path, named in (("", "GW_CONFIG: not set"), (str(tmp_path / "none.json"), "No such file")):
        result = subprocess.run(
            [sys.executable, "-m", "swiftchute.platform"],
            cwd=ROOT,
            capture_output=True,
            env=os.environ | {"GW_CONFIG": path},
            timeout=TIMEOUT_S,
            check=False,
        )
        assert result.returncode == 2
        assert named in result.stderr.decode()
        assert result.stderr.count(b"\n") == 1


def test_unused_modules_are_not_imported():
    program = "import sys, swiftchute.platform.__main__; print(*sorted(sys.modules))"
    result = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, check=True, timeout=TIMEOUT_S
    )
    loaded = {name.split(".")[0] for name in result.stdout.decode().split()}
    assert (
        loaded & {"grpclib", "google", "httpx", "hcl2", "dns", "structlog", "click", "numpy", "h2"} == set()
    )


SOCKETS_FAIL = """
import errno, socket
class Failing(socket.socket):
    left = {times}
    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None and type != -1 and Failing.left:
            Failing.left -= 1
            raise OSError(errno.{error}, "injected")
        super().__init__(family, type, proto, fileno)
socket.socket = Failing
"""


@pytest.mark.parametrize("error", ["ENOBUFS", "ENFILE", "EMFILE", "ENOMEM", "EADDRNOTAVAIL"])
def test_opening_the_listening_socket_is_retried_after_a_transient_error(tmp_path, error):
    async def scenario():
        discovery = await Discovery().start()
        prelude = f"exec({SOCKETS_FAIL.format(times=4, error=error)!r})"
        process = PlatformProcess(tmp_path, discovery.address, prelude=prelude)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                assert (await process.event("listen failed"))["retry_after_s"] > 0
                await process.event("serving")
            await (await Client().open_proxy(process.port, 0)).receive_table()
        finally:
            assert await process.stop() == 0

    asyncio.run(scenario())
