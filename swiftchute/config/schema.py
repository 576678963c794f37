"""What a planner's HCL file may hold, and the checked result.

`load(path)` returns a `Config`; whatever is wrong comes in one `BadConfig`, every problem with file, line,
field and cause. The tables below name the fields by block: parser of the value, default (`MUST` where there
is none), and the `Settings` field it fills, where it fills one. Nothing here is decided: defaults are of the
program's plumbing only.
"""

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from swiftchute.api.settings import Operation, Settings
from swiftchute.config.reader import Block, Problem, read
from swiftchute.dns.names import BadName, Names, origin
from swiftchute.safety.validator import RULES

MUST = object()
_SPANS = {"ns": 1, "us": 10**3, "ms": 10**6, "s": 10**9, "m": 60 * 10**9, "h": 3600 * 10**9}
_SIZES = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
_LOOPBACK = re.compile(r"127\.\d+\.\d+\.\d+|localhost|\[?::1\]?")


class BadConfig(Exception):
    """All that is wrong with a file, as `Problem`s in the order of their lines."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda p: p.line)
        super().__init__("\n".join(str(p) for p in self.problems))


def _unit(units: dict[str, int], what: str, least: int, most: int) -> Callable[[Any], int]:
    example = f"{what} with a unit ({', '.join(units)})"

    def parse(value: Any) -> int:
        found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)", value) if isinstance(value, str) else None
        if not found:
            raise ValueError(f"{value!r} is not {example}")
        if found[2] not in units:
            raise ValueError(f"{found[2]!r} is no unit here: {', '.join(units)}")
        number = round(float(found[1]) * units[found[2]])
        if not least <= number <= most:
            small, large = ([n for n in units.items() if x % n[1] == 0][-1] for x in (least or 1, most))
            raise ValueError(
                f"{value!r} is out of range: {least // small[1]}{small[0]} to {most // large[1]}{large[0]}"
            )
        return number

    return parse


def span(least: int = 0, most: int = 24 * 3600 * 10**9) -> Callable[[Any], int]:
    """A duration such as `250ms`, in nanoseconds."""
    return _unit(_SPANS, "a duration", least, most)


def size(least: int = 0, most: int = 2**40) -> Callable[[Any], int]:
    """A size such as `4MiB`, in bytes."""
    return _unit(_SIZES, "a size", least, most)


def number(least: float = 0, most: float = 1e12, whole: bool = False) -> Callable[[Any], Any]:
    """A number within bounds, a whole one if asked."""

    def parse(value: Any) -> Any:
        if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
            raise ValueError(f"{value!r} is not a {'whole ' if whole else ''}number")
        if not least <= value <= most:
            raise ValueError(f"{value!r} is out of range: {least:g} to {most:g}")
        return value if whole else float(value)

    return parse


def one_of(*words: str) -> Callable[[Any], str]:
    """One of the words named."""

    def parse(value: Any) -> str:
        if value not in words:
            raise ValueError(f"{value!r} is none of {', '.join(words)}")
        return value

    return parse


def flag(value: Any) -> bool:
    """true or false."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def name(value: Any) -> str:
    """A word without spaces or slashes, as names of resources are made of it."""
    if not isinstance(value, str) or not re.fullmatch(r"[\w.-]{1,100}", value):
        raise ValueError(f"{value!r} is not a name (letters, digits, '.', '_', '-')")
    return value


def names(value: Any) -> tuple[str, ...]:
    """A list of names, each once, one at least."""
    if not isinstance(value, list) or not value:
        raise ValueError(f"{value!r} is not a list of names")
    if len({name(v) for v in value}) < len(value):
        raise ValueError("a name stands twice")
    return tuple(value)


def rules(value: Any) -> tuple[str, ...]:
    """A list of the guard's rules."""
    if not isinstance(value, list) or not set(value) <= set(RULES):
        raise ValueError(f"{value!r} is not a list of rules: {', '.join(RULES)}")
    return tuple(value)


def path(value: Any) -> str:
    """A path, taken from the folder the program runs in."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a path")
    return value


def address(value: Any) -> tuple[str, int]:
    """host:port on loopback; port 0 takes a free one."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{value!r} is not host:port")
    if not _LOOPBACK.fullmatch(host):
        raise ValueError(f"{host!r} is not a loopback address: streams carry no TLS yet")
    return host.strip("[]"), int(port)


def url(value: Any) -> str:
    """An http URL."""
    parts = urlsplit(value if isinstance(value, str) else "")
    if parts.scheme != "http" or not parts.hostname:
        raise ValueError(f"{value!r} is not an http:// URL")
    return value


def domain(value: Any) -> str:
    """A domain name other than the root."""
    try:
        return str(origin(value if isinstance(value, str) else ""))
    except BadName as why:
        raise ValueError(str(why)) from None


