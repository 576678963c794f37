"""Exponential backoff with jitter between attempts to reach an endpoint list. No I/O and no clock."""

from random import Random

MIN_JITTER_FACTOR = 0.5  # smallest wait, as a fraction of its bound


class Backoff:
    """Waits that double with each consecutive failure up to a maximum, each shortened at random.

    Jitter keeps clients that lost the same source at the same time from retrying in the same moment.
    """

    def __init__(self, first_ns: int, max_ns: int, random: Random) -> None:
        """Start at the shortest wait.

        Args:
            first_ns: Bound of the wait after the first failure, nanoseconds.
            max_ns: Largest bound of a wait, nanoseconds.
            random: Source of the jitter; each wait draws from it once.
        """
        self._first_ns = first_ns
        self._max_ns = max_ns
        self._random = random
        self._bound_ns = first_ns

    def reset(self) -> None:
        """Return to the shortest wait; called after a success."""
        self._bound_ns = self._first_ns

    def next_wait_ns(self) -> int:
        """Return the wait after another failure, nanoseconds."""
        wait_ns = int(self._bound_ns * self._random.uniform(MIN_JITTER_FACTOR, 1.0))
        self._bound_ns = min(2 * self._bound_ns, self._max_ns)
        return wait_ns
