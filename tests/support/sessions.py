"""A session manager without sockets, and the messages of its clients."""

import json

from msgspec.structs import astuple

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import (
    TimerFired,
)
from swiftchute.api.settings import Settings
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform.session_manager import SessionManager
from swiftchute.policy.units import NS_PER_S as S
from tests.conftest import DEFAULTS, ScriptedPolicy, operation

MS = 1_000_000
HELLO = {"msg": "hello", "proxy": 1, "zone": "east", "weight": 2.5, "fresh": True}
AGENT = {"msg": "agent", "zone": "east"}
OUTCOMES = {"msg": "outcomes", "zone": "east", "server": "a", "tries": 9, "failed": 2, "mean_ms": 41.5,
            "span_ms": 1000.0, "load": {"inflight": 7, "util": 0.5}}  # fmt: skip
DEMAND = {"msg": "demand", "proxy": 1, "class": "read", "tries": 19, "failed": 0, "span_ms": 500.0}
ACK = {"msg": "ack", "proxy": 1, "mark": 5, "took_ms": 310.5}


def text(message):
    return json.dumps(message).encode() + b"\n"


class World:
    """A session manager with a scripted policy, and a clock."""

    def __init__(self, sockets=1024, **fields):
        self.policy, self.now = ScriptedPolicy(), 1000 * S
        fields = (
            DEFAULTS | {"operations": (operation("read"), operation("write")), "proxy_count": 400} | fields
        )
        runner = PolicyRunner(Settings(**fields), 7, lambda settings, seed: self.policy, self.now)
        self.manager = SessionManager(runner, sockets)
        self.manager.update_list("held", [EndpointRecord(s, "east", "", 0, "ready", 1.0, 0) for s in "abc"])

    def open(self, *messages):
        session = self.manager.open_session(self.now)
        for message in messages:
            self.send(session, message)
        return session

    def send(self, session, message):
        session.receive_data(message if isinstance(message, bytes) else text(message), self.now)

    def events(self, kind):
        """Return the fields of each pending event of a type."""
        return [astuple(event) for event in self.manager.runner.pending_events if isinstance(event, kind)]

    def round(self, *writes, wait=0.0):
        self.now += int(wait * S)
        self.policy.writes = list(writes)
        self.manager.runner.enqueue(TimerFired(0))
        return [(session, data) for session, data in self.manager.run_round(self.now)]

    def assigned(self, *proxies):
        """Connect proxies, assign them a table of a and b, and acknowledge it; return the sessions."""
        sessions = [self.open(HELLO | {"proxy": p}) for p in proxies]
        self.round(
            ("set_weight", 1, "a", 1.0),
            ("set_weight", 1, "b", 1.0),
            *(("assign_table", p, 1, 0) for p in proxies),
            ("request_ack", 5, False),
        )
        for p, session in zip(proxies, sessions, strict=True):
            self.send(session, ACK | {"proxy": p})
        return sessions


def errors(session):
    return [json.loads(line) for data in session.outgoing for line in data.splitlines()]
