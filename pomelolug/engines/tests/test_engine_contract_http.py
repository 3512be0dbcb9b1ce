"""Runs the engine contract on the HTTP client with simulated backend servers."""

import aiohttp
import pytest

from pomelolug.engines import HttpEngineClient
from pomelolug.engines.tests.contract import EngineContract, EngineHarness
from pomelolug.testing._fleet import BackendFault, FaultKind
from pomelolug.testing.backend_server import FleetPlan, start_backends


class HttpEngineHarness(EngineHarness):
    model = "model"

    def __init__(self, backends, session):
        self.engine = HttpEngineClient(session)
        self._fleet = backends.fleet
        self._members = dict(zip(("vm1", "vm2"), self._fleet.servers, strict=True))
        for name, member in self._members.items():
            member.vm.vm = name

    def address(self, vm):
        return self._members[vm].vm.address

    async def set_fencing(self, kind):
        for member in self._members.values():
            member.vm.fencing = kind

    async def pause(self, vm):
        await self._apply(FaultKind.PAUSE, vm)

    async def resume(self, vm):
        await self._apply(FaultKind.RESUME, vm)

    async def kill(self, vm):
        await self._apply(FaultKind.KILL, vm)

    async def restart(self, vm):
        await self._apply(FaultKind.KILL, vm)
        await self._apply(FaultKind.REVIVE, vm)

    async def _apply(self, kind, vm):
        await self._fleet.apply(BackendFault(kind=kind, vms=(vm,)))


@pytest.fixture
async def harness():
    plan = FleetPlan(engines=2, services=0, model_bytes=1_000, domain_size=2)
    backends = await start_backends(plan)
    async with aiohttp.ClientSession() as session:
        yield HttpEngineHarness(backends, session)
    await backends.close()


class TestHttpEngineClient(EngineContract):
    pass
