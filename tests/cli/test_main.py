"""The command line: exit codes and error messages."""

import pytest
from click.testing import CliRunner

from swiftchute.cli.main import main


@pytest.fixture
def run_cli():
    return lambda *arguments: CliRunner().invoke(main, arguments)


def test_check_reports_every_problem_and_exits_with_2(run_cli, tmp_path):
    path = tmp_path / "p.hcl"
    path.write_text("service {\n  zones = []\n}\n")
    result = run_cli("check", str(path))
    assert result.exit_code == 2
    assert f"swiftchute: {path}:2: service.zones: [] is not a list of names" in result.stderr
    assert "channel: block is missing" in result.stderr


def test_check_of_valid_settings_exits_with_0(run_cli):
    assert run_cli("check", "examples/planner.hcl").exit_code == 0


def test_serve_on_an_address_in_use_reports_the_setting(run_cli, tmp_path):
    import socket
    from pathlib import Path

    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        path = tmp_path / "p.hcl"
        text = Path("examples/planner.hcl").read_text(encoding="utf-8")
        path.write_text(text.replace(":18000", f":{occupied.getsockname()[1]}"))
        result = run_cli("serve", str(path))
    assert result.exit_code == 2
    assert "xds.listen" in result.stderr


def test_an_unknown_scenario_is_reported_with_the_known_ones(run_cli):
    result = run_cli("drill", "no-such-day")
    assert result.exit_code == 2
    assert "there are bad-day" in result.stderr
    assert run_cli("drill", "--list").exit_code == 0


@pytest.mark.parametrize(
    ("table", "code", "message"),
    [
        ('{"lines": {"127.0.0.1:1": 1}, "zones": ["north"]}', 0, "may go out: level 1, 127.0.0.1:1 1"),
        (
            '{"lines": {"127.0.0.1:2": 1}, "zones": ["north"]}',
            1,
            "barred server: 1, limit 0 (mended): 127.0.0.1:2",
        ),
        ('{"lines": {"127.0.0.1:2": 1}, "zones": ["moon"]}', 2, "zones: moon are none of north, south, west"),
        (
            '{"lines": {"127.0.0.1:2": "x"}, "zones": []}',
            2,
            "Expected `float`, got `str` - at `$.lines[...]`",
        ),
        ('{"lines": {}, "zone": []}', 2, "unknown field `zone`"),
    ],
)
def test_guard_check_validates_a_table_file(run_cli, tmp_path, table, code, message):
    (tmp_path / "t.json").write_text(table)
    (tmp_path / "l.json").write_text(
        '[{"targets": ["127.0.0.1:1"], "labels": {"zone": "north"}},'
        ' {"targets": ["127.0.0.1:2"], "labels": {"zone": "north", "state": "draining"}}]'
    )
    result = run_cli(
        "guard", "check", "examples/planner.hcl", str(tmp_path / "t.json"), str(tmp_path / "l.json")
    )
    assert (result.exit_code, message in result.output + result.stderr) == (code, True), result.output
