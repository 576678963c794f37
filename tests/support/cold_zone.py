"""Days on which a zone is lost and returns cold, with played proxies, limits, clients and endpoints.

A proxy holds a limit by rate as a bucket of tokens: a second's worth, and at least one. It consults the limit
before it looks for an endpoint.
"""

import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
)
from swiftchute.policy.units import NS_PER_S
from tests.support.policy import PolicyHarness, list_changes
from tests.support.settings import operation

STEP_S = 0.05
PUSH_DELAY_S = 0.2
REPORT_EVERY_STEPS = 10
LATENCY_NS = NS_PER_S // 20
LOST_S, REMOVED_S, RETURNED_S, END_S = 12.0, 13.5, 17.0, 38.0
LOAD = 0.66  # requests / capacity of all endpoints


@dataclass(frozen=True)
class Demand:
    """Requests of one operation: the rate at each of the `senders` first proxies, 0 at the others."""

    rate_per_s: float
    zone_local: bool = False
    senders: float = 1.0  # fraction of a zone's proxies


@dataclass
class Instance:
    """A policy, what it has ordered, and what its proxies report."""

    harness: PolicyHarness
    tables: dict = field(default_factory=lambda: defaultdict(dict))  # weights by number
    limits: dict = field(default_factory=dict)  # by number and operation
    in_delivery: deque = field(default_factory=deque)  # (time, commands, nonce, proxies that acknowledge)
    requests: dict = field(default_factory=lambda: defaultdict(int))  # by proxy and operation
    attempts: dict = field(default_factory=lambda: defaultdict(lambda: [0, 0]))  # by zone and endpoint


