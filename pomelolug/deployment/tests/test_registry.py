"""Tests of removed, lapsed and returning servers in the registry."""

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


async def test_removed_entry_removes_its_server():
    # A server that has left must not be sent any more requests.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(1), server())])
    change = registry.apply([(VM, Offset(2), None)])
    assert [s.vm for s in change.removed] == [VM]
    assert VM not in registry.servers


async def test_entry_lapsed_during_store_outage_keeps_its_server():
    # A server cannot renew its entry during a store outage. The lapsed entries must
    # not empty the registry.
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


async def test_entry_not_renewed_after_store_outage_expires():
    # A server that died during the outage must be removed after the grace period.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(1), server())])
    registry.mark_store_unavailable()
    await asyncio.sleep(1)
    registry.mark_store_available()
    registry.apply([(VM, Offset(2), None)])
    await asyncio.sleep(2.1)
    assert [s.vm for s in registry.expire().removed] == [VM]


async def test_older_record_does_not_replace_newer_one():
    # A stale page of records must not undo a later change.
    registry = ServerRegistry(clock=LoopClock())
    registry.apply([(VM, Offset(5), server(start_time_ms=2))])
    registry.apply([(VM, Offset(4), None), (VM, Offset(3), server(start_time_ms=1))])
    assert registry.servers[VM].start_time_ms == 2
