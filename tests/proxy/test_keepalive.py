"""Keepalive: a silent connection is pinged, and closed if it does not answer."""

from swiftchute.proxy.keepalive import Keepalive, KeepaliveAction

TIMEOUT_NS = 1000


def test_a_silent_connection_is_pinged_once_and_closed_without_an_answer():
    keepalive = Keepalive(0)
    assert keepalive.check(TIMEOUT_NS, TIMEOUT_NS) is KeepaliveAction.NONE
    assert keepalive.check(TIMEOUT_NS + 1, TIMEOUT_NS) is KeepaliveAction.PING
    assert keepalive.check(2 * TIMEOUT_NS + 1, TIMEOUT_NS) is KeepaliveAction.NONE
    assert keepalive.check(2 * TIMEOUT_NS + 2, TIMEOUT_NS) is KeepaliveAction.CLOSE


def test_any_bytes_answer_a_ping():
    keepalive = Keepalive(0)
    assert keepalive.check(TIMEOUT_NS + 1, TIMEOUT_NS) is KeepaliveAction.PING
    keepalive.data_received(TIMEOUT_NS + 2)
    assert keepalive.check(2 * TIMEOUT_NS + 2, TIMEOUT_NS) is KeepaliveAction.NONE
    assert keepalive.check(2 * TIMEOUT_NS + 3, TIMEOUT_NS) is KeepaliveAction.PING
