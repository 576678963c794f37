"""The fields of a proxy's file, and the loader of the checked result."""

from dataclasses import dataclass
from typing import Any

from swiftchute.config.checker import REQUIRED, Checker, Field, FieldTable
from swiftchute.config.reader import Block, read
from swiftchute.config.values import (
    MILLISECOND_NS,
    SECOND_NS,
    address,
    duration,
    flag,
    list_of,
    name,
    number,
    one_of,
    path,
    size,
)
from swiftchute.proxy.request import Limits, Operation

_PROXY: FieldTable = {
    "name": Field(name, REQUIRED),
    "zone": Field(name, REQUIRED),
    "listen": Field(address, REQUIRED),
    "planners": Field(list_of(address), REQUIRED),
    "form": Field(one_of("delta", "sotw"), "delta"),
    "lines": Field(flag, True),
    "rate": Field(number(0.001), 1.0),
    "standing": Field(list_of(address), ()),
    "seed": Field(number(0, 2**63, True), 0),
    "pick": Field(one_of("weight", "rotate", "two-choices"), "weight", "pick"),
    "under_way": Field(number(1, 10**6, True), 2000, "under_way"),
    "server_under_way": Field(number(0, 10**6, True), 0, "server"),
    "avoid_after": Field(number(0, 1000, True), 5, "avoid_after"),
    "avoid_for": Field(duration(10 * MILLISECOND_NS, 600 * SECOND_NS), 3 * SECOND_NS, "avoid_for"),
    "try_part": Field(number(0, 1), 0.2, "try_part"),
    "try_least": Field(number(0, 10_000), 3.0, "try_least"),
    "refused_again": Field(one_of("anew", "refused"), "anew", "refused_again"),
    "connections": Field(number(1, 1000, True), 2),
    "streams": Field(number(1, 10_000, True), 100),
    "first": Field(number(1, 10_000, True), 4),
    "waiting": Field(number(1, 10**6, True), 200),
    "idle": Field(duration(100 * MILLISECOND_NS, 3600 * SECOND_NS), 60 * SECOND_NS),
    "silent": Field(duration(100 * MILLISECOND_NS, 600 * SECOND_NS), 2 * SECOND_NS),
    "connect_within": Field(duration(10 * MILLISECOND_NS, 60 * SECOND_NS), SECOND_NS),
    "message_most": Field(size(1, 2**30), 2**20),
    "callers": Field(number(1, 10**6, True), 2000),
    "drain": Field(duration(0, 600 * SECOND_NS), 5 * SECOND_NS),
    "keep": Field(path, None),
    "keep_for": Field(duration(SECOND_NS, 7 * 24 * 3600 * SECOND_NS), 3600 * SECOND_NS),
}
_OPERATION: FieldTable = {
    "timeout": Field(duration(MILLISECOND_NS), REQUIRED),
    "repeats": Field(one_of("idempotent", "fingerprinted", "side-effecting"), REQUIRED),
}


@dataclass(frozen=True)
class ProxyConfig:
    """A checked file: the `proxy` block's values, the core's limits, and what is known of operations."""

    proxy: dict[str, Any]
    limits: Limits
    operations: dict[str, Operation]
    log_level: str


def load(path: str) -> ProxyConfig:
    """Read and check a file.

    Raises:
        ConfigError: The file cannot be used; it carries every problem with line, field and cause.
    """
    body = read(path)
    checker = Checker(path)
    checker.reject_top_level_fields(body)
    blocks: dict[str, Block] = {}
    values: dict[str, dict[str, Any]] = {}
    operations: dict[str, Operation] = {}
    for block in body.blocks:
        if block.name == "operation" and len(block.labels) == 1:
            _add_operation(checker, block, operations)
        elif block.name in blocks:
            checker.add_problem(block.line, block.full_name, "stands twice")
        elif block.name in _SINGLE_BLOCKS and not block.labels:
            blocks[block.name] = block
            values[block.name] = checker.parse_fields(block, _SINGLE_BLOCKS[block.name], block.name)
        else:
            cause = 'unknown block; known: proxy, operation "NAME", log'
            checker.add_problem(block.line, block.full_name, cause)
    proxy = values.get("proxy", {})
    if "proxy" not in blocks:
        checker.add_problem(1, "proxy", "block is missing")
    elif proxy.get("planners") == ():
        checker.add_problem(blocks["proxy"].values["planners"].line, "proxy.planners", "names none")
    checker.raise_problems()
    log = values.get("log") or checker.parse_fields(Block("log", (), 1), _LOG, "log")
    limits = Limits(**{field.target: proxy[key] for key, field in _PROXY.items() if field.target})
    return ProxyConfig(proxy, limits, operations, log["level"])


def _add_operation(checker: Checker, block: Block, operations: dict[str, Operation]) -> None:
    values = checker.parse_fields(block, _OPERATION, block.full_name)
    name = block.labels[0]
    if name in operations:
        checker.add_problem(block.line, block.full_name, "stands twice")
    operations[name] = Operation(name, values.get("timeout", 0), values.get("repeats", ""))


_LOG: FieldTable = {"level": Field(one_of("debug", "info", "warning", "error"), "info")}
_SINGLE_BLOCKS = {"proxy": _PROXY, "log": _LOG}
