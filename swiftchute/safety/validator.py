"""Validates the tables of a controller before any proxy gets them and corrects those that break a rule.

    validator = Validator(settings, SafetyRules(...))
    verdict = validator.validate(proposed, published, statuses, Observations(...), now_ns)
    verdict.tables[number]      # weights and admission rate that may be published
    verdict.violations          # rule, table, endpoints, value, limit, outcome

All tables are validated together, since all of them add to the load of endpoints that warm up. A table that
breaks no rule is published exactly as proposed; any other gets the smallest correction that satisfies the
rules. They are applied in this order; on a conflict the earlier rule wins:

1. `bad weight`: a weight that is not a finite number above 0.
2. `barred server`: a draining or removed endpoint. A drain is never held back.
3. `own zone`: an endpoint of another zone in the table of a zone-local operation.
4. `empty pool`: a table without an endpoint.
5. `no warm server`: only endpoints that warm up, although a warm one is available.
6. `one line`: an endpoint with more than the configured share.
7. `overfull pool`, `large step`: a change moves too much load to one zone; it is published in part.
8. `cold budget`: all tables together send an endpoint that warms up more than its limit.
9. `full channel` (by `PublishGate`): the message quota is nearly used up; the table is not changed.

If no table is safe, the least harmful one is published under a named exception: `no open server` (the
proposed weights are kept) or `only cold servers` (weights are kept, the admission rate is lowered to what the
endpoints may be sent). A change that relies on a possibly stale list (`late list`) is only reported. The
names are those used in settings and log records (`proposal.Rule`).
"""

from collections.abc import Mapping

from swiftchute.api.settings import Settings
from swiftchute.safety.proposal import (
    AllowedTable,
    EndpointStatus,
    Observations,
    Proposal,
    SafetyRules,
    Verdict,
)
from swiftchute.safety.review import Review
from swiftchute.safety.rules.bad_weight import replace_bad_weights
from swiftchute.safety.rules.closed_endpoint import remove_closed_endpoints
from swiftchute.safety.rules.max_share import limit_shares
from swiftchute.safety.rules.no_endpoint import add_warm_endpoints, fill_empty_table
from swiftchute.safety.rules.own_zone import remove_remote_endpoints
from swiftchute.safety.rules.slow_start import SlowStartRule
from swiftchute.safety.rules.stale_list import report_stale_list_risk
from swiftchute.safety.rules.zone_limits import limit_zone_changes


class Validator:
    """Validates proposals against the rules."""

    def __init__(self, settings: Settings, rules: SafetyRules) -> None:
        """Set the limits.

        Args:
            settings: Limits of slow start.
            rules: Limits of the other rules.
        """
        self.settings = settings
        self.rules = rules

    def validate(
        self,
        proposed: Mapping[int, Proposal],
        published: Mapping[int, Mapping[str, float]],
        statuses: Mapping[str, EndpointStatus],
        observations: Observations,
        now_ns: int,
    ) -> Verdict:
        """Validate all tables; the same arguments give the same verdict.

        Args:
            proposed: Proposed tables by number.
            published: Last published weights, by table.
            statuses: What the endpoint list says, by endpoint.
            observations: What was observed of the traffic.
            now_ns: Time of the validation.
        """
        review = Review(self.settings, self.rules, proposed, published, statuses, observations, now_ns)
        for number, table in sorted(proposed.items()):
            weights = _validate_table(review, number)
            review.verdict.tables[number] = AllowedTable(weights, table.admission_rate)
        limit_zone_changes(review)
        SlowStartRule(review).apply()
        for number in sorted(proposed):
            report_stale_list_risk(review, number)
        return review.verdict


def _validate_table(review: Review, number: int) -> dict[str, float]:
    """Apply the rules that concern a single table; return its weights."""
    table = review.proposed[number]
    proposed_weights = replace_bad_weights(review, number, dict(table.weights))
    weights = remove_closed_endpoints(review, number, proposed_weights)
    weights = remove_remote_endpoints(review, number, weights)
    if not table.proxy_zones:
        return weights  # not assigned to any proxy
    weights = fill_empty_table(review, number, weights, proposed_weights)
    weights = add_warm_endpoints(review, number, weights)
    return limit_shares(review, number, weights)
