"""Key ranges, and how many of them each endpoint serves."""

from collections.abc import Iterable

from swiftchute.policy.state import PolicyState


class KeyRange:
    """A key range that this instance owns.

    Attributes:
        number: Number of its table.
        entries: Weights by endpoint, as in the table.
        former_owners: Endpoints that were replaced since this instance has owned the key range.
        unserved_since_ns: When its endpoints were first found unusable, None while they are usable.
    """

    __slots__ = ("entries", "former_owners", "number", "unserved_since_ns")

    def __init__(self, number: int) -> None:
        """Create a key range whose table is empty."""
        self.number = number
        self.entries: dict[str, float] = {}
        self.former_owners: set[str] = set()
        self.unserved_since_ns: int | None = None


class KeyRangeLoads:
    """The loads of one round, updated with each key range that gets another endpoint."""

    def __init__(self, state: PolicyState, key_ranges: Iterable[KeyRange]) -> None:
        """Count the key ranges of the ready endpoints."""
        self._state = state
        self._counts = dict.fromkeys(state.ready_endpoints(), 0)
        for key_range in key_ranges:
            self._add(key_range, 1)

    def move(self, key_range: KeyRange, entries: dict[str, float]) -> None:
        """Record that a key range gets other entries."""
        self._add(key_range, -1)
        key_range.entries = entries
        self._add(key_range, 1)

    def is_ready(self, endpoint: str) -> bool:
        """Return whether an endpoint may receive requests."""
        return endpoint in self._counts

    def best_endpoint(self, key_range: KeyRange) -> str:
        """Return the endpoint that serves the fewest key ranges, a former owner only if there is no other."""
        former = key_range.former_owners if self._state.settings.single_owner else set()
        return min(self._counts, key=lambda name: (name in former, self._counts[name], name))

    def _add(self, key_range: KeyRange, sign: int) -> None:
        for name in key_range.entries:
            if name in self._counts:
                self._counts[name] += sign
