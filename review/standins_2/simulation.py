"""A stand-in for the simulator, for a site with slices: plays one instance of `sim` on the real clock.

It follows the users' page of the wire: proxies with streams to the instance, the store of slices, and a
channel that sends one message after the other. It writes what happens to a record.
"""

import heapq
import json
import os
import random
import subprocess
import threading
import time
import tomllib
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TICK_S = 0.02


def settings(**specifics):
    """The example of the wire page, with slices."""
    return {
        "classes": [
            {"credit": 3.0, "deadline_us": 4000000, "group": "all", "late_value": 0.2, "name": "read",
             "semantics": "free", "slo_us": 1200000, "window_us": 5000000},
            {"credit": 2.0, "deadline_us": 5000000, "group": "all", "late_value": 0.2, "name": "write",
             "semantics": "single_shot", "slo_us": 1500000, "window_us": 5000000},
        ],
        "dcs": ["kicukiro"],
        "goal": {"whole": 0.5, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.2},
        "group_size": 1, "kinds": ["std-4core"], "ordinal": 0,
        "permissions": {"connect_timeout_us": 300000, "cpu_us_per_s": 600000, "keepalive_us": 15000000,
                        "multiplex": 32, "peer_messages": False, "probes": False},
        "prices": {"connection": 0.02, "cross_zone": 0.08, "handshake": 0.02, "late_fail": 0.05, "moves": 0.0,
                   "peer": 0.0, "probe": 0.0, "registry_mode": 0.0, "waste": 0.05},
        "registry_mode": "automatic", "round_us": 20000,
        "rules": {"ask_within_us": 10000000, "drain_grace_us": 3100000, "fall_multiple": 2.5,
                  "fall_us": 1500000,
                  "start_capacity": 0.16, "warm_within_us": 18000000},
        "specifics": {
            "admission": "fraction", "agents": 6, "base_mode": 1, "class_writes": [False, True],
            "egress_per_s": 10000.0, "empty_for_us": 4700000, "fails_to_eject": 0, "hold_us": 300000,
            "initial_set": 6, "interval_us": 500000, "late_most_us": 392500, "lease_us": 2500000,
            "line_fee": 0.04,
            "min_conn_cap": 318.0, "move_price": 0.01, "per_message": 10.0, "per_try": 1.0,
            "push_delay_us": 157000, "queue_cap": 15000.0, "ranges": 24, "reports_per_s": 120.0,
            "selects_by": "random", "single_writer": False, "stays_local": [False, False], "update_cap": 0,
            "update_window_us": 10000000, "warm_keys": False, "write_life_us": 20000, "zonal": False,
        } | specifics,
        "stats": {"fields": [], "via": "off"}, "value_by": "request", "weight_source": "off",
        "workload": "control", "zone": "kicukiro",
    }  # fmt: skip


