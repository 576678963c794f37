"""Errors of the simulator's adapter."""

from swiftchute.api.errors import SwiftchuteError


class SimulatorError(SwiftchuteError):
    """Base class of this package's errors."""


class WireInputError(SimulatorError):
    """Input that does not follow the wire's format.

    Attributes:
        location: Line, and the instance and event in it if they are known.
        cause: What is wrong there.
    """

    def __init__(self, location: str, cause: str) -> None:
        """Create an error for a location of the input."""
        super().__init__(f"{location}: {cause}")
        self.location = location
        self.cause = cause
