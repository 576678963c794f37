"""Answers each line of the simulator's input with one line of output; its instances share no state."""

import json
import traceback
from collections.abc import Callable
from typing import Any, BinaryIO, TextIO

from swiftchute.api.commands import Policy
from swiftchute.api.events import Event
from swiftchute.api.settings import Settings
from swiftchute.simulator import codec
from swiftchute.simulator.errors import WireInputError

PolicyFactory = Callable[[Settings, int], Policy]

EXIT_OK = 0
EXIT_BAD_INPUT = 2


class SimulatorHost:
    """Holds the policies of all instances, and runs each with its events from a batch.

    Attributes:
        instances: Running policies by instance number.
    """

    def __init__(self, policy_factory: PolicyFactory, error_output: TextIO) -> None:
        """Create a host without instances.

        Args:
            policy_factory: Creates a policy from its settings and seed.
            error_output: Stream for the tracebacks of exceptions in policies.
        """
        self._policy_factory = policy_factory
        self._error_output = error_output
        self.instances: dict[int, Policy] = {}

    def answer(self, line: bytes, line_number: int) -> str:
        """Process a batch and return the reply.

        Args:
            line: One line of input.
            line_number: The number of the line, for error messages.

        Returns:
            The reply, as one line of output.

        Raises:
            WireInputError: The line is not a batch, or an event in it is unknown or malformed.
        """
        location = f"line {line_number}"
        batch = _parse_batch(line, location)
        replies = []
        for instance, events in batch.groups:
            encoder = codec.ActionEncoder()
            self._run_instance(instance, events, batch.now_ns, encoder, f"{location}, instance {instance}")
            if encoder.actions:
                replies.append((instance, encoder.actions))
        return codec.encode_reply(batch.serial, replies)

    def _run_instance(
        self, instance: int, wire_events: Any, now_ns: int, encoder: codec.ActionEncoder, location: str
    ) -> None:
        """Process the events of an instance; those after its last start or stop become one round."""
        events: list[Event] = []
        for index, wire_event in enumerate(wire_events):
            event_location = f"{location}, event {index + 1}"
            name, fields = _parse_event(wire_event, event_location)
            try:
                if name == codec.START:
                    start = codec.decode_start(fields)
                    events = []
                    self._start(instance, start, encoder)
                elif name == codec.STOP:
                    self.instances.pop(instance, None)
                    # also discards the actions of earlier events of the batch
                    events, encoder.actions = [], []
                elif instance not in self.instances and not encoder.ends_with_fault:
                    # unless its start failed in this batch: such events are dropped
                    raise WireInputError(event_location, f"{name} for an instance that was not started")
                else:
                    events.append(codec.decode_event(name, fields))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                cause = f"{name}: unknown event, or a field is missing or invalid: {error!r}"
                raise WireInputError(event_location, cause) from None
        policy = self.instances.get(instance)
        if policy is not None:
            self._reconcile(policy, now_ns, events, encoder)

    def _start(self, instance: int, start: codec.InstanceStart, encoder: codec.ActionEncoder) -> None:
        """Start or restart an instance; an exception of its policy becomes a fault in the reply."""
        try:
            self.instances[instance] = self._policy_factory(start.settings, start.seed)
        except Exception as error:
            self._report_fault(error, encoder)

    def _reconcile(
        self, policy: Policy, now_ns: int, events: list[Event], encoder: codec.ActionEncoder
    ) -> None:
        """Run one round of a policy; an exception of it is always reported as a fault in the reply."""
        try:
            policy.reconcile(now_ns, events, encoder)
        except Exception as error:
            self._report_fault(error, encoder)

    def _report_fault(self, error: Exception, encoder: codec.ActionEncoder) -> None:
        traceback.print_exception(error, file=self._error_output)
        encoder.report_fault(f"{type(error).__name__}: {error}")


def serve(requests: BinaryIO, replies: TextIO, error_output: TextIO, policy_factory: PolicyFactory) -> int:
    """Answer batches until the end of the input or the first invalid line.

    Args:
        requests: Input, one batch per line; empty lines are skipped.
        replies: Output, one line for each batch.
        error_output: Stream for error messages and tracebacks.
        policy_factory: Creates a policy from its settings and seed.

    Returns:
        The exit code of the process.
    """
    host = SimulatorHost(policy_factory, error_output)
    for line_number, line in enumerate(requests, 1):
        if not line.strip():
            continue
        try:
            reply = host.answer(line, line_number)
        except WireInputError as error:
            print(f"swiftchute.simulator: {error}", file=error_output)
            return EXIT_BAD_INPUT
        print(reply, file=replies, flush=True)
    return EXIT_OK


def _parse_batch(line: bytes, location: str) -> codec.Batch:
    try:
        value = json.loads(line)
    except ValueError as error:
        raise WireInputError(location, f"not JSON: {error}") from None
    try:
        return codec.decode_batch(value)
    except (KeyError, TypeError) as error:
        raise WireInputError(
            location, f"not a batch, a field is missing or of the wrong type: {error!r}"
        ) from None


def _parse_event(wire_event: Any, location: str) -> tuple[str, Any]:
    """Return the name and fields of an event."""
    try:
        ((name, fields),) = wire_event.items()
    except (AttributeError, ValueError):
        raise WireInputError(
            location, "not an event: expected an object with one key, the event's name"
        ) from None
    return name, fields
