"""Discovery's watch without sockets: pieces, cuts, lists that cannot be believed, servers that come back."""

import json

import pytest

from swiftchute.platform import endpoint_list as module
from swiftchute.platform.endpoint_list import DiscoveryWatch, EndpointList
from swiftchute.platform.errors import DiscoveryError

MS, S = 1_000_000, 1_000_000_000
NOW = 1000 * S
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def member(name, phase="Ready", **more):
    usual = {"id": name, "host_port": "10.0.0.1:80", "locality": "east", "flavor": "m2", "cell": 3,
             "phase": phase, "size": 1.5, "up_since_ms": 0}  # fmt: skip
    return usual | more


def line(revision, complete, *members):
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.fixture
def catalog():
    made = EndpointList(("east", "west"))
    made.held(line(41, True, member("a"), member("b")))
    return made


def names(news):
    return [(entry[0], entry[4]) for entry in news.entries]


def test_the_list_of_the_configuration_is_the_held_one():
    catalog = EndpointList(("east", "west"))
    news = catalog.held(
        line(41, True, member("a", up_since_ms=1_796_000_000_123), member("b", "Terminating"))
    )
    assert news.scope == "held"
    assert catalog.revision == 41
    assert news.entries[0] == ("a", "east", "m2", 3, "ready", 1.5, 1_796_000_000_123 * MS)
    assert names(news) == [("a", "ready"), ("b", "draining")]


def test_a_watch_goes_on_from_the_last_revision(catalog):
    asked = DiscoveryWatch(catalog, "127.0.0.1:8500").request()
    assert asked.startswith(b"GET /catalog/members?watch=1&after=41 HTTP/1.1\r\n")
    assert asked.endswith(b"\r\n\r\n")
    assert b"GET /catalog/members?watch=1 HTTP" in DiscoveryWatch(EndpointList(("east",)), "h").request()


STREAM = HEAD + chunk(line(42, False, member("c"))) + chunk(b"\n") + chunk(
    line(43, False, member("a", "Terminating"), member("b", "Gone"))[:40]) + chunk(
    line(43, False, member("a", "Terminating"), member("b", "Gone"))[40:]
    + line(44, False, member("d")))  # fmt: skip


def test_bytes_may_be_split_at_every_place():
    for place in range(1, len(STREAM)):
        catalog = EndpointList(("east", "west"))
        catalog.held(line(41, True, member("a"), member("b")))
        watch = DiscoveryWatch(catalog, "h")
        watch.request()
        news = [n for piece in (STREAM[:place], STREAM[place:]) for n in watch.received(piece, NOW)]
        assert [names(n) for n in news] == [
            [("c", "ready")], [("a", "draining"), ("b", "gone")], [("d", "ready")],
        ]  # fmt: skip
        assert catalog.revision == 44
        assert set(catalog.servers) == {"a", "c", "d"}


def test_a_cut_in_the_middle_of_a_chunk_loses_nothing(catalog):
    for place in range(len(HEAD) + 5, len(STREAM), 7):
        watch = DiscoveryWatch(catalog, "h")
        watch.request()
        list(watch.received(STREAM[:place], NOW))
        with pytest.raises(DiscoveryError):
            list(watch.received(b"", NOW))
    assert catalog.revision in (42, 43, 44)
    again = DiscoveryWatch(catalog, "h")
    assert b"after=%d " % catalog.revision in again.request()
    data = HEAD + chunk(line(50, True, member("x")))
    assert [names(n) for n in again.received(data, NOW)] == [[("x", "ready")]]
    assert set(catalog.servers) == {"x"}
    assert catalog.revision == 50


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", b"SSH-2.0-nothing\r\n\r\n", HEAD + b"zz\r\n",
    HEAD + chunk(b"nonsense\n"), HEAD + chunk(b'{"revision":"x","complete":true,"members":[]}\n'),
    HEAD + chunk(b'{"revision":50,"complete":true,"members":[]}\n'), HEAD + b"0\r\n\r\n",
    HEAD + chunk(b'{"revision":50,"complete":true,"members":{}}\n'),
])  # fmt: skip
def test_an_answer_that_cannot_be_used_ends_the_watch_and_keeps_the_list(catalog, answer):
    watch = DiscoveryWatch(catalog, "h")
    watch.request()
    with pytest.raises(DiscoveryError):
        list(watch.received(answer, NOW))
    assert set(catalog.servers) == {"a", "b"}
    assert catalog.revision == 41


def test_a_line_without_an_end_is_bounded(catalog, monkeypatch):
    monkeypatch.setattr(module, "LINE_MOST", 100)
    watch = DiscoveryWatch(catalog, "h")
    watch.request()
    with pytest.raises(DiscoveryError, match="more than 100 bytes"):
        list(watch.received(HEAD + chunk(b"x" * 101), NOW))


