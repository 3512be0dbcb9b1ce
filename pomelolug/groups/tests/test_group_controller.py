"""Group controller: exclusive ownership, fencing and repair of groups."""

import asyncio
import dataclasses
import datetime

import pytest

from pomelolug.engines import AssignOrder, EngineUnavailableError, FencingKind
from pomelolug.groups.tests.fleets import add_vms, start_and_settle

pytestmark = pytest.mark.looptime


async def test_two_groups_load_one_after_the_other(world):
    add_vms(world, 9)
    world.add_node("a")
    await world.start()
    await asyncio.sleep(14)
    assert len(world.serving()) == 1
    await asyncio.sleep(12)
    assert len(world.serving()) == 2
    assert not world.violations
    await world.stop()


@pytest.mark.parametrize("fencing", list(FencingKind))
async def test_dead_member_is_replaced_and_group_serves_again(world, fencing):
    add_vms(world, 5, fencing=fencing)
    node = world.add_node("a")
    await world.start()
    await asyncio.sleep(20)
    (group,) = node.fold.groups.values()
    world.fleet.kill(group.vms[1])
    await asyncio.sleep(3)
    assert not world.serving()
    await asyncio.sleep(25)
    (status,) = world.serving()
    assert status.token > group.token
    assert group.vms[1] not in status.members
    assert not world.violations
    await world.stop()


async def test_group_serves_again_at_the_same_token_after_a_short_pause(world):
    node = await start_and_settle(world, 5)
    (group,) = node.fold.groups.values()
    world.fleet.pause(group.vms[2])
    await asyncio.sleep(3)
    assert not world.serving()
    world.fleet.resume(group.vms[2])
    await asyncio.sleep(2)
    assert [s.token for s in world.serving()] == [group.token]
    await world.stop()


async def test_group_with_a_restarted_member_gets_a_new_token(world):
    node = await start_and_settle(world, 4)
    (group,) = node.fold.groups.values()
    world.fleet.restart(group.vms[2], keep_weights=True)
    await asyncio.sleep(10)
    (status,) = world.serving()
    assert status.token > group.token
    assert status.members == group.vms
    await world.stop()


@pytest.mark.parametrize("fencing", list(FencingKind))
async def test_replaced_member_that_returns_does_not_rejoin(world, fencing):
    node = await start_and_settle(world, 5, fencing=fencing)
    (group,) = node.fold.groups.values()
    lost = group.vms[0]
    world.fleet.pause(lost)
    await asyncio.sleep(40)
    world.fleet.resume(lost)
    await asyncio.sleep(10)
    (status,) = world.serving()
    assert lost not in status.members
    assert world.fleet.vms[lost].order is None
    assert not world.violations
    await world.stop()


async def test_two_controllers_of_one_domain_form_each_group_once(world):
    node = await start_and_settle(world, 8, nodes=("a", "b", "c"))
    assert len(world.serving()) == 2
    assert world.counts["void"] > 0
    assert not world.violations
    formed = [e for e in world.fleet.membership_changes if e.group]
    assert len(formed) == 8
    assert node.fold.groups.keys() == world.nodes[2].fold.groups.keys()
    await world.stop()


async def test_unreachable_domain_does_not_delay_loads_of_another(world):
    add_vms(world, 4, domain="d1")
    add_vms(world, 4, domain="d2")
    world.add_node("a")
    await world.start()
    await asyncio.sleep(3)
    world.fleet.disconnect_domain("d1")
    await asyncio.sleep(14)
    assert [s.domain for s in world.serving()] == ["d2"]
    world.fleet.reconnect_domain("d1")
    await asyncio.sleep(14)
    assert len(world.serving()) == 2
    await world.stop()


async def test_vm_with_another_identity_closes_its_group_and_is_replaced(world):
    node = await start_and_settle(world, 5)
    (group,) = node.fold.groups.values()
    world.fleet.vms[group.vms[1]].identity = "someone-else"
    await asyncio.sleep(2)
    assert not world.serving()
    await asyncio.sleep(15)
    (status,) = world.serving()
    assert group.vms[1] not in status.members
    assert world.counts["other_identity"] > 0
    await world.stop()


async def test_vm_listed_in_two_domains_joins_no_group(world):
    add_vms(world, 4)
    entry = world.fleet.entries()[0]
    world.extra_entries = [dataclasses.replace(entry, domain="d9")]
    world.add_node("a")
    await world.start()
    await asyncio.sleep(5)
    assert not world.records
    assert world.counts["vm_list_contradiction"] > 0
    world.extra_entries = []
    await asyncio.sleep(15)
    assert len(world.serving()) == 1
    world.extra_entries = [dataclasses.replace(entry, domain="d9")]
    await asyncio.sleep(15)
    assert [s.token for s in world.serving()] == [0]
    await world.stop()


