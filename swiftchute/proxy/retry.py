"""Whether an attempt is retried: only when that cannot execute the request twice, and within a budget.

What proves that an attempt never ran, by protocol:

- any: no connection was made, or nothing of the attempt was ever written to one. A connection that was lost
  after any of it was written proves nothing, nor does a timeout.
- HTTP/2: RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7); GOAWAY whose last stream is an earlier one (6.8).
  RST_STREAM with any other code proves nothing, nor does a GOAWAY that names the stream or a later one.
- HTTP/1.1: nothing of its own. A server may close after it ran the request (RFC 9112, 9.3.1), on a reused
  connection as well; 503, 429 and 408 are sent after work as well as before it.
- gRPC: as HTTP/2. No status in trailers proves it, not UNAVAILABLE either: servers send it after they ran.

A table may allow retries without proof; that holds for idempotent operations only.
"""

from enum import Enum, StrEnum

from swiftchute.proxy.endpoint_table import EndpointTable
from swiftchute.proxy.http_framing import REFUSED_STREAM
from swiftchute.proxy.settings import NS_PER_S, Idempotency

BUDGET_WINDOW_S = 10  # the bucket of a retry budget holds the minimum rate of so long
ROUNDING_TOLERANCE = 1e-9  # fractions add up to a little less than a whole retry


class RequestResult(StrEnum):
    """How a request ended; the values are the names of counters in log records."""

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
    """How an attempt ended.

    Attributes:
        result: the request's result if this was its last attempt.
        may_have_run: whether the endpoint may have executed the request.
        succeeded: whether the endpoint answered well.
    """

    SUCCEEDED = (RequestResult.ANSWERED, True)
    FAILED = (RequestResult.FAILED, True)  # the endpoint answered with an error
    REFUSED = (RequestResult.REFUSED, False)  # by the endpoint, before it ran
    UNREACHABLE = (RequestResult.UNREACHABLE, False)
    WITHDRAWN = (RequestResult.WITHDRAWN, False)  # the endpoint was, before the attempt was sent
    CONNECTION_LOST = (RequestResult.CONNECTION_LOST, True)
    TIMED_OUT = (RequestResult.TIMED_OUT, True)
    NOT_SENT = (RequestResult.CONNECTION_LOST, False)  # the connection accepted nothing

    def __init__(self, result: RequestResult, may_have_run: bool) -> None:
        """Set the attributes of a member."""
        self.result = result
        self.may_have_run = may_have_run
        self.succeeded = result is RequestResult.ANSWERED


def outcome_of_reset(error_code: int) -> AttemptOutcome:
    """The outcome of an attempt whose stream was reset with this HTTP/2 error code."""
    return AttemptOutcome.REFUSED if error_code == REFUSED_STREAM else AttemptOutcome.CONNECTION_LOST


class RetryBudget:
    """A token bucket of retries: a fraction of the requests, and a minimum rate beside it."""

    def __init__(self, fraction: float, min_retries_per_s: float) -> None:
        """Start with a full bucket.

        Args:
            fraction: retries earned by each request.
            min_retries_per_s: retries earned a second whatever arrives.
        """
        self.fraction = fraction
        self.min_retries_per_s = min_retries_per_s
        self.max_tokens = min_retries_per_s * BUDGET_WINDOW_S
        self.tokens = self.max_tokens
        self.granted = 0
        self.denied = 0
        self._refilled_at_ns = 0

    def record_request(self, now_ns: int) -> None:
        """A request arrived."""
        self._refill(now_ns)
        self.tokens = min(self.tokens + self.fraction, self.max_tokens)

    def acquire(self, now_ns: int) -> bool:
        """Take a token for one retry; returns whether there was one."""
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
    """Whether to make another attempt after one that ended so; a retry takes a token of the budget.

    A table cannot make an operation execute twice that must not: `idempotency` comes from the settings. An
    attempt that was never sent because its endpoint was withdrawn is no failure and does not count.

    Args:
        outcome: how the attempt ended.
        table: the request's table, which limits retries and may demand proof that the attempt never ran.
        idempotency: of the request's operation.
        retries: retries made so far.
        now_ns: the time now.
        deadline_ns: when the request ends.
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
