"""The configured secondary name servers: NOTIFY messages, and the serials they serve. No I/O, no clock.

Example:
    secondaries = SecondaryServers([("north", ("127.0.0.1", 53))], origin, expire_ns, ttl_ns, seed)
    secondaries.on_serial_changed(serial, now_ns)
    secondaries.due_notifies(now_ns)               # the NOTIFY messages to send now
    secondaries.on_serial_seen("north", "127.0.0.1", serial, newest_serial, now_ns)
    secondaries.obsolete_at_ns()                   # when all older serials are out of use

NOTIFY follows RFC 1996. A view is the DNS zone as clients of one availability zone see it. A secondary that
does not transfer a change serves the old content until that expires; the frontend does not acknowledge the
change to the controller before.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass

import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from swiftchute.dns.query import HEADER_BYTES
from swiftchute.dns.settings import Address

NS_PER_S = 1_000_000_000
MAX_NOTIFY_ATTEMPTS = 5  # per serial and secondary
FIRST_RETRY_NS = NS_PER_S // 2  # the interval doubles with each attempt
RETRY_JITTER = (0.75, 1.25)  # range of the random factor of each interval
_NO_MESSAGE_ID = -1  # no reply has it: message ids are not negative
_NOTIFY_REPLY_BITS = 0xA0  # third byte of the header with QR 1 (a reply) and opcode 4 (NOTIFY)
_REPLY_BITS_MASK = 0xF8  # QR and opcode in that byte


@dataclass(frozen=True, slots=True)
class Notify:
    """A NOTIFY message to send."""

    address: Address
    data: bytes


@dataclass(slots=True)
class _Secondary:
    """One secondary of a view.

    Attributes:
        address: The address that NOTIFY messages are sent to.
        serial: The serial that it holds.
        serial_seen_at_ns: When it was last known to hold `serial`; None if it never was.
        outdated_since_ns: When the first serial that it lacks was created; None if it holds the newest.
        attempts: Number of NOTIFY messages sent for the newest serial.
        notify_due_ns: When the next NOTIFY is due; None if none is.
        message_id: The message id of the last NOTIFY.
    """

    address: Address
    serial: int = 0
    serial_seen_at_ns: int | None = None
    outdated_since_ns: int | None = None
    attempts: int = 0
    notify_due_ns: int | None = None
    message_id: int = _NO_MESSAGE_ID


class SecondaryServers:
    """The configured secondaries of each view; no other host may transfer a zone.

    Attributes:
        unanswered_notifies: How often a secondary left all NOTIFY messages for a serial unanswered.
    """

    def __init__(
        self,
        configured: Collection[tuple[str, Address]],
        origin: dns.name.Name,
        expire_ns: int,
        ttl_ns: int,
        seed: int,
    ) -> None:
        """Create the secondaries.

        Args:
            configured: The view and the address of each secondary.
            origin: The name of the zone.
            expire_ns: How long a secondary serves a zone that it cannot refresh.
            ttl_ns: The TTL of the records that it serves.
            seed: The random seed for message ids and the intervals between attempts.
        """
        self.unanswered_notifies = 0
        self._origin = origin
        self._expire_ns = expire_ns
        self._ttl_ns = ttl_ns
        self._random = random.Random(seed)
        self._secondaries_by_host: dict[tuple[str, str], list[_Secondary]] = {}  # by view and host
        for view, address in configured:
            self._secondaries_by_host.setdefault((view, address[0]), []).append(_Secondary(address))

    def may_transfer(self, view: str, host: str) -> bool:
        """Return whether a host may transfer a view."""
        return (view, host) in self._secondaries_by_host

    def on_serial_changed(self, serial: int, now_ns: int) -> None:
        """Notify all secondaries of a new serial."""
        for secondaries in self._secondaries_by_host.values():
            for secondary in secondaries:
                secondary.attempts = 0
                secondary.notify_due_ns = now_ns
                if secondary.outdated_since_ns is None and secondary.serial != serial:
                    secondary.outdated_since_ns = now_ns

    def on_serial_seen(self, view: str, host: str, serial: int, newest_serial: int, now_ns: int) -> None:
        """Record that a secondary of a view holds a serial, after a transfer or a query that named it."""
        for secondary in self._secondaries_by_host.get((view, host), ()):
            secondary.serial = serial
            secondary.serial_seen_at_ns = now_ns
            if serial == newest_serial:
                secondary.outdated_since_ns = secondary.notify_due_ns = None

    def obsolete_at_ns(self) -> int:
        """Return when all secondaries and the resolvers behind them have stopped using older serials."""
        latest_ns = 0
        for secondaries in self._secondaries_by_host.values():
            for secondary in secondaries:
                if secondary.serial_seen_at_ns is None:
                    continue  # it has not transferred a zone from this incarnation
                if secondary.outdated_since_ns is not None:
                    # It may have refreshed just before the new serial: it serves the old zone until that
                    # expires, and resolvers cache its last answer for the TTL.
                    obsolete_ns = secondary.outdated_since_ns + self._expire_ns + self._ttl_ns
                else:
                    obsolete_ns = secondary.serial_seen_at_ns + self._ttl_ns
                latest_ns = max(latest_ns, obsolete_ns)
        return latest_ns

    def due_notifies(self, now_ns: int) -> list[Notify]:
        """Return the NOTIFY messages to send now, at most `MAX_NOTIFY_ATTEMPTS` per serial and secondary."""
        notifies = []
        for secondaries in self._secondaries_by_host.values():
            for secondary in secondaries:
                if secondary.notify_due_ns is None or now_ns < secondary.notify_due_ns:
                    continue
                if secondary.attempts >= MAX_NOTIFY_ATTEMPTS:
                    secondary.notify_due_ns = None
                    self.unanswered_notifies += 1
                    continue
                secondary.message_id = self._random.getrandbits(16)
                notifies.append(Notify(secondary.address, self._compose_notify(secondary.message_id)))
                interval_ns = (FIRST_RETRY_NS << secondary.attempts) * self._random.uniform(*RETRY_JITTER)
                secondary.attempts += 1
                secondary.notify_due_ns = now_ns + int(interval_ns)
        return notifies

    def _compose_notify(self, message_id: int) -> bytes:
        message = dns.message.Message(id=message_id)
        message.set_opcode(dns.opcode.NOTIFY)
        message.flags |= dns.flags.AA
        message.question = [dns.rrset.RRset(self._origin, dns.rdataclass.IN, dns.rdatatype.SOA)]
        return message.to_wire()

    def on_notify_reply(self, host: str, data: bytes) -> None:
        """Handle a datagram received on the socket that sends NOTIFY messages.

        A reply to the latest NOTIFY ends the attempts, whatever its RCODE.
        """
        if len(data) < HEADER_BYTES or data[2] & _REPLY_BITS_MASK != _NOTIFY_REPLY_BITS:
            return
        message_id = int.from_bytes(data[:2], "big")
        for (_, secondary_host), secondaries in self._secondaries_by_host.items():
            for secondary in secondaries:
                if secondary_host == host and secondary.message_id == message_id:
                    secondary.notify_due_ns = None

    @property
    def notify_due_ns(self) -> int | None:
        """When the next NOTIFY is due; None if none is."""
        return min(
            (
                secondary.notify_due_ns
                for secondaries in self._secondaries_by_host.values()
                for secondary in secondaries
                if secondary.notify_due_ns is not None
            ),
            default=None,
        )
