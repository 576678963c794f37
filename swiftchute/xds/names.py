"""Type URLs of the resources served, their order, and the names by which tables are known to proxies.

Types are ordered make before break: clusters, endpoints, lines, then listeners and routes
(xDS protocol page, "Eventual consistency considerations").
"""

from collections.abc import Iterable

PREFIX = "type.googleapis.com/"
CDS = PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
LEDS = PREFIX + "envoy.config.endpoint.v3.LbEndpoint"
LDS = PREFIX + "envoy.config.listener.v3.Listener"
RDS = PREFIX + "envoy.config.route.v3.RouteConfiguration"
ORDER = (CDS, EDS, LEDS, LDS, RDS)
FULL_STATE_TYPES = (LDS, CDS)  # SotW answers hold the whole state of these: what is not named is gone
SHORT = {CDS: "cds", EDS: "eds", LEDS: "leds", LDS: "lds", RDS: "rds"}

# A proxy that takes endpoints line by line says so in Node.client_features.
LEDS_FEATURE = "swiftchute.leds"
# EDS resource of the servers shut out for proxies that still hold tables of their own or of another planner.
WITHDRAWN = "withdrawn"
_COLLECTION = (
    "xdstp:///envoy.config.endpoint.v3.LbEndpoint/"  # xDS name scheme (xRFC TP1), a glob collection a zone
)


def is_table(name: str) -> bool:
    """Whether an EDS name is that of a table, of this or another instance or incarnation."""
    planner, dot, rest = name.partition("~")[0].partition(".")
    return bool(dot) and planner.isdecimal() and rest.isdecimal()


def cluster_name(table: str, operation: str) -> str:
    """The cluster of one operation on a table; load reports name it, so sums are told apart by operation."""
    return f"{table}/{operation}"


def operation_of(cluster: str) -> str:
    """The operation a cluster's name ends in; "" if it has none."""
    return cluster.partition("/")[2]


def collection(table: str, zone: str) -> str:
    """The glob collection of a table's lines in a zone."""
    return f"{_COLLECTION}{table}/{zone}/*"


def entry_name(table: str, zone: str, server: str) -> str:
    """The name of one line, within its collection."""
    return f"{_COLLECTION}{table}/{zone}/{server}"


def line_parts(name: str) -> tuple[str, str, str] | None:
    """(table, zone, server) of a line's name, or None."""
    parts = name.removeprefix(_COLLECTION).split("/", 2)
    if not name.startswith(_COLLECTION) or len(parts) != 3:
        return None
    table, zone, endpoint = parts
    return table, zone, endpoint


def tables_of(refused: Iterable[str]) -> frozenset[str]:
    """The tables that names of endpoints or lines belong to; other names belong to none."""
    found = (parts[0] if (parts := line_parts(name)) else name.partition("~")[0] for name in refused)
    return frozenset(table for table in found if is_table(table))
