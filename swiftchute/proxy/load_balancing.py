"""Picking an endpoint by a table's weights. No I/O, no clock.

Weights are whole numbers of 1 or more by endpoint, as tables have them.
"""

import heapq
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Protocol

from swiftchute.proxy.errors import EmptyTableError
from swiftchute.proxy.settings import LoadBalancing

MAX_DRAWS = 8  # draws for an endpoint that is allowed, before any allowed one is taken


class EndpointPicker(Protocol):
    """Picks one endpoint at a time."""

    endpoints: tuple[str, ...]

    def pick(self, chance: random.Random) -> str:
        """The next endpoint; `chance` is the source of random numbers."""


class WeightedRandomPicker:
    """Vose's alias table: two random numbers a pick, whatever the table's size."""

    def __init__(self, weights: Mapping[str, int]) -> None:
        """Build the alias table; raises EmptyTableError without endpoints."""
        if not weights:
            raise EmptyTableError("no endpoints to pick from")
        self.endpoints = tuple(weights)
        mean = sum(weights.values()) / len(weights)
        portions = [weight / mean for weight in weights.values()]
        self.probabilities = [1.0] * len(portions)  # of keeping the drawn place
        self.aliases = list(range(len(portions)))  # the place taken otherwise
        small = [place for place, portion in enumerate(portions) if portion < 1]
        large = [place for place, portion in enumerate(portions) if portion >= 1]
        while small and large:
            place, donor = small.pop(), large[-1]
            self.probabilities[place] = portions[place]
            self.aliases[place] = donor
            portions[donor] -= 1 - portions[place]
            if portions[donor] < 1:
                small.append(large.pop())

    def pick(self, chance: random.Random) -> str:
        """An endpoint by its weight."""
        place = chance.randrange(len(self.endpoints))
        keeps = chance.random() < self.probabilities[place]
        return self.endpoints[place if keeps else self.aliases[place]]


class RoundRobinPicker:
    """Weighted round robin: an endpoint is due again after an interval inverse to its weight.

    The start of each interval is random, so that many proxies do not pick in step.
    """

    def __init__(self, weights: Mapping[str, int]) -> None:
        """Compute the intervals; raises EmptyTableError without endpoints."""
        if not weights:
            raise EmptyTableError("no endpoints to pick from")
        self.endpoints = tuple(weights)
        total = sum(weights.values())
        self._intervals = {endpoint: total / weight for endpoint, weight in weights.items()}
        self._due: list[tuple[float, int, str]] = []  # heap of (due turn, place, endpoint)

    def pick(self, chance: random.Random) -> str:
        """The endpoint that is due first."""
        if not self._due:
            self._due = [
                (chance.random() * self._intervals[endpoint], place, endpoint)
                for place, endpoint in enumerate(self.endpoints)
            ]
            heapq.heapify(self._due)
        turn, place, endpoint = self._due[0]
        heapq.heapreplace(self._due, (turn + self._intervals[endpoint], place, endpoint))
        return endpoint


class TwoChoicesPicker:
    """Draws two endpoints by weight and picks the one with fewer requests in flight for its weight."""

    def __init__(self, weights: Mapping[str, int], in_flight: Callable[[str], int]) -> None:
        """`in_flight` counts the requests in flight to an endpoint; raises EmptyTableError without any."""
        self._random_picker = WeightedRandomPicker(weights)
        self._weights = weights
        self._in_flight = in_flight
        self.endpoints = self._random_picker.endpoints

    def pick(self, chance: random.Random) -> str:
        """The less loaded of two."""
        first = self._random_picker.pick(chance)
        second = self._random_picker.pick(chance)
        return min((first, second), key=self._load)

    def _load(self, endpoint: str) -> float:
        return (self._in_flight(endpoint) + 1) / self._weights[endpoint]


def make_picker(
    load_balancing: LoadBalancing, weights: Mapping[str, int], in_flight: Callable[[str], int]
) -> EndpointPicker:
    """The picker of a table with these weights; raises EmptyTableError if there are none."""
    if load_balancing == LoadBalancing.ROUND_ROBIN:
        return RoundRobinPicker(weights)
    if load_balancing == LoadBalancing.TWO_CHOICES:
        return TwoChoicesPicker(weights, in_flight)
    return WeightedRandomPicker(weights)


def choose_endpoint(
    picker: EndpointPicker,
    chance: random.Random,
    excluded: Collection[str],
    avoided: Collection[str],
    max_draws: int = MAX_DRAWS,
) -> str | None:
    """Pick an endpoint that is not excluded, and not avoided as long as any other is left.

    It is drawn again a few times, so that the allowed ones keep their proportions, and then taken at random
    from the allowed ones.

    Args:
        picker: the table's picker.
        chance: source of random numbers.
        excluded: endpoints that must not be picked; None is returned if that is all of them.
        avoided: endpoints that are picked only if no other is left.
        max_draws: draws before an allowed one is taken at random.
    """
    candidates: Sequence[str] = picker.endpoints
    if excluded or avoided:
        candidates = [endpoint for endpoint in picker.endpoints if endpoint not in excluded]
    if not candidates:
        return None
    preferred = candidates
    if avoided:
        preferred = [endpoint for endpoint in candidates if endpoint not in avoided]
    allowed = preferred or candidates
    if len(allowed) == len(picker.endpoints):
        return picker.pick(chance)
    allowed_set = set(allowed)
    for _ in range(max_draws):
        endpoint = picker.pick(chance)
        if endpoint in allowed_set:
            return endpoint
    return chance.choice(allowed)
