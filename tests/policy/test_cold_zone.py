"""Starting endpoints of a lost zone stay under their limits, however admission is expressed.

Guards against limits that are worked out and never written: one endpoint got all requests of its zone, and
failed for good.
"""

import pytest

from tests.support.cold_zone import ColdZone, Demand

MIX = (Demand(1.5), Demand(1.5, zone_local=True))
MANY = {"egress_queue_limit_entries": 40_000.0, "egress_rate_entries_per_s": 16_000.0}


def restart(at_s):
    """The only instance starts anew and knows the list alone."""
    return at_s, lambda day: day.add_instance(day.proxies, restart=True)


def divide(at_s):
    """Every second proxy moves to a new instance."""
    return at_s, lambda day: day.add_instance(list(day.proxies)[::2])


def pause(at_s, paused):
    """The clients stop, or go on."""
    return at_s, lambda day: setattr(day, "is_paused", paused)


DAYS = {
    "two operations": (MIX, {}),
    "unequal operations": ((Demand(1.0), Demand(1.8, True), Demand(0.2, True)), {}),
    "few busy proxies": ((Demand(1.0), Demand(20.0, True, senders=0.1)), {}),
    "many slow proxies": ((Demand(0.1), Demand(0.1, True)), MANY | {"proxies": 300}),
    "few proxies": ((Demand(8.0), Demand(8.0, True)), {"proxies": 15}),
    "many endpoints": (MIX, {"zones": 1, "endpoints": 30, "proxies": 120}),
    "many subsets": ((Demand(2.0, True),), {"zones": 2, "endpoints": 24, "proxies": 60, "subset_size": 2}),
    "one operation": ((Demand(3.0, True),), {"zones": 2}),
    "no other zone": (MIX, {"zones": 1}),
    "restart while the limit holds": (MIX, {"actions": [restart(18.5)]}),
    "restart in the outage": (MIX, {"actions": [restart(15.0)]}),
    "restart in the outage of the only zone": (MIX, {"zones": 1, "actions": [restart(15.0)]}),
    "restart late": (MIX, {"actions": [restart(22.0)]}),
    "proxies divide while the limit holds": (MIX, {"actions": [divide(19.0)]}),
    "proxies divide in the outage": (MIX, {"actions": [divide(14.0)]}),
    "proxies join again": (MIX, {"actions": [(20.0, lambda day: day.join(day.proxies))]}),
    "burst after a pause": (MIX, {"actions": [pause(14.0, True), pause(18.2, False)]}),
    "lost twice": (MIX, {"actions": [(19.5, lambda day: day.lose()), (22.0, lambda day: day.bring_back())]}),
    "restarts that the list never calls gone": (
        MIX,
        {"actions": [(5.0, lambda day: day.restart_endpoints())]},
    ),
}


@pytest.mark.parametrize("admission_mode", ["rate", "none", "share"])
@pytest.mark.parametrize("name", DAYS)
def test_starting_endpoints_of_a_lost_zone_are_not_overloaded(name, admission_mode):
    demands, settings = DAYS[name]
    day = ColdZone(demands, admission_mode=admission_mode, **settings).run()
    assert day.worst_ratio < 1
    assert all(fraction > 0.3 for fraction in day.served_fractions)
