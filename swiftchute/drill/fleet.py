"""The fleet of a drill: fake backends, instances of the control plane, relays, gateways and DNS clients."""

import itertools
import os
import random
import socket
from dataclasses import dataclass, replace
from typing import Any

from swiftchute.api.settings import Settings
from swiftchute.config import load
from swiftchute.drill.instance import Instance, PolicyFactory
from swiftchute.drill.instance_settings import (
    DEFAULT_TABLE_ENTRIES,
    DNS_ORIGIN,
    Address,
    InstanceSettings,
    write_and_load,
)
from swiftchute.drill.published_list import PublishedList
from swiftchute.drill.scenario import OPERATIONS, ZONES, Scenario
from swiftchute.fakes.backend import BackendProfile, FakeBackend
from swiftchute.fakes.dns_client import FakeDnsClient
from swiftchute.fakes.gateway import FakeGateway, OperationValue
from swiftchute.fakes.relay import Relay
from swiftchute.fakes.resolver import CachingResolver
from swiftchute.proxy.xds_client import XdsClient

NS_PER_S = 1_000_000_000
OVERSTAY_S = 4.0  # how long overstaying resolvers use answers past their time to live
_run_numbers = itertools.count()


@dataclass(frozen=True)
class FleetOptions:
    """Deviations of the instances from the scenario."""

    policy: PolicyFactory | str | None = None
    overrides: dict[str, Any] | None = None  # of scenario fields, in the instances' settings only
    safety_mode: str = "enforce"


