"""Guards the bound on the groups that one crashing request may cost."""

from pomelolug.retries import RunMode
from pomelolug.retries.tests.test_containment import contained, loss


def test_third_loss_quarantines_although_other_struck_requests_ran_there():
    containment, _ = contained(
        (0.0, loss("g1", b"bad", b"x", b"y")),
        (10.0, loss("g2", b"bad", b"x")),
        (20.0, loss("g3", b"bad", b"y")),
    )
    assert containment.may_run(b"bad") is RunMode.QUARANTINED
    assert containment.may_run(b"x") is RunMode.SOLO
    assert containment.may_run(b"y") is RunMode.SOLO


def test_success_between_losses_starts_the_count_again():
    containment, clock = contained(
        (0.0, loss("g1", b"fine", b"x")), (10.0, loss("g2", b"fine", b"x"))
    )
    clock.seconds = 15.0
    containment.on_success(b"fine")
    clock.seconds = 20.0
    containment.on_loss(loss("g3", b"fine", b"x"))
    assert containment.may_run(b"fine") is RunMode.SOLO
