"""Retry policy: which attempts are retried, and the retry budget."""

import pytest

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.retry import AttemptOutcome, RetryBudget, should_retry
from swiftchute.proxy.settings import Idempotency

S = 1_000_000_000
NOW = 1000 * S


PROOF_REQUIRED = EndpointTable("c", {"a": 1}, max_retries=1)
NO_PROOF = EndpointTable("c", {"a": 1}, max_retries=2, requires_proof=False)


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("table", [PROOF_REQUIRED, NO_PROOF])
@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.SUCCEEDED,
        AttemptOutcome.FAILED,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.REFUSED,
        AttemptOutcome.UNREACHABLE,
    ],
)
def test_attempts_that_may_have_run_are_retried_only_if_idempotent_and_allowed_by_the_table(
    idempotency, table, outcome
):
    retried = should_retry(outcome, table, idempotency, 0, NOW, NOW + S, RetryBudget(1.0, 10.0))
    proved = outcome in (AttemptOutcome.REFUSED, AttemptOutcome.UNREACHABLE)
    assert retried == (
        proved
        or (
            outcome is not AttemptOutcome.SUCCEEDED
            and idempotency is Idempotency.IDEMPOTENT
            and table is NO_PROOF
        )
    )


def test_retries_end_with_the_tables_limit_the_deadline_and_the_budget():
    budget = RetryBudget(0.0, 0.1)
    assert not should_retry(
        AttemptOutcome.REFUSED, PROOF_REQUIRED, Idempotency.IDEMPOTENT, 1, NOW, NOW + S, budget
    )
    assert not should_retry(
        AttemptOutcome.REFUSED, PROOF_REQUIRED, Idempotency.IDEMPOTENT, 0, NOW + S, NOW + S, budget
    )
    assert not should_retry(
        AttemptOutcome.REFUSED, EndpointTable("c", {"a": 1}), Idempotency.IDEMPOTENT, 0, NOW, NOW + S, budget
    )  # the table allows none
    assert [
        should_retry(AttemptOutcome.REFUSED, PROOF_REQUIRED, Idempotency.IDEMPOTENT, 0, NOW, NOW + S, budget)
        for _ in range(3)
    ] == [
        True,
        False,
        False,
    ]
    assert should_retry(
        AttemptOutcome.REFUSED, PROOF_REQUIRED, Idempotency.IDEMPOTENT, 0, NOW + 10 * S, NOW + 20 * S, budget
    )
    # a withdrawn attempt was never sent, so it is neither a failure nor limited by max_retries
    assert should_retry(
        AttemptOutcome.WITHDRAWN, PROOF_REQUIRED, Idempotency.SIDE_EFFECTING, 5, NOW, NOW + S, budget
    )


def test_the_retry_budget_is_a_fraction_of_requests():
    budget = RetryBudget(0.2, 1.0)
    while budget.acquire(NOW):
        pass
    for _ in range(50):
        budget.record_request(NOW)
    assert sum(budget.acquire(NOW) for _ in range(50)) == 10
