"""Guards against wrong ownership, cut requests and slow repair of groups."""

import asyncio

import pytest

from pomelolug.engines import FencingKind

pytestmark = pytest.mark.looptime


def fill(world, count, *, domain="d1", **options):
    for number in range(count):
        world.fleet.add(f"{domain}-{number:02}", domain=domain, **options)


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
