"""Errors of the simulator's adapter."""

from swiftchute.api.errors import SwiftchuteError


class SimulatorError(SwiftchuteError):
    """Base class of this package's errors."""


class WireInputError(SimulatorError):
    """Input that is not valid in the wire protocol.

    Attributes:
        location: The line, and the instance and event in it if known.
        cause: What is wrong at that location.
    """

    def __init__(self, location: str, cause: str) -> None:
        """Create an error for a location in the input."""
        super().__init__(f"{location}: {cause}")
        self.location = location
        self.cause = cause
