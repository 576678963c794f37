"""Policies, endpoint lists and rounds for tests of the controller."""

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import TimerFired
from swiftchute.api.settings import Settings
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.policy import Reconciler
from tests.conftest import DEFAULTS, operation

NS_PER_S = 1_000_000_000
SETTINGS = Settings(**(DEFAULTS | {"operations": (operation("read"), operation("write"))}))


class CrashingPolicy(Reconciler):
    """The real policy, which raises an exception while `crashes` is set."""

    crashes = False

    def reconcile(self, now, events, commands):
        if CrashingPolicy.crashes:
            raise ZeroDivisionError("on purpose")
        super().reconcile(now, events, commands)


class InterferingPolicy(Reconciler):
    """The real policy; `interference` issues more commands after a round, without the policy's knowledge."""

    interference = None

    def reconcile(self, now, events, commands):
        super().reconcile(now, events, commands)
        if InterferingPolicy.interference is not None:
            InterferingPolicy.interference(commands)
            InterferingPolicy.interference = None


def record(endpoint, state="ready", started_ns=0):
    """Return an endpoint record in zone east."""
    return EndpointRecord(endpoint, "east", "", 0, state, 1.0, started_ns)


def list_change(*endpoints, scope="held", state="ready"):
    """Return an endpoint list, or changes to it."""
    return EndpointListChange(scope, tuple(record(endpoint, state) for endpoint in endpoints), ())


def start(controller, *endpoints):
    """Deliver an endpoint list and connect proxy `p`."""
    controller.on_list_update(list_change(*endpoints))
    controller.on_proxy_connected("p", "east", 10.0, True)
    return controller


def play(controller, start_ns, seconds):
    """Run a round every 100 ms and acknowledge pushes at once; return the outputs."""
    outputs = []
    for step in range(int(seconds * 10)):
        now = start_ns + step * NS_PER_S // 10
        output = controller.run_round(now)
        outputs.append(output)
        for proxy, nonce in output.pushes:
            if nonce is not None:
                controller.on_acknowledged(proxy, nonce, now)
    return outputs


def log_events(outputs):
    """Return all log events of these rounds."""
    return [event for output in outputs for event in output.log_events]


def published_weights(controller, proxy="p"):
    """Return the published weights by endpoint, over all tables of a proxy."""
    contents = controller.tables_of(proxy).contents.values()
    return {entry.endpoint: entry.weight for content in contents for entry in content.entries}


def command(controller, policy, now, *commands):
    """Run a round with these commands and another one half a second later; return the pushes of both."""
    policy.writes = list(commands)
    controller.runner.pending_events.append(TimerFired(0))
    return controller.run_round(now).pushes + controller.run_round(now + NS_PER_S // 2).pushes
