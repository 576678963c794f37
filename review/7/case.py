"""Case 7: proxies that are cut off keep the news of drains from the others, in a rolling deploy."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))
import world as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["kicukiro", "gasabo", "nyarugenge"]
PROXIES, SERVERS = 150, 30
CUT_AT_S, CUT_LENGTH_S, CUT_SHARE = 10.0, 17.0, 0.48
DEPLOY_AT_S, AT_A_TIME, WAVES, WAVE_S, DRAIN_S = 10.5, 5, 5, 3.7, 3.5
END_S = 40.0


async def replace(world, name, number):
    """A server drains, ends, and its successor starts cold under a new id."""
    server = world.servers[name]
    server.phase = "Terminating"
    world.discovery.change([server])
    await asyncio.sleep(DRAIN_S)
    server.phase = "Gone"
    server.end()
    new = await world.add_server(f"s-new{number:02d}", server.zone, world.record.now())
    world.discovery.change([server, new])


async def deploy(world, names):
    for number, name in enumerate(names[: AT_A_TIME * WAVES]):
        wave, place = divmod(number, AT_A_TIME)
        due = DEPLOY_AT_S + wave * WAVE_S + place * 0.15
        await asyncio.sleep(max(due - world.record.now(), 0))
        world.spawn(replace(world, name, number))


async def cut_off(world):
    await asyncio.sleep(CUT_AT_S - world.record.now())
    cut = world.random.sample(world.proxies, int(CUT_SHARE * PROXIES))
    for proxy in cut:
        proxy.cut_off = True
        proxy.stream.cut()
    await asyncio.sleep(CUT_LENGTH_S)
    for proxy in cut:
        proxy.cut_off = False
        proxy.stream.reset()


async def main():
    settings = standins.settings(ZONES, agents=PROXIES)
    world = standins.World(HERE / "record.txt", settings, rate_per_s=1.0)
    await world.discovery.start()
    for number in range(SERVERS):
        await world.add_server(f"s-old{number:02d}", ZONES[number % 3])
    try:
        planner = await world.add_planner("n1")
        for number in range(PROXIES):
            world.add_proxy(number, ZONES[number % 3], planner)
            await asyncio.sleep(1 / PROXIES)
        world.spawn(world.report())
        if TROUBLE:
            world.spawn(cut_off(world))
        world.spawn(deploy(world, [f"s-old{number:02d}" for number in range(SERVERS)]))
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
    print(f"{len(late)} requests to servers that drain or are gone, after the limit, by"
          f" {len({proxy for _, proxy, _, _ in late})} joined proxies, up to"
          f" {max((over for *_, over in late), default=0):.1f} s late")  # fmt: skip
    for send in late[:5]:
        print("late: at {:.2f} proxy {} -> {}, {:.2f} s over the limit".format(*send))
    if crashed or world.served < 1000:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, RuntimeError, ValueError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
