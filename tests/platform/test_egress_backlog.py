"""The egress queue stays within its limit, as seen from outside the process."""

import asyncio
import contextlib
import random
import time

import pytest

from tests.support.channel import Channel
from tests.support.platform import Client, Discovery, PlatformProcess, wire_settings

PROXIES = 200
TABLE_ENTRIES = 20
LIMIT = 2 * PROXIES * (TABLE_ENTRIES + 10)  # what cannot be put off fits twice
RATE_PER_S = LIMIT / 6
MEMBERS = [
    {"id": f"{zone[0]}{k}", "host_port": f"10.0.0.{k}:80", "locality": zone, "flavor": "m", "cell": 0,
     "phase": "Ready", "size": 1.0, "up_since_ms": 0}
    for zone in ("east", "west") for k in range(TABLE_ENTRIES)
]  # fmt: skip


def slow_channel_settings():
    """Settings of a channel that needs some seconds for what it may hold."""
    settings = wire_settings(PROXIES)
    settings["specifics"] |= {
        "egress_per_s": RATE_PER_S, "queue_cap": LIMIT, "initial_set": TABLE_ENTRIES, "update_cap": 30,
    }  # fmt: skip
    return settings


class Fleet:
    """Proxies on real sockets, whose messages pass a channel that is slower than the process writes."""

    def __init__(self, port):
        self.port, self.clients, self.readers = port, {}, {}
        self.channel = Channel(RATE_PER_S, LIMIT, overhead=10, quota=30)

    async def connect(self, proxies):
        """Open the streams of some proxies, which hold no tables."""
        for proxy in proxies:
            client = await Client().open_proxy(self.port, proxy, fresh=True)
            self.clients[proxy] = client
            self.readers[proxy] = asyncio.create_task(self._read(client))

    def kill(self, proxies):
        """Reset the streams of some proxies."""
        for proxy in proxies:
            self.clients.pop(proxy).writer.transport.abort()
            self.readers.pop(proxy).cancel()

    async def _read(self, client):
        with contextlib.suppress(ConnectionError):
            while line := await client.reader.readline():
                self.channel.receive(client, line, time.monotonic_ns())

    async def run(self, seconds):
        """Let the channel send, and acknowledge what arrives on streams that are open."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(0.02)
            proxies = {client: proxy for proxy, client in self.clients.items()}
            for message in self.channel.leave(time.monotonic_ns()):
                if message.nonce is not None and message.stream in proxies:
                    message.stream.send(
                        {
                            "msg": "ack",
                            "proxy": proxies[message.stream],
                            "mark": message.nonce,
                            "took_ms": 900.0,
                        }
                    )


@pytest.mark.parametrize("seed", [1, 2])
def test_proxies_killed_while_their_messages_wait_leave_the_egress_queue_within_its_limit(tmp_path, seed):
    async def scenario():
        discovery = await Discovery().start()
        process = PlatformProcess(
            tmp_path, discovery.address, settings=slow_channel_settings(),
            known={"revision": 41, "complete": True, "members": MEMBERS},
        )  # fmt: skip
        fleet, draw = Fleet(process.port), random.Random(seed)
        try:
            await process.event("serving")
            await fleet.connect(range(PROXIES))
            await fleet.run(1.0)
            for _ in range(4):
                killed = draw.sample(range(PROXIES), 7 * PROXIES // 10)
                fleet.kill(killed)
                await fleet.run(draw.uniform(0.1, 0.4))
                await fleet.connect(killed)
                await fleet.run(0.8)
            assert fleet.channel.messages > PROXIES
            assert fleet.channel.over_limit == []
            assert fleet.channel.over_quota == []
        finally:
            fleet.kill(list(fleet.clients))
            await process.stop()

    asyncio.run(scenario())
