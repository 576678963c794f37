"""The admin socket: permitted users, invalid requests, and the commands of a running instance."""

import asyncio
import json
import os
import socket
import stat

import pytest
import uvloop
from click.testing import CliRunner

from swiftchute.admin import protocol, server
from swiftchute.admin.client import send_command
from swiftchute.admin.errors import CommandRejectedError, NoReplyError, RequestError
from swiftchute.admin.server import AdminServer
from swiftchute.cli.main import main
from swiftchute.daemon.commands import AdminCommands


def deny():
    raise CommandRejectedError("not today")


COMMANDS = {"add": lambda a, b: a + b, "deny": deny}


@pytest.fixture
def with_server(tmp_path):
    """A function that runs a coroutine while an admin server listens at its attribute `path`."""
    path = str(tmp_path / "c.sock")

    def run(use_server, commands=COMMANDS):
        async def main():
            admin_server = AdminServer(path, commands)
            await admin_server.start()
            try:
                return await use_server(admin_server)
            finally:
                await admin_server.stop()

        return uvloop.run(main())

    run.path = path
    return run


def call_in_thread(path, *arguments, **keywords):
    return asyncio.to_thread(send_command, path, *arguments, **keywords)


@pytest.mark.parametrize("split_at", range(1, 40))
def test_a_request_in_two_pieces_is_complete_with_the_second(split_at):
    parser, data = protocol.RequestParser(), protocol.encode_request("add", a=1, b=2)
    requests = parser.feed(data[:split_at]) + parser.feed(data[split_at:])
    assert [(r.command, r.arguments) for r in requests] == [("add", {"a": 1, "b": 2})]


@pytest.mark.parametrize("data", [b"{\n", b"[]\n", b'{"command": 3}\n', b'{"comand": "x"}\n', b"\xff\n"])
def test_bytes_that_are_not_a_request_are_an_error(data):
    with pytest.raises(RequestError, match="not a valid request"):
        protocol.RequestParser().feed(data)


def test_a_line_over_the_limit_is_an_error():
    parser = protocol.RequestParser(max_line_bytes=100)
    with pytest.raises(RequestError, match="more than 100 bytes"):
        parser.feed(b"x" * 101)


def test_commands_return_results_and_errors(with_server):
    async def use_server(admin_server):
        assert stat.S_IMODE(os.stat(with_server.path).st_mode) == 0o600
        assert await call_in_thread(with_server.path, "add", a=2, b=3) == 5
        for command, keywords, cause in (
            ("subtract", {}, "unknown command 'subtract'; known commands: add, deny"),
            ("deny", {}, "deny: not today"),
            ("add", {"a": 1}, "missing 1 required"),
        ):
            with pytest.raises(NoReplyError, match=cause):
                await call_in_thread(with_server.path, command, **keywords)

    with_server(use_server)
    assert not os.path.exists(with_server.path)


def test_another_user_is_rejected(with_server, monkeypatch):
    monkeypatch.setattr(server, "_peer_user_id", lambda connection: 12345)

    async def use_server(admin_server):
        with pytest.raises(NoReplyError, match="user 12345 may not control this instance"):
            await call_in_thread(with_server.path, "add", a=2, b=3)

    with_server(use_server)


def test_connections_past_the_limit_and_idle_ones_are_closed(with_server, monkeypatch):
    monkeypatch.setattr(server, "IDLE_TIMEOUT_S", 0.3)

    async def use_server(admin_server):
        connections = [
            await asyncio.open_unix_connection(with_server.path) for _ in range(server.MAX_CONNECTIONS)
        ]
        await asyncio.sleep(0.05)
        with pytest.raises(NoReplyError, match="16 connections are open, the maximum"):
            await call_in_thread(with_server.path, "add", a=2, b=3)
        for reader, writer in connections:
            assert b"no request received" in await asyncio.wait_for(reader.read(), 5)
            writer.close()
        assert await call_in_thread(with_server.path, "add", a=2, b=3) == 5

    with_server(use_server)


def test_a_stale_socket_is_replaced_and_one_in_use_is_not(with_server, tmp_path):
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(with_server.path)  # closed without unlink, as after a kill

    async def use_server(admin_server):
        assert await call_in_thread(with_server.path, "add", a=2, b=3) == 5
        with pytest.raises(OSError, match="another instance listens on this socket"):
            await asyncio.to_thread(lambda: asyncio.run(AdminServer(with_server.path, {}).start()))

    with_server(use_server)
    (tmp_path / "c.sock").write_text("a file")
    with pytest.raises(OSError, match="exists and is not a socket"):
        with_server(use_server)


