"""Helpers that all tests share: settings, a writer that remembers, and a planner set up round by round."""

import pytest

from swiftchute.controller.controller import Core
from swiftchute.discovery.endpoint_list import News
from swiftchute.interface import Operation, Settings
from swiftchute.policy import Planner, S
from swiftchute.safety.validator import Rules
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
    "zones": ("east", "west"), "zone": "east", "planner": 0, "planners": 1, "asks_list": False,
    "weights": "none", "load_fields": (), "load_by": "none", "may_probe": False, "may_tell": False,
    "ask_within": None,
    "drain_grace": 2 * S, "gone_binds": True,
    "start_capacity": 0.2, "warm_within": 16 * S, "fall_multiple": 2.5,
    "fall_span": 2 * S, "bare_limit": 3 * S, "proxies": 4, "slices": 0, "single_owner": False,
    "admission": "share", "usual_tries": 1,
    "try_objectives": 1.0, "avoids_after": 5, "standing": 6, "report_period": S, "report_lines": 100.0,
    "channel_pace": 1000.0, "channel_limit": 2000.0, "message_lines": 5.0, "message_limit": 10,
    "message_window": 10 * S, "way": S // 5, "way_most": S // 2, "cross_price": 0.05, "probe_price": 0.0,
    "order_price": 0.04,
}  # fmt: skip


def operation(name, own_zone=False):
    return Operation(name, S, 4 * S, 1.0, 0.1, "idempotent", "all", 0, own_zone, False)


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
        self.planner, self.now = Planner(Settings(**(FACTS | facts)), 7), 1000 * S

    def turn(self, *calls, wait=0.0):
        self.now += int(wait * S)
        out = Written()
        self.planner.decide(self.now, list(calls), out)
        return out

    def server(self, name, zone="east", state="ready", age=None, weight=1.0):
        return (name, zone, "kind", 0, state, weight, 0 if age is None else self.now - int(age * S))

    def start(self, east=4, west=4, proxies=("east", "west")):
        """List servers e0.. and w0.., join proxies, and let the first push and binds go out."""
        entries = [self.server(f"e{k}") for k in range(east)] + [
            self.server(f"w{k}", "west") for k in range(west)
        ]
        joins = [("joined", (number, zone, 10.0, True)) for number, zone in enumerate(proxies)]
        return self.turn(("listed", ("held", entries)), *joins)

    def run(self, seconds, met=None, step=0.5, arrive=0, answer=True):
        """Half-second rounds; `met` maps a server to (tries, errored, time in s), met in its zone."""
        written = Written()
        for _ in range(int(seconds / step)):
            answers = self.planner.proxies if answer else ()
            calls = [("applied", (p, self.planner.seal, int(step * S))) for p in answers]
            for name, (n, bad, took) in (met or {}).items():
                zone = "east" if name[0] == "e" else "west"
                calls.append(("met", (zone, name, n, bad, int(took * S), S // 2, None)))
            calls += [("arrived", (p, "read", arrive, 0, S // 2)) for p in self.planner.proxies if arrive]
            written.all += self.turn(*calls, wait=step).all
        return written

    def table(self, zone="east", local=False):
        return next(t for t in self.planner.all_tables() if (t.zone, t.local) == (zone, local))


@pytest.fixture
def bench():
    return Bench


@pytest.fixture
def started():
    made = Bench()
    made.first = made.start()
    return made


class Fixed:
    """A decider that writes what a test gives it."""

    def __init__(self):
        self.writes = []

    def decide(self, now, calls, writer):
        writes, self.writes = self.writes, []
        for verb, *arguments in writes:
            getattr(writer, verb)(*arguments)


@pytest.fixture
def fixed():
    """A core under a guard whose decider does what the test says; (core, decider)."""
    decider = Fixed()
    settings = Settings(**(FACTS | {"operations": (operation("read"), operation("write"))}))
    return Core(settings, 7, lambda settings, seed: decider, 1000 * S, Rules()), decider


@pytest.fixture
def core_with_a_cold_server(fixed):
    """A core whose table gives a server that has just started a hundred times its part."""
    core, decider = fixed
    entries = [("a", "east", "", 0, "ready", 1.0, 0), ("c", "east", "", 0, "ready", 1.0, 1000 * S)]
    core.listed(News("held", tuple(entries), ()))
    core.joined("p", "east", 1.0, True)
    decider.writes = [("line", 1, "a", 1.0), ("line", 1, "c", 100.0), ("bind", "p", 1, 0)]
    core.turn(1000 * S)
    return core, 1000 * S, "c"
