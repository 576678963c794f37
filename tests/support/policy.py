"""A harness that runs a policy round by round, with fakes of its environment."""

from swiftchute.api.endpoints import EndpointRecord, ListScope
from swiftchute.api.events import (
    DemandReport,
    EndpointListUpdate,
    EndpointLoadReport,
    ProxyConnected,
    PushAcknowledged,
)
from swiftchute.api.settings import Settings
from swiftchute.policy import Reconciler
from swiftchute.policy.units import NS_PER_S
from tests.support.settings import DEFAULTS, operation

# Load reports over half a second, by endpoint: attempts, failures, mean latency in seconds.
CALM = dict.fromkeys(("e0", "e1", "e2", "e3", "w0", "w1", "w2", "w3"), (5, 0, 0.1))


class RecordedCommands:
    """A command writer that records each command as (verb, arguments), in order."""

    def __init__(self):
        self.all = []

    def __getattr__(self, verb):
        return lambda *arguments: self.all.append((verb, arguments))

    def of(self, verb):
        """Return the arguments of the commands of one kind."""
        return [arguments for name, arguments in self.all if name == verb]


def list_changes(records):
    """Return an endpoint list update with changed endpoints only."""
    return EndpointListUpdate(ListScope.DELTA, records)


def weights_in(commands, table):
    """Return the weights that commands set in a table, by endpoint."""
    return {name: weight for number, name, weight in commands.of("set_weight") if number == table.number}


class PolicyHarness:
    """A reconciler and a clock, for zone east with endpoints e0, e1 ... and zone west with w0, w1 ..."""

    def __init__(self, **fields):
        fields.setdefault("operations", (operation("read"), operation("write")))
        self.reconciler, self.now = Reconciler(Settings(**(DEFAULTS | fields)), 7), 1000 * NS_PER_S
        self.state, self.budget = self.reconciler.state, self.reconciler.budget

    def run_round(self, *events, wait_s=0.0):
        """Advance the clock by `wait_s` and run one round; return its commands."""
        self.now += int(wait_s * NS_PER_S)
        commands = RecordedCommands()
        self.reconciler.reconcile(self.now, list(events), commands)
        return commands

    def endpoint(self, name, zone="east", state="ready", age_s=None, weight=1.0):
        """Return an endpoint record; without `age_s` its start time is unknown."""
        started_ns = 0 if age_s is None else self.now - int(age_s * NS_PER_S)
        return EndpointRecord(name, zone, "kind", 0, state, weight, started_ns)

    def start(self, east=4, west=4, proxies=("east", "west")):
        """List endpoints, connect proxies and run the first round, which assigns and pushes tables."""
        records = [self.endpoint(f"e{k}") for k in range(east)]
        records += [self.endpoint(f"w{k}", "west") for k in range(west)]
        connects = [ProxyConnected(number, zone, 10.0, True) for number, zone in enumerate(proxies)]
        return self.run_round(EndpointListUpdate(ListScope.CACHED, records), *connects)

    def run(self, seconds, reports=None, step_s=0.5, requests=0, acknowledge=True):
        """Run a round every `step_s` seconds; return all commands.

        `reports` maps endpoints to the load reports that proxies of their own zone send each round, as in
        `CALM`; `requests` is the number of requests that each proxy reports per round.
        """
        commands = RecordedCommands()
        for _ in range(int(seconds / step_s)):
            events = self._acknowledgements(int(step_s * NS_PER_S)) if acknowledge else []
            for name, (attempts, failures, latency_s) in (reports or {}).items():
                zone, latency_ns = "east" if name[0] == "e" else "west", int(latency_s * NS_PER_S)
                events.append(
                    EndpointLoadReport(zone, name, attempts, failures, latency_ns, NS_PER_S // 2, None)
                )
            if requests:
                proxies = self.state.proxies
                events += [DemandReport(proxy, "read", requests, 0, NS_PER_S // 2) for proxy in proxies]
            commands.all += self.run_round(*events, wait_s=step_s).all
        return commands

    def table(self, zone="east", zone_local=False):
        """Return the first table of a zone."""
        tables = self.state.all_tables()
        return next(table for table in tables if (table.zone, table.zone_local) == (zone, zone_local))

    def _acknowledgements(self, latency_ns):
        nonce = self.budget.nonce
        return [PushAcknowledged(proxy, nonce, latency_ns) for proxy in self.state.proxies]


class SlowChannel:
    """A channel that sends `entries_per_s` entries per second.

    A message is acknowledged once it and all earlier messages have left the channel.
    """

    def __init__(self, harness, entries_per_s):
        self.harness, self.entries_per_s = harness, entries_per_s
        self.queue = []  # proxy, nonce, entries and send time of the queued messages
        self.delivered_ns = {}  # time at which each message left the channel, by proxy and nonce
        self.seen = set()  # proxy and nonce of every message so far
        self.capacity_entries = 0.0

    def run_round(self, *events, wait_s):
        """Run a round with acknowledgements of the messages that left the channel; return its commands."""
        self.capacity_entries += wait_s * self.entries_per_s
        acknowledgements = []
        while self.queue and self.queue[0][2] <= self.capacity_entries:
            proxy, nonce, entries, sent_ns = self.queue.pop(0)
            self.capacity_entries -= entries
            latency_ns = self.harness.now - sent_ns + int(wait_s * NS_PER_S)
            self.delivered_ns[proxy, nonce] = sent_ns + latency_ns
            acknowledgements.append(PushAcknowledged(proxy, nonce, latency_ns))
        self.capacity_entries = min(self.capacity_entries, self._max_capacity_entries())
        commands = self.harness.run_round(*acknowledgements, *events, wait_s=wait_s)
        self._enqueue_written()
        return commands

    def _max_capacity_entries(self):
        """Return what may be saved up: a second's worth, or as much as the next message needs."""
        return max(self.entries_per_s, self.queue[0][2]) if self.queue else 0.0

    def _enqueue_written(self):
        for proxy, known in self.harness.state.proxies.items():
            for nonce, entries in known.unacknowledged_entries.items():
                if (proxy, nonce) not in self.seen:
                    self.seen.add((proxy, nonce))
                    self.queue.append((proxy, nonce, entries, self.harness.now))
