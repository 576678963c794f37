"""Errors of configuration files."""

from dataclasses import dataclass

from swiftchute.api.errors import SwiftchuteError


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong in a file."""

    path: str
    line: int  # from 1; 0 if the file cannot be read
    field: str  # full name of the field or block it concerns; empty for the whole file
    cause: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        field = f"{self.field}: " if self.field else ""
        return f"{self.path}:{self.line}: {field}{self.cause}"


class ConfigError(SwiftchuteError):
    """A file cannot be used; `problems` are all that is wrong with it, in the order of their lines."""

    def __init__(self, problems: list[Problem]) -> None:
        """Create the error from at least one problem."""
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("\n".join(str(problem) for problem in self.problems))
