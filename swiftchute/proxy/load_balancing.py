"""Picking a server by a table's weights. No I/O, no clock.

    picker = Alias(weights); picker.pick(chance)          # in constant time, made anew once a version
    picker = Rotation(weights); picker.pick(chance)       # by turns, evenly spread in proportion
    server = choose(picker, chance, but=avoided, tries=8)

Weights are whole numbers of 1 or more by server, as tables have them.
"""

import heapq
import random
from collections.abc import Callable, Collection, Mapping
from typing import Protocol


class Picker(Protocol):
    """Gives a server at a time."""

    servers: tuple[str, ...]

    def pick(self, chance: random.Random) -> str:
        """The next server."""


class Alias:
    """Vose's alias table: two numbers of chance a pick, whatever the table's size."""

    def __init__(self, weights: Mapping[str, int]) -> None:
        """Raises ValueError without servers."""
        if not weights:
            raise ValueError("no servers to pick from")
        self.servers = tuple(weights)
        mean = sum(weights.values()) / len(weights)
        parts = [w / mean for w in weights.values()]
        self.keep = [1.0] * len(parts)
        self.other = list(range(len(parts)))
        small = [k for k, part in enumerate(parts) if part < 1]
        large = [k for k, part in enumerate(parts) if part >= 1]
        while small and large:
            one, rich = small.pop(), large[-1]
            self.keep[one], self.other[one] = parts[one], rich
            parts[rich] -= 1 - parts[one]
            if parts[rich] < 1:
                small.append(large.pop())

    def pick(self, chance: random.Random) -> str:
        """A server by its weight."""
        place = chance.randrange(len(self.servers))
        return self.servers[place if chance.random() < self.keep[place] else self.other[place]]


class Rotation:
    """By turns: each server is due again after a stretch that its weight makes short, from a start by chance
    (many proxies that rotate must not go in step)."""

    def __init__(self, weights: Mapping[str, int]) -> None:
        """Raises ValueError without servers."""
        if not weights:
            raise ValueError("no servers to pick from")
        self.servers = tuple(weights)
        total = sum(weights.values())
        self.every = {server: total / weight for server, weight in weights.items()}
        self.due: list[tuple[float, int, str]] = []

    def pick(self, chance: random.Random) -> str:
        """The one that is due first."""
        if not self.due:
            self.due = [(chance.random() * self.every[s], place, s) for place, s in enumerate(self.servers)]
            heapq.heapify(self.due)
        when, place, server = self.due[0]
        heapq.heapreplace(self.due, (when + self.every[server], place, server))
        return server


class TwoChoices:
    """Two by weight, and of these the one with fewer invocations under way for its weight."""

    def __init__(self, weights: Mapping[str, int], under_way: Callable[[str], int]) -> None:
        """`under_way` counts a server's."""
        self.alias, self.weights, self.under_way = Alias(weights), weights, under_way
        self.servers = self.alias.servers

    def pick(self, chance: random.Random) -> str:
        """The less busy of two."""
        one, two = self.alias.pick(chance), self.alias.pick(chance)
        return min((one, two), key=lambda s: (self.under_way(s) + 1) / self.weights[s])


def choose(
    picker: Picker, chance: random.Random, but: Collection[str], avoided: Collection[str], tries: int = 8
) -> str | None:
    """A server past those that must not be (`but`: None if that is all of them) and those that are avoided
    (unless that is all the others): drawn again a few times, so that the rest keep their proportions; then
    the first in order that will do, from a place by chance."""
    left = [s for s in picker.servers if s not in but] if but or avoided else picker.servers
    if not left:
        return None
    well = [s for s in left if s not in avoided] if avoided else left
    allowed = well or left
    if len(allowed) == len(picker.servers):
        return picker.pick(chance)
    wanted = set(allowed)
    for _ in range(tries):
        server = picker.pick(chance)
        if server in wanted:
            return server
    return chance.choice(allowed)
