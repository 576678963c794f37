"""The state of one client connection on the platform's listening address. No I/O.

The session takes received bytes and times, passes decoded messages to a `MessageHandler` and collects the
bytes to write in `outgoing`. Once `end_cause` is set, the server writes these and closes the connection.

A client identifies itself as a proxy by `hello` or as a collector by `agent`. Until then, any invalid input
ends the session with an `error` message. Afterwards malformed messages are dropped and counted, and only
bytes that are not JSON, or a message that is too long, end the session.
"""

from collections import deque
from enum import Enum
from typing import Any, Protocol

import msgspec

from swiftchute.platform import wire_messages
from swiftchute.platform.errors import MalformedMessageError, UnreadableMessageError

# Limit for messages of clients that are not identified yet: there may be many, each with a buffered message.
MAX_FIRST_MESSAGE_BYTES = 1 << 13
MAX_PENDING_NONCES = 256  # unacknowledged nonces of a proxy; beyond that the oldest counts as lost


class MessageHandler(Protocol):
    """Receives the messages of a session."""

    def handle_message(self, session: "ProxySession", message: wire_messages.Message, now_ns: int) -> None:
        """Handle a message; raises `MalformedMessageError` if it is invalid."""

    def drop_message(self, session: "ProxySession", cause: str) -> None:
        """Count a malformed message of an identified client."""


class PendingNonce(msgspec.Struct, frozen=True, gc=False):
    """A nonce that the proxy has not acknowledged."""

    nonce: int
    bytes_written: int  # push bytes of this session up to and including the message of the nonce
    sent_at_ns: int


class AckResult(Enum):
    """Which policy sent the nonce that was acknowledged."""

    UNKNOWN_NONCE = "unknown nonce"
    PREVIOUS_POLICY = "nonce of a policy that has crashed; the current policy may use the same number"
    CURRENT_POLICY = "nonce of the current policy"


class ProxySession:
    """The connection of one client, which is a proxy or a collector."""

    __slots__ = (
        "handler", "opened_at_ns", "last_received_ns", "unparsed", "outgoing", "end_cause", "proxy",
        "collector_zone", "pending_nonces", "previous_policy_nonces", "bytes_written", "bytes_acknowledged",
        "last_push_ns", "push_times_ns", "join_overdue", "transport",
    )  # fmt: skip

    def __init__(self, handler: MessageHandler, now_ns: int) -> None:
        """Create a session whose client has not sent anything yet.

        Args:
            handler: Receives the messages.
            now_ns: The current time in nanoseconds.
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
        self.previous_policy_nonces = 0  # how many pending nonces, from the oldest, a crashed policy sent
        self.bytes_written = 0  # push messages only
        self.bytes_acknowledged = 0
        self.last_push_ns = now_ns
        self.push_times_ns: deque[int] = deque()  # times of the push messages that may count for the quota
        self.join_overdue = False  # not identified in time at the last check
        self.transport: Any = None  # owned by the server

    @property
    def identified(self) -> bool:
        """Whether the client has identified itself as a proxy or a collector."""
        return self.proxy is not None or self.collector_zone is not None

    @property
    def unread_bytes(self) -> int:
        """Push bytes that the proxy has not acknowledged."""
        return self.bytes_written - self.bytes_acknowledged

    @property
    def oldest_nonce_sent_at_ns(self) -> int | None:
        """When the oldest pending nonce was sent, or None if there is none."""
        return self.pending_nonces[0].sent_at_ns if self.pending_nonces else None

    def input_waits(self, now_ns: int) -> None:
        """Take note that received bytes wait to be handled, so that the client is not taken for silent."""
        self.last_received_ns = now_ns
        self.join_overdue = False

    def receive_data(self, data: bytes, now_ns: int) -> None:
        """Handle received bytes, split at any place."""
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
        """End the session: further input is ignored, and the server closes the connection.

        Args:
            cause: The cause, for the client and the log.
            notify: Whether to send the cause to the client; it is never sent to a collector.
        """
        if self.end_cause is None:
            self.end_cause = cause
            if notify and self.collector_zone is None:
                self.outgoing.append(wire_messages.encode_error(cause))

    def record_push(self, message_bytes: int, nonce: int | None, now_ns: int) -> bool:
        """Record a push message as written; return whether the oldest pending nonce was discarded as lost."""
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
        """Mark all pending nonces as the previous policy's; the new one numbers its nonces from the start."""
        self.previous_policy_nonces = len(self.pending_nonces)

    def acknowledge(self, nonce: int) -> AckResult:
        """Settle a nonce and all nonces sent before it."""
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
