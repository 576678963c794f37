"""The fields of a proxy's settings file, and its loader."""

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
from swiftchute.proxy.settings import (
    AdmissionDraw,
    Idempotency,
    LoadBalancing,
    PoolLimits,
    ProxyLimits,
    RouteSettings,
    ServerSettings,
)

_LIMITS = ProxyLimits()  # the defaults
_SERVER = ServerSettings()

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
    "pick": Field(one_of(*LoadBalancing), _LIMITS.load_balancing),
    "under_way": Field(number(1, 10**6, True), _LIMITS.max_in_flight),
    "server_under_way": Field(number(0, 10**6, True), _LIMITS.max_in_flight_per_endpoint),
    "avoid_after": Field(number(0, 1000, True), _LIMITS.ejection_failures),
    "avoid_for": Field(duration(10 * MILLISECOND_NS, 600 * SECOND_NS), _LIMITS.ejection_ns),
    "try_part": Field(number(0, 1), _LIMITS.retry_budget_fraction),
    "try_least": Field(number(0, 10_000), _LIMITS.min_retries_per_s),
    "refused_again": Field(one_of(*AdmissionDraw), _LIMITS.admission_draw),
    "connections": Field(number(1, 1000, True), _SERVER.pool.max_connections),
    "streams": Field(number(1, 10_000, True), _SERVER.pool.max_streams),
    "first": Field(number(1, 10_000, True), _SERVER.pool.initial_streams),
    "waiting": Field(number(1, 10**6, True), _SERVER.pool.max_waiting),
    "idle": Field(duration(100 * MILLISECOND_NS, 3600 * SECOND_NS), _SERVER.pool.idle_timeout_ns),
    "silent": Field(duration(100 * MILLISECOND_NS, 600 * SECOND_NS), _SERVER.silence_timeout_ns),
    "connect_within": Field(duration(10 * MILLISECOND_NS, 60 * SECOND_NS), _SERVER.connect_timeout_ns),
    "message_most": Field(size(1, 2**30), _SERVER.max_message_bytes),
    "buffered_most": Field(size(2**16), _SERVER.max_buffered_bytes),
    "callers": Field(number(1, 10**6, True), _SERVER.max_downstream_connections),
    "drain": Field(duration(0, 600 * SECOND_NS), _SERVER.drain_timeout_ns),
    "keep": Field(path, None),
    "keep_for": Field(duration(SECOND_NS, 7 * 24 * 3600 * SECOND_NS), 3600 * SECOND_NS),
}
_OPERATION: FieldTable = {
    "timeout": Field(duration(MILLISECOND_NS), REQUIRED),
    "repeats": Field(one_of(*Idempotency), REQUIRED),
}


@dataclass(frozen=True)
class ProxyConfig:
    """A proxy's checked settings file.

    Attributes:
        node: Name of the proxy.
        zone: Zone of the proxy.
        control_plane_servers: Host and port of each control plane instance.
        delta: Whether to use the incremental (delta) variant of xDS.
        endpoint_collections: Whether to subscribe to endpoints one by one (LEDS).
        request_rate_per_s: Expected request rate of the proxy.
        static_endpoints: "host:port" of the endpoints used before any table is received.
        seed: Seed of all random decisions.
        cache_path: File of the cached tables, None for no cache.
        cache_max_age_ns: Age past which cached tables are not used.
        limits: Limits and rules of the request path.
        server: Settings of connections and listeners.
        routes: Known operations by name.
        log_level: Lowest level that is logged.
    """

    node: str
    zone: str
    control_plane_servers: tuple[tuple[str, int], ...]
    delta: bool
    endpoint_collections: bool
    request_rate_per_s: float
    static_endpoints: tuple[str, ...]
    seed: int
    cache_path: str | None
    cache_max_age_ns: int
    limits: ProxyLimits
    server: ServerSettings
    routes: dict[str, RouteSettings]
    log_level: str


def load(path: str) -> ProxyConfig:
    """Read and check a proxy's settings file.

    Raises:
        ConfigError: The file is invalid; the error holds every problem with line, field and cause.
    """
    body = read(path)
    checker = Checker(path)
    checker.reject_top_level_fields(body)
    blocks: dict[str, Block] = {}
    values: dict[str, dict[str, Any]] = {}
    operations: dict[str, dict[str, Any]] = {}
    for block in body.blocks:
        if block.name == "operation" and len(block.labels) == 1:
            _add_operation(checker, block, operations)
        elif block.name in blocks:
            checker.add_problem(block.line, block.full_name, "is defined twice")
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
        checker.add_problem(blocks["proxy"].values["planners"].line, "proxy.planners", "[] names no server")
    checker.raise_problems()
    log = values.get("log") or checker.parse_fields(Block("log", (), 1), _LOG, "log")
    routes = {name: _make_route(name, row) for name, row in operations.items()}
    return _make_config(proxy, routes, log["level"])


def _add_operation(checker: Checker, block: Block, operations: dict[str, dict[str, Any]]) -> None:
    name = block.labels[0]
    values = checker.parse_fields(block, _OPERATION, block.full_name)
    if name in operations:
        checker.add_problem(block.line, block.full_name, "is defined twice")
    operations[name] = values


def _make_route(name: str, values: dict[str, Any]) -> RouteSettings:
    return RouteSettings(name, values["timeout"], Idempotency(values["repeats"]))


def _make_config(values: dict[str, Any], routes: dict[str, RouteSettings], log_level: str) -> ProxyConfig:
    return ProxyConfig(
        node=values["name"],
        zone=values["zone"],
        control_plane_servers=tuple(values["planners"]),
        delta=values["form"] == "delta",
        endpoint_collections=values["lines"],
        request_rate_per_s=values["rate"],
        static_endpoints=tuple(f"{host}:{port}" for host, port in values["standing"]),
        seed=values["seed"],
        cache_path=values["keep"],
        cache_max_age_ns=values["keep_for"],
        limits=_make_limits(values),
        server=_make_server_settings(values),
        routes=routes,
        log_level=log_level,
    )


def _make_limits(values: dict[str, Any]) -> ProxyLimits:
    return ProxyLimits(
        max_in_flight=values["under_way"],
        max_in_flight_per_endpoint=values["server_under_way"],
        load_balancing=LoadBalancing(values["pick"]),
        ejection_failures=values["avoid_after"],
        ejection_ns=values["avoid_for"],
        retry_budget_fraction=values["try_part"],
        min_retries_per_s=values["try_least"],
        admission_draw=AdmissionDraw(values["refused_again"]),
    )


def _make_server_settings(values: dict[str, Any]) -> ServerSettings:
    return ServerSettings(
        listen_address=values["listen"],
        pool=PoolLimits(
            max_connections=values["connections"],
            max_streams=values["streams"],
            initial_streams=values["first"],
            max_waiting=values["waiting"],
            idle_timeout_ns=values["idle"],
        ),
        silence_timeout_ns=values["silent"],
        connect_timeout_ns=values["connect_within"],
        max_message_bytes=values["message_most"],
        max_buffered_bytes=values["buffered_most"],
        max_downstream_connections=values["callers"],
        drain_timeout_ns=values["drain"],
    )


_LOG: FieldTable = {"level": Field(one_of("debug", "info", "warning", "error"), "info")}
_SINGLE_BLOCKS = {"proxy": _PROXY, "log": _LOG}
