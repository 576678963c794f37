"""Determines when the next round of the policy runs. No I/O, no clock."""

MIN_ROUND_INTERVAL_NS = 5_000_000  # between the starts of two rounds


class RoundSchedule:
    """Keeps rounds at least `MIN_ROUND_INTERVAL_NS` apart."""

    def __init__(self) -> None:
        """Create a schedule without a past round."""
        self._last_round_ns = 0

    def record_round(self, now_ns: int) -> None:
        """Record the start of a round."""
        self._last_round_ns = now_ns

    def wait_for_round_ns(self, now_ns: int) -> int:
        """Return the time in nanoseconds that a round requested now must wait."""
        return max(self._last_round_ns + MIN_ROUND_INTERVAL_NS - now_ns, 0)

    def wait_for_idle_round_ns(self, due_ns: int, now_ns: int) -> int:
        """Return the time in nanoseconds until a round due at `due_ns` runs if no event requests one."""
        return max(due_ns - now_ns, MIN_ROUND_INTERVAL_NS)
