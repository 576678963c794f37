"""Settings of the DNS frontend. This module alone maps the keys of the `dns` block to names in code."""

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
        origin: The domain name that all names are under.
        listen_address: Where the view of our own zone is served; None if DNS is off.
        view_addresses: Where the views of zones are served besides, by zone.
        subnets: The zone of clients by their subnet.
        secondaries: The name servers that may transfer the view of a zone.
        max_ttl_s: The longest time to live.
        max_queries_per_s: Queries beyond which answers live as long as they may.
        answers_per_s: Answers by datagram to each network prefix; 0 means no limit.
        truncate_every: Which of the queries beyond a limit are truncated instead of dropped; 0 drops all.
        unknown_answers_per_s: Answers by datagram to all unknown network prefixes together.
        addresses_per_answer: Endpoints in an answer without weights.
        min_draws: Draws of addresses that take turns, at least.
        remote_entries: "shared" or "spare" (see `RecordLayout`).
        sheds_load: Whether queries are answered SERVFAIL in proportion to the admission rate.
        expire_ns: How long a secondary serves a zone that it cannot refresh.
        request_rate_per_s: The request rate that a view is taken to have before its first load report.
        requests_per_answer: Requests that an answer stands for in load reports.
        max_connections: TCP connections at a time.
        idle_timeout_ns: How long a TCP connection may be without a whole message.
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
        """Return the settings of a checked `dns` block."""
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
