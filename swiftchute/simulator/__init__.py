"""The adapter between the simulator's wire protocol and the policy: it only translates."""
