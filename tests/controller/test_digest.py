"""A fixed scenario for the controller with the real policy; changes of the code must not change its outputs.

The outputs of a run are pushes to proxies, tables of each proxy, deadlines, log events and explanations. An
intended change of behaviour changes the digests; its commit must give the reason.
"""

import hashlib
import random

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller
from swiftchute.controller.load_aggregation import LoadReport
from swiftchute.controller.version_state import RetentionSettings
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.policy import Reconciler
from swiftchute.safety.proposal import SafetyRules
from swiftchute.versions.errors import PinError, UnknownVersionError
from tests.conftest import DEFAULTS, operation

NS_PER_S = 1_000_000_000
START_NS = 1000 * NS_PER_S
STEP_NS = NS_PER_S // 10
ACK_DELAY_STEPS = 2
RUN_STEPS = 500
OPERATIONS = (operation("read"), operation("write", zone_local=True))
PROXIES = {f"p{k}": ("east", "west")[k % 2] for k in range(8)}
SLOW_PROXY = "p5"  # acknowledges ten times as late
ENDPOINTS = {f"10.0.0.{k}:80": ("east", "west")[k % 2] for k in range(14)}
DRAINED, OUTLIER, LATE_START = "10.0.0.2:80", "10.0.0.4:80", "10.0.0.99:80"


class ScriptedPolicy(Reconciler):
    """The real policy, which the scenario can make crash or issue extra commands."""

    crashes = False
    extra_commands = None

    def reconcile(self, now, events, commands):
        if ScriptedPolicy.crashes:
            raise ZeroDivisionError("on purpose")
        super().reconcile(now, events, commands)
        if ScriptedPolicy.extra_commands is not None:
            extra, ScriptedPolicy.extra_commands = ScriptedPolicy.extra_commands, None
            extra(commands)


def record(endpoint, zone, state="ready", started_ns=0):
    return EndpointRecord(endpoint, zone, "kind", 0, state, 1.0, started_ns)


