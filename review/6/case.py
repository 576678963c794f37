"""Case 6: writes of one slice are in the hands of two servers when the slice's owner drains."""

import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))
from simulation import TICK_S, Simulation, settings  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = [f"10.0.0.{number}:8080" for number in range(1, 7)]
LENGTH_S, DRAIN_AT_S, SETTLE_S = 14.0, 5.0, 3.0
WRITES_PER_S = 10.0  # of one proxy for one slice


def main():
    world = Simulation(HERE / "record.txt", settings(single_writer=True), SERVERS)
    life_s = world.specifics["write_life_us"] / 1e6
    writes = {number: [] for number in world.slices}  # (arrival, end, server, proxy)
    next_write = {(p, s): world.random.expovariate(WRITES_PER_S) for p in world.proxies for s in world.slices}
    drained = False
    try:
        world.start()
        while world.now() < LENGTH_S:
            world.tick()
            now = world.now()
            if TROUBLE and not drained and now > DRAIN_AT_S:
                drained = True
                world.change_list(SERVERS[0], "draining")
            for (proxy, number), due in next_write.items():
                if due > now or now < 1:
                    continue
                next_write[proxy, number] = now + world.random.expovariate(WRITES_PER_S)
                server = world.pick(proxy, number)
                if server is not None:  # otherwise the write waits at its proxy; it is given up here
                    end = now + world.random.uniform(0.2, 1.0) * life_s  # it is at the server until then
                    writes[number].append((now, end, server, proxy))
                    world.record(f"write slice {number} proxy {proxy} -> {server}, done at {end:.4f}")
            time.sleep(TICK_S)
    finally:
        world.stop()
    return judge(writes)


def judge(writes):
    broken = total = 0
    for number, held in writes.items():
        total += len(held)
        order, stale, double = [], 0, 0  # servers in the order of their first write
        for index, (arrival, _, server, _) in enumerate(held):
            if server not in order:
                order.append(server)
            stale += server != order[-1]  # an earlier owner, after a later one has had a write
            double += any(
                other != server and end > arrival for _, end, other, _ in held[max(0, index - 50) : index]
            )
        if stale or double:
            broken += 1
            print(f"slice {number}: owners {order}; {stale} writes at an earlier owner after a later one had"
                  f" some, {double} while another server held one")  # fmt: skip
    print(f"{total} writes, {broken} of {len(writes)} slices with writes at two owners")
    with open(HERE / "record.txt", "a") as file:
        file.write(f"result: {total} writes, {broken} of {len(writes)} slices broken\n")
    if total < 1000:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, RuntimeError, ValueError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
