"""A session manager with the real policy, without sockets, in front of a model of the channel."""

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.settings import Settings
from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform.session_manager import SessionManager
from swiftchute.policy import Reconciler
from tests.support.channel import Channel, S
from tests.support.sessions import ACK, HELLO, text
from tests.support.settings import DEFAULTS, operation

PROXIES = 200
TABLE_ENTRIES = 20
LIMIT = 2 * PROXIES * (TABLE_ENTRIES + 10)  # twice what cannot be deferred: a full table for each proxy
RATE_PER_S = LIMIT / 6
ENDPOINTS = [f"{zone}{k}" for zone in "ew" for k in range(TABLE_ENTRIES)]


class ScriptedFleet:
    """A session manager with the real policy, without sockets, in front of a model of the channel."""

    def __init__(self, **facts):
        defaults = {
            "proxy_count": PROXIES, "subset_size": TABLE_ENTRIES, "egress_rate_entries_per_s": RATE_PER_S,
            "egress_queue_limit_entries": LIMIT, "message_overhead_entries": 10, "message_quota": 30,
            "operations": (operation("read"), operation("write")),
        }  # fmt: skip
        settings = Settings(**(DEFAULTS | defaults | facts))
        self.now, self.sessions, self.crashes = 1000 * S, {}, 0
        self.runner = PolicyRunner(settings, 7, self._policy, self.now)
        self.manager = SessionManager(self.runner, 1024)
        rate_per_s, limit = settings.egress_rate_entries_per_s, settings.egress_queue_limit_entries
        self.channel = Channel(rate_per_s, limit, overhead=10, quota=30)

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
        names = names or ENDPOINTS
        zones = {zone[0]: zone for zone in self.runner.settings.zones}
        self.manager.update_list(
            scope, [EndpointRecord(n, zones[n[0]], "", 0, state, 1.0, started_s * S) for n in names]
        )

    def connect(self, proxies, fresh=True, zone="east"):
        for proxy in proxies:
            session = self.manager.open_session(self.now)
            session.receive_data(text(HELLO | {"proxy": proxy, "fresh": fresh, "zone": zone}), self.now)
            self.sessions[proxy] = session

    def end(self, proxies, cause="the connection broke"):
        for proxy in proxies:
            self.manager.session_closed(self.sessions.pop(proxy), cause)

    def run(self, seconds):
        """Run a round every 20 ms; messages that leave the channel are acknowledged on open connections."""
        for _ in range(int(seconds * 50)):
            self.now += S // 50
            for message in self.channel.leave(self.now):
                if self.sessions.get(message.stream.proxy) is message.stream:
                    self.deliver(message)
            for session, data in self.manager.run_round(self.now):
                self.write(session, data)

    def write(self, session, data):
        """Take bytes that the instance wrote to a session."""
        for line in data.splitlines():
            self.channel.receive(session, line, self.now)

    def deliver(self, message):
        """Let a proxy apply and acknowledge a message that has left the channel."""
        if message.nonce is not None:
            answer = ACK | {"proxy": message.stream.proxy, "mark": message.nonce, "took_ms": 900.0}
            message.stream.receive_data(text(answer), self.now)

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
