"""Which node of a zone assigns streams to the groups of the zone."""

import itertools

import pytest

from pomelolug.entry.dispatch import DispatcherAddresses
from pomelolug.entry.peers import find_dispatchers
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus

ZONE = ZoneId("a")


def status(number: int, **changes) -> NodeStatus:
    fields = {
        "node": f"n{number}",
        "started_ms": number,
        "serial": 1,
        "zone": ZONE,
        "address": "",
        "datagram": f"10.0.0.{number}:7340",
        "declaration": 1,
        "dispatches": True,
    }
    return NodeStatus(**fields | changes)


def find(statuses, own) -> DispatcherAddresses:
    return find_dispatchers(statuses, own=own, zone=ZONE)


def test_all_nodes_of_a_zone_agree():
    # Guards against two dispatchers, each of which counts half of the streams.
    nodes = [status(n) for n in range(1, 9)]
    found = {find([n for n in nodes if n is not own], own).local for own in nodes}
    assert len(found) == 1
    dispatcher, stand_in = found.pop()
    assert dispatcher != stand_in


def test_loss_of_another_node_changes_nothing():
    # Guards against a change of the dispatcher with each node that comes or goes.
    nodes = [status(n) for n in range(1, 12)]
    before = find(nodes, status(20)).local
    for lost in nodes:
        if lost.datagram not in before:
            rest = [n for n in nodes if n is not lost]
            assert find(rest, status(20)).local == before


@pytest.mark.parametrize(
    "changes", [{"stopping": True}, {"reaches_servers": False}, {"dispatches": False}]
)
def test_node_that_cannot_serve_the_zone_is_passed_over(changes):
    # Guards against a dispatcher that stops, is cut off from the servers, or is of an
    # earlier version. The stand-in, which is prepared, takes over.
    nodes = [status(n) for n in range(1, 9)]
    dispatcher, stand_in = find(nodes, status(20)).local
    changed = [
        status(n.started_ms, **changes) if n.datagram == dispatcher else n
        for n in nodes
    ]
    local = find(changed, status(20)).local
    assert local[0] == stand_in
    assert dispatcher not in local


def test_small_zone_has_no_dispatcher():
    # Guards against a change for deployments whose nodes know the load well.
    nodes = [status(n) for n in range(1, 5)]
    assert find(nodes, status(9)).local == ()
    others = [status(n, zone="b") for n in range(10, 30)]
    assert find(nodes + others, status(9)).local == ()


def test_dispatchers_of_other_zones_are_known_through_the_relays():
    # Guards against a full zone that finds no help: a node hears only its own zone.
    nodes = [status(n) for n in range(2, 9)]
    relay = status(
        1,
        relay=True,
        dispatcher="10.0.0.2:7340",
        other_dispatchers={"b": "10.0.1.2:7340", "a": "10.0.9.9:1"},
    )
    assert find([relay, *nodes], status(9)).others == {"b": "10.0.1.2:7340"}
    other_relay = status(50, zone="c", relay=True, dispatcher="10.0.2.2:7340")
    assert find([*nodes, other_relay], relay).others == {"c": "10.0.2.2:7340"}


def test_zones_without_a_dispatcher_are_known_through_the_relays():
    # Guards against a full zone that never uses the groups of a small one.
    nodes = [status(n) for n in range(2, 9)]
    other_relay = status(50, zone="c", relay=True)
    assert find([*nodes, other_relay], status(1)).undispatched == {"c"}
    relay = status(1, relay=True, other_dispatchers={"c": "", "b": "10.0.1.2:7340"})
    found = find([relay, *nodes], status(9))
    assert found.undispatched == {"c"}
    assert found.others == {"b": "10.0.1.2:7340"}


def test_order_of_the_statuses_does_not_matter():
    # Guards against a choice that depends on which datagram came first.
    nodes = [status(n) for n in (3, 1, 2, 5, 4)]
    found = {find(order, status(9)).local for order in itertools.permutations(nodes)}
    assert len(found) == 1
