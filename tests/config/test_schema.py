"""What comes from outside: settings, lists, load reports."""

import asyncio
import json
import os
from pathlib import Path

import pytest

from swiftchute.config import ConfigError, load
from swiftchute.discovery.endpoint_list import EndpointList, EndpointListError
from swiftchute.discovery.sources import FileSource, HttpSource
from swiftchute.observability.logging import condition_fields
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import load_reports

S, MS = 1_000_000_000, 1_000_000
GOOD = Path("examples/planner.hcl").read_text(encoding="utf-8")


# -- settings


@pytest.fixture
def checked(tmp_path):
    def check(text):
        path = tmp_path / "p.hcl"
        path.write_text(text)
        return load(str(path))

    return check


def test_users_words_become_settings(checked):
    found = checked(GOOD)
    assert found.settings.operations[0].latency_objective_ns == 1200 * MS
    assert found.settings.drain_grace_ns == 3 * S
    assert found.xds["max_message"] == 4 * 2**20
    assert found.settings.zones == ("north", "south", "west")


@pytest.mark.parametrize(
    ("before", "after", "at", "says"),
    [
        ("drain_grace    =", "drain_grase    =", "drain_grase", "rules.drain_grase: unknown"),
        ("drain_grace    =", "drain_grase    =", "rules {", "rules.drain_grace: missing"),
        ('"3s"', '"3 parsecs"', "parsecs", "rules.drain_grace: 'parsecs' is no unit here"),
        ('"3s"', "3", "drain_grace", "rules.drain_grace: 3 is not a duration with a unit"),
        ('"3s"', '"1ms"', "1ms", "rules.drain_grace: '1ms' is out of range: 100ms"),
        ("start_capacity = 0.2", "start_capacity = 1.5", "1.5", "out of range: 0.001 to 1"),
        ("fall_multiple  = 2.5", 'fall_multiple = "2.5"', '"2.5"', "'2.5' is not a number"),
        ('zone           = "north"', 'zone = "east"', "east", "service.zone: 'east' is none of the zones"),
        (
            "planner        = 0",
            "planner = 2",
            "planner = 2",
            "service.planner: must be below service.planners",
        ),
        (
            '"1200ms"',
            '"5s"',
            '"5s"',
            "operation lot-estimate.latency_objective: is above integration_timeout",
        ),
        ('"127.0.0.1:1', '"0.0.0.0:1', "0.0.0.0", "xds.listen: '0.0.0.0' is not a loopback address"),
        ('"reserve-refresh"', '"lot-estimate"', '"lot-', "operation lot-estimate: stands twice"),
        ('list "file"', 'list "ftp"', "ftp", "list ftp: unknown block"),
        ("seed           = 7", "seed = 7\n  seed = 8", "seed = 8", "seed: set twice, first on line 11"),
        ("seed           = 7", "seed = 1 + 1", "1 + 1", "seed: '1+1' is not a plain value"),
        ("prices {", "prices {{", "prices", "is not HCL"),
        ("reports {", "reporters {", "reporters", "reporters: unknown block"),
        ("reports {", "reporters {", "# One planner", "reports: block is missing"),
    ],
)
def test_each_error_names_file_line_field_and_cause(checked, before, after, at, says):
    text = GOOD.replace(before, after, 1)
    lines = [n for n, row in enumerate(text.split("\n"), 1) if at in row]
    with pytest.raises(ConfigError) as caught:
        checked(text)
    found = [str(p) for p in caught.value.problems if p.line in lines]
    assert before in GOOD
    assert any(says in text and f"p.hcl:{lines[0]}:" in text for text in found), str(caught.value)


def test_a_missing_file_is_a_plain_error(tmp_path):
    with pytest.raises(ConfigError, match="cannot be read: No such file"):
        load(str(tmp_path / "none.hcl"))


@pytest.mark.parametrize(
    ("text", "fields"),
    [
        ("cut a:80: on, 9 of 24 tries errored, 1840 ms a good answer, usual 260",
         {"mode": "cut a:80", "on": True, "errored": 9, "tries": 24, "good_ms": 1840, "usual_ms": 260}),
        ("level north 1: on, 0.60, time 0.71 of the objective",
         {"mode": "level north 1", "on": True, "level": 0.6, "time": 0.71}),
        ("list lost: off, 12 entries", {"mode": "list lost", "on": False, "entries": 12}),
        ("something else", {"text": "something else"}),
    ],
)  # fmt: skip
def test_the_modules_lines_become_fields(text, fields):
    assert condition_fields(text) == fields


# -- lists


def listing(*servers, **labels):
    rows = [{"targets": [s], "labels": {"zone": "east", "state": "ready"} | labels} for s in servers]
    return json.dumps(rows).encode()


