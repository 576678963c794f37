"""Errors of the xDS frontend."""

from swiftchute.api.errors import SwiftchuteError


class XdsError(SwiftchuteError):
    """Base of all errors of the xDS frontend."""


class ProtocolViolationError(XdsError):
    """A client violated the protocol or a limit; its stream ends with a gRPC status."""

    def __init__(self, status: str, text: str) -> None:
        """Create an error from the name of a gRPC status and a description of the violation."""
        super().__init__(text)
        self.status = status
        self.text = text