@pytest.mark.parametrize("fencing", list(FencingKind))
async def test_controller_paused_during_a_takeover_sends_no_orders(world, fencing):
    """Orders must not be sent under a lease that expired during a pause."""
    node = await start_and_settle(world, 6, fencing=fencing)
    (group,) = node.fold.groups.values()
    paused_node = world.add_node("sleeper")
    world.read_log(paused_node)
    controller = paused_node.controller
    await controller.step()
    world.fleet.kill(group.vms[0])
    await asyncio.sleep(40)
    assert [s.token for s in world.serving()] > [group.token]
    before = len(world.fleet.membership_changes)
    await controller._activator.send_orders(group)
    orders = controller._orders
    for vm in group.vms[1:]:
        assert not await orders.assign(group, vm, controller._inventory.entries)
    await controller.step()
    await asyncio.sleep(3)
    assert len(world.fleet.membership_changes) == before
    assert world.counts["order_without_lease"] > 0
    assert len(world.serving()) == 1
    await world.stop()


async def test_late_order_of_a_former_owner_is_counted_and_overridden(world):
    """An order that arrives later than the successor wait assumes is reported."""
    node = await start_and_settle(world, 4, fencing=FencingKind.IGNORES)
    (group,) = node.fold.groups.values()
    vm = group.vms[1]
    address = world.fleet.vms[vm].address
    stale_order = AssignOrder(
        group="old", token=-1, rank=0, members=(address,), model="m", version="1"
    )
    await world.fleet.assign(
        address, stale_order, timeout=datetime.timedelta(seconds=1)
    )
    await asyncio.sleep(2)
    assert not world.serving()
    await asyncio.sleep(15)
    assert world.violations["successor_wait_bound"] == 1
    assert [s.token for s in world.serving()] == [group.token]
    await world.stop()


@pytest.mark.parametrize(("lost_s", "slow_s"), [(0.0, 0.0), (20.0, 0.0), (0.0, 0.9)])
async def test_successor_wait_starts_after_the_last_release(
    world, monkeypatch, lost_s, slow_s
):
    """The wait must not start while a former lease can still be renewed."""
    step = datetime.timedelta(seconds=0.2)
    world.limits = dataclasses.replace(world.limits, step_every=step)
    node = await start_and_settle(world, 5, fencing=FencingKind.IGNORES)
    (group,) = node.fold.groups.values()
    world.fleet.kill(group.vms[0])
    killed_at_s = world.clock.monotonic()
    release = world.fleet.release

    async def lossy_release(address, order, *, timeout):
        if world.clock.monotonic() < killed_at_s + lost_s:
            raise EngineUnavailableError("lost", maybe_ran=False)
        await asyncio.sleep(slow_s)
        await release(address, order, timeout=timeout)

    monkeypatch.setattr(world.fleet, "release", lossy_release)
    await asyncio.sleep(60)
    (status,) = world.serving()
    released_at_s = [
        e.at_s
        for e in world.fleet.membership_changes
        if e.at_s > killed_at_s and not e.group
    ]
    joined_at_s = [
        e.at_s for e in world.fleet.membership_changes if e.token == status.token
    ]
    assert len(released_at_s) == 3
    assert min(joined_at_s) - max(released_at_s) >= 6.0
    await world.stop()


async def test_groups_keep_serving_and_none_form_during_a_log_outage(world):
    node = await start_and_settle(world, 5)
    (group,) = node.fold.groups.values()
    node.is_partitioned = True
    await asyncio.sleep(10)
    assert len(world.serving()) == 1
    world.fleet.kill(group.vms[0])
    records = len(world.records)
    await asyncio.sleep(20)
    assert len(world.records) == records
    node.is_partitioned = False
    await asyncio.sleep(15)
    assert len(world.serving()) == 1
    await world.stop()


async def test_weight_store_outage_delays_only_loads(world):
    world.store.is_down = True
    add_vms(world, 8)
    for vm in list(world.fleet.vms.values())[:4]:
        vm.held_models.add("m")
    world.add_node("a")
    await world.start()
    await asyncio.sleep(10)
    assert len(world.serving()) == 1
    world.store.is_down = False
    await asyncio.sleep(20)
    assert len(world.serving()) == 2
    await world.stop()
