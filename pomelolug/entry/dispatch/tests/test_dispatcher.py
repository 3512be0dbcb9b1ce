"""Assignment of streams to the groups of a zone."""

import random
from collections import Counter

import pytest

from pomelolug.entry.dispatch import Holder
from pomelolug.entry.dispatch.tests.dispatch_fixtures import (
    SLOTS,
    ZONE,
    ManualClock,
    make_dispatcher,
    make_heads,
    make_question,
)
from pomelolug.ids import ModelName, ServiceName, VmId
from pomelolug.messages import NodeStatus

NODE = Holder("10.0.0.1:7340", 1)
OWN = Holder("10.0.0.9:7340", 1)


def status(holder: Holder = NODE, **changes) -> NodeStatus:
    fields = {
        "node": holder.address,
        "started_ms": holder.started_ms,
        "serial": 1,
        "zone": ZONE,
        "address": "",
        "datagram": holder.address,
        "declaration": 1,
    }
    return NodeStatus(**fields | changes)


def assign(dispatcher, count: int, *, first: int = 0, **changes) -> list[VmId | None]:
    question = make_question(**changes)
    return [dispatcher.decide(NODE, first + n, question).head for n in range(count)]


@pytest.mark.parametrize("groups", [1, 2, 14, 44])
def test_burst_is_spread_evenly_over_the_groups(groups):
    # Guards against a burst that falls on groups which were free a moment ago.
    dispatcher = make_dispatcher(make_heads(groups))
    heads = assign(dispatcher, groups * 5)
    assert {heads.count(head) for head in heads} == {5}


def test_full_groups_get_no_streams_that_would_be_late():
    # Guards against queues at servers, whose streams are all late.
    dispatcher = make_dispatcher(make_heads(2))
    heads = assign(dispatcher, 2 * SLOTS + 10, target_s=0.0)
    assert sum(head is not None for head in heads) == 2 * SLOTS
    decision = dispatcher.decide(NODE, 999, make_question(target_s=0.0))
    assert decision.head is None
    assert decision.has_groups


def test_group_with_free_slots_is_used_even_if_the_target_cannot_be_met():
    # Guards against idle groups while streams that are late anyway are refused.
    dispatcher = make_dispatcher(make_heads(1))
    assert assign(dispatcher, 1, prompt_tokens=1_000_000, target_s=0.01) == ["a0"]


def test_ended_stream_makes_room():
    # Guards against a group that stays full after its streams have ended.
    dispatcher = make_dispatcher(make_heads(1))
    assign(dispatcher, SLOTS, target_s=0.0)
    dispatcher.end(NODE, [0])
    assert assign(dispatcher, 2, first=100, target_s=0.0) == ["a0", None]


def test_streams_at_a_head_that_has_restarted_do_not_count():
    # Guards against a new group that gets nothing, since streams of the head's start of
    # before, whose ends were not heard of, fill its slots.
    dispatcher = make_dispatcher(make_heads(1))
    assign(dispatcher, SLOTS, target_s=0.0)
    dispatcher.update([], own=OWN, own_unassigned={"a0": 1})
    dispatcher.forget_server(VmId("a0"))
    assert dispatcher.in_flight(VmId("a0")) == dispatcher.open_assignments == 0
    dispatcher.end(NODE, [0])
    assert assign(dispatcher, SLOTS + 1, first=100, target_s=0.0) == [
        *["a0"] * SLOTS,
        None,
    ]


def test_repeated_question_takes_no_second_place():
    # Guards against a datagram that the network has duplicated.
    dispatcher = make_dispatcher(make_heads(3))
    first = dispatcher.decide(NODE, 1, make_question())
    assert dispatcher.decide(NODE, 1, make_question()) == first
    assert dispatcher.open_assignments == 1


def test_only_groups_of_the_zone_are_assigned():
    # Guards against two dispatchers that count the same group.
    dispatcher = make_dispatcher(make_heads(3, zone="b"))
    decision = dispatcher.decide(NODE, 1, make_question())
    assert decision.head is None
    assert not decision.has_groups


def test_excluded_heads_are_not_assigned_again():
    # Guards against a retry at the group that has just refused the stream.
    dispatcher = make_dispatcher(make_heads(2))
    assert assign(dispatcher, 3, excluded=["a0"]) == ["a1"] * 3


