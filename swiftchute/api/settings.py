"""Settings that an instance is started with. Optional values that are not configured are None."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Operation:
    """One operation of the service; its index in `Settings.operations` is its bit in a mask."""

    name: str
    latency_objective_ns: int
    timeout_ns: int
    value: float  # priority weight: the value of serving one request
    late_value_fraction: float  # fraction of the value for an answer after the latency objective
    idempotency: str  # "idempotent", "fingerprinted" (with an idempotency key) or "side-effecting"
    deduplication_scope: str  # with a key, the endpoints that drop duplicates: "all", "zone", "cell"
    deduplication_window_ns: int
    zone_local: bool  # requests may go only to endpoints in the proxy's zone
    writes: bool


@dataclass(frozen=True)
class Settings:
    """Description of the deployment with its rules, limits and prices."""

    operations: tuple[Operation, ...]
    zones: tuple[str, ...]
    zone: str  # of this instance
    instance: int  # index of this instance
    instance_count: int
    list_needs_subscription: bool  # the endpoint list is sent only to subscribers
    weight_source: str  # meaning of listed weights: "none", "nominal", "rough" or "live"
    load_figures: tuple[str, ...]  # names of the load figures that endpoints report about themselves
    load_source: str  # how load figures arrive: "answers", "probe" or "none"
    may_probe: bool
    may_message_peers: bool
    list_request_interval_ns: int | None
    drain_grace_ns: int  # how long requests may still reach a draining endpoint
    removal_is_binding: bool  # false: an endpoint removed without draining may still receive requests
    start_capacity_fraction: float  # fraction of its full capacity that a starting endpoint has
    max_warmup_ns: int  # time after its start at which an endpoint is warm at the latest
    overload_multiple: float  # request rate / capacity that a warming endpoint must stay under
    overload_window_ns: int  # window over which that rate is measured
    max_no_endpoint_ns: int  # how long a proxy may be without a usable endpoint
    proxy_count: int
    key_range_count: int
    single_owner: bool  # a key range is served by only one endpoint at a time
    owner_lease_ns: int  # how long a proxy sends writes of a key range after the loss of its instance
    write_lifetime_ns: int  # longest time from a write's arrival at its proxy until no endpoint holds it
    admission_mode: str  # "share", "rate" or "none"
    default_retry_policy: int  # as in `CommandSink.set_admission`
    attempt_timeout_objectives: float  # timeout of an attempt as a multiple of the latency objective
    ejection_failures: int  # consecutive failures after which a proxy avoids an endpoint; 0: never
    subset_size: int  # endpoints per subset of a zone
    report_interval_ns: int
    report_rate_entries_per_s: float
    egress_rate_entries_per_s: float
    egress_queue_limit_entries: float
    message_overhead_entries: float  # fixed cost of a message
    message_quota: int  # maximum messages to one proxy within the window; 0: no limit
    message_quota_window_ns: int
    mean_push_delay_ns: int  # delay from the egress queue to a proxy
    max_push_delay_ns: int
    cross_zone_price: float
    probe_price: float
    entry_price: float
