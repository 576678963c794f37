"""The host: batches and replies, malformed input, starts and stops, faults of policies."""

import io
import json

import pytest

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import EndpointListUpdate, EndpointLoadReport
from swiftchute.simulator.host import serve

PROFILE = {
    "classes": [{"name": "read", "slo_us": 1200000, "deadline_us": 4000000, "credit": 3.0,
                 "semantics": "free"}],
    "dcs": ["east"], "zone": "east", "ordinal": 0, "group_size": 1, "registry_mode": "automatic",
    "weight_source": "off", "stats": {"fields": [], "via": "off"}, "prices": {}, "unheard_of": 1,
    "permissions": {"probes": False, "peer_messages": False},
    "rules": {"drain_grace_us": 2000000, "fall_multiple": 2.5, "fall_us": 1500000, "start_capacity": 0.2,
              "warm_within_us": 15000000},
    "specifics": {"admission": "fraction", "agents": 2, "base_mode": 1, "egress_per_s": 2000,
                  "empty_for_us": 4000000,
                  "fails_to_eject": 0, "initial_set": 6, "interval_us": 500000, "late_most_us": 300000,
                  "per_message": 6, "per_try": 1, "push_delay_us": 100000, "queue_cap": 2000, "ranges": 0,
                  "reports_per_s": 100, "selects_by": "random", "single_writer": False, "update_cap": 20,
                  "update_window_us": 10000000},
}  # fmt: skip
HELLO = {"HELLO": {"init_seed": 7, "profile_data": PROFILE}}


class RecordingPolicy:
    """A policy that records its rounds and issues the commands of `issue_commands`, if a test sets it."""

    rounds: list = []
    issue_commands = None

    def __init__(self, settings, seed):
        self.settings, self.seed = settings, seed

    def reconcile(self, now_ns, events, commands):
        RecordingPolicy.rounds.append((self.seed, now_ns, events))
        if RecordingPolicy.issue_commands:
            RecordingPolicy.issue_commands(commands)


@pytest.fixture
def run_host():
    """A function that serves lines of input and returns the exit code, the replies and the error output."""
    RecordingPolicy.rounds, RecordingPolicy.issue_commands = [], None

    def run(*texts):
        replies, errors = io.StringIO(), io.StringIO()
        code = serve(io.BytesIO("".join(t + "\n" for t in texts).encode()), replies, errors, RecordingPolicy)
        return code, [json.loads(line) for line in replies.getvalue().splitlines()], errors.getvalue()

    return run


def batch(*events, instance=3, now=5, serial=9):
    return json.dumps(
        {"now_us": now, "serial": serial, "groups": [{"planner_id": instance, "in": list(events)}]}
    )


def test_empty_batch_gets_an_empty_reply(run_host):
    assert run_host('{"now_us":1,"serial":4,"groups":[]}') == (0, [{"serial": 4, "groups": []}], "")


def test_events_are_decoded_with_their_full_names_and_in_nanoseconds(run_host):
    digest = {
        "az": "east",
        "server": "a:1",
        "many": 4,
        "failed": 1,
        "took_us": 250,
        "over_us": 500,
        "usage": None,
    }
    entry = {"server": "a:1", "az": "east", "model": "k", "pack": 2, "health": "ready", "share": 1.5,
             "last_start_us": None}  # fmt: skip
    run_host(
        batch(HELLO, {"FLEET": {"serial": 1, "scope": "warm_copy", "items": [entry]}}, {"DIGEST": digest})
    )
    ((seed, now_ns, events),) = RecordingPolicy.rounds
    assert (seed, now_ns) == (7, 5000)
    assert events == [
        EndpointListUpdate(ListScope.CACHED, [("a:1", "east", "k", 2, "ready", 1.5, 0)]),
        EndpointLoadReport("east", "a:1", 4, 1, 250000, 500000, None),
    ]


def test_commands_are_encoded_as_actions(run_host):
    def issue_commands(commands):
        commands.set_weight(1, "a:1", 0.5)
        commands.assign_table(4, 1, 3)
        commands.set_admission(None, 0, 0.75, 1)
        commands.send_to_peer(None, b"hi")
        commands.start_timer(1500, 2)

    RecordingPolicy.issue_commands = issue_commands
    code, replies, _ = run_host(batch(HELLO))
    assert (code, replies[0]["serial"]) == (0, 9)
    assert replies[0]["groups"] == [{"planner_id": 3, "outbox": [
        {"UPSERT": {"set_id": 1, "server": "a:1", "share": 0.5}},
        {"HAND_TABLE": {"client_lb": 4, "set_id": 1, "lanes": 3}},
        {"LEVEL": {"set_id": 65535, "lanes": 0, "let_in": 0.75, "retry_mode": 1}},
        {"POST": {"whom": "*", "payload": "6869"}},
        {"TIMER": {"from_now_us": 2, "cookie": 2}},
    ]}]  # fmt: skip


def test_restart_within_a_batch_drops_earlier_events(run_host):
    disconnected = {"DROPPED_OFF": {"client_lb": 1}}
    run_host(batch(HELLO), batch(disconnected, {"EXIT": {}}, {"HELLO": HELLO["HELLO"] | {"init_seed": 8}}))
    assert RecordingPolicy.rounds[-1] == (8, 5000, [])


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("{nonsense", "line 1: not JSON"),
        ('{"serial":1,"groups":[]}', "line 1: not a batch"),
        (
            batch({"WAKE": {"cookie": 1}}),
            "line 1, instance 3, event 1: WAKE for an instance that was not",
        ),
        (batch(HELLO, {"GUESS": {}}), "line 1, instance 3, event 2: GUESS: unknown"),
        (
            batch(HELLO, {"WAKE": {}}),
            "line 1, instance 3, event 2: WAKE: unknown event, or a field is missing",
        ),
        (batch(HELLO, 5), "line 1, instance 3, event 2: not an event"),
    ],
)
def test_malformed_input_is_reported_in_one_line_and_ends_the_run(run_host, text, message):
    code, replies, errors = run_host(text)
    assert (code != 0, replies) == (True, [])
    assert message in errors
    assert errors.count("\n") == 1


def test_exception_in_a_policy_becomes_the_fault_of_its_instance(run_host):
    def issue_commands(commands):
        raise ValueError("no such thing")

    RecordingPolicy.issue_commands = issue_commands
    code, replies, errors = run_host(batch(HELLO))
    assert code == 0
    assert replies[0]["groups"][0]["outbox"] == [{"FAULT": {"msg": "ValueError: no such thing"}}]
    assert "Traceback" in errors
