"""The planners send slower during a rolling deploy; do the gateways hear of each drain in time?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "standins"))

from deployments import kigali
from lab import TROUBLE, Deployment, Server, play

GATEWAYS = 150
WORKERS = 30
SLOWER, SLOWER_S = 4.4, 20.0
DEPLOY_PART, DEPLOY_S = 0.97, 24.0
DRAIN_S, SUCCESSOR_S = 3.0, 0.5


def make(folder):
    return Deployment(folder, kigali(GATEWAYS, grace_us=2_000_000), planners=2)


async def send_slower(lab):
    lab.note(f"the planners send {SLOWER} times slower")
    lab.times_factor = SLOWER  # for the rest of the case: what was told until then has the longer time
    for planner in lab.planners:
        planner.slower = SLOWER
    await asyncio.sleep(SLOWER_S)
    lab.note("the planners send at their usual pace")
    for planner in lab.planners:
        planner.slower = 1.0


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
    for gateway in lab.gateways:  # half of them on each planner
        turn = gateway.number % 2
        gateway.choices = lab.planners[turn:] + lab.planners[:turn]
    await asyncio.sleep(12)
    if TROUBLE:
        lab.spawn(send_slower(lab))
    await deploy(lab)
    await asyncio.sleep(12)
    for planner in lab.planners:
        lab.note(f"most lines in the channel of {planner.name}: {planner.most_waiting}")


if __name__ == "__main__":
    play(make, play_day)
