"""Reads an HCL file into blocks and attributes with their line numbers.

Only literal values are accepted (strings, numbers, true, false, null, lists of them): no expressions, no
functions.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from hcl2.api import parses_to_tree
from lark import Token, Tree
from lark.exceptions import UnexpectedInput

from swiftchute.config.errors import ConfigError, Problem

_LITERALS = {"true": True, "false": False, "null": None}


class Value(NamedTuple):
    """The value of an attribute and the 1-based line of its name."""

    value: Any
    line: int


@dataclass
class Block:
    """A block: its labels, its attributes by name, and its nested blocks."""

    name: str
    labels: tuple[str, ...]
    line: int
    values: dict[str, Value] = field(default_factory=dict)
    blocks: list["Block"] = field(default_factory=list)

    @property
    def full_name(self) -> str:
        """The name followed by the labels."""
        return " ".join([self.name, *self.labels])


def read(path: str) -> Block:
    """Return the body of a file as an unnamed block.

    Raises:
        ConfigError: The file cannot be read or is not HCL with literal values; it holds one problem.
    """
    try:
        with open(path, encoding="utf-8") as source:
            tree = parses_to_tree(source.read())
    except OSError as error:
        raise _error(path, 0, "", f"cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise _error(path, 0, "", f"is not UTF-8: byte {error.start}") from None
    except UnexpectedInput as error:
        cause = f"is not HCL: unexpected {_unexpected(error)}"
        raise _error(path, max(error.line, 1), "", cause) from None
    body = Block("", (), 1)
    _Reader(path).read_body(tree, body)
    return body


def _error(path: str, line: int, field_name: str, cause: str) -> ConfigError:
    return ConfigError([Problem(path, line, field_name, cause)])


def _unexpected(error: Any) -> str:
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        return "the end of the file"
    return repr(str(token or error.char))


class _Reader:
    """Turns the syntax tree of one file into blocks."""

    def __init__(self, path: str) -> None:
        self._path = path

    def read_body(self, tree: Any, block: Block) -> None:
        """Add the attributes and blocks of a body to a block."""
        for child in tree.children:
            kind = getattr(child, "data", None)
            if kind == "body":
                self.read_body(child, block)
            elif kind == "attribute":
                self._read_attribute(child, block)
            elif kind == "block":
                self._read_block(child, block)

    def _read_attribute(self, tree: Tree, block: Block) -> None:
        parts = [child for child in tree.children if isinstance(child, Tree)]
        name, line = _text(parts[0]), _line(parts[0])
        if name in block.values:
            raise _error(self._path, line, name, f"set twice, first on line {block.values[name].line}")
        block.values[name] = Value(self._plain_value(name, parts[-1]), line)

    def _read_block(self, tree: Tree, parent: Block) -> None:
        heads = [
            child
            for child in tree.children
            if isinstance(child, Tree) and child.data in ("identifier", "string")
        ]
        labels = tuple(_text(head).strip('"') for head in heads[1:])
        block = Block(_text(heads[0]), labels, _line(heads[0]))
        parent.blocks.append(block)
        for child in tree.children:
            if getattr(child, "data", None) == "body":
                self.read_body(child, block)

    def _plain_value(self, name: str, tree: Any) -> Any:
        while isinstance(tree, Tree) and str(tree.data) == "expr_term" and len(tree.children) == 1:
            tree = tree.children[0]
        text = _text(tree) if isinstance(tree, Tree) else str(tree).strip()
        kind = str(getattr(tree, "data", getattr(tree, "type", "")))
        if kind == "string" and "${" not in text:
            return text[1:-1]
        if kind == "tuple":
            items = [c for c in tree.children if isinstance(c, Tree) and str(c.data) == "expr_term"]
            return [self._plain_value(name, item) for item in items]
        if text in _LITERALS:
            return _LITERALS[text]
        for number in (int, float):
            try:
                return number(text.replace(" ", ""))
            except ValueError:
                continue
        raise _error(self._path, _line(tree), name, f"{text!r} is not a literal value")


def _tokens(tree: Any) -> Iterator[Token]:
    if isinstance(tree, Token):
        yield tree
        return
    for child in tree.children:
        if child:
            yield from _tokens(child)


def _line(tree: Any) -> int:
    return next((token.line for token in _tokens(tree) if token.line), 1)


def _text(tree: Tree) -> str:
    return "".join(_tokens(tree)).strip()
