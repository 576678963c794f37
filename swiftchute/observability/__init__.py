"""Structured logs on standard error, one JSON line per event, written by structlog."""