def test_unknown_model_is_left_to_the_node():
    # Guards against a refusal by a dispatcher with an older declaration.
    dispatcher = make_dispatcher(make_heads(2))
    for changes in ({"model": ModelName("x")}, {"service": ServiceName("x")}):
        decision = dispatcher.decide(NODE, 1, make_question(**changes))
        assert decision.head is None
        assert not decision.has_groups


def test_streams_that_nodes_have_sent_by_themselves_count():
    # Guards against a dispatcher that has just started and takes busy groups for free.
    dispatcher = make_dispatcher(make_heads(2))
    dispatcher.update([status(unassigned={"a0": 3})], own=OWN, own_unassigned={"a0": 1})
    assert assign(dispatcher, 4) == ["a1"] * 4


def test_streams_of_a_node_that_is_gone_do_not_count():
    # Guards against the loss of a node with many streams, which never ends them.
    clock = ManualClock()
    dispatcher = make_dispatcher(make_heads(1), clock=clock)
    load = {"a0": SLOTS}
    dispatcher.update([status(load=load)], own=OWN, own_unassigned={})
    assign(dispatcher, SLOTS, target_s=0.0)
    dispatcher.update([status(load=load)], own=OWN, own_unassigned={})
    assert dispatcher.in_flight(VmId("a0")) == SLOTS
    dispatcher.update([], own=OWN, own_unassigned={})
    assert dispatcher.in_flight(VmId("a0")) == 0


def test_streams_of_other_zones_are_kept_without_a_status():
    # Guards against the removal of streams whose nodes a dispatcher does not hear.
    clock = ManualClock()
    dispatcher = make_dispatcher(make_heads(1), clock=clock)
    assign(dispatcher, 2)
    for _ in range(5):
        clock.time_s += 1.0
        dispatcher.update([], own=OWN, own_unassigned={})
    assert dispatcher.in_flight(VmId("a0")) == 2
    clock.time_s += 10.0
    dispatcher.update([], own=OWN, own_unassigned={})
    assert dispatcher.in_flight(VmId("a0")) == 0


def test_old_status_drops_no_stream_that_is_younger():
    # Guards against groups that are filled twice: with many nodes a status may be
    # seconds old, and older if one is lost, and it lacks the streams since then.
    clock = ManualClock()
    dispatcher = make_dispatcher(make_heads(1), clock=clock)
    dispatcher.update([status(serial=1, load={})], own=OWN, own_unassigned={})
    assign(dispatcher, 3)
    for _ in range(40):
        clock.time_s += 0.1
        dispatcher.update([status(serial=1, load={})], own=OWN, own_unassigned={})
    assert dispatcher.in_flight(VmId("a0")) == 3
    dispatcher.update([status(serial=2, load={"a0": 1})], own=OWN, own_unassigned={})
    assert dispatcher.in_flight(VmId("a0")) == 1


def test_stand_in_counts_what_the_dispatcher_has_assigned():
    # Guards against a stand-in that takes groups for free which the dispatcher filled.
    dispatcher = make_dispatcher(make_heads(2))
    report = status(load={"a0": 3}, unassigned={})
    dispatcher.update([report], own=OWN, own_unassigned={}, is_stand_in=True)
    assert assign(dispatcher, 3) == ["a1"] * 3


def test_stand_in_counts_its_own_streams_once():
    # Guards against a stand-in that forgets the streams of its own node which the
    # dispatcher has assigned, and that counts those twice which it assigned itself.
    dispatcher = make_dispatcher(make_heads(2))
    head = dispatcher.decide(OWN, 1, make_question()).head
    dispatcher.update(
        [], own=OWN, own_unassigned={}, own_load={"a0": 2, "a1": 2}, is_stand_in=True
    )
    assert head in ("a0", "a1")
    assert dispatcher.in_flight(VmId("a0")) == 2
    assert dispatcher.in_flight(VmId("a1")) == 2


def test_large_account_does_not_crowd_out_the_others():
    # Guards against a burst of one account that fills all groups for seconds.
    clock = ManualClock()
    dispatcher = make_dispatcher(make_heads(10), clock=clock)
    dispatcher.decide(NODE, 1, make_question(account="small"))
    heads = []
    for serial in range(100, 120 + 10 * SLOTS):
        # The reserve follows the accounts every 50 ms.
        clock.time_s += 0.01
        heads += assign(dispatcher, 1, first=serial, account="large")
    assigned = sum(head is not None for head in heads)
    assert 0.85 * 10 * SLOTS <= assigned < 10 * SLOTS
    others = assign(dispatcher, 5, first=900, account="small")
    assert None not in others


