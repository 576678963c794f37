"""A DNS frontend on a controller with a scripted policy, and helpers to query answers."""

import dns.message
import dns.rdata
import dns.zone
from msgspec.structs import astuple

from swiftchute.api.endpoints import EndpointRecord
from swiftchute.api.events import PushAcknowledged, TimerFired
from swiftchute.api.settings import Settings
from swiftchute.config.schema import INSTANCE_BLOCKS
from swiftchute.controller.controller import Controller
from swiftchute.controller.table_contents import TableEntry
from swiftchute.discovery.endpoint_list import EndpointListChange
from swiftchute.dns.answer_cache import AnswerCache
from swiftchute.dns.frontend import DnsFrontend
from swiftchute.dns.names import OriginNames
from swiftchute.dns.query import parse_plain_query
from swiftchute.dns.records import RecordLayout, ZoneRecords
from swiftchute.dns.settings import DnsSettings
from swiftchute.safety.proposal import SafetyRules
from tests.conftest import DEFAULTS, ScriptedPolicy, operation

NS_PER_S = 1_000_000_000
NOW_NS = 1000 * NS_PER_S
ORIGIN = "lots.example."
SRV = "_read._tcp.lots.example."
NAMES = OriginNames(ORIGIN, ["read", "write"], ["east", "west"])


def make_entries(count=3, zone="east", weight=1.0):
    return tuple(TableEntry(f"10.0.{k // 200}.{k % 200}:80", zone, weight + k / 10) for k in range(count))


def make_cache(read_entries=None, warming_up=frozenset(), layout=None, ttl_s=2, **record_options):
    contents = {
        "east": {"read": make_entries() if read_entries is None else read_entries, "write": make_entries(2)}
    }
    return AnswerCache(
        ZoneRecords(NAMES, contents, warming_up, ttl_s, 7, layout or RecordLayout(), **record_options), {}
    )


def encode_query(name, record_type="SRV", payload_size=0, **options):
    return dns.message.make_query(
        name, record_type, use_edns=0 if payload_size else False, payload=payload_size, **options
    ).to_wire()


def query_cache(cache, name, record_type="SRV", limit_bytes=65_535, view="east", payload_size=0):
    reply = cache.answer(
        parse_plain_query(encode_query(name, record_type, payload_size)), view, limit_bytes, NOW_NS
    )
    return dns.message.from_wire(reply) if reply is not None else None


DNS_BLOCK = {key: field.default for key, field in INSTANCE_BLOCKS["dns"].items()} | {
    "origin": ORIGIN, "responses": 0, "secondaries": (("east", ("127.0.0.1", 5400)),),
}  # fmt: skip


class FrontendHarness:
    """A controller with a scripted policy, and a DNS frontend on it."""

    def __init__(self, **dns_values):
        self.policy, self.now_ns = ScriptedPolicy(), NOW_NS
        values = {"operations": (operation("read"), operation("write")), "drain_grace_ns": 4 * NS_PER_S}
        values |= {"egress_rate_entries_per_s": 1e6, "egress_queue_limit_entries": 1e6, "message_quota": 0}
        settings = Settings(**(DEFAULTS | values))
        self.controller = Controller(settings, 7, lambda settings, seed: self.policy, NOW_NS, SafetyRules())
        self.frontend = DnsFrontend(
            self.controller, settings, DnsSettings.from_block(DNS_BLOCK | dns_values), 7
        )
        self.frontend.start(NOW_NS)
        self.events = []

    def update_endpoint_list(self, *endpoints, state="ready", started_ns=0):
        self.controller.on_list_update(
            EndpointListChange(
                "changes",
                tuple(
                    EndpointRecord(endpoint, "east", "", 0, state, 1.0, started_ns) for endpoint in endpoints
                ),
                (),
            )
        )

    def run_rounds(self, *commands, wait_s=0.0):
        self.now_ns += int(wait_s * NS_PER_S)
        self.policy.writes = list(commands)
        self.controller.runner.pending_events.append(TimerFired(0))
        for _ in range(2):
            output = self.controller.run_round(self.now_ns)
            self.events += output.log_events
            self.frontend.publish(output, self.now_ns)
            self.now_ns += NS_PER_S // 100

    def answer(self, name=SRV, record_type="SRV", view="east"):
        return dns.message.from_wire(
            self.frontend.queries.answer_stream(
                encode_query(name, record_type), "127.0.0.1", view, self.now_ns
            )[0]
        )

    def target_labels(self, view="east"):
        return {
            str(record.target).partition(".")[0]
            for rrset in self.answer(view=view).answer
            for record in rrset
        }


def make_secondary_zone(serial):
    """Return a zone with only its SOA and NS record, as a secondary holds it."""
    zone = dns.zone.Zone(ORIGIN)
    with zone.writer() as transaction:
        transaction.replace(
            "@", 1, dns.rdata.from_text("IN", "SOA", f"ns hostmaster {serial} 1 1 1 1", zone.origin)
        )
        transaction.replace("@", 1, dns.rdata.from_text("IN", "NS", "ns", zone.origin))
    return zone


def pending_acknowledgements(controller):
    return [
        astuple(event) for event in controller.runner.pending_events if isinstance(event, PushAcknowledged)
    ]
