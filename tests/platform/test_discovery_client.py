"""Hand-overs between watches of discovery, crossed by hand: no sockets, and a clock that the test holds."""

import itertools
import json
import random

import pytest

from swiftchute.platform import discovery_client as module
from swiftchute.platform.discovery_client import CloseConnection, DiscoveryClient, OpenConnection
from swiftchute.platform.endpoint_list import CATCH_UP, EndpointList

S = 1_000_000_000
A, B, C = ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY = b"1\r\n\n\r\n"


def member(name, phase="Ready"):
    return {"id": name, "locality": "east", "phase": phase}


def line(revision, complete, *members):
    data = json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class World:
    """Watches on a list of a and b, and what they asked for."""

    def __init__(self):
        self.catalog, self.now = EndpointList(("east",)), 1000 * S
        known = {"revision": 41, "complete": True, "members": [member("a"), member("b")]}
        self.catalog.held(json.dumps(known).encode())
        self.watches = DiscoveryClient(self.catalog, random.Random(7))

    def acts(self):
        return [(type(act), act.link) for act in self.watches.acts(self.now)]

    def at(self, address):
        """Change the address; the link that is dialled for it."""
        self.watches.at(address, self.now)
        (link,) = [link for kind, link in self.acts() if kind is OpenConnection]
        return link

    def up(self, address, *told):
        """A link whose dial came up and that brought this."""
        link = self.at(address)
        assert self.watches.connected(link) is not None
        self.hear(link, *told)
        return link

    def hear(self, link, *told):
        return [news for data in told for news in self.watches.received(link, data, self.now)]

    def wait(self, seconds):
        """Let time pass by tenths, as the shell tends; what was to be done in it."""
        done = []
        for _ in range(round(seconds * 10)):
            self.now += S // 10
            list(self.watches.tend(self.now))
            done += [(kind, link, self.now) for kind, link in self.acts()]
        return done

    def states(self):
        return {server: entry[4] for server, entry in self.catalog.servers.items()}


@pytest.fixture
def world():
    return World()


def test_the_old_watch_is_heard_until_the_new_one_has_brought_a_line(world):
    old = world.up(A, HEAD, EMPTY)
    new = world.at(B)
    assert world.acts() == []
    assert [n.entries[0][0] for n in world.hear(old, line(42, False, member("a", "Terminating")))] == ["a"]
    asked = world.watches.connected(new)
    assert b"after=42 " in asked
    world.hear(new, HEAD)  # its head is no list yet
    assert world.hear(old, line(43, False, member("c"))) != []
    world.hear(new, EMPTY)
    assert world.acts() == [(CloseConnection, old)]
    assert world.hear(old, line(44, False, member("b", "Gone"))) == []  # nobody's
    assert world.states() == {"a": "draining", "b": "ready", "c": "ready"}


def test_a_second_change_before_the_first_is_done_gives_up_the_middle_one_alone(world):
    old = world.up(A, HEAD, EMPTY)
    middle = world.at(B)
    world.watches.at(C, world.now)
    (dial, new), (end, ended) = world.acts()
    assert (dial, end) == (OpenConnection, CloseConnection)
    assert ended is middle
    assert world.watches.connected(middle) is None  # it came up in the instant it was given up
    assert world.hear(old, line(42, False, member("a", "Terminating"))) != []
    world.watches.connected(new)
    world.hear(new, HEAD, EMPTY)
    assert world.acts() == [(CloseConnection, old)]


def test_a_second_change_after_the_new_head_but_before_its_line_keeps_one_that_was_answered(world):
    old = world.up(A, HEAD, EMPTY)
    middle = world.up(B, HEAD)
    world.watches.at(C, world.now)
    ended = [link for kind, link in world.acts() if kind is CloseConnection]
    assert ended == [old]
    assert world.hear(middle, line(42, False, member("a", "Terminating"))) != []
    assert world.states()["a"] == "draining"


def test_a_change_to_the_same_address_dials_nothing(world):
    world.up(A, HEAD, EMPTY)
    world.watches.at(A, world.now)
    assert world.acts() == []


def test_a_silent_watch_is_dialled_anew_in_time_and_heard_until_then(world):
    old = world.up(A, HEAD, EMPTY)
    began = world.now
    done = world.wait(6)
    dials = [when for kind, _, when in done if kind is OpenConnection]
    # what is to be told counts as told 6 s later: a dial, and another one if it is not answered, come before
    assert dials[0] - began <= module.SILENT + S // 5
    assert len(dials) == 2
    assert dials[1] - began < CATCH_UP
    assert old not in [link for kind, link, _ in done if kind is CloseConnection]
    assert world.hear(old, line(42, False, member("a", "Terminating"))) != []  # it speaks after all
    newest = [link for kind, link, _ in done if kind is OpenConnection][-1]
    world.hear(newest, HEAD, EMPTY)
    assert (CloseConnection, old) in world.acts()


