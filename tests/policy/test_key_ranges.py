"""Commands for key ranges: which endpoint owns a range, and what is written when one drains or is removed."""

from swiftchute.api.endpoints import ListScope
from swiftchute.api.events import (
    EndpointListUpdate,
    KeyRangeAssigned,
    KeyRangeDemandReport,
    KeyRangeEntryRestored,
    KeyRangeRevoked,
    ProxyConnected,
    TimerFired,
)
from tests.support.policy import list_changes

S = 1_000_000_000


def rounds(harness):
    """The fixed events, one list per round."""

    def listed(scope, **states):
        return EndpointListUpdate(
            scope, [harness.endpoint(name, state=state) for name, state in states.items()]
        )

    ready = dict.fromkeys(("a", "b", "c"), "ready")
    return [
        [KeyRangeAssigned(1), KeyRangeAssigned(2), KeyRangeAssigned(3)],  # before any list
        [listed(ListScope.CACHED, **ready)],
        [KeyRangeAssigned(4), KeyRangeEntryRestored(4, "b", 0.5), KeyRangeEntryRestored(4, "c", 2.0)],
        [KeyRangeDemandReport(1, "read", 40, 1, S), ProxyConnected(0, "east", 10.0, True)],
        [listed(ListScope.DELTA, a="draining")],
        [listed(ListScope.DELTA, a="gone")],
        [KeyRangeRevoked(2), KeyRangeEntryRestored(5, "a", 1.0)],  # restored without an assignment
        [listed(ListScope.DELTA, a="ready", d="ready"), TimerFired(1)],
        [listed(ListScope.SNAPSHOT, d="ready", c="draining")],  # b is removed without draining
        [KeyRangeAssigned(3), KeyRangeEntryRestored(3, "c", 1.0), KeyRangeRevoked(9)],
        [listed("lost")],
        [listed(ListScope.DELTA, d="gone")],  # no endpoint is left
        [listed(ListScope.SNAPSHOT, e="ready", f="ready")],
        [KeyRangeAssigned(1)],
    ]


# Entries that each round writes: (key range, endpoint, weight); a weight of 0 removes the old owner's entry.
EXPECTED_ENTRIES = [
    [],
    [(1, "a", 1), (2, "b", 1), (3, "c", 1)],
    [],
    [],
    [(1, "b", 1), (1, "a", 0)],
    [],
    [(5, "b", 1), (5, "a", 0)],
    [],
    [(1, "d", 1), (1, "b", 0), (3, "d", 1), (3, "c", 0), (4, "d", 1), (4, "b", 0), (4, "c", 0), (5, "d", 1),
     (5, "b", 0)],
    [(3, "d", 1), (3, "c", 0)],
    [],
    [(1, "d", 0), (4, "d", 0), (5, "d", 0), (3, "d", 0)],
    [(1, "e", 1), (4, "f", 1), (5, "e", 1), (3, "f", 1)],
    [(1, "e", 1)],
]  # fmt: skip
TIMER_ROUNDS, LOG_ROUNDS = [3, 7], [10, 11]
# With a single owner: tables are cleared first; a key range without an owner waits for a lease of 1.02 s.
EXPECTED_CLEARED = {6: [5], 8: [4], 9: [3]}
EXPECTED_OWNERS = {12: [(1, "e", 1)]}
SINGLE_OWNER_TIMERS = {1: [(100_000_000, 1)], 7: [(100_000_000, 1)], 10: [(20_000_000, 2)]}


def run_fixed_rounds(harness):
    """Play the fixed events; yield the number of each round and its commands but for log lines."""
    for number, events in enumerate(rounds(harness)):
        written = harness.run_round(*events, wait_s=0.1).all
        assert [verb for verb, _ in written].count("log") == (number in LOG_ROUNDS)
        yield number, [command for command in written if command[0] != "log"]


def test_commands_for_a_fixed_list_of_key_range_events(make_harness):
    nonce = 0
    for number, written in run_fixed_rounds(make_harness(key_range_count=5)):
        expected = [("set_weight", entry) for entry in EXPECTED_ENTRIES[number]]
        if expected and number >= 3:  # a proxy is connected
            nonce += 1
            expected.append(("request_ack", (nonce, False)))
        if number in TIMER_ROUNDS:
            expected.append(("start_timer", (100_000_000, 1)))
        assert written == expected


def test_commands_for_a_fixed_list_of_key_range_events_with_a_single_owner(make_harness):
    nonce = 0
    for number, written in run_fixed_rounds(make_harness(key_range_count=5, single_owner=True)):
        expected = [("clear_table", (key_range,)) for key_range in EXPECTED_CLEARED.get(number, ())]
        expected += [("set_weight", entry) for entry in EXPECTED_OWNERS.get(number, ())]
        if expected:
            nonce += 1
            expected.append(("request_ack", (nonce, False)))
        expected += [("start_timer", timer) for timer in SINGLE_OWNER_TIMERS.get(number, ())]
        assert written == expected


def test_key_ranges_write_no_tables_and_assign_no_proxies(make_harness):
    harness = make_harness(key_range_count=5)
    verbs = {verb for events in rounds(harness) for verb, _ in harness.run_round(*events, wait_s=1.5).all}
    assert verbs == {"set_weight", "request_ack", "start_timer", "subscribe", "log"}


def test_key_range_keeps_its_entry_until_the_endpoint_drains(make_harness):
    harness = make_harness(key_range_count=2, single_owner=True)
    records = [harness.endpoint("e0"), harness.endpoint("e1")]
    events = [KeyRangeAssigned(1), KeyRangeEntryRestored(1, "e0", 1.0)]
    assert harness.run_round(EndpointListUpdate(ListScope.CACHED, records), *events).of("set_weight") == []
    drain = list_changes([harness.endpoint("e0", state="draining")])
    commands = harness.run_round(drain, wait_s=2)  # after the lease that its assignment started
    assert commands.of("clear_table") == [(1,)]
    assert harness.run_round().of("set_weight") == [(1, "e1", 1)]
