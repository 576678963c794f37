"""Weighted load balancing: selects an endpoint by the weights of a table. No I/O, no clock.

Weights are integers of 1 or more, keyed by endpoint.
"""

import heapq
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Protocol

from swiftchute.proxy.errors import EmptyTableError
from swiftchute.proxy.settings import LoadBalancing

MAX_DRAWS = 8  # weighted draws for an allowed endpoint before one is chosen uniformly


class EndpointPicker(Protocol):
    """Selects one endpoint per call."""

    endpoints: tuple[str, ...]

    def pick(self, rng: random.Random) -> str:
        """Return the next endpoint; `rng` is the source of random numbers."""


class WeightedRandomPicker:
    """Vose's alias method: two random numbers per pick, independent of the table's size."""

    def __init__(self, weights: Mapping[str, int]) -> None:
        """Build the alias table; raises EmptyTableError without endpoints."""
        if not weights:
            raise EmptyTableError("cannot create a picker: the table has no weights")
        self.endpoints = tuple(weights)
        mean = sum(weights.values()) / len(weights)
        scaled_weights = [weight / mean for weight in weights.values()]
        self.probabilities = [1.0] * len(scaled_weights)  # of keeping the drawn index
        self.aliases = list(range(len(scaled_weights)))  # the index used otherwise
        small = [index for index, scaled_weight in enumerate(scaled_weights) if scaled_weight < 1]
        large = [index for index, scaled_weight in enumerate(scaled_weights) if scaled_weight >= 1]
        while small and large:
            index, donor = small.pop(), large[-1]
            self.probabilities[index] = scaled_weights[index]
            self.aliases[index] = donor
            scaled_weights[donor] -= 1 - scaled_weights[index]
            if scaled_weights[donor] < 1:
                small.append(large.pop())

    def pick(self, rng: random.Random) -> str:
        """Return a random endpoint with a probability proportional to its weight."""
        index = rng.randrange(len(self.endpoints))
        keeps_index = rng.random() < self.probabilities[index]
        return self.endpoints[index if keeps_index else self.aliases[index]]


class RoundRobinPicker:
    """Weighted round robin: an endpoint is due again after an interval inverse to its weight.

    Each endpoint's first turn is random, so that proxies do not pick the same endpoints in step.
    """

    def __init__(self, weights: Mapping[str, int]) -> None:
        """Compute the intervals; raises EmptyTableError without endpoints."""
        if not weights:
            raise EmptyTableError("cannot create a picker: the table has no weights")
        self.endpoints = tuple(weights)
        total = sum(weights.values())
        self._intervals = {endpoint: total / weight for endpoint, weight in weights.items()}
        self._due: list[tuple[float, int, str]] = []  # heap of (due turn, index, endpoint)

    def pick(self, rng: random.Random) -> str:
        """Return the endpoint whose turn is due first."""
        if not self._due:
            self._due = [
                (rng.random() * self._intervals[endpoint], index, endpoint)
                for index, endpoint in enumerate(self.endpoints)
            ]
            heapq.heapify(self._due)
        turn, index, endpoint = self._due[0]
        heapq.heapreplace(self._due, (turn + self._intervals[endpoint], index, endpoint))
        return endpoint


class TwoChoicesPicker:
    """Power of two choices: draws two endpoints by weight and picks the less loaded one.

    The load is the number of requests in flight, including the new one, divided by the weight.
    """

    def __init__(self, weights: Mapping[str, int], in_flight: Callable[[str], int]) -> None:
        """`in_flight` returns an endpoint's requests in flight; raises EmptyTableError without endpoints."""
        self._random_picker = WeightedRandomPicker(weights)
        self._weights = weights
        self._in_flight = in_flight
        self.endpoints = self._random_picker.endpoints

    def pick(self, rng: random.Random) -> str:
        """Return the less loaded of two random endpoints."""
        first = self._random_picker.pick(rng)
        second = self._random_picker.pick(rng)
        return min((first, second), key=self._load)

    def _load(self, endpoint: str) -> float:
        return (self._in_flight(endpoint) + 1) / self._weights[endpoint]


def make_picker(
    load_balancing: LoadBalancing, weights: Mapping[str, int], in_flight: Callable[[str], int]
) -> EndpointPicker:
    """Create the picker for a table's weights; raises EmptyTableError if there are none."""
    if load_balancing == LoadBalancing.ROUND_ROBIN:
        return RoundRobinPicker(weights)
    if load_balancing == LoadBalancing.TWO_CHOICES:
        return TwoChoicesPicker(weights, in_flight)
    return WeightedRandomPicker(weights)


def choose_endpoint(
    picker: EndpointPicker,
    rng: random.Random,
    excluded: Collection[str],
    avoided: Collection[str],
    max_draws: int = MAX_DRAWS,
) -> str | None:
    """Pick an endpoint that is not excluded, and an avoided one only if no other is left.

    Draws that are not allowed are repeated up to `max_draws` times, so that the allowed endpoints keep their
    relative weights; after that an allowed endpoint is chosen uniformly.

    Args:
        picker: the table's picker.
        rng: source of random numbers.
        excluded: endpoints that must not be picked; None is returned if all are excluded.
        avoided: endpoints that are picked only if no other is left.
        max_draws: weighted draws before the uniform choice.
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
        return picker.pick(rng)
    allowed_set = set(allowed)
    for _ in range(max_draws):
        endpoint = picker.pick(rng)
        if endpoint in allowed_set:
            return endpoint
    return rng.choice(allowed)
