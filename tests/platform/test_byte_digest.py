"""A fixed run of the platform's I/O-free state machines, and a digest of every byte that they write.

`Run` carries out what the sockets would: it hands bytes, events and times to the session manager and to the
discovery client, and records in order what they write, close, dial and end, and each endpoint list update.
The policy is the real one with a fixed seed. The digest was taken before these modules were rewritten.
"""

import hashlib
import json
from collections import Counter

from msgspec.structs import astuple

from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform import push_delivery, settings
from swiftchute.platform.discovery_client import DiscoveryClient, OpenConnection
from swiftchute.platform.endpoint_list import EndpointList
from swiftchute.platform.session_manager import SessionManager
from swiftchute.policy import Reconciler
from tests.support.platform import wire_settings

MS, S = 1_000_000, 1_000_000_000
START = 1_700_000_000 * S
STEP = 20 * MS
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FIRST_ADDRESS, SECOND_ADDRESS = ("127.0.0.1", 8500), ("127.0.0.1", 8600)
MEMBERS = [
    {"id": f"{zone[0]}{k}", "host_port": f"10.0.0.{k}:80", "locality": zone, "flavor": "m", "cell": k % 2,
     "phase": "Ready", "size": 1.0 + k % 3, "up_since_ms": 1_600_000_000_000 + 1000 * k}
    for zone in ("east", "west") for k in range(8)
]  # fmt: skip


def member(name, phase="Ready", **more):
    """The record of a listed endpoint, changed."""
    return next(record for record in MEMBERS if record["id"] == name) | {"phase": phase} | more


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def line(revision, complete, *members):
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


class PolicyOfTheRun:
    """The real policy, which raises while `crashes` are left; it is given some ejections and admissions."""

    def __init__(self, run, facts, seed):
        self.run, self.policy = run, Reconciler(facts, seed)

    def reconcile(self, now, events, commands):
        self.policy.reconcile(now, events, commands)
        extra, self.run.commands = self.run.commands, []
        for verb, *arguments in extra:
            getattr(commands, verb)(*arguments)
        if self.run.crashes:
            self.run.crashes -= 1
            raise RuntimeError("crash of the run")


