"""Case 10: where levels are rates, cold servers of a zone get all requests of an operation, and fall over."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))
import world as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ADMISSION = os.environ.get("ADMISSION", "per_second")
ZONES = ["hall-a", "hall-b", "hall-c"]
PROXIES, SERVERS, RATE_PER_S, LOAD = 150, 30, 3.0, 0.66
CAPACITY_PER_S = PROXIES * RATE_PER_S / SERVERS / LOAD  # of a warm server
LOST_AT_S, NOTICE_S, LOST_LENGTH_S, START_SPREAD_S, LISTED_AFTER_S = 12.0, 1.5, 5.0, 1.0, (0.21, 2.4)
END_S = 28.0
CLASSES = [
    {"credit": 3.0, "deadline_us": 4000000, "group": "all", "late_value": 0.1, "name": "evaluate",
     "semantics": "free", "slo_us": 1500000, "window_us": 5000000},
    {"credit": 2.0, "deadline_us": 4000000, "group": "all", "late_value": 0.1, "name": "publish",
     "semantics": "free", "slo_us": 1200000, "window_us": 5000000},
]  # fmt: skip


async def come_back(world, server):
    """A server starts again within the spread, and is listed later."""
    await asyncio.sleep(world.random.uniform(0, START_SPREAD_S))
    await server.start()
    server.phase, server.up_since_ms = "Ready", int(time.time() * 1000)
    await asyncio.sleep(world.random.uniform(*LISTED_AFTER_S))
    world.discovery.change([server])


async def lose_zone(world):
    await asyncio.sleep(LOST_AT_S - world.record.now())
    lost = [server for server in world.servers.values() if server.zone == ZONES[0]]
    for server in lost:
        server.end()
        server.phase = "Gone"
    await asyncio.sleep(NOTICE_S)
    world.discovery.change(lost)
    await asyncio.sleep(LOST_LENGTH_S - NOTICE_S)
    for server in lost:
        world.spawn(come_back(world, server))


async def main():
    settings = standins.settings(
        ZONES, CLASSES, agents=PROXIES, stays_local=[False, True], base_mode=0, admission=ADMISSION
    )
    world = standins.World(HERE / "record.txt", settings, rate_per_s=RATE_PER_S)
    await world.discovery.start()
    for number in range(SERVERS):
        await world.add_server(f"s-{number:02d}", ZONES[number % 3])
    try:
        planner = await world.add_planner("n1")
        for number in range(PROXIES):
            world.add_proxy(number, ZONES[number % 3], planner)
            await asyncio.sleep(1 / PROXIES)
        world.spawn(world.report())
        if TROUBLE:
            world.spawn(lose_zone(world))
        await asyncio.sleep(END_S - world.record.now())
        crashed = planner.process.returncode is not None
        over = standins.cold_overloads(world, CAPACITY_PER_S)
    finally:
        await world.close()
    print(f"{world.served} requests served, {world.unserved} not")
    for name, age, count, budget in over:
        print(f"{name} falls over: {age:.2f} s after its start {count} requests within"
              f" {settings['rules']['fall_us'] / 1e6} s, the budget is {budget:.0f}")  # fmt: skip
    print(
        f"{len(over)} of {sum(bool(s.up_since_ms) for s in world.servers.values())} started servers fall over"
    )
    if crashed or world.served < 1000:
        return 2
    return 1 if over else 0


if __name__ == "__main__":
    standins.run(main)