class Fleet:
    """Everything that a drill starts; call `start` and `stop` once each."""

    def __init__(self, scenario: Scenario, seed: int, folder: str, options: FleetOptions) -> None:
        """Create a fleet that is not started; its files are written to `folder`."""
        self.scenario = scenario
        self.folder = folder
        self.random = random.Random(seed)
        self.host = _loopback_address_of_this_run()
        self.backends: list[FakeBackend] = []
        self.gateways: list[FakeGateway] = []  # including the DNS clients
        self.instances: list[Instance] = []
        self.relays: dict[tuple[int, int], Relay] = {}  # by gateway and instance
        self.resolvers: dict[str, CachingResolver] = {}
        self.instance_by_address: dict[str, str] = {}  # instance number by dialled address
        self.list = PublishedList(os.path.join(folder, "workers.json"), self.backends)
        self._seed = seed
        self._options = options
        self._dns_views: dict[tuple[int, str], Address] = {}  # by instance and zone
        self._instance_addresses: dict[int, Address] = {}

    @property
    def dns_clients(self) -> dict[str, FakeDnsClient]:
        """DNS clients by node name."""
        return {g.client.node: g for g in self.gateways if isinstance(g, FakeDnsClient)}

    @property
    def xds_gateways(self) -> list[FakeGateway]:
        """Gateways that get their tables by xDS."""
        return [gateway for gateway in self.gateways if not isinstance(gateway, FakeDnsClient)]

    def admin_socket(self, instance: int) -> str:
        """Return the path of an instance's admin socket."""
        return os.path.join(self.folder, f"c{instance}.sock")

    def settings(self) -> Settings:
        """Return the settings that the scenario defines, without overrides."""
        settings = self._instance_settings(0, (self.host, 1), self.scenario)
        return write_and_load(settings, os.path.join(self.folder, "day.hcl"))

    async def start(self) -> None:
        """Start everything."""
        await self._start_backends()
        await self._start_instances()
        values = self._operation_values()
        for number in range(self.scenario.gateways):
            await self._start_gateway(number, values)
        for (instance, _), address in self._dns_views.items():
            self.instance_by_address[_host_port(address)] = str(instance)
        for number in range(self.scenario.dns_clients + self.scenario.overstaying_dns_clients):
            self._start_dns_client(number, values)

    async def stop(self) -> None:
        """Stop everything."""
        for gateway in self.gateways:
            await gateway.stop()
        for instance in self.instances:
            await instance.end()
        for relay in self.relays.values():
            await relay.stop()
        for backend in self.backends:
            await backend.kill()

    async def _start_backends(self) -> None:
        work = {name: profile.work_s for name, profile in OPERATIONS.items()}
        profile = BackendProfile(work, warmup_s=self.scenario.max_warmup)
        self.backends += [
            FakeBackend(
                profile,
                ZONES[number % len(ZONES)],
                self.random.uniform(0.85, 1.2),
                self.random.getrandbits(32),
            )
            for number in range(self.scenario.backends)
        ]
        for backend in self.backends:
            await backend.start(host=self.host)
            self.list.add(backend, "ready")
        self.list.publish()

    async def _start_instances(self) -> None:
        scenario = replace(self.scenario, **(self._options.overrides or {}))
        for number in range(self.scenario.instances):
            address = (self.host, _free_port(self.host))
            if self.scenario.dns_clients:
                self._dns_views |= {(number, zone): (self.host, _free_port(self.host)) for zone in ZONES}
            path = self._instance_path(number)
            with open(path, "w", encoding="utf-8") as file:
                file.write(self._instance_settings(number, address, scenario).to_hcl())
            self._instance_addresses[number] = address
            log_path = os.path.join(self.folder, f"planner-{number}.log")
            instance = Instance(number, path, log_path, self._options.policy)
            self.instances.append(instance)
            await instance.start()

    def _instance_path(self, number: int) -> str:
        return os.path.join(self.folder, f"planner-{number}.hcl")

    def _instance_settings(self, number: int, address: Address, scenario: Scenario) -> InstanceSettings:
        return InstanceSettings(
            scenario=scenario,
            instance=number,
            listen=address,
            seed=self._seed,
            endpoint_list_path=self.list.path,
            admin_socket=self.admin_socket(number),
            safety_mode=self._options.safety_mode,
            dns_views=dict(self._dns_views),
        )

    def _operation_values(self) -> dict[str, OperationValue]:
        """Return the value of answers by operation."""
        operations = load(self._instance_path(0)).settings.operations
        return {
            op.name: OperationValue(op.latency_objective_ns / NS_PER_S, op.value, op.late_value_fraction)
            for op in operations
        }

    async def _start_gateway(self, number: int, values: dict[str, OperationValue]) -> None:
        zone = ZONES[number % len(ZONES)]
        addresses = [await self._start_relay(number, instance) for instance in self._instance_addresses]
        rate = self.scenario.request_rate * (0.5 + self.random.random())
        client = XdsClient(
            f"gw-{number:02}", zone, rate, delta=number % 4 != 3, endpoint_collections=number % 2 == 0
        )
        in_zone = [backend.address for backend in self.backends if backend.zone == zone]
        listed = self.random.sample(in_zone, min(DEFAULT_TABLE_ENTRIES, len(in_zone)))
        client.static_endpoints = dict.fromkeys(listed, 1)
        gateway = FakeGateway(client, addresses, self.random.getrandbits(32), keepalive_s=0.8, values=values)
        self.gateways.append(gateway)
        gateway.start()

    async def _start_relay(self, gateway: int, instance: int) -> Address:
        relay = Relay(self._instance_addresses[instance])
        self.relays[gateway, instance] = relay
        address = await relay.start(self.host)
        self.instance_by_address[_host_port(address)] = str(instance)
        return address

    def _start_dns_client(self, number: int, values: dict[str, OperationValue]) -> None:
        zone = ZONES[number % len(ZONES)]
        overstays = number >= self.scenario.dns_clients
        resolver = self._resolver(zone, overstays)
        seed = self.random.getrandbits(32)
        rate = self.scenario.request_rate * (0.5 + self.random.random())
        node = f"{'late' if overstays else 'dns'}-{number:02}"
        self.gateways.append(FakeDnsClient(node, zone, rate, resolver, seed, values))

    def _resolver(self, zone: str, overstays: bool) -> CachingResolver:
        name = f"{zone} late" if overstays else zone
        if name not in self.resolvers:
            upstreams = [at for (_, view_zone), at in self._dns_views.items() if view_zone == zone]
            seed, overstay_s = self.random.getrandbits(32), OVERSTAY_S * overstays
            self.resolvers[name] = CachingResolver(upstreams, DNS_ORIGIN, seed, overstay_s)
        return self.resolvers[name]


def _host_port(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _loopback_address_of_this_run() -> str:
    """Return a loopback address that no concurrent run uses.

    On a shared address, another run could bind the port of a backend that is down for a moment, and its
    requests would then be counted here.
    """
    number = os.getpid() * 16 + next(_run_numbers) % 16
    return f"127.{1 + (number >> 16) % 250}.{(number >> 8) % 256}.{1 + number % 250}"


def _free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