class Run:
    """The state machines with a clock, and what they wrote."""

    def __init__(self, path):
        path.write_text(json.dumps({
            "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 64}, "settings": wire_settings(60),
            "known": {"revision": 41, "complete": True, "members": MEMBERS},
        }))  # fmt: skip
        configuration = settings.read({"GW_CONFIG": str(path)})
        self.now, self.crashes, self.commands = START, 0, []
        self.digest, self.counted, self.written, self.closed = hashlib.sha256(), Counter(), b"", []
        self.loop = PolicyRunner(
            configuration.settings, configuration.seed, lambda *made: PolicyOfTheRun(self, *made), self.now
        )
        self.sessions = SessionManager(self.loop, configuration.max_sockets)
        self.connections = []
        self.endpoint_list = EndpointList(configuration.settings.zones)
        self.discovery = DiscoveryClient(self.endpoint_list, self.loop.random)
        self.discovery_connections = []
        self.list_update(self.endpoint_list.load_cached(configuration.known_list))

    def record(self, kind, *values):
        """One thing that the state machines did, in the digest."""
        self.counted[kind] += 1
        self.digest.update(repr((kind, self.now - START, *values)).encode())

    # what the sockets do for the session manager

    def open(self, *messages):
        """A connection is accepted and says this; its number."""
        session = self.sessions.open_session(self.now)
        self.connections.append(session)
        self.close_due()
        number = len(self.connections) - 1
        self.send(number, *messages)
        return number

    def send(self, number, *messages):
        session = self.connections[number]
        for message in messages:
            data = message if isinstance(message, bytes) else json.dumps(message).encode() + b"\n"
            session.receive_data(data, self.now)
            if session.end_cause is not None:
                self.close(number)
                return
            self.flush(number)

    def flush(self, number):
        session = self.connections[number]
        outgoing, session.outgoing = session.outgoing, []
        for data in outgoing:
            self.write(number, data)

    def write(self, number, data):
        self.written += data
        self.record("write", number, data)

    def close(self, number, cause="the connection ended"):
        """The connection is over, by whichever side."""
        self.flush(number)
        if self.connections[number] not in self.closed:
            self.closed.append(self.connections[number])
            self.record("close", number)
            self.sessions.session_closed(self.connections[number], cause)

    def close_due(self):
        to_close, self.sessions.sessions_to_close = self.sessions.sessions_to_close, []
        for session in to_close:
            self.close(self.connections.index(session))

    def round(self):
        """A round: what is written to proxies, with the nonces that ask for an acknowledgement."""
        asked = []
        for session, data in self.sessions.run_round(self.now):
            number = self.connections.index(session)
            self.write(number, data)
            for text in data.splitlines():
                order = json.loads(text)
                if "nonce_out" in order:
                    asked.append((number, session.proxy, order["nonce_out"]))
        self.loop.drain_log_events()
        self.close_due()
        return asked

    # what the sockets do for the discovery client

    def list_update(self, update):
        entries = [tuple(entry) for entry in update.endpoints]
        entries = [(*entry[:4], str(entry[4]), *entry[5:]) for entry in entries]
        self.record("update", str(update.scope), entries, len(update.rejected))
        if update.changes_list:
            self.sessions.update_list(update.scope, update.endpoints)

    def run_discovery_commands(self):
        for command in self.discovery.take_commands(self.now):
            if isinstance(command, OpenConnection):
                self.discovery_connections.append(command.connection)
                self.record("dial", len(self.discovery_connections) - 1, command.connection.address)
            else:
                self.record("end", self.discovery_connections.index(command.connection))
        self.discovery.take_log_events()

    def discovery_address(self, address):
        self.discovery.set_address(address, self.now)
        self.run_discovery_commands()

    def discovery_connects(self):
        """The newest dial comes up."""
        self.record(
            "request",
            len(self.discovery_connections) - 1,
            self.discovery.connection_opened(self.discovery_connections[-1]),
        )

    def discovery_says(self, data, number=-1):
        for update in self.discovery.receive_data(self.discovery_connections[number], data, self.now):
            self.list_update(update)
        self.run_discovery_commands()

    def discovery_breaks(self, number=-1):
        self.discovery.connection_closed(self.discovery_connections[number], "the connection broke", self.now)
        self.run_discovery_commands()

    def check_timeouts(self):
        self.sessions.check_timeouts(self.now)
        for update in self.discovery.check_timeouts(self.now):
            self.list_update(update)
        self.run_discovery_commands()
        self.close_due()


PROXIES, SILENT_PROXY, SLOW_PROXY, REPLACED_PROXY = 10, 7, 8, 5
UNKNOWN_CLIENTS = [
    b"GET / HTTP/1.1\r\n", b"\n", b"{}\n", b"[]\n", b'"probe"\n', b"\xff\xfe\n", b'{"msg":"hello"\n',
    b'{"msg":"nonsense"}\n', {"msg": "hello", "proxy": 60, "zone": "east", "weight": 1.0, "fresh": True},
    {"msg": "hello", "proxy": -1, "zone": "east", "weight": 1.0, "fresh": True},
    {"msg": "hello", "proxy": 1, "zone": "moon", "weight": 1.0, "fresh": True},
    {"msg": "hello", "proxy": 1, "zone": "east", "weight": -2.0, "fresh": True},
    {"msg": "hello", "proxy": 1, "zone": "east", "weight": 1.0},
    {"msg": "agent", "zone": "moon"}, {"msg": "agent"}, {"msg": "ack", "proxy": 1, "mark": 5, "took_ms": 1.0},
    b'{"msg":"hello","proxy":1,"zone":"east","weight":NaN,"fresh":true}\n', b"x" * 9000,
    {"msg": "demand", "proxy": 1, "class": "read", "tries": 1, "failed": 0, "span_ms": 1.0},
]  # fmt: skip
MALFORMED = [
    {"msg": "demand", "proxy": 1, "class": "none", "tries": 1, "failed": 0, "span_ms": 1.0},
    {"msg": "demand", "proxy": 59, "class": "read", "tries": 1, "failed": 0, "span_ms": 1.0},
    {"msg": "demand", "proxy": 1, "class": "read", "tries": 1, "failed": 0, "span_ms": 0},
    {"msg": "ack", "proxy": 1, "mark": 77777, "took_ms": 1.0}, {"msg": "other"}, [1],
    {"msg": "ack", "proxy": 2, "mark": 1, "took_ms": 1.0}, {"msg": "agent", "zone": "east"},
    {"msg": "outcomes", "zone": "east", "server": "e0", "tries": 1, "failed": 0, "span_ms": 500.0},
    {"msg": "outcomes", "zone": "east", "server": "none", "tries": 1, "failed": 1, "span_ms": 500.0},
]  # fmt: skip


