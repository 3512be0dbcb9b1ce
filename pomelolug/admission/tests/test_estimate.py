"""Tests that wait estimates follow backend servers that slow down."""

from pomelolug.admission import WaitEstimator


def busy_estimator(*, held, mean_s):
    estimator = WaitEstimator()
    estimator.on_grant(now_s=0.0)
    estimator.on_release(held_s=mean_s, now_s=0.0)
    for _ in range(held):
        estimator.on_grant(now_s=0.0)
    return estimator


def test_expected_wait_grows_while_no_slot_becomes_free():
    estimator = busy_estimator(held=10, mean_s=1.0)
    assert estimator.expected_wait_s(ahead=0, now_s=0.1) == 0.1
    assert estimator.expected_wait_s(ahead=0, now_s=12.0) >= 2.0


def test_arrivals_of_higher_priority_increase_the_expected_wait():
    estimator = busy_estimator(held=10, mean_s=1.0)
    alone = estimator.expected_wait_s(ahead=3, now_s=0.1)
    assert estimator.expected_wait_s(ahead=3, now_s=0.1, taken_rate=8.0) > 4 * alone
    assert estimator.expected_wait_s(ahead=3, now_s=0.1, taken_rate=20.0) < float("inf")


def test_idle_time_does_not_increase_the_expected_wait():
    estimator = WaitEstimator()
    estimator.on_grant(now_s=0.0)
    estimator.on_release(held_s=1.0, now_s=1.0)
    estimator.on_grant(now_s=1000.0)
    assert estimator.expected_wait_s(ahead=0, now_s=1000.1) == 1.0
