"""The errors of the platform's frontend."""

from swiftchute.api.errors import SwiftchuteError


class PlatformError(SwiftchuteError):
    """Base class of all errors raised by this package."""


class SettingsError(PlatformError):
    """The configuration is invalid; the text names file, field and cause."""


class DiscoveryError(PlatformError):
    """The response of discovery is invalid or implausible; the text names the cause."""


class UnreadableMessageError(PlatformError):
    """A line is not a JSON object."""


class MalformedMessageError(PlatformError):
    """A JSON object is not a valid message: its type is unknown, or a field is missing or out of range."""


class EgressQueueFullError(PlatformError):
    """A push message has more entries than the egress queue has room for now."""


class MessageTooLargeError(PlatformError):
    """A push message would need more parts than the protocol allows."""
