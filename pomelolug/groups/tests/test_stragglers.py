"""Straggler detection: hysteresis and the limit per pool."""

from pomelolug.groups._stragglers import StragglerDetector
from pomelolug.messages import GroupStatus


def group_reports(step_times_s):
    return [
        GroupStatus(
            group=f"g{number}",
            pool="p",
            model="m",
            zone="z",
            domain="d",
            token=number,
            phase="serving",
            leader="",
            members=(),
            verified_age_s=0.1,
            capacity=8,
            load=1,
            step_time_s=step,
        )
        for number, step in enumerate(step_times_s)
    ]


def test_five_slow_reports_mark_a_straggler_and_the_lower_threshold_clears_it():
    detector = StragglerDetector()
    for _ in range(4):
        assert not detector.update(group_reports([1.0, 1.0, 1.0, 1.6]))
    assert detector.update(group_reports([1.0, 1.0, 1.0, 1.6])) == {"g3"}
    assert detector.update(group_reports([1.0, 1.0, 1.0, 1.3])) == {"g3"}
    assert not detector.update(group_reports([1.0, 1.0, 1.0, 1.1]))


def test_one_normal_report_resets_the_count():
    detector = StragglerDetector()
    for slow in [1.6, 1.6, 1.6, 1.6, 1.4, 1.6, 1.6, 1.6, 1.6]:
        assert not detector.update(group_reports([1.0, 1.0, 1.0, slow]))


def test_at_most_a_tenth_of_a_pool_is_marked_slowest_first():
    detector = StragglerDetector()
    step_times_s = [1.0] * 14 + [2.0, 3.0, 4.0, 2.0, 2.0, 2.0]
    for _ in range(9):
        stragglers = detector.update(group_reports(step_times_s))
    assert stragglers == {"g15", "g16"}


def test_pool_of_two_groups_has_no_stragglers():
    detector = StragglerDetector()
    for _ in range(9):
        assert not detector.update(group_reports([1.0, 9.0]))