def hello(proxy, fresh=True):
    zone = ("east", "west")[proxy % 2]
    return {"msg": "hello", "proxy": proxy, "zone": zone, "weight": 2.0 + proxy, "fresh": fresh}


def demand(proxy, tries):
    return {"msg": "demand", "proxy": proxy, "class": ("read", "write")[proxy % 2], "tries": tries,
            "failed": tries // 9, "span_ms": 500.0}  # fmt: skip


def outcomes(zone, endpoint, second):
    number = int(endpoint[1:])
    failed = 30 if endpoint == "e1" and 4 <= second < 9 else number % 3
    return {"msg": "outcomes", "zone": zone, "server": endpoint, "tries": 40, "failed": failed,
            "mean_ms": 100.0 + 40 * number + 900 * (zone == "west" and 12 <= second < 20),
            "span_ms": 500.0, "load": {"inflight": number, "util": 0.1 * number, "odd": 1.0}}  # fmt: skip


def connections(run, sessions, agents):
    """What happens to connections, by time in ms."""
    return {
        1000: lambda: [run.open(message) for message in UNKNOWN_CLIENTS],
        1500: lambda: [run.send(sessions[1], message) for message in MALFORMED],
        1600: lambda: [run.send(agents[0], message) for message in MALFORMED],
        2000: lambda: [run.open({"msg": "probe"}), run.open(), run.open(b'{"msg":"hel')],
        6000: lambda: sessions.update({REPLACED_PROXY: run.open(hello(REPLACED_PROXY, False))}),
        7000: lambda: run.close(sessions.pop(6)),
        7500: lambda: sessions.update({6: run.open(hello(6, False)), 9: run.open(hello(9, False))}),
        9000: lambda: [run.open() for _ in range(40)],
        3400: lambda: run.commands.extend([("set_ejected", "e6", True), ("set_ejected", "w0", True)]),
        4400: lambda: run.commands.extend([("set_admission", None, 1, 0.5, 2), ("set_ejected", "w0", False)]),
        11_000: lambda: setattr(run, "crashes", 1),
        12_400: lambda: run.commands.extend([("set_ejected", "e7", True), ("set_admission", 1, 2, 0.25, 0)]),
        15_000: lambda: setattr(run, "crashes", 8),
        16_000: lambda: sessions.update({10: run.open(hello(10)), 3: run.open(hello(3, False))}),
        16_500: lambda: run.close(sessions.pop(2)),
        31_000: lambda: [run.open({"msg": "agent", "zone": "east"}) for _ in range(6)],
        32_000: lambda: run.send(sessions[4], b"\x00garbage\n"),
        33_000: lambda: run.send(sessions[0], b" " * ((1 << 20) + 1)),
    }


def discovery(run):
    """What happens at discovery, by time in ms; an empty line comes every 2 s as well."""
    changes = [member("e2", "Terminating"), member("w3", size=4.0)]
    return {
        0: lambda: run.discovery_address(FIRST_ADDRESS),
        40: lambda: run.discovery_connects(),
        60: lambda: run.discovery_says(HEAD + chunk(b"\n")),
        3000: lambda: run.discovery_says(chunk(line(42, False, *changes))),
        5000: lambda: run.discovery_says(chunk(line(43, False, member("e2", "Gone")))),
        5040: lambda: run.discovery_says(chunk(line(40, False, member("e3", "Gone")))),
        5060: lambda: run.discovery_says(chunk(line(44, False, member("e4", "Odd"), {"id": 7}))),
        6500: lambda: run.discovery_breaks(),
        6800: lambda: run.discovery_breaks(),
        7200: lambda: run.discovery_connects(),
        7260: lambda: run.discovery_says(HEAD + chunk(line(41, True, *MEMBERS, member("e5", "Terminating")))),
        8000: lambda: run.discovery_says(chunk(line(45, False, member("e2", up_since_ms=1_700_000_000_000)))),
        10_000: lambda: run.discovery_address(SECOND_ADDRESS),
        10_040: lambda: run.discovery_connects(),
        10_060: lambda: run.discovery_says(HEAD + chunk(line(3, True, *MEMBERS[1:]))),
        10_100: lambda: run.discovery_says(chunk(line(46, False, member("w5", "Terminating"))), -2),
        17_000: lambda: run.discovery_says(chunk(line(4, False, member("w6", "Terminating")))),
        24_000: lambda: run.discovery_connects(),
        24_020: lambda: run.discovery_says(b"SSH-2.0-nothing\r\n\r\n"),
        25_200: lambda: run.discovery_connects(),
        25_240: lambda: run.discovery_says(HEAD + chunk(line(9, True))),
        27_000: lambda: run.discovery_connects(),
        27_040: lambda: run.discovery_says(HEAD + chunk(line(9, False, member("w6")))),
        34_000: lambda: run.discovery_says(chunk(line(10, True, *MEMBERS[2:]))),
    }


def play(run, seconds):
    """The whole run."""
    agents = [run.open({"msg": "agent", "zone": zone}) for zone in ("east", "west")]
    sessions = {proxy: run.open(hello(proxy)) for proxy in range(PROXIES)}
    happenings = [connections(run, sessions, agents), discovery(run)]
    owed = []
    for step in range(seconds * S // STEP):
        time_ms = step * STEP // MS
        run.now = START + step * STEP
        for happening in happenings:
            happening.get(time_ms, lambda: None)()
        if time_ms % 2000 == 500 and not 18_000 < time_ms < 24_000:
            run.discovery_says(chunk(b"\n"))
        if time_ms % 500 == 0:
            for proxy, number in sessions.items():
                if proxy != SILENT_PROXY or time_ms < 8000:
                    run.send(number, demand(proxy, 10 + (proxy * 7 + time_ms // 500) % 60))
            for agent, zone in zip(agents, ("east", "west"), strict=True):
                for endpoint in sorted(run.loop.endpoint_records):
                    if (endpoint[0] == zone[0]) or time_ms % 1000:
                        run.send(agent, outcomes(zone, endpoint, time_ms // 1000))
        due = [answer for answer in owed if answer[0] <= run.now]
        owed = [answer for answer in owed if answer[0] > run.now]
        for _, number, proxy, nonce in due:
            run.send(number, {"msg": "ack", "proxy": proxy, "mark": nonce, "took_ms": 40.5})
        if time_ms % 100 == 0:
            run.check_timeouts()
        for number, proxy, nonce in run.round():
            if proxy == SLOW_PROXY and 3000 <= time_ms < 25_000:
                continue
            if proxy != SILENT_PROXY or time_ms < 8000:
                owed.append((run.now + (40 + 20 * proxy) * MS, number, proxy, nonce))
    run.record(
        "counts", *astuple(run.sessions.statistics), run.endpoint_list.stale_lines, run.endpoint_list.revision
    )


def test_every_byte_of_a_fixed_run_is_as_it_was(tmp_path, monkeypatch):
    monkeypatch.setattr(push_delivery, "MAX_UNREAD_BYTES", 1000)  # so that a slow proxy's messages are merged
    run = Run(tmp_path / "config.json")
    play(run, 40)
    for word in (b"eject", b"restore", b"admit", b"full", b"nonce_out", b"error"):
        assert word in run.written
    assert run.sessions.statistics.merged > 5
    assert run.loop.counts["faults"] == 9
    assert run.counted == {
        "write": 276, "close": 73, "update": 11, "dial": 10, "end": 7, "request": 6, "counts": 1,
    }  # fmt: skip
    assert run.digest.hexdigest() == "74b9d9d2fe7314d76e2fdb7d48e62641314cfb7514cb769fc4cf227348942128"
