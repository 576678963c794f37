"""Generated configurations: valid ones serve, invalid ones are refused with the name of the field."""

import copy
import json

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from swiftchute.controller.policy_runner import PolicyRunner
from swiftchute.platform import settings as module
from swiftchute.platform.connection_limits import max_unfinished_bytes
from swiftchute.platform.endpoint_list import EndpointList
from swiftchute.platform.errors import SettingsError
from swiftchute.platform.session_manager import SessionManager
from swiftchute.platform.wire_messages import MAX_MESSAGE_BYTES
from swiftchute.policy import Reconciler
from swiftchute.policy.units import NS_PER_S as S
from tests.support.platform import MEMBERS, wire_settings

NAMES = st.text(min_size=1, max_size=20)
TIMES = st.one_of(st.integers(1, 1000), st.integers(10**4, 10**7), st.just(10**13))
CLASSES = st.fixed_dictionaries({
    "name": NAMES, "slo_us": TIMES, "deadline_us": TIMES,
    "credit": st.one_of(st.integers(0, 100), st.floats(0, 1e6)),
    "semantics": st.sampled_from(["free", "guarded", "single_shot"]),
}, optional={
    "late_value": st.one_of(st.none(), st.floats(0, 1)),
    "group": st.sampled_from([None, "all", "zone", "cell"]),
    "window_us": st.one_of(st.none(), TIMES), "aim_stretch": st.floats(0, 4),
})  # fmt: skip


@st.composite
def configurations(draw):
    """Draw a valid `settings` object."""
    made = wire_settings(draw(st.integers(1, 60)))
    made["classes"] = draw(st.lists(CLASSES, min_size=1, max_size=5, unique_by=lambda c: c["name"]))
    made["dcs"] = draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    made["zone"] = draw(st.sampled_from(made["dcs"]))
    many = st.lists(st.booleans(), max_size=5)
    made["specifics"] |= {
        "stays_local": draw(st.one_of(st.none(), many)), "class_writes": draw(st.one_of(st.none(), many)),
        "admission": draw(st.sampled_from(["fraction", "per_second", "off"])),
        "base_mode": draw(st.integers(0, 3)), "fails_to_eject": draw(st.integers(0, 9)),
        "initial_set": draw(st.integers(0, 9)), "per_message": draw(st.integers(0, 20)),
        "update_cap": draw(st.sampled_from([0, 30])), "egress_per_s": draw(st.sampled_from([1, 50.5, 5000])),
        "line_fee": draw(st.sampled_from([None, 0, 0.04])),
        "empty_for_us": draw(TIMES),
    }  # fmt: skip
    made["rules"] |= {
        "warm_within_us": draw(st.sampled_from([0, 1, 10**7])), "drain_grace_us": draw(TIMES),
        "start_capacity": draw(st.floats(0, 1)), "fall_multiple": draw(st.floats(0, 5)),
    }  # fmt: skip
    made["prices"] = draw(st.sampled_from([None, {}, {"cross_zone": None}, {"cross_zone": 0.08, "probe": 0}]))
    return made


def configuration(made, servers=2):
    members = [MEMBERS[0] | {"id": f"s{zone}-{k}", "locality": zone, "up_since_ms": k * 1000_000}
               for zone in made["dcs"] for k in range(servers)]  # fmt: skip
    return {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f", "settings": made,
        "known": {"revision": 1, "complete": True, "members": members},
    }  # fmt: skip


def read(tmp_path_factory, data):
    path = tmp_path_factory.mktemp("configuration") / "config.json"
    path.write_text(json.dumps(data))
    return path, module.read({"GW_CONFIG": str(path)})


