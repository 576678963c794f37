"""Acknowledgement time-outs of the streams of a frontend, without sockets."""

import pytest

from swiftchute.controller.controller import RoundOutput
from swiftchute.xds import names
from swiftchute.xds.frontend import CHECK_INTERVAL_NS, FrontendOptions, XdsFrontend
from swiftchute.xds.messages import AdsRequest, ProxyNode

S = 1_000_000_000
START = 1000 * S
ACK_TIMEOUT_NS = 10 * S


@pytest.fixture
def unacknowledged(scripted_controller):
    """A frontend with one stream whose clusters are not acknowledged: (frontend, response)."""
    controller, policy = scripted_controller
    frontend = XdsFrontend(controller, controller.settings, FrontendOptions(1, ACK_TIMEOUT_NS, 1.0, 10), 7)
    frontend.open_stream(1, ProxyNode("p", "east", 1.0, True, frozenset()), False, START)
    frontend.on_request(1, AdsRequest(names.CDS), START)
    policy.writes = [
        ("set_weight", 1, "127.0.0.1:9100", 1.0),
        ("assign_table", "p", 1, 0),
        ("request_ack", 5, False),
    ]
    output = frontend.publish(controller.run_round(START), START)
    if not output.responses:  # the egress queue sends it in the next round
        output = frontend.publish(controller.run_round(START + S), START + S)
    ((_, response),) = output.responses
    return frontend, response


def test_an_acknowledgement_received_after_the_process_was_stopped_keeps_the_stream(unacknowledged):
    frontend, response = unacknowledged
    resumed_ns = START + S + 2 * ACK_TIMEOUT_NS
    assert not frontend.publish(RoundOutput(), resumed_ns).terminations
    frontend.on_request(1, AdsRequest(names.CDS, nonce=response.nonce), resumed_ns)
    assert not frontend.publish(RoundOutput(), resumed_ns + CHECK_INTERVAL_NS).terminations
    assert frontend.is_connected("p")


def test_a_stream_that_acknowledges_nothing_is_ended_by_the_second_check(unacknowledged):
    frontend, _ = unacknowledged
    late_ns = START + S + 2 * ACK_TIMEOUT_NS
    frontend.publish(RoundOutput(), late_ns)
    (termination,) = frontend.publish(RoundOutput(), late_ns + CHECK_INTERVAL_NS).terminations
    assert termination.status == "DEADLINE_EXCEEDED"
    assert not frontend.is_connected("p")
