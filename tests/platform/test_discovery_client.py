"""Switches between connections to discovery in chosen interleavings, without sockets, with a fake clock."""

import itertools
import random

import pytest

from swiftchute.platform import discovery_client as module
from swiftchute.platform.discovery_client import CloseConnection, DiscoveryClient, OpenConnection
from swiftchute.platform.discovery_watch import MAX_DELIVERY_DELAY_NS
from swiftchute.platform.endpoint_list import EndpointList
from tests.support import discovery_lines
from tests.support.discovery_lines import EMPTY_LINE, HEAD, chunk, member

S = 1_000_000_000
A, B, C = ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)
EMPTY = EMPTY_LINE


def line(revision, complete, *members):
    """Return a line as one chunk of the response."""
    return chunk(discovery_lines.line(revision, complete, *members))


class World:
    """A client whose list holds a and b, with its commands and a fake clock."""

    def __init__(self):
        self.endpoint_list, self.now = EndpointList(("east",)), 1000 * S
        self.endpoint_list.load_cached(discovery_lines.line(41, True, member("a"), member("b")))
        self.client = DiscoveryClient(self.endpoint_list, random.Random(7))

    def commands(self):
        return [(type(command), command.connection) for command in self.client.take_commands(self.now)]

    def set_address(self, address):
        """Change the address and return the connection that is opened for it."""
        self.client.set_address(address, self.now)
        (connection,) = [connection for kind, connection in self.commands() if kind is OpenConnection]
        return connection

    def connected(self, address, *data):
        """Return a connection that was opened and has received this data."""
        connection = self.set_address(address)
        assert self.client.connection_opened(connection) is not None
        self.receive(connection, *data)
        return connection

    def receive(self, connection, *data):
        """Return the updates that result from these bytes."""
        return [update for piece in data for update in self.client.receive_data(connection, piece, self.now)]

    def wait(self, seconds):
        """Let time pass with a check every 0.1 s; return the commands with their times."""
        given = []
        for _ in range(round(seconds * 10)):
            self.now += S // 10
            list(self.client.check_timeouts(self.now))
            given += [(kind, connection, self.now) for kind, connection in self.commands()]
        return given

    def states(self):
        return {endpoint: record.state for endpoint, record in self.endpoint_list.endpoints.items()}


@pytest.fixture
def world():
    return World()


def test_the_old_connection_stays_in_use_until_the_new_one_has_received_a_line(world):
    old = world.connected(A, HEAD, EMPTY)
    new = world.set_address(B)
    assert world.commands() == []
    assert [n.endpoints[0][0] for n in world.receive(old, line(42, False, member("a", "Terminating")))] == [
        "a"
    ]
    asked = world.client.connection_opened(new)
    assert b"after=42 " in asked
    world.receive(new, HEAD)  # the head of the response is not a line yet
    assert world.receive(old, line(43, False, member("c"))) != []
    world.receive(new, EMPTY)
    assert world.commands() == [(CloseConnection, old)]
    assert world.receive(old, line(44, False, member("b", "Gone"))) == []  # no longer in use
    assert world.states() == {"a": "draining", "b": "ready", "c": "ready"}


def test_a_second_change_of_address_before_a_response_closes_only_the_middle_connection(world):
    old = world.connected(A, HEAD, EMPTY)
    middle = world.set_address(B)
    world.client.set_address(C, world.now)
    (dial, new), (end, ended) = world.commands()
    assert (dial, end) == (OpenConnection, CloseConnection)
    assert ended is middle
    assert world.client.connection_opened(middle) is None  # established just as it was closed
    assert world.receive(old, line(42, False, member("a", "Terminating"))) != []
    world.client.connection_opened(new)
    world.receive(new, HEAD, EMPTY)
    assert world.commands() == [(CloseConnection, old)]


def test_a_second_change_of_address_before_the_first_line_keeps_the_connection_with_a_response(world):
    old = world.connected(A, HEAD, EMPTY)
    middle = world.connected(B, HEAD)
    world.client.set_address(C, world.now)
    ended = [connection for kind, connection in world.commands() if kind is CloseConnection]
    assert ended == [old]
    assert world.receive(middle, line(42, False, member("a", "Terminating"))) != []
    assert world.states()["a"] == "draining"


def test_the_same_address_opens_no_connection(world):
    world.connected(A, HEAD, EMPTY)
    world.client.set_address(A, world.now)
    assert world.commands() == []


def test_a_silent_connection_is_replaced_in_time_and_stays_in_use_until_then(world):
    old = world.connected(A, HEAD, EMPTY)
    began = world.now
    done = world.wait(6)
    open_times = [when for kind, _, when in done if kind is OpenConnection]
    # Discovery must deliver a change within 6 s, so the connection and one retry must be opened before that.
    assert open_times[0] - began <= module.SILENCE_TIMEOUT_NS + S // 5
    assert len(open_times) == 2
    assert open_times[1] - began < MAX_DELIVERY_DELAY_NS
    assert old not in [connection for kind, connection, _ in done if kind is CloseConnection]
    assert world.receive(old, line(42, False, member("a", "Terminating"))) != []  # it was only slow
    newest = [connection for kind, connection, _ in done if kind is OpenConnection][-1]
    world.receive(newest, HEAD, EMPTY)
    assert (CloseConnection, old) in world.commands()


def test_a_connection_with_an_empty_line_every_two_seconds_is_not_silent(world):
    connection = world.connected(A, HEAD)
    for _ in range(10):
        world.receive(connection, EMPTY)
        assert world.wait(2) == []
    assert world.wait(2) == []  # one missing line is not silence yet


