"""A rolling deploy over a simulated channel, which measures how late the proxies hear of each drain."""

import math
from typing import NamedTuple

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, EndpointLoadReport, ProxyConnected
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import SlowChannel, list_changes

ROUND_INTERVAL_S = 0.05
DRAIN_S = 3.0  # from the drain of an endpoint to its removal
START_S = 0.5  # from the removal of an endpoint until its successor is listed
WARM_UP_S = 10.0  # after it, every table also has the endpoints of the other zones
REPORT_INTERVAL_S = 0.5
LATENCY_S = 0.6  # high enough that all zones use endpoints of the others


class PendingDrain(NamedTuple):
    """A drained endpoint that a published table still names."""

    table_number: int
    endpoint: str


class RollingDeploy:
    """Drains the endpoints of all zones in turn, each of which is replaced by a new one."""

    def __init__(self, harness, endpoints_per_zone, proxies_by_zone):
        """List the endpoints, connect the proxies, and let the channel send their first tables."""
        self.harness = harness
        self.channel = SlowChannel(harness, harness.state.settings.egress_rate_entries_per_s)
        self.zones = tuple(proxies_by_zone)
        self.connected_ns = {}  # by proxy
        self.delays_s = dict.fromkeys(self.zones, 0.0)  # longest delay of a drain, by the proxies' zone
        self._next_proxy = 0
        self._next_report_ns = 0
        self._assigned_in = {}  # by proxy, the nonce of the round of its first assignment
        self._waiting = [(f"{zone}{k}", zone) for k in range(endpoints_per_zone) for zone in self.zones]
        self._list_changes = []  # time, name, zone, state
        self._told_ns = {}  # by pending drain
        self._written = []  # pending drain, nonce of the round that removed it, proxies
        records = [harness.endpoint(name, zone) for name, zone in self._waiting]
        connects = [self.connect(zone) for zone, count in proxies_by_zone.items() for _ in range(count)]
        self._run_round(EndpointListUpdate(ListScope.CACHED, records), *connects)
        for _ in range(int(WARM_UP_S / ROUND_INTERVAL_S)):
            self._run_round()

    def connect(self, zone):
        """Return the event of a proxy that connects now."""
        self._next_proxy += 1
        self.connected_ns[self._next_proxy] = self.harness.now
        return ProxyConnected(self._next_proxy, zone, 4.0, False)

    def run(self, seconds, drain_interval_s, connects=None):
        """Run the deploy; `connects` maps times in seconds to zones in which a proxy connects then."""
        begin_ns, connects = self.harness.now, dict(connects or {})
        next_drain_s = 0.0
        while (elapsed_s := (self.harness.now - begin_ns) / NS_PER_S) < seconds:
            if self._waiting and elapsed_s >= next_drain_s:
                self._drain(*self._waiting.pop(0))
                next_drain_s += drain_interval_s
            due = [time_s for time_s in connects if time_s <= elapsed_s]
            self._run_round(*self._due_changes(), *[self.connect(connects.pop(time_s)) for time_s in due])
        self._measure_delays()

    def assignment_delay_s(self, proxy):
        """Return how long after its connection a proxy received its tables."""
        nonce = self._assigned_in.get(proxy)
        delivered_ns = self.channel.delivered_ns.get((proxy, nonce), math.inf)
        return (delivered_ns - self.connected_ns[proxy]) / NS_PER_S

    def _drain(self, name, zone):
        now_ns = self.harness.now
        removed_ns = now_ns + int(DRAIN_S * NS_PER_S)
        started_ns = removed_ns + int(START_S * NS_PER_S)
        self._list_changes += [
            (now_ns, name, zone, "draining"),
            (removed_ns, name, zone, "gone"),
            (started_ns, f"{name}-new", zone, "ready"),
        ]
        for table in self.harness.state.all_tables():
            if name in table.published:
                self._told_ns[PendingDrain(table.number, name)] = now_ns

    def _due_changes(self):
        due = [change for change in self._list_changes if change[0] <= self.harness.now]
        self._list_changes = [change for change in self._list_changes if change not in due]
        ages = {"ready": 0.0}
        return [
            list_changes([self.harness.endpoint(name, zone, state, ages.get(state))])
            for _, name, zone, state in due
        ]

    def _load_reports(self):
        if self.harness.now < self._next_report_ns:
            return []
        self._next_report_ns = self.harness.now + int(REPORT_INTERVAL_S * NS_PER_S)
        latency_ns, window_ns = int(LATENCY_S * NS_PER_S), int(REPORT_INTERVAL_S * NS_PER_S)
        ready = self.harness.state.ready_endpoints()
        return [
            EndpointLoadReport(endpoint.zone, name, 5, 0, latency_ns, window_ns, None)
            for name, endpoint in ready.items()
        ]

    def _run_round(self, *events):
        commands = self.channel.run_round(*events, *self._load_reports(), wait_s=ROUND_INTERVAL_S)
        nonce, state = self.harness.budget.nonce, self.harness.state
        tables = {table.number: table for table in state.all_tables()}
        for proxy, *_ in commands.of("assign_table"):
            self._assigned_in.setdefault(proxy, nonce)
        for number, name, weight in commands.of("set_weight"):
            if not weight and PendingDrain(number, name) in self._told_ns:
                key = (tables[number].zone, tables[number].subset)
                proxies = [p for p, known in state.proxies.items() if (known.zone, known.subset) == key]
                self._written.append((PendingDrain(number, name), nonce, proxies))

    def _measure_delays(self):
        tables = {table.number: table for table in self.harness.state.all_tables()}
        written = {drain for drain, *_ in self._written}
        for drain in self._told_ns.keys() - written:
            self.delays_s[tables[drain.table_number].zone] = math.inf
        for drain, nonce, proxies in self._written:
            zone = tables[drain.table_number].zone
            for proxy in proxies:
                begin_ns = max(self._told_ns[drain], self.connected_ns[proxy])
                delivered_ns = self.channel.delivered_ns.get((proxy, nonce), math.inf)
                self.delays_s[zone] = max(self.delays_s[zone], (delivered_ns - begin_ns) / NS_PER_S)
