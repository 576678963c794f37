"""Errors of the DNS frontend."""

import dns.rcode

from swiftchute.api.errors import SwiftchuteError


class DnsError(SwiftchuteError):
    """Base of all errors of the DNS frontend."""


class DomainNameError(DnsError, ValueError):
    """A name that DNS cannot represent or that has two meanings; the text gives the name and the cause."""


class QueryError(DnsError):
    """A query that cannot be answered as asked.

    Attributes:
        reply: The message that answers the query; None if it must not be answered at all.
    """

    def __init__(self, reply: bytes | None) -> None:
        """Create the error from the reply to send; None sends nothing."""
        super().__init__("no answer" if reply is None else dns.rcode.to_text(dns.rcode.Rcode(reply[3] & 15)))
        self.reply = reply