def test_a_connection_is_not_silent_while_bytes_wait_in_its_socket(world):
    connection = world.connected(A, HEAD, EMPTY)
    world.now += 60 * S  # the process was suspended
    list(world.client.check_timeouts(world.now))
    assert world.commands() == []
    world.receive(connection, EMPTY)
    assert world.wait(2) == []


def test_failed_connections_are_retried_with_a_bounded_backoff_and_logged(world):
    connection, open_times = world.set_address(A), []
    for _ in range(50):
        world.client.connection_closed(connection, "refused", world.now)
        while not (done := world.commands()):
            world.now += S // 100
        ((_, connection),) = done
        open_times.append(world.now)
    waits = [b - a for a, b in itertools.pairwise(open_times)]
    assert max(waits) <= module.MAX_RECONNECT_WAIT_NS + S // 100
    assert min(waits[5:]) >= module.MAX_RECONNECT_WAIT_NS // 2
    assert len(set(waits)) > 10  # jitter, so that instances do not reconnect together
    event, fields = world.client.take_log_events()[0]
    assert event == "discovery lost"
    assert fields == {"address": "127.0.0.1:1", "cause": "refused"}


def test_a_connection_without_a_response_is_closed_and_retried(world):
    connection = world.set_address(A)
    done = world.wait(6)
    assert (CloseConnection, connection) in [(kind, ended) for kind, ended, _ in done]
    assert 2 <= sum(kind is OpenConnection for kind, _, _ in done) <= 5
    assert world.client.connection_opened(connection) is None


def test_the_end_of_the_old_connection_does_not_affect_the_new_one(world):
    old, new = world.connected(A, HEAD, EMPTY), world.set_address(B)
    world.client.connection_closed(old, "closed", world.now)
    assert world.commands() == []
    world.client.connection_opened(new)
    assert world.receive(new, HEAD, line(42, False, member("a", "Terminating"))) != []


def test_an_invalid_response_from_the_new_address_keeps_the_old_connection(world):
    old, new = world.connected(A, HEAD, EMPTY), world.set_address(B)
    world.client.connection_opened(new)
    assert world.receive(new, b"SSH-2.0-nothing\r\n\r\n") == []
    assert world.commands() == [(CloseConnection, new)]
    world.client.connection_closed(
        new, "the connection ended", world.now
    )  # the transport also reports the end
    assert [cause for _, cause in world.client.take_log_events()][0]["cause"].startswith("not HTTP")
    assert world.receive(old, line(42, False, member("a", "Terminating"))) != []
    assert [kind for kind, _, _ in world.wait(0.2)] == [OpenConnection]


def test_a_new_discovery_that_lags_does_not_close_the_old_connection(world):
    old = world.connected(A, HEAD, line(44, False, member("a", "Terminating"), member("c")))
    new = world.connected(B, HEAD, line(40, True, member("a"), member("b")))
    assert world.commands() == []
    assert world.receive(old, line(45, False, member("b", "Terminating"))) != []
    last = line(45, False, member("a", "Terminating"), member("b", "Terminating"), member("c"))
    caught = world.receive(new, last)
    assert caught[-1].scope == "whole"
    assert world.commands() == [(CloseConnection, old)]
    assert world.states() == {"a": "draining", "b": "draining", "c": "ready"}


def test_a_restarted_discovery_is_adopted_after_the_maximum_delivery_delay(world):
    world.connected(A, HEAD, line(3, True, member("x")))
    assert world.states() == {"a": "ready", "b": "ready"}
    world.client.current.last_activity_ns += 10 * S  # not silent
    world.wait(MAX_DELIVERY_DELAY_NS / S + 0.1)
    assert world.states() == {"x": "ready"}
    assert world.endpoint_list.revision == 3


OLD_LINES = [line(42, False, member("a", "Terminating")), line(43, False, member("c")), EMPTY,
             line(44, False, member("b", "Gone"))]  # fmt: skip
NEW_LINES_BY_KIND = {
    "changes": [line(43, False, member("a", "Terminating"), member("c")), EMPTY,
                line(44, False, member("b", "Gone"))],
    "whole": [line(43, True, member("a", "Terminating"), member("b"), member("c")), EMPTY,
              line(44, False, member("b", "Gone"))],
    "late whole": [line(40, True, member("a"), member("b")), line(42, False, member("a", "Terminating")),
                   line(44, False, member("b", "Gone"), member("c"))],
}  # fmt: skip


@pytest.mark.parametrize("kind", NEW_LINES_BY_KIND)
def test_no_drain_is_lost_in_any_order_of_the_lines_of_two_connections(kind):
    """Tries each order of the two connections' lines, splitting the new one's bytes at varying places."""
    new_lines = [HEAD, *NEW_LINES_BY_KIND[kind]]
    for order, turns in enumerate(
        itertools.combinations(range(len(OLD_LINES) + len(new_lines)), len(OLD_LINES))
    ):
        world = World()
        old = world.connected(A, HEAD, EMPTY)
        new = world.set_address(B)
        world.client.connection_opened(new)
        olds, news, drained = iter(OLD_LINES), iter(new_lines), False
        for turn in range(len(OLD_LINES) + len(new_lines)):
            if turn in turns:
                data = next(olds)
                world.receive(old, data)
            else:
                data = next(news)
                place = 1 + order % (len(data) - 1)
                world.receive(new, data[:place], data[place:])
            drained = drained or world.states().get("a") == "draining"
            assert not drained or world.states().get("a") == "draining"  # it stays, whoever reported it
            assert world.states()
        assert world.states() == {"a": "draining", "c": "ready"}
        assert world.endpoint_list.revision == 44
