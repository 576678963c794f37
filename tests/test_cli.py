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
