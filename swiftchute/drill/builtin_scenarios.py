"""The built-in scenarios, by name."""

from dataclasses import replace

from swiftchute.drill.scenario import Fault, Scenario

SCENARIOS: dict[str, Scenario] = {
    "bad-day": Scenario(
        "a fifth of the backends crash and restart cold; a rolling deploy; an instance stalls, is killed and"
        " restarts; gateways lose their instance; a gateway rejects a version; a slow network",
        54.0,
        (
            Fault(6, "kill_backends", (0.2,)),
            Fault(12, "restart_backends"),
            Fault(16, "reject_updates", (2, 8.0)),
            Fault(17, "rolling_deploy", (6, 1.5)),
            Fault(22, "stop_reading", (3, 4.0)),
            Fault(23, "stall_instance", (0, 4.0)),
            Fault(27.5, "kill_instance", (0,)),
            Fault(31, "restart_instance", (0,)),
            Fault(36, "isolate_gateways", (0.35, 5.0)),
            Fault(37, "drain_backends", (1,)),
            Fault(42, "slow_network", (0.35, 20_000.0, 6.0)),
            Fault(43, "drain_backends", (1,)),
            Fault(44, "break_streams", (0.5,)),
        ),
    ),
    "rollback": Scenario(
        "a drain triggers a bad table; operators roll it back with its admission rates, seven seconds later",
        26.0,
        (
            Fault(3, "record_moment", ("before",)),
            Fault(6, "record_moment", ("bad",)),
            Fault(6, "drain_backends", (1,)),
            Fault(13, "roll_back_tables", ("bad", True)),
        ),
        backends=12,
        gateways=12,
        request_rate=6.0,
        policy="swiftchute.drill.faulty_policies:Skews",
    ),
    "dns-day": Scenario(
        "gateways and DNS clients on the same backends: a deploy, crashes, an instance that is killed and"
        " restarts, resolvers that keep answers past their time to live",
        40.0,
        (
            Fault(4, "rolling_deploy", (5, 1.5)),
            Fault(13, "kill_backends", (0.2,)),
            Fault(19, "restart_backends"),
            Fault(24, "drain_backends", (1,)),
            Fault(26, "kill_instance", (0,)),
            Fault(30, "restart_instance", (0,)),
            Fault(33, "drain_backends", (1,)),
            Fault(39.9, "summarize_dns_clients"),
        ),
        backends=15,
        gateways=12,
        dns_clients=12,
        overstaying_dns_clients=3,
    ),
    "rollback-cut": Scenario(
        "operators roll a bad table back; the instance is killed before the acknowledgements, and restarts",
        20.0,
        (
            Fault(3, "record_moment", ("before",)),
            Fault(6, "record_moment", ("bad",)),
            Fault(6, "drain_backends", (1,)),
            Fault(9.9, "slow_network", (0.4, 20_000.0, 2.0)),
            Fault(10, "roll_back_tables", ("bad", True)),
            Fault(10.3, "kill_instance", (0,)),
            Fault(12, "restart_instance", (0,)),
        ),
        backends=12,
        gateways=12,
        policy="swiftchute.drill.faulty_policies:Skews",
    ),
    "canary": Scenario(
        "a backend fails its requests, and a bad table sends nearly all requests there; a canary of some"
        " gateways gets it first",
        24.0,
        (
            Fault(2, "fail_requests", (0.07,)),
            Fault(8, "record_moment", ("before",)),
            Fault(11, "record_moment", ("bad",)),
            Fault(11, "drain_backends", (1,)),
            Fault(23, "record_moment", ("end",)),
            Fault(23, "compare_moments", ("before", "bad", "end")),
        ),
        backends=12,
        gateways=24,
        instances=1,
        policy="swiftchute.drill.faulty_policies:Lures",
        side_effecting_share=0.3,
        version_settings={"canary_part": 0.25, "canary_for": "2s", "canary_most": "15s"},
    ),
    "quiet": Scenario("no faults", 10.0, ()),
    "steady": Scenario(
        "no faults, for longer: attempts by endpoint against what the tables in force predict",
        30.0,
        (
            Fault(4, "record_moment", ("begin",)),
            Fault(29, "record_moment", ("end",)),
            Fault(29, "compare_moments", ("begin", "end")),
        ),
        gateways=12,
        request_rate=8.0,
    ),
    "half-push": Scenario(
        "an instance is killed halfway through a push, and restarts during a rolling deploy",
        16.0,
        (
            Fault(1.5, "rolling_deploy", (4, 1.2)),
            Fault(2.0, "slow_network", (0.3, 4000.0, 2.0)),
            Fault(2.2, "drain_backends", (1,)),
            Fault(2.5, "kill_instance", (0,)),
            Fault(4.0, "restart_instance", (0,)),
            Fault(8.0, "break_streams", (1.0,)),
        ),
        backends=12,
        gateways=9,
        instances=1,
    ),
    "drains": Scenario(
        "two backends drain, one after the other",
        9.0,
        (Fault(2, "drain_backends", (1,)), Fault(4, "drain_backends", (1,))),
        backends=9,
        gateways=6,
        instances=1,
        drain_grace=1.5,
    ),
    "cold": Scenario(
        "a third of the backends restart cold",
        12.0,
        (Fault(2, "kill_backends", (0.34,)), Fault(5, "restart_backends")),
        backends=9,
        gateways=6,
        instances=1,
        request_rate=14.0,
        max_warmup=10.0,
    ),
    "errors": Scenario(
        "half of the backends fail requests after running them",
        9.0,
        (Fault(2, "fail_requests", (0.5,)),),
        backends=9,
        gateways=6,
        instances=1,
        request_rate=8.0,
        side_effecting_share=0.5,
    ),
}
SCENARIOS["no-canary"] = replace(
    SCENARIOS["canary"], description="the scenario `canary` without a canary", version_settings={}
)
