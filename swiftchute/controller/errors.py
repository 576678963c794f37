"""Errors of the controller."""

from swiftchute.api.errors import SwiftchuteError


class ControllerError(SwiftchuteError):
    """Base class of the errors of this package."""


class CommandError(ControllerError):
    """The policy issued an invalid command; the message names the field and its value."""
