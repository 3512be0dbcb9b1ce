"""Tests that groups follow a lasting demand, and stay complete and disjoint then."""

import asyncio
import collections
from collections.abc import Mapping

import pytest

from pomelolug.deployment import GroupState
from pomelolug.ids import ModelName, VmId
from pomelolug.replicas.tests.simulated_node import (
    ENGINE,
    LARGE,
    SMALL,
    Node,
    make_fleet,
    start_node,
)
from pomelolug.testing import GroupServers

pytestmark = pytest.mark.looptime

LOPSIDED = {LARGE: 4, SMALL: 40}
"""Streams in flight: the large model has 52 slots for 4, the small one 52 for 40."""


def heads(fleet: GroupServers, model: ModelName) -> list[VmId]:
    return [
        server.vm
        for server in fleet.servers.values()
        if server.alive
        and server.model == model
        and server.membership is not None
        and server.membership.state is GroupState.OPEN
    ]


def count(fleet: GroupServers) -> collections.Counter[ModelName]:
    return collections.Counter(fleet.open_groups().values())


async def serve(
    node: Node, fleet: GroupServers, demand: Mapping[ModelName, int], for_s: float
) -> None:
    """Keep streams in flight at the open groups of each model for some time."""
    for _ in range(round(for_s / 0.1)):
        node.in_flight = {}
        for model, streams in demand.items():
            open_heads = heads(fleet, model)
            for number in range(streams if open_heads else 0):
                vm = open_heads[number % len(open_heads)]
                node.in_flight[vm] = node.in_flight.get(vm, 0) + 1
        await asyncio.sleep(0.1)


async def start(*, domains: int = 4, size: int = 11) -> tuple[GroupServers, Node]:
    fleet = make_fleet(domains=domains, size=size)
    node = await start_node(fleet, groups=2 * domains)
    node.may_rebalance = True
    return fleet, node


async def wait_for_order(
    node: Node, fleet: GroupServers, kind: str, seen: int, *, timeout_s: float = 60.0
) -> VmId:
    for _ in range(round(timeout_s / 0.1)):
        for order, vm, result in fleet.orders[seen:]:
            if order == kind and result.is_accepted and vm in set(members(fleet)):
                return vm
        await serve(node, fleet, LOPSIDED, 0.1)
    raise AssertionError(fleet.orders[seen:])


def members(fleet: GroupServers) -> list[VmId]:
    """Return the servers that are in groups, without those in standby groups."""
    return [
        server.vm
        for server in fleet.servers.values()
        if server.membership is not None
        and not server.membership.group.startswith("standby")
    ]


async def test_group_of_the_idle_model_becomes_groups_of_the_busy_one():
    # Guards against steady lopsided demand that is refused beside empty slots, and
    # against a group that is closed before its hosts have the other weights.
    fleet, node = await start()
    seen = len(fleet.orders)
    await serve(node, fleet, LOPSIDED, 60.0)
    assert count(fleet) == {LARGE: 3, SMALL: 6}
    kinds = [kind for kind, _, result in fleet.orders[seen:] if result.is_accepted]
    assert kinds.count("close") == 1
    assert kinds[:8] == ["stage"] * 6 + ["close", "leave"]
    assert fleet.violations == []
    await serve(node, fleet, LOPSIDED, 120.0)
    assert count(fleet) == {LARGE: 3, SMALL: 6}
    await node.stop()


async def test_closed_head_leaves_after_its_requests_are_finished():
    # Guards against requests that are cut off by a planned stop of their group.
    fleet, node = await start()
    fleet.finish_time_s = 5.0
    seen = len(fleet.orders)
    head = await wait_for_order(node, fleet, "close", seen)
    await serve(node, fleet, LOPSIDED, 4.5)
    assert not any(kind == "leave" for kind, _, _ in fleet.orders[seen:])
    membership = fleet.servers[head].membership
    assert membership is not None and membership.state is GroupState.CLOSING
    await serve(node, fleet, LOPSIDED, 5.0)
    assert count(fleet) == {LARGE: 3, SMALL: 6}
    assert fleet.violations == []
    await node.stop()


async def test_new_groups_are_open_soon_after_the_close():
    # Guards against servers that serve nobody while weights are loaded.
    fleet, node = await start()
    seen = len(fleet.orders)
    await wait_for_order(node, fleet, "close", seen)
    await serve(node, fleet, LOPSIDED, 4.0)
    assert count(fleet) == {LARGE: 3, SMALL: 6}
    await node.stop()


