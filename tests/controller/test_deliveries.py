"""Tables that a proxy may use: the last acknowledged ones and all that were sent since."""

import pytest

from swiftchute.controller.table_contents import ProxyTables, TableContent, TableEntry
from swiftchute.versions.delivery import DeliveryTracker
from swiftchute.versions.history import VersionHistory
from tests.support.controller import NS_PER_S, command


def test_a_proxy_may_use_all_tables_that_it_has_not_acknowledged(busy_controller):
    controller, policy = busy_controller
    warming = frozenset({"a"})

    def share():
        return controller.deliveries.pending_shares("p", ["read"], warming, lambda proxy: 1.0)

    controller.on_fully_acknowledged("p", 1001 * NS_PER_S)
    assert share() == ((1.0, {"a": pytest.approx(1 / 3)}),)
    command(controller, policy, 1002 * NS_PER_S, ("set_weight", 1, "a", 4.0))
    command(controller, policy, 1003 * NS_PER_S, ("set_weight", 1, "a", 1.0))
    assert share() == ((1.0, {"a": pytest.approx(4 / 6)}),)  # the largest share in all usable tables
    controller.on_fully_acknowledged("p", 1001 * NS_PER_S)
    assert share() == ((1.0, {"a": pytest.approx(1 / 3)}),)
    controller.on_proxy_disconnected("p")
    assert share() == ()


def test_unacknowledged_tables_are_bounded_and_the_acknowledged_ones_stay():
    tracker = DeliveryTracker(VersionHistory("0"))
    content = {"t": TableContent((TableEntry("a", "east", 1.0),), ())}
    sent = [ProxyTables((("read", "t"),), content) for _ in range(30)]
    for tables in sent:
        tracker.on_pushed("p", tables)
    assert len(tracker.holdings_by_proxy["p"]) == 8
    assert tracker.holdings_by_proxy["p"][0] is sent[0]
    assert tracker.holdings_by_proxy["p"][-1] is sent[-1]
