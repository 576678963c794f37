"""Logs of the program: one JSON line an event, on standard error, by structlog."""
