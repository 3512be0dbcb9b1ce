"""Tests that nothing of before counts for servers that have started again."""

import asyncio

import pytest

from pomelolug.deployment import OrderResult
from pomelolug.ids import VmId
from pomelolug.replicas.tests.simulated_node import (
    LARGE,
    SMALL,
    make_fleet,
    start_node,
)
from pomelolug.replicas.tests.test_controller import head_of, wait_until_open
from pomelolug.testing import GroupServers

pytestmark = pytest.mark.looptime


def orders_to(fleet: GroupServers, vm: VmId, *, seen: int) -> list[str]:
    """Return the kinds of the accepted orders to a server since `seen` orders."""
    return [
        kind
        for kind, ordered, result in fleet.orders[seen:]
        if ordered == vm and result is OrderResult.BEGUN
    ]


def spares_of(fleet: GroupServers) -> list[VmId]:
    open_groups = fleet.open_groups()
    return [
        s.vm
        for s in fleet.servers.values()
        if s.membership is None or s.membership.group not in open_groups
    ]


@pytest.mark.parametrize("model", [LARGE, SMALL])
async def test_members_of_a_head_that_has_restarted_are_free_at_once(model):
    # Guards against members that wait 40 s for a head that may still be open, although
    # its process of before is gone.
    fleet = make_fleet()
    node = await start_node(fleet)
    fleet.restart(head_of(fleet, model))
    await asyncio.sleep(0.1)
    assert len(fleet.open_groups()) == 1
    await wait_until_open(fleet, 2, timeout_s=5.0)
    assert sorted(fleet.open_groups().values()) == [LARGE, SMALL]
    assert fleet.violations == []
    await node.stop()


async def test_members_are_free_once_an_unresponsive_head_has_restarted():
    # Guards against a wait for an unreachable head that goes on after its restart.
    fleet = make_fleet()
    node = await start_node(fleet)
    head = head_of(fleet, LARGE)
    members = set(fleet.servers[head].members) - {head}
    fleet.servers[head].reachable = False
    fleet.deregister(head)
    seen = len(fleet.orders)
    await asyncio.sleep(12.0)
    assert not any("join" in orders_to(fleet, vm, seen=seen) for vm in members)
    fleet.restart(head)
    await asyncio.sleep(3.0)
    joined = {vm for vm in members if "join" in orders_to(fleet, vm, seen=seen)}
    assert joined
    assert fleet.violations == []
    await node.stop()


async def test_member_that_was_removed_and_has_restarted_is_free_at_once():
    # Guards against a server that is withheld for a group which its start of before
    # has left.
    fleet = make_fleet()
    node = await start_node(fleet)
    head = head_of(fleet, LARGE)
    removed = min(set(fleet.servers[head].members) - {head})
    fleet.servers[head].reachable = False
    fleet.deregister(head)
    await asyncio.sleep(12.0)
    assert fleet.servers[removed].membership is None
    seen = len(fleet.orders)
    fleet.restart(removed)
    await asyncio.sleep(3.0)
    assert orders_to(fleet, removed, seen=seen)
    assert fleet.violations == []
    await node.stop()


async def test_load_of_a_spare_that_has_restarted_does_not_count():
    # Guards against a lost load that keeps the spare, and other loads, waiting for 60 s.
    fleet = make_fleet()
    node = await start_node(fleet)
    fleet.add("s0-90", "d0")
    spare = VmId("s0-90")
    await asyncio.sleep(2.0)
    assert [vm for vm, _ in fleet.loads].count(spare) == 1
    fleet.restart(spare)
    await asyncio.sleep(3.0)
    assert [vm for vm, _ in fleet.loads].count(spare) == 2
    await node.stop()
