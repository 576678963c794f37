"""Scripted bad days through the real planner, and the checker of the five rules from what passed on
the sockets."""
