"""Settings of the DNS frontend. Only this module maps the keys of the `dns` block to names in code."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from swiftchute.dns.query import Network

NS_PER_S = 1_000_000_000

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class DnsSettings:
    """Values of the `dns` block.

    Attributes:
        origin: The parent domain of all names.
        listen_address: The address that serves the view of the local zone; None if DNS is disabled.
        view_addresses: Further addresses, with the zone whose view each serves.
        subnets: Client subnets, with the zone whose view they get.
        secondaries: The name servers that may transfer a zone's view, with that zone.
        max_ttl_s: The longest TTL.
        max_queries_per_s: The query rate beyond which the TTL is at its limit.
        answers_per_s: The rate of answers over UDP to each network prefix; 0 means no limit.
        truncate_every: One in this many queries beyond a rate is truncated, the others dropped; 0 drops all.
        unknown_answers_per_s: The rate of answers over UDP to all unknown network prefixes together.
        addresses_per_answer: Number of endpoints in an address answer.
        min_draws: Minimum number of address draws to rotate through.
        remote_entries: "shared" or "spare" (see `RecordLayout`).
        sheds_load: Whether queries rejected by the admission rate are answered with SERVFAIL.
        expire_ns: How long a secondary serves a zone that it cannot refresh.
        request_rate_per_s: The request rate assumed for a view before its first load report.
        requests_per_answer: Number of requests that an answer counts as in load reports.
        max_connections: Maximum number of simultaneous TCP connections.
        idle_timeout_ns: How long a TCP connection may go without a complete message.
    """

    origin: str
    listen_address: Address | None
    view_addresses: tuple[tuple[str, Address], ...]
    subnets: tuple[tuple[str, Network], ...]
    secondaries: tuple[tuple[str, Address], ...]
    max_ttl_s: int
    max_queries_per_s: float
    answers_per_s: float
    truncate_every: int
    unknown_answers_per_s: float
    addresses_per_answer: int
    min_draws: int
    remote_entries: str
    sheds_load: bool
    expire_ns: int
    request_rate_per_s: float
    requests_per_answer: float
    max_connections: int
    idle_timeout_ns: int

    @classmethod
    def from_block(cls, block: Mapping[str, Any]) -> "DnsSettings":
        """Return the settings of a validated `dns` block."""
        return cls(
            origin=block["origin"],
            listen_address=block["listen"],
            view_addresses=tuple(block["views"]),
            subnets=tuple(block["subnets"]),
            secondaries=tuple(block["secondaries"]),
            max_ttl_s=block["ttl_most"] // NS_PER_S,
            max_queries_per_s=block["queries"],
            answers_per_s=block["responses"],
            truncate_every=block["slip"],
            unknown_answers_per_s=block["strangers"],
            addresses_per_answer=block["addresses"],
            min_draws=block["draws"],
            remote_entries=block["borrowed"],
            sheds_load=block["shed"] == "servfail",
            expire_ns=block["expire"],
            request_rate_per_s=block["rate"],
            requests_per_answer=block["calls_per_answer"],
            max_connections=block["connections"],
            idle_timeout_ns=block["idle"],
        )
