"""Fault scenarios played through real instances, and the invariants that judge the recorded traffic."""
