"""Errors of configuration files."""

from dataclasses import dataclass

from swiftchute.api.errors import SwiftchuteError


@dataclass(frozen=True)
class Problem:
    """One problem in a file."""

    path: str
    line: int  # 1-based; 0 if the file cannot be read
    field: str  # full name of the field or block; empty if the problem is the file itself
    cause: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        field = f"{self.field}: " if self.field else ""
        return f"{self.path}:{self.line}: {field}{self.cause}"


class ConfigError(SwiftchuteError):
    """A file is invalid; `problems` holds every problem, sorted by line."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create the error from at least one problem."""
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("\n".join(str(problem) for problem in self.problems))
