"""An HCL file as blocks and attributes that remember their lines.

`read(path)` returns the file's body as a `Block`; a file that is no HCL raises `Problem` with line and cause.
Only plain values are taken (strings, numbers, true, false, null, lists of them): no expressions, no
functions.
"""

from dataclasses import dataclass, field
from typing import Any

from hcl2.api import parses_to_tree
from lark import Token, Tree
from lark.exceptions import UnexpectedInput


class Problem(Exception):
    """One thing wrong in a file: path, line (from 1), the field it concerns and the cause."""

    def __init__(self, path: str, line: int, name: str, cause: str) -> None:
        super().__init__(f"{path}:{line}: {name + ': ' if name else ''}{cause}")
        self.path, self.line, self.name, self.cause = path, line, name, cause


@dataclass
class Block:
    """A block's labels, its attributes with their lines, and the blocks within."""

    name: str
    labels: tuple[str, ...]
    line: int
    values: dict[str, tuple[Any, int]] = field(default_factory=dict)
    blocks: list["Block"] = field(default_factory=list)


def read(path: str) -> Block:
    """The body of the file at `path`; raises `Problem` (OSError too becomes one, at line 0)."""
    try:
        with open(path, encoding="utf-8") as source:
            tree = parses_to_tree(source.read())
    except OSError as why:
        raise Problem(path, 0, "", f"cannot be read: {why.strerror}") from None
    except UnicodeDecodeError as why:
        raise Problem(path, 0, "", f"is not UTF-8: byte {why.start}") from None
    except UnexpectedInput as why:
        token = getattr(why, "token", None)
        found = (
            "the end of the file"
            if token is not None and token.type == "$END"
            else repr(str(token or why.char))
        )
        raise Problem(path, max(why.line, 1), "", f"is not HCL: unexpected {found}") from None
    top = Block("", (), 1)
    _body(path, tree, top)
    return top


def _tokens(tree: Any) -> list[Token]:
    return (
        [tree] if isinstance(tree, Token) else [t for child in tree.children if child for t in _tokens(child)]
    )


def _line(tree: Any) -> int:
    return next((t.line for t in _tokens(tree) if t.line), 1)


def _text(tree: Tree) -> str:
    return "".join(_tokens(tree)).strip()


def _body(path: str, tree: Tree, into: Block) -> None:
    for child in tree.children:
        kind = getattr(child, "data", None)
        if kind == "body":
            _body(path, child, into)
        elif kind == "attribute":
            parts = [c for c in child.children if isinstance(c, Tree)]
            name, line = _text(parts[0]), _line(parts[0])
            if name in into.values:
                raise Problem(path, line, name, f"set twice, first on line {into.values[name][1]}")
            into.values[name] = (_value(path, name, parts[-1]), line)
        elif kind == "block":
            heads = [c for c in child.children if isinstance(c, Tree) and c.data in ("identifier", "string")]
            block = Block(_text(heads[0]), tuple(_text(h).strip('"') for h in heads[1:]), _line(heads[0]))
            into.blocks.append(block)
            for inner in child.children:
                if getattr(inner, "data", None) == "body":
                    _body(path, inner, block)


def _value(path: str, name: str, tree: Any) -> Any:
    while isinstance(tree, Tree) and str(tree.data) == "expr_term" and len(tree.children) == 1:
        tree = tree.children[0]
    text = _text(tree) if isinstance(tree, Tree) else str(tree).strip()
    kind = str(getattr(tree, "data", getattr(tree, "type", "")))
    if kind == "string" and "${" not in text:
        return text[1:-1]
    if kind == "tuple":
        inner = [c for c in tree.children if isinstance(c, Tree) and str(c.data) == "expr_term"]
        return [_value(path, name, c) for c in inner]
    if text in ("true", "false", "null"):
        return {"true": True, "false": False, "null": None}[text]
    for number in (int, float):
        try:
            return number(text.replace(" ", ""))
        except ValueError:
            continue
    raise Problem(path, _line(tree), name, f"{text!r} is not a plain value")