@settings(max_examples=60, deadline=None, derandomize=True, database=None, phases=[Phase.generate])
@given(made=configurations(), servers=st.integers(1, 3), bad=st.floats(0, 1))
def test_any_legal_settings_serve(tmp_path_factory, made, servers, bad):
    """Every proxy gets a table of every operation, whatever share of errors is reported."""
    _, configured = read(tmp_path_factory, configuration(made, servers))
    now = 1_700_000_000 * S
    runner = PolicyRunner(configured.settings, configured.seed, Reconciler, now)
    manager = SessionManager(runner, configured.max_sockets)
    update = EndpointList(configured.settings.zones).load_cached(configured.known_list)
    assert not update.rejected
    manager.update_list(update.scope, update.endpoints)
    names = [c["name"] for c in made["classes"]]
    mean = (
        min(
            configured.settings.operations[0].latency_objective_ns,
            configured.settings.operations[0].timeout_ns,
        )
        / 1e6
    )
    sessions, served = [], set()

    def send(session, **message):
        session.receive_data(json.dumps(message).encode() + b"\n", now)
        assert not session.outgoing

    for proxy in range(configured.settings.proxy_count):
        sessions.append(manager.open_session(now))
        zone = made["dcs"][proxy % len(made["dcs"])]
        send(sessions[-1], msg="hello", proxy=proxy, zone=zone, weight=2.0, fresh=True)
    agents = [manager.open_session(now) for _ in made["dcs"]]
    for agent, zone in zip(agents, made["dcs"], strict=True):
        send(agent, msg="agent", zone=zone)
    for turn in range(60):
        for session, data in manager.run_round(now):
            for order in map(json.loads, data.splitlines()):
                if order.get("full"):
                    assert order["endpoints"]
                    served |= {(session.proxy, name) for name in order.get("routes", names)}
                if "nonce_out" in order:
                    send(session, msg="ack", proxy=session.proxy, mark=order["nonce_out"], took_ms=20.0)
        now += S // 10
        if turn % 5 == 4:
            for session in sessions:
                send(session, msg="demand", proxy=session.proxy, span_ms=500.0, tries=9, failed=1,
                    **{"class": names[0]})  # fmt: skip
            for agent, zone in zip(agents, made["dcs"], strict=True):
                for server in runner.endpoint_records:
                    send(agent, msg="outcomes", zone=zone, server=server, tries=50, failed=int(50 * bad),
                        mean_ms=mean, span_ms=500.0)  # fmt: skip
    assert runner.counts["faults"] == 0, runner.drain_log_events()
    assert manager.statistics.malformed == 0
    assert served == {(p, name) for p in range(configured.settings.proxy_count) for name in names}


INVALID_VALUES = [
    ("classes", []), ("classes", None), ("classes.0.name", ""), ("classes.0.name", 7),
    ("classes.0.slo_us", 0), ("classes.0.slo_us", "1s"),
    ("classes.0.deadline_us", -1), ("classes.0.deadline_us", None),
    ("classes.0.credit", float("nan")), ("classes.0.credit", float("inf")), ("classes.0.semantics", "twice"),
    ("classes.0.late_value", -0.5), ("dcs", []), ("dcs", ["east", ""]), ("dcs", "east"), ("zone", None),
    ("specifics.agents", -1), ("specifics.agents", "many"), ("specifics.agents", True),
    ("specifics.base_mode", 4), ("specifics.queue_cap", None), ("specifics.per_message", -1),
    ("specifics.egress_per_s", 0), ("specifics.egress_per_s", None),
    ("specifics.update_cap", float("inf")), ("specifics.stays_local", [1]), ("specifics.initial_set", []),
    ("rules.warm_within_us", -1), ("rules.drain_grace_us", "3s"), ("rules.fall_multiple", float("nan")),
    ("rules.start_capacity", {}), ("stats", []), ("permissions.probes", "no"), ("prices.cross_zone", -1),
]  # fmt: skip


@pytest.mark.parametrize("place, value", INVALID_VALUES)
def test_invalid_settings_are_refused_with_the_name_of_the_field(tmp_path_factory, place, value):
    made = copy.deepcopy(wire_settings())
    made["prices"] = {"cross_zone": 0.05}
    *way, last = place.split(".")
    at = made
    for step in way:
        at = at[int(step)] if step.isdecimal() else at[step]
    at[last] = value
    with pytest.raises(SettingsError) as refused:
        read(tmp_path_factory, configuration(made))
    assert str(refused.value).count("\n") == 0
    assert f"config.json: settings: {place.replace('.0.', '[...].').split('[')[0]}" in str(refused.value)
    assert last in str(refused.value)


@pytest.mark.parametrize("section", ["specifics", "rules", "stats", "permissions"])
def test_a_missing_field_is_named(tmp_path_factory, section):
    for field in wire_settings()[section]:
        if field == "fields":
            continue  # `stats.fields` is optional
        made = wire_settings()
        del made[section][field]
        with pytest.raises(SettingsError, match=rf"settings: {section}\.{field}: missing$"):
            read(tmp_path_factory, configuration(made))


