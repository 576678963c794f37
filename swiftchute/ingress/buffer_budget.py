"""The bytes that all clients together may leave in memory: unfinished or unread messages. No I/O, no clock.

When the limit is exceeded, the clients whose bytes have been there for longest have to give them up. A client
that completes its messages, or goes on reading, is not among them.
"""

from collections.abc import Iterator
from typing import Generic, TypeVar

Owner = TypeVar("Owner")

MIN_EVICTABLE_BYTES = 1024  # evicting less would free next to nothing


class BufferBudget(Generic[Owner]):
    """Tracks the bytes of all owners: clients, or messages of clients.

    Attributes:
        limit_bytes: Bytes that all of them may have together.
        total_bytes: Bytes that they have.
        evicted: Number of owners that had to give theirs up.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Create a budget that nobody uses."""
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self.evicted = 0
        self._bytes: dict[Owner, int] = {}  # the one first that has had some for longest without a decrease

    def update(self, owner: Owner, buffered_bytes: int) -> Iterator[Owner]:
        """Set the bytes of an owner; yield the owners that have to give up theirs.

        The caller discards the bytes of each owner that is yielded. It may be the owner itself.
        """
        previous_bytes = self._bytes.get(owner, 0)
        if buffered_bytes < previous_bytes:
            self._bytes.pop(owner)
        if buffered_bytes:
            self._bytes[owner] = buffered_bytes
        self.total_bytes += buffered_bytes - previous_bytes
        while self.total_bytes > self.limit_bytes:
            oldest = next((o for o, size in self._bytes.items() if size >= MIN_EVICTABLE_BYTES), None)
            if oldest is None:
                return
            self.release(oldest)
            self.evicted += 1
            yield oldest

    def release(self, owner: Owner) -> None:
        """Forget an owner that has no bytes any more."""
        self.total_bytes -= self._bytes.pop(owner, 0)
