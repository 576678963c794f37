"""Tables without an endpoint, or without a warm one, and which endpoints are open."""

from swiftchute.api.settings import Settings
from swiftchute.safety.proposal import (
    Observations,
    SafetyRules,
)
from swiftchute.safety.validator import Validator
from tests.conftest import DEFAULTS
from tests.support.safety import NOW, SETTINGS, proposal, status, validate, violated


def test_an_empty_table_keeps_its_published_weights_without_draining_endpoints():
    statuses = {"a": status(), "b": status(state="draining"), "c": status()}
    verdict = validate({1: proposal()}, statuses, {1: {"a": 0.7, "b": 1.0}})
    assert verdict.tables[1] == ({"a": 0.7}, 1.0)
    assert violated(verdict) == {"empty pool"}


def test_a_zone_whose_only_endpoint_drains_uses_other_zones():
    statuses = {"a": status(state="draining"), "w": status("west")}
    assert validate({1: proposal(a=1.0)}, statuses).tables[1][0] == {"w": 1.0}
    local = validate({1: proposal(a=1.0, local=True)}, statuses)
    assert violated(local) == {"barred server", "no open server"}
    assert local.tables[1][0] == {"a": 1.0}  # no table is safe, so the proposed one is kept


def test_a_zone_whose_endpoints_are_replaced_at_once_uses_other_zones():
    statuses = {"a": status(state="gone"), "c": status(age=1), "d": status(age=1), "w": status("west")}
    weights, admission_rate = validate(
        {1: proposal(c=1.0, d=1.0, demand=30.0)}, statuses, {1: {"a": 1.0}}
    ).tables[1]
    assert weights["w"] > 0
    assert admission_rate == 1.0
    assert 30.0 * weights["c"] / sum(weights.values()) <= 2.5 * 0.25 * 10 * 1.01


def test_removed_endpoints_may_stay_where_removal_is_not_binding():
    settings = Settings(**(DEFAULTS | {"operations": SETTINGS.operations, "removal_is_binding": False}))
    statuses = {f"s{k}": status(state="gone" if k else "ready") for k in range(5)}
    verdict = Validator(settings, SafetyRules()).validate(
        {1: proposal(**dict.fromkeys(statuses, 1.0))}, {}, statuses, Observations(), NOW
    )
    assert verdict.violations == []


def test_removed_endpoints_that_respond_are_open_where_removal_is_not_binding():
    settings = Settings(**(DEFAULTS | {"operations": SETTINGS.operations, "removal_is_binding": False}))
    statuses = {"a": status(), "g": status(state="gone"), "h": status(state="gone")}
    proposed = {1: proposal(g=1.0, h=1.0)}
    verdict = Validator(settings, SafetyRules()).validate(
        proposed, {}, statuses, Observations(responding={"g", "h"}), NOW
    )
    assert violated(verdict) == set()
    without_responses = Validator(settings, SafetyRules()).validate(
        proposed, {}, statuses, Observations(), NOW
    )
    assert violated(without_responses) == {"no warm server"}
