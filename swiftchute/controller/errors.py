"""Errors of the controller."""

from swiftchute.api.errors import SwiftchuteError


class ControllerError(SwiftchuteError):
    """Base class of the errors of this package."""


class CommandError(ControllerError):
    """The policy issued a command that cannot be carried out; the text names the field and its value."""
