"""Overload control: sets the admitted share of a zone's requests, and whether proxies may retry."""

from swiftchute.policy.conditions import report_condition
from swiftchute.policy.load_stats import (
    MAX_SAMPLE_AGE_NS,
    NORMAL_LOAD_RATIO,
    SEVERE_LOAD_RATIO,
    success_rate,
    zone_request_rate,
)
from swiftchute.policy.model import AdmissionSample, EndpointTable
from swiftchute.policy.state import PolicyState
from swiftchute.policy.zone_spillover import is_saturated

SHED_LOAD_RATIO = 0.4  # cost per success / latency objective above which load is shed
MIN_STEP_FACTOR = 0.6  # largest decrease of an admission rate per evaluation
MAX_STEP_FACTOR = 1.5  # largest increase per evaluation
MIN_ADMISSION_RATE = 0.2  # a problem that this rate does not solve is not caused by load
SUCCESS_ADMISSION_FRACTION = 0.8  # fraction of the answered requests that is always admitted
MIN_REQUEST_RATE_PER_S = 0.1  # replaces a zero rate in divisions


def update_admission(state: PolicyState) -> None:
    """Update admission rate and retry policy of the tables of each zone whose load is known.

    Under load, retries are disabled first, then admission rates fall; recovery runs in the opposite order.
    Where limits have no effect, admission rates stay at 1.
    """
    for zone, load_ratio in state.load_ratios.items():
        if load_ratio is not None:
            _update_zone(state, zone, load_ratio)


def _update_zone(state: PolicyState, zone: str, load_ratio: float) -> None:
    zone_rate = max(zone_request_rate(state, zone), MIN_REQUEST_RATE_PER_S)
    # reports over long windows are ignored as outdated
    answered = success_rate(state, zone, state.endpoints.values(), MAX_SAMPLE_AGE_NS)
    min_rate = max(SUCCESS_ADMISSION_FRACTION * answered / zone_rate, MIN_ADMISSION_RATE)
    saturated = is_saturated(state, zone)
    for table in state.all_tables():
        if table.zone != zone:
            continue
        table.admission_history.append(AdmissionSample(table.admission_rate, zone_rate))
        _update_retry_policy(table, load_ratio, state.retry_policy)
        # prefer spillover while other zones have spare capacity
        may_shed = load_ratio > SEVERE_LOAD_RATIO or (
            load_ratio > SHED_LOAD_RATIO and (table.zone_local or saturated)
        )
        if state.settings.admission_mode != "none":
            _update_admission_rate(table, zone_rate, load_ratio, min_rate, may_shed)
        _report_conditions(state, table, load_ratio)


def _update_retry_policy(table: EndpointTable, load_ratio: float, default: int) -> None:
    """Disable retries under load: when endpoints are full, they would double a surge as it begins."""
    if load_ratio > NORMAL_LOAD_RATIO:
        table.retry_policy = 0
    elif table.admission_rate == 1:
        table.retry_policy = default


def _update_admission_rate(
    table: EndpointTable, zone_rate: float, load_ratio: float, min_rate: float, may_shed: bool
) -> None:
    """Derive the admission rate from the one that was in force when the reported load was measured.

    Args:
        table: Table whose admission rate is updated; its history ends with the current evaluation.
        zone_rate: Current requests per second in the zone.
        load_ratio: Cost per success / latency objective in the zone.
        min_rate: Lowest admission rate.
        may_shed: Whether the admission rate may fall.
    """
    reported = table.admission_history[0]
    admitted = reported.admission_rate * reported.request_rate / zone_rate  # admits as many requests as then
    if may_shed:
        target = admitted * max(SHED_LOAD_RATIO / load_ratio, MIN_STEP_FACTOR)
        table.admission_rate = min(table.admission_rate, max(target, min_rate))
    elif load_ratio < NORMAL_LOAD_RATIO:
        target = admitted * min(NORMAL_LOAD_RATIO / load_ratio, MAX_STEP_FACTOR)
        table.admission_rate = max(table.admission_rate, min(target, 1.0))


def _report_conditions(state: PolicyState, table: EndpointTable, load_ratio: float) -> None:
    name, cause = f"{table.zone} {table.number}", f"time {load_ratio:.2f} of the objective"
    report_condition(state, f"no further tries {name}", table.retry_policy < state.retry_policy, cause)
    report_condition(state, f"level {name}", table.admission_rate < 1, f"{table.admission_rate:.2f}, {cause}")
