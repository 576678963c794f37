"""Errors of the daemons."""

from swiftchute.api.errors import SwiftchuteError


class DaemonError(SwiftchuteError):
    """Base class of the errors of this package."""


class ListenError(DaemonError):
    """An address or socket cannot be used; the text names the setting and the cause."""
