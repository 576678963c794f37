"""A fleet in a rolling deploy, some of whose proxies fall silent; it checks drains and the egress queue.

A silent proxy reads and sends nothing, while its connection stays open. What is written to it enters the
channel once the proxy reads on, all at once.
"""

import json
from collections import defaultdict
from typing import NamedTuple

from tests.support.channel import S
from tests.support.scripted_fleet import ScriptedFleet

ENDPOINTS = 16
GRACE_S = 3.1
SLACK_S = 0.3  # the limits of the rules are this much longer on sockets
PUSH_DELAY_S = 0.16  # from the channel to a proxy
TABLE_ENTRIES = 16
OVERHEAD_ENTRIES = 10
QUEUE_S = 3.2  # time in which the channel sends a full queue
DRAIN_S, START_S = 3.0, 0.5  # from a drain to the removal, and from there to the start of the successor


class LateDrain(NamedTuple):
    """A proxy that still held a drained endpoint after the grace."""

    proxy: int
    endpoint: str


class SilentFleet(ScriptedFleet):
    """Proxies that hold what they have applied."""

    def __init__(self, proxies, zones=("east",), **facts):
        limit = 2 * proxies * (TABLE_ENTRIES + OVERHEAD_ENTRIES)
        defaults = {
            "zones": zones, "proxy_count": 2 * proxies, "subset_size": 2 * TABLE_ENTRIES,
            "egress_queue_limit_entries": limit, "egress_rate_entries_per_s": limit / QUEUE_S,
            "drain_grace_ns": int(GRACE_S * S), "max_push_delay_ns": int(0.4 * S),
        }  # fmt: skip
        super().__init__(**(defaults | facts))
        self.zones, self.zone_of = zones, {}
        self.unread = {}  # by silent proxy, the data it has not read
        self.unapplied = defaultdict(list)  # by silent proxy, messages that had left the channel before
        self.lost_acks = set()  # proxies whose next acknowledgement is lost
        self.parts = defaultdict(list)  # by session, parts of messages that the proxy has not applied
        self.held = defaultdict(dict)  # by proxy, the endpoints of its tables by operation
        self.returned = set()  # proxies that have read on
        self.back_at_ns = {}  # by proxy, when it joined or last read on
        self.told_ns = {}  # by drained endpoint
        self.late = {}  # by late drain, the seconds after the grace, of proxies that have never been silent
        self.late_returned = {}  # the same of those that have read on
        self.slowdown = 1.0
        self.changes = []  # (time, endpoint, state)
        self.waiting = [f"{zone[0]}{k}" for k in range(ENDPOINTS // len(zones)) for zone in zones]
        self.list_endpoints("held", names=self.waiting)

    def join(self, proxies):
        for proxy in proxies:
            self.returned.discard(proxy)
            zone = self.zones[proxy % len(self.zones)]
            self.zone_of[proxy], self.back_at_ns[proxy] = zone, self.now
            self.connect([proxy], zone=zone)

    def silence(self, proxies):
        self.unread |= dict.fromkeys(proxies, b"")

    def read_on(self, proxies):
        for proxy in proxies:
            data = self.unread.pop(proxy)
            self.returned.add(proxy)
            self.back_at_ns[proxy] = self.now
            for message in self.unapplied.pop(proxy, []):
                self.deliver(message)
            self.write(self.sessions[proxy], data)

    def reconnect(self, proxies):
        """Let silent proxies connect again, whose connections end unless this instance has ended them."""
        self.end([proxy for proxy in proxies if proxy in self.sessions])
        self.join(proxies)

    def end(self, proxies, cause="the connection broke"):
        for proxy in proxies:
            self.unread.pop(proxy, None)
            self.unapplied.pop(proxy, None)
        super().end(proxies, cause)

    def write(self, session, data):
        if session.proxy in self.unread:
            self.unread[session.proxy] += data
            return
        super().write(session, data)
        self.parts[session] += [json.loads(line) for line in data.splitlines()]

    def deliver(self, message):
        proxy = message.stream.proxy
        if proxy in self.unread:
            self.unapplied[proxy].append(message)
            return
        self._apply(proxy, self.parts[message.stream])
        if proxy in self.lost_acks:
            self.lost_acks.remove(proxy)
        else:
            super().deliver(message)

    def _apply(self, proxy, parts):
        """Apply the oldest message."""
        tables = self.held[proxy]
        while True:
            part = parts.pop(0)
            for operation in part.get("routes") or ("read", "write"):
                table = set() if part.get("full") else tables.get(operation, set())
                for endpoint, weight in part.get("endpoints", ()):
                    (table.add if weight else table.discard)(endpoint)
                tables[operation] = table - set(part.get("eject", ()))
            if not part.get("continued"):
                return

    def run(self, seconds):
        for _ in range(int(seconds * 10)):
            for _, endpoint, state in [change for change in self.changes if change[0] <= self.now]:
                self.list_endpoints("changes", state, self.now // S * (state == "ready"), [endpoint])
            self.changes = [change for change in self.changes if change[0] > self.now]
            super().run(0.1)
            self._end_idle_sessions()
            self._check_drains()

    def _end_idle_sessions(self):
        self.manager.check_timeouts(self.now)
        for session in self.manager.sessions_to_close:
            self.end([session.proxy])
        self.manager.sessions_to_close.clear()

    def slow_down(self, factor):
        """Let the channel send so many times slower; the limits of the rules grow by the same factor."""
        self.channel.rate_per_s /= factor
        self.slowdown = factor

    def drain(self, endpoint):
        """Drain an endpoint, which is removed and replaced later."""
        self.told_ns[endpoint] = self.now
        removed_ns = self.now + int(DRAIN_S * S)
        self.changes += [
            (self.now, endpoint, "draining"),
            (removed_ns, endpoint, "gone"),
            (removed_ns + int(START_S * S), f"{endpoint}-new", "ready"),
        ]

    def deploy(self, seconds, interval_s):
        """Run for a time in which an endpoint is drained at each interval."""
        for _ in range(int(seconds / interval_s)):
            if self.waiting:
                self.drain(self.waiting.pop(0))
            self.run(interval_s)

    def _check_drains(self):
        limit_ns = int((self.slowdown * GRACE_S + SLACK_S - PUSH_DELAY_S) * S)
        for proxy in self.sessions.keys() - self.unread.keys():
            held = set().union(*self.held[proxy].values())
            for endpoint in held & self.told_ns.keys():
                begin_ns = max(self.told_ns[endpoint], self.back_at_ns[proxy])
                if self.now - begin_ns > limit_ns:
                    over_s = (self.now - begin_ns - limit_ns) / S
                    late = self.late_returned if proxy in self.returned else self.late
                    late[LateDrain(proxy, endpoint)] = round(over_s, 2)

    def check_rules(self):
        """Check that no drain was late, and that the limits were kept."""
        assert self.channel.over_limit == []
        assert self.channel.over_quota == []
        assert len(self.late) == 0, (len(self.late), max(self.late.values()), sorted(self.late)[:5])
