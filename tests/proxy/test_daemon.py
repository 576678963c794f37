"""A proxy with a control plane: tables, load reports, and the cache for a start without a control plane."""

import asyncio
import json
import time

import pytest
from grpclib.client import Channel

from swiftchute.config import load
from swiftchute.config.proxy import load as load_proxy
from swiftchute.daemon.proxy import Daemon
from swiftchute.daemon.service import Service
from swiftchute.observability.logging import configure_logging
from swiftchute.policy import Reconciler
from swiftchute.xds.server import RawCodec
from tests.support.hcl import ONE_ZONE
from tests.support.proxy import call, run, start_backends

CONTROL_PLANE = (
    ONE_ZONE
    + """
list "file" {{
  path = "{list}"
  every = "20ms"
}}
xds {{
  listen = "127.0.0.1:{port}"
}}
"""
)
PROXY = """
proxy {{
  name = "gw"
  zone = "z"
  listen = "127.0.0.1:0"
  planners = ["127.0.0.1:{port}"]
  keep = "{keep}"
  form = "{form}"
  drain = "1s"
}}
operation "read" {{
  timeout = "2s"
  repeats = "idempotent"
}}
"""


class RunningService:
    """Runs a service as a task of this event loop."""

    def __init__(self, service):
        self.service = service

    async def __aenter__(self):
        ready = asyncio.get_running_loop().create_future()
        self.task = asyncio.ensure_future(self.service.run(ready.set_result, signals=False))
        await asyncio.wait({ready, self.task}, return_when=asyncio.FIRST_COMPLETED)
        if self.task.done():
            self.task.result()
        self.address = ready.result()
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def publish(folder, states):
    """Write the endpoint list from a mapping of address to state."""
    rows = [
        {"targets": [address], "labels": {"zone": "z", "state": state}} for address, state in states.items()
    ]
    (folder / "new").write_text(json.dumps(rows))
    (folder / "new").replace(folder / "list.json")


def make_control_plane(folder):
    path = folder / "planner.hcl"
    path.write_text(CONTROL_PLANE.format(proxies=1, list=folder / "list.json", port=0))
    return Service(load(str(path)), configure_logging("error"), Reconciler)


def make_daemon(folder, port, form):
    path = folder / "proxy.hcl"
    path.write_text(PROXY.format(port=port, keep=folder / "kept", form=form))
    return Daemon(load_proxy(str(path)), configure_logging("error"))


async def wait_for_table(daemon, endpoints):
    for _ in range(400):
        routing = daemon.router.tables.get("read")
        if routing is not None and set(routing.table.weights) == endpoints:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(daemon.router.tables)


async def send_calls(address, count):
    channel = Channel(*address, codec=RawCodec())
    try:
        return [await call(channel, body=b"%d|0|g" % k) for k in range(count)]
    finally:
        channel.close()


@pytest.mark.parametrize("form", ["delta", "sotw"])
def test_a_proxy_follows_the_control_plane_and_continues_and_restarts_without_it(tmp_path, form):
    async def scenario():
        first, second = await start_backends(2)
        publish(tmp_path, {first.address: "ready", second.address: "ready"})
        async with RunningService(make_control_plane(tmp_path)) as control_plane:
            daemon = make_daemon(tmp_path, control_plane.address[1], form)
            async with RunningService(daemon) as proxy:
                await wait_for_table(daemon, {first.address, second.address})
                assert await send_calls(proxy.address, 20) == ["ok"] * 20
                await asyncio.sleep(0.6)
                observed = control_plane.service.controller.observed_traffic
                assert observed.responding_endpoints(time.monotonic_ns())  # its load reports arrived
                publish(tmp_path, {first.address: "draining", second.address: "ready"})
                await wait_for_table(daemon, {second.address})
                await control_plane.__aexit__()
                await asyncio.sleep(0.3)
                assert await send_calls(proxy.address, 5) == ["ok"] * 5
        daemon = make_daemon(tmp_path, 1, form)  # no control plane answers now
        async with RunningService(daemon) as proxy:
            assert await send_calls(proxy.address, 5) == ["ok"] * 5
            assert set(daemon.router.tables["read"].table.weights) == {second.address}

    run(scenario)
