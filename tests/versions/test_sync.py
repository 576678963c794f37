"""Synchronization over a channel that loses, duplicates and reorders, checked against a model."""

import random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from swiftchute.versions import encoding
from swiftchute.versions.encoding import Table, apply_delta, decode_table, encode
from swiftchute.versions.errors import DeltaMismatchError, EncodingError
from swiftchute.versions.history import VersionHistory
from swiftchute.versions.sync import Receiver, Sender
from swiftchute.versions.table_log import SNAPSHOT_INTERVAL_ENTRIES
from tests.support.tables import table_of

S = 1_000_000_000
NOW = 1000 * S


@pytest.fixture
def history():
    return VersionHistory("0", max_entries=100, max_age_ns=3600 * S)


def test_a_rejected_version_is_not_sent_again_on_the_same_stream(history):
    one = history.record("t", table_of(a=1.0), NOW, "start").version
    sender, receiver = Sender(history), Receiver()
    sender.set_wanted(one)
    sender.on_response(receiver.on_message(sender.next_message(), accepted=False))
    assert sender.next_message() is None
    two = history.record("t", table_of(a=2.0), NOW, "health").version
    sender.set_wanted(two)
    message = sender.next_message()
    assert sender.next_message() is None  # one is in flight at a time
    sender.on_response(receiver.on_message(message))
    assert (sender.held_version, receiver.held_version) == (two, two)
    sender.set_wanted(one)
    assert sender.next_message() is None
    sender.reset(receiver.held_version)
    assert sender.next_message().version == one


class Synchronization(RuleBasedStateMachine):
    """Proxies apply deltas or whole tables; the controller knows the version that each reported last.

    A proxy is modelled by the bytes it holds. It must never hold bytes that the controller did not make, and
    once the channel is reliable it must end with exactly the controller's table.
    """

    def __init__(self):
        super().__init__()
        self.history = VersionHistory("0", max_entries=SNAPSHOT_INTERVAL_ENTRIES, max_age_ns=10**18)
        self.random = random.Random(5)
        self.weights, self.now = {"a": 1.0}, NOW
        self.made_bytes = set()
        self.held_bytes = [b"", b""]  # what each proxy holds
        self.known_versions = [None, None]  # the version it last reported to the controller
        self.in_flight = [[], []]  # to each proxy
        self.responses = [[], []]
        self.change({"a": 1.0})

    @rule(weights=st.dictionaries(st.sampled_from("abcdef"), st.sampled_from([0.5, 1.0, 2.0]), min_size=1))
    def change(self, weights):
        self.now += S
        self.history.record("t", table_of(**weights), self.now, "health")
        self.wanted = self.history.newest_change("t").version
        self.made_bytes.add(encode(table_of(**weights)))

    @rule(back=st.integers(0, 5))
    def rollback(self, back):
        entries = self.history.changes("t", 10)
        content = self.history.content(entries[min(back, len(entries) - 1)].version)
        self.now += S
        self.history.record("t", content, self.now, "rollback")
        self.wanted = self.history.newest_change("t").version

    @rule(proxy=st.integers(0, 1))
    def send(self, proxy):
        update = self.history.update_between(self.known_versions[proxy], self.wanted)
        if update is not None:
            self.in_flight[proxy] = [*self.in_flight[proxy], encode(update)][-4:]

    @rule(proxy=st.integers(0, 1), place=st.integers(0, 3), duplicated=st.booleans())
    def arrive(self, proxy, place, duplicated):
        """Deliver one message, in any order; a duplicated one stays in flight."""
        messages = self.in_flight[proxy]
        if messages:
            data = messages[place % len(messages)]
            if not duplicated:
                messages.remove(data)
            self.deliver(proxy, data)

    def deliver(self, proxy, data):
        try:
            self.held_bytes[proxy] = encode(decode_table(data))
        except EncodingError:
            try:
                held = decode_table(self.held_bytes[proxy]) if self.held_bytes[proxy] else Table()
                self.held_bytes[proxy] = encode(apply_delta(encoding.decode_delta(data), held))
            except DeltaMismatchError:
                pass  # the response names the held version
        self.responses[proxy] = [*self.responses[proxy], encoding.version_of_bytes(self.held_bytes[proxy])][
            -4:
        ]

    @rule(proxy=st.integers(0, 1), place=st.integers(0, 3), lost=st.booleans())
    def respond(self, proxy, place, lost):
        """Deliver or lose a response, in any order."""
        if self.responses[proxy]:
            reported_version = self.responses[proxy].pop(place % len(self.responses[proxy]))
            if not lost:
                self.known_versions[proxy] = reported_version

    @rule(proxy=st.integers(0, 1))
    def reconnect(self, proxy):
        """The stream breaks: what was in flight is lost, and the proxy reports what it holds."""
        self.in_flight[proxy], self.responses[proxy] = [], []
        self.known_versions[proxy] = (
            encoding.version_of_bytes(self.held_bytes[proxy]) if self.held_bytes[proxy] else None
        )

    @precondition(lambda self: True)
    @rule(proxy=st.integers(0, 1))
    def settle(self, proxy):
        """Make the channel reliable: the proxy must end with the controller's table."""
        self.in_flight[proxy], self.responses[proxy] = [], []
        for _ in range(3):
            self.send(proxy)
            for data in self.in_flight[proxy]:
                self.deliver(proxy, data)
            self.in_flight[proxy] = []
            if self.responses[proxy]:
                self.known_versions[proxy] = self.responses[proxy].pop()
        if (
            self.known_versions[proxy] is None
            or encoding.version_of_bytes(self.held_bytes[proxy]) != self.wanted
        ):
            self.reconnect(proxy)  # an old response arrived last; the next stream corrects it
            self.send(proxy)
            for data in self.in_flight[proxy]:
                self.deliver(proxy, data)
            self.in_flight[proxy] = []
        assert self.held_bytes[proxy] == encode(self.history.content(self.wanted))

    @invariant()
    def nobody_holds_what_the_controller_never_made(self):
        assert all(data == b"" or data in self.made_bytes for data in self.held_bytes)


Synchronization.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestSynchronization = Synchronization.TestCase
