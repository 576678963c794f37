"""A fake DNS client: it routes by its resolver's answers in place of tables from the control plane."""

import asyncio
import time

from swiftchute.fakes.gateway import REQUEST_TIMEOUT_NS, FakeGateway, OperationValue
from swiftchute.fakes.resolver import FAILURE_TTL_S, CachedAnswer, CachingResolver, SrvPicker
from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.request import RoutingTable
from swiftchute.proxy.settings import Idempotency, RouteSettings
from swiftchute.proxy.xds_client import XdsClient


class FakeDnsClient(FakeGateway):
    """A gateway whose tables come from a resolver's answers.

    It admits every request, and retries only if the previous attempt provably never ran.

    Attributes:
        resolver: source of its tables.
        answers: time (ns), operation and whether there were records, for each answer that it began to use.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        request_rate_per_s: float,
        resolver: CachingResolver,
        seed: int,
        values: dict[str, OperationValue],
    ) -> None:
        """Create a client; `request_rate_per_s` requests arrive at it, the rest is as for `FakeGateway`."""
        client = XdsClient(node, zone, request_rate_per_s, False, False)
        super().__init__(client, [("", 0)], seed, values=values)
        self.resolver = resolver
        self.answers: list[tuple[int, str, bool]] = []
        self._current: dict[str, CachedAnswer] = {}

    def start(self) -> None:
        """Do nothing: a DNS client has no stream to the control plane."""

    async def prepare(self, operation: str) -> None:
        """Use the resolver's current answer as the operation's table."""
        answer = await self.resolver.lookup(operation)
        if answer is self._current.get(operation):
            return
        self._current[operation] = answer
        self._update_table(operation, answer)
        self._update_connected_server()
        self.record.add(self.answers, (time.monotonic_ns(), operation, bool(answer.records)))
        if not answer.records:
            # ask again, or a rare operation would seem to have no endpoint until its next request
            self.tasks = [task for task in self.tasks if not task.done()]
            self.tasks.append(asyncio.ensure_future(self._wait_for_answer(operation)))

    def _update_table(self, operation: str, answer: CachedAnswer) -> None:
        router = self.router
        route = RouteSettings(operation, REQUEST_TIMEOUT_NS, Idempotency.IDEMPOTENT)
        router.routes.setdefault(operation, route)
        router.tables.pop(operation, None)
        if answer.records:
            weights = {record.endpoint: record.weight for record in answer.records}
            table = EndpointTable(f"dns/{operation}", weights, 1.0, 1)
            router.tables[operation] = RoutingTable(table, SrvPicker(answer.records))
        router.known_endpoints = {
            endpoint for routing in router.tables.values() for endpoint in routing.table.weights
        }

    def _update_connected_server(self) -> None:
        """Record the DNS server as connected once all answers come from the same one."""
        answers = [answer for answer in self._current.values() if answer.records]
        servers = {f"{answer.server[0]}:{answer.server[1]}" for answer in answers}
        if len(servers) != 1 or self.connected_to in servers:
            return
        if self.connected_to:
            self.on_stream_closed(self.connected_to, self.stream_count)
        self.stream_count += 1
        self.connected_to = servers.pop()
        self.on_stream_opened(self.connected_to, self.stream_count)

    async def _wait_for_answer(self, operation: str) -> None:
        await asyncio.sleep(FAILURE_TTL_S)
        while not (await self.resolver.lookup(operation)).records:
            await asyncio.sleep(FAILURE_TTL_S)
        await self.prepare(operation)