class Simulation:
    """One instance, its proxies, its slices and its servers. Times are seconds since the start."""

    def __init__(self, record_path, settings_, servers, seed=1):
        self.settings = settings_
        self.specifics = settings_["specifics"]
        self.random = random.Random(seed)
        self.proxies = range(self.specifics["agents"])
        self.slices = range(self.specifics["ranges"])
        self.members = {name: {"health": "ready", "start": None} for name in servers}
        owners = sorted(servers)
        self.store = {s: {owners[s % len(owners)]: 1} for s in self.slices}
        self.tables = [{s: dict(lines) for s, lines in self.store.items()} for _ in self.proxies]
        self.events = []  # for the next batch
        self.timers = []
        self.channel = deque()  # messages that wait: (proxy, lines, orders, seal, ordered_at)
        self.channel_free_at = 0.0
        self.arrivals = []  # heap of (time, number, proxy, orders, seal, ordered_at)
        self.last_arrival = [0.0] * len(self.proxies)
        self.number = 0
        self.serial = 0
        self.version = 1
        self.record_file = open(record_path, "w")  # noqa: SIM115
        with open(ROOT / "deploy/balancer.toml", "rb") as file:
            command = tomllib.load(file)["sim"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        )  # fmt: skip
        self.epoch = time.monotonic()

    def now(self):
        return time.monotonic() - self.epoch

    def record(self, text):
        self.record_file.write(f"{self.now():9.4f} {text}\n")

    def us(self, seconds):
        return 1_000_000_000 + int(seconds * 1e6)

    def entry(self, name):
        member = self.members[name]
        start = None if member["start"] is None else self.us(member["start"])
        return {"server": name, "az": "kicukiro", "model": "std-4core", "pack": 0, "health": member["health"],
                "share": 1, "last_start_us": start}  # fmt: skip

    def start(self):
        """Tell the instance its settings, the list, its slices and its proxies, as a start of day does."""
        self.events.append({"HELLO": {"init_seed": 7, "profile_data": self.settings}})
        items = [self.entry(name) for name in sorted(self.members)]
        self.events.append({"FLEET": {"serial": self.version, "scope": "warm_copy", "items": items}})
        for number in self.slices:
            self.events.append({"TENURE": {"set_id": number, "yes": True}})
            for server, share in self.store[number].items():
                self.events.append({"STORED_LINE": {"set_id": number, "server": server, "share": share}})
        for proxy in self.proxies:
            fields = {"yes": True, "client_lb": proxy, "az": "kicukiro", "share": 20.0}
            self.events.append({"ATTACHED": fields})

    def change_list(self, name, health, start=None):
        """News from discovery: an entry with its new state."""
        self.members[name] = {"health": health, "start": start}
        self.version += 1
        self.events.append({"FLEET": {"serial": self.version, "scope": "incr", "items": [self.entry(name)]}})
        self.record(f"list: {name} {health}")

    def tick(self):
        """Send a batch if there are events, carry out the reply, and move messages and timers on."""
        now = self.now()
        while self.timers and self.timers[0][0] <= now:
            self.events.append({"WAKE": {"cookie": heapq.heappop(self.timers)[1]}})
        self._deliver(now)
        if self.events:
            self.serial += 1
            group = {"planner_id": 0, "in": self.events}
            self.events = []
            batch = {"now_us": self.us(now), "serial": self.serial, "groups": [group]}
            self.process.stdin.write(json.dumps(batch).encode() + b"\n")
            self.process.stdin.flush()
            reply = json.loads(self.process.stdout.readline())
            for part in reply["groups"]:
                self._carry_out(part["outbox"], now)
        self._send(now)

    def _carry_out(self, outbox, now):
        orders, seal = [], None
        for action in outbox:
            ((name, fields),) = action.items()
            if name == "TIMER":
                heapq.heappush(self.timers, (now + fields["from_now_us"] / 1e6, fields["cookie"]))
            elif name == "SEAL":
                seal = fields
            elif name in ("UPSERT", "EMPTY"):
                self._apply(self.store, [(name, fields)])
                orders.append((name, fields))
            elif name == "FAULT":
                raise RuntimeError(fields["msg"])
            self.record(f"order {name} {json.dumps(fields)}")
        for proxy in self.proxies:
            if orders or (seal and seal["yes"]):
                lines = len(orders) + self.specifics["per_message"] + (seal is not None)
                self.channel.append((proxy, lines, orders, seal, now))

    def _send(self, now):
        """Messages leave the channel one after the other, and arrive later, in order for each proxy."""
        self.channel_free_at = max(self.channel_free_at, now - TICK_S)
        while self.channel:
            proxy, lines, orders, seal, ordered_at = self.channel[0]
            left_at = self.channel_free_at + lines / self.specifics["egress_per_s"]
            if left_at > now:
                break
            self.channel.popleft()
            self.channel_free_at = left_at
            mean, most = self.specifics["push_delay_us"] / 1e6, self.specifics["late_most_us"] / 1e6
            delay = min(self.random.uniform(0.3, 1.7) * mean, most)
            arrival = max(left_at + delay, self.last_arrival[proxy])
            self.last_arrival[proxy] = arrival
            self.number += 1
            heapq.heappush(self.arrivals, (arrival, self.number, proxy, orders, seal, ordered_at))

    def _deliver(self, now):
        while self.arrivals and self.arrivals[0][0] <= now:
            _, _, proxy, orders, seal, ordered_at = heapq.heappop(self.arrivals)
            self._apply(self.tables[proxy], orders)
            self.record(f"proxy {proxy} applied {len(orders)} orders")
            if seal is not None:
                fields = {
                    "client_lb": proxy,
                    "serial": seal["serial"],
                    "took_us": int((now - ordered_at) * 1e6),
                }
                self.events.append({"INSTALLED": fields})

    def _apply(self, tables, orders):
        for name, fields in orders:
            lines = tables[fields["set_id"]]
            if name == "EMPTY":
                lines.clear()
            elif fields["share"]:
                if self.specifics["single_writer"]:
                    lines.clear()  # a new server takes the old one's place
                lines[fields["server"]] = fields["share"]
            else:
                lines.pop(fields["server"], None)

    def pick(self, proxy, number):
        """Return the server that a proxy sends a request of a slice to, or None."""
        lines = self.tables[proxy][number]
        if not lines:
            return None
        return self.random.choices(list(lines), list(lines.values()))[0]

    def stop(self):
        """End the process that this stand-in started."""
        self.process.stdin.close()
        killer = threading.Timer(5, self.process.kill)
        killer.start()
        self.process.wait()
        killer.cancel()
        self.process.stdout.close()
        self.record_file.close()
