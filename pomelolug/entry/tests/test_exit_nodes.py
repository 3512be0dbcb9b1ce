"""Nodes to which a node passes requests on, and how it learns of them."""

import asyncio
import random

import pytest

from pomelolug.entry.peers import (
    order_forwarding_addresses,
    sample_other_exits,
    sample_zone_exits,
)
from pomelolug.entry.tests.harness import Harness, send_response
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus, encode

ZONE = ZoneId("a")
PACKET_BYTES = 1472
"""Bytes of a datagram that fit in one packet of an Ethernet."""


def status(number: int, *, zone: str = "a", **changes) -> NodeStatus:
    return NodeStatus(
        node=f"n{number}",
        started_ms=1_790_000_000_000,
        serial=1,
        zone=zone,
        address="",
        datagram=f"10.0.0.{number}:7340",
        declaration=1,
        **changes,
    )


def address(number: int) -> str:
    return status(number).datagram


def order(
    statuses: list[NodeStatus], *, reaches_servers: bool = False, seed: int = 1
) -> list[str]:
    return order_forwarding_addresses(
        statuses,
        own_address=address(1),
        zone=ZONE,
        reaches_servers=reaches_servers,
        rng=random.Random(seed),
    )


def test_requests_go_to_nodes_of_the_zone_that_reach_servers():
    # Guards against requests that are passed to a node that cannot serve them either.
    statuses = [
        status(2),
        status(3, reaches_servers=False),
        status(4, stopping=True),
        status(5),
        status(6, zone="b"),
    ]
    assert sorted(order(statuses)) == [address(2), address(5)]
    # Guards against one exit that gets the requests of all nodes.
    assert {order(statuses, seed=seed)[0] for seed in range(20)} == {
        address(2),
        address(5),
    }


def test_node_that_is_no_relay_learns_of_other_zones_from_its_relay():
    # Guards against nodes of a zone that is cut off as a whole and find no exit.
    relay = status(2, relay=True, reaches_servers=False, other_exits=(address(20),))
    # What a node lists that is no longer the relay may be out of date.
    former = status(3, reaches_servers=False, other_exits=(address(21),))
    assert order([relay, former]) == [address(20)]


def test_relay_passes_requests_to_exits_that_other_relays_list():
    # Guards against a relay that is cut off with its zone and finds no exit.
    relay = status(20, zone="b", relay=True, exits=(address(21), address(1)))
    assert order([relay]) == [address(21)]


@pytest.mark.parametrize("cut_off_count", [1, 2, 3, 4])
def test_exits_of_other_zones_are_mixed_in_if_most_of_the_zone_is_cut_off(
    cut_off_count,
):
    # Guards against a few sound nodes that get the requests of a whole zone, and
    # against requests that leave the zone while most of its nodes are sound. This node
    # is one of those cut off.
    exits = [status(number) for number in (2, 3)]
    cut_off = [status(10 + n, reaches_servers=False) for n in range(1, cut_off_count)]
    others = tuple(address(number) for number in range(30, 36))
    relay = status(9, relay=True, stopping=True, other_exits=others)
    orders = [order([*exits, *cut_off, relay], seed=seed) for seed in range(40)]
    assert all(len(o) == len(set(o)) == 8 for o in orders)
    is_other_first = [bool({*o[:2]} & {*others}) for o in orders]
    assert any(is_other_first) == (cut_off_count > 2)


def test_old_nodes_count_as_exits():
    # Guards against a node that finds no exit while the fleet is being updated.
    assert order([status(2)]) == [address(2)]


def test_relay_lists_a_sample_of_the_exits():
    # Guards against exits that are never listed because a zone has many nodes.
    statuses = [status(number) for number in range(2, 40)]
    rng = random.Random(1)
    samples = [
        sample_zone_exits(statuses, own_addresses=[address(1)], zone=ZONE, rng=rng)
        for _ in range(60)
    ]
    assert {len(set(sample)) for sample in samples} == {8}
    listed = {a for sample in samples for a in sample}
    assert listed == {address(number) for number in range(1, 40)}


def test_relay_lists_exits_of_all_other_zones():
    # Guards against a zone whose exits are known to its own nodes only.
    relays = [
        status(
            10 * n,
            zone=f"z{n}",
            relay=True,
            exits=tuple(address(10 * n + i) for i in range(12)),
        )
        for n in range(1, 4)
    ]
    own_relay = status(5, relay=True, exits=(address(6),), other_exits=(address(7),))
    sample = sample_other_exits([*relays, own_relay], zone=ZONE, rng=random.Random(1))
    assert len(set(sample)) == 12
    expected = {address(10 * n + i) for n in range(1, 4) for i in range(8)}
    assert set(sample) <= expected


def test_status_with_full_lists_fits_in_one_packet():
    # Guards against statuses of relays that are lost because they are fragmented.
    addresses = [f"10.100.100.{n}:7340" for n in range(100, 140)]
    load = {f"i-{number:010x}": 13 for number in range(10)}
    message = status(
        1,
        relay=True,
        load=load,
        zone_load=load,
        other_load=load,
        reaches_servers=False,
        exits=tuple(addresses[:8]),
        other_exits=tuple(addresses[8:20]),
        peers=tuple(addresses[20:32]),
    )
    assert len(encode(message)) <= PACKET_BYTES


async def test_nodes_tell_their_exits():
    # Guards against exits that are computed but not sent, received or ordered.
    async with Harness() as h, Harness(joins=h) as peer, Harness(joins=h) as other:
        await h.add_server(send_response)
        await h.start(zone="a")
        seeds = (f"{h.ip}:8003",)
        await peer.start(zone="a", seeds=seeds)
        await other.start(zone="b", seeds=seeds)
        own, zone, far = (f"{node.ip}:8004" for node in (h, peer, other))
        await wait_for_addresses(h, [zone, far])
        await wait_for_addresses(peer, [own, far])
        async with asyncio.timeout(5.0):
            while len(forwarding_addresses(other)) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        assert sorted(forwarding_addresses(other)) == sorted([own, zone])
        h.entry._peer_coordinator._reaches_servers = lambda: False
        await wait_for_addresses(peer, [far])


def forwarding_addresses(node: Harness) -> list[str]:
    assert node.entry is not None
    return node.entry._peer_coordinator.forwarding_addresses()


async def wait_for_addresses(node: Harness, expected: list[str]) -> None:
    async with asyncio.timeout(5.0):
        while forwarding_addresses(node) != expected:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
