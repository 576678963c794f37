"""A zone is lost for 5 s and returns cold; do its gateways get lines for the class that stays in the zone?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "standins"))

from deployments import kytkin
from lab import TROUBLE, Deployment, play

GATEWAYS = 8
LOST = "hall-b"  # the planner is in hall-a
LOST_S = 5.0
NOTICED_S = 2.0  # until the list calls the dead servers gone
ADDED_S = 1.5  # until the list shows the returned ones


def make(folder):
    return Deployment(folder, kytkin(GATEWAYS))


async def lose_zone(lab):
    lab.note(f"zone {LOST} is lost")
    lost = [server for server in lab.servers.values() if server.zone == LOST]
    dead = [gateway for gateway in lab.gateways if gateway.zone == LOST]
    agent = lab.discoveries[0]
    for server in lost:
        server.crash()
    for gateway in dead:
        gateway.end()
    await asyncio.sleep(NOTICED_S)
    for server in lost:
        server.phase = "Gone"
    agent.change(*(server.member() for server in lost))
    await asyncio.sleep(LOST_S - NOTICED_S)
    lab.note(f"zone {LOST} is back, cold")
    for server in lost:
        server.restart()
    for gateway in dead:
        gateway.come_back(lab.standing(gateway.zone)).start()
    await asyncio.sleep(ADDED_S)
    for server in lost:
        server.phase = "Ready"
    agent.change(*(server.member() for server in lost))


async def play_day(lab):
    await lab.add_servers({zone: [f"s-{zone[-1]}{k}" for k in range(6)] for zone in lab.zones})
    await lab.begin(GATEWAYS, rate=10.0)
    await asyncio.sleep(8)
    if TROUBLE:
        await lose_zone(lab)
    await asyncio.sleep(27)


if __name__ == "__main__":
    play(make, play_day)
