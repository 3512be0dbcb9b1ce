"""Planned changes must not interrupt requests or stop too many groups at once."""

import asyncio

import pytest

from pomelolug.configuration import Pool
from pomelolug.engines import EngineUnavailableError, GenerationRequest, StreamEnd
from pomelolug.groups.tests.fleets import start_and_settle
from pomelolug.messages import Drain
from pomelolug.state import RecordKind

pytestmark = pytest.mark.looptime


async def completes_stream(world, status, *, tokens):
    """Return whether a request started now receives its complete response."""
    request = GenerationRequest(
        request_id="r",
        group=status.group,
        token=status.token,
        body={"max_tokens": tokens},
    )
    last = None
    try:
        async for event in world.fleet.generate(status.leader, request):
            last = event
    except EngineUnavailableError:
        return False
    return isinstance(last, StreamEnd)


async def test_group_of_a_leaving_vm_drains_at_once_and_completes_requests(world):
    node = await start_and_settle(world, 5)
    (group,) = node.fold.groups.values()
    stream_task = asyncio.create_task(
        completes_stream(world, world.serving()[0], tokens=3000)
    )
    await asyncio.sleep(0.1)
    world.fleet.vms[group.vms[1]].leaving = True
    await asyncio.sleep(3)
    assert not world.serving()
    await asyncio.sleep(20)
    assert node.fold.groups[group.id].token == group.token
    assert await stream_task
    await asyncio.sleep(20)
    (status,) = world.serving()
    assert group.vms[1] not in status.members
    await world.stop()


async def test_group_of_a_drained_vm_serves_until_its_replacement_does(world):
    """A drain must not stop the only group of a pool."""
    node = await start_and_settle(world, 4)
    (group,) = node.fold.groups.values()
    unfinished = asyncio.create_task(
        completes_stream(world, world.serving()[0], tokens=4000)
    )
    await asyncio.sleep(0.1)
    await world.append(RecordKind.DRAIN, Drain(vm=group.vms[0]))
    for number in range(4):
        world.fleet.add(f"new-{number}")
    await asyncio.sleep(8)
    assert [s.token for s in world.serving()] == [group.token]
    await asyncio.sleep(12)
    assert group.id not in {s.group for s in world.serving()}
    assert len(world.serving()) == 1
    assert await unfinished
    await asyncio.sleep(20)
    assert node.fold.owner(group.vms[0]) is None
    assert len(world.serving()) == 1
    await world.stop()


@pytest.mark.parametrize(
    "change", [{"version": "2"}, {"adapters": ("fr",)}, {"role": "prefill"}]
)
async def test_rolling_change_stops_one_group_at_a_time(world, change):
    node = await start_and_settle(world, 12)
    old = {g.id: g.token for g in node.fold.groups.values()}
    world.pools[0] = Pool(name="p", model="m", members=4, **change)
    fewest = len(world.serving())
    for _ in range(400):
        await asyncio.sleep(0.5)
        fewest = min(fewest, len(world.serving()))
    assert len(world.serving()) == 3
    assert all(g.matches(world.pools[0]) for g in node.fold.groups.values())
    assert all(s.token > old[s.group] for s in world.serving())
    assert fewest >= 1
    await world.stop()


async def test_rolling_change_waits_while_load_needs_every_group(world):
    node = await start_and_settle(world, 8)
    for vm in world.fleet.vms.values():
        vm.running = 8
    await asyncio.sleep(2)
    world.pools[0] = Pool(name="p", model="m", members=4, version="2")
    await asyncio.sleep(30)
    assert len(world.serving()) == 2
    assert not node.controller.draining
    await world.stop()


async def test_group_of_a_removed_pool_is_dissolved(world):
    node = await start_and_settle(world, 4)
    world.pools.clear()
    await asyncio.sleep(20)
    assert not node.fold.groups
    assert all(vm.order is None for vm in world.fleet.vms.values())
    await world.stop()


async def test_slow_group_is_published_as_straggler_until_it_recovers(world):
    node = await start_and_settle(world, 12)
    (slow, *_) = node.fold.groups.values()
    for vm in slow.vms:
        world.fleet.vms[vm].step_time_s = 0.04
    await asyncio.sleep(10)
    assert [s.group for s in world.statuses.values() if s.straggler] == [slow.id]
    for vm in slow.vms:
        world.fleet.vms[vm].step_time_s = 0.02
    await asyncio.sleep(5)
    assert not any(s.straggler for s in world.statuses.values())
    await world.stop()
