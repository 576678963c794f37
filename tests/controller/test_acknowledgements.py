"""Unsent and withheld nonces, and acknowledgement latencies."""

from swiftchute.controller import acknowledgements
from swiftchute.controller.acknowledgements import NonceTracker


def test_a_message_carries_the_newest_nonce_once():
    nonces = NonceTracker()
    nonces.on_command(1, ["p"], 0)
    nonces.on_command(2, ["p"], 10)
    assert nonces.pop_unsent("p") == 2
    assert nonces.pop_unsent("p") is None


def test_a_withheld_nonce_can_be_acknowledged_until_a_newer_one_is_commanded():
    nonces = NonceTracker()
    nonces.withhold("p", 1)
    assert nonces.can_acknowledge_for("p")
    nonces.on_command(2, ["p"], 0)
    assert not nonces.can_acknowledge_for("p")


def test_command_times_of_the_oldest_nonces_are_dropped(monkeypatch):
    monkeypatch.setattr(acknowledgements, "MAX_NONCES", 2)
    nonces = NonceTracker()
    for nonce in range(3):
        nonces.on_command(nonce, [], nonce)
    assert [nonces.latency_ns(nonce, 10) for nonce in range(3)] == [0, 9, 8]


def test_a_disconnected_proxy_has_no_nonces():
    nonces = NonceTracker()
    nonces.on_command(1, ["p"], 0)
    nonces.withhold("p", 2)
    nonces.on_proxy_disconnected("p")
    assert nonces.pop_unsent("p") is None
    assert not nonces.can_acknowledge_for("p")
