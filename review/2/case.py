"""Gateways that reach no planner during a rolling deploy; do the others hear of the drains in time?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "standins"))

from deployments import kigali
from lab import TROUBLE, Deployment, Server, play

GATEWAYS = 150
WORKERS = 30
CUT_PART, CUT_S = 0.49, 17.0
DEPLOY_PART, DEPLOY_S, AT_A_TIME = 0.97, 24.0, 5
DRAIN_S, SUCCESSOR_S = 3.0, 0.5
CUT_BEFORE_S = 2.0  # how long before the deploy the cut begins
QUEUE_LINES = 8000.0  # twice what all gateways need for a table of 16 lines, all of them on one planner


def make(folder):
    settings = kigali(GATEWAYS)
    settings["specifics"]["queue_cap"] = QUEUE_LINES
    return Deployment(folder, settings, planners=2)


async def cut(lab):
    cut_off = lab.random.sample(lab.gateways, int(CUT_PART * len(lab.gateways)))
    lab.note(f"cut off: {sorted(gateway.number for gateway in cut_off)}")
    for gateway in cut_off:
        gateway.cut()
    await asyncio.sleep(CUT_S)
    lab.note("the cut is over")
    for gateway in cut_off:
        gateway.cut_off = False


def tell(lab, server):
    for agent in lab.discoveries:
        agent.change(server.member())


async def deploy(lab):
    replaced = list(lab.servers.values())[: int(DEPLOY_PART * WORKERS)]
    lab.random.shuffle(replaced)
    for server in replaced:
        lab.spawn(replace(lab, server))
        await asyncio.sleep(DEPLOY_S / len(replaced))


async def replace(lab, server):
    server.phase = "Terminating"
    tell(lab, server)
    await asyncio.sleep(DRAIN_S)
    server.phase = "Gone"
    tell(lab, server)
    successor = await Server(lab, f"{server.name}-new", server.zone).start()
    lab.servers[successor.name] = successor
    successor.restart()
    await asyncio.sleep(SUCCESSOR_S)
    tell(lab, successor)


async def play_day(lab):
    count = WORKERS // len(lab.zones)
    await lab.add_servers({zone: [f"s-{zone[0]}{k}" for k in range(count)] for zone in lab.zones})
    await lab.begin(GATEWAYS, rate=300 / GATEWAYS)
    await asyncio.sleep(12)
    if TROUBLE:
        lab.spawn(cut(lab))
    await asyncio.sleep(CUT_BEFORE_S)
    await deploy(lab)
    await asyncio.sleep(12)
    for planner in lab.planners:
        lab.note(f"most lines in the channel of {planner.name}: {planner.most_waiting}")


if __name__ == "__main__":
    play(make, play_day)
