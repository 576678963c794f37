"""The adapter between the simulator's wire and the policy: it translates and decides nothing."""
