"""Controllers shared by the test modules."""

import pytest

from swiftchute.controller.controller import Controller
from swiftchute.safety.proposal import SafetyRules
from tests.support.controller import (
    NS_PER_S,
    SETTINGS,
    CrashingPolicy,
    InterferingPolicy,
    list_change,
    play,
    start,
)


@pytest.fixture
def controller():
    """A controller without safety rules, with two endpoints and proxy `p`; its policy can crash."""
    CrashingPolicy.crashes = False
    return start(Controller(SETTINGS, 7, CrashingPolicy), "a:1", "b:1")


@pytest.fixture
def guarded_controller():
    """A controller with safety rules that has published its first tables."""
    controller = start(Controller(SETTINGS, 7, InterferingPolicy, safety_rules=SafetyRules()), "a:1", "b:1")
    play(controller, 0, 2)
    return controller


@pytest.fixture
def busy_controller(scripted_controller):
    """(controller, policy) with three ready endpoints and proxies `p` (table 1) and `q` (table 2)."""
    controller, policy = scripted_controller
    controller.on_list_update(list_change("a", "b", "d"))
    for proxy in "pq":
        controller.on_proxy_connected(proxy, "east", 1.0, True)
    for number, proxy in ((1, "p"), (2, "q")):
        policy.writes += [
            ("set_weight", number, "a", 1.0),
            ("set_weight", number, "b", 1.0),
            ("set_weight", number, "d", 1.0),
            ("assign_table", proxy, number, 0),
        ]
    controller.run_round(1000 * NS_PER_S)
    controller.run_round(1001 * NS_PER_S)
    return controller, policy
