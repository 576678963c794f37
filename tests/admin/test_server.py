"""The control socket: who may speak, what is no request, and what a running planner answers."""

import asyncio
import json
import os
import socket
import stat

import pytest
import uvloop
from click.testing import CliRunner

from swiftchute.admin import protocol, server
from swiftchute.admin.client import call
from swiftchute.admin.errors import CommandRejectedError, NoReplyError, RequestError
from swiftchute.admin.server import AdminServer
from swiftchute.cli.main import main
from swiftchute.daemon.commands import AdminCommands


def deny():
    raise CommandRejectedError("not today")


COMMANDS = {"add": lambda a, b: a + b, "deny": deny}


@pytest.fixture
def served(tmp_path):
    """Runs a coroutine beside a control socket."""
    path = str(tmp_path / "c.sock")

    def run(play, commands=COMMANDS):
        async def main():
            control = AdminServer(path, commands)
            await control.start()
            try:
                return await play(control)
            finally:
                await control.stop()

        return uvloop.run(main())

    run.path = path
    return run


def asked(path, *arguments, **named):
    return asyncio.to_thread(call, path, *arguments, **named)


@pytest.mark.parametrize("cut", range(1, 40))
def test_a_request_in_two_pieces_is_complete_with_the_second(cut):
    session, data = protocol.RequestParser(), protocol.encode_request("add", a=1, b=2)
    found = session.feed(data[:cut]) + session.feed(data[cut:])
    assert [(r.command, r.arguments) for r in found] == [("add", {"a": 1, "b": 2})]


@pytest.mark.parametrize("data", [b"{\n", b"[]\n", b'{"command": 3}\n', b'{"comand": "x"}\n', b"\xff\n"])
def test_bytes_that_are_not_a_request_are_an_error(data):
    with pytest.raises(RequestError, match="not a request"):
        protocol.RequestParser().feed(data)


def test_a_line_over_the_limit_is_an_error():
    session = protocol.RequestParser(max_line_bytes=100)
    with pytest.raises(RequestError, match="more than 100 bytes"):
        session.feed(b"x" * 101)


def test_commands_return_results_and_errors(served):
    async def play(control):
        assert stat.S_IMODE(os.stat(served.path).st_mode) == 0o600
        assert await asked(served.path, "add", a=2, b=3) == 5
        for command, named, cause in (
            ("subtract", {}, "no command 'subtract'; there are add, deny"),
            ("deny", {}, "deny: not today"),
            ("add", {"a": 1}, "missing 1 required"),
        ):
            with pytest.raises(NoReplyError, match=cause):
                await asked(served.path, command, **named)

    served(play)
    assert not os.path.exists(served.path)


def test_another_user_is_rejected(served, monkeypatch):
    monkeypatch.setattr(server, "_peer_user_id", lambda opened: 12345)

    async def play(control):
        with pytest.raises(NoReplyError, match="user 12345 may not"):
            await asked(served.path, "add", a=2, b=3)

    served(play)


def test_connections_past_the_limit_and_idle_ones_are_closed(served, monkeypatch):
    monkeypatch.setattr(server, "IDLE_TIMEOUT_S", 0.3)

    async def play(control):
        held = [await asyncio.open_unix_connection(served.path) for _ in range(server.MAX_CONNECTIONS)]
        await asyncio.sleep(0.05)
        with pytest.raises(NoReplyError, match="16 callers at once"):
            await asked(served.path, "add", a=2, b=3)
        for reader, writer in held:
            assert b"nothing asked" in await asyncio.wait_for(reader.read(), 5)
            writer.close()
        assert await asked(served.path, "add", a=2, b=3) == 5

    served(play)


def test_a_stale_socket_is_replaced_and_one_in_use_is_not(served, tmp_path):
    with socket.socket(socket.AF_UNIX) as left:
        left.bind(served.path)  # closed without unlink, as a kill leaves it

    async def play(control):
        assert await asked(served.path, "add", a=2, b=3) == 5
        with pytest.raises(OSError, match="another planner listens there"):
            await asyncio.to_thread(lambda: asyncio.run(AdminServer(served.path, {}).start()))

    served(play)
    (tmp_path / "c.sock").write_text("a file")
    with pytest.raises(OSError, match="is no socket"):
        served(play)


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


def test_explain_names_the_rule_that_changes_an_entry(served, tmp_path, controller_with_warming_endpoint):
    controller, now, cold = controller_with_warming_endpoint

    async def play(control):
        with open("examples/planner.hcl", encoding="utf-8") as source:
            text = source.read()
        path = tmp_path / "p.hcl"
        path.write_text(text.replace("/tmp/swiftchute-planner.sock", served.path))

        def run(*more):
            return CliRunner().invoke(main, ["guard", "explain", str(path), *more])

        plain, found = await asyncio.to_thread(run), await asyncio.to_thread(run, "--json")
        assert plain.exit_code == 0, plain.output
        assert f"{cold}: " in plain.output
        assert "cold budget: " in plain.output
        table = json.loads(found.output)["tables"][0]
        (held,) = [line for line in table["lines"] if line["server"] == cold]
        assert (held["why"], held["out"] < held["ordered"]) == ("cold budget", True)

    served(
        play,
        {
            "guard.explain": lambda table: {
                "enforced": True,
                "tables": controller.explain(now),
                "counts": controller.publish_gate.counts,
            }
        },
    )


def test_operators_list_compare_and_roll_back_versions(served, tmp_path, controller_with_warming_endpoint):
    controller, now, cold = controller_with_warming_endpoint
    controller.run_round(now + 2 * 10**9)
    kicked = []
    commands = AdminCommands(controller, lambda: now + 3 * 10**9, lambda: kicked.append(1)).by_name()
    path = tmp_path / "p.hcl"
    with open("examples/planner.hcl", encoding="utf-8") as source:
        path.write_text(source.read().replace("/tmp/swiftchute-planner.sock", served.path))

    async def play(control):
        async def said(*words, code=0):
            result = await asyncio.to_thread(
                CliRunner().invoke, main, ["tables", words[0], str(path), *words[1:]]
            )
            assert result.exit_code == code, result.output
            return result.output

        assert "start" in await said("log")
        shown = await said("show", "0.1")
        assert "a east: 1" in shown
        assert ", ordered 100" in shown  # the cold server's line, capped by the guard
        assert "held at" in await said("pin", "0.1", "--for", "5")
        assert "(pin) for 5.0 s more" in await said("show", "0.1")
        assert "going back to" in await said("rollback", "0.1", "~0", "--levels")
        assert "(rollback) for 600.0 s more" in await said("show", "0.1")
        assert "0 -> " not in await said("diff", "0.1", "~0", "~0")
        assert "released 0.1" in await said("release", "0.1")
        assert len(kicked) == 3
        for words, cause in (
            (("release", "0.1"), "table 0.1 is not pinned"),
            (("rollback", "0.1", "~7"), "no entry ~7"),
            (("rollback", "0.9", "~1"), "no proxy is on a table '0.9'; in use are 0.1"),
            (("pin", "0.1", "--for", "0"), "a pin lasts 1 to 86400 s"),
            (("show", "0.1", "ffff"), "no kept version"),
        ):
            assert cause in await said(*words, code=2)

    served(play, commands)
