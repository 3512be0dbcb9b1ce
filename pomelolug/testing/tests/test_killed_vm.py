"""Guards against a killed VM that still responds on keep-alive connections."""

import asyncio
import datetime

import aiohttp
import pytest
import uvloop

from pomelolug.engines import EngineUnavailableError, HttpEngineClient
from pomelolug.testing.backend_server import FleetPlan, start_backends

TIMEOUT = datetime.timedelta(seconds=1)


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_killed_vm_answers_on_no_connection(loop_factory):
    async def run():
        backends = await start_backends(FleetPlan(engines=1, services=0))
        async with aiohttp.ClientSession() as session:
            engine = HttpEngineClient(session)
            member = backends.fleet.servers[0]
            address = member.vm.address
            await engine.fetch_status(address, timeout=TIMEOUT)
            await backends.fleet._kill(member)
            with pytest.raises(EngineUnavailableError):
                await engine.fetch_status(address, timeout=TIMEOUT)
        await backends.close()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())