def by_zone(parse: Callable[[Any], Any], what: str) -> Callable[[Any], tuple[tuple[str, Any], ...]]:
    """A list of strings, each a zone and what is parsed, with a space between."""

    def rows(value: Any) -> tuple[tuple[str, Any], ...]:
        if not isinstance(value, list):
            raise ValueError(f'{value!r} is not a list of "ZONE {what}"')
        found = []
        for row in value:
            zone, _, rest = row.partition(" ") if isinstance(row, str) else ("", "", "")
            if not zone or not rest.strip():
                raise ValueError(f'{row!r} is not "ZONE {what}"')
            found.append((name(zone), parse(rest.strip())))
        return tuple(found)

    return rows


def network(value: Any) -> Any:
    """An IP network such as 192.0.2.0/24."""
    try:
        return ipaddress.ip_network(value)
    except ValueError as why:
        raise ValueError(str(why)) from None


# block -> field -> (parser, default, field of Settings); the users' words
_MS, _S = 10**6, 10**9
_BLOCKS: dict[str, dict[str, tuple[Callable[[Any], Any], Any, str | None]]] = {
    "service": {
        "zones": (names, MUST, "zones"),
        "zone": (name, MUST, "zone"),
        "planner": (number(0, 10_000, True), 0, "instance"),
        "planners": (number(1, 10_000, True), 1, "instance_count"),
        "proxies": (number(1, 100_000, True), MUST, "proxy_count"),
        "standing_lines": (number(1, 10_000, True), MUST, "subset_size"),
        "admission": (one_of("share", "none"), "share", "admission_mode"),
        "avoids_after": (number(0, 1000, True), 0, "ejection_failures"),
        "usual_tries": (number(0, 3, True), 1, "default_retry_policy"),
        "try_objectives": (number(0.01, 100), 1.0, "attempt_timeout_objectives"),
        "seed": (number(0, 2**63, True), MUST, None),
    },
    "rules": {
        "drain_grace": (span(100 * _MS), MUST, "drain_grace_ns"),
        "gone_binds": (flag, True, "removal_is_binding"),
        "start_capacity": (number(0.001, 1), MUST, "start_capacity_fraction"),
        "warm_within": (span(1), MUST, "max_warmup_ns"),
        "fall_multiple": (number(1, 1000), MUST, "overload_multiple"),
        "fall_span": (span(1), MUST, "overload_window_ns"),
        "bare_limit": (span(100 * _MS), MUST, "max_no_endpoint_ns"),
        "ask_within": (span(_S), None, "list_request_interval_ns"),
    },
    "channel": {
        "pace": (number(1), MUST, "egress_rate_entries_per_s"),
        "limit": (number(1), MUST, "egress_queue_limit_entries"),
        "message_lines": (number(0, 1000), MUST, "message_overhead_entries"),
        "message_limit": (number(0, 10_000, True), 0, "message_quota"),
        "message_window": (span(_S), 10 * _S, "message_quota_window_ns"),
        "way": (span(), 100 * _MS, "mean_push_delay_ns"),
        "way_most": (span(), 500 * _MS, "max_push_delay_ns"),
    },
    "reports": {
        "period": (span(100 * _MS, 60 * _S), _S, "report_interval_ns"),
        "lines": (number(1), MUST, "report_rate_entries_per_s"),
    },
    "prices": {
        "crossing": (number(0, 10), 0.0, "cross_zone_price"),
        "order": (number(0, 10), 0.0, "entry_price"),
    },
    "xds": {
        "listen": (address, MUST, None),
        "streams": (number(1, 100_000, True), 4096, None),
        "max_message": (size(2**10, 2**30), 4 * 2**20, None),
        "ack_within": (span(_S), 30 * _S, None),
        "read_within": (span(_S), 15 * _S, None),
        "proxy_rate": (number(0.001), 1.0, None),
    },
    "guard": {
        "mode": (one_of("enforce", "warn", "off"), "enforce", None),
        "warn": (rules, (), None),
        "line_part": (number(0.01, 1), 1.0, None),
        "late_part": (number(0, 1), 0.2, None),
        "cold_part": (number(0.05, 1), 0.6, None),
        "pool_most": (number(1, 100), 2.0, None),
        "step_part": (number(0.01, 1), 0.6, None),
        "channel_part": (number(0.05, 1), 0.7, None),
        "step_window": (span(100 * _MS, 60 * _S), 2 * _S, None),
    },
    "tables": {
        "most": (number(32, 100_000, True), 1000, None),
        "age": (span(_S), 3600 * _S, None),
        "rejected_part": (number(0.01, 1), 0.3, None),
        "back_most": (number(0, 100, True), 3, None),
        "back_within": (span(_S), 600 * _S, None),
        "back_for": (span(_S), 300 * _S, None),
        "canary_part": (number(0, 0.5), 0.0, None),
        "canary_for": (span(100 * _MS, 3600 * _S), 5 * _S, None),
        "canary_most": (span(_S, 3600 * _S), 30 * _S, None),
        "canary_step": (number(0.01, 1), 0.25, None),
    },
    "dns": {
        "listen": (address, None, None),
        "origin": (domain, None, None),
        "views": (by_zone(address, "address:port"), (), None),
        "subnets": (by_zone(network, "network"), (), None),
        "secondaries": (by_zone(address, "address:port"), (), None),
        "ttl_most": (span(_S, 3600 * _S), 30 * _S, None),
        "queries": (number(1), 1000.0, None),
        "responses": (number(0), 200.0, None),
        "slip": (number(0, 10, True), 2, None),
        "strangers": (number(1), 1000.0, None),
        "addresses": (number(1, 32, True), 4, None),
        "draws": (number(16, 1024, True), 256, None),
        "borrowed": (one_of("shared", "spare"), "shared", None),
        "shed": (one_of("none", "servfail"), "none", None),
        "expire": (span(2 * _S, 24 * 3600 * _S), 30 * _S, None),
        "rate": (number(0.001), 1.0, None),
        "calls_per_answer": (number(0.001), 1.0, None),
        "connections": (number(1, 10_000, True), 256, None),
        "idle": (span(100 * _MS, 60 * _S), 5 * _S, None),
    },
    "control": {"socket": (path, None, None)},
    "log": {"level": (one_of("debug", "info", "warning", "error"), "info", None)},
}
_OPERATION: dict[str, tuple[Callable[[Any], Any], Any, str | None]] = {
    "latency_objective": (span(_MS), MUST, "latency_objective_ns"),
    "integration_timeout": (span(_MS), MUST, "timeout_ns"),
    "billed_value": (number(), MUST, "value"),
    "late_value": (number(0, 1), 0.0, "late_value_fraction"),
    "repeats": (one_of("idempotent", "fingerprinted", "side-effecting"), MUST, "idempotency"),
    "repeat_group": (one_of("all", "zone", "cell"), "all", "deduplication_scope"),
    "repeat_window": (span(), 0, "deduplication_window_ns"),
    "own_zone": (flag, False, "zone_local"),
    "writes": (flag, False, "writes"),
}
_LISTS: dict[str, dict[str, tuple[Callable[[Any], Any], Any, str | None]]] = {
    "file": {"path": (path, MUST, None), "every": (span(10 * _MS, 60 * _S), 200 * _MS, None)},
    "http": {
        "url": (url, MUST, None),
        "every": (span(100 * _MS, 600 * _S), 5 * _S, None),
        "timeout": (span(10 * _MS, 60 * _S), 2 * _S, None),
    },
}
_NEEDED = ("service", "rules", "channel", "reports", "xds")


