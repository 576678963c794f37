"""The wire's names and units on one side, the words of `swiftchute.interface` on the other."""

from collections.abc import Callable
from typing import Any

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    Event,
    KeyRangeAssigned,
    KeyRangeDemandReport,
    KeyRangeEntryRestored,
    KeyRangeRevoked,
    PeerMessageReceived,
    ProbeCompleted,
    ProxyConnected,
    ProxyDisconnected,
    PushAcknowledged,
    TimerFired,
)
from swiftchute.api.settings import Operation, Settings

US = 1000  # the wire counts microseconds, the module nanoseconds
ALL_TABLES = 65535

_REPEATS = {"free": "idempotent", "guarded": "fingerprinted", "single_shot": "side-effecting"}
_SCOPES = {"incr": "changes", "total": "whole", "warm_copy": "held", "lost": "lost"}
_WEIGHTS = {"off": "none", "nominal": "nominal", "rough": "rough", "live": "live"}
_LOAD_BY = {"inline": "answers", "on_probe": "probe", "off": "none"}
_ADMISSION = {"fraction": "share", "per_second": "rate", "off": "none"}
_LOADS = {
    "rif": "in_hand",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "service_ms",
    "rate": "served_rate",
    "fail_rate": "error_rate",
}
_ENDINGS = {"success": "answered", "failure": "errored", "overloaded": "rate-limited"}


def settings(data: dict[str, Any]) -> Settings:
    """Read the settings of a start; keys this program does not know are ignored."""
    facts, rules, permits, stats = data["specifics"], data["rules"], data["permissions"], data["stats"]
    prices = data["prices"]
    local, writes = facts.get("stays_local") or [], facts.get("class_writes") or []
    ask = rules.get("ask_within_us")
    return Settings(
        operations=tuple(
            Operation(
                name=c["name"],
                latency_objective_ns=c["slo_us"] * US,
                timeout_ns=c["deadline_us"] * US,
                value=c["credit"],
                late_value_fraction=c.get("late_value") or 0.0,
                idempotency=_REPEATS[c["semantics"]],
                deduplication_scope=c.get("group") or "all",
                deduplication_window_ns=(c.get("window_us") or 0) * US,
                zone_local=bool(k < len(local) and local[k]),
                writes=bool(k < len(writes) and writes[k]),
            )
            for k, c in enumerate(data["classes"])
        ),
        zones=tuple(data["dcs"]),
        zone=data["zone"],
        instance=data["ordinal"],
        instance_count=data["group_size"],
        list_needs_subscription=data["registry_mode"] == "subscribe",
        weight_source=_WEIGHTS.get(data["weight_source"], data["weight_source"]),
        load_figures=tuple(_LOADS.get(name, name) for name in stats.get("fields") or ()),
        load_source=_LOAD_BY.get(stats["via"], stats["via"]),
        may_probe=bool(permits["probes"]),
        may_message_peers=bool(permits["peer_messages"]),
        list_request_interval_ns=None if ask is None else ask * US,
        drain_grace_ns=rules["drain_grace_us"] * US,
        removal_is_binding=not rules.get("removal_not_binding"),
        start_capacity_fraction=rules["start_capacity"],
        max_warmup_ns=rules["warm_within_us"] * US,
        overload_multiple=rules["fall_multiple"],
        overload_window_ns=rules["fall_us"] * US,
        max_no_endpoint_ns=facts["empty_for_us"] * US,
        proxy_count=facts["agents"],
        key_range_count=facts["ranges"],
        single_owner=bool(facts["single_writer"]),
        admission_mode=_ADMISSION.get(facts["admission"], facts["admission"]),
        default_retry_policy=facts["base_mode"],
        attempt_timeout_objectives=facts["per_try"],
        ejection_failures=facts["fails_to_eject"],
        subset_size=facts["initial_set"],
        report_interval_ns=facts["interval_us"] * US,
        report_rate_entries_per_s=facts["reports_per_s"],
        egress_rate_entries_per_s=facts["egress_per_s"],
        egress_queue_limit_entries=facts["queue_cap"],
        message_overhead_entries=facts["per_message"],
        message_quota=facts["update_cap"],
        message_quota_window_ns=facts["update_window_us"] * US,
        mean_push_delay_ns=facts["push_delay_us"] * US,
        max_push_delay_ns=facts["late_most_us"] * US,
        cross_zone_price=prices.get("cross_zone") or 0.0,
        probe_price=prices.get("probe") or 0.0,
        entry_price=facts.get("line_fee") or 0.0,
    )


