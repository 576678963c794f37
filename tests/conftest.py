"""Helpers that all tests share: settings, a writer that remembers, and a planner set up round by round."""

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    ProxyConnected,
    PushAcknowledged,
)
from swiftchute.api.settings import Operation, Settings
from swiftchute.controller.controller import Controller
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.policy import Reconciler
from swiftchute.policy.units import NS_PER_S as S
from swiftchute.safety.validator import SafetyRules
from tests import known_red

pytest_plugins = ["pytester"]


def pytest_collection_modifyitems(config, items):
    """Tests that are known to fail are expected to, and printed."""
    whole = config.args == config.getini("testpaths") and not config.option.keyword
    known_red.mark(items, known_red.text(), whole)


def pytest_terminal_summary(terminalreporter):
    """Say which tests are known red."""
    for test, cause, issue in known_red.entries(known_red.text()):
        terminalreporter.write_line(f"KNOWN-RED {test}: {cause} ({issue})")


FACTS = {
    "zones": ("east", "west"),
    "zone": "east",
    "instance": 0,
    "instance_count": 1,
    "list_needs_subscription": False,
    "weight_source": "none",
    "load_figures": (),
    "load_source": "none",
    "may_probe": False,
    "may_message_peers": False,
    "list_request_interval_ns": None,
    "drain_grace_ns": 2 * S,
    "removal_is_binding": True,
    "start_capacity_fraction": 0.2,
    "max_warmup_ns": 16 * S,
    "overload_multiple": 2.5,
    "overload_window_ns": 2 * S,
    "max_no_endpoint_ns": 3 * S,
    "proxy_count": 4,
    "key_range_count": 0,
    "single_owner": False,
    "admission_mode": "share",
    "default_retry_policy": 1,
    "attempt_timeout_objectives": 1.0,
    "ejection_failures": 5,
    "subset_size": 6,
    "report_interval_ns": S,
    "report_rate_entries_per_s": 100.0,
    "egress_rate_entries_per_s": 1000.0,
    "egress_queue_limit_entries": 2000.0,
    "message_overhead_entries": 5.0,
    "message_quota": 10,
    "message_quota_window_ns": 10 * S,
    "mean_push_delay_ns": S // 5,
    "max_push_delay_ns": S // 2,
    "cross_zone_price": 0.05,
    "probe_price": 0.0,
    "entry_price": 0.04,
}


def operation(name, zone_local=False):
    return Operation(name, S, 4 * S, 1.0, 0.1, "idempotent", "all", 0, zone_local, False)


class Written:
    """Remembers what was written: a list of (verb, arguments)."""

    def __init__(self):
        self.all = []

    def __getattr__(self, verb):
        return lambda *arguments: self.all.append((verb, arguments))

    def of(self, verb):
        return [arguments for name, arguments in self.all if name == verb]


class Bench:
    """A planner and a clock; `turn` plays one round and returns what was written."""

    def __init__(self, **facts):
        facts.setdefault("operations", (operation("read"), operation("write")))
        self.planner, self.now = Reconciler(Settings(**(FACTS | facts)), 7), 1000 * S

    def turn(self, *calls, wait=0.0):
        self.now += int(wait * S)
        out = Written()
        self.planner.reconcile(self.now, list(calls), out)
        return out

    def server(self, name, zone="east", state="ready", age=None, weight=1.0):
        started = 0 if age is None else self.now - int(age * S)
        return EndpointRecord(name, zone, "kind", 0, state, weight, started)

    def start(self, east=4, west=4, proxies=("east", "west")):
        """List servers e0.. and w0.., join proxies, and let the first push and binds go out."""
        entries = [self.server(f"e{k}") for k in range(east)] + [
            self.server(f"w{k}", "west") for k in range(west)
        ]
        joins = [ProxyConnected(number, zone, 10.0, True) for number, zone in enumerate(proxies)]
        return self.turn(EndpointListUpdate("held", entries), *joins)

    def run(self, seconds, met=None, step=0.5, arrive=0, answer=True):
        """Half-second rounds; `met` maps a server to (tries, errored, time in s), met in its zone."""
        written = Written()
        for _ in range(int(seconds / step)):
            answers = self.planner.state.proxies if answer else ()
            calls = [PushAcknowledged(p, self.planner.budget.nonce, int(step * S)) for p in answers]
            for name, (n, bad, took) in (met or {}).items():
                zone = "east" if name[0] == "e" else "west"
                calls.append(EndpointLoadReport(zone, name, n, bad, int(took * S), S // 2, None))
            calls += [
                DemandReport(p, "read", arrive, 0, S // 2) for p in self.planner.state.proxies if arrive
            ]
            written.all += self.turn(*calls, wait=step).all
        return written

    def table(self, zone="east", local=False):
        return next(t for t in self.planner.state.all_tables() if (t.zone, t.zone_local) == (zone, local))


@pytest.fixture
def bench():
    return Bench


@pytest.fixture
def started():
    made = Bench()
    made.first = made.start()
    return made


class ScriptedPolicy:
    """A policy that issues the commands that a test gives it, once."""

    def __init__(self):
        self.writes = []

    def reconcile(self, now, calls, writer):
        writes, self.writes = self.writes, []
        for verb, *arguments in writes:
            getattr(writer, verb)(*arguments)


@pytest.fixture
def scripted_controller():
    """A controller under safety rules with a scripted policy: (controller, policy)."""
    policy = ScriptedPolicy()
    settings = Settings(**(FACTS | {"operations": (operation("read"), operation("write"))}))
    return Controller(settings, 7, lambda settings, seed: policy, 1000 * S, SafetyRules()), policy


@pytest.fixture
def controller_with_warming_endpoint(scripted_controller):
    """A controller whose table gives an endpoint that has just started a hundred times its share."""
    controller, policy = scripted_controller
    entries = [
        EndpointRecord("a", "east", "", 0, "ready", 1.0, 0),
        EndpointRecord("c", "east", "", 0, "ready", 1.0, 1000 * S),
    ]
    controller.on_list_update(EndpointListChange("held", tuple(entries), ()))
    controller.on_proxy_connected("p", "east", 1.0, True)
    policy.writes = [("set_weight", 1, "a", 1.0), ("set_weight", 1, "c", 100.0), ("assign_table", "p", 1, 0)]
    controller.run_round(1000 * S)
    return controller, 1000 * S, "c"
