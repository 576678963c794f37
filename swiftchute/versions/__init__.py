"""Versions of endpoint tables: content, deltas, history, rollback, delivery, canaries. No I/O."""
