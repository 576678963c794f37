"""What tables admit: turns the share of the requests to admit into limits, and writes them.

If admission is by rate, a limit holds at every proxy of the table and for each operation. It follows from
what arrives there: in total the limits admit the wanted share of the requests for an operation, and
proxies with fewer requests than the limit are not limited.
"""

from collections.abc import Iterable

from swiftchute.policy.load_stats import operation_request_rate
from swiftchute.policy.model import ALL_OPERATIONS, Admission, EndpointTable, OperationLimit, Proxy
from swiftchute.policy.state import PolicyState

MIN_SHARE_CHANGE = 0.04  # smaller relative changes of a share are ignored
MIN_RATE_CHANGE = 0.12  # the same for rates, which follow the reports of many proxies
SHARE_DIGITS = 4  # decimal places of shares
MIN_SHARE = 0.0001  # replaces a share that would be rounded to 0
RATE_SIGNIFICANT_DIGITS = 6
UNKNOWN_DEMAND_LIMIT = 1.0  # per second at each proxy, for operations without any known request
UNLIMITED_REQUEST_RATE = 1e6  # per second; admits all requests if admission is by rate or has no effect


def admission_of(state: PolicyState, table: EndpointTable, share: float, may_retry: bool) -> Admission:
    """Return the admission of a table that admits a share of the requests, 0 to 1."""
    mode = state.settings.admission_mode
    if mode == "share":
        return share_admission(share, may_retry)
    if mode == "none" or share >= 1:
        return _admission_of_all(UNLIMITED_REQUEST_RATE, may_retry)
    return Admission(tuple(_rate_limits(state, table, share)), may_retry)


def share_admission(share: float, may_retry: bool) -> Admission:
    """Return an admission by share, the same for all operations."""
    return _admission_of_all(round(share, SHARE_DIGITS) or MIN_SHARE, may_retry)


def is_close(new: Admission, old: Admission, min_change: float) -> bool:
    """Return whether two admissions differ too little for a push.

    Args:
        new: An admission.
        old: The one that is in force.
        min_change: Relative change of a limit from which on they differ.
    """
    if new.may_retry != old.may_retry or len(new.limits) != len(old.limits):
        return False
    return all(
        limit.operation_mask == other.operation_mask
        and abs(limit.value - other.value) <= min_change * other.value
        for limit, other in zip(new.limits, old.limits, strict=True)
    )


def is_limited_by_rate(state: PolicyState, admission: Admission | None) -> bool:
    """Return whether an admission limits the requests per second of any operation."""
    if admission is None or state.settings.admission_mode != "rate":
        return False
    return any(limit.value < UNLIMITED_REQUEST_RATE for limit in admission.limits)


def min_change(state: PolicyState) -> float:
    """Return the relative change of a limit from which on it is pushed."""
    return MIN_RATE_CHANGE if state.settings.admission_mode == "rate" else MIN_SHARE_CHANGE


def write_admission(state: PolicyState, table: int | None, admission: Admission) -> None:
    """Write the limits and the retry policy of a table, or of all tables (None)."""
    retry_policy = state.retry_policy if admission.may_retry else 0
    for operation_mask, value in admission.limits:
        state.commands.set_admission(table, operation_mask, value, retry_policy)


def table_proxies(state: PolicyState, table: EndpointTable) -> list[Proxy]:
    """Return the proxies that use a table, or those of its zone if none does."""
    in_zone = [proxy for proxy in state.proxies.values() if proxy.zone == table.zone]
    return [proxy for proxy in in_zone if proxy.subset == table.subset] or in_zone


def table_operations(state: PolicyState, table: EndpointTable) -> list[tuple[int, str]]:
    """Return mask and name of each operation that a table serves."""
    operations = enumerate(state.settings.operations)
    return [(1 << bit, each.name) for bit, each in operations if table.operation_mask >> bit & 1]


def _admission_of_all(value: float, may_retry: bool) -> Admission:
    return Admission((OperationLimit(ALL_OPERATIONS, value),), may_retry)


def _rate_limits(state: PolicyState, table: EndpointTable, share: float) -> Iterable[OperationLimit]:
    proxies = table_proxies(state, table)
    for operation_mask, operation in table_operations(state, table):
        rates = [operation_request_rate(state, proxy, operation) for proxy in proxies]
        if not any(rates):  # it may begin at any time
            rates = [proxy.expected_request_rate / len(state.settings.operations) for proxy in proxies]
        limit = _rate_limit(rates, share * sum(rates))
        yield OperationLimit(operation_mask, float(f"{limit:.{RATE_SIGNIFICANT_DIGITS}g}"))


def _rate_limit(rates: list[float], total: float) -> float:
    """Return the limit under which the requests of all proxies add up to a total below their sum, if any."""
    for index, rate in enumerate(sorted(rates)):
        even_part = total / (len(rates) - index)
        if even_part <= rate and rate:
            return even_part
        total -= rate
    return UNKNOWN_DEMAND_LIMIT
