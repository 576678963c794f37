"""What counts as queued after sessions have ended, with and without silent proxies."""

import pytest

from swiftchute.platform.egress_ledger import EgressLedger
from tests.support.channel import S
from tests.support.sessions import HELLO, World

ENTRIES, COST = 95, 100  # of each message, without and with its overhead


class Rounds:
    """A ledger in whose rounds a silent and an open session are written to; only the open one answers."""

    def __init__(self):
        world = World(egress_rate_entries_per_s=100.0, egress_queue_limit_entries=1000)
        self.ledger, self.now, self.nonce = EgressLedger(world.manager.runner.settings), 1000 * S, 0
        self.silent, self.open = (world.open(HELLO | {"proxy": proxy}) for proxy in (1, 2))

    def write(self, *sessions, wait_s=0.0):
        """Write a message to each session in a new round; return its nonce."""
        self.now += int(wait_s * S)
        self.ledger.begin_round(self.now)
        self.nonce += 1
        for session in sessions:
            self.ledger.record_message(session, self.nonce, ENTRIES)
        return self.nonce

    def acknowledge(self, nonce):
        self.ledger.acknowledge(self.open, nonce, self.now)


@pytest.fixture
def rounds():
    return Rounds()


def test_entries_of_an_ended_session_are_settled_by_a_later_round(rounds):
    rounds.write(rounds.silent)
    later = rounds.write(rounds.open)
    assert rounds.ledger.end_session(rounds.silent) == COST
    rounds.acknowledge(later)
    assert rounds.ledger.total_entries == 0


def test_what_a_silent_proxy_may_just_have_read_is_settled_only_by_what_was_written_afterwards(rounds):
    """Guards against more than the queue holds where a proxy reads on as its session is ended."""
    rounds.write(rounds.silent, rounds.open)
    rounds.acknowledge(rounds.write(rounds.open))
    before = rounds.write(rounds.open)
    rounds.ledger.end_session(rounds.silent)
    rounds.acknowledge(before)
    assert rounds.ledger.total_entries == COST
    rounds.acknowledge(rounds.write(rounds.open))
    assert rounds.ledger.total_entries == 0


def test_what_a_silent_proxy_left_does_not_hold_up_the_queue_for_long(rounds):
    """Guards against a queue that is full of ended sessions, so that nothing can prove it to be empty."""
    for _ in range(5):
        rounds.write(rounds.silent)
    rounds.acknowledge(rounds.write(rounds.open))
    assert rounds.ledger.overtaken_entries == 5 * COST
    rounds.ledger.end_session(rounds.silent)
    rounds.write(wait_s=4.9)
    assert rounds.ledger.total_entries == rounds.ledger.ended_entries == 5 * COST
    rounds.write(wait_s=0.2)
    assert rounds.ledger.total_entries == 0


def test_rounds_are_known_to_be_sent_once_a_later_one_is_acknowledged(rounds):
    nonces = [rounds.write(rounds.silent, rounds.open, wait_s=1.0) for _ in range(3)]
    acknowledged = rounds.ledger.acknowledged_rounds
    oldest = rounds.ledger.oldest_unacknowledged(rounds.silent)
    assert acknowledged.sent_by_ns(oldest.round_number) is None
    for nonce in nonces[1:]:
        rounds.now += S
        rounds.acknowledge(nonce)
    assert acknowledged.sent_by_ns(oldest.round_number) == rounds.now - S
    assert acknowledged.last_ns == rounds.now
    assert rounds.ledger.overtaken_entries == 2 * COST
    assert rounds.ledger.session_entries(rounds.silent) == 3 * COST