@pytest.fixture
def registry():
    made = EndpointList(("east", "west"), 1000 * S)
    made.read(listing("10.0.0.1:80", "10.0.0.2:80", start="1010.5"))
    return made


def test_the_first_list_is_held_and_later_ones_bring_changes(registry):
    assert registry.held["10.0.0.1:80"][6] == int(10.5 * S)
    news = registry.read(listing("10.0.0.2:80", "10.0.0.3:80", start="1010.5"))
    assert news.scope == "changes"
    assert [(e[0], e[4]) for e in news.entries] == [("10.0.0.1:80", "gone"), ("10.0.0.3:80", "ready")]
    assert registry.read(listing("10.0.0.2:80", "10.0.0.3:80", start="1010.5")) is None


@pytest.mark.parametrize(
    "text", [b"", b"[", b"{}", b"\xff\xfe", b'[{"targets": "x"}]', b"[]", b'[{"targets": []}]']
)
def test_half_a_list_nonsense_or_nothing_leaves_the_last_good_list(registry, text):
    held = dict(registry.held)
    with pytest.raises(EndpointListError):
        registry.read(text)
    assert registry.held == held
    assert registry.bad == 1


@pytest.mark.parametrize(
    ("labels", "why"),
    [({"zone": "moon"}, "zone"), ({"state": "lost"}, "state"), ({"weight": "much"}, "weight"),
     ({"weight": "0"}, "drain"), ({"start": "-1"}, "start"), ({"weight": "nan"}, "weight")],
)  # fmt: skip
def test_a_bad_entry_is_passed_over_and_the_drains_beside_it_are_heard(registry, labels, why):
    rows = json.loads(listing("10.0.0.1:80", **labels)) + json.loads(
        listing("10.0.0.2:80", state="draining", start="1010.5"))  # fmt: skip
    news = registry.read(json.dumps(rows).encode())
    assert [(e[0], e[4]) for e in news.entries] == [("10.0.0.2:80", "draining")]
    assert why in news.passed[0]
    assert registry.held["10.0.0.1:80"][4] == "ready"  # what the last list said stands


def test_named_twice_the_word_that_takes_it_out_counts(registry):
    rows = json.loads(listing("10.0.0.1:80", state="draining")) + json.loads(listing("10.0.0.1:80"))
    registry.read(json.dumps(rows).encode())
    assert registry.held["10.0.0.1:80"][4] == "draining"


def test_a_file_that_vanishes_is_told_once_and_read_when_it_is_back(tmp_path):
    took, failed, path = [], [], tmp_path / "list.json"
    source = FileSource(str(path), S, took.append, failed.append)
    source.look()
    source.look()
    assert len(failed) == 1
    path.write_bytes(b"[]")
    source.look()
    source.look()
    assert took == [b"[]"]
    other = tmp_path / "new.json"  # replaced as a whole, with the same size
    other.write_bytes(b"{}")
    os.replace(other, path)
    source.look()
    assert took == [b"[]", b"{}"]


def test_http_errors_nonsense_and_an_answer_that_drips_end_by_their_time_out():
    """Each answer in turn: an error, a good list, one that never ends, one cut short."""
    took, failed, asked = [], [], []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        asked.append(1)
        kind = len(asked)
        if kind == 1:
            writer.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        elif kind == 2:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]")
        elif kind == 3:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n")
            for _ in range(100):
                writer.write(b"[")
                await asyncio.sleep(0.02)
        else:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[")
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        source = HttpSource(f"http://127.0.0.1:{port}/", 10 * MS, 100 * MS, took.append, failed.append, 1)
        task = asyncio.ensure_future(source.run())
        for _ in range(300):
            await asyncio.sleep(0.01)
            if len(failed) >= 3:
                break
        task.cancel()
        server.close()

    asyncio.run(run())
    assert took == [b"[]"]
    assert "503" in failed[0]
    assert len(failed) >= 3


# -- load reports


def test_a_report_is_read_by_operation_and_server():
    client = XdsClient("n", "east", 1.0)
    for _ in range(3):
        client.record_attempt("0.1/read", "127.0.0.1:90", True, 0.2)
    client.record_attempt("0.1/read", "127.0.0.1:90", False, 1.0)
    client.record_drop("0.1/read")
    client.record_attempt("0.1/unknown", "127.0.0.1:90", True, 0.2)
    report, node = load_reports.decode(client.build_load_report(0.5, first=True), frozenset({"read"}))
    assert (report.window_ns, report.demand) == (S // 2, (("read", 5, 1),))
    assert report.endpoints == (("127.0.0.1:90", 4, 1, 600 * MS, 3),)
    assert node.id == "n"
