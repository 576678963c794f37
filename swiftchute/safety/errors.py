"""Errors of the safety checks."""

from swiftchute.api.errors import SwiftchuteError


class SafetyError(SwiftchuteError):
    """Base class of the errors of this package."""


class InputFileError(SafetyError):
    """A file that cannot be read or has unexpected content; the text names file, field and cause."""
