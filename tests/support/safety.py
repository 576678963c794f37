"""Endpoint statuses, proposals and settings for tests of the safety rules."""

from swiftchute.api.settings import Settings
from swiftchute.safety.proposal import EndpointStatus, Observations, Proposal, Rule, SafetyRules
from swiftchute.safety.validator import Validator
from tests.conftest import DEFAULTS, operation

S = 1_000_000_000
NOW = 1000 * S
# warm-up takes 16 s; the overload limit is 2.5 times the full rate
SETTINGS = Settings(**(DEFAULTS | {"operations": (operation("read"), operation("write"))}))
ZONES = ("east", "west")


def status(zone="east", state="ready", age=None, weight=1.0):
    return EndpointStatus(
        zone, state, 0 if age is None else NOW - int(age * S), weight, zone
    )  # the kind is the zone


def proposal(zones=("east",), level=1.0, local=False, demand=10.0, **weights):
    return Proposal(weights, level, frozenset(zones), local, demand)


def validate(proposed, statuses, before=None, full=None, now=NOW, known=None, **rules):
    """Validate tables; an endpoint's kind is its zone.

    `full` is `Observations.peak_rate_by_kind`, by default 10 requests per second for each kind; `known` has
    further fields of `Observations`.
    """
    validator = Validator(SETTINGS, SafetyRules(**{"slow_start_fraction": 1.0} | rules))
    full = {"east": 10.0, "west": 10.0} if full is None else full
    return validator.validate(proposed, before or {}, statuses, Observations(full, **known or {}), now)


def violated(verdict):
    return {violation.rule for violation in verdict.violations if violation.rule != Rule.STALE_LIST}
