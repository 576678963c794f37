"""Why a table got a new version, as the version history records it."""

from enum import StrEnum


class ChangeCause(StrEnum):
    """Cause of a new version of a table."""

    START = "start"  # the first version of the table
    LIST = "list"  # the endpoint list changed
    HEALTH = "health"  # the policy changed weights for another reason
    LEVEL = "level"  # only admission rates or retry policies changed
    GUARD = "guard"  # the safety rules changed it
    CANARY = "canary"  # a canary began or ended
    PIN = "pin"  # an operator pinned the table
    ROLLBACK = "rollback"  # an operator or the controller went back to an earlier version
    RELEASE = "release"  # a pin ended


# Changes that the safety rules or an operator asked for reach all proxies at once, without a canary.
IMMEDIATE_CAUSES = frozenset({ChangeCause.GUARD, ChangeCause.ROLLBACK, ChangeCause.PIN})
