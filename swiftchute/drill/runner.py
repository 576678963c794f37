"""Plays a scenario on real sockets.

    result = await Runner(SCENARIOS["bad-day"], seed=7, folder=path).run()

Instances of the control plane run as processes of their own (`swiftchute serve`), or inside this one with a
policy of the caller's. Faults act on processes, sockets and the endpoint list, never inside an instance.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from swiftchute.drill.evidence import Evidence
from swiftchute.drill.fault_actions import FaultActions
from swiftchute.drill.fleet import Fleet, FleetOptions
from swiftchute.drill.scenario import OPERATIONS, Scenario, request_share
from swiftchute.fakes.gateway import FakeGateway

STARTUP_POLLS = 100
STARTUP_POLL_INTERVAL_S = 0.1
SETTLE_S = 0.2  # before the recorded responses are delivered again


@dataclass
class Result:
    """The outcome of a played scenario."""

    evidence: Evidence
    outcomes: dict[str, int]  # requests by outcome
    replayed: int  # recorded responses that were delivered again
    changed: list[str]  # by that: gateways whose tables or resources differ, and the counters if they do
    crashed_backends: list[str]  # addresses; once for each crash of overload
    dropped_records: int = 0  # records past the bound of a gateway's record
    notes: list[str] = field(default_factory=list)  # what fault actions measured
    failed: list[str] = field(default_factory=list)  # exceptions of fault actions: not played as written


class Runner:
    """Plays one scenario once."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: str,
        options: FleetOptions | None = None,
        report_progress: Callable[[str], None] = lambda text: None,
    ) -> None:
        """Create a runner.

        Args:
            scenario: What to play.
            seed: Seed of every random draw.
            folder: Folder for settings, the endpoint list and logs.
            options: What differs from the scenario in how the instances run.
            report_progress: Called with a line for each step.
        """
        given = options or FleetOptions()
        options = FleetOptions(given.policy or scenario.policy or None, given.overrides, given.safety_mode)
        self._scenario = scenario
        self._report_progress = report_progress
        self._fleet = Fleet(scenario, seed, folder, options)
        self._actions = FaultActions(self._fleet)
        self._tasks = self._actions.tasks

    async def run(self) -> Result:
        """Play the scenario; whatever happens, everything that was started is stopped."""
        try:
            await self._fleet.start()
            await self._wait_until_connected()
            await self._play()
            result = self._result(time.monotonic_ns())
            await asyncio.sleep(SETTLE_S)
            self._replay(result)
            return result
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._fleet.stop()

    async def _wait_until_connected(self) -> None:
        """Wait for instances that are processes of their own."""
        for _ in range(STARTUP_POLLS):
            if all(gateway.connected_to for gateway in self._fleet.xds_gateways):
                return
            await asyncio.sleep(STARTUP_POLL_INTERVAL_S)

    async def _play(self) -> None:
        begin = time.monotonic()
        for gateway in self._fleet.gateways:
            self._start_load(gateway)
        fleet = self._fleet
        self._report_progress(
            f"{len(fleet.backends)} backends, {len(fleet.gateways)} gateways,"
            f" {len(fleet.instances)} instances"
        )
        for fault in self._scenario.faults:
            await asyncio.sleep(max(begin + fault.at - time.monotonic(), 0))
            arguments = " ".join(map(str, fault.arguments))
            self._report_progress(f"{fault.at:5.1f} s  {fault.action} {arguments}")
            outcome = getattr(self._actions, fault.action)(*fault.arguments)
            if asyncio.iscoroutine(outcome):
                self._tasks.append(asyncio.ensure_future(outcome))
        await asyncio.sleep(max(begin + self._scenario.duration - time.monotonic(), 0))

    def _start_load(self, gateway: FakeGateway) -> None:
        for operation in OPERATIONS:
            rate = gateway.client.request_rate_per_s * request_share(self._scenario, operation)
            load = gateway.generate_load(operation, rate, self._scenario.duration)
            self._tasks.append(asyncio.ensure_future(load))

    def _result(self, end: int) -> Result:
        fleet = self._fleet
        records = [gateway.record for gateway in fleet.gateways]
        outcomes: dict[str, int] = {}
        for record in records:
            for name, count in record.results.items():
                outcomes[name] = outcomes.get(name, 0) + count
        return Result(
            evidence=self._evidence(end),
            outcomes=outcomes,
            replayed=0,
            changed=[],
            crashed_backends=[backend.address for backend in fleet.backends for _ in backend.crash_times_s],
            dropped_records=sum(record.dropped_rows for record in records),
            notes=self._actions.notes,
            failed=self._failed_tasks(),
        )

    def _evidence(self, end: int) -> Evidence:
        fleet = self._fleet
        records = [gateway.record for gateway in fleet.gateways]
        dns_clients = fleet.dns_clients
        clients = [gateway.client for gateway in fleet.xds_gateways]
        return Evidence(
            fleet.settings(),
            list(fleet.list.observations),
            [response for record in records for response in record.responses],
            [attempt for record in records for attempt in record.attempts],
            [event for record in records for event in record.stream_events],
            [receipt for backend in fleet.backends for receipt in backend.receipts],
            {
                c.node: (
                    c.zone,
                    c.request_rate_per_s,
                    c.delta,
                    c.endpoint_collections,
                    dict(c.static_endpoints),
                )
                for c in clients
            },
            {backend.address: backend.profile.cores * backend.speed for backend in fleet.backends},
            self._actions.unavailable_spans(end),
            end,
            fleet.instance_by_address,
            {node: c.answers for node, c in dns_clients.items() if not c.resolver.overstay_s},
            frozenset(node for node, c in dns_clients.items() if c.resolver.overstay_s),
        )

    def _failed_tasks(self) -> list[str]:
        done = [task for task in self._tasks if task.done() and not task.cancelled()]
        return [repr(task.exception()) for task in done if task.exception() is not None]

    def _replay(self, result: Result) -> None:
        """Deliver each recorded response twice more: no table may change, no backend may get a request."""
        fleet = self._fleet
        before = {g.client.node: (repr(g.client.tables), repr(g.client.resources)) for g in fleet.gateways}
        receipts, attempts = self._traffic()
        clients = {gateway.client.node: gateway.client for gateway in fleet.gateways}
        for response in result.evidence.responses * 2:
            clients[response.gateway].receive(response.data)
            result.replayed += 1
        result.changed = [
            node
            for node, state in before.items()
            if (repr(clients[node].tables), repr(clients[node].resources)) != state
        ]
        if self._traffic() != (receipts, attempts):
            result.changed.append("workers' counters")

    def _traffic(self) -> tuple[int, int]:
        """Return how many requests backends received and how many attempts gateways made."""
        receipts = sum(len(backend.receipts) for backend in self._fleet.backends)
        return receipts, sum(len(gateway.record.attempts) for gateway in self._fleet.gateways)
