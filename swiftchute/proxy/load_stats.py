"""Load between two load reports (attempts and drops), and its conversion to LRS messages."""

from dataclasses import dataclass, field

from envoy.config.core.v3.base_pb2 import Locality
from envoy.config.endpoint.v3.load_report_pb2 import ClusterStats

from swiftchute.proxy.settings import NS_PER_S
from swiftchute.xds.load_reports import LATENCY_METRIC

MS_PER_S = 1000


@dataclass(slots=True)
class EndpointLoad:
    """Attempts at one endpoint; `latency_ms` is the total over all successes."""

    successes: int = 0
    failures: int = 0
    latency_ms: float = 0.0

    def record(self, succeeded: bool, latency_s: float) -> None:
        """Count a completed attempt."""
        if succeeded:
            self.successes += 1
            self.latency_ms += latency_s * MS_PER_S
        else:
            self.failures += 1


@dataclass(slots=True)
class ClusterLoad:
    """Attempts by endpoint, and requests that were not admitted."""

    endpoints: dict[str, EndpointLoad] = field(default_factory=dict)
    dropped: int = 0

    def endpoint(self, address: str) -> EndpointLoad:
        """Return the load of one endpoint, created on first use."""
        load = self.endpoints.get(address)
        if load is None:
            load = self.endpoints[address] = EndpointLoad()
        return load

    def to_cluster_stats(self, cluster: str, window_s: float) -> ClusterStats:
        """Convert to the LRS message; `window_s` is the time since the last report."""
        stats = ClusterStats(
            cluster_name=cluster,
            cluster_service_name=cluster.partition("/")[0],
            total_dropped_requests=self.dropped,
        )
        stats.load_report_interval.FromNanoseconds(int(window_s * NS_PER_S))
        for address, load in sorted(self.endpoints.items()):
            locality_stats = stats.upstream_locality_stats.add(
                locality=Locality(sub_zone=address),
                total_successful_requests=load.successes,
                total_error_requests=load.failures,
                total_issued_requests=load.successes + load.failures,
            )
            locality_stats.load_metric_stats.add(
                metric_name=LATENCY_METRIC,
                num_requests_finished_with_metric=load.successes,
                total_metric_value=load.latency_ms,
            )
        return stats
