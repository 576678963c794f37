"""Case 9: a server that has just started gets all slices of the next one that drains, and falls over."""

import math
import os
import sys
import time
from collections import deque
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))
from simulation import TICK_S, Simulation, settings  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = [f"10.0.0.{number:02d}:8080" for number in range(1, 11)]
LENGTH_S, DEPLOY_AT_S, DRAIN_S, STEPS = 40.0, 4.0, 4.0, 6
CAPACITY_PER_S, LOAD = 100.0, 0.66  # of a warm server; of all warm servers together
SIZE_CV = 0.5  # "unequal in size"
SLACK = 1.1  # "a little slack for chance"


class Server:
    """What a server was sent, against the budget of the rule."""

    def __init__(self, rules, started_s):
        self.rules, self.started_s = rules, started_s
        self.sent = deque()
        self.fell_over = None

    def capacity(self, now):
        """The share of its capacity that it has: from `start_capacity` evenly up to 1 at `warm_within`."""
        start, age = self.rules["start_capacity"], now - self.started_s
        return min(start + (1 - start) * age / (self.rules["warm_within_us"] / 1e6), 1.0)

    def send(self, now):
        """Record a request; the server falls over where a span of `fall_us` brings more than the budget."""
        span_s = self.rules["fall_us"] / 1e6
        self.sent.append(now)
        while self.sent[0] <= now - span_s:
            self.sent.popleft()
        present = self.capacity(now)  # the highest of the span
        limit = SLACK * self.rules["fall_multiple"] * present * CAPACITY_PER_S * span_s
        if self.fell_over is None and present < 1 and len(self.sent) > limit:
            self.fell_over = (now, len(self.sent), limit)


def main():
    # all requests are reads that may run again; a slice may have any number of servers
    world = Simulation(HERE / "record.txt", settings(ranges=40), SERVERS)
    rules = world.settings["rules"]
    servers = {name: Server(rules, -1000.0) for name in SERVERS}
    spread = math.sqrt(math.log(1 + SIZE_CV**2))
    sizes = {number: world.random.lognormvariate(0, spread) for number in world.slices}
    scale = LOAD * CAPACITY_PER_S * len(SERVERS) / sum(sizes.values())
    rates = {number: size * scale for number, size in sizes.items()}  # over all proxies
    next_send = {number: world.random.expovariate(rate) + 1 for number, rate in rates.items()}
    plan = []  # (time, server, state, its successor)
    for step in range(STEPS if TROUBLE else 0):
        drain_at = DEPLOY_AT_S + step * (DRAIN_S + 0.2)
        plan.append((drain_at, SERVERS[step], "draining", None))
        plan.append((drain_at + DRAIN_S, SERVERS[step], "gone", f"10.0.1.{step + 1:02d}:8080"))
    sent = 0
    try:
        world.start()
        while world.now() < LENGTH_S:
            world.tick()
            now = world.now()
            while plan and plan[0][0] <= now:
                _, name, state, successor = plan.pop(0)
                world.change_list(name, state)
                if successor is not None:
                    servers[successor] = Server(rules, now)
                    world.change_list(successor, "ready", now)
            for number, due in next_send.items():
                while due <= now:
                    due += world.random.expovariate(rates[number])
                    proxy = world.random.choice(world.proxies)
                    server = world.pick(proxy, number)
                    if server is not None:
                        sent += 1
                        servers[server].send(now)
                        world.record(f"request slice {number} proxy {proxy} -> {server}")
                next_send[number] = due
            time.sleep(TICK_S)
    finally:
        world.stop()
    fallen = {name: server for name, server in servers.items() if server.fell_over is not None}
    for name, server in fallen.items():
        at, count, limit = server.fell_over
        print(f"{name} falls over {at - server.started_s:.2f} s after its start: {count} requests within"
              f" {rules['fall_us'] / 1e6} s, {limit:.0f} at most")  # fmt: skip
    result = f"{sent} requests, {len(fallen)} of {len(servers) - len(SERVERS)} started servers fell over"
    print(result)
    with open(HERE / "record.txt", "a") as file:
        file.write(f"result: {result}\n")
    if sent < 1000:
        return 2
    return 1 if fallen else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, RuntimeError, ValueError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
