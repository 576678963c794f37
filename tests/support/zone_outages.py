"""Days with lost zones and policies that start anew: how long do proxies have no endpoint?"""

import random

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, ProxyConnected, ProxyDisconnected
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import PolicyHarness, SlowChannel, list_changes
from tests.support.settings import operation

OPERATIONS = (operation("read"), operation("write", zone_local=True))
ROUND_INTERVAL_S = 0.05
REMOVED_AFTER_S = 2.0  # from the loss of a zone until the list calls its endpoints gone
LOST_S = 5.0
LISTED_AFTER_S = (0.2, 2.4)  # from the return of a zone until the list shows its endpoints
QUIET_S = 12.0  # after the last outage


class ZoneOutages:
    """A day drawn from a seed, with a fleet of proxies that hold what they were assigned.

    Attributes:
        longest_without_s: Longest time that a proxy had no entry of a ready endpoint for an operation, while
            the list showed one that it could use.
    """

    def __init__(self, seed):
        """Draw the deployment, list its endpoints and connect its proxies."""
        self.random = random.Random(seed)
        self.zones = ("a", "b", "c")[: self.random.choice((2, 3))]
        self.longest_without_s = 0.0
        endpoints_per_zone = self.random.choice((2, 5, 8))
        self._names = {zone: [f"{zone}{k}" for k in range(endpoints_per_zone)] for zone in self.zones}
        self._ready = {name: zone for zone, names in self._names.items() for name in names}  # zone by name
        self._zone_of = {proxy: self.zones[proxy % len(self.zones)] for proxy in range(12)}
        self._settings = {
            "zones": self.zones,
            "zone": "a",
            "operations": OPERATIONS,
            "subset_size": self.random.choice((3, 6)),
            "message_quota": self.random.choice((0, 12, 30)),
        }
        self._actions = []  # time, function, its argument
        self._start_policy(PolicyHarness(**self._settings))

    def run(self):
        """Play two outages, during which a policy may start anew."""
        begin_ns, elapsed_s = self.channel.harness.now, 0.0
        outage_at_s = 2.0
        for _ in range(2):
            self._plan_outage(outage_at_s, self.random.choice(self.zones))
            outage_at_s += self.random.uniform(1.0, 9.0)
        if self.random.random() < 0.5:
            self._actions.append((self.random.uniform(2.0, outage_at_s), self._restart_policy, None))
        end_s = max(at_s for at_s, *_ in self._actions) + QUIET_S
        while elapsed_s < end_s:
            due = sorted((action for action in self._actions if action[0] <= elapsed_s), key=lambda a: a[0])
            self._actions = [action for action in self._actions if action not in due]
            self._run_round([event for _, act, argument in due for event in act(argument)])
            elapsed_s = (self.channel.harness.now - begin_ns) / NS_PER_S

    def _plan_outage(self, at_s, zone):
        returned_s = at_s + LOST_S
        self._actions += [
            (at_s, self._disconnect, zone),
            (at_s + REMOVED_AFTER_S, self._remove, zone),
            (returned_s, self._connect, zone),
            (returned_s + self.random.uniform(*LISTED_AFTER_S), self._list, zone),
        ]

    def _start_policy(self, harness):
        self.channel = SlowChannel(harness, harness.state.settings.egress_rate_entries_per_s)
        self._tables, self._assigned, self._without_since_ns = {}, {}, {}
        records = [harness.endpoint(name, zone) for name, zone in self._ready.items()]
        connected = [event for zone in self.zones for event in self._connect(zone)]
        self._run_round([EndpointListUpdate(ListScope.CACHED, records), *connected])

    def _restart_policy(self, _):
        """Start a policy that knows the list alone; all proxies connect to it."""
        harness = PolicyHarness(**self._settings)
        harness.now = self.channel.harness.now
        self._start_policy(harness)
        return []

    def _disconnect(self, zone):
        proxies = [proxy for proxy in self._assigned if self._zone_of[proxy] == zone]
        for proxy in proxies:
            del self._assigned[proxy]
        return [ProxyDisconnected(proxy) for proxy in proxies]

    def _connect(self, zone):
        new = [proxy for proxy, own in self._zone_of.items() if own == zone and proxy not in self._assigned]
        self._assigned |= {proxy: {} for proxy in new}
        return [ProxyConnected(proxy, zone, 4.0, False) for proxy in new]

    def _remove(self, zone):
        for name in self._names[zone]:
            self._ready.pop(name, None)
        return self._changes(zone, "gone", None)

    def _list(self, zone):
        self._ready |= dict.fromkeys(self._names[zone], zone)
        return self._changes(zone, "ready", 1.0)

    def _changes(self, zone, state, age_s):
        harness = self.channel.harness
        return [list_changes([harness.endpoint(name, zone, state, age_s) for name in self._names[zone]])]

    def _run_round(self, events):
        commands = self.channel.run_round(*events, wait_s=ROUND_INTERVAL_S)
        for number, name, weight in commands.of("set_weight"):
            self._tables.setdefault(number, {})[name] = weight
        for proxy, number, operation_mask in commands.of("assign_table"):
            self._assigned[proxy][operation_mask] = number
        for proxy, numbers in self._assigned.items():
            for bit, each in enumerate(OPERATIONS):
                table = self._tables.get(numbers.get(1 << bit), {})
                self._measure(proxy, each, {name for name, weight in table.items() if weight})

    def _measure(self, proxy, each, entries):
        own_zone, now_ns = self._zone_of[proxy], self.channel.harness.now
        usable = {n for n, zone in self._ready.items() if not each.zone_local or zone == own_zone}
        if entries & usable or not usable:
            self._without_since_ns.pop((proxy, each.name), None)
            return
        since_ns = self._without_since_ns.setdefault((proxy, each.name), now_ns)
        self.longest_without_s = max(self.longest_without_s, (now_ns - since_ns) / NS_PER_S)
