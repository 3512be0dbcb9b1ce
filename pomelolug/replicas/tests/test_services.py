"""Tests of a controller of several services, and of one whose services change."""

import asyncio
import dataclasses

import pytest

from pomelolug.deployment import BackendServer, Declaration, GroupMembership, GroupState
from pomelolug.ids import GroupId, ServiceName, VmId
from pomelolug.replicas.tests.simulated_node import (
    DECLARATION,
    ENGINE,
    LARGE,
    SERVICE,
    SMALL,
    STALL_TIMEOUT,
    Node,
    make_fleet,
    seconds,
)
from pomelolug.testing import GroupServers, SimulatedServer

pytestmark = pytest.mark.looptime

OTHER = ServiceName("other")


class MixedServers(GroupServers):
    """Servers in one domain, every second one of another service."""

    def service_of(self, vm: VmId) -> ServiceName:
        return OTHER if int(vm.rpartition("-")[2]) % 2 else SERVICE

    def build_entry(self, vm: VmId) -> BackendServer:
        entry = super().build_entry(vm)
        return dataclasses.replace(entry, service=self.service_of(vm))

    def groups(self) -> dict[GroupId, set[ServiceName]]:
        """Return the services of the members of each open group."""
        return {
            s.membership.group: {self.service_of(vm) for vm in s.members}
            for s in self.servers.values()
            if s.membership is not None and s.membership.state is GroupState.OPEN
        }


def declare(*services: ServiceName) -> Declaration:
    service = DECLARATION.services[SERVICE]
    return dataclasses.replace(
        DECLARATION,
        services={name: dataclasses.replace(service, name=name) for name in services},
    )


def make_mixed_fleet() -> MixedServers:
    fleet = MixedServers(engine=ENGINE, service=SERVICE, stall_timeout=STALL_TIMEOUT)
    for number in range(22):
        fleet.add(f"s0-{number:02}", "d0")
    return fleet


def services_of_models(fleet: MixedServers) -> set[tuple[str, str]]:
    services = fleet.groups()
    assert all(len(names) == 1 for names in services.values()), services
    return {
        (next(iter(services[group])), model)
        for group, model in fleet.open_groups().items()
    }


ALL = {(service, model) for service in (SERVICE, OTHER) for model in (LARGE, SMALL)}


async def test_services_that_declare_the_same_models_have_groups_of_their_own():
    # Guards against groups with members of two services, and against a service whose
    # groups count as those of another one with the same models.
    fleet = make_mixed_fleet()
    node = Node(fleet)
    node.declaration = declare(SERVICE, OTHER)
    await asyncio.sleep(90.0)
    node.serving = True
    assert services_of_models(fleet) == ALL
    assert fleet.violations == []
    await node.stop()


@pytest.mark.parametrize("service", [SERVICE, OTHER])
async def test_lost_member_is_replaced_by_a_server_of_its_service(service):
    # Guards against a repair that waits or takes servers of the other service.
    fleet = make_mixed_fleet()
    node = Node(fleet)
    node.declaration = declare(SERVICE, OTHER)
    await asyncio.sleep(90.0)
    node.serving = True
    head = next(
        s
        for s in fleet.servers.values()
        if s.model == LARGE
        and s.membership is not None
        and s.membership.state is GroupState.OPEN
        and fleet.service_of(s.vm) == service
    )
    fleet.kill(head.members[-1])
    node.controller.mark_suspect(head.vm)
    await asyncio.sleep(4.0)
    assert services_of_models(fleet) == ALL
    assert fleet.violations == []
    await node.stop()


CLAIMANT = VmId("claimant")


class ClaimedServers(GroupServers):
    """Servers before which another writer's entry names a group and its head's rank."""

    claim: GroupMembership | None = None
    service = SERVICE

    def build_entry(self, vm: VmId) -> BackendServer:
        entry = super().build_entry(vm)
        if vm != CLAIMANT:
            return entry
        return dataclasses.replace(entry, service=self.service, membership=self.claim)


