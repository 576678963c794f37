"""Writes the settings file of an instance under test."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from swiftchute.api.settings import Settings
from swiftchute.config import load
from swiftchute.drill.scenario import OPERATIONS, ZONES, Scenario

DEFAULT_TABLE_ENTRIES = 6  # entries of the table that a gateway starts with
DNS_ORIGIN = "lots.example."
DNS_RESPONSES_PER_S = 5000  # all fakes query from one address and share its rate limit

Address = tuple[str, int]


@dataclass(frozen=True)
class InstanceSettings:
    """The values that an instance's settings file is written from."""

    scenario: Scenario
    instance: int
    listen: Address
    seed: int
    endpoint_list_path: str
    admin_socket: str
    safety_mode: str
    dns_views: Mapping[tuple[int, str], Address]  # by instance and zone

    def to_hcl(self) -> str:
        """Return the text of the settings file."""
        return "\n".join(
            [
                self._service(),
                *self._operations(),
                self._rules(),
                self._channel(),
                _block("reports", period="500ms", lines=300),
                _block('list "file"', path=self.endpoint_list_path, every="100ms"),
                _block("guard", mode=self.safety_mode),
                _block("tables", **self.scenario.version_settings),
                _block("control", socket=self.admin_socket),
                *self._dns(),
                _block("xds", listen=_host_port(self.listen), ack_within="10s", read_within="8s"),
            ]
        )

    @property
    def _zone(self) -> str:
        return ZONES[self.instance % len(ZONES)]

    def _service(self) -> str:
        scenario = self.scenario
        views = len(self.dns_views) if scenario.dns_clients else 0
        return _block(
            "service",
            zones=ZONES,
            zone=self._zone,
            planner=self.instance,
            planners=scenario.instances,
            proxies=scenario.gateways + views,
            standing_lines=DEFAULT_TABLE_ENTRIES,
            avoids_after=5,
            seed=self.seed * 100 + self.instance,
        )

    def _operations(self) -> list[str]:
        return [
            _block(
                f'operation "{name}"',
                latency_objective=profile.latency_objective,
                integration_timeout=profile.timeout,
                billed_value=profile.value,
                late_value=0.2,
                repeats=profile.idempotency,
            )
            for name, profile in OPERATIONS.items()
        ]

    def _rules(self) -> str:
        return _block(
            "rules",
            drain_grace=f"{self.scenario.drain_grace}s",
            start_capacity=0.2,
            warm_within=f"{self.scenario.max_warmup}s",
            fall_multiple=2.5,
            fall_span="2s",
            bare_limit=f"{self.scenario.max_no_endpoint}s",
        )

    def _channel(self) -> str:
        """Return the block of egress rate, queue limit, overhead per message, and message quota."""
        return _block(
            "channel",
            pace=self.scenario.egress_rate,
            limit=self.scenario.egress_queue_limit,
            message_lines=6,
            message_limit=self.scenario.message_quota,
            message_window="10s",
        )

    def _dns(self) -> list[str]:
        views = {zone: at for (instance, zone), at in self.dns_views.items() if instance == self.instance}
        if not views:
            return []
        other_views = [f"{zone} {_host_port(at)}" for zone, at in views.items() if zone != self._zone]
        home_view = _host_port(views[self._zone])
        return [
            _block(
                "dns", listen=home_view, origin=DNS_ORIGIN, views=other_views, responses=DNS_RESPONSES_PER_S
            )
        ]


def write_and_load(settings: InstanceSettings, path: str) -> Settings:
    """Write a settings file and return the policy's settings as an instance reads them."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(settings.to_hcl())
    return load(path).settings


def _host_port(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _block(head: str, **values: Any) -> str:
    """Return an HCL block; its values are written as JSON."""
    fields = (f"  {key} = {json.dumps(value)}" for key, value in values.items())
    return "\n".join([f"{head} {{", *fields, "}"])
