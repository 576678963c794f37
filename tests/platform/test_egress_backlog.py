"""The egress queue stays within its limit, measured outside the process by a model of the channel."""

import asyncio
import contextlib
import random
import signal
import time

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.settings import Settings
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform.session_manager import SessionManager
from swiftchute.policy import Reconciler
from tests.support.channel import Channel, S
from tests.support.platform import Client, Discovery, PlatformProcess, wire_settings
from tests.support.sessions import ACK, HELLO, text
from tests.support.settings import DEFAULTS, operation

PROXIES = 200
TABLE_ENTRIES = 20
LIMIT = 2 * PROXIES * (TABLE_ENTRIES + 10)  # twice what cannot be deferred: a full table for each proxy
RATE_PER_S = LIMIT / 6
MEMBERS = [
    {"id": f"{zone[0]}{k}", "host_port": f"10.0.0.{k}:80", "locality": zone, "flavor": "m", "cell": 0,
     "phase": "Ready", "size": 1.0, "up_since_ms": 0}
    for zone in ("east", "west") for k in range(TABLE_ENTRIES)
]  # fmt: skip


def slow_channel_settings():
    """Return settings with a channel that needs several seconds to send a full egress queue."""
    settings = wire_settings(PROXIES)
    settings["specifics"] |= {
        "egress_per_s": RATE_PER_S, "queue_cap": LIMIT, "initial_set": TABLE_ENTRIES, "update_cap": 30,
    }  # fmt: skip
    return settings


class Fleet:
    """Proxies on real sockets behind a channel that is slower than the process writes."""

    def __init__(self, port):
        self.port, self.clients, self.readers = port, {}, {}
        self.channel = Channel(RATE_PER_S, LIMIT, overhead=10, quota=30)

    async def connect(self, proxies):
        """Connect some proxies, which hold no tables."""
        for proxy in proxies:
            client = await Client().open_proxy(self.port, proxy, fresh=True)
            self.clients[proxy] = client
            self.readers[proxy] = asyncio.create_task(self._read(client))

    def kill(self, proxies):
        """Abort the connections of some proxies."""
        for proxy in proxies:
            self.clients.pop(proxy).writer.transport.abort()
            self.readers.pop(proxy).cancel()

    async def _read(self, client):
        with contextlib.suppress(ConnectionError):
            while line := await client.reader.readline():
                self.channel.receive(client, line, time.monotonic_ns())

    async def run(self, seconds):
        """Let the channel send, and acknowledge the messages that arrive on open connections."""
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
def test_the_egress_queue_stays_within_its_limit_when_proxies_are_killed(tmp_path, seed):
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
                if draw.random() < 0.5:  # the killed proxies return while the process is stopped
                    process.process.send_signal(signal.SIGSTOP)
                    process.process.send_signal(signal.SIGHUP)
                await fleet.connect(killed)
                await fleet.run(0.4)
                process.process.send_signal(signal.SIGCONT)
                await fleet.run(0.4)
            assert fleet.channel.messages > PROXIES
            assert fleet.channel.over_limit == []
            assert fleet.channel.over_quota == []
        finally:
            fleet.kill(list(fleet.clients))
            await process.stop()

    asyncio.run(scenario())


class ScriptedFleet:
    """A session manager with the real policy, without sockets, in front of a model of the channel."""

    def __init__(self, **facts):
        operations = (operation("read"), operation("write"))
        limits = {
            "proxy_count": PROXIES, "subset_size": TABLE_ENTRIES, "egress_rate_entries_per_s": RATE_PER_S,
            "egress_queue_limit_entries": LIMIT, "message_overhead_entries": 10, "message_quota": 30,
        }  # fmt: skip
        settings = Settings(**(DEFAULTS | {"operations": operations} | limits | facts))
        self.now, self.sessions, self.crashes = 1000 * S, {}, 0
        self.runner = PolicyRunner(settings, 7, self._policy, self.now)
        self.manager = SessionManager(self.runner, 1024)
        self.channel = Channel(RATE_PER_S, LIMIT, overhead=10, quota=30)

    def _policy(self, settings, seed):
        policy = Reconciler(settings, seed)
        reconcile = policy.reconcile

        def crash_on_demand(now, events, commands):
            reconcile(now, events, commands)
            if self.crashes:
                self.crashes -= 1
                raise RuntimeError("crash of the test")

        policy.reconcile = crash_on_demand
        return policy

    def list_endpoints(self, scope, state="ready", started_s=0, names=None):
        names = names or [member["id"] for member in MEMBERS]
        zones = {"e": "east", "w": "west"}
        self.manager.update_list(
            scope, [EndpointRecord(n, zones[n[0]], "", 0, state, 1.0, started_s * S) for n in names]
        )

    def connect(self, proxies, fresh=True):
        for proxy in proxies:
            session = self.manager.open_session(self.now)
            session.receive_data(text(HELLO | {"proxy": proxy, "fresh": fresh}), self.now)
            self.sessions[proxy] = session

    def end(self, proxies, cause="the connection broke"):
        for proxy in proxies:
            self.manager.session_closed(self.sessions.pop(proxy), cause)

    def run(self, seconds):
        """Run a round every 20 ms; messages that leave the channel are acknowledged on open connections."""
        for _ in range(int(seconds * 50)):
            self.now += S // 50
            for message in self.channel.leave(self.now):
                session = message.stream
                if message.nonce is not None and self.sessions.get(session.proxy) is session:
                    answer = ACK | {"proxy": session.proxy, "mark": message.nonce, "took_ms": 900.0}
                    session.receive_data(text(answer), self.now)
            for session, data in self.manager.run_round(self.now):
                for line in data.splitlines():
                    self.channel.receive(session, line, self.now)

    def check(self):
        """Check that the limits were kept and that every proxy finally holds the tables it should."""
        assert self.channel.messages > PROXIES
        assert self.channel.over_limit == []
        assert self.channel.over_quota == []
        assert not self.manager.deferred_proxies
        encoder = self.manager.encoder
        for proxy in self.sessions:
            assigned = self.runner.assignments.proxies[proxy].table_by_operation
            desired = {operation: encoder.table_content(table) for operation, table in assigned.items()}
            assert desired
            assert encoder.proxies[proxy].tables == desired


