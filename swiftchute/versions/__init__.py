"""Tables in versions: content, deltas, history, ways back, who holds what. Decisions and state only: no
I/O."""
