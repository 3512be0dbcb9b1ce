"""Helpers that fill a simulated fleet with VMs and start it."""

import asyncio


def add_vms(world, count, *, domain="d1", **options):
    for number in range(count):
        world.fleet.add(f"{domain}-{number:02}", domain=domain, **options)


async def start_and_settle(world, count, *, nodes=("a",), **options):
    add_vms(world, count, **options)
    for name in nodes:
        world.add_node(name)
    await world.start()
    await asyncio.sleep(30 * (count // 4))
    return world.nodes[0]
