"""Tests of discovery, failure detection times and message delivery of the mesh."""

import asyncio

import pytest

from pomelolug.membership.tests.fleet import ALIVE, DEAD, SUSPECT, Fleet
from pomelolug.messages import RecordsRequest

pytestmark = pytest.mark.looptime(noop_cycles=1)


async def test_nine_nodes_form_a_full_mesh():
    fleet = Fleet(9, zones=3)
    await fleet.wait_until(fleet.has_converged, 15)
    await fleet.wait_until(
        lambda: all(len(m.connected_nodes) == 8 for m in fleet.meshes.values()), 15
    )
    await fleet.close()


async def test_lost_node_is_suspected_after_3_s_and_dead_after_10_s():
    fleet = Fleet(9)
    await fleet.wait_until(fleet.has_converged, 15)
    await asyncio.sleep(10)
    others = sorted(fleet.meshes)[:-1]
    await fleet.stop("n008")
    # The bounds allow one heartbeat period since the last heartbeat and one until
    # the check. If nodes repeated each other's estimates, detection would take
    # longer.
    suspected = await fleet.wait_until(
        lambda: all(fleet.state(name, "n008") is SUSPECT for name in others), 6
    )
    assert 1.9 < suspected < 4.3
    dead = await fleet.wait_until(lambda: fleet.state("n000", "n008") is DEAD, 12)
    assert 8.5 < suspected + dead < 13
    await fleet.close()


async def test_broadcast_over_hubs_reaches_every_node_once():
    fleet = Fleet(24, zones=3)
    await fleet.wait_until(fleet.has_converged, 30)
    await fleet.wait_until(
        lambda: sum(m.is_hub for m in fleet.meshes.values()) == 6, 10
    )
    await asyncio.sleep(20)
    spokes = [m for m in fleet.meshes.values() if not m.is_hub]
    assert all(len(m.connected_nodes) == 2 for m in spokes)
    received = []
    for name, mesh in fleet.meshes.items():

        async def handler(node, message, name=name):
            received.append((name, node, message.from_offset))

        mesh.on(RecordsRequest, handler)
    sender = spokes[0].identity.node
    spokes[0].broadcast(RecordsRequest(stream="s", from_offset=7))
    await asyncio.sleep(1)
    others = sorted(set(fleet.meshes) - {sender})
    assert sorted(received) == [(name, sender, 7) for name in others]
    received.clear()
    target = spokes[-1].identity.node
    assert spokes[0].send(target, RecordsRequest(stream="s", from_offset=8))
    await asyncio.sleep(1)
    assert received == [(target, sender, 8)]
    assert fleet.state(target, sender) is ALIVE
    await fleet.close()
