"""What a proxy's HCL file may hold, and the checked result. `load(path)` raises `BadConfig` like a
planner's."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from swiftchute.config.reader import Block, Problem, read
from swiftchute.config.schema import (
    MUST,
    BadConfig,
    Check,
    address,
    flag,
    listed,
    name,
    number,
    one_of,
    path,
    size,
    span,
)
from swiftchute.proxy.request import Limits, Operation

_MS, _S = 10**6, 10**9
Fields = dict[str, tuple[Callable[[Any], Any], Any, str | None]]
_PROXY: Fields = {
    "name": (name, MUST, None),
    "zone": (name, MUST, None),
    "listen": (address, MUST, None),
    "planners": (listed(address), MUST, None),
    "form": (one_of("delta", "sotw"), "delta", None),
    "lines": (flag, True, None),
    "rate": (number(0.001), 1.0, None),
    "standing": (listed(address), (), None),
    "seed": (number(0, 2**63, True), 0, None),
    "pick": (one_of("weight", "rotate", "two-choices"), "weight", "pick"),
    "under_way": (number(1, 10**6, True), 2000, "under_way"),
    "server_under_way": (number(0, 10**6, True), 0, "server"),
    "avoid_after": (number(0, 1000, True), 5, "avoid_after"),
    "avoid_for": (span(10 * _MS, 600 * _S), 3 * _S, "avoid_for"),
    "try_part": (number(0, 1), 0.2, "try_part"),
    "try_least": (number(0, 10_000), 3.0, "try_least"),
    "refused_again": (one_of("anew", "refused"), "anew", "refused_again"),
    "connections": (number(1, 1000, True), 2, None),
    "streams": (number(1, 10_000, True), 100, None),
    "first": (number(1, 10_000, True), 4, None),
    "waiting": (number(1, 10**6, True), 200, None),
    "idle": (span(100 * _MS, 3600 * _S), 60 * _S, None),
    "silent": (span(100 * _MS, 600 * _S), 2 * _S, None),
    "connect_within": (span(10 * _MS, 60 * _S), _S, None),
    "message_most": (size(1, 2**30), 2**20, None),
    "callers": (number(1, 10**6, True), 2000, None),
    "drain": (span(0, 600 * _S), 5 * _S, None),
    "keep": (path, None, None),
    "keep_for": (span(_S, 7 * 24 * 3600 * _S), 3600 * _S, None),
}
_OPERATION: Fields = {
    "timeout": (span(_MS), MUST, None),
    "repeats": (one_of("idempotent", "fingerprinted", "side-effecting"), MUST, None),
}


@dataclass(frozen=True)
class ProxyConfig:
    """A checked file: the `proxy` block's values, the core's limits, and what is known of operations."""

    proxy: dict[str, Any]
    limits: Limits
    operations: dict[str, Operation]
    log_level: str


def load(where: str) -> ProxyConfig:
    """Read and check the file at `where`; raises `BadConfig`."""
    try:
        body = read(where)
    except Problem as why:
        raise BadConfig([why]) from None
    check = Check(where)
    for key, (_, line) in body.values.items():
        check.wrong(line, key, "unknown here; settings stand in blocks")
    found: dict[str, Any] = {}
    operations: dict[str, Operation] = {}
    for block in body.blocks:
        called = " ".join([block.name, *block.labels])
        if block.name == "operation" and len(block.labels) == 1:
            row = check.fields(block, _OPERATION, called)
            if block.labels[0] in operations:
                check.wrong(block.line, called, "stands twice")
            operations[block.labels[0]] = Operation(
                block.labels[0], row.get("timeout", 0), row.get("repeats", "")
            )
        elif block.name in ("proxy", "log") and not block.labels and block.name not in found:
            table = _PROXY if block.name == "proxy" else _LOG
            found[block.name] = check.fields(block, table, block.name)
        elif block.name in found:
            check.wrong(block.line, called, "stands twice")
        else:
            check.wrong(block.line, called, 'unknown block; known: proxy, operation "NAME", log')
    if "proxy" not in found:
        check.wrong(1, "proxy", "block is missing")
    made = found.get("proxy", {})
    if made.get("planners") == ():
        line = next(b.values["planners"][1] for b in body.blocks if b.name == "proxy")
        check.wrong(line, "proxy.planners", "names none")
    if check.problems:
        raise BadConfig(check.problems)
    log = found.get("log") or check.fields(Block("log", (), 1), _LOG, "log")
    limits = Limits(**{target: made[key] for key, (_, _, target) in _PROXY.items() if target})
    return ProxyConfig(made, limits, operations, log["level"])


_LOG: Fields = {"level": (one_of("debug", "info", "warning", "error"), "info", None)}