@pytest.mark.parametrize("unmet", ["permission", "serving"])
async def test_groups_stay_where_the_deployment_does_not_ask_for_it(unmet):
    # Guards against a change for small deployments, whose zones have no dispatcher.
    fleet, node = await start()
    node.may_rebalance = unmet != "permission"
    node.serving = unmet != "serving"
    before = fleet.open_groups()
    seen = len(fleet.orders)
    await serve(node, fleet, LOPSIDED, 90.0)
    assert fleet.open_groups() == before
    assert fleet.orders[seen:] == []
    await node.stop()


async def test_burst_shorter_than_a_conversion_closes_no_group():
    # Guards against a group that is given up for a burst of some seconds.
    fleet, node = await start()
    before = fleet.open_groups()
    await serve(node, fleet, LOPSIDED, 9.0)
    await serve(node, fleet, {LARGE: 4, SMALL: 15}, 60.0)
    assert fleet.open_groups() == before
    await node.stop()


async def test_demand_that_shifts_back_gets_a_group_of_the_large_model():
    # Guards against a conversion without a way back, which needs several groups.
    fleet, node = await start()
    await serve(node, fleet, LOPSIDED, 60.0)
    assert count(fleet) == {LARGE: 3, SMALL: 6}
    await serve(node, fleet, {LARGE: 38, SMALL: 4}, 300.0)
    assert count(fleet)[LARGE] >= 4
    assert fleet.violations == []
    await node.stop()


@pytest.mark.parametrize("order", ["stage", "close", "leave"])
async def test_new_active_controller_ends_what_its_predecessor_began(order):
    # Guards against a group that stays closed, or servers that stay in no group, when
    # the active controller dies halfway, and against weights that are loaded twice.
    fleet, node = await start()
    seen = len(fleet.orders)
    awaited = "close" if order == "leave" else order
    await wait_for_order(node, fleet, awaited, seen)
    for _ in range(100):
        if order in {kind for kind, _, _ in fleet.orders[seen:]}:
            break
        await asyncio.sleep(0.02)
    await node.stop()
    successor = Node(fleet, generation=2)
    successor.serving = successor.may_rebalance = True
    await serve(successor, fleet, LOPSIDED, 90.0)
    assert count(fleet) == {LARGE: 3, SMALL: 6}
    assert fleet.violations == []
    loads = collections.Counter(fleet.loads)
    assert not [load for load, times in loads.items() if times > 2]
    await successor.stop()


@pytest.mark.parametrize("order", ["stage", "close"])
async def test_member_lost_during_a_conversion_is_repaired(order):
    # Guards against a group without all of its members, or a server in two groups,
    # when a member of the group that is given up is lost halfway.
    fleet, node = await start()
    vm = await wait_for_order(node, fleet, order, len(fleet.orders))
    server = fleet.servers[vm]
    head = server.members[0]
    fleet.kill(server.members[-1])
    node.controller.mark_suspect(head)
    await serve(node, fleet, LOPSIDED, 90.0)
    assert fleet.violations == []
    groups = count(fleet)
    assert groups[LARGE] >= 3
    assert groups[SMALL] >= 5
    await node.stop()


async def test_evacuated_zone_stops_a_conversion():
    # Guards against a group that is given up when slots elsewhere are needed soon.
    fleet, node = await start()
    seen = len(fleet.orders)
    await wait_for_order(node, fleet, "stage", seen)
    node.evacuated_domains.add("d3")
    await serve(node, fleet, LOPSIDED, 60.0)
    assert not any(kind == "close" for kind, _, _ in fleet.orders[seen:])
    assert count(fleet)[LARGE] == 4
    await node.stop()


async def test_conversions_leave_half_of_the_loads_to_repairs():
    # Guards against a repair that waits for loads of a conversion, and against loads
    # for a conversion while all are taken by new servers.
    fleet, node = await start()
    first = len(fleet.loads)
    await wait_for_order(node, fleet, "stage", len(fleet.orders))
    await serve(node, fleet, LOPSIDED, 3.0)
    assert len(fleet.loads) - first <= ENGINE.max_concurrent_loads // 2
    await node.stop()

    fleet, node = await start()
    for number in range(ENGINE.max_concurrent_loads):
        fleet.add(f"new-{number}", f"n{number}")
    await asyncio.sleep(0.5)
    seen = len(fleet.loads)
    serving = set(members(fleet))
    await serve(node, fleet, LOPSIDED, 10.0)
    assert not [vm for vm, _ in fleet.loads[seen:] if vm in serving]
    await node.stop()
