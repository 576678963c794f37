"""Errors of the admin interface."""

from swiftchute.api.errors import SwiftchuteError


class AdminError(SwiftchuteError):
    """Base of all errors of the admin interface."""


class RequestError(AdminError):
    """Received bytes are not a request; the text says why."""


class CommandRejectedError(AdminError):
    """A command cannot be carried out; the text says why."""


class NoReplyError(AdminError):
    """The client got no reply, or a reply that carries an error."""
