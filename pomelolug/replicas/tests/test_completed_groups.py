"""Tests that a controller completes large groups after the loss of a member."""

import asyncio
import collections
import dataclasses

import pytest

from pomelolug.deployment import GroupState
from pomelolug.ids import ModelName, VmId
from pomelolug.replicas.tests.simulated_node import (
    DECLARATION,
    ENGINE,
    LARGE,
    SERVICE,
    SMALL,
    STALL_TIMEOUT,
    Node,
)
from pomelolug.testing import GroupServers

pytestmark = pytest.mark.looptime

UNEQUAL_ENGINE = dataclasses.replace(
    ENGINE,
    models=tuple(
        dataclasses.replace(model, group_size=size, work_share=share)
        for model, size, share in zip(ENGINE.models, (8, 2), (0.85, 0.15), strict=True)
    ),
)
"""Two domains of 12 servers have a group of 8 and two of 2 each, and no spares."""


async def start() -> tuple[GroupServers, Node]:
    fleet = GroupServers(
        engine=UNEQUAL_ENGINE, service=SERVICE, stall_timeout=STALL_TIMEOUT
    )
    for domain in range(2):
        for number in range(12):
            fleet.add(f"s{domain}-{number:02}", f"d{domain}")
    node = Node(fleet)
    service = dataclasses.replace(DECLARATION.services[SERVICE], engine=UNEQUAL_ENGINE)
    node.declaration = dataclasses.replace(DECLARATION, services={SERVICE: service})
    await asyncio.sleep(90.0)
    assert count(fleet) == {LARGE: 2, SMALL: 4}
    node.serving = True
    return fleet, node


def count(fleet: GroupServers) -> collections.Counter[ModelName]:
    return collections.Counter(fleet.open_groups().values())


def lose_member(fleet: GroupServers, node: Node, *, rank: int) -> None:
    """Kill a member of a large group, of which its head learns at once."""
    head = next(
        server
        for server in fleet.servers.values()
        if server.model == LARGE
        and server.membership is not None
        and server.membership.state is GroupState.OPEN
    )
    assert head.membership is not None
    member = next(
        server
        for server in fleet.servers.values()
        if server.membership is not None
        and server.membership.group == head.membership.group
        and server.membership.rank == rank
    )
    fleet.kill(VmId(member.vm))
    node.in_flight[head.vm] = 0
    node.controller.mark_suspect(VmId(head.vm))


async def test_weights_are_staged_on_members_before_the_first_request():
    # Guards against loads at the loss, which take ten times as long as at the start.
    fleet, node = await start()
    staged = [
        server
        for server in fleet.servers.values()
        if server.model == SMALL and LARGE in server.staged
    ]
    assert len(staged) == 2
    assert len({server.domain for server in staged}) == 2
    assert fleet.violations == []
    await node.stop()


@pytest.mark.parametrize("rank", [0, 4])
async def test_large_group_is_formed_again_without_a_load(rank):
    # Guards against a large model without groups after a few losses, as its
    # survivors become small groups.
    fleet, node = await start()
    seen = len(fleet.orders)
    lose_member(fleet, node, rank=rank)
    await asyncio.sleep(14.0)
    assert count(fleet) == {LARGE: 2, SMALL: 3}
    kinds = [kind for kind, _, result in fleet.orders[seen:] if result.is_accepted]
    assert kinds.count("close") == 1
    assert fleet.violations == []
    await node.stop()


async def test_busy_small_model_keeps_its_groups():
    # Guards against a large model that gets the slots which the small one is using.
    fleet, node = await start()
    for server in fleet.servers.values():
        if server.model == SMALL:
            node.in_flight[server.vm] = 30
    lose_member(fleet, node, rank=4)
    seen = len(fleet.orders)
    await asyncio.sleep(14.0)
    assert not any(kind == "close" for kind, _, _ in fleet.orders[seen:])
    assert count(fleet)[SMALL] >= 4
    assert fleet.violations == []
    await node.stop()


async def test_new_active_controller_ends_what_its_predecessor_began():
    # Guards against survivors and a closed group that stay idle after the loss of
    # the controller.
    fleet, node = await start()
    seen = len(fleet.orders)
    lose_member(fleet, node, rank=4)
    for _ in range(200):
        await asyncio.sleep(0.05)
        if any(kind == "close" for kind, _, _ in fleet.orders[seen:]):
            break
    await node.stop()
    successor = Node(fleet, generation=2)
    successor.declaration = node.declaration
    successor.serving = True
    await asyncio.sleep(30.0)
    assert count(fleet)[LARGE] == 2
    assert fleet.violations == []
    await successor.stop()
