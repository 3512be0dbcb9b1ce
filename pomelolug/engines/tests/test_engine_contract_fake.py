"""Runs the engine contract on the in-memory fleet.

Guards against a fake fleet that behaves differently from real engines.
"""

import pytest

from pomelolug.engines.tests.contract import EngineContract, EngineHarness
from pomelolug.testing import FakeEngineFleet, FakeWeightStore, LoopClock

pytestmark = pytest.mark.looptime


class FakeEngineHarness(EngineHarness):
    def __init__(self):
        clock = LoopClock()
        store = FakeWeightStore(clock=clock, rate_bytes_per_s=1000, sizes={"m": 100})
        self.engine = FakeEngineFleet(clock=clock, store=store)
        self.engine.add("vm1")
        self.engine.add("vm2")

    def address(self, vm):
        return self.engine.vms[vm].address

    async def set_fencing(self, kind):
        for vm in self.engine.vms.values():
            vm.fencing = kind

    async def pause(self, vm):
        self.engine.pause(vm)

    async def resume(self, vm):
        self.engine.resume(vm)

    async def kill(self, vm):
        self.engine.kill(vm)

    async def restart(self, vm):
        self.engine.restart(vm)


@pytest.fixture
def harness():
    return FakeEngineHarness()


class TestFakeEngineFleet(EngineContract):
    pass
