"""A discovery watch without sockets: split and truncated input, invalid responses, lagging discovery."""

import pytest

from swiftchute.platform import discovery_messages
from swiftchute.platform import discovery_watch as module
from swiftchute.platform.discovery_watch import DiscoveryWatch
from swiftchute.platform.endpoint_list import EndpointList
from swiftchute.platform.errors import DiscoveryError
from tests.support.discovery_lines import EMPTY_LINE, HEAD, chunk, line, member

S = 1_000_000_000
NOW = 1000 * S
LAST_LINES = line(43, False, member("a", "Terminating"), member("b", "Gone"))
STREAM = HEAD + chunk(line(42, False, member("c"))) + EMPTY_LINE + chunk(LAST_LINES[:40]) + chunk(
    LAST_LINES[40:] + line(44, False, member("d")))  # fmt: skip


@pytest.fixture
def endpoint_list():
    made = EndpointList(("east", "west"))
    made.load_cached(line(41, True, member("a"), member("b")))
    return made


def states(update):
    return [(record.endpoint, record.state) for record in update.endpoints]


def watch_with_request(endpoint_list):
    """Return a watch that has sent its request."""
    watch = DiscoveryWatch(endpoint_list, "h")
    watch.request()
    return watch


def watch_with_lines(endpoint_list, *lines, now=NOW):
    """Return a watch that has received these lines, and the resulting updates."""
    watch = watch_with_request(endpoint_list)
    return watch, list(watch.receive_data(HEAD + b"".join(chunk(text) for text in lines), now))


def test_a_watch_resumes_at_the_last_revision(endpoint_list):
    request = DiscoveryWatch(endpoint_list, "127.0.0.1:8500").request()
    assert request.startswith(b"GET /catalog/members?watch=1&after=41 HTTP/1.1\r\n")
    assert request.endswith(b"\r\n\r\n")
    assert b"GET /catalog/members?watch=1 HTTP" in DiscoveryWatch(EndpointList(("east",)), "h").request()


def test_input_may_be_split_at_any_byte():
    for split_at in range(1, len(STREAM)):
        endpoint_list = EndpointList(("east", "west"))
        endpoint_list.load_cached(line(41, True, member("a"), member("b")))
        watch = watch_with_request(endpoint_list)
        pieces = (STREAM[:split_at], STREAM[split_at:])
        updates = [update for piece in pieces for update in watch.receive_data(piece, NOW)]
        assert [states(update) for update in updates] == [
            [("c", "ready")], [("a", "draining"), ("b", "gone")], [("d", "ready")],
        ]  # fmt: skip
        assert endpoint_list.revision == 44
        assert set(endpoint_list.endpoints) == {"a", "c", "d"}


def test_a_connection_lost_within_a_chunk_loses_no_update(endpoint_list):
    for split_at in range(len(HEAD) + 5, len(STREAM), 7):
        watch = watch_with_request(endpoint_list)
        list(watch.receive_data(STREAM[:split_at], NOW))
        with pytest.raises(DiscoveryError):
            list(watch.receive_data(b"", NOW))
    assert endpoint_list.revision in (42, 43, 44)
    again = DiscoveryWatch(endpoint_list, "h")
    assert b"after=%d " % endpoint_list.revision in again.request()
    data = HEAD + chunk(line(50, True, member("x")))
    assert [states(update) for update in again.receive_data(data, NOW)] == [[("x", "ready")]]
    assert set(endpoint_list.endpoints) == {"x"}
    assert endpoint_list.revision == 50


@pytest.mark.parametrize("answer", [
    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", b"SSH-2.0-nothing\r\n\r\n", HEAD + b"zz\r\n",
    HEAD + chunk(b"nonsense\n"), HEAD + chunk(b'{"revision":"x","complete":true,"members":[]}\n'),
    HEAD + chunk(b'{"revision":50,"complete":true,"members":[]}\n'), HEAD + b"0\r\n\r\n",
    HEAD + chunk(b'{"revision":50,"complete":true,"members":{}}\n'),
])  # fmt: skip
def test_an_invalid_response_ends_the_watch_and_keeps_the_list(endpoint_list, answer):
    watch = watch_with_request(endpoint_list)
    with pytest.raises(DiscoveryError):
        list(watch.receive_data(answer, NOW))
    assert set(endpoint_list.endpoints) == {"a", "b"}
    assert endpoint_list.revision == 41


def test_a_line_without_a_newline_is_bounded(endpoint_list, monkeypatch):
    monkeypatch.setattr(module, "MAX_LINE_BYTES", 100)
    watch = watch_with_request(endpoint_list)
    with pytest.raises(DiscoveryError, match="more than 100 bytes"):
        list(watch.receive_data(HEAD + chunk(b"x" * 101), NOW))


def test_a_restarted_discovery_is_adopted_after_the_maximum_delivery_delay(endpoint_list):
    watch, updates = watch_with_lines(endpoint_list, line(7, True, member("z")), line(8, False, member("y")))
    assert updates == []
    assert set(endpoint_list.endpoints) == {"a", "b"}
    assert watch.check_lag(NOW + 6 * S - 1) is None
    update = watch.check_lag(NOW + 6 * S)
    assert update.scope == "whole"
    assert {name for name, _ in states(update)} == set(endpoint_list.endpoints) == {"y", "z"}
    assert endpoint_list.revision == 8
    assert watch.check_lag(NOW + 7 * S) is None
    later = list(watch.receive_data(chunk(line(9, False, member("y", "Gone"))), NOW + 7 * S))
    assert [states(update) for update in later] == [[("y", "gone")]]


def test_only_drains_and_removals_of_a_lagging_discovery_are_applied_until_it_has_caught_up(endpoint_list):
    endpoint_list.apply_line(line(42, False, member("a", "Terminating"), member("c")))
    endpoint_list.apply_line(line(43, False, member("b", up_since_ms=9000)))
    # This discovery does not know yet that a drains, c exists and b restarted; d may be removed again.
    watch, updates = watch_with_lines(endpoint_list, line(40, True, member("a"), member("b"), member("d")))
    assert updates == []
    data = chunk(line(41, False, member("b", "Terminating"), member("c", "Terminating"), member("d", "Gone")))
    (update,) = watch.receive_data(data, NOW + S)
    assert states(update) == [("c", "draining")]  # the drain of b was before its restart
    assert {name: record.state for name, record in endpoint_list.endpoints.items()} == {
        "a": "draining", "b": "ready", "c": "draining",
    }  # fmt: skip
    assert b"after=43 " in DiscoveryWatch(endpoint_list, "h").request()
    last = chunk(line(43, False, member("a", "Terminating"), member("b", up_since_ms=9000), member("c")))
    updates = list(watch.receive_data(last, NOW + 2 * S))
    assert updates[-1].scope == "whole"
    assert dict(states(updates[-1])) == {"a": "draining", "b": "ready", "c": "ready"}
    assert watch.lagging is None


def test_a_lagging_list_is_bounded_and_never_empty(endpoint_list, monkeypatch):
    watch, _ = watch_with_lines(endpoint_list, line(40, True, member("a")))
    with pytest.raises(DiscoveryError, match="complete list without an endpoint"):
        list(watch.receive_data(chunk(line(41, True)), NOW))
    monkeypatch.setattr(discovery_messages, "MAX_ENDPOINTS", 2)
    watch, _ = watch_with_lines(endpoint_list, line(40, True, member("a")))
    list(watch.receive_data(chunk(line(40, False, member("x"))), NOW))
    with pytest.raises(DiscoveryError, match="more than 2 endpoints"):
        list(watch.receive_data(chunk(line(40, False, member("y"))), NOW))
