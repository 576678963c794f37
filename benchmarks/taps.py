"""Replays recorded pushes of the policy through the safety gate: which of them would it have rejected?

    python benchmarks/taps.py DAY.tap ..

A recording (`lbsim run .. --tap FILE`) holds batches of events and the replies to them. The batches are fed
to the policy again, round by round, inside a controller whose safety gate only warns. So the policy sees the
recorded input, and every violation concerns a table that the policy commanded. A reply that differs from the
recorded one invalidates the run, so such replies are counted.

Counted by rule: pushes (rounds of an instance that changed a table), violations that began, and rounds in
which a violation persisted. Violations caused by a command, which raised the weight of an endpoint that the
violation names, are counted apart from those caused by a change of the endpoint list or the load under
published tables. Samples of the violations are printed to standard error.
"""

import json
import sys
from collections import Counter, defaultdict

from swiftchute.api.events import DemandReport, EndpointListUpdate, ProxyConnected, ProxyDisconnected
from swiftchute.controller.controller import Controller
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.policy import Reconciler
from swiftchute.safety.proposal import Rule, SafetyRules
from swiftchute.simulator.host import SimulatorHost

S = 1_000_000_000


class CommandTee:
    """A command writer that passes each command on to two writers."""

    def __init__(self, replies, controller_commands):
        self.replies, self.controller_commands = replies, controller_commands

    def __getattr__(self, verb):
        write_reply, write_command = getattr(self.replies, verb), getattr(self.controller_commands, verb)

        def write(*arguments):
            write_reply(*arguments)
            if verb not in ("send_to_peer", "probe"):
                write_command(*arguments)

        return write


class ReplayedInstance:
    """A controller with the policy, driven by recorded rounds in place of sockets."""

    created: list["ReplayedInstance"] = []

    def __init__(self, settings, seed):
        self.controller = Controller(
            settings, seed, self._make_policy, safety_rules=SafetyRules(), enforce=False
        )
        self.settings, self.writer, self.now = settings, None, 0
        self.pushes, self.violating_rounds, self.began, self.samples = (
            0,
            Counter(),
            Counter(),
            defaultdict(list),
        )
        ReplayedInstance.created.append(self)

    def _make_policy(self, settings, seed):
        instance, policy = self, Reconciler(settings, seed)

        class Policy:
            def reconcile(self, now, events, commands):
                policy.reconcile(now, events, CommandTee(instance.writer, commands))

        return Policy()

    def reconcile(self, now, events, writer):
        controller, self.writer = self.controller, writer
        # idle safety reviews between rounds, as in a running instance
        while self.now and self.now + S < now:
            self.now += S
            self._run_round(self.now)
        self.now = now
        for event in events:
            match event:
                case ProxyConnected(proxy, zone, rate, fresh):
                    controller.on_proxy_connected(proxy, zone, rate, fresh)
                case ProxyDisconnected(proxy):
                    controller.on_proxy_disconnected(proxy)
                case EndpointListUpdate(scope, endpoints):
                    controller.on_list_update(EndpointListChange(scope, tuple(endpoints), ()))
                case _:
                    controller.runner.pending_events.append(event)
        if not events:
            controller.runner.pending_events.append(DemandReport(None, "", 0, 0, 1))
        self._run_round(now)

    def _run_round(self, now):
        controller = self.controller
        revisions = sum(table.revision for table in controller.assignments.tables.values())
        previous_weights = {
            number: dict(table.weights) for number, table in controller.assignments.tables.items()
        }
        output = controller.run_round(now)
        for proxy, _ in output.pushes:  # treats each push as acknowledged at once
            controller.on_fully_acknowledged(proxy, now)
        controller.runner.timers = []  # rounds are driven by the recording instead
        changed = sum(table.revision for table in controller.assignments.tables.values()) != revisions
        self.pushes += changed
        raised = {
            endpoint
            for number, table in controller.assignments.tables.items()
            for endpoint in table.weights.keys() | previous_weights.get(number, {}).keys()
            if table.weights.get(endpoint, 0) > previous_weights.get(number, {}).get(endpoint, 0)
        }
        for rule in (
            {violation.rule for violation in controller.publish_gate.violations} - {Rule.STALE_LIST}
            if now == controller.last_review_ns
            else ()
        ):
            caused_by_command = changed and any(
                violation.rule == rule and (not violation.endpoints or raised & set(violation.endpoints))
                for violation in controller.publish_gate.violations
            )
            self.violating_rounds[rule, caused_by_command] += 1
        for event, fields in output.log_events:
            if event == "guard" and fields["on"]:
                caused_by_command = changed and bool(not fields["servers"] or raised & set(fields["servers"]))
                self.began[fields["rule"], caused_by_command] += 1
                self.samples[fields["rule"], caused_by_command].append((now, fields))
            if event == "policy crashed":
                sys.exit(f"the policy raised an exception: {fields}")


def replay(path):
    """Replay one recording; return its instances and how many replies differ from the recorded ones."""
    ReplayedInstance.created = []
    # the host gives the factory only settings and seed, as it does for the real policy
    host, differing, reply = SimulatorHost(ReplayedInstance, sys.stderr), 0, None
    with open(path, "rb") as recording:
        for number, text in enumerate(recording, 1):
            if text[:2] in (b">>", b"<<"):
                direction = text[:2]
            elif direction == b">>":
                reply = host.answer(text, number)
            elif json.loads(reply) != json.loads(text):
                differing += 1
    return ReplayedInstance.created, differing


def main(paths):
    """Print one row per recording and rule."""
    print("| recording | pushes | rule | from a command | violations | violating rounds |")
    print("| --- | --- | --- | --- | --- | --- |")
    for path in paths:
        instances, differing = replay(path)
        name = path.rsplit("/", 1)[-1].removesuffix(".tap")
        pushes = sum(instance.pushes for instance in instances)
        for key in sorted({k for instance in instances for k in instance.violating_rounds}) or [
            ("none", False)
        ]:
            began, rounds = (
                sum(instance.began[key] for instance in instances),
                sum(instance.violating_rounds[key] for instance in instances),
            )
            print(f"| {name} | {pushes} | {key[0]} | {'yes' if key[1] else 'no'} | {began} | {rounds} |")
            for instance in instances:
                for now, fields in instance.samples[key][:3]:
                    print(
                        f"    {now / S:.1f} {key} instance {instance.settings.instance}: {fields}",
                        file=sys.stderr,
                    )
        if differing:
            print(f"{name}: {differing} replies differ from the recorded ones", file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1:])
