"""Which pushes come first when the channel cannot send all of them at once."""

from tests.support.rolling_deploy import RollingDeploy
from tests.support.settings import DEFAULTS

GRACE_S = DEFAULTS["drain_grace_ns"] / 1e9
SLOWDOWN = 4.4  # of the channel; the time limits of the rules grow by it


def test_no_zone_hears_late_of_drains_while_the_channel_is_slow(make_harness):
    """Guards against a zone that waits as long as others, named before it, have new drains."""
    harness = make_harness(
        zones=("a", "b", "c"),
        zone="a",
        egress_rate_entries_per_s=2500.0,
        egress_queue_limit_entries=5000.0,
        message_overhead_entries=10.0,
        message_quota=30,
    )
    deploy = RollingDeploy(harness, 10, {"a": 25, "b": 25, "c": 25})
    deploy.channel.entries_per_s /= SLOWDOWN
    deploy.run(42, drain_interval_s=0.83)
    assert max(deploy.delays_s.values()) < GRACE_S * SLOWDOWN, deploy.delays_s