def test_an_empty_line_every_two_seconds_is_no_silence(world):
    link = world.up(A, HEAD)
    for _ in range(10):
        world.hear(link, EMPTY)
        assert world.wait(2) == []
    assert world.wait(2) == []  # and one that is missed is none


def test_bytes_that_wait_in_the_socket_are_read_before_a_watch_counts_as_silent(world):
    link = world.up(A, HEAD, EMPTY)
    world.now += 60 * S  # this process stood still
    list(world.watches.tend(world.now))
    assert world.acts() == []
    world.hear(link, EMPTY)
    assert world.wait(2) == []


def test_dials_that_fail_are_repeated_with_a_bounded_wait_and_told(world):
    link, dials = world.at(A), []
    for _ in range(50):
        world.watches.ended(link, "refused", world.now)
        while not (done := world.acts()):
            world.now += S // 100
        ((_, link),) = done
        dials.append(world.now)
    waits = [b - a for a, b in itertools.pairwise(dials)]
    assert max(waits) <= module.WAIT_MOST + S // 100
    assert min(waits[5:]) >= module.WAIT_MOST // 2
    assert len(set(waits)) > 10  # by chance, so that planners do not dial together
    event, fields = world.watches.take_events()[0]
    assert event == "discovery lost"
    assert fields == {"address": "127.0.0.1:1", "cause": "refused"}


def test_a_dial_that_hangs_is_given_up_and_repeated(world):
    link = world.at(A)
    done = world.wait(6)
    assert (CloseConnection, link) in [(kind, ended) for kind, ended, _ in done]
    assert 2 <= sum(kind is OpenConnection for kind, _, _ in done) <= 5
    assert world.watches.connected(link) is None


def test_an_old_watch_that_ends_first_leaves_the_new_one_alone(world):
    old, new = world.up(A, HEAD, EMPTY), world.at(B)
    world.watches.ended(old, "closed", world.now)
    assert world.acts() == []
    world.watches.connected(new)
    assert world.hear(new, HEAD, line(42, False, member("a", "Terminating"))) != []


def test_a_spoilt_answer_at_the_new_address_keeps_the_old_watch(world):
    old, new = world.up(A, HEAD, EMPTY), world.at(B)
    world.watches.connected(new)
    assert world.hear(new, b"SSH-2.0-nothing\r\n\r\n") == []
    assert world.acts() == [(CloseConnection, new)]
    world.watches.ended(new, "the connection ended", world.now)  # the shell tells of the end as well
    assert [cause for _, cause in world.watches.take_events()][0]["cause"].startswith("not HTTP")
    assert world.hear(old, line(42, False, member("a", "Terminating"))) != []
    assert [kind for kind, _, _ in world.wait(0.2)] == [OpenConnection]


def test_a_new_discovery_that_lags_behind_the_old_one_does_not_end_it(world):
    old = world.up(A, HEAD, line(44, False, member("a", "Terminating"), member("c")))
    new = world.up(B, HEAD, line(40, True, member("a"), member("b")))
    assert world.acts() == []
    assert world.hear(old, line(45, False, member("b", "Terminating"))) != []
    last = line(45, False, member("a", "Terminating"), member("b", "Terminating"), member("c"))
    caught = world.hear(new, last)
    assert caught[-1].scope == "whole"
    assert world.acts() == [(CloseConnection, old)]
    assert world.states() == {"a": "draining", "b": "draining", "c": "ready"}


def test_a_discovery_that_started_over_is_believed_by_time_alone(world):
    world.up(A, HEAD, line(3, True, member("x")))
    assert world.states() == {"a": "ready", "b": "ready"}
    world.watches.newest.since += 10 * S  # it goes on speaking
    world.wait(CATCH_UP / S + 0.1)
    assert world.states() == {"x": "ready"}
    assert world.catalog.revision == 3


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
def test_old_and_new_in_every_order_and_every_cut_lose_no_drain(kind):
    """Each order of the two connections' lines, with the new one's bytes cut at a place that moves along."""
    new_lines = [HEAD, *NEWS[kind]]
    for order, turns in enumerate(itertools.combinations(range(len(OLD) + len(new_lines)), len(OLD))):
        world = World()
        old = world.up(A, HEAD, EMPTY)
        new = world.at(B)
        world.watches.connected(new)
        olds, news, drained = iter(OLD), iter(new_lines), False
        for turn in range(len(OLD) + len(new_lines)):
            if turn in turns:
                data = next(olds)
                world.hear(old, data)
            else:
                data = next(news)
                place = 1 + order % (len(data) - 1)
                world.hear(new, data[:place], data[place:])
            drained = drained or world.states().get("a") == "draining"
            assert not drained or world.states().get("a") == "draining"  # told by whomever, it is kept
            assert world.states()
        assert world.states() == {"a": "draining", "c": "ready"}
        assert world.catalog.revision == 44