@pytest.mark.parametrize("service", [SERVICE, OTHER])
async def test_restart_of_a_server_that_only_names_itself_head_frees_nobody(service):
    # Guards against an open group whose members are taken, since another writer's entry
    # named its head and was followed by one with a later start.
    fleet = ClaimedServers(engine=ENGINE, service=SERVICE, stall_timeout=STALL_TIMEOUT)
    fleet.service = service
    fleet.add(CLAIMANT, "d9")
    for number in range(11):
        fleet.add(f"s0-{number:02}", "d0")
    node = Node(fleet)
    await asyncio.sleep(90.0)
    before = fleet.open_groups()
    head = next(s for s in fleet.servers.values() if s.model == LARGE)
    fleet.claim = fleet.servers[head.members[0]].membership
    await node.stop()
    successor = Node(fleet, generation=2)
    successor.serving = True
    await asyncio.sleep(10.0)
    seen = len(fleet.orders)
    fleet.claim = None
    fleet.restart(CLAIMANT)
    await asyncio.sleep(5.0)
    ordered = {vm for kind, vm, _ in fleet.orders[seen:] if kind in ("join", "leave")}
    assert fleet.open_groups() == before
    assert not ordered & set(head.members)
    await successor.stop()


def live_heads(fleet: GroupServers) -> list[SimulatedServer]:
    return [
        s
        for s in fleet.servers.values()
        if s.membership is not None
        and s.membership.state is GroupState.OPEN
        and s.broken_at_s is None
    ]


async def test_entry_of_another_service_hides_no_lost_member():
    # Guards against a lost member that is not probed, since the entry of another writer
    # takes the place of the head that is suspected.
    fleet = ClaimedServers(engine=ENGINE, service=SERVICE, stall_timeout=STALL_TIMEOUT)
    fleet.service = OTHER
    for number in range(11):
        fleet.add(f"s0-{number:02}", "d0")
    node = Node(fleet)
    await asyncio.sleep(90.0)
    node.serving = True
    head = next(s for s in fleet.servers.values() if s.model == LARGE)
    fleet.claim = fleet.servers[head.members[0]].membership
    fleet.add(CLAIMANT, "d9")
    await asyncio.sleep(1.0)
    lost = head.members[-1]
    fleet.kill(lost)
    node.controller.mark_suspect(head.members[0])
    await asyncio.sleep(2.0)
    assert sorted(fleet.open_groups().values()) == [LARGE, SMALL]
    assert all(lost not in s.members for s in live_heads(fleet))
    await node.stop()


@pytest.mark.parametrize("change", ["load_time", "service"])
async def test_declaration_that_changes_during_a_formation_locks_no_servers(change):
    # Guards against members that belong to a formation for ever, since its service or
    # its model is not declared any more as it was.
    fleet = make_fleet()
    node = Node(fleet)
    while not any(kind == "join" for kind, _, _ in fleet.orders):  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    if change == "service":
        node.declaration = declare(OTHER)
        await asyncio.sleep(5.0)
        node.declaration = DECLARATION
    else:
        models = [
            dataclasses.replace(model, load_time=model.load_time + seconds(1.0))
            for model in ENGINE.models
        ]
        engine = dataclasses.replace(ENGINE, models=tuple(models))
        service = dataclasses.replace(DECLARATION.services[SERVICE], engine=engine)
        node.declaration = dataclasses.replace(
            DECLARATION, version=2, services={SERVICE: service}
        )
    await asyncio.sleep(90.0)
    assert sorted(fleet.open_groups().values()) == [LARGE, SMALL]
    assert fleet.violations == []
    await node.stop()


async def test_model_that_is_withdrawn_during_a_formation_frees_the_members():
    # Guards against servers that are lost to the other models.
    fleet = make_fleet()
    node = Node(fleet)
    while not any(kind == "join" for kind, _, _ in fleet.orders):  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    (small,) = (model for model in ENGINE.models if model.name == SMALL)
    engine = dataclasses.replace(ENGINE, models=(small,))
    service = dataclasses.replace(DECLARATION.services[SERVICE], engine=engine)
    node.declaration = dataclasses.replace(
        DECLARATION, version=2, services={SERVICE: service}
    )
    await asyncio.sleep(90.0)
    assert sorted(fleet.open_groups().values()) == [SMALL] * 3
    assert fleet.violations == []
    await node.stop()
