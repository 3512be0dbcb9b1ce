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
    # Guards against a lost load for which the spare, and other loads, wait for 60 s.
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


@pytest.mark.parametrize("rank", [0, -1])
async def test_report_of_a_restart_is_no_sign_that_a_group_works(rank):
    # Guards against a lost group that is kept, since its member answers after a restart
    # that its entry does not show yet.
    fleet = make_fleet()
    node = await start_node(fleet)
    head = head_of(fleet, SMALL)
    members = fleet.servers[head].members
    restarted = members[rank]
    node.in_flight[head] = 3
    seen = len(fleet.orders)
    node.follows_registry = False
    fleet.restart(restarted)
    node.controller.mark_suspect(head)
    await asyncio.sleep(0.8)
    assert {vm for _, vm, _ in fleet.orders[seen:]} & (set(members) - {restarted})
    node.follows_registry = True
    fleet.expire_entry(restarted)
    await wait_until_open(fleet, 2, timeout_s=8.0)
    assert fleet.violations == []
    await node.stop()


async def test_suspicion_of_a_head_ends_with_its_restart():
    # Guards against members of a new group that are probed and lost for the stall of a
    # head's start of before.
    fleet = make_fleet()
    node = await start_node(fleet)
    head = head_of(fleet, SMALL)
    node.controller.mark_suspect(head)
    fleet.restart(head)
    await asyncio.sleep(0.3)
    assert not node.controller._fleet.is_suspect(head)
    await node.stop()


async def test_server_whose_report_shows_a_restart_gets_orders_with_its_entry_only():
    # Guards against groups that are formed with a server whose entry is out of date,
    # and that wait for it for seconds.
    fleet = make_fleet()
    node = await start_node(fleet)
    spare = spares_of(fleet)[0]
    node.follows_registry = False
    fleet.restart(spare)
    entry = node.registry.servers[spare]
    await node.health.probe([entry])
    assert not node.controller._fleet.may_join(entry)
    node.follows_registry = True
    fleet.expire_entry(spare)
    await asyncio.sleep(0.3)
    assert node.controller._fleet.may_join(node.registry.servers[spare])
    await node.stop()


async def test_head_that_has_joined_its_group_again_frees_no_member():
    # Guards against members that join other groups while their head may be open: orders
    # that are carried out late reach its new start too.
    fleet = make_fleet()
    node = await start_node(fleet)
    old = fleet.servers[head_of(fleet, SMALL)]
    others = set(old.members) - {old.vm}
    fleet.restart(old.vm)
    new = fleet.servers[old.vm]
    new.membership, new.members, new.model = old.membership, old.members, old.model
    seen = len(fleet.orders)
    await asyncio.sleep(0.3)
    assert node.registry.servers[old.vm].start_time_ms == new.start_time_ms
    assert not any("join" in orders_to(fleet, vm, seen=seen) for vm in others)
    assert fleet.violations == []
    await node.stop()
