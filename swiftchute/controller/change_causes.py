"""Causes of changes that the controller treats alike."""

from swiftchute.versions.table_log import ChangeCause

# Changes that the safety rules or an operator asked for reach all proxies at once, without a canary.
IMMEDIATE_CAUSES = frozenset({ChangeCause.GUARD, ChangeCause.ROLLBACK, ChangeCause.PIN})
