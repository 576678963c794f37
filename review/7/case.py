"""Case 7: the drains of a lost zone are never sent, as the push to its proxies is larger than the channel."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))
import world as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["hall-a", "hall-b", "hall-c", "hall-d"]
PROXIES, SERVERS = 200, 40
LOST_AT_S, NOTICE_S, LOST_LENGTH_S, LISTED_AFTER_S = 15.0, 1.2, 5.0, 1.0
END_S = 26.0
CLASSES = [
    {"credit": 3.0, "deadline_us": 4000000, "group": "all", "late_value": 0.1, "name": "evaluate",
     "semantics": "free", "slo_us": 1500000, "window_us": 5000000},
    {"credit": 2.0, "deadline_us": 4000000, "group": "all", "late_value": 0.1, "name": "publish",
     "semantics": "free", "slo_us": 1200000, "window_us": 5000000},
]  # fmt: skip
RULES = {"drain_grace_us": 1500000, "fall_us": 2000000, "start_capacity": 0.29, "warm_within_us": 17000000}


async def lose_zone(world):
    """The servers of a zone die at once; discovery notices; they come back cold, and discovery tells that."""
    await asyncio.sleep(LOST_AT_S - world.record.now())
    lost = [server for server in world.servers.values() if server.zone == ZONES[0]]
    for server in lost:
        server.end()
        server.phase = "Gone"
    await asyncio.sleep(NOTICE_S)
    world.discovery.change(lost)
    await asyncio.sleep(LOST_LENGTH_S - NOTICE_S)
    for server in lost:
        await server.start()
        server.phase, server.up_since_ms = "Ready", int(time.time() * 1000)
    await asyncio.sleep(LISTED_AFTER_S)
    world.discovery.change(lost)


async def main():
    settings = standins.settings(
        ZONES, CLASSES, RULES, agents=PROXIES, stays_local=[False, True], per_message=4.0, queue_cap=3000.0,
        base_mode=0, fails_to_eject=0, update_cap=12, interval_us=1000000, reports_per_s=60.0,
    )  # fmt: skip
    world = standins.World(HERE / "record.txt", settings, rate_per_s=1.0)
    await world.discovery.start()
    for number in range(SERVERS):
        await world.add_server(f"s-{number:02d}", ZONES[number % len(ZONES)])
    try:
        planner = await world.add_planner("n1")
        for number in range(PROXIES):
            world.add_proxy(number, ZONES[number % len(ZONES)], planner)
            await asyncio.sleep(2 / PROXIES)
        world.spawn(world.report())
        if TROUBLE:
            world.spawn(lose_zone(world))
        await asyncio.sleep(END_S - world.record.now())
        crashed = planner.process.returncode is not None
        if os.environ.get("LOG"):
            print(planner.log_text()[-6000:])
        late = standins.late_drains(world, planner)
    finally:
        await world.close()
    print(
        f"{world.served} requests served, {world.unserved} not;"
        f" most lines in the channel {planner.channel.most_lines}"
    )
    print(f"{len(late)} requests to servers that are gone, after the limit, by"
          f" {len({proxy for _, proxy, _, _ in late})} joined proxies, up to"
          f" {max((over for *_, over in late), default=0):.1f} s late")  # fmt: skip
    for send in late[:5]:
        print("late: at {:.2f} proxy {} -> {}, {:.2f} s over the limit".format(*send))
    if crashed or world.served < 1000:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    standins.run(main)
