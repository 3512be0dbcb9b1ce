"""Assignment of streams to the groups of a zone."""

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


def test_stand_in_counts_what_the_dispatcher_has_assigned():
    # Guards against a stand-in that takes groups for free which the dispatcher filled.
    dispatcher = make_dispatcher(make_heads(2))
    report = status(load={"a0": 3}, unassigned={})
    dispatcher.update([report], own=OWN, own_unassigned={}, is_stand_in=True)
    assert assign(dispatcher, 3) == ["a1"] * 3
