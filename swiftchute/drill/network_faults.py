"""Fault actions on instances of the control plane, gateways and the network between them."""

import asyncio
import signal
import time

from swiftchute.drill.backend_faults import FaultContext
from swiftchute.drill.fleet import Fleet
from swiftchute.fakes.relay import Relay

NS_PER_S = 1_000_000_000
STARTUP_ALLOWANCE_NS = NS_PER_S // 2  # a restarted instance cannot know anything sooner

Spans = list[tuple[int, int]]  # begin and end, monotonic nanoseconds


class NetworkFaults(FaultContext):
    """Killed and stalled instances, lost gateways, broken streams and slow networks."""

    def __init__(self, fleet: Fleet) -> None:
        """Act on a fleet's instances, gateways and relays."""
        super().__init__(fleet)
        self._unavailable: dict[str, Spans] = {}  # by instance: when it could receive nothing
        self._down_since: dict[int, int] = {}

    def unavailable_spans(self, end: int) -> dict[str, Spans]:
        """Return by instance when it could receive nothing; one that is still down counts until `end`."""
        for instance, since in self._down_since.items():
            self._add_unavailable(instance, since, end)
        return self._unavailable

    def _add_unavailable(self, instance: int, begin: int, end: int) -> None:
        self._unavailable.setdefault(str(instance), []).append((begin, end))

    def _choose_gateways(self, share: float) -> list[int]:
        count = self._fleet.scenario.gateways
        return self._random.sample(range(count), max(1, round(share * count)))

    async def stall_instance(self, instance: int, seconds: float) -> None:
        """Suspend an instance's process for some seconds."""
        since = time.monotonic_ns()
        self._fleet.instances[instance].send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._fleet.instances[instance].send_signal(signal.SIGCONT)
        self._add_unavailable(instance, since, time.monotonic_ns())

    async def kill_instance(self, instance: int) -> None:
        """Kill an instance."""
        self._down_since[instance] = time.monotonic_ns()
        await self._fleet.instances[instance].end(signal.SIGKILL)

    async def restart_instance(self, instance: int) -> None:
        """Restart an instance that was killed; it knows nothing but the endpoint list."""
        await self._fleet.instances[instance].start()
        ready = time.monotonic_ns() + STARTUP_ALLOWANCE_NS
        self._add_unavailable(instance, self._down_since.pop(instance), ready)

    async def planner_dies(self, planner: int, lasts: float) -> None:
        """Kill an instance and start it again."""
        planner %= len(self._fleet.instances)
        if planner not in self._down_since:
            await self.kill_instance(planner)
            await asyncio.sleep(lasts)
            await self.restart_instance(planner)

    async def planner_stalls(self, planner: int, lasts: float) -> None:
        """Stall an instance."""
        await self.stall_instance(planner % len(self._fleet.instances), lasts)

    async def isolate_gateways(self, share: float, seconds: float) -> None:
        """Cut gateways off from all instances for a while; they keep forwarding."""
        chosen = self._choose_gateways(share)
        relays = [relay for (gateway, _), relay in self._fleet.relays.items() if gateway in chosen]
        for relay in relays:
            relay.refusing = True
            relay.cut()
        await asyncio.sleep(seconds)
        for relay in relays:
            relay.refusing = False

    async def unreached(self, share: float, lasts: float) -> None:
        """Cut gateways off from all instances."""
        await self.isolate_gateways(share, lasts)

    async def slow_network(self, delay: float, pace: float, seconds: float) -> None:
        """Delay traffic between gateways and instances (s) and limit its rate (bytes per second)."""
        self._set_network(delay, pace)
        await asyncio.sleep(seconds)
        self._set_network(0.0, 0.0)

    def _set_network(self, delay: float, pace: float) -> None:
        for relay in self._all_relays():
            relay.delay_s, relay.rate_bytes_per_s = delay, pace

    def _all_relays(self) -> list[Relay]:
        return list(self._fleet.relays.values())

    async def late_channel(self, delay: float, pace: float, lasts: float) -> None:
        """Slow the network between gateways and instances."""
        await self.slow_network(delay, pace, lasts)

    def break_streams(self, share: float) -> None:
        """Break the streams of gateways at once; the gateways reconnect."""
        for gateway in self._choose_gateways(share):
            for instance in range(len(self._fleet.instances)):
                self._fleet.relays[gateway, instance].cut()

    def streams_break(self, share: float) -> None:
        """Break the streams of gateways."""
        self.break_streams(share)

    async def gateways_die(self, share: float, lasts: float) -> None:
        """Stop gateways and restart them with only their default tables."""
        gateways = [self._fleet.gateways[number] for number in self._choose_gateways(share)]
        for gateway in gateways:
            await gateway.kill()
        await asyncio.sleep(lasts)
        for gateway in gateways:
            gateway.start()

    async def stop_reading(self, gateway: int, seconds: float) -> None:
        """Make a gateway stop reading its stream for a while."""
        self._fleet.gateways[gateway].reading.clear()
        await asyncio.sleep(seconds)
        self._fleet.gateways[gateway].reading.set()

    async def reject_updates(self, gateway: int, seconds: float) -> None:
        """Make a gateway reject new endpoints for a while and reconnect halfway through."""
        client = self._fleet.gateways[gateway].client
        resources = client.resources
        client.validate = (
            lambda kind, name, message: "drill: new endpoints are rejected"
            if (kind.endswith("LbEndpoint") and name not in resources[kind])
            else None
        )
        await asyncio.sleep(seconds / 2)
        self._fleet.gateways[gateway].disconnect()
        await asyncio.sleep(seconds / 2)
        client.validate = lambda kind, name, message: None
