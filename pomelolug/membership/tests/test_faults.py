"""Tests of the mesh under faults.

They guard against false suspicion and against views that do not converge after
pauses, restarts, network partitions and node losses.
"""

import asyncio
import datetime

import pytest

from pomelolug.membership import process_generation
from pomelolug.membership.tests.fleet import ALIVE, DEAD, SUSPECT, Fleet
from pomelolug.messages import RecordsRequest
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime(noop_cycles=1)


async def start_converged(count, **options):
    fleet = Fleet(count, **options)
    await fleet.wait_until(fleet.has_converged, 40)
    await asyncio.sleep(12)
    return fleet


def record_changes(fleet, name):
    changes = []
    fleet.meshes[name].on_change(lambda info: changes.append((info.node, info.state)))
    return changes


async def test_paused_node_suspects_no_other_node_after_resuming():
    fleet = await start_converged(6)
    changes = record_changes(fleet, "n002")
    fleet.clocks["n002"].pause()
    await asyncio.sleep(8)
    fleet.clocks["n002"].resume()
    await asyncio.sleep(5)
    assert changes == []
    assert fleet.has_converged()
    await fleet.close()


async def test_suspected_node_raises_its_incarnation_within_its_generation():
    fleet = await start_converged(6)
    before = fleet.meshes["n002"].identity.incarnation
    changes = record_changes(fleet, "n000")
    fleet.clocks["n002"].pause()
    await asyncio.sleep(5)
    assert changes == [("n002", SUSPECT)]
    fleet.clocks["n002"].resume()
    await fleet.wait_until(fleet.has_converged, 20)
    await asyncio.sleep(5)
    after = fleet.meshes["n002"].identity.incarnation
    assert after > before and process_generation(after) == process_generation(before)
    seen = {i.node: i.incarnation for i in fleet.meshes["n000"].nodes()}
    assert seen["n002"] == after
    await fleet.close()


async def test_own_pause_is_not_counted_as_silence_of_others():
    fleet = await start_converged(2)
    table = fleet.meshes["n000"]._table
    before = table.unpaused_s
    fleet.clocks["n000"].pause()
    await asyncio.sleep(60)
    fleet.clocks["n000"].resume()
    await asyncio.sleep(1.5)
    assert table.unpaused_s - before < 6
    await fleet.close()


@pytest.mark.parametrize("count", [6, 24])
async def test_one_way_loss_between_two_nodes_makes_neither_suspected(count):
    fleet = await start_converged(count, zones=3)
    hubs = [name for name, mesh in fleet.meshes.items() if mesh.is_hub][:2]
    changes = record_changes(fleet, hubs[0]), record_changes(fleet, hubs[1])
    fleet.network.cut(*hubs)
    await asyncio.sleep(20)
    # The others still report both as reachable, and messages are relayed around the
    # broken direction.
    assert changes == ([], [])
    received = []

    async def handler(node, message):
        received.append((node, message.from_offset))

    fleet.meshes[hubs[1]].on(RecordsRequest, handler)
    assert hubs[1] not in fleet.meshes[hubs[0]].connected_nodes
    assert fleet.meshes[hubs[0]].send(
        hubs[1], RecordsRequest(stream="s", from_offset=1)
    )
    fleet.meshes[hubs[0]].broadcast(RecordsRequest(stream="s", from_offset=2))
    await asyncio.sleep(1)
    assert sorted(received) == [(hubs[0], 1), (hubs[0], 2)]
    fleet.network.heal()
    await fleet.wait_until(lambda: hubs[1] in fleet.meshes[hubs[0]].connected_nodes, 30)
    await fleet.close()


@pytest.mark.parametrize("count", [9, 30])
async def test_views_converge_after_a_partition_in_which_both_sides_changed(count):
    fleet = await start_converged(count, zones=3)
    names = sorted(fleet.meshes)
    left = [n for i, n in enumerate(names) if i % 3 == 0]
    right = [n for n in names if n not in left]
    fleet.cut(left, right)
    await fleet.wait_until(
        lambda: fleet.has_converged(left) and fleet.has_converged(right), 20
    )
    await asyncio.sleep(60)
    # During the partition each side loses a node and gets new versions.
    stopped_nodes = [left.pop(), right.pop()]
    for name in stopped_nodes:
        await fleet.stop(name)
    for name in names:
        fleet.meshes[name].set_versions(config_version=7, groups_offset=len(name))
    await asyncio.sleep(20)
    fleet.network.heal()
    for name in stopped_nodes:
        fleet.meshes.pop(name)
    await fleet.wait_until(fleet.has_converged, 60)
    await fleet.wait_until(
        lambda: all(
            info.config_version == 7
            for mesh in fleet.meshes.values()
            for info in mesh.live_nodes()
        ),
        5,
    )
    states = {
        fleet.state(name, stopped) for name in fleet.meshes for stopped in stopped_nodes
    }
    assert states <= {DEAD, None}
    await fleet.close()


