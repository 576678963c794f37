"""Retry policy: retries only if the request cannot be executed twice, and within a retry budget.

Proof that an attempt was never executed, by protocol:

- any: no connection was established, or no byte of the attempt was written to one. A connection lost after
  any byte was written proves nothing, nor does a timeout.
- HTTP/2: RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7); GOAWAY whose last stream ID is lower than the
  attempt's (6.8). RST_STREAM with any other code or a GOAWAY with an equal or higher ID proves nothing.
- HTTP/1.1: no proof beyond the first rule. A server may close a new or reused connection after executing the
  request (RFC 9112, 9.3.1), and may send 503, 429 or 408 before or after doing the work.
- gRPC: as for HTTP/2. No status in the trailers is proof, not even UNAVAILABLE: servers also send it after
  executing the call.

A table may allow retries without proof; this applies to idempotent operations only.
"""

from enum import Enum, StrEnum

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.http_framing import REFUSED_STREAM
from swiftchute.proxy.settings import NS_PER_S, Idempotency

BUDGET_WINDOW_S = 10  # the token bucket holds this many seconds of the minimum retry rate
ROUNDING_TOLERANCE = 1e-9  # floating-point fractions may add up to slightly less than one token


class RequestResult(StrEnum):
    """Final result of a request; the values are counter names in log records."""

    ANSWERED = "answered"
    UNKNOWN_OPERATION = "unknown"
    AT_CAPACITY = "full"
    NO_ENDPOINT = "no line"
    NOT_ADMITTED = "level"
    TIMED_OUT = "late"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"
    CONNECTION_LOST = "broken"
    FAILED = "errored"
    TOO_LARGE = "too large"


class AttemptOutcome(Enum):
    """Outcome of a single attempt.

    Attributes:
        result: the request's result if this was its last attempt.
        may_have_run: whether the endpoint may have executed the request.
        succeeded: whether the endpoint answered without an error.
    """

    SUCCEEDED = (RequestResult.ANSWERED, True)
    FAILED = (RequestResult.FAILED, True)  # the endpoint answered with an error
    REFUSED = (RequestResult.REFUSED, False)  # the endpoint refused the stream before executing it
    UNREACHABLE = (RequestResult.UNREACHABLE, False)
    WITHDRAWN = (RequestResult.WITHDRAWN, False)  # the endpoint was withdrawn before the attempt was sent
    CONNECTION_LOST = (RequestResult.CONNECTION_LOST, True)
    TIMED_OUT = (RequestResult.TIMED_OUT, True)
    NOT_SENT = (RequestResult.CONNECTION_LOST, False)  # the connection rejected the request unsent

    def __init__(self, result: RequestResult, may_have_run: bool) -> None:
        """Set the attributes of a member."""
        self.result = result
        self.may_have_run = may_have_run
        self.succeeded = result is RequestResult.ANSWERED


def outcome_of_reset(error_code: int) -> AttemptOutcome:
    """Map the HTTP/2 error code of a RST_STREAM to the attempt's outcome."""
    return AttemptOutcome.REFUSED if error_code == REFUSED_STREAM else AttemptOutcome.CONNECTION_LOST


class RetryBudget:
    """A token bucket for retries, filled by a fraction of the requests and at a minimum rate."""

    def __init__(self, fraction: float, min_retries_per_s: float) -> None:
        """Start with a full bucket.

        Args:
            fraction: tokens added per request.
            min_retries_per_s: tokens added per second, independent of the request rate.
        """
        self.fraction = fraction
        self.min_retries_per_s = min_retries_per_s
        self.max_tokens = min_retries_per_s * BUDGET_WINDOW_S
        self.tokens = self.max_tokens
        self.granted = 0
        self.denied = 0
        self._refilled_at_ns = 0

    def record_request(self, now_ns: int) -> None:
        """Add the tokens for one request."""
        self._refill(now_ns)
        self.tokens = min(self.tokens + self.fraction, self.max_tokens)

    def acquire(self, now_ns: int) -> bool:
        """Take a token for one retry; returns whether one was available."""
        self._refill(now_ns)
        if self.tokens < 1 - ROUNDING_TOLERANCE:
            self.denied += 1
            return False
        self.tokens -= 1
        self.granted += 1
        return True

    def _refill(self, now_ns: int) -> None:
        if self._refilled_at_ns:
            earned = self.min_retries_per_s * (now_ns - self._refilled_at_ns) / NS_PER_S
            self.tokens = min(self.tokens + earned, self.max_tokens)
        self._refilled_at_ns = now_ns


def should_retry(
    outcome: AttemptOutcome,
    table: EndpointTable,
    idempotency: Idempotency,
    retries: int,
    now_ns: int,
    deadline_ns: int,
    budget: RetryBudget,
) -> bool:
    """Whether to make another attempt after `outcome`; a retry takes a token from the budget.

    `idempotency` comes from the proxy's settings, so a table cannot cause a non-idempotent operation to
    execute twice. An attempt withdrawn before it was sent is no failure and does not count as a retry.

    Args:
        outcome: outcome of the attempt that ended.
        table: the request's table, which limits retries and may require proof that the attempt never ran.
        idempotency: idempotency of the requested operation.
        retries: retries made so far.
        now_ns: current time.
        deadline_ns: deadline of the request.
        budget: the proxy's retry budget.
    """
    if outcome.succeeded or now_ns >= deadline_ns:
        return False
    if outcome is AttemptOutcome.WITHDRAWN:
        return True
    if retries >= table.max_retries:
        return False
    if outcome.may_have_run and (table.requires_proof or idempotency != Idempotency.IDEMPOTENT):
        return False
    return budget.acquire(now_ns)
