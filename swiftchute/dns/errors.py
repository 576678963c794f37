"""Errors of the DNS frontend."""

import dns.rcode

from swiftchute.api.errors import SwiftchuteError


class DnsError(SwiftchuteError):
    """Base of all errors of the DNS frontend."""


class DomainNameError(DnsError, ValueError):
    """A name that DNS cannot represent or that is ambiguous; the text gives the name and the cause."""


class QueryError(DnsError):
    """A message that is not a valid query or asks for something that is not served.

    Attributes:
        reply: The error reply to send; None if no reply must be sent.
    """

    def __init__(self, reply: bytes | None) -> None:
        """Create the error from the reply to send, or None to send nothing."""
        super().__init__("no reply" if reply is None else dns.rcode.to_text(dns.rcode.Rcode(reply[3] & 15)))
        self.reply = reply
