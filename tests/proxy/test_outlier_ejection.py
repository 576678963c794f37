"""Ejection of endpoints after consecutive failures, and their probation."""

from swiftchute.proxy.outlier_ejection import OutlierEjector

S = 1_000_000_000
NOW = 1000 * S


def record_failures(ejector, count, now, endpoint="a"):
    for _ in range(count):
        ejector.attempt_ended(endpoint, False, now)


def test_consecutive_failures_eject_an_endpoint_and_a_success_resets_them():
    ejector = OutlierEjector(3, 4 * S, 7)
    record_failures(ejector, 2, NOW)
    ejector.attempt_ended("a", True, NOW)
    record_failures(ejector, 2, NOW)
    assert ejector.ejected(NOW) == set()
    record_failures(ejector, 1, NOW)
    assert ejector.ejected(NOW + 3 * S - 1) == {"a"}
    assert ejector.ejected(NOW + 5 * S) == set()


def test_after_an_ejection_one_trial_request_at_a_time_is_let_through():
    ejector = OutlierEjector(3, 4 * S, 7)
    record_failures(ejector, 3, NOW)
    later = NOW + 5 * S
    ejector.attempt_started("a", later)
    assert ejector.ejected(later) == {"a"}  # the trial is in flight
    ejector.attempt_abandoned("a")  # its caller disconnected: the next request may be the trial
    assert ejector.ejected(later) == set()
    ejector.attempt_started("a", later)
    record_failures(ejector, 1, later)
    assert ejector.ejected(later + 5 * S) == {"a"}  # twice as long
    ejector.attempt_started("a", later + 11 * S)
    ejector.attempt_ended("a", True, later + 11 * S)
    assert ejector.failures_by_endpoint == {}


def test_failures_of_requests_in_flight_at_an_ejection_do_not_eject_again():
    ejector = OutlierEjector(3, 4 * S, 7)
    record_failures(ejector, 50, NOW)
    assert ejector.ejection_count == 1
    ejector.retain({"b"})
    assert ejector.ejected(NOW) == set()
