"""The loop: one line in, one line out; one isolated instance a planner."""

import json
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO, TextIO

from swiftchute.api.commands import Policy
from swiftchute.api.events import Event
from swiftchute.api.settings import Settings
from swiftchute.simulator import codec

Maker = Callable[[Settings, int], Policy]


class BadInput(Exception):
    """Input that is not of the wire; its text says what and where."""


class Host:
    """Keeps the instances and drives each with what a batch holds for it."""

    def __init__(self, make: Maker, errors: TextIO) -> None:
        """Instances are built by `make` when their start comes in."""
        self.make, self.errors = make, errors
        self.instances: dict[int, Policy] = {}

    def batch(self, text: bytes, number: int) -> str:
        """Answer one line of input with one line of output."""
        try:
            value = json.loads(text)
        except ValueError as why:
            raise BadInput(f"line {number}: not JSON: {why}") from None
        try:
            now, serial = value["now_us"] * codec.US, value["serial"]
            groups = [(g["planner_id"], g["in"]) for g in value["groups"]]
        except (KeyError, TypeError) as why:
            raise BadInput(f"line {number}: not a batch: {why!r} missing or of the wrong type") from None
        replies = []
        for planner, events in groups:
            out = codec.Outbox()
            self._turn(planner, events, now, out, f"line {number}, planner {planner}")
            if out.actions:
                replies.append({"planner_id": planner, "outbox": out.actions})
        return json.dumps({"serial": serial, "groups": replies}, separators=(",", ":"))

    def _turn(self, planner: int, events: Any, now: int, out: codec.Outbox, where: str) -> None:
        """Split a group at its starts and ends; what lies between goes to the instance as one round."""
        calls: list[Event] = []
        for place, event in enumerate(events):
            spot = f"{where}, event {place + 1}"
            try:
                ((name, fields),) = event.items()
            except (AttributeError, ValueError):
                raise BadInput(f"{spot}: not an event") from None
            try:
                if name == "HELLO":
                    given, seed = codec.settings(fields["profile_data"]), fields["init_seed"]
                    calls = []
                    self._guarded(out, lambda g=given, s=seed: self._start(planner, g, s))
                elif name == "EXIT":
                    self.instances.pop(planner, None)
                    calls, out.actions = [], []
                elif planner not in self.instances and not self._failed(out):
                    raise BadInput(f"{spot}: {name} for a planner that was not started")
                else:
                    calls.append(codec.event(name, fields))
            except (KeyError, TypeError, ValueError, AttributeError) as why:
                raise BadInput(f"{spot}: {name}: unknown, or a field is missing or wrong: {why!r}") from None
        instance = self.instances.get(planner)
        if instance is not None:
            self._guarded(out, lambda: instance.reconcile(now, calls, out))

    def _start(self, planner: int, given: Settings, seed: int) -> None:
        self.instances[planner] = self.make(given, seed)

    @staticmethod
    def _failed(out: codec.Outbox) -> bool:
        return bool(out.actions) and "FAULT" in out.actions[-1]

    def _guarded(self, out: codec.Outbox, act: Callable[[], None]) -> None:
        """An exception of the decision code becomes the instance's fault, never silence."""
        try:
            act()
        except Exception as why:
            traceback.print_exc(file=self.errors)
            out.fault(f"{type(why).__name__}: {why}")


def serve(source: BinaryIO, replies: TextIO, errors: TextIO, make: Maker) -> int:
    """Run until the input ends; returns the exit code."""
    host = Host(make, errors)
    for number, text in enumerate(source, 1):
        if not text.strip():
            continue
        try:
            answer = host.batch(text, number)
        except BadInput as why:
            print(f"swiftchute.simulator: {why}", file=errors)
            return 2
        print(answer, file=replies, flush=True)
    return 0
