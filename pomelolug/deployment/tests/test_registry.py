"""Servers that leave, lapse and come back."""

import asyncio

import pytest

from pomelolug.deployment import BackendServer, ServerRegistry, ServerState
from pomelolug.ids import DomainId, Offset, ServiceName, VmId, ZoneId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
VM = VmId("a")


def server(born: int = 1) -> BackendServer:
    return BackendServer(
        vm=VM,
        born_ms=born,
        service=ServiceName("s"),
        address="10.0.0.1:1",
        zone=ZoneId("z"),
        domain=DomainId(""),
        state=ServerState.READY,
        slots=1,
        staged=frozenset(),
        model=None,
        membership=None,
    )


async def test_entry_that_ends_means_that_the_server_left():
    # Guards against requests to a server that has gone.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(1), server())])
    change = registry.apply([(VM, Offset(2), None)])
    assert [s.vm for s in change.removed] == [VM]
    assert VM not in registry.servers


async def test_entry_that_lapses_during_an_outage_keeps_its_server():
    # Guards against a store outage that empties the list of servers.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(1), server())])
    registry.store_failed()
    await asyncio.sleep(10)
    registry.store_answered()
    assert not registry.apply([(VM, Offset(2), None)])
    assert VM in registry.servers
    await asyncio.sleep(1)
    registry.apply([(VM, Offset(3), server())])
    await asyncio.sleep(2)
    assert not registry.expire()
    assert VM in registry.servers


async def test_entry_that_stays_away_after_an_outage_is_gone():
    # Guards against dead servers that are kept after the store's return.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(1), server())])
    registry.store_failed()
    await asyncio.sleep(1)
    registry.store_answered()
    registry.apply([(VM, Offset(2), None)])
    await asyncio.sleep(2.1)
    assert [s.vm for s in registry.expire().removed] == [VM]


async def test_older_record_never_replaces_a_newer_one():
    # Guards against a stale page that undoes a change.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(5), server(born=2))])
    registry.apply([(VM, Offset(4), None), (VM, Offset(3), server(born=1))])
    assert registry.servers[VM].born_ms == 2
