"""Push messages, checked with a fake proxy that applies them by the rules of the protocol.

The fake proxy and the expected assignments are implemented here from the protocol and the meaning of the
commands. They share no code with the encoder.
"""

import json

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.settings import Settings
from swiftchute.controller.assignments import Assignments
from swiftchute.platform import push_difference
from swiftchute.platform.errors import MessageTooLargeError
from swiftchute.platform.listed_endpoints import MAX_REMOVED_ENDPOINTS
from swiftchute.platform.push_encoder import PushEncoder
from tests.conftest import DEFAULTS, operation

CLASSES = ("read", "write")
SET = Settings(**(DEFAULTS | {"operations": tuple(operation(name) for name in CLASSES)}))


class FakeProxy:
    """A proxy with its tables and admissions by class, ejected endpoints, nonces, and a count of entries."""

    def __init__(self):
        self.tables, self.admissions = {c: {} for c in CLASSES}, dict.fromkeys(CLASSES)
        self.ejected, self.nonces, self.entries, self.open = set(), [], 0, False

    def read(self, data):
        assert not data or data.endswith(b"\n")
        for text in data.splitlines():
            part = json.loads(text)
            assert part.pop("msg") == "push"
            routes = part.pop("routes", list(CLASSES))
            assert set(routes) <= set(CLASSES)
            assert routes
            if part.get("full"):
                self.entries += 1
                for name in routes:
                    self.tables[name], self.admissions[name] = {}, None
            for endpoint, weight in part.get("endpoints", ()):
                assert 0 <= weight < float("inf")
                self.entries += 1
                for name in routes:
                    self.tables[name][endpoint] = weight
                    if not weight:
                        del self.tables[name][endpoint]
            assert ("admit" in part) == ("policy" in part)
            if "admit" in part:
                self.entries += 1
                for name in routes:
                    self.admissions[name] = (part["admit"], part["policy"])
            self.ejected |= set(part.get("eject", ()))
            self.ejected -= set(part.get("restore", ()))
            self.entries += len(part.get("eject", ())) + len(part.get("restore", ()))
            if "nonce_out" in part:
                self.entries += 1
                self.nonces.append(part["nonce_out"])
            self.open = part.get("continued", False)
        assert not self.open

    def usable_weights(self, name):
        return {s: w for s, w in self.tables[name].items() if s not in self.ejected}


class ExpectedAssignments:
    """The assignments that result from the meaning of the commands alone."""

    def __init__(self):
        self.tables, self.admissions, self.common, self.ejected, self.bound = {}, {}, {}, set(), {}

    def set_weight(self, table, endpoint, weight):
        self.tables.setdefault(table, {})[endpoint] = weight
        if not weight:
            del self.tables[table][endpoint]

    def clear_table(self, table):
        self.tables[table] = {}
        self.admissions = {k: v for k, v in self.admissions.items() if k[0] != table}

    def assign_table(self, proxy, table, mask):
        self.tables.setdefault(table, {})
        for place, name in enumerate(CLASSES):
            if not mask or mask >> place & 1:
                self.bound[proxy, name] = table

    def set_admission(self, table, mask, rate, retry_policy):
        for place, name in enumerate(CLASSES):
            if not mask or mask >> place & 1:
                if table is None:
                    self.common[name] = (rate, retry_policy)
                else:
                    self.tables.setdefault(table, {})
                    self.admissions[table, name] = (rate, retry_policy)

    def set_ejected(self, endpoint, out):
        (self.ejected.add if out else self.ejected.discard)(endpoint)

    def admission(self, table, name):
        own, common = self.admissions.get((table, name)), self.common.get(name)
        if own is None or common is None:
            return own or common
        return min(own[0], common[0]), own[1]

    def agrees(self, proxy, reader):
        for name in CLASSES:
            table = self.bound.get((proxy, name))
            if table is None:
                continue
            weights = {s: w for s, w in self.tables[table].items() if s not in self.ejected}
            if reader.usable_weights(name) != weights or reader.admissions[name] != self.admission(
                table, name
            ):
                return False
        return True


