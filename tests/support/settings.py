"""Default settings of a small deployment, which tests override."""

from swiftchute.api.settings import Operation
from swiftchute.policy.units import NS_PER_S

DEFAULTS = {
    "zones": ("east", "west"),
    "zone": "east",
    "instance": 0,
    "instance_count": 1,
    "list_needs_subscription": False,
    "weight_source": "none",
    "load_figures": (),
    "load_source": "none",
    "may_probe": False,
    "may_message_peers": False,
    "list_request_interval_ns": None,
    "drain_grace_ns": 2 * NS_PER_S,
    "removal_is_binding": True,
    "start_capacity_fraction": 0.2,
    "max_warmup_ns": 16 * NS_PER_S,
    "overload_multiple": 2.5,
    "overload_window_ns": 2 * NS_PER_S,
    "max_no_endpoint_ns": 3 * NS_PER_S,
    "proxy_count": 4,
    "key_range_count": 0,
    "single_owner": False,
    "owner_lease_ns": NS_PER_S,
    "write_lifetime_ns": NS_PER_S // 50,
    "admission_mode": "share",
    "default_retry_policy": 1,
    "attempt_timeout_objectives": 1.0,
    "ejection_failures": 5,
    "subset_size": 6,
    "report_interval_ns": NS_PER_S,
    "report_rate_entries_per_s": 100.0,
    "egress_rate_entries_per_s": 1000.0,
    "egress_queue_limit_entries": 2000.0,
    "message_overhead_entries": 5.0,
    "message_quota": 10,
    "message_quota_window_ns": 10 * NS_PER_S,
    "mean_push_delay_ns": NS_PER_S // 5,
    "max_push_delay_ns": NS_PER_S // 2,
    "cross_zone_price": 0.05,
    "probe_price": 0.0,
    "entry_price": 0.04,
}


def operation(name, zone_local=False):
    """An idempotent operation with a latency objective of one second."""
    return Operation(name, NS_PER_S, 4 * NS_PER_S, 1.0, 0.1, "idempotent", "all", 0, zone_local, False)
