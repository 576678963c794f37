"""The state of one client connection at the platform's address. No I/O.

Bytes and times come in; messages go to a `MessageHandler`, bytes to write collect in `outgoing`, and
`end_cause` is set once the connection is to be closed after they are written.

A connection is a proxy's once it said `hello` and a collector's once it said `agent`. Until then anything
that cannot be used ends it with an `error`. Afterwards a malformed message is dropped and counted, and only
bytes that are not JSON end it.
"""

from collections import deque
from enum import Enum
from typing import Any, Protocol

import msgspec

from swiftchute.platform import wire_messages
from swiftchute.platform.errors import MalformedMessageError, UnreadableMessageError

# Of a message before the client is known: any number of such connections may each hold one.
MAX_FIRST_MESSAGE_BYTES = 1 << 13
MAX_PENDING_NONCES = 256  # acknowledgements that a proxy may owe; past it the oldest counts as lost


class MessageHandler(Protocol):
    """What a session hands its messages to."""

    def handle_message(self, session: "ProxySession", message: wire_messages.Message, now_ns: int) -> None:
        """Handle a message; raises `MalformedMessageError` where it cannot be used."""

    def drop_message(self, session: "ProxySession", cause: str) -> None:
        """Count a malformed message of a client that is known."""


class PendingNonce(msgspec.Struct, frozen=True, gc=False):
    """A nonce that the proxy has not acknowledged."""

    nonce: int
    bytes_written: int  # on this session up to and including its message
    sent_at_ns: int


class AckResult(Enum):
    """What an acknowledgement answers."""

    UNKNOWN_NONCE = "unknown nonce"
    PREVIOUS_POLICY = "a policy that has crashed since; the present one may use the same number"
    CURRENT_POLICY = "the present policy"


class ProxySession:
    """One client connection, a proxy's or a collector's."""

    __slots__ = (
        "handler", "opened_at_ns", "last_received_ns", "unparsed", "outgoing", "end_cause", "proxy",
        "collector_zone", "pending_nonces", "previous_policy_nonces", "bytes_written", "bytes_acknowledged",
        "last_push_ns", "push_times_ns", "join_overdue", "transport",
    )  # fmt: skip

    def __init__(self, handler: MessageHandler, now_ns: int) -> None:
        """Start a session whose client has said nothing yet.

        Args:
            handler: Receives the messages.
            now_ns: The present time, nanoseconds.
        """
        self.handler = handler
        self.opened_at_ns = now_ns
        self.last_received_ns = now_ns
        self.unparsed = bytearray()
        self.outgoing: list[bytes] = []
        self.end_cause: str | None = None
        self.proxy: int | None = None
        self.collector_zone: str | None = None
        self.pending_nonces: deque[PendingNonce] = deque()
        self.previous_policy_nonces = 0  # of these, the first that were sent by a policy that crashed since
        self.bytes_written = 0  # of push messages
        self.bytes_acknowledged = 0
        self.last_push_ns = now_ns
        self.push_times_ns: deque[int] = deque()  # of push messages that may count for the quota
        self.join_overdue = False
        self.transport: Any = None  # belongs to the server

    @property
    def identified(self) -> bool:
        """Whether it is known to be a proxy's or a collector's."""
        return self.proxy is not None or self.collector_zone is not None

    @property
    def unread_bytes(self) -> int:
        """Bytes that the proxy has not proved to have read."""
        return self.bytes_written - self.bytes_acknowledged

    @property
    def oldest_nonce_sent_at_ns(self) -> int | None:
        """When the oldest nonce that waits for its acknowledgement was sent."""
        return self.pending_nonces[0].sent_at_ns if self.pending_nonces else None

    def receive_data(self, data: bytes, now_ns: int) -> None:
        """Handle bytes, in pieces of any size."""
        if self.end_cause is not None:
            return
        self.last_received_ns = now_ns
        last_newline = data.rfind(b"\n")
        if last_newline < 0:
            self.unparsed += data
        else:
            complete = data[:last_newline]
            if self.unparsed:
                complete = bytes(self.unparsed) + complete
            self.unparsed = bytearray(data[last_newline + 1 :])
            for line in complete.split(b"\n"):
                self._check_size(len(line))
                if self.end_cause is None:
                    self._receive_line(line, now_ns)
                if self.end_cause is not None:
                    self.unparsed.clear()
                    return
        self._check_size(len(self.unparsed))

    def _check_size(self, message_bytes: int) -> None:
        limit = wire_messages.MAX_MESSAGE_BYTES if self.identified else MAX_FIRST_MESSAGE_BYTES
        if message_bytes > limit:
            self.end(f"a message of more than {limit} bytes")
            self.unparsed.clear()

    def _receive_line(self, line: bytes, now_ns: int) -> None:
        try:
            message = wire_messages.decode(line)
            if type(message) is wire_messages.LivenessProbe:
                self.outgoing.append(wire_messages.LIVENESS_REPLY)
            else:
                self.handler.handle_message(self, message, now_ns)
        except MalformedMessageError as error:
            if self.identified:
                self.handler.drop_message(self, str(error))
            else:
                self.end(str(error))
        except UnreadableMessageError as error:
            self.end(f"unreadable: {error}" if line.strip() else "an empty line")

    def end(self, cause: str, notify: bool = True) -> None:
        """Ignore what follows; the server closes the connection.

        Args:
            cause: Why, for the client and the log.
            notify: Whether the client is sent the cause; a collector never is.
        """
        if self.end_cause is None:
            self.end_cause = cause
            if notify and self.collector_zone is None:
                self.outgoing.append(wire_messages.encode_error(cause))

    def record_push(self, message_bytes: int, nonce: int | None, now_ns: int) -> bool:
        """Note that a push message is written; True if the oldest nonce counts as lost for it."""
        self.bytes_written += message_bytes
        self.last_push_ns = now_ns
        self.push_times_ns.append(now_ns)
        if nonce is not None:
            self.pending_nonces.append(PendingNonce(nonce, self.bytes_written, now_ns))
        nonce_lost = len(self.pending_nonces) > MAX_PENDING_NONCES
        if nonce_lost:
            self.pending_nonces.popleft()
            self.previous_policy_nonces = max(self.previous_policy_nonces - 1, 0)
        return nonce_lost

    def on_policy_restart(self) -> None:
        """Note that a new policy counts its nonces from the beginning again."""
        self.previous_policy_nonces = len(self.pending_nonces)

    def acknowledge(self, nonce: int) -> AckResult:
        """Settle a nonce and all before it."""
        if not any(nonce == pending.nonce for pending in self.pending_nonces):
            return AckResult.UNKNOWN_NONCE
        settled = 0
        while True:
            pending = self.pending_nonces.popleft()
            settled += 1
            self.bytes_acknowledged = max(self.bytes_acknowledged, pending.bytes_written)
            if pending.nonce == nonce:
                break
        current = settled > self.previous_policy_nonces
        self.previous_policy_nonces = max(self.previous_policy_nonces - settled, 0)
        return AckResult.CURRENT_POLICY if current else AckResult.PREVIOUS_POLICY
