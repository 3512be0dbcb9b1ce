"""Tests that crashing requests are quarantined and that others are not."""

import datetime
import itertools

from hypothesis import given
from hypothesis import strategies as st

from pomelolug.clock import Clock
from pomelolug.messages import LossReport
from pomelolug.retries import Containment, RunMode

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class WallClock(Clock):
    def __init__(self):
        self.seconds = 0.0

    def monotonic(self):
        return self.seconds

    def now(self):
        return START + datetime.timedelta(seconds=self.seconds)

    async def sleep(self, duration):
        self.seconds += duration.total_seconds()


def loss_report(group, *requests, domain=None, node="n", solo=False):
    return LossReport(
        loss_id=f"{group}/1/{node}",
        node=node,
        group=group,
        domain=domain or f"domain of {group}",
        token=1,
        fingerprints=requests,
        solo=solo,
    )


def containment_after(*losses):
    clock = WallClock()
    containment = Containment(clock=clock)
    for seconds, report in losses:
        clock.seconds = seconds
        containment.on_loss(report)
    return containment, clock


def test_one_loss_quarantines_no_request():
    containment, _ = containment_after((0, loss_report("g1", b"x", b"y")))
    assert containment.run_mode(b"x") is RunMode.SOLO
    assert containment.run_mode(b"y") is RunMode.SOLO
    assert containment.run_mode(b"z") is RunMode.NORMAL


def test_loss_during_a_solo_run_quarantines_only_the_solo_request():
    containment, _ = containment_after(
        (0, loss_report("g1", b"x", b"y")),
        (60, loss_report("g2", b"x", b"z", solo=True)),
    )
    assert containment.run_mode(b"x") is RunMode.QUARANTINED
    assert containment.run_mode(b"y") is RunMode.SOLO
    assert containment.run_mode(b"z") is RunMode.SOLO


def test_two_requests_with_a_strike_on_one_lost_group_are_not_quarantined():
    containment, _ = containment_after(
        (0, loss_report("g1", b"x", b"y")),
        (60, loss_report("g2", b"x", node="a", solo=True)),
        (60, loss_report("g2", b"y", node="b", solo=True)),
    )
    assert containment.quarantined() == frozenset()


def test_losses_of_one_fabric_domain_give_no_strikes():
    containment, _ = containment_after(
        (0, loss_report("g1", b"x", domain="d")),
        (4, loss_report("g2", b"x", b"y", domain="d")),
    )
    assert containment.run_mode(b"x") is RunMode.NORMAL
    assert containment.run_mode(b"y") is RunMode.NORMAL


def test_domain_failure_revokes_the_strikes_and_quarantines_it_caused():
    containment, clock = containment_after(
        (0, loss_report("g1", b"x")),
        (60, loss_report("g2", b"x", domain="d", solo=True)),
    )
    assert containment.run_mode(b"x") is RunMode.QUARANTINED
    clock.seconds = 64
    containment.on_loss(loss_report("g3", b"y", domain="d"))
    assert containment.run_mode(b"x") is RunMode.SOLO
    assert containment.run_mode(b"y") is RunMode.NORMAL


def test_loss_of_a_vm_outside_the_group_indicates_a_domain_failure():
    containment, _ = containment_after((0, loss_report("g1", b"x", domain="d")))
    containment.on_vm_loss("d", "vm1", group="g1")
    assert containment.run_mode(b"x") is RunMode.SOLO
    containment.on_vm_loss("d", "vm9")
    assert containment.run_mode(b"x") is RunMode.NORMAL


def test_losses_apart_in_time_or_domain_are_separate_events():
    containment, _ = containment_after(
        (0, loss_report("g1", b"x", domain="d")),
        (6, loss_report("g2", b"y", domain="d")),
        (7, loss_report("g3", b"z", domain="e")),
    )
    assert [containment.run_mode(one) for one in (b"x", b"y", b"z")] == [
        RunMode.SOLO
    ] * 3


def test_successful_solo_run_clears_the_strike():
    containment, clock = containment_after((0, loss_report("g1", b"x", b"y")))
    clock.seconds = 30
    containment.on_success(b"y")
    assert containment.run_mode(b"y") is RunMode.NORMAL
    clock.seconds = 60
    containment.on_loss(loss_report("g2", b"y", solo=True))
    assert containment.run_mode(b"y") is RunMode.SOLO


def test_state_is_bounded_and_old_losses_expire():
    containment, clock = containment_after(
        *(
            (i * 10, loss_report(f"g{i}", *(b"%d-%d" % (i, j) for j in range(3))))
            for i in range(700)
        )
    )
    assert len(containment.export().losses) <= 512
    for number in range(40):
        many = tuple(b"%d/%d" % (number, j) for j in range(256))
        containment.on_loss(loss_report("last", *many, node=f"n{number}"))
    assert all(
        len(one.fingerprints) <= 4096 for one in containment.export().losses.values()
    )
    clock.seconds += 2 * 24 * 3600
    containment.on_vm_loss("d", "vm")
    assert not containment.export().losses


reports = st.lists(
    st.tuples(
        st.integers(0, 20),
        st.builds(
            loss_report,
            st.sampled_from(["g1", "g2", "g3", "g4"]),
            st.sampled_from([b"x", b"y"]),
            st.sampled_from([b"x", b"z"]),
            domain=st.sampled_from(["d", "e"]),
            node=st.sampled_from(["a", "b"]),
            solo=st.booleans(),
        ),
    ),
    max_size=8,
)


@given(reports, st.randoms(use_true_random=False), st.integers(1, 3))
def test_merged_state_is_independent_of_the_order_of_losses(timed_reports, rng, nodes):
    containments = [Containment(clock=WallClock()) for _ in range(nodes)]
    for (seconds, report), containment in zip(
        timed_reports, itertools.cycle(containments), strict=False
    ):
        containment.on_loss(report, at=START + datetime.timedelta(seconds=seconds))
    merged = []
    for _ in range(2):
        target = Containment(clock=WallClock())
        rng.shuffle(containments)
        for containment in (*containments, containments[0]):
            target.merge(containment.export())
        merged.append(target)
    assert merged[0].export() == merged[1].export()
    assert merged[0].quarantined() == merged[1].quarantined()
