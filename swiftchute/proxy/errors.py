"""Errors that the proxy raises on purpose."""

from swiftchute.api.errors import SwiftchuteError


class ProxyError(SwiftchuteError):
    """Base class of the proxy's errors."""


class HttpFramingError(ProxyError):
    """The peer violated the HTTP protocol, or the connection accepts no message; the text has the cause."""


class EmptyTableError(ProxyError, ValueError):
    """A picker was made for a table without endpoints."""


class ControlPlaneResponseError(ProxyError):
    """A response of the control plane cannot be used; the text has the cause."""


class TableCacheError(ProxyError):
    """The table cache file cannot be used; the text names the file and the cause."""
