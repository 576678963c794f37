"""Outlier ejection: a proxy avoids an endpoint after consecutive failures it observed. No I/O, no clock.

The duration of an ejection is randomised and doubles with each ejection without a success in between, up to a
bound. After it the endpoint is on probation: one trial request at a time until one succeeds, because an
endpoint that still hangs would otherwise receive its full share of requests until it is ejected again. The
router chooses among the remaining endpoints and uses all of them if all are ejected.
"""

import random
from collections.abc import Set
from dataclasses import dataclass

MAX_DOUBLINGS = 3  # of the ejection duration
MIN_JITTER, MAX_JITTER = 0.75, 1.25  # factors of the ejection duration
MAX_TRACKED_ENDPOINTS = 100_000  # tables contain no more; any others are no longer in use


@dataclass(slots=True)
class _EndpointFailures:
    consecutive_failures: int = 0
    consecutive_ejections: int = 0  # without a success in between
    ejected_until_ns: int = 0
    on_probation: bool = False  # ejected, and no success since
    trial_in_flight: bool = False


class OutlierEjector:
    """Tracks failures and ejections by endpoint; `ejection_count` is the total number of ejections."""

    def __init__(self, ejection_failures: int, ejection_ns: int, seed: int) -> None:
        """Start without failures.

        Args:
            ejection_failures: consecutive failures that eject an endpoint; 0 means never.
            ejection_ns: base duration of an ejection.
            seed: seed of the random durations.
        """
        self.ejection_failures = ejection_failures
        self.ejection_ns = ejection_ns
        self.ejection_count = 0
        self.failures_by_endpoint: dict[str, _EndpointFailures] = {}
        self._random = random.Random(seed)

    def ejected(self, now_ns: int) -> set[str]:
        """Endpoints to avoid: ejected ones, and those on probation with a trial request in flight."""
        if not self.failures_by_endpoint:
            return set()
        return {
            endpoint
            for endpoint, state in self.failures_by_endpoint.items()
            if state.ejected_until_ns > now_ns or (state.on_probation and state.trial_in_flight)
        }

    def attempt_started(self, endpoint: str, now_ns: int) -> None:
        """Record an attempt at the endpoint; on probation it is the trial, and others avoid the endpoint."""
        state = self.failures_by_endpoint.get(endpoint)
        if state is not None and state.on_probation and state.ejected_until_ns <= now_ns:
            state.trial_in_flight = True

    def attempt_ended(self, endpoint: str, succeeded: bool, now_ns: int) -> None:
        """Record the result of an attempt; a success clears the endpoint's failures."""
        if succeeded:
            self.failures_by_endpoint.pop(endpoint, None)
        elif self.ejection_failures:
            self._record_failure(endpoint, now_ns)

    def attempt_abandoned(self, endpoint: str) -> None:
        """Record an attempt that says nothing about the endpoint, such as one whose caller disconnected."""
        state = self.failures_by_endpoint.get(endpoint)
        if state is not None:
            state.trial_in_flight = False

    def retain(self, endpoints: Set[str]) -> None:
        """Forget all endpoints except `endpoints`, those of the current tables."""
        for endpoint in [known for known in self.failures_by_endpoint if known not in endpoints]:
            del self.failures_by_endpoint[endpoint]

    def _record_failure(self, endpoint: str, now_ns: int) -> None:
        state = self.failures_by_endpoint.get(endpoint)
        if state is None:
            if len(self.failures_by_endpoint) >= MAX_TRACKED_ENDPOINTS:
                return
            state = self.failures_by_endpoint[endpoint] = _EndpointFailures()
        if state.ejected_until_ns > now_ns:
            return  # the attempt was in flight when the endpoint was ejected
        state.consecutive_failures += 1
        if state.consecutive_failures >= self.ejection_failures or state.on_probation:
            self._eject(state, now_ns)

    def _eject(self, state: _EndpointFailures, now_ns: int) -> None:
        duration_ns = self.ejection_ns << min(state.consecutive_ejections, MAX_DOUBLINGS)
        state.ejected_until_ns = now_ns + int(duration_ns * self._random.uniform(MIN_JITTER, MAX_JITTER))
        state.consecutive_failures = 0
        state.consecutive_ejections += 1
        state.on_probation = True
        state.trial_in_flight = False
        self.ejection_count += 1
