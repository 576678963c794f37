"""The codec: every event, every action, and the settings of a start."""

import pytest

from swiftchute.api.endpoints import EndpointRecord, ListScope
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
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
from swiftchute.simulator import codec
from tests.simulator.test_host import PROFILE

RECORD = {"server": "a:1", "az": "east", "model": "k", "pack": 2, "health": "draining", "share": 1.5,
          "last_start_us": 7}  # fmt: skip
DIGEST = {"az": "east", "server": "a:1", "many": 4, "failed": 1, "took_us": 250, "over_us": 500}
DEMAND = {"cls": "read", "many": 9, "failed": 2, "over_us": 500}
EVENTS = [
    ("FLEET", {"scope": "incr", "items": [RECORD]},
     EndpointListUpdate(ListScope.DELTA, [EndpointRecord("a:1", "east", "k", 2, "draining", 1.5, 7_000)])),
    ("FLEET", {"scope": "total", "items": [RECORD | {"last_start_us": None}]},
     EndpointListUpdate(ListScope.SNAPSHOT, [EndpointRecord("a:1", "east", "k", 2, "draining", 1.5, 0)])),
    ("FLEET", {"scope": "warm_copy", "items": []}, EndpointListUpdate(ListScope.CACHED, [])),
    ("FLEET", {"scope": "lost"}, EndpointListUpdate(ListScope.UNAVAILABLE, [])),
    ("ATTACHED", {"client_lb": 3, "az": "east", "share": 2.5, "yes": True},
     ProxyConnected(3, "east", 2.5, True)),
    ("DROPPED_OFF", {"client_lb": 3}, ProxyDisconnected(3)),
    ("DIGEST", DIGEST, EndpointLoadReport("east", "a:1", 4, 1, 250_000, 500_000, None)),
    ("DIGEST", DIGEST | {"usage": {"rif": 2, "q": 1, "lat_ms": 3.5, "other": 4}},
     EndpointLoadReport("east", "a:1", 4, 1, 250_000, 500_000,
                        {"in_hand": 2, "queued": 1, "service_ms": 3.5, "other": 4})),
    ("USAGE", DEMAND | {"client_lb": 3}, DemandReport(3, "read", 9, 2, 500_000)),
    ("INSTALLED", {"client_lb": 3, "serial": 8, "took_us": 40}, PushAcknowledged(3, 8, 40_000)),
    ("WAKE", {"cookie": 1}, TimerFired(1)),
    ("PROBE_RESULT", {"server": "a:1", "ending": "overloaded", "took_us": 5},
     ProbeCompleted("a:1", "rate-limited", 5_000, None)),
    ("PROBE_RESULT", {"server": "a:1", "ending": "timeout", "took_us": 5},
     ProbeCompleted("a:1", "timeout", 5_000, None)),
    ("NEIGHBOUR_SAYS", {"src_peer": 2, "payload": "6869"}, PeerMessageReceived(2, b"hi")),
    ("TENURE", {"set_id": 4, "yes": True}, KeyRangeAssigned(4)),
    ("TENURE", {"set_id": 4, "yes": False}, KeyRangeRevoked(4)),
    ("STORED_LINE", {"set_id": 4, "server": "a:1", "share": 1.0}, KeyRangeEntryRestored(4, "a:1", 1.0)),
    ("KEY_LOAD", DEMAND | {"set_id": 4}, KeyRangeDemandReport(4, "read", 9, 2, 500_000)),
]  # fmt: skip


@pytest.mark.parametrize("name, fields, event", EVENTS)
def test_event_is_decoded(name, fields, event):
    assert codec.decode_event(name, fields) == event


@pytest.mark.parametrize(
    "name, fields, error",
    [
        ("GUESS", {}, KeyError),
        ("WAKE", {}, KeyError),
        ("FLEET", {"scope": "some"}, KeyError),
        ("NEIGHBOUR_SAYS", {"src_peer": 2, "payload": "no hex"}, ValueError),
    ],
)
def test_unknown_event_or_invalid_field_raises(name, fields, error):
    with pytest.raises(error):
        codec.decode_event(name, fields)


@pytest.mark.parametrize(
    "command, arguments, action",
    [
        ("set_weight", (1, "a:1", 0.5), {"UPSERT": {"set_id": 1, "server": "a:1", "share": 0.5}}),
        ("clear_table", (1,), {"EMPTY": {"set_id": 1}}),
        ("assign_table", (4, 1, 3), {"HAND_TABLE": {"client_lb": 4, "set_id": 1, "lanes": 3}}),
        ("set_admission", (1, 2, 0.75, 1),
         {"LEVEL": {"set_id": 1, "lanes": 2, "let_in": 0.75, "retry_mode": 1}}),
        ("set_admission", (None, 0, 0.75, 1),
         {"LEVEL": {"set_id": 65535, "lanes": 0, "let_in": 0.75, "retry_mode": 1}}),
        ("set_ejected", ("a:1", True), {"PULL": {"server": "a:1", "yes": True}}),
        ("request_ack", (9, False), {"SEAL": {"serial": 9, "yes": False}}),
        ("probe", ("a:1",), {"PING": {"server": "a:1"}}),
        ("subscribe", (True,), {"STREAM_CHANGES": {"yes": True}}),
        ("fetch_list", (), {"GET_LIST": {}}),
        ("start_timer", (1500, 2), {"TIMER": {"from_now_us": 2, "cookie": 2}}),  # rounded up
        ("send_to_peer", (None, b"hi"), {"POST": {"whom": "*", "payload": "6869"}}),
        ("send_to_peer", (2, b"hi"), {"POST": {"whom": 2, "payload": "6869"}}),
        ("log", ("text",), {"RECORD": {"msg": "text"}}),
        ("report_fault", ("text",), {"FAULT": {"msg": "text"}}),
    ],
)  # fmt: skip
def test_command_is_encoded(command, arguments, action):
    encoder = codec.ActionEncoder()
    getattr(encoder, command)(*arguments)
    assert encoder.actions == [action]
    assert list(encoder.actions[0][next(iter(action))]) == list(next(iter(action.values())))  # order of keys
    assert encoder.ends_with_fault == (command == "report_fault")


def test_settings_are_decoded_with_their_full_names_and_in_nanoseconds():
    settings = codec.decode_settings(PROFILE)
    (operation,) = settings.operations
    assert (operation.name, operation.latency_objective_ns, operation.idempotency) == (
        "read",
        1_200_000_000,
        "idempotent",
    )
    assert (settings.zones, settings.zone, settings.instance, settings.instance_count) == (
        ("east",),
        "east",
        0,
        1,
    )
    assert (settings.admission_mode, settings.weight_source, settings.load_source) == (
        "share",
        "none",
        "none",
    )
    assert (settings.drain_grace_ns, settings.max_warmup_ns) == (2_000_000_000, 15_000_000_000)
    assert (settings.message_quota, settings.egress_queue_limit_entries) == (20, 2000)
    assert settings.removal_is_binding
    assert not settings.list_needs_subscription
    assert settings.list_request_interval_ns is None


@pytest.mark.parametrize("key", ["classes", "dcs", "rules", "specifics", "prices", "permissions", "stats"])
def test_settings_without_a_section_raise(key):
    with pytest.raises(KeyError):
        codec.decode_settings({name: value for name, value in PROFILE.items() if name != key})
