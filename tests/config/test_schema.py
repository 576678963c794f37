"""Loading of settings files, and decoding of load reports."""

from pathlib import Path

import pytest

from swiftchute.config import ConfigError, load
from swiftchute.proxy.xds_client import XdsClient
from swiftchute.xds import load_reports

S, MS = 1_000_000_000, 1_000_000
VALID_SETTINGS = Path("examples/planner.hcl").read_text(encoding="utf-8")


# -- settings


@pytest.fixture
def load_text(tmp_path):
    def load_file(text):
        path = tmp_path / "p.hcl"
        path.write_text(text)
        return load(str(path))

    return load_file


def test_fields_of_the_file_become_settings(load_text):
    config = load_text(VALID_SETTINGS)
    assert config.settings.operations[0].latency_objective_ns == 1200 * MS
    assert config.settings.drain_grace_ns == 3 * S
    assert config.xds["max_message"] == 4 * 2**20
    assert config.settings.zones == ("north", "south", "west")


@pytest.mark.parametrize(
    ("before", "after", "marker", "message"),
    [
        ("drain_grace    =", "drain_grase    =", "drain_grase", "rules.drain_grase: unknown"),
        ("drain_grace    =", "drain_grase    =", "rules {", "rules.drain_grace: missing"),
        ('"3s"', '"3 parsecs"', "parsecs", "rules.drain_grace: 'parsecs' is not a known unit"),
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
            "operation lot-estimate.latency_objective: must not be above integration_timeout",
        ),
        ('"127.0.0.1:1', '"0.0.0.0:1', "0.0.0.0", "xds.listen: '0.0.0.0' is not a loopback address"),
        ('"reserve-refresh"', '"lot-estimate"', '"lot-', "operation lot-estimate: is defined twice"),
        ('list "file"', 'list "ftp"', "ftp", "list ftp: unknown block"),
        ("seed           = 7", "seed = 7\n  seed = 8", "seed = 8", "seed: set twice, first on line 11"),
        ("seed           = 7", "seed = 1 + 1", "1 + 1", "seed: '1+1' is not a literal value"),
        ("prices {", "prices {{", "prices", "is not HCL"),
        ("reports {", "reporters {", "reporters", "reporters: unknown block"),
        ("reports {", "reporters {", "# One planner", "reports: block is missing"),
    ],
)
def test_each_error_names_file_line_field_and_cause(load_text, before, after, marker, message):
    text = VALID_SETTINGS.replace(before, after, 1)
    lines = [n for n, row in enumerate(text.split("\n"), 1) if marker in row]
    with pytest.raises(ConfigError) as caught:
        load_text(text)
    problems = [str(p) for p in caught.value.problems if p.line in lines]
    assert before in VALID_SETTINGS
    assert any(message in problem and f"p.hcl:{lines[0]}:" in problem for problem in problems), str(
        caught.value
    )


def test_a_missing_file_is_reported_with_its_cause(tmp_path):
    with pytest.raises(ConfigError, match="cannot be read: No such file"):
        load(str(tmp_path / "none.hcl"))


# -- load reports


def test_a_load_report_is_decoded_by_operation_and_endpoint():
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
