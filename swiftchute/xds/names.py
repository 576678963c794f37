"""Type URLs of the served resources, their push order, and the resource names of tables and their entries.

Types are pushed make before break: clusters, endpoints, entries, then listeners and routes
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
FULL_STATE_TYPES = (LDS, CDS)  # their SotW responses are the full state: what is missing is removed
SHORT_NAMES = {CDS: "cds", EDS: "eds", LEDS: "leds", LDS: "lds", RDS: "rds"}

# In Node.client_features of a proxy that takes the entries of tables as resources of their own.
LEDS_FEATURE = "swiftchute.leds"
# EDS resource with the ejected endpoints, for proxies that still use their own tables or another instance's.
WITHDRAWN = "withdrawn"
# xDS name scheme (xRFC TP1), with a glob collection per zone.
_COLLECTION_PREFIX = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/"


def is_table(name: str) -> bool:
    """Whether an EDS name is that of a table, of this or another instance or incarnation."""
    instance, dot, number = name.partition("~")[0].partition(".")
    return bool(dot) and instance.isdecimal() and number.isdecimal()


def cluster_name(table: str, operation: str) -> str:
    """The cluster of an operation on a table; load reports name it, so totals are kept by operation."""
    return f"{table}/{operation}"


def operation_of(cluster: str) -> str:
    """The operation in the name of a cluster, or "" if there is none."""
    return cluster.partition("/")[2]


def collection(table: str, zone: str) -> str:
    """The name of the glob collection of a table's entries in a zone."""
    return f"{_COLLECTION_PREFIX}{table}/{zone}/*"


def entry_name(table: str, zone: str, endpoint: str) -> str:
    """The name of one entry, which is within its collection."""
    return f"{_COLLECTION_PREFIX}{table}/{zone}/{endpoint}"


def parse_entry_name(name: str) -> tuple[str, str, str] | None:
    """Return (table, zone, endpoint) of the name of an entry; None for any other name."""
    parts = name.removeprefix(_COLLECTION_PREFIX).split("/", 2)
    if not name.startswith(_COLLECTION_PREFIX) or len(parts) != 3:
        return None
    table, zone, endpoint = parts
    return table, zone, endpoint


def tables_of(resource_names: Iterable[str]) -> frozenset[str]:
    """The tables that EDS and LEDS names belong to; other names are ignored."""
    found = (
        parts[0] if (parts := parse_entry_name(name)) else name.partition("~")[0] for name in resource_names
    )
    return frozenset(table for table in found if is_table(table))
