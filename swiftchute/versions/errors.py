"""Errors of the versions of endpoint tables."""

from swiftchute.api.errors import SwiftchuteError


class VersionError(SwiftchuteError):
    """Base class of the errors of this package."""


class EncodingError(VersionError):
    """Bytes that are not a table or delta of this format; the text names the cause."""


class DeltaMismatchError(VersionError):
    """A delta for another version, or one that misses its target version; the text names both versions."""


class UnknownVersionError(VersionError):
    """A table or version that is unknown, no longer kept or ambiguous; the text names it."""


class PinError(VersionError):
    """A pin that cannot be set or released; the text names the table and the cause."""
