"""Outlier ejection: a proxy avoids an endpoint after a run of its own failures. No I/O, no clock.

An ejection's length is randomised and doubles with each ejection that follows at once on the last, up to a
bound. When it has ended, one request at a time is let through until one succeeds (probation): an endpoint
that still hangs would otherwise receive its whole share of requests for another run of failures. The caller
decides who is left to pick from: if all endpoints are ejected it uses them all.
"""

import random
from collections.abc import Set
from dataclasses import dataclass

MAX_DOUBLINGS = 3  # of the ejection's length
MIN_JITTER, MAX_JITTER = 0.75, 1.25  # factors of an ejection's length
MAX_TRACKED_ENDPOINTS = 100_000  # tables name no more; the others are endpoints of the past


@dataclass(slots=True)
class _EndpointFailures:
    consecutive_failures: int = 0
    ejections: int = 0  # without a success between them
    ejected_until_ns: int = 0
    on_probation: bool = False  # was ejected and has not succeeded since
    trial_in_flight: bool = False


class OutlierEjector:
    """The failures and ejections of each endpoint; `ejection_count` counts all ejections."""

    def __init__(self, ejection_failures: int, ejection_ns: int, seed: int) -> None:
        """Start without failures.

        Args:
            ejection_failures: consecutive failures that eject an endpoint; 0 means never.
            ejection_ns: base length of an ejection.
            seed: of the random lengths.
        """
        self.ejection_failures = ejection_failures
        self.ejection_ns = ejection_ns
        self.ejection_count = 0
        self.failures_by_endpoint: dict[str, _EndpointFailures] = {}
        self._random = random.Random(seed)

    def ejected(self, now_ns: int) -> set[str]:
        """Endpoints to avoid: ejected, or on probation with their trial request in flight."""
        if not self.failures_by_endpoint:
            return set()
        return {
            endpoint
            for endpoint, state in self.failures_by_endpoint.items()
            if state.ejected_until_ns > now_ns or (state.on_probation and state.trial_in_flight)
        }

    def attempt_started(self, endpoint: str, now_ns: int) -> None:
        """An attempt goes to the endpoint; on probation it is the trial, and other requests wait for it."""
        state = self.failures_by_endpoint.get(endpoint)
        if state is not None and state.on_probation and state.ejected_until_ns <= now_ns:
            state.trial_in_flight = True

    def attempt_ended(self, endpoint: str, succeeded: bool, now_ns: int) -> None:
        """An attempt at the endpoint ended."""
        if succeeded:
            self.failures_by_endpoint.pop(endpoint, None)
        elif self.ejection_failures:
            self._record_failure(endpoint, now_ns)

    def attempt_abandoned(self, endpoint: str) -> None:
        """An attempt ended without showing anything of the endpoint: its caller went away."""
        state = self.failures_by_endpoint.get(endpoint)
        if state is not None:
            state.trial_in_flight = False

    def retain(self, endpoints: Set[str]) -> None:
        """Forget all endpoints but these, which the tables name now."""
        for endpoint in [known for known in self.failures_by_endpoint if known not in endpoints]:
            del self.failures_by_endpoint[endpoint]

    def _record_failure(self, endpoint: str, now_ns: int) -> None:
        state = self.failures_by_endpoint.get(endpoint)
        if state is None:
            if len(self.failures_by_endpoint) >= MAX_TRACKED_ENDPOINTS:
                return
            state = self.failures_by_endpoint[endpoint] = _EndpointFailures()
        if state.ejected_until_ns > now_ns:
            return  # it was in flight when the endpoint was ejected: nothing new
        state.consecutive_failures += 1
        if state.consecutive_failures >= self.ejection_failures or state.on_probation:
            self._eject(state, now_ns)

    def _eject(self, state: _EndpointFailures, now_ns: int) -> None:
        length_ns = self.ejection_ns << min(state.ejections, MAX_DOUBLINGS)
        state.ejected_until_ns = now_ns + int(length_ns * self._random.uniform(MIN_JITTER, MAX_JITTER))
        state.consecutive_failures = 0
        state.ejections += 1
        state.on_probation = True
        state.trial_in_flight = False
        self.ejection_count += 1
