"""What an instance is configured with at its start. Optional values that are not configured are None."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Operation:
    """One operation of the service; its index in `Settings.operations` is its bit in a mask."""

    name: str
    latency_objective_ns: int
    timeout_ns: int
    value: float  # priority weight: the worth of one request
    late_value_fraction: float  # of the value, for an answer after the latency objective
    idempotency: str  # "idempotent", "fingerprinted" (with an idempotency key) or "side-effecting"
    deduplication_scope: str  # with a key, the endpoints that drop duplicates: "all", "zone", "cell"
    deduplication_window_ns: int
    zone_local: bool  # may go only to endpoints in the proxy's zone
    writes: bool


@dataclass(frozen=True)
class Settings:
    """The deployment, its rules, limits and prices."""

    operations: tuple[Operation, ...]
    zones: tuple[str, ...]
    zone: str  # of this instance
    instance: int  # index of this instance
    instance_count: int
    list_needs_subscription: bool  # the endpoint list comes only to subscribers
    weight_source: str  # what listed weights mean: "none", "nominal", "rough" or "live"
    load_figures: tuple[str, ...]  # names of the figures that endpoints report of themselves
    load_source: str  # how they come: "answers", "probe" or "none"
    may_probe: bool
    may_message_peers: bool
    list_request_interval_ns: int | None
    drain_grace_ns: int  # requests may still reach a draining endpoint for so long
    removal_is_binding: bool  # false: an endpoint removed without draining may still receive requests
    start_capacity_fraction: float  # of its full capacity, what an endpoint can serve when it starts
    max_warmup_ns: int  # an endpoint is warm at the latest after this
    overload_multiple: float  # of its capacity, the request rate that a warming endpoint must stay under
    overload_window_ns: int  # over which that rate is measured
    max_no_endpoint_ns: int  # a proxy may be without a usable endpoint for so long
    proxy_count: int
    key_range_count: int
    single_owner: bool  # a key range is served by one endpoint at a time
    admission_mode: str  # "share", "rate" or "none"
    default_retry_policy: int  # as in `CommandSink.set_admission`
    attempt_timeout_objectives: float  # timeout of one attempt, in latency objectives
    ejection_failures: int  # consecutive failures after which a proxy avoids an endpoint; 0: never
    subset_size: int  # endpoints in one subset of a zone
    report_interval_ns: int
    report_rate_entries_per_s: float
    egress_rate_entries_per_s: float
    egress_queue_limit_entries: float
    message_overhead_entries: float  # fixed cost of a message
    message_quota: int  # messages to one proxy within the window; 0: no limit
    message_quota_window_ns: int
    mean_push_delay_ns: int  # from the egress queue to a proxy
    max_push_delay_ns: int
    cross_zone_price: float
    probe_price: float
    entry_price: float