def _load(fields: dict[str, Any]) -> dict[str, float] | None:
    report = fields.get("usage")
    return report and {_LOADS.get(name, name): value for name, value in report.items()}


def _endpoint(e: dict[str, Any]) -> EndpointRecord:
    start = (e.get("last_start_us") or 0) * US
    return EndpointRecord(e["server"], e["az"], e["model"], e["pack"], e["health"], e["share"], start)


def _load_report(f: dict[str, Any]) -> EndpointLoadReport:
    latency, window = f["took_us"] * US, f["over_us"] * US
    return EndpointLoadReport(f["az"], f["server"], f["many"], f["failed"], latency, window, _load(f))


def _demand_report(f: dict[str, Any]) -> DemandReport:
    return DemandReport(f["client_lb"], f["cls"], f["many"], f["failed"], f["over_us"] * US)


def _key_range_demand(f: dict[str, Any]) -> KeyRangeDemandReport:
    return KeyRangeDemandReport(f["set_id"], f["cls"], f["many"], f["failed"], f["over_us"] * US)


def _probe_completed(f: dict[str, Any]) -> ProbeCompleted:
    outcome = _ENDINGS.get(f["ending"], f["ending"])
    return ProbeCompleted(f["server"], outcome, f["took_us"] * US, _load(f))


_EVENTS: dict[str, Callable[[dict[str, Any]], Event]] = {
    "FLEET": lambda f: EndpointListUpdate(_SCOPES[f["scope"]], [_endpoint(e) for e in f.get("items") or ()]),
    "ATTACHED": lambda f: ProxyConnected(f["client_lb"], f["az"], f["share"], f["yes"]),
    "DROPPED_OFF": lambda f: ProxyDisconnected(f["client_lb"]),
    "DIGEST": _load_report,
    "USAGE": _demand_report,
    "INSTALLED": lambda f: PushAcknowledged(f["client_lb"], f["serial"], f["took_us"] * US),
    "WAKE": lambda f: TimerFired(f["cookie"]),
    "PROBE_RESULT": _probe_completed,
    "NEIGHBOUR_SAYS": lambda f: PeerMessageReceived(f["src_peer"], bytes.fromhex(f["payload"])),
    "TENURE": lambda f: KeyRangeAssigned(f["set_id"]) if f["yes"] else KeyRangeRevoked(f["set_id"]),
    "STORED_LINE": lambda f: KeyRangeEntryRestored(f["set_id"], f["server"], f["share"]),
    "KEY_LOAD": _key_range_demand,
}


def event(name: str, fields: dict[str, Any]) -> Event:
    """Translate one event of the wire; an unknown name raises KeyError."""
    return _EVENTS[name](fields)


class Outbox:
    """The writer of one instance's round: each verb becomes one action of the reply."""

    def __init__(self) -> None:
        """Start empty."""
        self.actions: list[dict[str, Any]] = []

    def _put(self, name: str, **fields: Any) -> None:
        self.actions.append({name: fields})

    def set_weight(self, table: int, server: str, weight: float) -> None:
        self._put("UPSERT", set_id=table, server=server, share=weight)

    def clear_table(self, table: int) -> None:
        self._put("EMPTY", set_id=table)

    def assign_table(self, proxy: int, table: int, mask: int) -> None:
        self._put("HAND_TABLE", client_lb=proxy, set_id=table, lanes=mask)

    def set_admission(self, table: int | None, mask: int, level: float, tries: int) -> None:
        set_id = ALL_TABLES if table is None else table
        self._put("LEVEL", set_id=set_id, lanes=mask, let_in=level, retry_mode=tries)

    def set_ejected(self, server: str, out: bool) -> None:
        self._put("PULL", server=server, yes=out)

    def request_ack(self, seal: int, everyone: bool) -> None:
        self._put("SEAL", serial=seal, yes=everyone)

    def probe(self, server: str) -> None:
        self._put("PING", server=server)

    def subscribe(self, on: bool) -> None:
        self._put("STREAM_CHANGES", yes=on)

    def fetch_list(self) -> None:
        self._put("GET_LIST")

    def start_timer(self, wait: int, token: int) -> None:
        self._put("TIMER", from_now_us=-(-wait // US), cookie=token)

    def send_to_peer(self, peer: int | None, data: bytes) -> None:
        self._put("POST", whom="*" if peer is None else peer, payload=data.hex())

    def log(self, text: str) -> None:
        self._put("RECORD", msg=text)

    def fault(self, text: str) -> None:
        self._put("FAULT", msg=text)
