from pomelolug.clock import SystemClock
from pomelolug.messages import LossReport
from pomelolug.retries import Containment, RunMode


def test_two():
    c = Containment(clock=SystemClock())
    import datetime

    t = datetime.datetime.now(datetime.UTC)

    def r(g, d, f, solo=False):
        return LossReport(
            loss_id=g, node="n", group=g, domain=d, token=1, fingerprints=f, solo=solo
        )

    c.on_loss(r("g1", "d1", (b"x", b"y")), at=t)
    assert c.may_run(b"x") is RunMode.SOLO
    c.on_loss(r("g2", "d2", (b"x", b"z"), True), at=t + datetime.timedelta(seconds=20))
    assert c.may_run(b"x") is RunMode.QUARANTINED
    assert c.may_run(b"z") is RunMode.SOLO
