"""Discovery's watch without sockets: pieces, cuts, lists that cannot be believed, servers that come back."""

import json

import pytest

from swiftchute.platform import catalog as module
from swiftchute.platform.catalog import BadWatch, Catalog, Watch

MS = 1_000_000
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
    made = Catalog(("east", "west"))
    made.held(line(41, True, member("a"), member("b")))
    return made


def names(news):
    return [(entry[0], entry[4]) for entry in news.entries]


def test_the_list_of_the_configuration_is_the_held_one():
    catalog = Catalog(("east", "west"))
    news = catalog.held(
        line(41, True, member("a", up_since_ms=1_796_000_000_123), member("b", "Terminating"))
    )
    assert news.scope == "held"
    assert catalog.revision == 41
    assert news.entries[0] == ("a", "east", "m2", 3, "ready", 1.5, 1_796_000_000_123 * MS)
    assert names(news) == [("a", "ready"), ("b", "draining")]


def test_a_watch_goes_on_from_the_last_revision(catalog):
    asked = Watch(catalog, "127.0.0.1:8500").request()
    assert asked.startswith(b"GET /catalog/members?watch=1&after=41 HTTP/1.1\r\n")
    assert asked.endswith(
        b"\r\n\r\n"
    )
    assert b"GET /catalog/members?watch=1 HTTP" in Watch(Catalog(("east",)), "h").request()


STREAM = HEAD + chunk(line(42, False, member("c"))) + chunk(b"\n") + chunk(
    line(43, False, member("a", "Terminating"), member("b", "Gone"))[:40]) + chunk(
    line(43, False, member("a", "Terminating"), member("b", "Gone"))[40:]
    + line(44, False, member("d")))  # fmt: skip


def test_bytes_may_be_split_at_every_place():
    for place in range(1, len(STREAM)):
        catalog = Catalog(("east", "west"))
        catalog.held(line(41, True, member("a"), member("b")))
        watch = Watch(catalog, "h")
        watch.request()
        news = [n for piece in (STREAM[:place], STREAM[place:]) for n in watch.received(piece)]
        assert [names(n) for n in news] == [
            [("c", "ready")], [("a", "draining"), ("b", "gone")], [("d", "ready")],
        ]  # fmt: skip
        assert catalog.revision == 44
        assert set(catalog.servers) == {"a", "c", "d"}


def test_a_cut_in_the_middle_of_a_chunk_loses_nothing(catalog):
    for place in range(len(HEAD) + 5, len(STREAM), 7):
        watch = Watch(catalog, "h")
        watch.request()
        list(watch.received(STREAM[:place]))
        with pytest.raises(BadWatch):
            list(watch.received(b""))
    assert catalog.revision in (42, 43, 44)
    again = Watch(catalog, "h")
    assert b"after=%d " % catalog.revision in again.request()
    assert [names(n) for n in again.received(HEAD + chunk(line(50, True, member("x"))))] == [[("x", "ready")]]
    assert set(catalog.servers) == {"x"}
    assert catalog.revision == 50


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", b"SSH-2.0-nothing\r\n\r\n", HEAD + b"zz\r\n",
    HEAD + chunk(b"nonsense\n"), HEAD + chunk(b'{"revision":"x","complete":true,"members":[]}\n'),
    HEAD + chunk(b'{"revision":50,"complete":true,"members":[]}\n'), HEAD + b"0\r\n\r\n",
    HEAD + chunk(b'{"revision":50,"complete":true,"members":{}}\n'),
])  # fmt: skip
def test_an_answer_that_cannot_be_used_ends_the_watch_and_keeps_the_list(catalog, answer):
    watch = Watch(catalog, "h")
    watch.request()
    with pytest.raises(BadWatch):
        list(watch.received(answer))
    assert set(catalog.servers) == {"a", "b"}
    assert catalog.revision == 41


def test_a_line_without_an_end_is_bounded(catalog, monkeypatch):
    monkeypatch.setattr(module, "LINE_MOST", 100)
    watch = Watch(catalog, "h")
    watch.request()
    with pytest.raises(BadWatch, match="more than 100 bytes"):
        list(watch.received(HEAD + chunk(b"x" * 101)))


def test_changes_that_are_older_than_what_is_known_change_nothing(catalog):
    assert catalog.line(line(40, False, member("a", "Gone")), False) is None
    assert catalog.line(line(40, True, member("z")), False) is None
    assert set(catalog.servers) == {"a", "b"}
    assert catalog.stale == 2
    assert catalog.revision == 41
    news = catalog.line(line(7, True, member("z")), True)  # discovery that starts over has the last word
    assert news.scope == "whole"
    assert catalog.revision == 7


def test_a_bad_entry_holds_up_no_other(catalog):
    told = (member("a", "Terminating"), member("b", "Odd"), member("c", locality="moon"),
            member("d", size=-1), {"id": 7}, member("e"))  # fmt: skip
    news = catalog.line(line(42, False, *told), False)
    assert names(news) == [("a", "draining"), ("e", "ready")]
    assert len(news.passed) == 4
    whole = catalog.line(line(43, True, member("a"), member("e", up_since_ms="x")), False)
    assert names(whole)[0][0] in ("b", "e")
    assert set(catalog.servers) == {"a", "b", "e"}


def test_a_restart_and_a_return_are_told(catalog):
    catalog.line(line(42, False, member("a", "Gone")), False)
    news = catalog.line(line(43, False, member("a", up_since_ms=5000)), False)
    assert news.entries[0][4:] == ("ready", 1.5, 5000 * MS)


def test_ten_thousand_servers_in_turn_leave_nothing(catalog):
    for k in range(10_000):
        catalog.line(line(50 + 2 * k, False, member(f"s{k}")), False)
        catalog.line(line(51 + 2 * k, False, member(f"s{k}", "Gone")), False)
    assert set(catalog.servers) == {"a", "b"}


def test_servers_past_the_bound_are_passed_over_and_told(catalog, monkeypatch):
    monkeypatch.setattr(module, "SERVERS_MOST", 3)
    catalog.line(line(42, False, member("c")), False)
    news = catalog.line(line(43, False, member("d"), member("a", "Terminating")), False)
    assert names(news) == [("a", "draining")]
    assert news.passed == ("'d': more than 3 servers",)
    assert set(catalog.servers) == {"a", "b", "c"}
