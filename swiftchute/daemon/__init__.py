"""A planner as a process: its core, its fronts, the list's source and the loop that turns them."""
