"""Tests of the bound on the number of groups that one request can crash."""

from pomelolug.retries import RunMode
from pomelolug.retries.tests.test_containment import containment_after, loss_report


def test_third_loss_quarantines_even_if_other_requests_had_strikes():
    containment, _ = containment_after(
        (0.0, loss_report("g1", b"bad", b"x", b"y")),
        (10.0, loss_report("g2", b"bad", b"x")),
        (20.0, loss_report("g3", b"bad", b"y")),
    )
    assert containment.run_mode(b"bad") is RunMode.QUARANTINED
    assert containment.run_mode(b"x") is RunMode.SOLO
    assert containment.run_mode(b"y") is RunMode.SOLO


def test_success_between_losses_resets_the_count():
    containment, clock = containment_after(
        (0.0, loss_report("g1", b"fine", b"x")),
        (10.0, loss_report("g2", b"fine", b"x")),
    )
    clock.seconds = 15.0
    containment.on_success(b"fine")
    clock.seconds = 20.0
    containment.on_loss(loss_report("g3", b"fine", b"x"))
    assert containment.run_mode(b"fine") is RunMode.SOLO
