"""Turns: who may use a channel that cannot send everything that is urgent.

Urgent pushes tell of drains to proxies that have tables of this instance; assignments and ejections tell of
them to proxies that have none yet. Both write into the same channel, and either kind can keep it full on its
own: the first in a deploy on a slow channel, the second when a whole fleet connects. While both wait, each
gets as many entries as the other.
"""

from enum import Enum


class PushKind(Enum):
    """What a message is for."""

    URGENT = "urgent entries of tables"
    ORDINARY = "other changed entries of tables"
    FIRST_TABLES = "tables for proxies that have none yet"
    DRAIN_NOTICE = "tables or ejections for proxies without tables, while endpoints drain"
    RESTORATION = "end of ejections"
    MIGRATION = "tables for proxies that change their subset"


_FOR_NEW_PROXIES = {PushKind.FIRST_TABLES, PushKind.DRAIN_NOTICE}


class ChannelTurns:
    """Whose turn it is, of urgent pushes and proxies without tables."""

    def __init__(self) -> None:
        """Create the turns of a channel for which nothing waits."""
        self._lead_entries = 0.0  # of urgent pushes over those for proxies without tables, while these wait
        self._refused_kinds: set[PushKind] = set()  # in this round
        self._new_proxies_wait = False  # one of them was refused in the last round

    def is_turn_of(self, kind: PushKind) -> bool:
        """Return whether a kind is for proxies without tables, which wait while urgent pushes are ahead."""
        return kind in _FOR_NEW_PROXIES and self._is_turn_of_new_proxies

    def begin_round(self) -> None:
        """Start a round: what was refused in the last one waits."""
        self._new_proxies_wait = not self._refused_kinds.isdisjoint(_FOR_NEW_PROXIES)
        self._refused_kinds.clear()
        if not self._new_proxies_wait:
            self._lead_entries = 0.0

    def allows(self, kind: PushKind) -> bool:
        """Return whether a kind may use the channel now."""
        if self._is_turn_of_new_proxies:
            return kind in _FOR_NEW_PROXIES
        return kind is PushKind.URGENT or PushKind.URGENT not in self._refused_kinds

    def on_refused(self, kind: PushKind) -> None:
        """Record that the channel has no room for a kind yet."""
        self._refused_kinds.add(kind)

    def on_reserved(self, kind: PushKind, entries: float) -> None:
        """Record that a kind uses the channel."""
        if not self._new_proxies_wait:
            return
        if kind is PushKind.URGENT:
            self._lead_entries += entries
        elif kind in _FOR_NEW_PROXIES:
            self._lead_entries -= entries

    @property
    def _is_turn_of_new_proxies(self) -> bool:
        return self._new_proxies_wait and self._lead_entries > 0
