"""Errors of the admin interface."""

from swiftchute.api.errors import SwiftchuteError


class AdminError(SwiftchuteError):
    """Base of all errors of the admin interface."""


class RequestError(AdminError):
    """The received bytes are not a valid request; the text names the cause."""


class CommandRejectedError(AdminError):
    """A command cannot be executed; the text names the cause."""


class NoReplyError(AdminError):
    """The client got no reply, or a reply that carries an error."""
