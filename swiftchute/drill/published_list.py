"""The endpoint list that a drill publishes as a file, and a record of what it said over time."""

import json
import os
import time
from collections.abc import Iterable

from swiftchute.drill.evidence import Observation
from swiftchute.fakes.backend import FakeBackend

NS_PER_S = 1_000_000_000


class PublishedList:
    """Writes the list in the file_sd form and records an `Observation` whenever a backend's entry changes."""

    def __init__(self, path: str, backends: list[FakeBackend]) -> None:
        """Create a list that is not written yet.

        Args:
            path: Path of the file.
            backends: The backends that may be listed; the runner may add to it.
        """
        self.path = path
        self.observations: list[Observation] = []
        self.frozen = False  # the file is not written, whatever changes
        self.ghosts: list[tuple[str, str]] = []  # address and zone of listed endpoints that do not exist
        self._backends = backends
        self._entries: dict[str, tuple[str, int]] = {}  # by address: state, and start or 0
        self._start_labels: dict[tuple[str, int], str] = {}

    def state(self, backend: FakeBackend) -> str:
        """Return the state that the list says."""
        return self._entries[backend.address][0]

    def add(self, backend: FakeBackend, state: str) -> None:
        """Add a backend that is not published before the next call of `publish`."""
        self._entries[backend.address] = (state, 0)

    def set_state(self, backend: FakeBackend, state: str, started: int | None = None) -> None:
        """Publish another state of a backend, and another start (monotonic nanoseconds) if one is given."""
        if started is None:
            started = self._entries[backend.address][1]
        self._entries[backend.address] = (state, started)
        self.publish()

    def publish(self) -> None:
        """Write the list and record what it says from now on."""
        groups = [self._group(backend) for backend in self._backends if self.state(backend) != "gone"]
        groups += [
            {"targets": [address], "labels": {"zone": zone, "kind": "std", "state": "ready"}}
            for address, zone in self.ghosts
        ]
        if self.frozen:
            return
        self._write(groups)
        self._observe(time.monotonic_ns())

    def publish_empty(self) -> None:
        """Write a list without endpoints; nothing is recorded, as no backend's state changes by it."""
        self._write([])

    def _group(self, backend: FakeBackend) -> dict:
        state, started = self._entries[backend.address]
        labels = {"zone": backend.zone, "kind": "std", "state": state, "start": self._start(backend, started)}
        return {"targets": [backend.address], "labels": labels}

    def _start(self, backend: FakeBackend, started: int) -> str:
        """Return the start as wall clock; the same start always has the same text."""
        wall_s = (started + time.time_ns() - time.monotonic_ns()) / NS_PER_S
        return self._start_labels.setdefault((backend.address, started), f"{wall_s:.1f}" if started else "0")

    def _write(self, groups: Iterable[dict]) -> None:
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(list(groups), file)
        os.replace(self.path + ".new", self.path)

    def _observe(self, now: int) -> None:
        for backend in self._backends:
            state, started = self._entries[backend.address]
            seen = (o for o in reversed(self.observations) if o.endpoint == backend.address)
            last = next(seen, None)
            if last is None or (last.state, last.started_ns) != (state, started):
                self.observations.append(Observation(now, backend.address, backend.zone, state, started))
