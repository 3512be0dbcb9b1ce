"""Requests of the controller and of probes to servers."""

import datetime

import pytest

from pomelolug.deployment import BackendServer, ServerState
from pomelolug.ids import DomainId, ServiceName, VmId, ZoneId
from pomelolug.platform import HttpServerControl, ProbeResult
from pomelolug.testing import ScriptedServer
from pomelolug.transport import ConnectionPool

TIMEOUT = datetime.timedelta(milliseconds=300)


def make_server(address: str) -> BackendServer:
    return BackendServer(
        vm=VmId("vm-1"),
        start_time_ms=1,
        service=ServiceName("llm"),
        address=address,
        zone=ZoneId("z1"),
        domain=DomainId("d"),
        state=ServerState.READY,
        slots=1,
        staged=frozenset(),
        model=None,
        membership=None,
    )


@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable", "404 No"])
async def test_server_that_refuses_its_report_is_reached(status):
    # Guards against a node that counts as cut off because servers refuse reports.
    async def script(request):
        request.send(status, {}, b"no report")

    assert await probe(script)


async def test_server_that_accepts_a_connection_and_is_silent_is_not_reached():
    # Guards against a link that passes nothing and counts as sound.
    async def script(request):
        await request.wait_closed()

    assert not await probe(script)


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b'{"seq": 1, "models": "\xff"}',
        b'{"x": ' + b"[" * 20_000 + b"]" * 20_000 + b"}",
        b'{"seq": ' + b"9" * 6000 + b"}",
    ],
    ids=["bytes", "not_utf8", "nested", "digits"],
)
async def test_unreadable_report_counts_as_none(body):
    # Guards against one server whose report ends the controller or its probes.
    async def script(request):
        request.send("200 OK", {}, body)

    server = ScriptedServer(script)
    await server.start()
    try:
        assert await make_control().report(make_server(server.address)) is None
    finally:
        server.stop()


def make_control() -> HttpServerControl:
    return HttpServerControl(
        pool=ConnectionPool(max_idle=TIMEOUT, connect_timeout=TIMEOUT),
        order_timeout=TIMEOUT,
        report_timeout=TIMEOUT,
        on_notice=lambda server, notice: None,
    )


async def probe(script) -> bool:
    server = ScriptedServer(script)
    await server.start()
    try:
        result = await make_control().probe(make_server(server.address))
        return result is ProbeResult.RESPONDED
    finally:
        server.stop()
