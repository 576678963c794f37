"""Scripts of faults (a round trip of drawn scenarios, errors), the report of failed faults, and shrinking."""

import inspect
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from swiftchute.config import ConfigError
from swiftchute.drill.evidence import Evidence, Verdict
from swiftchute.drill.fault_actions import FaultActions
from swiftchute.drill.faults import KINDS, draw_scenario, load, to_hcl
from swiftchute.drill.report import broken
from swiftchute.drill.runner import Result
from swiftchute.drill.scenario import Fault
from swiftchute.drill.shrink import Played, nearest, shrink, worst_first


@given(seed=st.integers(0, 10_000), count=st.integers(1, 6))
@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
def test_a_drawn_scenario_is_read_back_from_its_script(tmp_path_factory, seed, count):
    scenario = draw_scenario(seed, count)
    path = tmp_path_factory.mktemp("days") / "day.hcl"
    path.write_text(to_hcl(scenario))
    found = load(str(path))
    assert [(t.at, t.action) for t in found.faults] == [(t.at, t.action) for t in scenario.faults]
    for one, two in zip(found.faults, scenario.faults, strict=True):
        for a, b in zip(one.arguments, two.arguments, strict=True):
            assert a == (b if isinstance(b, str) else pytest.approx(b))
    assert (found.duration, found.backends, found.gateways) == (
        scenario.duration,
        scenario.backends,
        scenario.gateways,
    )
    assert len({t.action for t in scenario.faults}) == count


@pytest.mark.parametrize("kind", KINDS)
def test_each_kind_is_a_fault_action_whose_parameters_are_its_fields(kind):
    parameters = list(inspect.signature(getattr(FaultActions, kind)).parameters)[1:]
    assert parameters == list(KINDS[kind].fields)


@pytest.mark.parametrize(
    ("text", "line", "message"),
    [
        ('trouble "slow" {\n  share = 2\n}\n', 2, "trouble slow.share: 2 is out of range: 0 to 1"),
        ('trouble "slow" {\n  lasts = 5\n}\n', 2, "trouble slow.lasts: 5 is not a duration"),
        ('\ntrouble "quake" {\n}\n', 2, "trouble quake: unknown"),
        ('trouble "mass_restart" {\n  zone = "mars"\n}\n', 2, "'mars' is none of north, south, west"),
        ("drill {\n  wokers = 3\n}\n", 2, "drill.wokers: unknown; known here"),
        ("seconds = 3\n", 1, "seconds: unknown here"),
    ],
)
def test_an_error_in_a_script_is_reported_with_line_field_and_cause(tmp_path, text, line, message):
    path = tmp_path / "day.hcl"
    path.write_text(text)
    with pytest.raises(ConfigError) as found:
        load(str(path))
    (problem,) = found.value.problems
    assert problem.line == line
    assert message in str(problem)


def test_a_run_whose_fault_action_raised_counts_as_broken():
    evidence = Evidence(None, [], [], [], [], [], {}, {})
    assert not broken(Result(evidence, {}, 0, [], []), [])
    assert broken(Result(evidence, {}, 0, [], [], failed=["ValueError()"]), [])


def test_shrinking_keeps_only_the_faults_that_matter():
    """Here a run breaks if a backend hangs for two seconds or more and an instance dies."""
    scenario = draw_scenario(5, 6)
    hang, dies = Fault(3.0, "hang", (0.2, 9.0)), Fault(4.0, "planner_dies", (0, 8.0))
    scenario = replace(scenario, faults=(hang, *scenario.faults[:3], dies, *scenario.faults[3:]))

    def breaks(less):
        kinds = {t.action: t.arguments for t in less.faults}
        return "planner_dies" in kinds and kinds.get("hang", (0, 0))[1] >= 2.0

    small, plays = shrink(scenario, breaks, 200)
    assert {t.action for t in small.faults} == {"hang", "planner_dies"}
    assert 2.0 <= next(t.arguments[1] for t in small.faults if t.action == "hang") < 4.0
    assert plays < 60
    same, plays = shrink(scenario, breaks, 3)
    assert plays == 3
    assert breaks(same)


def test_bad_runs_come_first_then_those_closest_to_a_limit():
    scenario = draw_scenario(5, 1)
    rows = [Played(scenario, 1, 0.9, ()), Played(scenario, 2, 0.3, ("drains kept",)),
            Played(scenario, 3, 0.95, ()), Played(scenario, 4, 0.1, (), True)]  # fmt: skip
    assert [p.seed for p in worst_first(rows)] == [2, 4, 3, 1]
    verdicts = [Verdict("no effect twice", 1.0, 1.0, "", ""), Verdict("drains kept", 1.5, 3.0, "s", "")]
    assert nearest(verdicts) == 0.5
