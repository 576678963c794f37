"""The wire's names and units on one side, the words of `swiftchute.interface` on the other."""

from collections.abc import Callable
from typing import Any

from swiftchute.interface import Call, Operation, Settings

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
                objective=c["slo_us"] * US,
                timeout=c["deadline_us"] * US,
                value=c["credit"],
                late_value=c.get("late_value") or 0.0,
                repeats=_REPEATS[c["semantics"]],
                repeat_group=c.get("group") or "all",
                repeat_window=(c.get("window_us") or 0) * US,
                own_zone=bool(k < len(local) and local[k]),
                writes=bool(k < len(writes) and writes[k]),
            )
            for k, c in enumerate(data["classes"])
        ),
        zones=tuple(data["dcs"]),
        zone=data["zone"],
        planner=data["ordinal"],
        planners=data["group_size"],
        asks_list=data["registry_mode"] == "subscribe",
        weights=_WEIGHTS.get(data["weight_source"], data["weight_source"]),
        load_fields=tuple(_LOADS.get(name, name) for name in stats.get("fields") or ()),
        load_by=_LOAD_BY.get(stats["via"], stats["via"]),
        may_probe=bool(permits["probes"]),
        may_tell=bool(permits["peer_messages"]),
        ask_within=None if ask is None else ask * US,
        drain_grace=rules["drain_grace_us"] * US,
        gone_binds=not rules.get("removal_not_binding"),
        start_capacity=rules["start_capacity"],
        warm_within=rules["warm_within_us"] * US,
        fall_multiple=rules["fall_multiple"],
        fall_span=rules["fall_us"] * US,
        bare_limit=facts["empty_for_us"] * US,
        proxies=facts["agents"],
        slices=facts["ranges"],
        single_owner=bool(facts["single_writer"]),
        admission=_ADMISSION.get(facts["admission"], facts["admission"]),
        usual_tries=facts["base_mode"],
        try_objectives=facts["per_try"],
        avoids_after=facts["fails_to_eject"],
        standing=facts["initial_set"],
        report_period=facts["interval_us"] * US,
        report_lines=facts["reports_per_s"],
        channel_pace=facts["egress_per_s"],
        channel_limit=facts["queue_cap"],
        message_lines=facts["per_message"],
        message_limit=facts["update_cap"],
        message_window=facts["update_window_us"] * US,
        way=facts["push_delay_us"] * US,
        way_most=facts["late_most_us"] * US,
        cross_price=prices.get("cross_zone") or 0.0,
        probe_price=prices.get("probe") or 0.0,
        order_price=facts.get("line_fee") or 0.0,
    )


def _load(fields: dict[str, Any]) -> dict[str, float] | None:
    report = fields.get("usage")
    return report and {_LOADS.get(name, name): value for name, value in report.items()}


def _entry(e: dict[str, Any]) -> tuple[Any, ...]:
    start = (e.get("last_start_us") or 0) * US
    return (e["server"], e["az"], e["model"], e["pack"], e["health"], e["share"], start)


_EVENTS: dict[str, Callable[[dict[str, Any]], Call]] = {
    "FLEET": lambda f: ("listed", (_SCOPES[f["scope"]], [_entry(e) for e in f.get("items") or ()])),
    "ATTACHED": lambda f: ("joined", (f["client_lb"], f["az"], f["share"], f["yes"])),
    "DROPPED_OFF": lambda f: ("left", (f["client_lb"],)),
    "DIGEST": lambda f: (
        "met",
        (f["az"], f["server"], f["many"], f["failed"], f["took_us"] * US, f["over_us"] * US, _load(f)),
    ),
    "USAGE": lambda f: ("arrived", (f["client_lb"], f["cls"], f["many"], f["failed"], f["over_us"] * US)),
    "INSTALLED": lambda f: ("applied", (f["client_lb"], f["serial"], f["took_us"] * US)),
    "WAKE": lambda f: ("woke", (f["cookie"],)),
    "PROBE_RESULT": lambda f: (
        "probed",
        (f["server"], _ENDINGS.get(f["ending"], f["ending"]), f["took_us"] * US, _load(f)),
    ),
    "NEIGHBOUR_SAYS": lambda f: ("told", (f["src_peer"], bytes.fromhex(f["payload"]))),
    "TENURE": lambda f: ("slice_given" if f["yes"] else "slice_taken", (f["set_id"],)),
    "STORED_LINE": lambda f: ("slice_line", (f["set_id"], f["server"], f["share"])),
    "KEY_LOAD": lambda f: (
        "slice_arrived",
        (f["set_id"], f["cls"], f["many"], f["failed"], f["over_us"] * US),
    ),
}


def call(name: str, fields: dict[str, Any]) -> Call:
    """Turn one event into a call; an unknown name raises KeyError."""
    return _EVENTS[name](fields)


class Outbox:
    """The writer of one instance's round: each verb becomes one action of the reply."""

    def __init__(self) -> None:
        """Start empty."""
        self.actions: list[dict[str, Any]] = []

    def _put(self, name: str, **fields: Any) -> None:
        self.actions.append({name: fields})

    def line(self, table: int, server: str, weight: float) -> None:
        self._put("UPSERT", set_id=table, server=server, share=weight)

    def clear(self, table: int) -> None:
        self._put("EMPTY", set_id=table)

    def bind(self, proxy: int, table: int, mask: int) -> None:
        self._put("HAND_TABLE", client_lb=proxy, set_id=table, lanes=mask)

    def admit(self, table: int | None, mask: int, level: float, tries: int) -> None:
        set_id = ALL_TABLES if table is None else table
        self._put("LEVEL", set_id=set_id, lanes=mask, let_in=level, retry_mode=tries)

    def withdraw(self, server: str, out: bool) -> None:
        self._put("PULL", server=server, yes=out)

    def mark(self, seal: int, everyone: bool) -> None:
        self._put("SEAL", serial=seal, yes=everyone)

    def probe(self, server: str) -> None:
        self._put("PING", server=server)

    def watch(self, on: bool) -> None:
        self._put("STREAM_CHANGES", yes=on)

    def fetch(self) -> None:
        self._put("GET_LIST")

    def timer(self, wait: int, token: int) -> None:
        self._put("TIMER", from_now_us=-(-wait // US), cookie=token)

    def tell(self, peer: int | None, data: bytes) -> None:
        self._put("POST", whom="*" if peer is None else peer, payload=data.hex())

    def log(self, text: str) -> None:
        self._put("RECORD", msg=text)

    def fault(self, text: str) -> None:
        self._put("FAULT", msg=text)
