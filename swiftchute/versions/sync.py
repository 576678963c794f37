"""One table of one proxy kept at the wanted version over a way that may lose, double and reorder. No I/O, no
clock.

    sender = Sender(history); sender.want(version)
    message = sender.next()                # None: nothing to send, or one is under way
    answer = receiver.take(message)        # None: older than one taken before
    sender.answer(answer); sender.lost()   # no answer in time
    sender.reset(claim)                    # a new stream, on which the proxy says what it holds

A message is under way at a time. It is a delta from what the proxy is known to hold, else the whole. Messages
are numbered: a late one must not undo a newer, and an answer counts for the message it names alone. What was
not answered may have been applied, so after it nothing is known until the whole was acknowledged.
"""

import contextlib
from collections import deque
from dataclasses import dataclass

from swiftchute.versions.encoding import Delta, DeltaMismatchError, Table, apply, name
from swiftchute.versions.history import VersionHistory

REJECTED_KEPT = 16


@dataclass(frozen=True)
class Message:
    """What makes a version of what the proxy holds; `number` rises on a stream."""

    number: int
    version: bytes
    way: Delta | Table


@dataclass(frozen=True)
class Answer:
    """What a proxy holds after a message; not `taken`: it rejects what the message makes."""

    number: int
    holds: bytes | None
    taken: bool = True


class Sender:
    """The planner's side."""

    def __init__(self, history: VersionHistory) -> None:
        """Nothing is wanted, and nothing known of the proxy."""
        self.history = history
        self.wanted: bytes | None = None
        self.held: bytes | None = None
        self.out: Message | None = None
        self.number = 0
        self.rejected: deque[bytes] = deque(maxlen=REJECTED_KEPT)

    def want(self, version: bytes) -> None:
        """The proxy is to hold this from now on."""
        self.wanted = version

    def next(self) -> Message | None:
        """What is to be sent now. Raises `UnknownVersionError` if the wanted version is not kept."""
        if self.out is not None or self.wanted is None or self.wanted in self.rejected:
            return None
        way = self.history.way(self.held, self.wanted)
        if way is None:
            return None
        self.number += 1
        self.out = Message(self.number, self.wanted, way)
        return self.out

    def answer(self, said: Answer) -> bool:
        """Take in an answer; whether it counts: one for an earlier message says nothing of the last."""
        if self.out is None or said.number != self.out.number:
            return False
        if not said.taken:
            self.rejected.append(self.out.version)
        self.out, self.held = None, said.holds
        return True

    def lost(self) -> None:
        """No answer came in time: the message may have been applied or not."""
        self.out = self.held = None

    def reset(self, claim: bytes | None) -> None:
        """A new stream: what was under way is lost, and the proxy says what it holds."""
        self.out, self.held, self.number = None, claim, 0
        self.rejected.clear()


class Receiver:
    """The proxy's side."""

    def __init__(self) -> None:
        """It holds nothing."""
        self.table: Table | None = None
        self.number = 0

    @property
    def holds(self) -> bytes | None:
        """The version held."""
        return None if self.table is None else name(self.table)

    def take(self, message: Message, taken: bool = True) -> Answer | None:
        """Apply a message once; what it cannot be applied to stays, and the answer says what that is."""
        if message.number <= self.number:
            return None
        self.number = message.number
        if not taken:
            return Answer(message.number, self.holds, False)
        if isinstance(message.way, Table):
            self.table = message.way
        else:
            with contextlib.suppress(
                DeltaMismatchError
            ):  # a delta from what it does not hold: answered by what it does
                self.table = apply(message.way, self.table or Table())
        return Answer(message.number, self.holds)

    def reset(self) -> None:
        """A new stream: numbers begin again."""
        self.number = 0
