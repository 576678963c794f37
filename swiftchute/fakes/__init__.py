"""Fakes of external systems for drills and tests: backends, gateways, DNS clients and a faulty network."""
