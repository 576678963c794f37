"""Errors of the long-running processes."""

from swiftchute.api.errors import SwiftchuteError


class DaemonError(SwiftchuteError):
    """Base class of the errors of this package."""


class ListenError(DaemonError):
    """Cannot listen on an address or socket; the text names the setting and the cause."""
