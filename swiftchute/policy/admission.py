"""What tables admit: turns the share of the requests to admit into limits, and writes them."""

from swiftchute.policy.model import ALL_OPERATIONS, Admission, OperationLimit
from swiftchute.policy.state import PolicyState

MIN_ADMISSION_CHANGE = 0.04  # smaller relative changes of a limit are ignored
LIMIT_DIGITS = 4  # decimal places of shares
MIN_SHARE = 0.0001  # replaces a share that would be rounded to 0
UNLIMITED_REQUEST_RATE = 1e6  # per second; admits all requests if admission is by rate


def admission_of(share: float, may_retry: bool) -> Admission:
    """Return the admission of a table that admits a share of the requests, 0 to 1."""
    limit = OperationLimit(ALL_OPERATIONS, round(share, LIMIT_DIGITS) or MIN_SHARE)
    return Admission((limit,), may_retry)


def is_close(new: Admission, old: Admission) -> bool:
    """Return whether two admissions differ too little for a push."""
    if new.may_retry != old.may_retry or len(new.limits) != len(old.limits):
        return False
    return all(
        limit.operation_mask == other.operation_mask
        and abs(limit.value - other.value) <= MIN_ADMISSION_CHANGE * other.value
        for limit, other in zip(new.limits, old.limits, strict=True)
    )


def write_admission(state: PolicyState, table: int | None, admission: Admission) -> None:
    """Write the limits and the retry policy of a table, or of all tables (None)."""
    retry_policy = state.retry_policy if admission.may_retry else 0
    for operation_mask, value in admission.limits:
        limit = value if state.settings.admission_mode == "share" else UNLIMITED_REQUEST_RATE
        state.commands.set_admission(table, operation_mask, limit, retry_policy)
