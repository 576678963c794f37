"""Key ranges: each range that this instance owns is served by the endpoints of its entries."""

from swiftchute.api.events import KeyRangeAssigned, KeyRangeEntryRestored, KeyRangeRevoked
from swiftchute.policy.state import PolicyState

ENTRY_WEIGHT = 1  # of an endpoint that a key range is given


class KeyRanges:
    """The entries of the key ranges that this instance owns, by key range and endpoint."""

    def __init__(self) -> None:
        """Create an instance that owns no key range."""
        self._entries: dict[int, dict[str, float]] = {}

    def on_assigned(self, event: KeyRangeAssigned) -> None:
        """Own a key range from now on; its entries follow as events of their own."""
        self._entries[event.key_range] = {}

    def on_revoked(self, event: KeyRangeRevoked) -> None:
        """Own a key range no longer."""
        self._entries.pop(event.key_range, None)

    def on_entry_restored(self, event: KeyRangeEntryRestored) -> None:
        """Note an entry that the table of a key range already holds."""
        self._entries.setdefault(event.key_range, {})[event.endpoint] = event.weight

    def assign_endpoints(self, state: PolicyState) -> None:
        """Give each key range that has no ready endpoint left one that serves the fewest key ranges.

        A key range keeps the entries of its ready endpoints. Without any ready endpoint all entries stay.
        """
        ready = dict.fromkeys(state.ready_endpoints(), ENTRY_WEIGHT)
        if not ready:
            return
        for key_range, entries in self._entries.items():
            kept: dict[str, float] = {name: weight for name, weight in entries.items() if name in ready}
            if not kept:
                kept = {self._least_used(ready): ENTRY_WEIGHT}
            self._publish_changes(state, key_range, kept)
            self._entries[key_range] = kept

    def _least_used(self, ready: dict[str, int]) -> str:
        used = [name for entries in self._entries.values() for name in entries]
        return min(ready, key=lambda name: (used.count(name), name))

    def _publish_changes(self, state: PolicyState, key_range: int, kept: dict[str, float]) -> None:
        """Write the entries that change, new ones first.

        With a single owner a new endpoint takes the old one's place, and no entry is removed.
        """
        before = self._entries[key_range]
        changed = [name for name in [*kept, *before] if kept.get(name) != before.get(name)]
        for name in changed:
            if name in kept or not state.settings.single_owner:
                state.commands.set_weight(key_range, name, kept.get(name, 0))