@dataclass(frozen=True)
class Config:
    """A checked file: the module's settings and seed, and the program's own plumbing by block."""

    settings: Settings
    seed: int
    list_kind: str  # "file" or "http"
    list: dict[str, Any]
    xds: dict[str, Any]
    guard: dict[str, Any]
    tables: dict[str, Any]
    dns: dict[str, Any]
    control: str | None
    log_level: str


def listed(parse: Callable[[Any], Any]) -> Callable[[Any], tuple[Any, ...]]:
    """A list of one thing."""

    def rows(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise ValueError(f"{value!r} is not a list")
        return tuple(parse(row) for row in value)

    return rows


def load(where: str) -> Config:
    """Read and check the file at `where`; raises `BadConfig`."""
    try:
        body = read(where)
    except Problem as why:
        raise BadConfig([why]) from None
    return Check(where).config(body)


class Check:
    """Collects what is wrong with one file."""

    def __init__(self, where: str) -> None:
        self.where, self.problems = where, []

    def wrong(self, line: int, field: str, cause: str) -> None:
        self.problems.append(Problem(self.where, line, field, cause))

    def fields(self, block: Block, table: dict[str, Any], called: str) -> dict[str, Any]:
        found = {}
        for key, (value, line) in block.values.items():
            if key not in table:
                self.wrong(line, f"{called}.{key}", f"unknown; known here: {', '.join(sorted(table))}")
                continue
            try:
                found[key] = table[key][0](value)
            except ValueError as why:
                self.wrong(line, f"{called}.{key}", str(why))
        for inner in block.blocks:
            self.wrong(inner.line, f"{called}.{inner.name}", "unknown block")
        for key, (_, default, _) in table.items():
            if key not in block.values:
                if default is MUST:
                    self.wrong(block.line, f"{called}.{key}", "missing")
                found[key] = default
        return found

    def config(self, body: Block) -> Config:
        for key, (_, line) in body.values.items():
            self.wrong(line, key, "unknown here; settings stand in blocks")
        seen: dict[str, Block] = {}
        operations, lists = [], []
        for block in body.blocks:
            called = " ".join([block.name, *block.labels])
            if block.name == "operation" and len(block.labels) == 1:
                operations.append((block, self.fields(block, _OPERATION, called)))
            elif block.name == "list" and block.labels and block.labels[0] in _LISTS:
                lists.append(block)
            elif block.name not in _BLOCKS or block.labels:
                known = ", ".join([*_BLOCKS, 'operation "NAME"', *(f'list "{k}"' for k in _LISTS)])
                self.wrong(block.line, called, f"unknown block; known: {known}")
            elif block.name in seen:
                self.wrong(block.line, called, f"stands twice, first on line {seen[block.name].line}")
            else:
                seen[block.name] = block
        for needed in _NEEDED:
            if needed not in seen:
                self.wrong(1, needed, "block is missing")
        values = {
            key: self.fields(seen.get(key, Block(key, (), 1)), table, key)
            for key, table in _BLOCKS.items()
            if key in seen or key not in _NEEDED
        }
        if not operations:
            self.wrong(1, "operation", "block is missing: one at least")
        called = [block.labels[0] for block, _ in operations]
        for block, _ in operations:
            if called.count(block.labels[0]) > 1:
                self.wrong(block.line, f"operation {block.labels[0]}", "stands twice")
        if len(lists) != 1:
            self.wrong(
                lists[1].line if lists else 1, "list", 'one block is needed: list "file" or list "http"'
            )
        source = lists[0] if lists else Block("list", ("file",), 1)
        table = {
            **_LISTS[source.labels[0]],
            "weights": (one_of("none", "nominal", "rough", "live"), "none", None),
        }
        asked = self.fields(source, table, f"list {source.labels[0]}") if lists else {}
        self.between(seen, values, operations)
        if self.problems:
            raise BadConfig(self.problems)
        return self.made(values, operations, source.labels[0], asked)

    def between(self, seen: dict[str, Block], values: dict[str, Any], operations: list[Any]) -> None:
        """What must hold between two fields."""
        service, channel = values.get("service", {}), values.get("channel", {})
        line = lambda block, key: seen[block].values.get(key, (None, seen[block].line))[1]  # noqa: E731
        if service.get("zones") and service.get("zone") and service["zone"] not in service["zones"]:
            self.wrong(line("service", "zone"), "service.zone", f"{service['zone']!r} is none of the zones")
        if service.get("planner", 0) >= service.get("planners", 1):
            self.wrong(line("service", "planner"), "service.planner", "must be below service.planners")
        dns = values.get("dns", {})
        if dns.get("listen") and not dns.get("origin"):
            self.wrong(seen["dns"].line, "dns.origin", "missing: answers need a name to stand under")
        for key in ("views", "subnets", "secondaries"):
            for zone, _ in dns.get(key) or ():
                if service.get("zones") and zone not in service["zones"]:
                    self.wrong(line("dns", key), f"dns.{key}", f"{zone!r} is none of the zones")
        if dns.get("origin") and service.get("zones"):
            try:
                Names(dns["origin"], [block.labels[0] for block, _ in operations], service["zones"])
            except BadName as why:
                self.wrong(line("dns", "origin"), "dns.origin", str(why))
        if channel.get("way", 0) > channel.get("way_most", 0):
            self.wrong(line("channel", "way"), "channel.way", "must not be above channel.way_most")
        for block, found in operations:
            if None not in (
                aim := found.get("latency_objective"),
                last := found.get("integration_timeout"),
            ) and (MUST not in (aim, last) and aim > last):
                where = block.values["latency_objective"][1]
                self.wrong(
                    where, f"operation {block.labels[0]}.latency_objective", "is above integration_timeout"
                )

    def made(self, values: dict[str, Any], operations: list[Any], kind: str, asked: dict[str, Any]) -> Config:
        given = {
            target: values[block][key]
            for block, table in _BLOCKS.items()
            for key, (_, _, target) in table.items()
            if target
        }
        rows = tuple(
            Operation(name=block.labels[0], **{_OPERATION[key][2]: value for key, value in found.items()})
            for block, found in operations
        )
        settings = Settings(
            operations=rows,
            weight_source=asked["weights"],
            list_needs_subscription=False,
            load_figures=(),
            load_source="none",
            may_probe=False,
            may_message_peers=False,
            key_range_count=0,
            single_owner=False,
            probe_price=0.0,
            **given,
        )
        return Config(
            settings,
            values["service"]["seed"],
            kind,
            asked,
            values["xds"],
            values["guard"],
            values["tables"],
            values["dns"],
            values["control"]["socket"],
            values["log"]["level"],
        )
