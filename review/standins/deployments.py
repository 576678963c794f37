"""Settings as a planner reads them (GW_CONFIG), with figures from the ranges of the users' pages."""


def _settings(zones, classes, rules, specifics, **other):
    return {
        "classes": classes, "dcs": zones, "zone": zones[0], "ordinal": 0, "group_size": 1,
        "registry_mode": "automatic", "weight_source": "off", "stats": {"fields": [], "via": "off"},
        "permissions": {"probes": False, "peer_messages": False, "cpu_us_per_s": 600_000},
        "prices": {"cross_zone": 0.01}, "rules": rules, "kinds": ["std4"],
        "specifics": {
            "ranges": 0, "single_writer": False, "admission": "fraction", "per_try": 1.0, "initial_set": 6,
            "update_window_us": 10_000_000, "line_fee": 0.04, "selects_by": "random", "zonal": True,
        } | specifics,
    } | other  # fmt: skip


def _class(name, aim_ms, deadline_ms, worth):
    return {
        "name": name, "slo_us": aim_ms * 1000, "deadline_us": deadline_ms * 1000, "credit": worth,
        "semantics": "free", "group": "all", "late_value": 0.1, "window_us": 5_000_000,
    }  # fmt: skip


def kytkin(gateways, planners=1):
    """`kytkin-main`: two halls, `publish` stays in the gateway's own hall."""
    return _settings(
        ["hall-a", "hall-b"],
        [_class("evaluate", 1500, 4000, 3.0), _class("publish", 1200, 4000, 2.0)],
        {
            "drain_grace_us": 1_500_000, "start_capacity": 0.29, "warm_within_us": 12_000_000,
            "fall_multiple": 2.5, "fall_us": 2_000_000, "ask_within_us": 10_000_000,
        },
        {
            "agents": gateways, "empty_for_us": 4_700_000, "base_mode": 0, "fails_to_eject": 0,
            "interval_us": 1_000_000, "reports_per_s": 60.0, "egress_per_s": 2500.0, "queue_cap": 2500.0,
            "per_message": 4.0, "update_cap": 12, "push_delay_us": 200_000, "late_most_us": 350_000,
            "stays_local": [False, True], "class_writes": [False, False],
        },
        group_size=planners, registry_mode="subscribe",
        work_ms={"evaluate": (230, 310), "publish": (150, 210)},
    )  # fmt: skip


def kigali(gateways, planners=2, grace_us=3_100_000):
    """`kigali-pricing`: three sites."""
    return _settings(
        ["kicukiro", "gasabo", "nyarugenge"],
        [_class("lot-estimate", 1200, 4000, 3.0), _class("reserve-refresh", 1500, 5000, 2.0)],
        {
            "drain_grace_us": grace_us, "start_capacity": 0.16, "warm_within_us": 18_000_000,
            "fall_multiple": 2.5, "fall_us": 1_500_000, "ask_within_us": 10_000_000,
        },
        {
            "agents": gateways, "empty_for_us": 4_700_000, "base_mode": 1, "fails_to_eject": 8,
            "interval_us": 500_000, "reports_per_s": 120.0, "egress_per_s": 2500.0, "queue_cap": 5000.0,
            "per_message": 10.0, "update_cap": 30, "push_delay_us": 157_000, "late_most_us": 392_500,
            "stays_local": [False, False], "class_writes": [False, False],
        },
        group_size=planners, prices={"cross_zone": 0.08},
        work_ms={"lot-estimate": (240, 320), "reserve-refresh": (240, 320)},
    )  # fmt: skip
