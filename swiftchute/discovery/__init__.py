"""Endpoint lists: their format, their sources, start times of endpoints, and backoff after failed polls."""
