"""The five invariants of a drill, checked against what was recorded at the sockets and by the backends.

`judge(evidence)` returns one `Verdict` for each. Nothing is read from an instance: the tables that proxies
held follow from replaying the responses that their sockets received, their behaviour from the attempts that
they sent, and what took effect from the backends' receipts.
"""

from swiftchute.drill.evidence import Evidence, EvidenceIndex, Verdict
from swiftchute.drill.invariants.drains import check_drains
from swiftchute.drill.invariants.duplicates import check_duplicates
from swiftchute.drill.invariants.egress import check_egress
from swiftchute.drill.invariants.no_endpoint import check_no_endpoint
from swiftchute.drill.invariants.overload import check_overload


def judge(evidence: Evidence) -> list[Verdict]:
    """Check all five invariants, in the order of their numbers."""
    index = EvidenceIndex(evidence)
    checks = (check_no_endpoint, check_duplicates, check_drains, check_overload, check_egress)
    return [check(index) for check in checks]
