"""Limits on what clients may use up together: bytes of unfinished messages, and turns of the event loop."""
