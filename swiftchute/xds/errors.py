"""Errors of the xDS frontend."""

from swiftchute.api.errors import SwiftchuteError


class XdsError(SwiftchuteError):
    """Base of all errors of the xDS frontend."""


class ProtocolViolationError(XdsError):
    """The client is at fault; its stream ends with a gRPC status."""

    def __init__(self, status: str, text: str) -> None:
        """Create the error from a gRPC status by name and what the client did."""
        super().__init__(text)
        self.status = status
        self.text = text
