"""Key ranges: assigns ready endpoints to the key ranges that this instance owns."""

from swiftchute.api.events import KeyRangeAssigned, KeyRangeEntryRestored, KeyRangeRevoked
from swiftchute.policy.state import PolicyState

ENTRY_WEIGHT = 1  # of an endpoint that is newly assigned to a key range


class KeyRanges:
    """Holds the entries of the key ranges that this instance owns, by key range and endpoint."""

    def __init__(self) -> None:
        """Create an instance that owns no key range."""
        self._entries: dict[int, dict[str, float]] = {}

    def on_assigned(self, event: KeyRangeAssigned) -> None:
        """Start to own a key range; its existing entries follow in separate events."""
        self._entries[event.key_range] = {}

    def on_revoked(self, event: KeyRangeRevoked) -> None:
        """Stop owning a key range, and forget its entries."""
        self._entries.pop(event.key_range, None)

    def on_entry_restored(self, event: KeyRangeEntryRestored) -> None:
        """Record an entry that the table of a key range already holds."""
        self._entries.setdefault(event.key_range, {})[event.endpoint] = event.weight

    def assign_endpoints(self, state: PolicyState) -> None:
        """Assign the endpoint that serves the fewest key ranges to each key range without a ready endpoint.

        Key ranges keep the entries of their ready endpoints. If no endpoint is ready, all entries stay.
        """
        ready = dict.fromkeys(state.ready_endpoints(), ENTRY_WEIGHT)
        if not ready:
            return
        for key_range, entries in self._entries.items():
            kept: dict[str, float] = {name: weight for name, weight in entries.items() if name in ready}
            if not kept:
                kept = {self._least_loaded_endpoint(ready): ENTRY_WEIGHT}
            self._publish_changes(state, key_range, kept)
            self._entries[key_range] = kept

    def _least_loaded_endpoint(self, ready: dict[str, int]) -> str:
        serving = [name for entries in self._entries.values() for name in entries]
        return min(ready, key=lambda name: (serving.count(name), name))

    def _publish_changes(self, state: PolicyState, key_range: int, kept: dict[str, float]) -> None:
        """Write the changed entries, new ones first.

        With a single owner a new entry replaces the old one, so no removal is written.
        """
        before = self._entries[key_range]
        changed = [name for name in [*kept, *before] if kept.get(name) != before.get(name)]
        for name in changed:
            if name in kept or not state.settings.single_owner:
                state.commands.set_weight(key_range, name, kept.get(name, 0))
