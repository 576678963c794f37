"""Invariant 3: drains are kept."""

from swiftchute.drill.evidence import EvidenceIndex, Verdict
from swiftchute.fakes.traffic_record import AttemptRecord

NS_PER_S = 1_000_000_000


def check_drains(index: EvidenceIndex) -> Verdict:
    """3: connected proxies stop sending to a draining or gone endpoint within the drain grace."""
    verdict = Verdict("drains kept", 0.0, index.settings.drain_grace_ns / NS_PER_S, "s", "")
    attempts = index.evidence.attempts
    lags = [(attempt, _lag_s(index, attempt)) for attempt in attempts]
    checked = [(attempt, lag) for attempt, lag in lags if lag is not None]
    for attempt, lag in checked:
        verdict.observe(lag)
        if lag > verdict.limit:
            verdict.add_violation(
                f"{attempt.gateway} sent {attempt.request_id} to {attempt.endpoint} {lag:.2f} s after its"
                " drain or removal was known"
            )
    verdict.looked_at = f"{len(checked)} attempts at draining or gone endpoints, of {len(attempts)}"
    return verdict


def _lag_s(index: EvidenceIndex, attempt: AttemptRecord) -> float | None:
    """Return how long an attempt came after the drain of its endpoint was known, None if it may be sent."""
    rows = index.observations.get(attempt.endpoint, [])
    row = index.observation_index(attempt.endpoint, attempt.time_ns)
    connection = index.connection_at(attempt.gateway, attempt.time_ns)
    if row < 0 or connection is None or rows[row].state == "ready":
        return None
    if attempt.gateway in index.evidence.overstaying_clients:
        return None
    while row and rows[row - 1].state != "ready":
        row -= 1  # an endpoint that drained before it was gone: the grace began with the drain
    known_ns = index.earliest_notice(connection.instance, rows[row].time_ns)
    return (attempt.time_ns - max(known_ns, connection.from_ns)) / NS_PER_S
