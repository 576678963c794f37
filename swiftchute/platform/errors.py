"""The errors of the platform's frontend."""

from swiftchute.api.errors import SwiftchuteError


class PlatformError(SwiftchuteError):
    """Base class of all errors that this package raises on purpose."""


class SettingsError(PlatformError):
    """A configuration that cannot be used; the text names file, field and cause."""


class DiscoveryError(PlatformError):
    """Discovery's answer cannot be read or believed; the text names the cause."""


class UnreadableMessageError(PlatformError):
    """The bytes are not a JSON object."""


class MalformedMessageError(PlatformError):
    """An object that is not a message: its kind is unknown, or a field is missing or out of range."""


class EgressQueueFullError(PlatformError):
    """A message has more entries than the egress queue can take now."""


class MessageTooLargeError(PlatformError):
    """A message would need more parts than the protocol allows."""