@pytest.mark.parametrize("change, cause", [
    ({"seed": float("inf")}, "seed: 'inf' is not a number"),
    ({"listen": "planner:80"}, "listen: 'planner:80'"),
    ({"listen": "127.0.0.1:" + "9" * 5000}, "listen: "), ({"discovery": "127.0.0.1:0"}, "discovery: "),
    ({"discovery": "127.0.0.1:٨٠"}, "discovery: "), ({"limits": {"sockets": True}}, "limits.sockets: "),
    ({"name": "\ud800"}, "not JSON: "), ({"limits": {"sockets": 63}}, "limits.sockets: 63 is less than 64"),
    ({"limits": {"memory_mb": "64"}}, "limits.memory_mb: '64' is not a number"),
    ({"limits": {"memory_mb": -1}}, "limits.memory_mb: "),
    ({"limits": {"memory_mb": True}}, "limits.memory_mb: "),
    ({"limits": {"memory_mb": 10**400}}, "limits.memory_mb: "),
])  # fmt: skip
def test_invalid_fields_outside_the_settings_are_named(tmp_path_factory, change, cause):
    with pytest.raises(SettingsError) as refused:
        read(tmp_path_factory, configuration(wire_settings()) | change)
    assert f"config.json: {cause}" in str(refused.value)


def test_duplicate_names_are_refused(tmp_path_factory):
    for field in ("classes", "dcs"):
        made = wire_settings()
        made[field] = [made[field][0]] * 2
        with pytest.raises(SettingsError, match=f"settings: {field}: duplicate name"):
            read(tmp_path_factory, configuration(made))


class Run:
    """A session manager with these settings; its proxies and reports are the same in each run."""

    def __init__(self, made):
        configured = module.from_object("config.json", configuration(made))
        self.made, self.now, self.written = made, 1_700_000_000 * S, []
        self.runner = PolicyRunner(configured.settings, 7, Reconciler, self.now)
        self.manager = SessionManager(self.runner, configured.max_sockets)
        cached = EndpointList(configured.settings.zones).load_cached(configured.known_list)
        self.manager.update_list(cached.scope, cached.endpoints)
        zones = made["dcs"]
        self.proxies = [self.open(msg="hello", proxy=p, zone=zones[p % len(zones)], weight=3.0, fresh=True)
                        for p in range(8)]  # fmt: skip
        self.agents = [self.open(msg="agent", zone=zone) for zone in zones]

    def open(self, **message):
        session = self.manager.open_session(self.now)
        return self.send(session, **message)

    def send(self, session, **message):
        session.receive_data(json.dumps(message).encode() + b"\n", self.now)
        return session

    def round(self, number):
        self.now += S // 2
        for session, data in self.manager.run_round(self.now):
            self.written.append((session.proxy, data))
            for order in map(json.loads, data.splitlines()):
                if "nonce_out" in order:
                    self.send(session, msg="ack", proxy=session.proxy, mark=order["nonce_out"], took_ms=20.0)
        for session in self.proxies:
            self.send(session, msg="demand", proxy=session.proxy, span_ms=500.0, tries=20, failed=2,
                     **{"class": self.made["classes"][0]["name"]})  # fmt: skip
        for agent, zone in zip(self.agents, self.made["dcs"], strict=True):
            for k, server in enumerate(self.runner.endpoint_records):
                self.send(agent, msg="outcomes", zone=zone, server=server, tries=40, failed=(k + number) % 9,
                         mean_ms=100.0 + 90 * k, span_ms=500.0)  # fmt: skip


def test_two_policies_with_different_settings_in_one_process_do_not_affect_each_other():
    """The two settings use the same names with different meanings."""
    one, other = wire_settings(8), wire_settings(8)
    other["classes"] = [other["classes"][1] | {"slo_us": 2 * 10**5, "semantics": "single_shot"},
                        other["classes"][0]]  # fmt: skip
    other["dcs"] = ["west", "east", "north"]
    other["specifics"] |= {"initial_set": 1, "stays_local": [True, False], "per_message": 3.0}
    other["rules"] |= {"warm_within_us": 0}
    alone = []
    for made in (one, other):
        run = Run(made)
        for number in range(40):
            run.round(number)
        alone.append(run.written)
    runs = [Run(one), Run(other)]
    for number in range(40):
        for run in runs:
            run.round(number)
    assert [run.written for run in runs] == alone
    assert alone[0] != alone[1]
    assert all(len(written) > 40 for written in alone)


@pytest.mark.parametrize("limits", [{}, {"memory_mb": None}, {"memory_mb": 8}, {"memory_mb": 2048.5}])
def test_any_memory_limit_leaves_room_for_one_message(tmp_path_factory, limits):
    """Guards against a start that fails, or a client that cannot send, under a small or missing limit."""
    data = configuration(wire_settings()) | {"limits": limits}
    _, configured = read(tmp_path_factory, data)
    assert max_unfinished_bytes(configured.max_memory_mb) >= 2 * MAX_MESSAGE_BYTES
