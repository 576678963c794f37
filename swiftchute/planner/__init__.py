"""One running planner: the module's calls and verbs, its channel, its clock, and the shells around them."""
