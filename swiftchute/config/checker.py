"""Validates the fields of blocks against tables of known fields and collects every problem."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from swiftchute.config.errors import ConfigError, Problem
from swiftchute.config.reader import Block
from swiftchute.config.values import Parser

REQUIRED = object()  # marks a field without a default


class Field(NamedTuple):
    """A known field of a block."""

    parse: Parser
    default: Any  # REQUIRED if the field must be given
    target: str | None = None  # name of the typed setting that receives the value, if any


FieldTable = Mapping[str, Field]


class Checker:
    """Collects the problems of one file."""

    def __init__(self, path: str) -> None:
        """Create a checker without problems; `path` names the file in its problems."""
        self._path = path
        self._problems: list[Problem] = []

    def add_problem(self, line: int, field: str, cause: str) -> None:
        """Record a problem with a field or a block."""
        self._problems.append(Problem(self._path, line, field, cause))

    def raise_problems(self) -> None:
        """Raise `ConfigError` if any problem was recorded."""
        if self._problems:
            raise ConfigError(self._problems)

    def reject_top_level_fields(self, body: Block) -> None:
        """Record a problem for each field outside of all blocks."""
        for key, value in body.values.items():
            self.add_problem(value.line, key, "unknown here; fields must be inside a block")

    def parse_fields(self, block: Block, table: FieldTable, block_name: str) -> dict[str, Any]:
        """Return the parsed fields of a block, with defaults for absent fields.

        Invalid fields, unknown fields and nested blocks are recorded as problems and omitted from the result.
        An absent required field is recorded as a problem and has the value REQUIRED in the result.
        """
        parsed = {}
        for key, value in block.values.items():
            field_name = f"{block_name}.{key}"
            if key not in table:
                known = ", ".join(sorted(table))
                self.add_problem(value.line, field_name, f"unknown; known here: {known}")
                continue
            try:
                parsed[key] = table[key].parse(value.value)
            except ValueError as error:
                self.add_problem(value.line, field_name, str(error))
        for inner in block.blocks:
            self.add_problem(inner.line, f"{block_name}.{inner.name}", "unknown block")
        for key, field in table.items():
            if key in block.values:
                continue
            if field.default is REQUIRED:
                self.add_problem(block.line, f"{block_name}.{key}", "missing")
            parsed[key] = field.default
        return parsed
