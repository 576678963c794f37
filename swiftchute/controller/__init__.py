"""The controller, without I/O: runs the policy, reviews and versions its tables, and paces pushes."""
