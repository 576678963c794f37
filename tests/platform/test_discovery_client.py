"""Changes between connections to discovery, interleaved by hand: no sockets, and the clock is the test's."""

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
    """A line as a chunk of the answer."""
    return chunk(discovery_lines.line(revision, complete, *members))


class World:
    """A client whose list holds a and b, and what it commands."""

    def __init__(self):
        self.endpoint_list, self.now = EndpointList(("east",)), 1000 * S
        self.endpoint_list.load_cached(discovery_lines.line(41, True, member("a"), member("b")))
        self.client = DiscoveryClient(self.endpoint_list, random.Random(7))

    def commands(self):
        return [(type(command), command.connection) for command in self.client.take_commands(self.now)]

    def set_address(self, address):
        """Change the address; the connection that is opened for it."""
        self.client.set_address(address, self.now)
        (connection,) = [connection for kind, connection in self.commands() if kind is OpenConnection]
        return connection

    def connected(self, address, *data):
        """A connection that was opened and has brought this."""
        connection = self.set_address(address)
        assert self.client.connection_opened(connection) is not None
        self.receive(connection, *data)
        return connection

    def receive(self, connection, *data):
        """What these bytes change."""
        return [update for piece in data for update in self.client.receive_data(connection, piece, self.now)]

    def wait(self, seconds):
        """Let time pass by tenths with a check in each; the commands given in it."""
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


def test_the_old_connection_counts_until_the_new_one_has_brought_a_line(world):
    old = world.connected(A, HEAD, EMPTY)
    new = world.set_address(B)
    assert world.commands() == []
    assert [n.endpoints[0][0] for n in world.receive(old, line(42, False, member("a", "Terminating")))] == [
        "a"
    ]
    asked = world.client.connection_opened(new)
    assert b"after=42 " in asked
    world.receive(new, HEAD)  # its head is no list yet
    assert world.receive(old, line(43, False, member("c"))) != []
    world.receive(new, EMPTY)
    assert world.commands() == [(CloseConnection, old)]
    assert world.receive(old, line(44, False, member("b", "Gone"))) == []  # nobody's
    assert world.states() == {"a": "draining", "b": "ready", "c": "ready"}


def test_a_second_change_before_the_first_is_done_closes_the_middle_connection_alone(world):
    old = world.connected(A, HEAD, EMPTY)
    middle = world.set_address(B)
    world.client.set_address(C, world.now)
    (dial, new), (end, ended) = world.commands()
    assert (dial, end) == (OpenConnection, CloseConnection)
    assert ended is middle
    assert world.client.connection_opened(middle) is None  # it came up in the instant it was given up
    assert world.receive(old, line(42, False, member("a", "Terminating"))) != []
    world.client.connection_opened(new)
    world.receive(new, HEAD, EMPTY)
    assert world.commands() == [(CloseConnection, old)]


def test_a_second_change_between_the_head_and_the_first_line_keeps_the_answered_connection(world):
    old = world.connected(A, HEAD, EMPTY)
    middle = world.connected(B, HEAD)
    world.client.set_address(C, world.now)
    ended = [link for kind, link in world.commands() if kind is CloseConnection]
    assert ended == [old]
    assert world.receive(middle, line(42, False, member("a", "Terminating"))) != []
    assert world.states()["a"] == "draining"


def test_the_same_address_opens_no_connection(world):
    world.connected(A, HEAD, EMPTY)
    world.client.set_address(A, world.now)
    assert world.commands() == []


def test_a_silent_connection_is_replaced_in_time_and_counts_until_then(world):
    old = world.connected(A, HEAD, EMPTY)
    began = world.now
    done = world.wait(6)
    dials = [when for kind, _, when in done if kind is OpenConnection]
    # a change counts as delivered after 6 s: a connection, and another one if it is not answered, come before
    assert dials[0] - began <= module.SILENCE_TIMEOUT_NS + S // 5
    assert len(dials) == 2
    assert dials[1] - began < MAX_DELIVERY_DELAY_NS
    assert old not in [link for kind, link, _ in done if kind is CloseConnection]
    assert world.receive(old, line(42, False, member("a", "Terminating"))) != []  # it speaks after all
    newest = [link for kind, link, _ in done if kind is OpenConnection][-1]
    world.receive(newest, HEAD, EMPTY)
    assert (CloseConnection, old) in world.commands()


def test_an_empty_line_every_two_seconds_is_no_silence(world):
    link = world.connected(A, HEAD)
    for _ in range(10):
        world.receive(link, EMPTY)
        assert world.wait(2) == []
    assert world.wait(2) == []  # and one that is missed is none


def test_bytes_that_wait_in_the_socket_are_read_before_a_connection_counts_as_silent(world):
    link = world.connected(A, HEAD, EMPTY)
    world.now += 60 * S  # this process stood still
    list(world.client.check_timeouts(world.now))
    assert world.commands() == []
    world.receive(link, EMPTY)
    assert world.wait(2) == []


