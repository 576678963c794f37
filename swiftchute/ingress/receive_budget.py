"""The bytes of unfinished messages that all clients together may leave in memory. No I/O, no clock.

When the limit is exceeded, the clients whose unfinished messages are the oldest have to give up theirs. A
client that sends its message without stopping has one for a moment only, so it is not among them.
"""

from collections.abc import Iterator
from typing import Generic, TypeVar

Owner = TypeVar("Owner")

MIN_EVICTABLE_BYTES = 1024  # evicting a smaller message would free next to nothing


class ReceiveBudget(Generic[Owner]):
    """Tracks the unfinished messages of all clients of a process or port.

    Attributes:
        limit_bytes: Bytes that all of them may have together.
        total_bytes: Bytes that they have.
        evicted: Number of messages that had to be given up.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget that nobody uses."""
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.evicted = 0
        self._bytes: dict[Owner, int] = {}  # by owner, in the order in which the messages began

    def update(self, owner: Owner, unfinished_bytes: int) -> Iterator[Owner]:
        """Set the size of an owner's unfinished message; yield the owners that have to give up theirs.

        The caller discards the message of each owner that is yielded. It may be the owner itself.
        """
        previous_bytes = self._bytes.get(owner, 0)
        if unfinished_bytes:
            self._bytes[owner] = unfinished_bytes
        else:
            self._bytes.pop(owner, None)
        self.total_bytes += unfinished_bytes - previous_bytes
        while self.total_bytes > self.limit_bytes:
            oldest = next((o for o, size in self._bytes.items() if size >= MIN_EVICTABLE_BYTES), None)
            if oldest is None:
                return
            self.release(oldest)
            self.evicted += 1
            yield oldest

    def release(self, owner: Owner) -> None:
        """Forget an owner whose message is complete or discarded."""
        self.total_bytes -= self._bytes.pop(owner, 0)
