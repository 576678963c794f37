"""Published weights at the start of the step window. No I/O, no clock."""

from collections import deque
from typing import NamedTuple

MAX_SNAPSHOTS = 64  # beyond this the oldest is dropped
MARGIN_SNAPSHOTS = 2  # one from before the window's start, and the one being taken

WeightsByTable = dict[int, dict[str, float]]


class Snapshot(NamedTuple):
    """Weights by table at a time."""

    taken_at_ns: int
    weights: WeightsByTable


class StepWindow:
    """Snapshots of published weights, oldest first."""

    def __init__(self, length_ns: int) -> None:
        """Start without a snapshot.

        Args:
            length_ns: Length of the window, nanoseconds.
        """
        self._length_ns = length_ns
        self._min_interval_ns = length_ns // (MAX_SNAPSHOTS - MARGIN_SNAPSHOTS)
        self._snapshots: deque[Snapshot] = deque(maxlen=MAX_SNAPSHOTS)

    def weights_at_start(self, current: WeightsByTable, now_ns: int) -> WeightsByTable:
        """Record the current weights; return those at the start of the window."""
        snapshots = self._snapshots
        if not snapshots or now_ns - snapshots[-1].taken_at_ns >= self._min_interval_ns:
            snapshots.append(Snapshot(now_ns, current))
        while len(snapshots) > 1 and snapshots[1].taken_at_ns <= now_ns - self._length_ns:
            snapshots.popleft()
        return snapshots[0].weights
