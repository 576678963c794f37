"""Says whether a table may go out, and which rule it would break. Decisions only: no I/O, no clock."""