class Scenario:
    """Plays the events of each step, runs every due round, and computes digests of the outputs."""

    def __init__(self, safety_rules, enforce, canary, **facts):
        ScriptedPolicy.crashes, ScriptedPolicy.extra_commands = False, None
        settings = Settings(**(DEFAULTS | {"operations": OPERATIONS, "proxy_count": len(PROXIES)} | facts))
        retention = RetentionSettings(canary_fraction=0.25 if canary else 0.0, min_canary_change=0.05)
        self.controller = Controller(settings, 7, ScriptedPolicy, START_NS, safety_rules, enforce, retention)
        self.random = random.Random(3)
        self.now = START_NS
        self.acks = []  # (step, proxy, nonce)
        self.event_names = {}
        self.digests = {name: hashlib.sha256() for name in ("pushes", "tables", "events", "explain")}

    def add_to_digest(self, name, *values):
        self.digests[name].update(repr(values).encode())

    def play(self):
        for step in range(RUN_STEPS):
            self.now = START_NS + step * STEP_NS
            self.play_events(step)
            self.run_round(step)
            while self.now < self.controller.next_deadline_ns < START_NS + (step + 1) * STEP_NS:
                self.now = self.controller.next_deadline_ns
                self.run_round(step)
        gate = self.controller.publish_gate
        self.add_to_digest(
            "explain", sorted(self.controller.counts.items()), sorted(gate.counts.items()) if gate else None
        )
        self.add_to_digest(
            "explain",
            [
                (c.table, c.serial, c.version, c.parent, str(c.cause), c.changed_count, c.removed_count)
                for c in self.controller.history.changes(None, 1000)
            ],
        )
        return {name: digest.hexdigest()[:16] for name, digest in self.digests.items()}

    def run_round(self, step):
        output = self.controller.run_round(self.now)
        self.add_to_digest(
            "pushes",
            self.now,
            [tuple(push) for push in output.pushes],
            output.overflowed_proxies,
            self.controller.next_deadline_ns,
        )
        for proxy, nonce in output.pushes:
            self.add_to_digest("tables", proxy, self.tables(proxy))
            delay = ACK_DELAY_STEPS * (10 if proxy == SLOW_PROXY else 1)
            self.acks.append((step + delay, proxy, nonce))
        for proxy in output.overflowed_proxies:
            self.controller.on_proxy_disconnected(proxy)
            self.controller.on_proxy_connected(proxy, PROXIES[proxy], 10.0, False)
        shown = []
        for name, fields in output.log_events:
            self.event_names[name] = self.event_names.get(name, 0) + 1
            stable = {key: value for key, value in fields.items() if key not in ("at", "error")}
            shown.append(repr(sorted(stable.items())))
        self.add_to_digest("events", self.now, sorted(shown))  # violations that end together are unordered

    def tables(self, proxy):
        proxy_tables = self.controller.tables_of(proxy)
        contents = [
            (name, tuple(tuple(entry) for entry in content.entries), content.admission, content.version)
            for name, content in sorted(proxy_tables.contents.items())
        ]
        return proxy_tables.tables_by_operation, contents, sorted(proxy_tables.baseline_tables)

    def list_changes(self, *records, scope="changes"):
        self.controller.on_list_update(EndpointListChange(scope, tuple(records), ()))

    def connect(self, proxy, fresh):
        self.controller.on_proxy_connected(proxy, PROXIES[proxy], 10.0, fresh)

    def disconnect(self, proxy):
        self.controller.on_proxy_disconnected(proxy)
        self.acks = [ack for ack in self.acks if ack[1] != proxy]

    def run_command(self, command, *arguments):
        """Run an operator's command; its result or error is part of the digest."""
        try:
            change = getattr(self.controller, command)(*arguments)
        except (UnknownVersionError, PinError) as error:
            self.add_to_digest("explain", command, str(error))
        else:
            self.add_to_digest("explain", command, change and change.version)

    def play_events(self, step):
        self.acknowledge(step)
        if step % 10 == 5:
            for proxy in PROXIES:
                if proxy in self.controller.proxies:
                    self.controller.on_load_report(proxy, self.load_report(proxy, step), self.now)
        if step % 50 == 0:
            self.add_to_digest(
                "explain",
                self.controller.explain(self.now),
                sorted(self.controller.warming_endpoints(self.now)),
            )
            self.add_to_digest(
                "explain",
                sorted(self.controller.unavailable_endpoints),
                self.controller.commanded_weights("0.1"),
            )
        action = getattr(self, f"at_{step}", None)
        if action is not None:
            action()

    def acknowledge(self, step):
        due = [ack for ack in self.acks if ack[0] <= step]
        self.acks = [ack for ack in self.acks if ack[0] > step]
        for _, proxy, nonce in due:
            if proxy not in self.controller.proxies:
                continue
            if nonce is not None:
                self.controller.on_acknowledged(proxy, nonce, self.now)
            if not any(other == proxy for _, other, _ in self.acks):
                self.controller.on_fully_acknowledged(proxy, self.now)

    def load_report(self, proxy, step):
        demand = tuple(
            (name, self.random.randint(20, 60), self.random.randint(0, 1)) for name in ("read", "write")
        )
        endpoints = []
        for endpoint, zone in ENDPOINTS.items():
            if zone != PROXIES[proxy]:
                continue
            attempts = self.random.randint(5, 15)
            failures = attempts - 1 if endpoint == OUTLIER and 100 <= step < 200 else 0
            good = attempts - failures
            mean = self.random.randint(50, 400) * 1_000_000
            endpoints.append((endpoint, attempts, failures, good * mean, good))
        return LoadReport(NS_PER_S, demand, (*endpoints, ("1.2.3.4:5", 1, 1, 0, 0)))

    def at_0(self):
        self.list_changes(*(record(e, z) for e, z in ENDPOINTS.items()), scope="held")
        for proxy in PROXIES:
            self.connect(proxy, fresh=True)

    def at_30(self):
        self.list_changes(record(DRAINED, "east", "draining"))

    def at_60(self):
        self.list_changes(record(LATE_START, "east", started_ns=self.now))

    def at_70(self):
        self.list_changes(record(DRAINED, "east", "gone"), record("10.0.0.3:80", "west", "gone"))

    def at_90(self):
        self.disconnect("p2")

    def at_95(self):
        self.connect("p2", fresh=False)

    def at_150(self):
        self.run_command("pin", "0.1", "~1", 5 * NS_PER_S, True, "rollback", self.now)
        self.run_command("pin", "0.2", "~0", 20 * NS_PER_S, False, "pin", self.now)
        self.run_command("pin", "0.77", "~0", 20 * NS_PER_S, False, "pin", self.now)
        self.run_command("pin", "0.1", "~900", 20 * NS_PER_S, False, "pin", self.now)
        self.run_command("pin", "0.1", "~0", 20, False, "pin", self.now)

    def at_180(self):
        self.run_command("release", "0.2", self.now)
        self.run_command("release", "0.2", self.now)

    def at_220(self):
        ScriptedPolicy.extra_commands = lambda commands: [
            commands.set_weight(1, endpoint, weight)
            for endpoint, weight in (("10.0.0.0:80", 9.0), ("10.0.0.6:80", 0.0), ("10.0.0.8:80", 5.0))
        ]

    def at_230(self):
        for proxy in PROXIES:
            if proxy in self.controller.proxies:
                self.controller.on_tables_rejected(proxy, ["0.1", "0.2"], self.now)

    def at_260(self):
        ScriptedPolicy.crashes = True

    def at_265(self):
        self.list_changes(record("10.0.0.5:80", "west", "draining"))

    def at_275(self):
        ScriptedPolicy.crashes = False

    def at_340(self):
        ScriptedPolicy.extra_commands = lambda commands: [
            commands.clear_table(1),
            commands.set_ejected("10.0.0.7:80", True),
            commands.set_admission(None, 0, 0.8, 2),
            commands.log("level east 0: on, 0.8, time 0.71 of the objective"),
        ]

    def at_380(self):
        ScriptedPolicy.extra_commands = lambda commands: commands.set_weight(1, "10.0.0.0:80", float("nan"))

    def at_400(self):
        self.list_changes(scope="lost")

    def at_430(self):
        self.list_changes(
            *(record(e, z) for e, z in ENDPOINTS.items() if e != "10.0.0.9:80"),
            record(LATE_START, "east", started_ns=START_NS + 42 * NS_PER_S),
            scope="whole",
        )

    def at_450(self):
        self.now += 20 * NS_PER_S  # the event loop stalls


