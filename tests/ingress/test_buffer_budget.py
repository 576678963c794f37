"""Unfinished messages of all clients together: which of them have to be given up."""

from swiftchute.ingress.buffer_budget import MIN_EVICTABLE_BYTES, BufferBudget

KIB = 1024


def test_the_oldest_unfinished_messages_are_given_up_first():
    """Guards against memory that grows with the number of clients that stop half way."""
    budget = BufferBudget(10 * KIB)
    evicted = [list(budget.update(client, 4 * KIB)) for client in ("a", "b", "c", "d")]
    assert evicted == [[], [], ["a"], ["b"]]
    assert (budget.total_bytes, budget.evicted) == (8 * KIB, 2)


def test_a_complete_message_makes_room_and_begins_anew():
    budget = BufferBudget(10 * KIB)
    for client, size in (("a", 4), ("b", 4), ("a", 0), ("c", 2), ("a", 3)):
        assert list(budget.update(client, size * KIB)) == []
    assert list(budget.update("c", 4 * KIB)) == ["b"]


def test_small_messages_are_not_given_up_for_large_ones():
    budget = BufferBudget(10 * KIB)
    assert list(budget.update("small", MIN_EVICTABLE_BYTES - 1)) == []
    assert list(budget.update("large", 20 * KIB)) == ["large"]
    budget.release("small")
    assert budget.total_bytes == 0


def test_a_client_that_goes_on_reading_keeps_its_bytes():
    """Guards against a reset for a caller that reads, in place of those that read nothing."""
    budget = BufferBudget(10 * KIB)
    for client, size in (("reader", 5), ("idle", 4), ("reader", 4)):
        assert list(budget.update(client, size * KIB)) == []
    assert list(budget.update("other", 4 * KIB)) == ["idle"]
