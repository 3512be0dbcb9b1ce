"""Guards against quarantined bystanders and harmful requests that run on."""

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


def test_one_loss_quarantines_nobody():
    containment, _ = containment_after((0, loss_report("g1", b"x", b"y")))
    assert containment.run_mode(b"x") is RunMode.SOLO
    assert containment.run_mode(b"y") is RunMode.SOLO
    assert containment.run_mode(b"z") is RunMode.NORMAL


def test_second_loss_in_isolation_quarantines_only_the_isolated_request():
    containment, _ = containment_after(
        (0, loss_report("g1", b"x", b"y")),
        (60, loss_report("g2", b"x", b"z", solo=True)),
    )
    assert containment.run_mode(b"x") is RunMode.QUARANTINED
    assert containment.run_mode(b"y") is RunMode.SOLO
    assert containment.run_mode(b"z") is RunMode.SOLO


def test_two_requests_with_a_strike_on_one_group_quarantine_neither():
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


def test_dark_domain_takes_back_strikes_and_a_quarantine_it_caused():
    containment, clock = containment_after(
        (0, loss_report("g1", b"x")),
        (60, loss_report("g2", b"x", domain="d", solo=True)),
    )
    assert containment.run_mode(b"x") is RunMode.QUARANTINED
    clock.seconds = 64
    containment.on_loss(loss_report("g3", b"y", domain="d"))
    assert containment.run_mode(b"x") is RunMode.SOLO
    assert containment.run_mode(b"y") is RunMode.NORMAL


def test_loss_of_a_vm_outside_the_group_points_to_the_domain():
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


def test_good_isolated_run_clears_the_strike_of_a_bystander():
    containment, clock = containment_after((0, loss_report("g1", b"x", b"y")))
    clock.seconds = 30
    containment.on_success(b"y")
    assert containment.run_mode(b"y") is RunMode.NORMAL
    clock.seconds = 60
    containment.on_loss(loss_report("g2", b"y", solo=True))
    assert containment.run_mode(b"y") is RunMode.SOLO


def test_memory_is_bounded_and_old_losses_are_forgotten():
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
def test_nodes_agree_in_whatever_order_they_learn_of_losses(found, order, nodes):
    parts = [Containment(clock=WallClock()) for _ in range(nodes)]
    for (seconds, report), part in zip(found, itertools.cycle(parts), strict=False):
        part.on_loss(report, at=START + datetime.timedelta(seconds=seconds))
    joined = []
    for _ in range(2):
        whole = Containment(clock=WallClock())
        order.shuffle(parts)
        for part in (*parts, parts[0]):
            whole.merge(part.export())
        joined.append(whole)
    assert joined[0].export() == joined[1].export()
    assert joined[0].quarantined() == joined[1].quarantined()