class World:
    """The assignments, the encoder and the fake proxies."""

    def __init__(self, foreign=()):
        self.assignments = Assignments(SET)
        self.encoder = PushEncoder(SET, self.assignments)
        self.expected, self.readers, self.nonce = ExpectedAssignments(), {}, 0
        for proxy in range(3):
            self.readers[proxy] = FakeProxy()
            self.assignments.on_proxy_connected(proxy, "east")
            self.encoder.add_proxy(proxy, proxy not in foreign)
        self.ejected = set()

    def round(self, commands, silent=()):
        for command, *arguments in commands:
            getattr(self.assignments, command)(*arguments)
            getattr(self.expected, command)(*arguments)
        self.nonce += 1
        self.assignments.request_ack(self.nonce, False)
        result = self.assignments.finish_round()
        self.encoder.clear_shared()
        newly_ejected, self.ejected = self.assignments.ejected - self.ejected, set(self.assignments.ejected)
        for proxy in result.entries_by_proxy:
            if proxy not in silent:
                data, entries = self.encoder.encode(proxy, self.nonce, newly_ejected)
                before = self.readers[proxy].entries
                self.readers[proxy].read(data)
                assert self.readers[proxy].entries - before == entries
        return result

    def agrees(self, but=()):
        return all(self.expected.agrees(p, r) for p, r in self.readers.items() if p not in but)


ENDPOINTS, TABLES = st.sampled_from("abcde"), st.sampled_from((1, 2, 3))
MASKS, WEIGHTS = st.sampled_from((0, 1, 2, 3)), st.sampled_from((0, 0.25, 1.0, 7.5))
COMMANDS = st.one_of(
    st.tuples(st.just("set_weight"), TABLES, ENDPOINTS, WEIGHTS),
    st.tuples(st.just("assign_table"), st.sampled_from((0, 1, 2)), TABLES, MASKS),
    st.tuples(st.just("set_admission"), st.one_of(st.none(), TABLES), MASKS,
              st.sampled_from((0.0, 0.5, 1.0, 12.5)), st.sampled_from((0, 1, 2, 3))),
    st.tuples(st.just("set_ejected"), ENDPOINTS, st.booleans()),
    st.tuples(st.just("clear_table"), TABLES),
)  # fmt: skip
ROUNDS = st.lists(st.lists(COMMANDS, max_size=8), max_size=8)


@given(ROUNDS)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_proxies_hold_what_was_ordered_after_every_round(rounds):
    world = World()
    for verbs in rounds:
        world.round(verbs)
        assert world.agrees()


@given(ROUNDS, st.lists(COMMANDS, max_size=4))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_proxy_that_missed_rounds_gets_one_message_of_what_it_should_hold(rounds, last):
    world = World()
    for verbs in rounds:
        world.round(verbs, silent=(1,))
        assert world.agrees(but=(1,))
    data, _ = world.encoder.encode(1, 9, world.assignments.ejected)
    world.readers[1].read(data)
    assert world.agrees()
    world.round(last)
    assert world.agrees()


table_parts = push_difference.table_parts


def keep_removed_entries(operations, weights, admissions, full, names):
    """Broken: the removal of an endpoint is not written."""
    return table_parts(operations, {s: w for s, w in weights.items() if w}, admissions, full, names)


def never_write_full_tables(operations, weights, admissions, full, names):
    """Broken: a table is never replaced."""
    return table_parts(operations, weights, admissions, False, names)


def address_all_operations(operations, names):
    """Broken: each part applies to all operations."""
    return


def never_restore(encoder, held, contents, newly_ejected):
    """Broken: a restored endpoint is not written."""
    return ejection_difference(encoder, held, contents, newly_ejected)[0], []


def share_with_everyone(encoder, proxy, nonce, newly_ejected=()):
    """Broken: all proxies share the same bytes, whatever they hold."""
    message = encode(encoder, proxy, nonce, newly_ejected)
    return encoder._shared.setdefault("any", message)


ejection_difference, encode = PushEncoder._ejection_difference, PushEncoder.encode


@pytest.mark.parametrize("owner, name, broken", [
    (push_difference, "table_parts", keep_removed_entries),
    (push_difference, "table_parts", never_write_full_tables),
    (push_difference, "operation_names", address_all_operations),
    (PushEncoder, "_ejection_difference", never_restore),
    (PushEncoder, "encode", share_with_everyone),
])  # fmt: skip
def test_the_property_test_finds_a_broken_encoder(monkeypatch, owner, name, broken):
    @given(ROUNDS)
    @settings(max_examples=500, deadline=None, derandomize=True, phases=[Phase.generate])
    def holds(rounds):
        world = World()
        for verbs in rounds:
            world.round(verbs)
            assert world.agrees()

    monkeypatch.setattr(owner, name, broken)
    with pytest.raises((AssertionError, KeyError)):
        holds()


