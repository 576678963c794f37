"""State shared by the rules of the policy: settings, known objects, and the round's time and commands."""

import random
from collections import deque
from collections.abc import Iterator
from itertools import chain

from swiftchute.api.commands import CommandSink
from swiftchute.api.events import ProxyId
from swiftchute.api.settings import Settings
from swiftchute.policy.model import Endpoint, EndpointTable, Proxy, SubsetKey, ZonePair, ZonePairKey

MAX_THROUGHPUT_SAMPLES = 60  # throughput samples kept per zone, one per evaluation


class PolicyState:
    """State that several rules read, passed to each of them.

    Attributes:
        settings: Configuration of the instance.
        random: Source of all random draws.
        now_ns: Time of the round.
        commands: Receiver of the round's commands.
        endpoints: Endpoints by name, including removed ones.
        proxies: Connected proxies.
        tables: Tables of each subset: one for operations that may cross zones, one zone-local, or only one
            of them if all operations are of one kind.
        subset_counts: Number of subsets by zone, 0 until an endpoint of any zone is ready.
        empty_subset_counts: Number of subsets without a ready endpoint, by zone.
        zone_pairs: Spillover for each ordered pair of different zones.
        load_ratios: Cost per success / latency objective by zone at the last evaluation, None if unknown.
        observed_throughput: Successes per second and unit of listed weight at each evaluation, by zone.
        conditions: Names of the active conditions: logged as started and not yet as ended.
        latency_objective_ns: The smallest latency objective of all operations.
        retry_policy: The default retry policy, limited to what is safe for all operations.
        operation_masks: Pairs of operation mask and whether it is zone-local, one for each table of a subset.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a state without endpoints and proxies."""
        zones = settings.zones
        self.settings = settings
        self.random = random.Random(seed)
        self.now_ns = 0
        self.commands: CommandSink
        self.endpoints: dict[str, Endpoint] = {}
        self.proxies: dict[ProxyId, Proxy] = {}
        self.tables: dict[SubsetKey, list[EndpointTable]] = {}
        self.subset_counts: dict[str, int] = dict.fromkeys(zones, 0)
        self.empty_subset_counts: dict[str, int] = dict.fromkeys(zones, 0)
        self.zone_pairs: dict[ZonePairKey, ZonePair] = {
            (zone, other): ZonePair() for zone in zones for other in zones if other != zone
        }
        self.load_ratios: dict[str, float | None] = dict.fromkeys(zones)
        self.observed_throughput: dict[str, deque[float]] = {
            zone: deque(maxlen=MAX_THROUGHPUT_SAMPLES) for zone in zones
        }
        self.conditions: set[str] = set()
        self.latency_objective_ns = min(op.latency_objective_ns for op in settings.operations)
        self.retry_policy = _retry_policy(settings)
        self.operation_masks = _operation_masks(settings)

    def ready_endpoints(self) -> dict[str, Endpoint]:
        """Return the endpoints that may receive requests, by name."""
        return {name: endpoint for name, endpoint in self.endpoints.items() if endpoint.is_ready}

    def all_tables(self) -> Iterator[EndpointTable]:
        """Iterate over the tables of all subsets, in the order of their creation."""
        return chain.from_iterable(self.tables.values())


def _retry_policy(settings: Settings) -> int:
    """Return the default policy, limited to provably safe retries unless all operations are idempotent.

    Any other retry could apply a request that is not idempotent twice.
    """
    if all(operation.idempotency == "idempotent" for operation in settings.operations):
        return settings.default_retry_policy
    return min(settings.default_retry_policy, 1)


def _operation_masks(settings: Settings) -> list[tuple[int, bool]]:
    masks = [
        (
            sum(1 << bit for bit, op in enumerate(settings.operations) if op.zone_local == zone_local),
            zone_local,
        )
        for zone_local in (False, True)
    ]
    return [(mask, zone_local) for mask, zone_local in masks if mask]
