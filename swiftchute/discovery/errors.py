"""Errors of the endpoint lists."""

from swiftchute.api.errors import SwiftchuteError


class DiscoveryError(SwiftchuteError):
    """Base class of the errors of this package."""


class EndpointListError(DiscoveryError):
    """An endpoint list that is rejected as a whole; the text names what is wrong and where."""


class InvalidEndpointError(DiscoveryError, ValueError):
    """One target of a list that cannot be used; the text names the label, its value and the cause."""


class SourceError(DiscoveryError, ValueError):
    """A source that could not be read; the text names the cause."""