def test_explain_fails_without_a_running_instance_or_a_socket(tmp_path):
    with open("examples/planner.hcl", encoding="utf-8") as source:
        text = source.read()
    path = tmp_path / "p.hcl"
    path.write_text(text.replace("/tmp/swiftchute-planner.sock", str(tmp_path / "none.sock")))
    result = CliRunner().invoke(main, ["guard", "explain", str(path)])
    assert (result.exit_code, "No such file" in result.stderr) == (2, True)
    path.write_text(text[: text.index("control {")])
    result = CliRunner().invoke(main, ["guard", "explain", str(path)])
    assert (result.exit_code, "control.socket: missing" in result.stderr) == (2, True)


def test_explain_names_the_rule_that_changes_an_entry(
    with_server, tmp_path, controller_with_warming_endpoint
):
    controller, now, warming = controller_with_warming_endpoint

    async def use_server(admin_server):
        with open("examples/planner.hcl", encoding="utf-8") as source:
            text = source.read()
        path = tmp_path / "p.hcl"
        path.write_text(text.replace("/tmp/swiftchute-planner.sock", with_server.path))

        def run(*options):
            return CliRunner().invoke(main, ["guard", "explain", str(path), *options])

        as_text, as_json = await asyncio.to_thread(run), await asyncio.to_thread(run, "--json")
        assert as_text.exit_code == 0, as_text.output
        assert f"{warming}: " in as_text.output
        assert "cold budget: " in as_text.output
        table = json.loads(as_json.output)["tables"][0]
        (limited,) = [line for line in table["lines"] if line["server"] == warming]
        assert (limited["why"], limited["out"] < limited["ordered"]) == ("cold budget", True)

    with_server(
        use_server,
        {
            "guard.explain": lambda table: {
                "enforced": True,
                "tables": controller.explain(now),
                "counts": controller.publish_gate.counts,
            }
        },
    )


def test_operators_list_compare_and_roll_back_versions(
    with_server, tmp_path, controller_with_warming_endpoint
):
    controller, now, warming = controller_with_warming_endpoint
    controller.run_round(now + 2 * 10**9)
    requested_rounds = []
    commands = AdminCommands(
        controller, lambda: now + 3 * 10**9, lambda: requested_rounds.append(1)
    ).by_name()
    path = tmp_path / "p.hcl"
    with open("examples/planner.hcl", encoding="utf-8") as source:
        path.write_text(source.read().replace("/tmp/swiftchute-planner.sock", with_server.path))

    async def use_server(admin_server):
        async def run_cli(*arguments, code=0):
            result = await asyncio.to_thread(
                CliRunner().invoke, main, ["tables", arguments[0], str(path), *arguments[1:]]
            )
            assert result.exit_code == code, result.output
            return result.output

        assert "start" in await run_cli("log")
        shown = await run_cli("show", "0.1")
        assert "a east: 1" in shown
        assert ", ordered 100" in shown  # the warming endpoint's entry, capped by the safety gate
        assert "held at" in await run_cli("pin", "0.1", "--for", "5")
        assert "(pin) for 5.0 s more" in await run_cli("show", "0.1")
        assert "going back to" in await run_cli("rollback", "0.1", "~0", "--levels")
        assert "(rollback) for 600.0 s more" in await run_cli("show", "0.1")
        assert "0 -> " not in await run_cli("diff", "0.1", "~0", "~0")
        assert "released 0.1" in await run_cli("release", "0.1")
        assert len(requested_rounds) == 3
        for arguments, cause in (
            (("release", "0.1"), "table 0.1 is not pinned"),
            (("rollback", "0.1", "~7"), "no entry ~7"),
            (("rollback", "0.9", "~1"), "no proxy is on a table '0.9'; in use are 0.1"),
            (("pin", "0.1", "--for", "0"), "a pin lasts 1 to 86400 s"),
            (("show", "0.1", "ffff"), "no kept version"),
        ):
            assert cause in await run_cli(*arguments, code=2)

    with_server(use_server, commands)
