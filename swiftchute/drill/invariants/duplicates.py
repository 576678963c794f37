"""Invariant 2: no effect twice."""

from collections import defaultdict

from swiftchute.drill.evidence import EvidenceIndex, Verdict
from swiftchute.fakes.backend import BackendEvent, Receipt


def check_duplicates(index: EvidenceIndex) -> Verdict:
    """2: no side-effecting request runs more than once under the tables of the instances."""
    side_effecting = {op.name for op in index.settings.operations if op.idempotency == "side-effecting"}
    receipts = index.evidence.receipts
    runs: dict[str, list[Receipt]] = defaultdict(list)
    for r in receipts:
        if r.operation in side_effecting and r.event is BackendEvent.STARTED:
            runs[r.request_id].append(r)
    verdict = Verdict(
        "no effect twice",
        float(max(map(len, runs.values()), default=0)),
        1.0,
        "runs",
        f"{len(runs)} side-effecting requests, {len(receipts)} receipts",
    )
    for request_id, rows in runs.items():
        if len(rows) > 1:
            verdict.add_violation(f"request {request_id} ran at {', '.join(r.endpoint for r in rows)}")
    return verdict
