"""Proxies, a store and a channel for an instance that owns key ranges, and the rules that they judge.

Messages leave the channel one after the other and arrive later. A proxy that has lost its session sends
writes by its old table for the owner lease, and none after it until it has read the store.
"""

import heapq
import random
from dataclasses import dataclass, field

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import (
    EndpointListUpdate,
    KeyRangeAssigned,
    KeyRangeEntryRestored,
    KeyRangeRevoked,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
    TimerFired,
)
from tests.support.policy import PolicyHarness, list_changes

STEP_S = 0.02
MAX_NOTICE_S, MAX_STORE_READ_S = 2.0, 1.0  # until a loss is known, and from joining to the read
LOAD_FRACTION = 0.66  # of the capacity of the whole fleet
LOSS_NOTICE = -1  # in place of the session of a message


@dataclass
class FakeProxy:
    """A proxy with its copies of the tables."""

    tables: dict = field(default_factory=dict)  # (epoch, endpoints) by key range
    admission: float = 1.0
    session: int = 1
    lost_s: float | None = None
    read_s: float | None = None  # when it reads the store
    held_acks: list = field(default_factory=list)

    def may_send(self, now_s, lease_s):
        return self.lost_s is None or now_s < self.lost_s + lease_s


class KeyRangeFleet:
    """An instance with `proxies` proxies, whose faults a test chooses; `violations` are the broken rules."""

    def __init__(self, seed=1, ranges=12, proxies=4, endpoints=6, **settings):
        settings = {"single_owner": True, "max_no_endpoint_ns": 4 * 10**9, "message_quota": 0} | settings
        self.settings = {"key_range_count": ranges, "proxy_count": proxies, **settings}
        self.random, self.now_s, self.violations = random.Random(seed), 0.0, []
        self.states = {f"e{k}": "ready" for k in range(endpoints)}
        self.message_times_s = {}
        self.changed_s, self.started_s, self.judged_from_s = {}, {}, {}
        self.store = {r: (0, {f"e{r % endpoints}"}) for r in range(ranges)}
        self.owned_since_s = dict.fromkeys(self.store, 0.0)
        self.sizes = {r: self.random.lognormvariate(0, 0.5) for r in self.store}
        self.capacity = sum(self.sizes.values()) / endpoints / LOAD_FRACTION
        self.proxies = {p: FakeProxy(tables=dict(self.store)) for p in range(proxies)}
        self.writes = {r: [] for r in self.store}  # (end, epoch) of those in hand
        self.newest = dict.fromkeys(self.store, 0)  # latest epoch that had a write
        self.empty_since_s, self.sent, self.speed, self.messages = {}, {}, 1.0, 0
        self.restart()

    def restart(self):
        """Start the instance anew: what its earlier life had queued is lost, and so are the sessions."""
        self.harness = PolicyHarness(**self.settings)
        self.harness.now += int(self.now_s * 1e9)
        self.events, self.timers, self.channel, self.arrivals, self.busy_until_s = [], [], [], [], self.now_s
        self.events.append(EndpointListUpdate(ListScope.CACHED, [self._record(e) for e in self.states]))
        for key_range in self.store:
            self.give(key_range)
        for proxy in self.proxies:
            self.join(proxy)

    def give(self, key_range):
        self.owned_since_s[key_range] = self.now_s
        self.events.append(KeyRangeAssigned(key_range))
        entries = sorted(self.store[key_range][1])
        self.events += [KeyRangeEntryRestored(key_range, name, 1.0) for name in entries]
        for proxy in self.proxies.values():  # proxies read a key range anew that is given
            if proxy.lost_s is None:
                proxy.lost_s, proxy.read_s = self.now_s, self.now_s + self._within(MAX_STORE_READ_S)

    def take(self, key_range):
        self.owned_since_s.pop(key_range, None)
        self.events.append(KeyRangeRevoked(key_range))

    def lose(self, number, notice=True):
        proxy = self.proxies[number]
        if proxy.session == 0:
            return
        proxy.lost_s = self.now_s if proxy.lost_s is None else proxy.lost_s
        proxy.session, proxy.read_s, proxy.held_acks = 0, None, []
        if notice:
            self._arrive(self.now_s + self._within(MAX_NOTICE_S), number, LOSS_NOTICE, (), None)

    def join(self, number):
        self.lose(number, notice=False)
        self.message_times_s[number] = []  # quotas count from a proxy's joining
        proxy = self.proxies[number]
        proxy.session, proxy.read_s = (
            self.random.randrange(1, 2**40),
            self.now_s + self._within(MAX_STORE_READ_S),
        )
        self.events.append(ProxyConnected(number, "east", 10.0, False))

    def change(self, name, state):
        """List an endpoint in another state; one that is new or comes back starts cold."""
        if state == "ready":
            in_place = self.states.get(name) == "ready"
            self.started_s[name], self.sent[name] = self.now_s, {}
            self.judged_from_s[name] = (
                self.now_s + in_place * self.harness.state.settings.drain_grace_ns / 1e9
            )
        self.states[name], self.changed_s[name] = state, self.now_s
        self.events.append(list_changes([self._record(name)]))

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            self._move_messages()
            events, self.events = self.events, []
            due = [timer for at_s, timer in self.timers if at_s <= self.now_s]
            self.timers = [entry for entry in self.timers if entry[0] > self.now_s]
            events += [TimerFired(timer) for timer in due]
            commands = self.harness.run_round(*events, wait_s=STEP_S)
            self._carry_out(commands.all)
            for number, proxy in self.proxies.items():
                self._send(number, proxy)
            self._judge_warming()

    def _within(self, most):
        return self.random.uniform(0, most)

    def _record(self, name):
        started = self.started_s.get(name)
        age_s = None if started is None else self.now_s - started
        return self.harness.endpoint(name, state=self.states[name], age_s=age_s)

    def _carry_out(self, commands):
        orders, nonce = [], None
        for verb, arguments in commands:
            if verb == "start_timer":
                self.timers.append((self.now_s + arguments[0] / 1e9, arguments[1]))
            elif verb == "request_ack":
                nonce = arguments[0]
            elif verb == "set_admission":
                orders.append((verb, arguments))
            elif verb in ("set_weight", "clear_table") and arguments[0] in self.owned_since_s:
                orders.append((verb, arguments))
                self._write(self.store, verb, arguments, new_epoch=self.store[arguments[0]][0] + 1)
        if orders or nonce is not None:
            for number, proxy in self.proxies.items():
                if number in self.harness.state.proxies:
                    self._judge_quota(number)
                    epochs = {key_range: epoch for key_range, (epoch, _) in self.store.items()}
                    self.channel.append((number, proxy.session, orders, epochs, nonce, self.now_s))

    def _judge_quota(self, number):
        settings = self.harness.state.settings
        window_s = settings.message_quota_window_ns / 1e9
        times_s = [t for t in self.message_times_s.get(number, ()) if self.now_s - t <= window_s]
        self.message_times_s[number] = [*times_s, self.now_s]
        if settings.message_quota and len(times_s) + 1 > settings.message_quota:
            self.violations.append((round(self.now_s, 2), "message quota", number))

    def _write(self, tables, verb, arguments, new_epoch):
        key_range, names = arguments[0], set(tables.get(arguments[0], (0, set()))[1])
        if verb == "clear_table":
            names = set()
        elif not arguments[2]:
            names.discard(arguments[1])
        else:
            names = (set() if self.settings["single_owner"] else names) | {arguments[1]}
        tables[key_range] = (new_epoch, names)

    def _move_messages(self):
        settings = self.harness.state.settings
        while self.channel and self.busy_until_s <= self.now_s:
            number, session, orders, epochs, nonce, ordered_s = self.channel.pop(0)
            entries = len(orders) + 1 + settings.message_overhead_entries
            start_s = max(self.busy_until_s, self.now_s - STEP_S)
            self.busy_until_s = start_s + entries / settings.egress_rate_entries_per_s / self.speed
            at_s = self.busy_until_s + self.random.uniform(0.05, settings.max_push_delay_ns / 1e9)
            if self.proxies[number].session == session:  # in order for each proxy
                earlier = [
                    entry[0] for entry in self.arrivals if entry[2] == number and entry[3] != LOSS_NOTICE
                ]
                acknowledgement = (number, nonce, ordered_s)
                self._arrive(max([at_s, *earlier]), number, session, (orders, epochs), acknowledgement)
        while self.arrivals and self.arrivals[0][0] <= self.now_s:
            _, _, number, session, message, acknowledgement = heapq.heappop(self.arrivals)
            if session == LOSS_NOTICE:
                self._notice_loss(number)
            elif self.proxies[number].session == session:
                _, nonce, ordered_s = acknowledgement
                latency_ns = int((self.now_s - ordered_s) * 1e9)
                self._apply(number, message, PushAcknowledged(number, nonce, latency_ns))

    def _arrive(self, at_s, number, session, message, acknowledgement):
        self.messages += 1
        heapq.heappush(self.arrivals, (at_s, self.messages, number, session, message, acknowledgement))

    def _notice_loss(self, number):
        if self.proxies[number].session == 0:
            self.events.append(ProxyDisconnected(number))

    def _apply(self, number, message, acknowledgement):
        proxy, (orders, epochs) = self.proxies[number], message
        for verb, arguments in orders:
            if verb == "set_admission":
                proxy.admission = arguments[2]
                continue
            self._write(proxy.tables, verb, arguments, epochs[arguments[0]])
        proxy.held_acks.append(acknowledgement)

    def _send(self, number, proxy):
        settings = self.harness.state.settings
        if proxy.read_s is not None and proxy.read_s <= self.now_s:
            proxy.tables, proxy.lost_s, proxy.read_s = dict(self.store), None, None
        if proxy.session and proxy.lost_s is None:
            self.events += proxy.held_acks
            proxy.held_acks = []
        if not proxy.may_send(self.now_s, settings.owner_lease_ns / 1e9):
            return
        for key_range, (epoch, names) in proxy.tables.items():
            if names:
                self._record_write(key_range, epoch, settings.write_lifetime_ns / 1e9)
            self._judge_proxy(number, proxy, key_range, names)
            for name in names if key_range in self.owned_since_s else ():
                load = proxy.admission * self.sizes[key_range] / len(names) / len(self.proxies)
                self.sent.setdefault(name, {})
                step = round(self.now_s / STEP_S)
                self.sent[name][step] = self.sent[name].get(step, 0.0) + load

    def _record_write(self, key_range, epoch, life_s):
        if not self.settings["single_owner"]:
            return
        held = [write for write in self.writes[key_range] if write[0] > self.now_s]
        if epoch < self.newest[key_range] or any(other != epoch for _, other in held):
            self.violations.append((round(self.now_s, 2), "two owners", key_range))
        self.newest[key_range] = max(self.newest[key_range], epoch)
        self.writes[key_range] = [*held, (self.now_s + self._within(life_s), epoch)]

    def _judge_proxy(self, number, proxy, key_range, names):
        settings, key = self.harness.state.settings, (number, key_range)
        joined = proxy.session and proxy.lost_s is None and key_range in self.owned_since_s
        if names or not joined or not any(self._is_warm(name) for name in self.states):
            self.empty_since_s.pop(key, None)
        elif self.now_s - self.empty_since_s.setdefault(key, self.now_s) > settings.max_no_endpoint_ns / 1e9:
            self.violations.append((round(self.now_s, 2), "no endpoint", key))
        grace_s = settings.drain_grace_ns / 1e9
        late = [
            n for n in names if self.states.get(n) != "ready" and self.now_s > self.changed_s[n] + grace_s
        ]
        if late and joined and self.now_s > self.owned_since_s[key_range] + grace_s:
            self.violations.append((round(self.now_s, 2), "drain", key))

    def _is_warm(self, name):
        warmup_s = self.harness.state.settings.max_warmup_ns / 1e9
        return self.states[name] == "ready" and self.now_s > self.started_s.get(name, -99) + warmup_s

    def _judge_warming(self):
        settings = self.harness.state.settings
        step, steps = round(self.now_s / STEP_S), int(settings.overload_window_ns / 1e9 / STEP_S)
        for name, started_s in self.started_s.items():
            if self.states[name] != "ready" or self._is_warm(name):
                continue
            progress = (self.now_s - started_s) / (settings.max_warmup_ns / 1e9)
            present = settings.start_capacity_fraction + (1 - settings.start_capacity_fraction) * progress
            sent = self.sent.get(name, {})
            first = max(step - steps, round(self.judged_from_s[name] / STEP_S))
            load = sum(sent.get(k, 0.0) for k in range(first, step + 1)) / steps
            if load > settings.overload_multiple * present * self.capacity:
                self.violations.append((round(self.now_s, 2), "warming overload", name))
