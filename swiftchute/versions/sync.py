"""One table of one proxy kept at the wanted version over a channel that may lose, duplicate and reorder.

    sender = Sender(history)
    sender.set_wanted(version)
    message = sender.next_message()         # None: nothing to send, or a message is in flight
    response = receiver.on_message(message)  # None: older than a message received before
    sender.on_response(response)
    sender.on_timeout()                     # no response in time
    sender.reset(claimed_version)           # a new stream, on which the proxy says what it holds

One message is in flight at a time. It is a delta from what the proxy is known to hold, else the whole table.
Messages are numbered: a late one must not undo a newer one, and a response counts for the message it names
alone. A message without a response may have been applied, so after it nothing is known until a whole table
was acknowledged. No I/O, no clock.
"""

import contextlib
from collections import deque
from dataclasses import dataclass

from swiftchute.versions.encoding import Delta, Table, apply_delta, version_of
from swiftchute.versions.errors import DeltaMismatchError
from swiftchute.versions.history import VersionHistory

MAX_REJECTED_VERSIONS = 16  # remembered on one stream


@dataclass(frozen=True)
class Message:
    """An update to a version; `number` rises on a stream."""

    number: int
    version: bytes
    update: Delta | Table


@dataclass(frozen=True)
class Response:
    """What a proxy holds after a message.

    Attributes:
        number: Number of the message.
        held_version: Version that the proxy holds; None for no table.
        accepted: False if it rejects what the message makes.
    """

    number: int
    held_version: bytes | None
    accepted: bool = True


class Sender:
    """The control plane's side of one table of one proxy."""

    def __init__(self, history: VersionHistory) -> None:
        """Start with no wanted version and a proxy of which nothing is known.

        Args:
            history: Holds the versions that may be wanted.
        """
        self.history = history
        self.wanted_version: bytes | None = None
        self.held_version: bytes | None = None
        self.in_flight: Message | None = None
        self.number = 0
        self.rejected: deque[bytes] = deque(maxlen=MAX_REJECTED_VERSIONS)

    def set_wanted(self, version: bytes) -> None:
        """Set the version that the proxy is to hold."""
        self.wanted_version = version

    def next_message(self) -> Message | None:
        """Return the message to send now; None if there is none.

        Raises:
            UnknownVersionError: The wanted version is not kept.
        """
        if self.in_flight is not None or self.wanted_version is None or self.wanted_version in self.rejected:
            return None
        update = self.history.update_between(self.held_version, self.wanted_version)
        if update is None:
            return None
        self.number += 1
        self.in_flight = Message(self.number, self.wanted_version, update)
        return self.in_flight

    def on_response(self, response: Response) -> bool:
        """Process a response; return whether it is the one to the message in flight."""
        if self.in_flight is None or response.number != self.in_flight.number:
            return False
        if not response.accepted:
            self.rejected.append(self.in_flight.version)
        self.in_flight = None
        self.held_version = response.held_version
        return True

    def on_timeout(self) -> None:
        """Give up the message in flight: it may have been applied or not."""
        self.in_flight = None
        self.held_version = None

    def reset(self, claimed_version: bytes | None) -> None:
        """Start a new stream: what was in flight is lost, and the proxy says what it holds."""
        self.in_flight = None
        self.held_version = claimed_version
        self.number = 0
        self.rejected.clear()


class Receiver:
    """The proxy's side of one table."""

    def __init__(self) -> None:
        """Start without a table."""
        self.table: Table | None = None
        self.number = 0

    @property
    def held_version(self) -> bytes | None:
        """Version of the table; None if there is none."""
        return None if self.table is None else version_of(self.table)

    def on_message(self, message: Message, accepted: bool = True) -> Response | None:
        """Apply a message once; return None for one that a later message has overtaken.

        A table that a delta does not fit stays as it is, and the response names its version.
        """
        if message.number <= self.number:
            return None
        self.number = message.number
        if not accepted:
            return Response(message.number, self.held_version, False)
        if isinstance(message.update, Table):
            self.table = message.update
        else:
            with contextlib.suppress(DeltaMismatchError):
                self.table = apply_delta(message.update, self.table or Table())
        return Response(message.number, self.held_version)

    def reset(self) -> None:
        """Start a new stream: numbers begin again."""
        self.number = 0
