"""Endpoint lists of the daemon: their format, their sources, and backoff between attempts to read them."""
