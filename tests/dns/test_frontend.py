"""The DNS frontend on a controller, without sockets: versions, acknowledgements, drains and failures."""

import ipaddress

import dns.edns
import dns.message
import dns.rcode
import pytest

from swiftchute.api.events import ProxyConnected, ProxyDisconnected, TimerFired
from swiftchute.dns.frontend import DELIVERY_ALLOWANCE_NS
from swiftchute.xds.errors import ProtocolViolationError
from swiftchute.xds.messages import ProxyNode
from tests.support.dns_frontend import (
    NOW_NS,
    NS_PER_S,
    ORIGIN,
    SRV,
    FrontendHarness,
    encode_query,
    pending_acknowledgements,
)


def test_a_view_without_a_table_answers_servfail_and_not_nxdomain():
    harness = FrontendHarness()
    assert harness.answer().rcode() == dns.rcode.SERVFAIL
    harness.update_endpoint_list("10.0.0.1:80")
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0))
    assert harness.target_labels() == {"ip-10-0-0-1"}
    assert harness.answer(view="west").rcode() == dns.rcode.SERVFAIL  # the view of that zone has no table yet


def test_a_version_is_acknowledged_once_no_earlier_answer_can_be_cached(harness):
    harness.answer()
    answered_at_ns = harness.now_ns
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0), ("request_ack", 2, False), wait_s=0.5)
    harness.answer()  # made of the new version, so it delays nothing
    assert pending_acknowledgements(harness.controller) == []
    assert not harness.controller.deliveries.is_up_to_date("dns/east")
    ttl_ns = harness.frontend.ttl_policy.limit_s * NS_PER_S
    harness.run_rounds(
        wait_s=(answered_at_ns + ttl_ns + DELIVERY_ALLOWANCE_NS - harness.now_ns) / NS_PER_S - 0.1
    )
    assert pending_acknowledgements(harness.controller) == []
    harness.controller.runner.pending_events.clear()
    harness.now_ns += NS_PER_S // 10
    harness.frontend.publish(harness.controller.run_round(harness.now_ns), harness.now_ns)
    assert [(proxy, nonce) for proxy, nonce, _ in pending_acknowledgements(harness.controller)] == [
        ("dns/east", 2)
    ]
    assert harness.controller.deliveries.is_up_to_date("dns/east")


def test_a_version_after_one_without_answers_is_acknowledged_at_once(harness):
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0), ("request_ack", 2, False), wait_s=9)
    assert harness.controller.deliveries.is_up_to_date("dns/east")


def test_safety_rules_count_answers_that_may_still_be_cached(harness):
    """What resolvers may still send by cached answers counts towards an endpoint's warm-up budget."""
    harness.answer()
    harness.run_rounds(("set_weight", 1, "10.0.0.2:80", 0.0))
    shares = harness.controller.deliveries.pending_shares(
        ["dns/east"], ["read"], ["10.0.0.2:80"], lambda proxy: 10.0
    )
    assert shares == ((1.0, {"10.0.0.2:80": pytest.approx(1 / 3)}),)
    harness.run_rounds(wait_s=9)
    assert (
        harness.controller.deliveries.pending_shares(
            ["dns/east"], ["read"], ["10.0.0.2:80"], lambda proxy: 10.0
        )
        == ()
    )


def test_a_draining_endpoint_leaves_answers_before_the_policy_reacts(harness):
    assert len(harness.target_labels()) == 3
    harness.update_endpoint_list("10.0.0.1:80", state="draining")
    output = harness.controller.run_round(harness.now_ns)  # the policy has issued no command yet
    harness.frontend.publish(output, harness.now_ns)
    assert harness.target_labels() == {"ip-10-0-0-2", "ip-10-0-0-3"}
    assert harness.answer("ip-10-0-0-1.lots.example.", "A").rcode() == dns.rcode.NXDOMAIN


def test_if_all_endpoints_drain_the_last_answer_stays(harness):
    harness.update_endpoint_list(*[f"10.0.0.{k}:80" for k in (1, 2, 3)], state="draining")
    harness.run_rounds()
    assert len(harness.target_labels()) == 3


def test_answers_are_reported_as_requests(harness):
    for _ in range(30):
        harness.answer()
    harness.run_rounds(wait_s=2)
    harness.run_rounds(wait_s=2)
    assert (
        30 / 4.1
        < harness.controller.observed_traffic.request_rate(["dns/east"], ["read"], harness.now_ns)
        <= 15
    )


def test_serials_rise_with_versions_and_are_at_least_the_wall_clock(harness):
    first_serial = harness.answer(ORIGIN, "SOA").answer[0][0].serial
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 2.0))
    assert harness.answer(ORIGIN, "SOA").answer[0][0].serial > first_serial
    later_harness = FrontendHarness()
    later_harness.frontend.wall_clock_offset_ns = 5_000_000 * NS_PER_S
    later_harness.update_endpoint_list("10.0.0.1:80")
    later_harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0))
    assert later_harness.answer(ORIGIN, "SOA").answer[0][0].serial >= 5_000_000


def test_the_view_follows_the_client_subnet_if_subnets_are_configured():
    harness = FrontendHarness(subnets=(("west", ipaddress.ip_network("10.1.0.0/16")),))
    harness.update_endpoint_list("10.0.0.1:80", "10.0.0.2:80")
    harness.run_rounds(("set_weight", 1, "10.0.0.1:80", 1.0), ("assign_table", "dns/east", 1, 0),
              ("set_weight", 2, "10.0.0.2:80", 1.0), ("assign_table", "dns/west", 2, 0))  # fmt: skip

    def query_with_subnet(subnet):
        query = encode_query(SRV, payload_size=1232, options=[dns.edns.ECSOption(subnet, 24)])
        return dns.message.from_wire(
            harness.frontend.queries.answer_datagram(query, "127.0.0.1", "east", harness.now_ns)
        )

    assert "ip-10-0-0-2" in str(query_with_subnet("10.1.7.0").answer[0])
    assert query_with_subnet("10.1.7.0").options[0].scopelen == 24
    assert "ip-10-0-0-1" in str(query_with_subnet("10.2.7.0").answer[0])
    harness.frontend.queries.subnets = []
    assert not query_with_subnet("10.1.7.0").options  # neither used nor echoed


def test_a_failing_policy_leaves_the_answers_unchanged(harness):
    harness.policy.writes = [("set_weight", 1, "10.0.0.1:80", 5.0, "too many")]
    harness.controller.runner.pending_events.append(TimerFired(0))
    for _ in range(3):
        harness.frontend.publish(harness.controller.run_round(harness.now_ns), harness.now_ns)
    assert len(harness.target_labels()) == 3


def test_a_view_that_overflows_the_egress_queue_reconnects_and_keeps_serving(harness):
    output = harness.controller.run_round(harness.now_ns)
    output.overflowed_proxies.append("dns/east")
    harness.frontend.publish(output, harness.now_ns)
    events = [(type(event), event.proxy) for event in harness.controller.runner.pending_events]
    assert events == [(ProxyDisconnected, "dns/east"), (ProxyConnected, "dns/east")]
    assert len(harness.target_labels()) == 3


def test_an_xds_node_with_the_id_of_a_view_is_refused(harness):
    from swiftchute.xds.frontend import FrontendOptions, XdsFrontend

    options = FrontendOptions(1, NS_PER_S, 1.0, 10)
    xds = XdsFrontend(harness.controller, harness.controller.settings, options, 7)
    with pytest.raises(ProtocolViolationError, match="another front"):
        xds.open_stream(1, ProxyNode("dns/east", "east", None, True, frozenset()), True, NOW_NS)
