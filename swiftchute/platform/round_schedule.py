"""When a round of the policy runs. No I/O, no clock."""

MIN_ROUND_INTERVAL_NS = 5_000_000  # between the starts of two rounds


class RoundSchedule:
    """Keeps rounds apart by `MIN_ROUND_INTERVAL_NS`."""

    def __init__(self) -> None:
        """No round has run yet."""
        self._last_round_ns = 0

    def record_round(self, now_ns: int) -> None:
        """Note that a round starts."""
        self._last_round_ns = now_ns

    def wait_for_round_ns(self, now_ns: int) -> int:
        """How long a round that is requested now has to wait, in nanoseconds."""
        return max(self._last_round_ns + MIN_ROUND_INTERVAL_NS - now_ns, 0)

    def wait_without_request_ns(self, due_ns: int, now_ns: int) -> int:
        """How long to wait for a round that nobody requests and that is due at a time, in nanoseconds."""
        return max(due_ns - now_ns, MIN_ROUND_INTERVAL_NS)
