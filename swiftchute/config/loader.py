"""Loads and checks the settings file of a control plane instance."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from swiftchute.api.settings import Operation, Settings
from swiftchute.config.checker import Checker
from swiftchute.config.reader import Block, read
from swiftchute.config.schema import (
    ENDPOINT_LIST_BLOCKS,
    INSTANCE_BLOCKS,
    OPERATION_FIELDS,
    REQUIRED_BLOCKS,
    WEIGHT_SOURCE_FIELD,
    Config,
)
from swiftchute.dns.errors import DomainNameError
from swiftchute.dns.names import OriginNames

Values = Mapping[str, Any]


def load(path: str) -> Config:
    """Read and check a settings file.

    Raises:
        ConfigError: The file is invalid; the error holds every problem with line, field and cause.
    """
    return _Loader(path).load(read(path))


@dataclass
class _Blocks:
    """The known blocks of a file, grouped by kind."""

    single: dict[str, Block] = field(default_factory=dict)
    operations: list[tuple[Block, Values]] = field(default_factory=list)
    lists: list[Block] = field(default_factory=list)

    def line(self, block: str, key: str) -> int:
        """Return the line of a field, or its block's line if the field is absent."""
        value = self.single[block].values.get(key)
        return value.line if value else self.single[block].line


class _Loader:
    """Checks one file and builds its `Config`."""

    def __init__(self, path: str) -> None:
        self._checker = Checker(path)
        self._blocks = _Blocks()

    def load(self, body: Block) -> Config:
        """Return the checked configuration; raise `ConfigError` with every problem."""
        self._checker.reject_top_level_fields(body)
        for block in body.blocks:
            self._add_block(block)
        values = self._parse_single_blocks()
        self._check_operations()
        source, list_values = self._parse_endpoint_list()
        self._check_service(values.get("service", {}))
        self._check_dns(values.get("dns", {}), values.get("service", {}))
        self._check_channel(values.get("channel", {}))
        self._check_objectives()
        self._checker.raise_problems()
        return self._build(values, source, list_values)

    def _add_block(self, block: Block) -> None:
        """Add a block to its group, or record why it is rejected."""
        if block.name == "operation" and len(block.labels) == 1:
            values = self._checker.parse_fields(block, OPERATION_FIELDS, block.full_name)
            self._blocks.operations.append((block, values))
        elif block.name == "list" and block.labels and block.labels[0] in ENDPOINT_LIST_BLOCKS:
            self._blocks.lists.append(block)
        elif block.name not in INSTANCE_BLOCKS or block.labels:
            lists = (f'list "{kind}"' for kind in ENDPOINT_LIST_BLOCKS)
            known = ", ".join([*INSTANCE_BLOCKS, 'operation "NAME"', *lists])
            self._checker.add_problem(block.line, block.full_name, f"unknown block; known: {known}")
        elif block.name in self._blocks.single:
            first = self._blocks.single[block.name].line
            self._checker.add_problem(block.line, block.full_name, f"is defined twice, first on line {first}")
        else:
            self._blocks.single[block.name] = block

    def _parse_single_blocks(self) -> dict[str, Values]:
        """Return the values of all non-repeatable blocks; absent optional blocks have their defaults."""
        single = self._blocks.single
        for name in REQUIRED_BLOCKS:
            if name not in single:
                self._checker.add_problem(1, name, "block is missing")
        return {
            name: self._checker.parse_fields(single.get(name, Block(name, (), 1)), table, name)
            for name, table in INSTANCE_BLOCKS.items()
            if name in single or name not in REQUIRED_BLOCKS
        }

    def _check_operations(self) -> None:
        if not self._blocks.operations:
            self._checker.add_problem(1, "operation", "block is missing: at least one is required")
        names = [block.labels[0] for block, _ in self._blocks.operations]
        for block, _ in self._blocks.operations:
            if names.count(block.labels[0]) > 1:
                self._checker.add_problem(block.line, block.full_name, "is defined twice")

    def _parse_endpoint_list(self) -> tuple[str, Values]:
        """Return the kind of the endpoint list's source and the values of its block."""
        lists = self._blocks.lists
        if len(lists) != 1:
            line = lists[1].line if lists else 1
            cause = 'exactly one block is required: list "file" or list "http"'
            self._checker.add_problem(line, "list", cause)
        if not lists:
            return "file", {}
        kind = lists[0].labels[0]
        table = {**ENDPOINT_LIST_BLOCKS[kind], "weights": WEIGHT_SOURCE_FIELD}
        return kind, self._checker.parse_fields(lists[0], table, f"list {kind}")

    def _check_service(self, service: Values) -> None:
        line = self._blocks.line
        zone, zones = service.get("zone"), service.get("zones")
        if zones and zone and zone not in zones:
            cause = f"{zone!r} is none of the zones"
            self._checker.add_problem(line("service", "zone"), "service.zone", cause)
        if service.get("planner", 0) >= service.get("planners", 1):
            cause = "must be below service.planners"
            self._checker.add_problem(line("service", "planner"), "service.planner", cause)

    def _check_dns(self, dns: Values, service: Values) -> None:
        zones = service.get("zones")
        if dns.get("listen") and not dns.get("origin"):
            cause = "missing: required with dns.listen, as the domain that answers are served for"
            self._checker.add_problem(self._blocks.single["dns"].line, "dns.origin", cause)
        for key in ("views", "subnets", "secondaries"):
            for zone, _ in dns.get(key) or ():
                if zones and zone not in zones:
                    cause = f"{zone!r} is none of the zones"
                    self._checker.add_problem(self._blocks.line("dns", key), f"dns.{key}", cause)
        if dns.get("origin") and zones:
            operations = [block.labels[0] for block, _ in self._blocks.operations]
            try:
                OriginNames(dns["origin"], operations, zones)
            except DomainNameError as error:
                self._checker.add_problem(self._blocks.line("dns", "origin"), "dns.origin", str(error))

    def _check_channel(self, channel: Values) -> None:
        if channel.get("way", 0) > channel.get("way_most", 0):
            cause = "must not be above channel.way_most"
            self._checker.add_problem(self._blocks.line("channel", "way"), "channel.way", cause)

    def _check_objectives(self) -> None:
        for block, values in self._blocks.operations:
            objective, timeout = values.get("latency_objective"), values.get("integration_timeout")
            if isinstance(objective, int) and isinstance(timeout, int) and objective > timeout:
                line = block.values["latency_objective"].line
                field_name = f"{block.full_name}.latency_objective"
                self._checker.add_problem(line, field_name, "must not be above integration_timeout")

    def _build(self, values: dict[str, Values], source: str, list_values: Values) -> Config:
        given = {
            known.target: values[block][key]
            for block, table in INSTANCE_BLOCKS.items()
            for key, known in table.items()
            if known.target
        }
        settings = Settings(
            operations=tuple(_operation(block, fields) for block, fields in self._blocks.operations),
            weight_source=list_values["weights"],
            list_needs_subscription=False,
            load_figures=(),
            load_source="none",
            may_probe=False,
            may_message_peers=False,
            key_range_count=0,
            single_owner=False,
            owner_lease_ns=0,
            write_lifetime_ns=0,
            probe_price=0.0,
            **given,
        )
        return Config(
            settings=settings,
            seed=values["service"]["seed"],
            list_kind=source,
            list=list_values,
            xds=values["xds"],
            guard=values["guard"],
            tables=values["tables"],
            dns=values["dns"],
            control=values["control"]["socket"],
            log_level=values["log"]["level"],
        )


def _operation(block: Block, values: Values) -> Operation:
    targets = {known.target: values[key] for key, known in OPERATION_FIELDS.items() if known.target}
    return Operation(name=block.labels[0], **targets)
