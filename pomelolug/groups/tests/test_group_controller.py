"""Guards against wrong ownership, cut requests and slow repair of groups."""

import asyncio
import dataclasses
import datetime

import pytest

from pomelolug.engines import AssignOrder, EngineUnavailableError, FencingKind
from pomelolug.groups.tests.fleets import fill, settled

pytestmark = pytest.mark.looptime


async def test_two_groups_form_one_after_the_other(world):
    fill(world, 9)
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
    fill(world, 5, fencing=fencing)
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


async def test_short_pause_reopens_at_the_same_token(world):
    node = await settled(world, 5)
    (group,) = node.fold.groups.values()
    world.fleet.pause(group.vms[2])
    await asyncio.sleep(3)
    assert not world.serving()
    world.fleet.resume(group.vms[2])
    await asyncio.sleep(2)
    assert [s.token for s in world.serving()] == [group.token]
    await world.stop()


async def test_member_that_restarted_gets_a_new_token(world):
    node = await settled(world, 4)
    (group,) = node.fold.groups.values()
    world.fleet.restart(group.vms[2], held=True)
    await asyncio.sleep(10)
    (status,) = world.serving()
    assert status.token > group.token
    assert status.members == group.vms
    await world.stop()


@pytest.mark.parametrize("fencing", list(FencingKind))
async def test_replaced_member_that_returns_stays_out_of_the_group(world, fencing):
    node = await settled(world, 5, fencing=fencing)
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
    node = await settled(world, 8, nodes=("a", "b", "c"))
    assert len(world.serving()) == 2
    assert world.counts["void"] > 0
    assert not world.violations
    formed = [e for e in world.fleet.ledger if e.group]
    assert len(formed) == 8
    assert node.fold.groups.keys() == world.nodes[2].fold.groups.keys()
    await world.stop()


async def test_dark_domain_does_not_delay_the_load_of_another(world):
    fill(world, 4, domain="d1")
    fill(world, 4, domain="d2")
    world.add_node("a")
    await world.start()
    await asyncio.sleep(3)
    world.fleet.darken("d1")
    await asyncio.sleep(14)
    assert [s.domain for s in world.serving()] == ["d2"]
    world.fleet.lighten("d1")
    await asyncio.sleep(14)
    assert len(world.serving()) == 2
    await world.stop()


async def test_impostor_never_joins_and_closes_its_group(world):
    node = await settled(world, 5)
    (group,) = node.fold.groups.values()
    world.fleet.vms[group.vms[1]].identity = "someone-else"
    await asyncio.sleep(2)
    assert not world.serving()
    await asyncio.sleep(15)
    (status,) = world.serving()
    assert group.vms[1] not in status.members
    assert world.counts["other_identity"] > 0
    await world.stop()


async def test_vm_that_the_list_places_twice_joins_no_group(world):
    fill(world, 4)
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
async def test_controller_that_slept_through_a_takeover_sends_no_order(world, fencing):
    """Guards against a lease that expires while its holder is paused."""
    node = await settled(world, 6, fencing=fencing)
    (group,) = node.fold.groups.values()
    sleeper = world.add_node("sleeper")
    world.read_log(sleeper)
    controller = sleeper.controller
    await controller.step()
    world.fleet.kill(group.vms[0])
    await asyncio.sleep(40)
    assert [s.token for s in world.serving()] > [group.token]
    before = len(world.fleet.ledger)
    await controller._establisher.advance(group)
    orders = controller._orders
    for vm in group.vms[1:]:
        assert not await orders.assign(group, vm, controller._inventory.entries)
    await controller.step()
    await asyncio.sleep(3)
    assert len(world.fleet.ledger) == before
    assert world.counts["order_without_lease"] > 0
    assert len(world.serving()) == 1
    await world.stop()


async def test_late_order_of_a_former_owner_is_counted_and_reasserted(world):
    """Guards against silence when the bounds of the successor wait are broken."""
    node = await settled(world, 4, fencing=FencingKind.IGNORES)
    (group,) = node.fold.groups.values()
    vm = group.vms[1]
    address = world.fleet.vms[vm].address
    stale = AssignOrder(
        group="old", token=-1, rank=0, members=(address,), model="m", version="1"
    )
    await world.fleet.assign(address, stale, timeout=datetime.timedelta(seconds=1))
    await asyncio.sleep(2)
    assert not world.serving()
    await asyncio.sleep(15)
    assert world.violations["successor_wait_bound"] == 1
    assert [s.token for s in world.serving()] == [group.token]
    await world.stop()


@pytest.mark.parametrize(("lost_s", "slow_s"), [(0.0, 0.0), (20.0, 0.0), (0.0, 0.9)])
async def test_successor_waits_until_former_leases_have_ended(
    world, monkeypatch, lost_s, slow_s
):
    """Guards against a wait that starts while a lease can still be renewed."""
    step = datetime.timedelta(seconds=0.2)
    world.limits = dataclasses.replace(world.limits, step_every=step)
    node = await settled(world, 5, fencing=FencingKind.IGNORES)
    (group,) = node.fold.groups.values()
    world.fleet.kill(group.vms[0])
    killed = world.clock.monotonic()
    release = world.fleet.release

    async def lossy_release(address, order, *, timeout):
        if world.clock.monotonic() < killed + lost_s:
            raise EngineUnavailableError("lost", maybe_ran=False)
        await asyncio.sleep(slow_s)
        await release(address, order, timeout=timeout)

    monkeypatch.setattr(world.fleet, "release", lossy_release)
    await asyncio.sleep(60)
    (status,) = world.serving()
    released = [e.at for e in world.fleet.ledger if e.at > killed and not e.group]
    joined = [e.at for e in world.fleet.ledger if e.token == status.token]
    assert len(released) == 3
    assert min(joined) - max(released) >= 6.0
    await world.stop()


async def test_log_outage_keeps_groups_serving_and_forms_none(world):
    node = await settled(world, 5)
    (group,) = node.fold.groups.values()
    node.is_cut = True
    await asyncio.sleep(10)
    assert len(world.serving()) == 1
    world.fleet.kill(group.vms[0])
    records = len(world.records)
    await asyncio.sleep(20)
    assert len(world.records) == records
    node.is_cut = False
    await asyncio.sleep(15)
    assert len(world.serving()) == 1
    await world.stop()


async def test_weight_store_outage_only_delays_loads(world):
    world.store.is_down = True
    fill(world, 8)
    for vm in list(world.fleet.vms.values())[:4]:
        vm.held.add("m")
    world.add_node("a")
    await world.start()
    await asyncio.sleep(10)
    assert len(world.serving()) == 1
    world.store.is_down = False
    await asyncio.sleep(20)
    assert len(world.serving()) == 2
    await world.stop()
