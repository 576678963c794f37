"""Keeps a proxy's table at the wanted version over a channel that may lose, duplicate and reorder.

    sender = Sender(history)
    sender.set_wanted(version)
    message = sender.next_message()         # None if there is nothing to send, or a message is in flight
    response = receiver.on_message(message)  # None for a message older than one received before
    sender.on_response(response)
    sender.on_timeout()                     # no response arrived in time
    sender.reset(claimed_version)           # a new stream, on which the proxy reports what it holds

One message is in flight at a time: a delta from the version that the proxy is known to hold, else the whole
table. Messages are numbered, so that a late one cannot undo a newer one and a response counts only for the
message it names. A message without a response may or may not have been applied, so after a timeout the held
version is unknown until the proxy acknowledges a whole table. No I/O, no clock.
"""

import contextlib
from collections import deque
from dataclasses import dataclass

from swiftchute.versions.encoding import Delta, Table, apply_delta, version_of
from swiftchute.versions.errors import DeltaMismatchError
from swiftchute.versions.history import VersionHistory

MAX_REJECTED_VERSIONS = 16  # remembered per stream


@dataclass(frozen=True)
class Message:
    """An update to a version; `number` increases within a stream."""

    number: int
    version: bytes
    update: Delta | Table


@dataclass(frozen=True)
class Response:
    """What a proxy holds after a message.

    Attributes:
        number: Number of the message.
        held_version: Version that the proxy holds; None for no table.
        accepted: False if the proxy rejects the resulting table.
    """

    number: int
    held_version: bytes | None
    accepted: bool = True


class Sender:
    """The control plane's side, for one table of one proxy."""

    def __init__(self, history: VersionHistory) -> None:
        """Start without a wanted version, and with an unknown held version.

        Args:
            history: History that keeps the versions that may be wanted.
        """
        self.history = history
        self.wanted_version: bytes | None = None
        self.held_version: bytes | None = None
        self.in_flight: Message | None = None
        self.number = 0
        self.rejected: deque[bytes] = deque(maxlen=MAX_REJECTED_VERSIONS)

    def set_wanted(self, version: bytes) -> None:
        """Set the version that the proxy should hold."""
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
        """Process a response; return whether it answers the message in flight."""
        if self.in_flight is None or response.number != self.in_flight.number:
            return False
        if not response.accepted:
            self.rejected.append(self.in_flight.version)
        self.in_flight = None
        self.held_version = response.held_version
        return True

    def on_timeout(self) -> None:
        """Give up the message in flight, which may or may not have been applied."""
        self.in_flight = None
        self.held_version = None

    def reset(self, claimed_version: bytes | None) -> None:
        """Start a new stream: what was in flight is lost, and the proxy reports what it holds."""
        self.in_flight = None
        self.held_version = claimed_version
        self.number = 0
        self.rejected.clear()


class Receiver:
    """The proxy's side, for one table."""

    def __init__(self) -> None:
        """Start without a table."""
        self.table: Table | None = None
        self.number = 0

    @property
    def held_version(self) -> bytes | None:
        """Version of the table; None if there is none."""
        return None if self.table is None else version_of(self.table)

    def on_message(self, message: Message, accepted: bool = True) -> Response | None:
        """Apply a message once; return None for one that is not newer than the last one received.

        A delta for another version leaves the table unchanged; the response names the held version.
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
        """Start a new stream, on which message numbers start again."""
        self.number = 0
