"""Validates tables before they are published and corrects those that break a rule. No I/O, no clock."""
