"""A second copy of a response that arrives late, on a connection in use again."""

import asyncio
import datetime

from pomelolug.deployment import BackendServer, OrderResult, ServerState
from pomelolug.entry.tests.harness import MODEL
from pomelolug.ids import DomainId, ServiceName, VmId, ZoneId
from pomelolug.platform import HttpServerControl
from pomelolug.testing import ScriptedServer
from pomelolug.transport import ConnectionPool

SECOND = datetime.timedelta(seconds=1)


async def test_copy_of_an_earlier_response_is_not_taken_for_that_to_an_order():
    # Guards against a controller that believes in an order which the server refused.
    statuses = iter(["202 Accepted", "409 Conflict", "409 Conflict"])
    copies: dict[int, str] = {}

    async def script(request):
        earlier = copies.get(request.connection_number)
        copies[request.connection_number] = next(statuses)
        for status in (earlier, copies[request.connection_number]):
            if status is not None:
                request.send(status, {})
                await request.writer.drain()
                await asyncio.sleep(0.02)

    server = ScriptedServer(script)
    await server.start()
    control = HttpServerControl(
        pool=ConnectionPool(max_idle=SECOND, connect_timeout=SECOND),
        order_timeout=SECOND,
        report_timeout=SECOND,
        on_notice=lambda server, notice: None,
    )
    backend = BackendServer(
        vm=VmId("s1"),
        start_time_ms=1,
        service=ServiceName("llm"),
        address=server.address,
        zone=ZoneId("z"),
        domain=DomainId("d"),
        state=ServerState.READY,
        slots=4,
        staged=frozenset(),
        model=None,
        membership=None,
    )
    results = [
        await control.stage(backend, model=MODEL, fence=1, orders_begun=0)
        for _ in range(3)
    ]
    server.stop()
    conflict = OrderResult.CONFLICT
    assert results == [OrderResult.BEGUN, conflict, conflict]
