"""Turns of urgent pushes and of proxies without tables in a full channel."""

import pytest

from swiftchute.policy.channel_turns import ChannelTurns, PushKind


@pytest.fixture
def contended():
    """Turns in a round after one in which proxies without tables were refused."""
    turns = ChannelTurns()
    turns.on_refused(PushKind.DRAIN_NOTICE)
    turns.begin_round()
    return turns


def test_both_get_as_many_entries_while_both_wait(contended):
    contended.on_reserved(PushKind.URGENT, 100)
    assert not contended.allows(PushKind.URGENT)
    assert not contended.allows(PushKind.ORDINARY)
    contended.on_reserved(PushKind.DRAIN_NOTICE, 60)
    assert contended.is_turn_of(PushKind.DRAIN_NOTICE)
    contended.on_reserved(PushKind.FIRST_TABLES, 60)
    assert contended.allows(PushKind.URGENT)
    assert not contended.is_turn_of(PushKind.DRAIN_NOTICE)


def test_urgent_pushes_need_not_wait_once_no_new_proxy_does(contended):
    contended.on_reserved(PushKind.URGENT, 100)
    contended.begin_round()
    assert contended.allows(PushKind.URGENT)
    assert not contended.is_turn_of(PushKind.DRAIN_NOTICE)


def test_nothing_uses_the_room_for_which_an_urgent_push_waits(contended):
    contended.on_refused(PushKind.URGENT)
    assert not any(contended.allows(kind) for kind in PushKind if kind is not PushKind.URGENT)