class ColdZone:
    """A day; `actions` are pairs of a time in seconds and a function of the day.

    Attributes:
        worst_ratio: Most requests sent to a started endpoint within the window / what makes it fail.
    """

    def __init__(self, demands, seed=1, zones=3, endpoints=10, proxies=50, actions=(), **settings):
        self.random, self.zones = random.Random(seed), [f"z{k}" for k in range(zones)]
        self.operations = tuple(operation(f"op{k}", each.zone_local) for k, each in enumerate(demands))
        self.demands, self.settings = demands, settings
        self.proxies = {f"p{z}-{k}": zone for z, zone in enumerate(self.zones) for k in range(proxies)}
        self.senders = [
            [name for name in self.proxies if int(name.split("-")[1]) < round(each.senders * proxies)]
            for each in demands
        ]
        total = sum(each.rate_per_s * len(names) for each, names in zip(demands, self.senders, strict=True))
        self.capacity = total / (zones * endpoints) / LOAD
        self.endpoints = {f"{zone}e{k}": zone for zone in self.zones for k in range(endpoints)}
        self.started_s, self.down, self.unlisted, self.is_paused = {}, set(), set(), False
        self.now_s, self.instances, self.instance_of = 0.0, [], {}
        self.assigned, self.tokens, self.sent = defaultdict(dict), {}, defaultdict(deque)
        self.served, self.worst_ratio = [0] * len(demands), 0.0
        self.actions = [
            (LOST_S, lambda _: self.down.update(self.lost)),
            (REMOVED_S, lambda _: self.list_endpoints(self.lost, "gone")),
            (RETURNED_S, lambda _: self.bring_back()),
            *actions,
        ]
        self.add_instance(self.proxies)

    @property
    def lost(self):
        return [name for name, zone in self.endpoints.items() if zone == "z0"]

    @property
    def served_fractions(self):
        """Fraction of the requests that were answered from the return of the zone on, by operation."""
        sent_s = END_S - RETURNED_S
        return [
            served / (each.rate_per_s * len(names) * sent_s)
            for served, each, names in zip(self.served, self.demands, self.senders, strict=True)
        ]

    def run(self):
        """Play the day; return it."""
        for step in range(int(END_S / STEP_S)):
            self.now_s = step * STEP_S
            for action in [action for action in self.actions if action[0] <= self.now_s]:
                self.actions.remove(action)
                action[1](self)
            for instance in self.instances:
                self._deliver(instance)
                self._send_requests(instance)
                self._run_round(instance, self._reports(instance) if step % REPORT_EVERY_STEPS == 0 else [])
        return self

    def add_instance(self, proxies, restart=False):
        """Start an instance that knows the list and nothing else, and let proxies join it."""
        harness = PolicyHarness(
            **{
                "operations": self.operations, "zones": tuple(self.zones), "zone": "z0", "subset_size": 10,
                "proxy_count": len(self.proxies), "egress_rate_entries_per_s": 4000.0, "message_quota": 30,
                "egress_queue_limit_entries": 10_000.0, "overload_window_ns": NS_PER_S * 3 // 2,
            } | self.settings
        )  # fmt: skip
        harness.now += int(self.now_s * NS_PER_S)
        if restart:
            self.instances.clear()
        self.instances.append(Instance(harness))
        listed = [name for name in self.endpoints if name not in self.unlisted]
        records = [self._record(harness, name, "ready") for name in listed]
        self._run_round(self.instances[-1], [EndpointListUpdate(ListScope.CACHED, records)])
        self.join(proxies)

    def join(self, proxies):
        """Let proxies join the newest instance, within a second."""
        instance = self.instances[-1]
        for name in list(proxies):
            at_s = self.now_s + self.random.random()
            self.actions.append((at_s, lambda _, name=name: self._connect(instance, name)))

    def list_endpoints(self, names, state):
        """Tell all instances of a state."""
        (self.unlisted.update if state == "gone" else self.unlisted.difference_update)(names)
        for instance in self.instances:
            records = [self._record(instance.harness, name, state) for name in names]
            self._run_round(instance, [list_changes(records)])

    def lose(self):
        """End the endpoints of the zone; the list calls them gone at once."""
        self.down.update(self.lost)
        self.list_endpoints(self.lost, "gone")

    def bring_back(self):
        """Start the endpoints of the zone again, within a second."""
        for name in self.lost:
            at_s = self.now_s + self.random.random()
            self.actions.append((at_s, lambda _, name=name: self.start(name)))

    def restart_endpoints(self):
        """Restart the endpoints of the zone so quickly that the list has new start times and nothing else."""
        self.started_s |= dict.fromkeys(self.lost, self.now_s)
        self.list_endpoints(self.lost, "ready")

    def start(self, name):
        """Start an endpoint again, and list it later."""
        self.down.discard(name)
        self.started_s[name] = self.now_s
        listed_s = self.now_s + self.random.uniform(0.21, 2.4)
        self.actions.append((listed_s, lambda _: self.list_endpoints([name], "ready")))

    def _record(self, harness, name, state):
        started_s = self.started_s.get(name)
        age_s = None if started_s is None else self.now_s - started_s
        return harness.endpoint(name, self.endpoints[name], state, age_s)

    def _connect(self, instance, name):
        before = self.instance_of.get(name)
        if before in self.instances and before is not instance:
            self._run_round(before, [ProxyDisconnected(name)])
        self.instance_of[name] = instance
        rate = sum(each.rate_per_s * each.senders for each in self.demands)
        self._run_round(instance, [ProxyConnected(name, self.proxies[name], rate, False)])

    def _run_round(self, instance, events):
        harness = instance.harness
        harness.now = 1000 * NS_PER_S + int(self.now_s * NS_PER_S)
        commands = harness.run_round(*events)
        if commands.all:
            reached, due_s = list(harness.budget.reserved_entries), self.now_s + PUSH_DELAY_S
            instance.in_delivery.append((due_s, commands.all, harness.budget.nonce, reached))

    def _deliver(self, instance):
        acknowledged = []
        while instance.in_delivery and instance.in_delivery[0][0] <= self.now_s:
            _, commands, nonce, reached = instance.in_delivery.popleft()
            for verb, arguments in commands:
                self._apply(instance, verb, arguments)
            latency_ns = int(PUSH_DELAY_S * NS_PER_S)
            acknowledged += [PushAcknowledged(name, nonce, latency_ns) for name in reached]
        if acknowledged:
            self._run_round(instance, acknowledged)

    def _apply(self, instance, verb, arguments):
        if verb == "set_weight":
            number, name, weight = arguments
            instance.tables[number][name] = weight
        elif verb == "set_admission":
            number, mask, value, _ = arguments
            for bit in range(len(self.operations)):
                if not mask or mask >> bit & 1:
                    instance.limits[number, bit] = value
        elif verb == "assign_table":
            name, number, mask = arguments
            for bit in range(len(self.operations)):
                if not mask or mask >> bit & 1:
                    self.assigned[name][bit] = (instance, number)

    def _send_requests(self, instance):
        if self.is_paused:
            return
        for bit, each in enumerate(self.demands):
            for name in self.senders[bit]:
                if self.instance_of.get(name) is instance and self.random.random() < each.rate_per_s * STEP_S:
                    self._request(instance, name, bit)

    def _request(self, instance, name, bit):
        instance.requests[name, bit] += 1
        held, number = self.assigned[name].get(bit, (instance, None))
        if not self._admits(name, bit, held.limits.get((number, bit))):
            return
        weights = {n: w for n, w in held.tables[number].items() if w and n not in self.down}
        if not weights:
            return
        endpoint = self.random.choices(list(weights), list(weights.values()))[0]
        instance.attempts[self.proxies[name], endpoint][0] += 1
        self.served[bit] += self.now_s > RETURNED_S
        if endpoint in self.started_s:
            self._measure(endpoint)

    def _admits(self, name, bit, limit):
        mode = self.settings.get("admission_mode", "share")
        if mode == "none" or limit is None:
            return True
        if mode == "share":
            return self.random.random() < limit
        tokens, since_s = self.tokens.get((name, bit), (1.0, self.now_s))
        tokens = min(tokens + (self.now_s - since_s) * limit, max(limit, 1.0))
        self.tokens[name, bit] = (tokens - (tokens >= 1), self.now_s)
        return tokens >= 1

    def _measure(self, endpoint):
        settings = self.instances[0].harness.state.settings
        window_s, sent = settings.overload_window_ns / NS_PER_S, self.sent[endpoint]
        age_s = self.now_s - self.started_s[endpoint]
        sent.append(age_s)
        while sent[0] <= age_s - window_s:
            sent.popleft()
        start = settings.start_capacity_fraction
        progress = min(age_s * NS_PER_S / settings.max_warmup_ns, 1)
        if progress < 1:
            capacity = self.capacity * (start + (1 - start) * progress)
            self.worst_ratio = max(
                self.worst_ratio, len(sent) / (settings.overload_multiple * capacity * window_s)
            )

    def _reports(self, instance):
        window_ns = int(REPORT_EVERY_STEPS * STEP_S * NS_PER_S)
        reports = [
            DemandReport(name, self.operations[bit].name, count, 0, window_ns)
            for (name, bit), count in instance.requests.items()
        ]
        reports += [
            EndpointLoadReport(zone, name, count, failed, LATENCY_NS, window_ns, None)
            for (zone, name), (count, failed) in instance.attempts.items()
        ]
        instance.requests.clear()
        instance.attempts.clear()
        return reports