def crashing_policy(fleet, draw):
    """The policy crashes every 0.4 s while the whole fleet waits for its tables."""
    fleet.list_endpoints("held")
    fleet.connect(range(PROXIES))
    for _ in range(5):
        fleet.run(0.4)
        fleet.crashes = 1
    fleet.run(30)


def connections_ended_by_the_manager(fleet, draw):
    """This process closes half of the connections twice a second, and the proxies reconnect."""
    fleet.list_endpoints("held")
    fleet.connect(range(PROXIES))
    for _ in range(6):
        fleet.run(0.5)
        ended = draw.sample(range(PROXIES), PROXIES // 2)
        fleet.end(ended, "does not read")
        fleet.connect(ended, fresh=False)
    fleet.run(20)


def restart_during_a_release(fleet, draw):
    """All proxies come from another instance, which may have ejected any endpoint."""
    fleet.list_endpoints("held", started_s=900)
    fleet.connect(range(PROXIES), fresh=False)
    for k in range(TABLE_ENTRIES):
        fleet.run(0.3)
        fleet.list_endpoints("changes", "draining" if k % 2 else "ready", 900, [f"e{k}", f"w{k}"])
    fleet.run(30)


def mixed_faults(fleet, draw):
    """Faults of all kinds, one after another or combined, on a channel that is slow for a while."""
    fleet.list_endpoints("held", started_s=draw.choice((0, 900)))
    fleet.connect(range(PROXIES), fresh=draw.random() < 0.5)
    fleet.channel.rate_per_s = RATE_PER_S / draw.choice((1, 2, 4))
    for _ in range(20):
        fleet.run(draw.choice((0.02, 0.1, 0.5, 1.5)))
        some = draw.sample(range(PROXIES), draw.choice((1, PROXIES // 10, 7 * PROXIES // 10, PROXIES)))
        names = draw.sample([member["id"] for member in MEMBERS], draw.choice((1, TABLE_ENTRIES // 2)))
        for _ in range(draw.choice((1, 1, 2))):
            match draw.choice(("crash", "reset", "ended", "drain", "start", "removed", "stop")):
                case "crash":
                    fleet.crashes = draw.choice((1, 3))
                case "reset" | "ended" as kind:
                    present = [proxy for proxy in some if proxy in fleet.sessions]
                    fleet.end(present, "the connection broke" if kind == "reset" else "does not read")
                    fleet.connect(present, fresh=draw.random() < 0.3)
                case "drain":
                    fleet.list_endpoints("changes", "draining", 0, names)
                case "start":
                    fleet.list_endpoints("changes", "ready", fleet.now // S, names)
                case "removed":
                    fleet.list_endpoints("changes", "gone", 0, names)
                case "stop":
                    fleet.now += draw.choice((3, 17)) * S
    fleet.crashes = 0
    fleet.channel.rate_per_s = RATE_PER_S
    fleet.list_endpoints("changes", "ready", 0)
    fleet.run(60)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "fault", [mixed_faults, crashing_policy, connections_ended_by_the_manager, restart_during_a_release]
)
def test_the_egress_queue_and_the_message_quota_stay_within_their_limits_under_faults(fault, seed):
    fleet = ScriptedFleet()
    fault(fleet, random.Random(seed))
    fleet.check()
