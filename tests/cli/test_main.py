"""The command line: exit codes and plain errors."""

import pytest
from click.testing import CliRunner

from swiftchute.cli.main import main


@pytest.fixture
def call():
    return lambda *arguments: CliRunner().invoke(main, arguments)


def test_check_says_all_that_is_wrong_and_ends_with_2(call, tmp_path):
    path = tmp_path / "p.hcl"
    path.write_text("service {\n  zones = []\n}\n")
    result = call("check", str(path))
    assert result.exit_code == 2
    assert f"swiftchute: {path}:2: service.zones: [] is not a list of names" in result.stderr
    assert "channel: block is missing" in result.stderr


def test_check_of_good_settings_ends_with_0(call):
    assert call("check", "examples/planner.hcl").exit_code == 0


def test_serve_on_an_address_that_is_taken_is_a_plain_error(call, tmp_path):
    import socket
    from pathlib import Path

    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path = tmp_path / "p.hcl"
        text = Path("examples/planner.hcl").read_text(encoding="utf-8")
        path.write_text(text.replace(":18000", f":{taken.getsockname()[1]}"))
        result = call("serve", str(path))
    assert result.exit_code == 2
    assert "xds.listen" in result.stderr


def test_a_day_that_is_not_known_is_a_plain_error(call):
    result = call("drill", "no-such-day")
    assert result.exit_code == 2
    assert "there are bad-day" in result.stderr
    assert call("drill", "--list").exit_code == 0


@pytest.mark.parametrize(
    ("table", "code", "says"),
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
def test_guard_check_judges_a_written_table(call, tmp_path, table, code, says):
    (tmp_path / "t.json").write_text(table)
    (tmp_path / "l.json").write_text(
        '[{"targets": ["127.0.0.1:1"], "labels": {"zone": "north"}},'
        ' {"targets": ["127.0.0.1:2"], "labels": {"zone": "north", "state": "draining"}}]'
    )
    result = call(
        "guard", "check", "examples/planner.hcl", str(tmp_path / "t.json"), str(tmp_path / "l.json")
    )
    assert (result.exit_code, says in result.output + result.stderr) == (code, True), result.output
