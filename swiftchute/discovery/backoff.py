"""Exponential backoff with jitter between attempts to reach an endpoint list. No I/O, no clock."""

from random import Random

MIN_JITTER_FACTOR = 0.5  # a wait is at least this part of the bound it is drawn from


class Backoff:
    """Waits that double with each consecutive failure up to a maximum, each shortened at random.

    Jitter keeps several clients that lost the same source at once from coming back at the same moment.
    """

    def __init__(self, first_ns: int, max_ns: int, random: Random) -> None:
        """Start at the shortest wait.

        Args:
            first_ns: Bound of the wait after the first failure, nanoseconds.
            max_ns: Bound that no wait exceeds, nanoseconds.
            random: Source of the jitter; each wait draws from it once.
        """
        self._first_ns = first_ns
        self._max_ns = max_ns
        self._random = random
        self._bound_ns = first_ns

    def reset(self) -> None:
        """Start again at the shortest wait, after a success."""
        self._bound_ns = self._first_ns

    def next_wait_ns(self) -> int:
        """Return how long to wait after one more failure, in nanoseconds."""
        wait_ns = int(self._bound_ns * self._random.uniform(MIN_JITTER_FACTOR, 1.0))
        self._bound_ns = min(2 * self._bound_ns, self._max_ns)
        return wait_ns
