"""A running planner asked and told by its staff, over a Unix socket of its own."""
