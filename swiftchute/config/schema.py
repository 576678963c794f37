"""The fields of an instance's settings file by block, and the typed result.

This is the only module that maps the file's field names to those of `Settings`. It makes no policy decisions:
the defaults are those of the process itself.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from swiftchute.api.settings import Settings
from swiftchute.config.checker import REQUIRED, Field, FieldTable
from swiftchute.config.values import (
    MILLISECOND_NS,
    SECOND_NS,
    address,
    by_zone,
    domain,
    duration,
    flag,
    name,
    names,
    network,
    number,
    one_of,
    path,
    safety_rules,
    size,
    url,
)

INSTANCE_BLOCKS: dict[str, FieldTable] = {
    "service": {
        "zones": Field(names, REQUIRED, "zones"),
        "zone": Field(name, REQUIRED, "zone"),
        "planner": Field(number(0, 10_000, True), 0, "instance"),
        "planners": Field(number(1, 10_000, True), 1, "instance_count"),
        "proxies": Field(number(1, 100_000, True), REQUIRED, "proxy_count"),
        "standing_lines": Field(number(1, 10_000, True), REQUIRED, "subset_size"),
        "admission": Field(one_of("share", "none"), "share", "admission_mode"),
        "avoids_after": Field(number(0, 1000, True), 0, "ejection_failures"),
        "usual_tries": Field(number(0, 3, True), 1, "default_retry_policy"),
        "try_objectives": Field(number(0.01, 100), 1.0, "attempt_timeout_objectives"),
        "seed": Field(number(0, 2**63, True), REQUIRED),
    },
    "rules": {
        "drain_grace": Field(duration(100 * MILLISECOND_NS), REQUIRED, "drain_grace_ns"),
        "gone_binds": Field(flag, True, "removal_is_binding"),
        "start_capacity": Field(number(0.001, 1), REQUIRED, "start_capacity_fraction"),
        "warm_within": Field(duration(1), REQUIRED, "max_warmup_ns"),
        "fall_multiple": Field(number(1, 1000), REQUIRED, "overload_multiple"),
        "fall_span": Field(duration(1), REQUIRED, "overload_window_ns"),
        "bare_limit": Field(duration(100 * MILLISECOND_NS), REQUIRED, "max_no_endpoint_ns"),
        "ask_within": Field(duration(SECOND_NS), None, "list_request_interval_ns"),
    },
    "channel": {
        "pace": Field(number(1), REQUIRED, "egress_rate_entries_per_s"),
        "limit": Field(number(1), REQUIRED, "egress_queue_limit_entries"),
        "message_lines": Field(number(0, 1000), REQUIRED, "message_overhead_entries"),
        "message_limit": Field(number(0, 10_000, True), 0, "message_quota"),
        "message_window": Field(duration(SECOND_NS), 10 * SECOND_NS, "message_quota_window_ns"),
        "way": Field(duration(), 100 * MILLISECOND_NS, "mean_push_delay_ns"),
        "way_most": Field(duration(), 500 * MILLISECOND_NS, "max_push_delay_ns"),
    },
    "reports": {
        "period": Field(duration(100 * MILLISECOND_NS, 60 * SECOND_NS), SECOND_NS, "report_interval_ns"),
        "lines": Field(number(1), REQUIRED, "report_rate_entries_per_s"),
    },
    "prices": {
        "crossing": Field(number(0, 10), 0.0, "cross_zone_price"),
        "order": Field(number(0, 10), 0.0, "entry_price"),
    },
    "xds": {
        "listen": Field(address, REQUIRED),
        "streams": Field(number(1, 100_000, True), 4096),
        "max_message": Field(size(2**10, 2**30), 4 * 2**20),
        "ack_within": Field(duration(SECOND_NS), 30 * SECOND_NS),
        "read_within": Field(duration(SECOND_NS), 15 * SECOND_NS),
        "proxy_rate": Field(number(0.001), 1.0),
    },
    "guard": {
        "mode": Field(one_of("enforce", "warn", "off"), "enforce"),
        "warn": Field(safety_rules, ()),
        "line_part": Field(number(0.01, 1), 1.0),
        "late_part": Field(number(0, 1), 0.2),
        "cold_part": Field(number(0.05, 1), 0.6),
        "pool_most": Field(number(1, 100), 2.0),
        "step_part": Field(number(0.01, 1), 0.6),
        "channel_part": Field(number(0.05, 1), 0.7),
        "step_window": Field(duration(100 * MILLISECOND_NS, 60 * SECOND_NS), 2 * SECOND_NS),
    },
    "tables": {
        "most": Field(number(32, 100_000, True), 1000),
        "age": Field(duration(SECOND_NS), 3600 * SECOND_NS),
        "rejected_part": Field(number(0.01, 1), 0.3),
        "back_most": Field(number(0, 100, True), 3),
        "back_within": Field(duration(SECOND_NS), 600 * SECOND_NS),
        "back_for": Field(duration(SECOND_NS), 300 * SECOND_NS),
        "canary_part": Field(number(0, 0.5), 0.0),
        "canary_for": Field(duration(100 * MILLISECOND_NS, 3600 * SECOND_NS), 5 * SECOND_NS),
        "canary_most": Field(duration(SECOND_NS, 3600 * SECOND_NS), 30 * SECOND_NS),
        "canary_step": Field(number(0.01, 1), 0.25),
    },
    "dns": {
        "listen": Field(address, None),
        "origin": Field(domain, None),
        "views": Field(by_zone(address, "address:port"), ()),
        "subnets": Field(by_zone(network, "network"), ()),
        "secondaries": Field(by_zone(address, "address:port"), ()),
        "ttl_most": Field(duration(SECOND_NS, 3600 * SECOND_NS), 30 * SECOND_NS),
        "queries": Field(number(1), 1000.0),
        "responses": Field(number(0), 200.0),
        "slip": Field(number(0, 10, True), 2),
        "strangers": Field(number(1), 1000.0),
        "addresses": Field(number(1, 32, True), 4),
        "draws": Field(number(16, 1024, True), 256),
        "borrowed": Field(one_of("shared", "spare"), "shared"),
        "shed": Field(one_of("none", "servfail"), "none"),
        "expire": Field(duration(2 * SECOND_NS, 24 * 3600 * SECOND_NS), 30 * SECOND_NS),
        "rate": Field(number(0.001), 1.0),
        "calls_per_answer": Field(number(0.001), 1.0),
        "connections": Field(number(1, 10_000, True), 256),
        "idle": Field(duration(100 * MILLISECOND_NS, 60 * SECOND_NS), 5 * SECOND_NS),
    },
    "control": {"socket": Field(path, None)},
    "log": {"level": Field(one_of("debug", "info", "warning", "error"), "info")},
}
OPERATION_FIELDS: FieldTable = {
    "latency_objective": Field(duration(MILLISECOND_NS), REQUIRED, "latency_objective_ns"),
    "integration_timeout": Field(duration(MILLISECOND_NS), REQUIRED, "timeout_ns"),
    "billed_value": Field(number(), REQUIRED, "value"),
    "late_value": Field(number(0, 1), 0.0, "late_value_fraction"),
    "repeats": Field(one_of("idempotent", "fingerprinted", "side-effecting"), REQUIRED, "idempotency"),
    "repeat_group": Field(one_of("all", "zone", "cell"), "all", "deduplication_scope"),
    "repeat_window": Field(duration(), 0, "deduplication_window_ns"),
    "own_zone": Field(flag, False, "zone_local"),
    "writes": Field(flag, False, "writes"),
}
ENDPOINT_LIST_BLOCKS: dict[str, FieldTable] = {
    "file": {
        "path": Field(path, REQUIRED),
        "every": Field(duration(10 * MILLISECOND_NS, 60 * SECOND_NS), 200 * MILLISECOND_NS),
    },
    "http": {
        "url": Field(url, REQUIRED),
        "every": Field(duration(100 * MILLISECOND_NS, 600 * SECOND_NS), 5 * SECOND_NS),
        "timeout": Field(duration(10 * MILLISECOND_NS, 60 * SECOND_NS), 2 * SECOND_NS),
    },
}
WEIGHT_SOURCE_FIELD = Field(one_of("none", "nominal", "rough", "live"), "none")
REQUIRED_BLOCKS = ("service", "rules", "channel", "reports", "xds")


@dataclass(frozen=True)
class Config:
    """A checked settings file: the policy's settings and seed, and the process's own settings by block."""

    settings: Settings
    seed: int
    list_kind: str  # "file" or "http"
    list: Mapping[str, Any]
    xds: Mapping[str, Any]
    guard: Mapping[str, Any]
    tables: Mapping[str, Any]
    dns: Mapping[str, Any]
    control: str | None  # path of the admin socket
    log_level: str
