"""One running planner without I/O: the module's calls and verbs, rounds, channel and sums. Fronts
build on it."""
