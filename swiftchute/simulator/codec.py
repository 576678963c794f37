"""Codec of the simulator's wire protocol; no other module knows the names and units of the protocol.

A line of input is a batch: a time and, for each instance, the events since the last batch. A line of output
is the reply: for each instance, the actions of its policy. Both are JSON. Times are microseconds on the wire
and nanoseconds in `swiftchute.api`.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from swiftchute.api.endpoints import EndpointRecord, ListScope
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

NS_PER_US = 1000
ALL_TABLES = 65535  # table number that stands for all tables of an instance
ALL_PEERS = "*"
START, STOP, FAULT = "HELLO", "EXIT", "FAULT"

_IDEMPOTENCY = {"free": "idempotent", "guarded": "fingerprinted", "single_shot": "side-effecting"}
_LIST_SCOPES = {
    "incr": ListScope.DELTA,
    "total": ListScope.SNAPSHOT,
    "warm_copy": ListScope.CACHED,
    "lost": ListScope.UNAVAILABLE,
}
_WEIGHT_SOURCES = {"off": "none", "nominal": "nominal", "rough": "rough", "live": "live"}
_LOAD_SOURCES = {"inline": "answers", "on_probe": "probe", "off": "none"}
_ADMISSION_MODES = {"fraction": "share", "per_second": "rate", "off": "none"}
_LOAD_FIGURES = {
    "rif": "in_hand",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "service_ms",
    "rate": "served_rate",
    "fail_rate": "error_rate",
}
_PROBE_OUTCOMES = {"success": "answered", "failure": "errored", "overloaded": "rate-limited"}

WireObject = dict[str, Any]


class InstanceEvents(NamedTuple):
    """The events of one instance in a batch, not yet decoded."""

    instance: int
    events: list[Any]


class Batch(NamedTuple):
    """A line of input; its events are not yet decoded."""

    now_ns: int
    serial: int
    groups: list[InstanceEvents]


class InstanceStart(NamedTuple):
    """The settings and the seed with which an instance is started."""

    settings: Settings
    seed: int


def decode_batch(value: WireObject) -> Batch:
    """Decode a batch; raises KeyError or TypeError if a field is missing or of the wrong type."""
    now_ns, serial = value["now_us"] * NS_PER_US, value["serial"]
    return Batch(
        now_ns, serial, [InstanceEvents(group["planner_id"], group["in"]) for group in value["groups"]]
    )


def encode_reply(serial: int, actions: list[tuple[int, list[WireObject]]]) -> str:
    """Encode the reply to a batch, with the actions of each instance that has any."""
    groups = [{"planner_id": instance, "outbox": outbox} for instance, outbox in actions]
    return json.dumps({"serial": serial, "groups": groups}, separators=(",", ":"))


def decode_start(fields: WireObject) -> InstanceStart:
    """Decode the start of an instance; raises KeyError if a field is missing."""
    return InstanceStart(decode_settings(fields["profile_data"]), fields["init_seed"])


def decode_settings(data: WireObject) -> Settings:
    """Decode the settings of an instance.

    Args:
        data: The wire's description of the deployment; unknown keys are ignored.

    Returns:
        The settings.

    Raises:
        KeyError: A key is missing, or a value is not one that the protocol allows.
    """
    specifics, prices = data["specifics"], data["prices"]
    return Settings(
        operations=_decode_operations(data["classes"], specifics),
        zones=tuple(data["dcs"]),
        zone=data["zone"],
        instance=data["ordinal"],
        instance_count=data["group_size"],
        cross_zone_price=prices.get("cross_zone") or 0.0,
        probe_price=prices.get("probe") or 0.0,
        entry_price=specifics.get("line_fee") or 0.0,
        **_data_source_fields(data),
        **_rule_fields(data["rules"]),
        **_proxy_fields(specifics),
        **_channel_fields(specifics),
    )


def _decode_operations(classes: list[WireObject], specifics: WireObject) -> tuple[Operation, ...]:
    zone_local, writes = specifics.get("stays_local") or [], specifics.get("class_writes") or []
    return tuple(
        Operation(
            name=fields["name"],
            latency_objective_ns=fields["slo_us"] * NS_PER_US,
            timeout_ns=fields["deadline_us"] * NS_PER_US,
            value=fields["credit"],
            late_value_fraction=fields.get("late_value") or 0.0,
            idempotency=_IDEMPOTENCY[fields["semantics"]],
            deduplication_scope=fields.get("group") or "all",
            deduplication_window_ns=(fields.get("window_us") or 0) * NS_PER_US,
            zone_local=bool(index < len(zone_local) and zone_local[index]),
            writes=bool(index < len(writes) and writes[index]),
        )
        for index, fields in enumerate(classes)
    )


def _data_source_fields(data: WireObject) -> dict[str, Any]:
    """Return the settings for the data that an instance receives and may request."""
    permissions, stats = data["permissions"], data["stats"]
    weight_source, load_source = data["weight_source"], stats["via"]
    list_interval_us = data["rules"].get("ask_within_us")
    return {
        "list_needs_subscription": data["registry_mode"] == "subscribe",
        "weight_source": _WEIGHT_SOURCES.get(weight_source, weight_source),
        "load_figures": tuple(_LOAD_FIGURES.get(name, name) for name in stats.get("fields") or ()),
        "load_source": _LOAD_SOURCES.get(load_source, load_source),
        "may_probe": bool(permissions["probes"]),
        "may_message_peers": bool(permissions["peer_messages"]),
        "list_request_interval_ns": None if list_interval_us is None else list_interval_us * NS_PER_US,
    }


def _rule_fields(rules: WireObject) -> dict[str, Any]:
    """Return the settings for draining, removal and warm-up of endpoints."""
    return {
        "drain_grace_ns": rules["drain_grace_us"] * NS_PER_US,
        "removal_is_binding": not rules.get("removal_not_binding"),
        "start_capacity_fraction": rules["start_capacity"],
        "max_warmup_ns": rules["warm_within_us"] * NS_PER_US,
        "overload_multiple": rules["fall_multiple"],
        "overload_window_ns": rules["fall_us"] * NS_PER_US,
    }


def _proxy_fields(specifics: WireObject) -> dict[str, Any]:
    """Return the settings for proxies and key ranges."""
    admission = specifics["admission"]
    return {
        "max_no_endpoint_ns": specifics["empty_for_us"] * NS_PER_US,
        "proxy_count": specifics["agents"],
        "key_range_count": specifics["ranges"],
        "single_owner": bool(specifics["single_writer"]),
        "owner_lease_ns": (specifics.get("lease_us") or 0) * NS_PER_US,
        "write_lifetime_ns": (specifics.get("write_life_us") or 0) * NS_PER_US,
        "admission_mode": _ADMISSION_MODES.get(admission, admission),
        "default_retry_policy": specifics["base_mode"],
        "attempt_timeout_objectives": specifics["per_try"],
        "ejection_failures": specifics["fails_to_eject"],
        "subset_size": specifics["initial_set"],
    }


def _channel_fields(specifics: WireObject) -> dict[str, Any]:
    """Return the settings for load reports and for the channel to the proxies."""
    return {
        "report_interval_ns": specifics["interval_us"] * NS_PER_US,
        "report_rate_entries_per_s": specifics["reports_per_s"],
        "egress_rate_entries_per_s": specifics["egress_per_s"],
        "egress_queue_limit_entries": specifics["queue_cap"],
        "message_overhead_entries": specifics["per_message"],
        "message_quota": specifics["update_cap"],
        "message_quota_window_ns": specifics["update_window_us"] * NS_PER_US,
        "mean_push_delay_ns": specifics["push_delay_us"] * NS_PER_US,
        "max_push_delay_ns": specifics["late_most_us"] * NS_PER_US,
    }


def decode_event(name: str, fields: WireObject) -> Event:
    """Decode one event.

    Args:
        name: The name of the event on the wire.
        fields: Its fields.

    Returns:
        The event.

    Raises:
        KeyError: The name is unknown, or a field is missing.
        TypeError: A field is of the wrong type.
        ValueError: A field has an invalid value.
    """
    return _EVENT_DECODERS[name](fields)


def _endpoint_list_update(fields: WireObject) -> EndpointListUpdate:
    records = [_endpoint_record(item) for item in fields.get("items") or ()]
    return EndpointListUpdate(_LIST_SCOPES[fields["scope"]], records)


def _endpoint_record(fields: WireObject) -> EndpointRecord:
    return EndpointRecord(
        fields["server"],
        fields["az"],
        fields["model"],
        fields["pack"],
        fields["health"],
        fields["share"],
        (fields.get("last_start_us") or 0) * NS_PER_US,
    )


def _endpoint_load_report(fields: WireObject) -> EndpointLoadReport:
    return EndpointLoadReport(
        fields["az"],
        fields["server"],
        fields["many"],
        fields["failed"],
        fields["took_us"] * NS_PER_US,
        fields["over_us"] * NS_PER_US,
        _load_figures(fields),
    )


def _load_figures(fields: WireObject) -> dict[str, float] | None:
    usage = fields.get("usage")
    return usage and {_LOAD_FIGURES.get(name, name): value for name, value in usage.items()}


def _proxy_connected(fields: WireObject) -> ProxyConnected:
    return ProxyConnected(fields["client_lb"], fields["az"], fields["share"], fields["yes"])


def _proxy_disconnected(fields: WireObject) -> ProxyDisconnected:
    return ProxyDisconnected(fields["client_lb"])


def _demand_report(fields: WireObject) -> DemandReport:
    window_ns = fields["over_us"] * NS_PER_US
    return DemandReport(fields["client_lb"], fields["cls"], fields["many"], fields["failed"], window_ns)


def _push_acknowledged(fields: WireObject) -> PushAcknowledged:
    return PushAcknowledged(fields["client_lb"], fields["serial"], fields["took_us"] * NS_PER_US)


def _timer_fired(fields: WireObject) -> TimerFired:
    return TimerFired(fields["cookie"])


def _probe_completed(fields: WireObject) -> ProbeCompleted:
    ending: str = fields["ending"]
    outcome = _PROBE_OUTCOMES.get(ending, ending)
    return ProbeCompleted(fields["server"], outcome, fields["took_us"] * NS_PER_US, _load_figures(fields))


def _peer_message_received(fields: WireObject) -> PeerMessageReceived:
    return PeerMessageReceived(fields["src_peer"], bytes.fromhex(fields["payload"]))


def _key_range_ownership(fields: WireObject) -> KeyRangeAssigned | KeyRangeRevoked:
    return KeyRangeAssigned(fields["set_id"]) if fields["yes"] else KeyRangeRevoked(fields["set_id"])


def _key_range_entry_restored(fields: WireObject) -> KeyRangeEntryRestored:
    return KeyRangeEntryRestored(fields["set_id"], fields["server"], fields["share"])


def _key_range_demand_report(fields: WireObject) -> KeyRangeDemandReport:
    window_ns = fields["over_us"] * NS_PER_US
    return KeyRangeDemandReport(fields["set_id"], fields["cls"], fields["many"], fields["failed"], window_ns)


_EVENT_DECODERS: dict[str, Callable[[WireObject], Event]] = {
    "FLEET": _endpoint_list_update,
    "ATTACHED": _proxy_connected,
    "DROPPED_OFF": _proxy_disconnected,
    "DIGEST": _endpoint_load_report,
    "USAGE": _demand_report,
    "INSTALLED": _push_acknowledged,
    "WAKE": _timer_fired,
    "PROBE_RESULT": _probe_completed,
    "NEIGHBOUR_SAYS": _peer_message_received,
    "TENURE": _key_range_ownership,
    "STORED_LINE": _key_range_entry_restored,
    "KEY_LOAD": _key_range_demand_report,
}


class ActionEncoder:
    """Encodes the commands of one round of an instance; each command becomes one action of the reply.

    It implements `swiftchute.api.commands.CommandSink`.

    Attributes:
        actions: The actions, in the order of the commands.
    """

    def __init__(self) -> None:
        """Create an encoder without any action."""
        self.actions: list[WireObject] = []

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Set the weight of an endpoint in a table; 0 removes the entry."""
        self.actions.append({"UPSERT": {"set_id": table, "server": endpoint, "share": weight}})

    def clear_table(self, table: int) -> None:
        """Remove all entries and admission rates of a table."""
        self.actions.append({"EMPTY": {"set_id": table}})

    def assign_table(self, proxy: int, table: int, operation_mask: int) -> None:
        """Make a proxy use a table for the operations of the mask."""
        self.actions.append({"HAND_TABLE": {"client_lb": proxy, "set_id": table, "lanes": operation_mask}})

    def set_admission(
        self, table: int | None, operation_mask: int, admission_rate: float, retry_policy: int
    ) -> None:
        """Set the share of requests to admit and the retry policy, in one table or (None) in all."""
        fields = {
            "set_id": ALL_TABLES if table is None else table,
            "lanes": operation_mask,
            "let_in": admission_rate,
            "retry_mode": retry_policy,
        }
        self.actions.append({"LEVEL": fields})

    def set_ejected(self, endpoint: str, ejected: bool) -> None:
        """Eject an endpoint from the tables of all connected proxies, or restore it."""
        self.actions.append({"PULL": {"server": endpoint, "yes": ejected}})

    def request_ack(self, nonce: int, everyone: bool) -> None:
        """Request an acknowledgement of this round, from the proxies it sends to or from all."""
        self.actions.append({"SEAL": {"serial": nonce, "yes": everyone}})

    def probe(self, endpoint: str) -> None:
        """Start a health check of an endpoint."""
        self.actions.append({"PING": {"server": endpoint}})

    def subscribe(self, enabled: bool) -> None:
        """Start or end the subscription to the endpoint list."""
        self.actions.append({"STREAM_CHANGES": {"yes": enabled}})

    def fetch_list(self) -> None:
        """Request the whole endpoint list once."""
        self.actions.append({"GET_LIST": {}})

    def start_timer(self, delay_ns: int, timer_id: int) -> None:
        """Deliver `TimerFired` after a delay, rounded up to microseconds."""
        self.actions.append({"TIMER": {"from_now_us": -(-delay_ns // NS_PER_US), "cookie": timer_id}})

    def send_to_peer(self, peer: int | None, payload: bytes) -> None:
        """Send bytes to one peer, or to all (None)."""
        recipient = ALL_PEERS if peer is None else peer
        self.actions.append({"POST": {"whom": recipient, "payload": payload.hex()}})

    def log(self, text: str) -> None:
        """Write a line for the operators."""
        self.actions.append({"RECORD": {"msg": text}})

    def report_fault(self, text: str) -> None:
        """Report an exception raised by the policy."""
        self.actions.append({FAULT: {"msg": text}})

    @property
    def ends_with_fault(self) -> bool:
        """Whether the last action reports an exception."""
        return bool(self.actions) and FAULT in self.actions[-1]
