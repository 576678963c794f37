"""Overload control: which share of a zone's requests is admitted, and whether proxies may retry."""

from swiftchute.policy.conditions import report_condition
from swiftchute.policy.load_stats import (
    CALM_LOAD_RATIO,
    FLOODED_LOAD_RATIO,
    MAX_SAMPLE_AGE_NS,
    success_rate,
    zone_request_rate,
)
from swiftchute.policy.model import AdmissionSample, EndpointTable
from swiftchute.policy.state import PolicyState
from swiftchute.policy.zone_spillover import is_saturated

SHED_LOAD_RATIO = 0.4  # latency / objective above which load is shed
MIN_STEP_FACTOR = 0.6  # the most that an admission rate falls in one evaluation
MAX_STEP_FACTOR = 1.5  # the most that it rises
MIN_ADMISSION_RATE = 0.2  # a cause that a lower rate would not help is no load
SUCCESS_ADMISSION_FRACTION = 0.8  # part of the answered requests that is admitted in any case
MIN_REQUEST_RATE_PER_S = 0.1  # stands for no requests at all in a quotient


def update_admission(state: PolicyState) -> None:
    """Update admission rate and retry policy of the tables of each zone whose load is known.

    Under load retries go first, then admission rates fall; they come back in the opposite order.
    """
    if state.settings.admission_mode != "share":
        return
    for zone, load_ratio in state.load_ratios.items():
        if load_ratio is not None:
            _update_zone(state, zone, load_ratio)


def _update_zone(state: PolicyState, zone: str, load_ratio: float) -> None:
    rate = max(zone_request_rate(state, zone), MIN_REQUEST_RATE_PER_S)
    # by short reports only: those over long windows are old
    answered = success_rate(state, zone, state.endpoints.values(), MAX_SAMPLE_AGE_NS)
    floor = max(SUCCESS_ADMISSION_FRACTION * answered / rate, MIN_ADMISSION_RATE)
    saturated = is_saturated(state, zone)
    for table in state.all_tables():
        if table.zone != zone:
            continue
        table.admission_history.append(AdmissionSample(table.admission_rate, rate))
        _update_retry_policy(table, load_ratio, state.retry_policy)
        # while other zones have capacity left, spillover comes first
        may_shed = load_ratio > FLOODED_LOAD_RATIO or (
            load_ratio > SHED_LOAD_RATIO and (table.zone_local or saturated)
        )
        _update_admission_rate(table, rate, load_ratio, floor, may_shed)
        _report_conditions(state, table, load_ratio)


def _update_retry_policy(table: EndpointTable, load_ratio: float, default: int) -> None:
    """Forbid retries under load: at full endpoints they would double a flood at its start."""
    if load_ratio > CALM_LOAD_RATIO:
        table.retry_policy = 0
    elif table.admission_rate == 1:
        table.retry_policy = default


def _update_admission_rate(
    table: EndpointTable, rate: float, load_ratio: float, floor: float, may_shed: bool
) -> None:
    """Reckon the admission rate from the one that the reports tell of.

    Args:
        table: Table whose admission rate is updated; its history ends with the present evaluation.
        rate: Present requests per second in the zone.
        load_ratio: Latency / objective in the zone.
        floor: Lowest admission rate.
        may_shed: Whether the admission rate may fall.
    """
    reported = table.admission_history[0]
    admitted = reported.admission_rate * reported.request_rate / rate  # admits now what was admitted then
    if may_shed:
        target = admitted * max(SHED_LOAD_RATIO / load_ratio, MIN_STEP_FACTOR)
        table.admission_rate = min(table.admission_rate, max(target, floor))
    elif load_ratio < CALM_LOAD_RATIO:
        target = admitted * min(CALM_LOAD_RATIO / load_ratio, MAX_STEP_FACTOR)
        table.admission_rate = max(table.admission_rate, min(target, 1.0))


def _report_conditions(state: PolicyState, table: EndpointTable, load_ratio: float) -> None:
    name, cause = f"{table.zone} {table.number}", f"time {load_ratio:.2f} of the objective"
    report_condition(state, f"no further tries {name}", table.retry_policy < state.retry_policy, cause)
    report_condition(state, f"level {name}", table.admission_rate < 1, f"{table.admission_rate:.2f}, {cause}")
