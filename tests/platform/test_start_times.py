"""Ages of endpoints are spans of real time, whatever the wall clock does."""

import asyncio
import time

import pytest

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.discovery import start_times
from swiftchute.discovery.start_times import StartTimes
from swiftchute.platform.discovery_watch import MAX_DELIVERY_DELAY_NS
from tests.support.platform import MEMBERS, Client, Discovery, PlatformProcess, wire_settings

S = 1_000_000_000
NOW = 1_700_000_000 * S
HEARD = NOW - S
HOUR = 3600 * S
WARMUP_S = 9


def started(times, started_ns, now=NOW, heard=HEARD, name="a"):
    record = EndpointRecord(name, "east", "", 0, "ready", 1.0, started_ns)
    return times.adjust(record, now, heard).started_ns


@pytest.mark.parametrize(
    "listed, expected",
    [
        (0, 0),  # long ago, as the protocol has it
        (NOW - 3 * S, NOW - 3 * S),
        (NOW - HOUR, HEARD - MAX_DELIVERY_DELAY_NS),
        (NOW + HOUR, NOW),
    ],
)
def test_what_is_learnt_live_is_at_most_as_old_as_its_news_and_never_of_the_future(listed, expected):
    assert started(StartTimes(MAX_DELIVERY_DELAY_NS), listed) == expected


def test_of_the_first_list_the_wall_clock_alone_tells():
    assert started(StartTimes(MAX_DELIVERY_DELAY_NS), NOW - HOUR, heard=None) == NOW - HOUR
    assert started(StartTimes(MAX_DELIVERY_DELAY_NS), NOW + HOUR, heard=None) == NOW


def test_a_start_that_is_known_stays_until_the_endpoint_restarts():
    times = StartTimes(MAX_DELIVERY_DELAY_NS)
    first = started(times, NOW + HOUR)
    assert started(times, NOW + HOUR, now=NOW + 60 * S, heard=NOW + 59 * S) == first
    assert started(times, NOW + HOUR + 1, now=NOW + 60 * S, heard=NOW + 59 * S) == NOW + 60 * S


def test_remembered_starts_are_bounded(monkeypatch):
    monkeypatch.setattr(start_times, "MAX_REMEMBERED_STARTS", 3)
    times = StartTimes(MAX_DELIVERY_DELAY_NS)
    for k in range(5):
        started(times, NOW, name=f"s{k}")
    assert len(times._starts) == 3


@pytest.mark.parametrize("step_s", [0, 3600, -3600])
def test_a_stepped_wall_clock_neither_skips_nor_stretches_the_warm_up_of_an_endpoint(tmp_path, step_s):
    """It comes into the table once it is warm, as nothing is known yet of what the others carry."""
    settings = wire_settings()
    settings["rules"]["warm_within_us"] = WARMUP_S * 10**6
    prelude = f"import time; real = time.time_ns; time.time_ns = lambda: real() + {step_s} * 10**9"

    async def scenario():
        discovery = await Discovery().start()
        process = PlatformProcess(tmp_path, discovery.address, prelude=prelude, settings=settings)
        loop = asyncio.get_running_loop()
        try:
            await process.event("serving")
            await discovery.wait_watched()
            discovery.send(42)
            proxy = await Client().open_proxy(process.port, 0)
            names = [name for name, _ in (await proxy.receive_table())["endpoints"]]
            assert "e9" not in names
            listed_at = loop.time()
            discovery.send(43, MEMBERS[0] | {"id": "e9", "up_since_ms": time.time() * 1000})
            async with asyncio.timeout(2 * WARMUP_S):
                while "e9" not in [name for name, _ in (await proxy.receive()).get("endpoints", [])]:
                    pass
            return loop.time() - listed_at
        finally:
            await process.stop()

    warm_after_s = asyncio.run(scenario())
    earliest_s = WARMUP_S - 1 if step_s <= 0 else WARMUP_S - MAX_DELIVERY_DELAY_NS / S - 1
    assert earliest_s < warm_after_s < WARMUP_S + 3
