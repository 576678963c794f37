"""The ages of endpoints are independent of steps of the wall clock."""

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
LIST_CONFIRMED = NOW - S
HOUR = 3600 * S
WARMUP_S = 9


def started(times, started_ns, now=NOW, list_confirmed=LIST_CONFIRMED, name="a"):
    record = EndpointRecord(name, "east", "", 0, "ready", 1.0, started_ns)
    return times.adjust(record, now, list_confirmed).started_ns


@pytest.mark.parametrize(
    "listed, expected",
    [
        (0, 0),  # 0 means long ago in the protocol
        (NOW - 3 * S, NOW - 3 * S),
        (NOW - HOUR, LIST_CONFIRMED - MAX_DELIVERY_DELAY_NS),
        (NOW + HOUR, NOW),
    ],
)
def test_a_start_time_from_a_watch_is_never_in_the_future_nor_older_than_its_update(listed, expected):
    assert started(StartTimes(MAX_DELIVERY_DELAY_NS), listed) == expected


def test_start_times_of_the_first_list_depend_on_the_wall_clock_alone():
    assert started(StartTimes(MAX_DELIVERY_DELAY_NS), NOW - HOUR, list_confirmed=None) == NOW - HOUR
    assert started(StartTimes(MAX_DELIVERY_DELAY_NS), NOW + HOUR, list_confirmed=None) == NOW


def test_a_known_start_time_stays_until_the_endpoint_restarts():
    times = StartTimes(MAX_DELIVERY_DELAY_NS)
    first = started(times, NOW + HOUR)
    assert started(times, NOW + HOUR, now=NOW + 60 * S, list_confirmed=NOW + 59 * S) == first
    assert started(times, NOW + HOUR + 1, now=NOW + 60 * S, list_confirmed=NOW + 59 * S) == NOW + 60 * S


def test_the_number_of_remembered_start_times_is_bounded(monkeypatch):
    monkeypatch.setattr(start_times, "MAX_REMEMBERED_STARTS", 3)
    times = StartTimes(MAX_DELIVERY_DELAY_NS)
    for k in range(5):
        started(times, NOW, name=f"s{k}")
    assert len(times._starts) == 3


@pytest.mark.parametrize("step_s", [0, 3600, -3600])
def test_a_step_of_the_wall_clock_does_not_change_the_warm_up_of_an_endpoint(tmp_path, step_s):
    """The endpoint enters the table only once it is warm, because the load of the others is not known yet."""
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
