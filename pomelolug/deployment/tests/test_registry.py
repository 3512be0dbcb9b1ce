"""Servers that leave, lapse and come back."""

import asyncio

import pytest

from pomelolug.deployment import BackendServer, ServerRegistry, ServerState
from pomelolug.ids import DomainId, Offset, ServiceName, VmId, ZoneId
from pomelolug.testing import LoopClock

pytestmark = pytest.mark.looptime
VM = VmId("a")


def server(start_time_ms: int = 1) -> BackendServer:
    return BackendServer(
        vm=VM,
        start_time_ms=start_time_ms,
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
    registry.mark_store_unavailable()
    await asyncio.sleep(10)
    registry.mark_store_available()
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
    registry.mark_store_unavailable()
    await asyncio.sleep(1)
    registry.mark_store_available()
    registry.apply([(VM, Offset(2), None)])
    await asyncio.sleep(2.1)
    assert [s.vm for s in registry.expire().removed] == [VM]


async def test_older_record_never_replaces_a_newer_one():
    # Guards against a stale page that undoes a change.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(5), server(start_time_ms=2))])
    registry.apply([(VM, Offset(4), None), (VM, Offset(3), server(start_time_ms=1))])
    assert registry.servers[VM].start_time_ms == 2
