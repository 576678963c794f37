"""Errors in endpoint lists and their sources."""

from swiftchute.api.errors import SwiftchuteError


class DiscoveryError(SwiftchuteError):
    """Base class of the errors of this package."""


class EndpointListError(DiscoveryError):
    """An endpoint list is rejected as a whole; the message names what is wrong and where."""


class InvalidEndpointError(DiscoveryError, ValueError):
    """A target of a list is invalid; the message names the label, its value and the cause."""


class SourceError(DiscoveryError, ValueError):
    """A source could not be read; the message names the cause."""