def test_connections_that_fail_are_retried_with_a_bounded_backoff_and_logged(world):
    link, dials = world.set_address(A), []
    for _ in range(50):
        world.client.connection_closed(link, "refused", world.now)
        while not (done := world.commands()):
            world.now += S // 100
        ((_, link),) = done
        dials.append(world.now)
    waits = [b - a for a, b in itertools.pairwise(dials)]
    assert max(waits) <= module.MAX_RECONNECT_WAIT_NS + S // 100
    assert min(waits[5:]) >= module.MAX_RECONNECT_WAIT_NS // 2
    assert len(set(waits)) > 10  # by chance, so that planners do not dial together
    event, fields = world.client.take_log_events()[0]
    assert event == "discovery lost"
    assert fields == {"address": "127.0.0.1:1", "cause": "refused"}


def test_a_connection_that_is_not_answered_is_given_up_and_retried(world):
    link = world.set_address(A)
    done = world.wait(6)
    assert (CloseConnection, link) in [(kind, ended) for kind, ended, _ in done]
    assert 2 <= sum(kind is OpenConnection for kind, _, _ in done) <= 5
    assert world.client.connection_opened(link) is None


def test_the_end_of_the_old_connection_leaves_the_new_one_alone(world):
    old, new = world.connected(A, HEAD, EMPTY), world.set_address(B)
    world.client.connection_closed(old, "closed", world.now)
    assert world.commands() == []
    world.client.connection_opened(new)
    assert world.receive(new, HEAD, line(42, False, member("a", "Terminating"))) != []


def test_an_unusable_answer_at_the_new_address_keeps_the_old_connection(world):
    old, new = world.connected(A, HEAD, EMPTY), world.set_address(B)
    world.client.connection_opened(new)
    assert world.receive(new, b"SSH-2.0-nothing\r\n\r\n") == []
    assert world.commands() == [(CloseConnection, new)]
    world.client.connection_closed(
        new, "the connection ended", world.now
    )  # the server reports the end as well
    assert [cause for _, cause in world.client.take_log_events()][0]["cause"].startswith("not HTTP")
    assert world.receive(old, line(42, False, member("a", "Terminating"))) != []
    assert [kind for kind, _, _ in world.wait(0.2)] == [OpenConnection]


def test_a_new_discovery_that_lags_behind_the_old_one_does_not_close_it(world):
    old = world.connected(A, HEAD, line(44, False, member("a", "Terminating"), member("c")))
    new = world.connected(B, HEAD, line(40, True, member("a"), member("b")))
    assert world.commands() == []
    assert world.receive(old, line(45, False, member("b", "Terminating"))) != []
    last = line(45, False, member("a", "Terminating"), member("b", "Terminating"), member("c"))
    caught = world.receive(new, last)
    assert caught[-1].scope == "whole"
    assert world.commands() == [(CloseConnection, old)]
    assert world.states() == {"a": "draining", "b": "draining", "c": "ready"}


def test_a_discovery_that_started_over_is_believed_by_time_alone(world):
    world.connected(A, HEAD, line(3, True, member("x")))
    assert world.states() == {"a": "ready", "b": "ready"}
    world.client.current.last_activity_ns += 10 * S  # it goes on speaking
    world.wait(MAX_DELIVERY_DELAY_NS / S + 0.1)
    assert world.states() == {"x": "ready"}
    assert world.endpoint_list.revision == 3


OLD = [line(42, False, member("a", "Terminating")), line(43, False, member("c")), EMPTY,
       line(44, False, member("b", "Gone"))]  # fmt: skip
NEWS = {
    "changes": [line(43, False, member("a", "Terminating"), member("c")), EMPTY,
                line(44, False, member("b", "Gone"))],
    "whole": [line(43, True, member("a", "Terminating"), member("b"), member("c")), EMPTY,
              line(44, False, member("b", "Gone"))],
    "late whole": [line(40, True, member("a"), member("b")), line(42, False, member("a", "Terminating")),
                   line(44, False, member("b", "Gone"), member("c"))],
}  # fmt: skip


@pytest.mark.parametrize("kind", NEWS)
def test_old_and_new_connection_in_every_order_and_every_cut_lose_no_drain(kind):
    """Each order of the two connections' lines, with the new one's bytes cut at a place that moves along."""
    new_lines = [HEAD, *NEWS[kind]]
    for order, turns in enumerate(itertools.combinations(range(len(OLD) + len(new_lines)), len(OLD))):
        world = World()
        old = world.connected(A, HEAD, EMPTY)
        new = world.set_address(B)
        world.client.connection_opened(new)
        olds, news, drained = iter(OLD), iter(new_lines), False
        for turn in range(len(OLD) + len(new_lines)):
            if turn in turns:
                data = next(olds)
                world.receive(old, data)
            else:
                data = next(news)
                place = 1 + order % (len(data) - 1)
                world.receive(new, data[:place], data[place:])
            drained = drained or world.states().get("a") == "draining"
            assert not drained or world.states().get("a") == "draining"  # whoever reported it, it is kept
            assert world.states()
        assert world.states() == {"a": "draining", "c": "ready"}
        assert world.endpoint_list.revision == 44
