"""Remembers when acknowledgements proved that the channel had sent a round. No I/O, no clock.

Messages leave the channel in the order of the rounds that wrote them, so an acknowledgement of a round proves
that the messages of all earlier rounds have left, also those to proxies that are silent.
"""

from bisect import bisect_right

MAX_ROUNDS = 1000  # rounds whose acknowledgements are remembered


class AcknowledgedRounds:
    """The rounds that were newer than all rounds acknowledged before.

    Attributes:
        last_ns: When any proxy last acknowledged a message.
    """

    def __init__(self) -> None:
        """Create the record of a channel that has sent nothing."""
        self.last_ns = 0
        self._numbers: list[int] = []  # increasing
        self._times_ns: list[int] = []  # when each was first acknowledged

    @property
    def newest(self) -> int:
        """The newest acknowledged round, 0 if there is none."""
        return self._numbers[-1] if self._numbers else 0

    def add(self, round_number: int, now_ns: int) -> None:
        """Record that a proxy acknowledged a message of a round."""
        self.last_ns = now_ns
        if round_number <= self.newest:
            return
        self._numbers.append(round_number)
        self._times_ns.append(now_ns)
        if len(self._numbers) > MAX_ROUNDS:
            del self._numbers[: MAX_ROUNDS // 2], self._times_ns[: MAX_ROUNDS // 2]

    def sent_by_ns(self, round_number: int) -> int | None:
        """Return when it was first known that the channel had sent a round, None if it is not known."""
        index = bisect_right(self._numbers, round_number)
        return self._times_ns[index] if index < len(self._times_ns) else None