def test_changes_that_are_older_than_what_is_known_change_nothing(catalog):
    assert catalog.line(line(40, False, member("a", "Gone"))) is None
    assert catalog.line(line(40, True, member("z"))) is None
    assert set(catalog.servers) == {"a", "b"}
    assert catalog.stale == 2
    assert catalog.revision == 41


def watched(catalog, *lines, now=NOW):
    """A watch that was answered and told these lines, and what it brought."""
    watch = DiscoveryWatch(catalog, "h")
    watch.request()
    return watch, list(watch.received(HEAD + b"".join(chunk(told) for told in lines), now))


def test_discovery_that_starts_over_has_the_last_word_once_it_cannot_be_late(catalog):
    watch, news = watched(catalog, line(7, True, member("z")), line(8, False, member("y")))
    assert news == []
    assert set(catalog.servers) == {"a", "b"}
    assert watch.caught_up(NOW + 6 * S - 1) is None
    news = watch.caught_up(NOW + 6 * S)
    assert news.scope == "whole"
    assert {n for n, _ in names(news)} == set(catalog.servers) == {"y", "z"}
    assert catalog.revision == 8
    assert watch.caught_up(NOW + 7 * S) is None
    later = list(watch.received(chunk(line(9, False, member("y", "Gone"))), NOW + 7 * S))
    assert [names(n) for n in later] == [[("y", "gone")]]


def test_a_discovery_that_lags_is_believed_in_ends_alone_until_it_has_caught_up(catalog):
    catalog.line(line(42, False, member("a", "Terminating"), member("c")))
    catalog.line(line(43, False, member("b", up_since_ms=9000)))
    # it knows nothing of a's drain, of c, and of b's restart; that d is there it may have to take back
    watch, news = watched(catalog, line(40, True, member("a"), member("b"), member("d")))
    assert news == []
    told = chunk(line(41, False, member("b", "Terminating"), member("c", "Terminating"), member("d", "Gone")))
    (news,) = watch.received(told, NOW + S)
    assert names(news) == [("c", "draining")]  # b's drain is of a life that is over
    assert {s: e[4] for s, e in catalog.servers.items()} == {"a": "draining", "b": "ready", "c": "draining"}
    assert b"after=43 " in DiscoveryWatch(catalog, "h").request()
    last = chunk(line(43, False, member("a", "Terminating"), member("b", up_since_ms=9000), member("c")))
    news = list(watch.received(last, NOW + 2 * S))
    assert news[-1].scope == "whole"
    assert dict(names(news[-1])) == {"a": "draining", "b": "ready", "c": "ready"}
    assert watch.behind is None


def test_a_list_that_is_behind_is_bounded_and_never_empty(catalog, monkeypatch):
    watch, _ = watched(catalog, line(40, True, member("a")))
    with pytest.raises(DiscoveryError, match="without a server"):
        list(watch.received(chunk(line(41, True)), NOW))
    monkeypatch.setattr(module, "SERVERS_MOST", 2)
    watch, _ = watched(catalog, line(40, True, member("a")))
    list(watch.received(chunk(line(40, False, member("x"))), NOW))
    with pytest.raises(DiscoveryError, match="more than 2 servers"):
        list(watch.received(chunk(line(40, False, member("y"))), NOW))


def test_a_bad_entry_holds_up_no_other(catalog):
    told = (member("a", "Terminating"), member("b", "Odd"), member("c", locality="moon"),
            member("d", size=-1), {"id": 7}, member("e"))  # fmt: skip
    news = catalog.line(line(42, False, *told))
    assert names(news) == [("a", "draining"), ("e", "ready")]
    assert len(news.passed) == 4
    whole = catalog.line(line(43, True, member("a"), member("e", up_since_ms="x")))
    assert names(whole)[0][0] in ("b", "e")
    assert set(catalog.servers) == {"a", "b", "e"}


def test_a_restart_and_a_return_are_told(catalog):
    catalog.line(line(42, False, member("a", "Gone")))
    news = catalog.line(line(43, False, member("a", up_since_ms=5000)))
    assert news.entries[0][4:] == ("ready", 1.5, 5000 * MS)


def test_ten_thousand_servers_in_turn_leave_nothing(catalog):
    for k in range(10_000):
        catalog.line(line(50 + 2 * k, False, member(f"s{k}")))
        catalog.line(line(51 + 2 * k, False, member(f"s{k}", "Gone")))
    assert set(catalog.servers) == {"a", "b"}


def test_servers_past_the_bound_are_passed_over_and_told(catalog, monkeypatch):
    monkeypatch.setattr(module, "SERVERS_MOST", 3)
    catalog.line(line(42, False, member("c")))
    news = catalog.line(line(43, False, member("d"), member("a", "Terminating")))
    assert names(news) == [("a", "draining")]
    assert news.passed == ("'d': more than 3 servers",)
    assert set(catalog.servers) == {"a", "b", "c"}