def test_only_proxies_of_the_same_table_share_bytes():
    world = World()
    world.round(
        [
            ("set_weight", 1, "a", 1.0),
            ("set_weight", 2, "b", 1.0),
            ("assign_table", 0, 1, 0),
            ("assign_table", 1, 1, 0),
            ("assign_table", 2, 2, 0),
        ]
    )
    world.assignments.set_weight(1, "a", 2.0)
    world.encoder.clear_shared()
    first, second, third = (world.encoder.encode(p, 7)[0] for p in (0, 1, 2))
    assert first is second
    assert json.loads(first)["endpoints"] == [["a", 2.0]]
    assert json.loads(third) == {"msg": "push", "nonce_out": 7}


def test_endpoints_ejected_by_another_instance_are_restored_with_the_first_table():
    world = World(foreign=(0,))
    world.encoder.update_list([entry("a", started=5), entry("b"), entry("c")], True)
    world.encoder.update_list([entry("b", "draining"), entry("d", started=9)], False)
    world.encoder.update_list([entry("b")], False)
    world.readers[0].ejected = {"a", "b"}  # by its previous instance: `a` restarted and `b` drained
    world.round(
        [("set_weight", 1, s, 1.0) for s in "abcd"] + [("assign_table", 0, 1, 0), ("assign_table", 1, 1, 0)]
    )
    assert world.agrees()
    assert world.readers[0].ejected == set()
    assert world.readers[0].entries == world.readers[1].entries + 2  # no instance can have ejected c and d
    world.round([("set_weight", 1, "a", 2.0)])
    assert world.readers[0].entries == world.readers[1].entries + 2  # they are not restored again


def test_a_foreign_proxy_keeps_endpoints_ejected_that_are_ejected_here():
    world = World(foreign=(0,))
    world.encoder.update_list([entry("a", "draining", 5), entry("b")], True)
    world.readers[0].ejected = {"a"}
    world.round([("set_ejected", "a", True)])
    world.round([("set_weight", 1, "a", 1.0), ("set_weight", 1, "b", 1.0), ("assign_table", 0, 1, 0)])
    assert world.readers[0].usable_weights("read") == {"b": 1.0}
    world.encoder.update_list([entry("a", "ready", 7)], False)
    world.round([("set_ejected", "a", False), ("set_weight", 1, "b", 2.0)])
    assert world.agrees()
    assert world.readers[0].ejected == set()


def test_an_endpoint_that_was_removed_and_returns_may_have_been_ejected():
    world = World(foreign=(0,))
    world.encoder.update_list([entry("a"), entry("b")], True)
    world.encoder.update_list([entry("a", "gone")], False)
    world.encoder.update_list([entry("a", started=9)], False)
    world.readers[0].ejected = {"a"}
    world.round([("set_weight", 1, "a", 1.0), ("assign_table", 0, 1, 0)])
    assert world.agrees()


def test_tables_of_a_restarted_policy_are_written_in_full():
    world = World()
    world.round([("set_weight", 1, "a", 1.0), ("assign_table", 0, 1, 0), ("set_ejected", "z", True)])
    fresh = Assignments(SET)
    fresh.on_proxy_connected(0, "east")
    world.encoder.on_policy_restart(fresh)
    fresh.set_weight(1, "b", 1.0)
    fresh.assign_table(0, 1, 0)
    world.encoder.clear_shared()
    world.readers[0].read(world.encoder.encode(0, 1)[0])
    assert world.readers[0].usable_weights("read") == {"b": 1.0}
    assert world.readers[0].ejected == set()


def test_long_tables_are_split_into_parts_and_too_long_ones_raise(monkeypatch):
    monkeypatch.setattr(push_difference, "MAX_PART_ENTRIES", 10)
    world = World()
    world.round([("set_weight", 1, f"s{k}", 1.0) for k in range(25)] + [("assign_table", 0, 1, 0)])
    assert world.agrees()
    for k in range(700):
        world.assignments.set_weight(2, f"s{k}", 1.0)
    world.assignments.assign_table(1, 2, 0)
    with pytest.raises(MessageTooLargeError, match="70 parts; 64 at most"):
        world.encoder.encode(1, 3)


def test_the_number_of_remembered_removed_endpoints_is_bounded():
    world = World(foreign=(0,))
    for k in range(10_000):
        world.encoder.update_list([entry(f"s{k}", "draining")], False)
        world.encoder.update_list([entry(f"s{k}", "gone")], False)
    listed = world.encoder.listed
    assert not listed.started_ns
    assert not listed.possibly_ejected
    assert len(listed.removed) == MAX_REMOVED_ENDPOINTS


def entry(endpoint, state="ready", started=0):
    return EndpointRecord(endpoint, "east", "", 0, state, 1.0, started)