async def test_restarted_node_without_stored_state_replaces_its_earlier_process():
    fleet = await start_converged(6)
    old = fleet.meshes["n003"]
    old.set_versions(config_version=9, groups_offset=9)
    await asyncio.sleep(3)
    await fleet.stop("n003")
    fleet.network.heal()
    await asyncio.sleep(1)
    new = fleet.start(3)
    await fleet.wait_until(fleet.has_converged, 20)
    await fleet.wait_until(
        lambda: (
            {i.node: i for i in fleet.meshes["n000"].nodes()}["n003"].config_version
            == -1
        ),
        10,
    )
    assert new.identity.incarnation > old.identity.incarnation
    await fleet.close()


async def test_restart_after_the_clock_was_set_back_is_accepted():
    fleet = await start_converged(4)
    await fleet.stop("n003")
    fleet.network.heal()
    before = LoopClock.now
    try:
        LoopClock.now = lambda self: before(self) - datetime.timedelta(days=1)
        new = fleet.start(3)
    finally:
        LoopClock.now = before
    await asyncio.sleep(10)
    await fleet.wait_until(fleet.has_converged, 60)
    seen = {i.node: i.incarnation for i in fleet.meshes["n000"].nodes()}
    assert seen["n003"] == new.identity.incarnation
    await fleet.close()


async def test_loss_of_both_hubs_of_a_zone_makes_no_other_node_dead():
    fleet = await start_converged(30, zones=3)
    hubs = [n for n, m in fleet.meshes.items() if m.is_hub and m.identity.zone == "z1"]
    assert len(hubs) == 2
    observer = "n000" if "n000" not in hubs else "n003"
    changes = record_changes(fleet, observer)
    for name in hubs:
        await fleet.stop(name)
        fleet.meshes.pop(name)
    await asyncio.sleep(30)
    assert fleet.has_converged()
    dead = {node for node, state in changes if state is DEAD}
    assert dead == set(hubs)
    assert fleet.state(observer, hubs[0]) is DEAD
    await fleet.close()


async def test_dead_node_is_not_kept_alive_by_circular_reachability_reports():
    fleet = await start_converged(30, zones=3)
    spoke = next(n for n, m in fleet.meshes.items() if not m.is_hub)
    await fleet.stop(spoke)
    fleet.meshes.pop(spoke)
    await fleet.wait_until(
        lambda: all(fleet.state(name, spoke) is SUSPECT for name in fleet.meshes), 8
    )
    await fleet.wait_until(
        lambda: all(fleet.state(name, spoke) is DEAD for name in fleet.meshes), 12
    )
    await fleet.close()


async def test_partitioned_zone_sees_itself_alive_and_the_rest_dead():
    fleet = await start_converged(30, zones=3)
    names = sorted(fleet.meshes)
    zone = [n for n in names if fleet.meshes[n].identity.zone == "z0"]
    rest = [n for n in names if n not in zone]
    fleet.cut(zone, rest)
    await asyncio.sleep(25)
    assert fleet.has_converged(zone) and fleet.has_converged(rest)
    assert {fleet.state(zone[0], n) for n in rest} == {DEAD}
    fleet.network.heal()
    await fleet.wait_until(fleet.has_converged, 40)
    assert fleet.state(zone[0], rest[0]) is ALIVE
    await fleet.close()


async def test_node_with_a_wrong_key_is_not_admitted():
    fleet = await start_converged(3)
    fleet.keys = ("k1=" + "0b" * 16,)
    fleet.start(3)
    await asyncio.sleep(20)
    assert fleet.live_nodes("n003") == {"n003"}
    assert "n003" not in fleet.live_nodes("n000")
    await fleet.close()


@pytest.mark.parametrize("count", [6, 24])
async def test_resumed_node_does_not_revive_a_node_that_died_during_its_pause(count):
    fleet = await start_converged(count, zones=3)
    hubs = [name for name, mesh in fleet.meshes.items() if mesh.is_hub]
    paused, lost, observer = hubs[:3]
    changes = record_changes(fleet, observer)
    fleet.clocks[paused].pause()
    await asyncio.sleep(2)
    await fleet.stop(lost)
    await asyncio.sleep(25)
    fleet.clocks[paused].resume()
    await asyncio.sleep(30)
    states = [state for node, state in changes if node == lost]
    assert states == [SUSPECT, DEAD]
    await fleet.close()
