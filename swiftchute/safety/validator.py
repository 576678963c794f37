"""Validates the tables of a controller before any proxy gets them, and corrects those that break a rule.

    validator = Validator(settings, SafetyRules(...))
    verdict = validator.validate(proposed, published, statuses, Observations(...), now_ns)
    verdict.tables[number]      # weights and admission rate that may be published
    verdict.violations          # rule, table, endpoints, value, limit, and what was done

All tables are validated at once, since endpoints that warm up are loaded by all of them together. A table
that breaks no rule is published exactly as it was proposed. One that does is corrected by the least that
keeps the rules, which are applied in this order; a later one gives way to an earlier one:

1. `bad weight`: a weight that is not a finite number above 0.
2. `barred server`: an endpoint that drains or is removed. A drain is never held back.
3. `own zone`: an endpoint outside the zone of an operation that must not leave it.
4. `empty pool`: no endpoint is left.
5. `no warm server`: only endpoints that warm up while a warm one may be used.
6. `one line`: an endpoint with more than a stated share beside others.
7. `overfull pool`, `large step`: a change moves too much to one zone; it is published in part.
8. `cold budget`: an endpoint that warms up gets more, from all tables together, than it may.
9. `full channel` (`PublishGate`): the message quota is nearly used up; the table is not changed.

Where no table is safe the least harmful one is published under a named exception: `no open server` (what
there is stays), `only cold servers` (weights stay, the admission rate falls to what they may be sent). A list
that may be stale (`late list`) is only reported. The names are those of settings and log records
(`proposal.Rule`).
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
    """Validates proposals by the rules."""

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
            published: Weights that were published last, by table.
            statuses: What the endpoint list says, by endpoint.
            observations: What is known besides.
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
    """Apply the rules that concern one table alone; return its weights."""
    table = review.proposed[number]
    proposed_weights = replace_bad_weights(review, number, dict(table.weights))
    weights = remove_closed_endpoints(review, number, proposed_weights)
    weights = remove_remote_endpoints(review, number, weights)
    if not table.proxy_zones:
        return weights  # it is not assigned to a proxy
    weights = fill_empty_table(review, number, weights, proposed_weights)
    weights = add_warm_endpoints(review, number, weights)
    return limit_shares(review, number, weights)