def test_account_alone_may_use_all_slots():
    # Guards against idle groups while only one account needs them.
    dispatcher = make_dispatcher(make_heads(3))
    heads = assign(dispatcher, 3 * SLOTS, account="large", target_s=0.0)
    assert None not in heads


def test_accounts_of_equal_size_may_use_all_slots():
    # Guards against a reserve that nobody needs.
    dispatcher = make_dispatcher(make_heads(3))
    question = [make_question(account=f"a{n % 3}", target_s=0.0) for n in range(21)]
    heads = [dispatcher.decide(NODE, n, q).head for n, q in enumerate(question)]
    assert None not in heads


def test_ended_streams_of_an_account_no_longer_count():
    # Guards against an account that is held back for streams of before.
    dispatcher = make_dispatcher(make_heads(10))
    dispatcher.decide(NODE, 1, make_question(account="small"))
    serials = range(100, 100 + 10 * SLOTS)
    assign(dispatcher, len(serials), first=100, account="large")
    dispatcher.end(NODE, serials)
    assert dispatcher.in_flight(VmId("a0")) <= 1
    heads = assign(dispatcher, 5 * SLOTS, first=1000, account="large")
    assert None not in heads


def test_less_urgent_streams_leave_room_for_urgent_ones():
    # Guards against urgent streams that are refused at groups full of others, and
    # against a kind that gets no room at all.
    dispatcher = make_dispatcher(make_heads(6))
    slots = 6 * SLOTS
    assign(dispatcher, 1, urgency=0)
    heads = assign(dispatcher, slots, first=100, urgency=2, target_s=0.0)
    assigned = sum(head is not None for head in heads)
    assert 0.9 * slots <= assigned < slots - 1
    assert assign(dispatcher, 2, first=900, urgency=0, target_s=0.0) != [None, None]


def test_less_urgent_streams_are_served_while_urgent_ones_fill_all_groups():
    # Guards against a kind that is not served at all in an overload by a more urgent
    # one, and against urgent streams that are refused as often as others.
    clock, rng = ManualClock(), random.Random(1)
    dispatcher = make_dispatcher(make_heads(6), clock=clock)
    asked, served = Counter(), Counter()
    running: list[tuple[float, int]] = []
    for serial in range(3000):
        # Twice as many streams of a second as there are slots.
        clock.time_s += rng.expovariate(2 * 6 * SLOTS)
        while running and running[0][0] <= clock.time_s:
            dispatcher.end(NODE, [running.pop(0)[1]])
        urgency = 2 if rng.random() < 0.1 else 0
        question = make_question(urgency=urgency, target_s=0.0)
        asked[urgency] += 1
        if dispatcher.decide(NODE, serial, question).head is not None:
            served[urgency] += 1
            running.append((clock.time_s + 1.0, serial))
    urgent, other = served[0] / asked[0], served[2] / asked[2]
    assert 0.4 * urgent <= other <= urgent


def test_room_is_not_kept_for_urgent_streams_that_do_not_come():
    # Guards against idle slots where the urgent kind has gone.
    clock = ManualClock()
    dispatcher = make_dispatcher(make_heads(2), clock=clock)
    assign(dispatcher, 1, urgency=0)
    dispatcher.end(NODE, [0])
    clock.time_s += 20.0
    heads = assign(dispatcher, 2 * SLOTS, first=100, urgency=2, target_s=0.0)
    assert None not in heads


def test_ranking_names_the_group_that_is_assigned_and_changes_no_assignment():
    # Guards against a ranking for an operator that counts as a question or draws a
    # number, so that streams go elsewhere than without it.
    def decide_all(is_ranked: bool) -> list[str | None]:
        dispatcher = make_dispatcher(make_heads(5), seed=4)
        decisions = []
        for serial in range(6 * SLOTS):
            question = make_question(
                account=f"a{serial % 2}", urgency=serial % 3, target_s=0.0
            )
            ranking = dispatcher.rank(question) if is_ranked else None
            head = dispatcher.decide(NODE, serial, question).head
            decisions.append(head)
            if ranking is not None and head is None:
                assert ranking.has_groups
                assert ranking.is_reserved or not ranking.best
            elif ranking is not None:
                assert not ranking.is_reserved
                assert head in [best.vm for best in ranking.best]
        return decisions

    decisions = decide_all(False)
    assert None in decisions
    assert decide_all(True) == decisions
