"""Count of the streams that a dispatcher has assigned."""

from pomelolug.entry.dispatch import AssignmentLedger, Holder
from pomelolug.ids import VmId

NODE = Holder("10.0.0.1:7340", 1)
OTHER = Holder("10.0.0.2:7340", 1)
HEAD = VmId("head")


def make_ledger(*serials: int, at_s: float = 0.0) -> AssignmentLedger:
    ledger = AssignmentLedger()
    for serial in serials:
        ledger.add(NODE, serial, HEAD, now_s=at_s)
    return ledger


def test_ended_streams_do_not_count():
    # Guards against groups that seem full for ever, and against a notice counted twice.
    ledger = make_ledger(1, 2)
    ledger.end(NODE, [1])
    ledger.end(NODE, [1])
    ledger.end(OTHER, [2])
    assert ledger.count(HEAD) == 1
    ledger.end(NODE, [2])
    assert ledger.count(HEAD) == 0
    assert len(ledger) == 0


def test_lost_notice_is_made_up_for_by_the_load_of_the_node():
    # Guards against a count that grows with each lost datagram.
    ledger = make_ledger(1, 2, 3)
    ledger.reconcile(NODE, {HEAD: 1}, now_s=10.0)
    assert ledger.count(HEAD) == 1
    assert ledger.find(NODE, 3) == HEAD


def test_new_assignment_is_not_missed_in_an_old_status():
    # Guards against a status from before the stream was sent, which would end it.
    ledger = make_ledger(1, at_s=9.5)
    ledger.reconcile(NODE, {}, now_s=10.0)
    assert ledger.count(HEAD) == 1


def test_restarted_node_holds_nothing_of_its_earlier_process():
    # Guards against a number that both processes have used.
    ledger = make_ledger(1)
    restarted = Holder(NODE.address, 2)
    ledger.add(restarted, 1, HEAD, now_s=1.0)
    ledger.drop_process(NODE)
    assert ledger.count(HEAD) == 1
    assert ledger.holders() == [restarted]


def test_streams_of_unseen_nodes_expire():
    # Guards against lost notices of nodes in other zones, whose load is not known.
    ledger = make_ledger(1, at_s=0.0)
    ledger.add(NODE, 2, HEAD, now_s=5.0)
    ledger.expire(before_s=4.0)
    assert ledger.count(HEAD) == 1
