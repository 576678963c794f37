"""Fixtures shared by the tests of several packages, and the report of known failures."""

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.settings import Settings
from swiftchute.controller.controller import Controller
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.policy.units import NS_PER_S as S
from swiftchute.safety.proposal import SafetyRules
from tests import known_red
from tests.support.settings import DEFAULTS, operation

pytest_plugins = ["pytester"]


def pytest_collection_modifyitems(config, items):
    """Mark the tests listed in KNOWN-RED.txt as expected failures."""
    all_collected = config.args == config.getini("testpaths") and not config.option.keyword
    known_red.mark(items, known_red.text(), all_collected)


def pytest_terminal_summary(terminalreporter):
    """List the known failures after each run."""
    for test, cause, issue in known_red.entries(known_red.text()):
        terminalreporter.write_line(f"KNOWN-RED {test}: {cause} ({issue})")


class ScriptedPolicy:
    """A policy that issues the commands a test puts into `writes`, once."""

    def __init__(self):
        self.writes = []

    def reconcile(self, now, events, commands):
        writes, self.writes = self.writes, []
        for verb, *arguments in writes:
            getattr(commands, verb)(*arguments)


@pytest.fixture
def scripted_controller():
    """A controller with safety rules and a scripted policy: (controller, policy)."""
    policy = ScriptedPolicy()
    settings = Settings(**(DEFAULTS | {"operations": (operation("read"), operation("write"))}))
    return Controller(settings, 7, lambda settings, seed: policy, 1000 * S, SafetyRules()), policy


@pytest.fixture
def controller_with_warming_endpoint(scripted_controller):
    """A controller whose policy gave an endpoint that has just started a hundred times its share."""
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
