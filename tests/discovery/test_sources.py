"""Sources of endpoint lists: missing and replaced files, and URLs that fail, hang or respond too slowly."""

import asyncio
import contextlib
import os
import random

import pytest

from swiftchute.discovery.sources import FileSource, HttpSource

NS_PER_S, NS_PER_MS = 1_000_000_000, 1_000_000


def test_a_missing_file_is_reported_once_and_read_when_it_is_back(tmp_path):
    lists, failures, path = [], [], tmp_path / "list.json"
    source = FileSource(str(path), NS_PER_S, lists.append, failures.append)
    source.poll()
    source.poll()
    assert len(failures) == 1
    path.write_bytes(b"[]")
    source.poll()
    source.poll()
    assert lists == [b"[]"]
    other = tmp_path / "new.json"  # replaces the file, with the same size
    other.write_bytes(b"{}")
    os.replace(other, path)
    source.poll()
    assert lists == [b"[]", b"{}"]


def test_error_responses_and_responses_that_hang_or_end_early_fail_within_the_timeout():
    """The responses in order: an error, a good list, a slow one that never ends, truncated ones."""
    lists, failures, requests = [], [], []

    async def respond(writer, response_number):
        if response_number == 1:
            writer.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        elif response_number == 2:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]")
        elif response_number == 3:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n")
            for _ in range(100):
                writer.write(b"[")
                await asyncio.sleep(0.02)
        else:
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n[")

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        requests.append(1)
        with contextlib.closing(writer):  # also if the loop ends in the middle of a response
            await respond(writer, len(requests))

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        source = HttpSource(
            f"http://127.0.0.1:{port}/", 10 * NS_PER_MS, 100 * NS_PER_MS, lists.append, failures.append, 1
        )
        task = asyncio.ensure_future(source.run())
        for _ in range(300):
            await asyncio.sleep(0.01)
            if len(failures) >= 3:
                break
        task.cancel()
        server.close()

    asyncio.run(run())
    assert lists == [b"[]"]
    assert "503" in failures[0]
    assert len(failures) >= 3


def test_failed_polls_back_off_and_a_success_returns_to_the_interval(monkeypatch):
    """The waits follow the formula below, with one random draw for each failed poll."""
    outcomes, waits_s = [False] * 5 + [True, False, True], []
    source = HttpSource("http://127.0.0.1:1/", 10 * NS_PER_MS, 100 * NS_PER_MS, [].append, [].append, 3)

    async def fetch(client):
        if not outcomes[len(waits_s)]:
            raise ValueError("status 503")
        return b"[]"

    async def sleep(wait_s):
        waits_s.append(wait_s)
        if len(waits_s) == len(outcomes):
            raise asyncio.CancelledError

    monkeypatch.setattr(source, "_fetch", fetch)
    monkeypatch.setattr(asyncio, "sleep", sleep)
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(source.run())
    expected_random, failures, expected_s = random.Random(3), 0, []
    for is_good in outcomes:
        failures = 0 if is_good else failures + 1
        bound_s = 10 * NS_PER_MS * min(2**failures, 8) / NS_PER_S
        expected_s.append(bound_s * expected_random.uniform(0.5, 1.0) if failures else bound_s)
    assert waits_s == pytest.approx(expected_s, abs=1e-9)
