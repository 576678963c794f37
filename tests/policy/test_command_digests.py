"""The commands for long fixed lists of events under many settings, each list as one digest.

Only the text of log lines is left out. A digest that changes says that some decision changed: the order of
iteration, of random draws or of sums counts. It is recorded anew only with the change of a decision, and the
commit says which rounds differ and why.
"""

import hashlib
import random
from dataclasses import replace

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    KeyRangeAssigned,
    KeyRangeDemandReport,
    KeyRangeEntryRestored,
    KeyRangeRevoked,
    PeerMessageReceived,
    ProbeCompleted,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
    TimerFired,
)
from swiftchute.api.settings import Settings
from swiftchute.policy import Reconciler
from tests.support.policy import RecordedCommands
from tests.support.settings import DEFAULTS, operation

S = 1_000_000_000
ROUNDS = 400
ZONES = ("east", "west", "south", "north")  # the last is none of the settings' zones


class EventGenerator:
    """Draws the events of each round, and acknowledges the nonces that the commands asked for."""

    def __init__(self, seed, key_ranges, endpoints):
        self.random, self.key_ranges, self.endpoints = random.Random(seed), key_ranges, endpoints
        self.records = {}
        self.proxies, self.nonces = {}, {}
        self.now_ns, self.latency_s = 1000 * S, 0.1
        self.timers = []

    def record(self, number, state="ready"):
        draw = self.random
        zone = ZONES[number % 3] if number % 17 else ZONES[3]
        started = self.now_ns - draw.randrange(20) * S if draw.random() < 0.3 else 0
        return EndpointRecord(
            f"e{number}", zone, "kind", number % 2, state, draw.choice((0.5, 1.0, 2.0)), started
        )

    def change(self, number):
        """A change of one endpoint: its state or weight, or a restart."""
        known = self.records.get(number)
        if known is None or self.random.random() < 0.3:
            return self.record(number)
        return known._replace(state=self.random.choice(("ready", "ready", "draining", "gone")))

    def list_update(self):
        draw = self.random.random()
        if draw < 0.1:
            return EndpointListUpdate("lost", [])
        if draw < 0.2:
            self.records = {k: v for k, v in self.records.items() if self.random.random() < 0.9}
            return EndpointListUpdate(self.random.choice(("whole", "held")), list(self.records.values()))
        numbers = [self.random.randrange(self.endpoints) for _ in range(self.random.randrange(1, 5))]
        changed = {number: self.change(number) for number in numbers}
        self.records |= changed
        return EndpointListUpdate("changes", list(changed.values()))

    def first_events(self):
        self.records = {number: self.record(number) for number in range(2 * self.endpoints // 3)}
        return [
            EndpointListUpdate("held", list(self.records.values())),
            *(self.connect(proxy) for proxy in range(10)),
        ]

    def connect(self, proxy):
        self.proxies[proxy] = ZONES[proxy % 3]
        return ProxyConnected(proxy, ZONES[proxy % 3], 5.0 * (1 + proxy % 4), proxy % 2 == 0)

    def acknowledgements(self):
        """About two thirds of the proxies acknowledge the latest nonce that they were asked for."""
        for proxy, nonce in list(self.nonces.items()):
            if proxy in self.proxies and self.random.random() < 0.7:
                del self.nonces[proxy]
                yield PushAcknowledged(proxy, nonce, int(self.random.uniform(0.05, 2.0) * S))

    def load_reports(self, overloaded):
        for number, record in self.records.items():
            for zone in ZONES[:3]:
                if self.random.random() < (0.5 if record.zone == zone else 0.15):
                    attempts = self.random.randrange(0, 25)
                    failures = self.random.randrange(attempts + 1) if number % 11 == 3 else attempts // 12
                    latency = self.random.uniform(0.05, 0.3) * (5 if overloaded and zone == "east" else 1)
                    latency *= 6 if number % 13 == 5 else 1
                    window = self.random.choice((S // 2, S, 3 * S))
                    yield EndpointLoadReport(
                        zone, record.endpoint, attempts, failures, int(latency * S), window, None
                    )

    def key_range_events(self):
        number = self.random.randrange(12)
        yield self.random.choice(
            (
                KeyRangeAssigned(number),
                KeyRangeRevoked(number),
                KeyRangeEntryRestored(number, f"e{self.random.randrange(36)}", 1.0),
                KeyRangeDemandReport(number, "read", 4, 0, S),
            )
        )

    def events(self, step):
        """The events of one round; times of calm, of heat in one zone and of many changes take turns."""
        phase = step // 50 % 4
        self.now_ns += int(self.random.choice((0.01, 0.1, 0.1, 0.3, 0.7)) * S)
        events = [TimerFired(timer) for due, timer in self.timers if due <= self.now_ns]
        self.timers = [(due, timer) for due, timer in self.timers if due > self.now_ns]
        events += self.acknowledgements()
        if self.random.random() < (0.5 if phase == 2 else 0.1):
            events.append(self.list_update())
        if self.random.random() < (0.4 if phase == 3 else 0.05):
            events.append(self.connect(self.random.randrange(40)))
        if self.proxies and self.random.random() < 0.08:
            proxy = self.random.choice(list(self.proxies))
            del self.proxies[proxy]
            events.append(ProxyDisconnected(proxy))
        if self.random.random() < 0.5:
            events += self.load_reports(overloaded=phase in (1, 3))
            requests = 300 if phase in (1, 3) else 12
            events += [
                DemandReport(p, self.random.choice(("read", "write")), self.random.randrange(requests), 1, S)
                for p in self.proxies
                if self.random.random() < 0.8
            ]
        if step % 40 == 7:
            events += [
                ProbeCompleted("e1", "answered", S, None),
                PeerMessageReceived(1, b"x"),
                EndpointLoadReport("east", "nobody", 5, 0, S, S, None),
                DemandReport(99, "read", 4, 0, S),
                ProxyDisconnected(99),
                PushAcknowledged(99, 1, S),
                PushAcknowledged(0, 65_000, S),
            ]
        if self.key_ranges:
            events += self.key_range_events()
        return events

    def process_commands(self, commands):
        """Note what a round asks the caller for: timers, and acknowledgements."""
        for verb, arguments in commands:
            if verb == "start_timer":
                self.timers.append((self.now_ns + arguments[0], arguments[1]))
            elif verb == "request_ack":
                self.nonces |= dict.fromkeys(self.proxies, arguments[0])


def run_rounds(endpoints=36, **facts):
    """Play the rounds; returns the commands, without the text of log lines."""
    settings = Settings(
        **(DEFAULTS | {"operations": (operation("read"), operation("write")), "zones": ZONES[:3]} | facts)
    )
    reconciler = Reconciler(settings, 11)
    generator, written = EventGenerator(5, settings.key_range_count, endpoints), []
    for step in range(ROUNDS):
        events = generator.first_events() if step == 0 else generator.events(step)
        sink = RecordedCommands()
        reconciler.reconcile(generator.now_ns, events, sink)
        generator.process_commands(sink.all)
        written += [(verb, arguments if verb != "log" else ()) for verb, arguments in sink.all]
        written.append(("end of round", (step,)))
    return written


SIDE_EFFECTING = replace(operation("pay"), idempotency="side-effecting", latency_objective_ns=2 * S)
CASES = {
    "as the tests have it": ({}, 2336, "3288abc899f0e042"),
    "admission by rate": ({"admission_mode": "rate"}, 2369, "7b20f6f534cb467c"),
    "no admission": ({"admission_mode": "none", "default_retry_policy": 0}, 2289, "e4ad5711ff4d8c68"),
    "key ranges": ({"key_range_count": 12}, 984, "f08248a7e66cdf0a"),
    "key ranges with a single owner": (
        {"key_range_count": 12, "single_owner": True},
        967, "d4ce8e487f4da100",
    ),
    "list by subscription": ({"list_needs_subscription": True}, 2337, "af44bc74498f1186"),
    "no message quota": ({"message_quota": 0}, 2495, "108341193355463f"),
    "small message quota": ({"message_quota": 4}, 2023, "ddf77aa028a35f41"),
    "removal does not bind": ({"removal_is_binding": False}, 2472, "eae2259b7403ff04"),
    "proxies eject nobody": ({"ejection_failures": 0}, 2446, "ccfbfbed06f4dad2"),
    "an operation local to its zone": (
        {"operations": (operation("read"), operation("write", zone_local=True), SIDE_EFFECTING),
         "default_retry_policy": 2},
        2859, "45063016382e7e98",
    ),
    "all operations local": ({"operations": (operation("read", zone_local=True),)}, 1426, "9257b0ed978d30e0"),
    "small subsets": ({"subset_size": 2}, 2417, "69919da380a9c3c9"),
    "small egress queue": (
        {"egress_queue_limit_entries": 150.0, "egress_rate_entries_per_s": 80.0},
        1901, "653adc793162fd26",
    ),
    "small subsets in a slow channel": (
        {"subset_size": 2, "egress_queue_limit_entries": 160.0, "message_overhead_entries": 1.0},
        2524, "ba814938bd9ff5d4",
    ),
    "one zone": ({"zones": ("east",)}, 1116, "38ebee68247fef46"),
    "costly zones": ({"cross_zone_price": 0.6}, 1884, "9114bbb36b46d3ae"),
    "long warm-up": ({"max_warmup_ns": 60 * S, "overload_multiple": 1.2}, 2216, "6a03ac1721dd88a9"),
    "more removed endpoints than are remembered": ({"endpoints": 450}, 17650, "2d0e1c688c91b12d"),
}  # fmt: skip


@pytest.mark.parametrize("name", CASES)
def test_commands_are_those_recorded(name):
    facts, count, expected = CASES[name]
    written = run_rounds(**facts)
    digest = hashlib.sha256("\n".join(map(repr, written)).encode()).hexdigest()[:16]
    assert (len(written), digest) == (count, expected)