RUNS = {
    "enforced, with canaries": ((SafetyRules(), True, True), {}),
    "enforced, without canaries": ((SafetyRules(), True, False), {}),
    "warned, removal is not binding": ((SafetyRules(), False, True), {"removal_is_binding": False}),
    "without safety rules": ((None, True, False), {}),
    "a short egress queue": (
        (SafetyRules(), True, True),
        {"egress_queue_limit_entries": 60.0, "message_quota": 3},
    ),
}
EXPECTED = {
    "enforced, with canaries": (
        {
            "pushes": "ed01aac75e3e0fc8",
            "tables": "877403d0ad50772b",
            "events": "1745fc8e869b3210",
            "explain": "6c2a20b55ef42be3",
        },
        {
            "canary started": 8,
            "canary ended": 3,
            "egress queue full": 8,
            "guard": 142,
            "condition changed": 4,
            "policy crashed": 6,
            "policy restarted": 6,
            "policy restart delayed": 1,
            "invalid weights ignored": 1,
            "event loop stalled": 1,
            "table pinned": 4,
            "table released": 2,
        },
    ),
    "enforced, without canaries": (
        {
            "pushes": "931ceb947312f32c",
            "tables": "de0f627c42bc54dc",
            "events": "7e378b9b379d06f2",
            "explain": "2b07d7ce8627ce07",
        },
        {
            "guard": 14,
            "condition changed": 4,
            "policy crashed": 6,
            "policy restarted": 6,
            "policy restart delayed": 1,
            "invalid weights ignored": 1,
            "event loop stalled": 1,
            "table pinned": 4,
            "table released": 2,
        },
    ),
    "warned, removal is not binding": (
        {
            "pushes": "201ecc075c3019ad",
            "tables": "5d71b70145e4aca9",
            "events": "4977961ffe8af89c",
            "explain": "9f30eb9b1c40349a",
        },
        {
            "canary started": 12,
            "canary ended": 7,
            "egress queue full": 10,
            "guard": 162,
            "condition changed": 2,
            "policy crashed": 7,
            "policy restarted": 7,
            "policy restart delayed": 2,
            "event loop stalled": 1,
            "table pinned": 4,
            "table released": 2,
        },
    ),
    "without safety rules": (
        {
            "pushes": "e72d6587310ff678",
            "tables": "e1562754c41dbc74",
            "events": "06332ec77ef5e84d",
            "explain": "12bf67b75e7b602a",
        },
        {
            "condition changed": 2,
            "policy crashed": 7,
            "policy restarted": 7,
            "policy restart delayed": 2,
            "event loop stalled": 1,
            "table pinned": 4,
            "table released": 2,
        },
    ),
    "a short egress queue": (
        {
            "pushes": "ab0f140b8afd666a",
            "tables": "724370beba7d8fdb",
            "events": "7e2094153a075e11",
            "explain": "03b1a36f5381fa33",
        },
        {
            "canary started": 7,
            "canary ended": 5,
            "egress queue full": 20,
            "guard": 40,
            "condition changed": 4,
            "policy crashed": 6,
            "policy restarted": 6,
            "policy restart delayed": 1,
            "invalid weights ignored": 1,
            "event loop stalled": 1,
            "table pinned": 5,
            "table released": 2,
        },
    ),
}


@pytest.mark.parametrize("run", RUNS)
def test_outputs_of_a_fixed_scenario_are_unchanged(run):
    arguments, facts = RUNS[run]
    scenario = Scenario(*arguments, **facts)
    digests = scenario.play()
    assert (digests, scenario.event_names) == EXPECTED.get(run)
