"""Tests of the assignment of received data to requests on a client connection."""

import asyncio
import datetime
import time

import pytest
import uvloop

from pomelolug.testing import ScriptedServer
from pomelolug.transport import (
    ConnectionPool,
    HttpConnectionError,
    RunningTimeLimit,
    encode_request,
    open_connection,
)

SECOND = datetime.timedelta(seconds=1)
REQUEST = encode_request(b"GET", b"/", [(b"Host", b"h")])


async def connect(script):
    server = ScriptedServer(script)
    await server.start()
    host, _, port = server.address.rpartition(":")
    return server, await open_connection(host, int(port), timeout=SECOND)


@pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_pause_of_the_process_does_not_fail_a_connection(loop_factory):
    # Guards against a node that suspects all servers to which it was just connecting,
    # because it stood still for longer than the time limit.
    async def connect_while_paused():
        async def script(request):
            pass

        server = ScriptedServer(script)
        await server.start()
        host, _, port = server.address.rpartition(":")
        task = asyncio.create_task(
            open_connection(
                host, int(port), timeout=datetime.timedelta(milliseconds=300)
            )
        )
        await asyncio.sleep(0)
        time.sleep(0.5)  # noqa: ASYNC251
        connection = await task
        connection.close()
        server.stop()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(connect_while_paused())


@pytest.mark.looptime
async def test_connection_that_hangs_fails_at_its_time_limit():
    # Guards against a time limit that never ends, or ends late, without any pause.
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    with pytest.raises(TimeoutError):
        async with RunningTimeLimit(datetime.timedelta(milliseconds=320)):
            await asyncio.sleep(10.0)
    assert loop.time() - began_at_s == pytest.approx(0.32, abs=0.001)
    async with RunningTimeLimit(datetime.timedelta(milliseconds=320)):
        await asyncio.sleep(0.3)


async def test_body_without_length_ends_when_the_server_closes():
    # Guards against complete responses that are treated as truncated.
    async def script(request):
        request.send_head("200 OK", {})
        request.writer.write(b"all")
        await request.writer.drain()
        request.writer.close()

    server, connection = await connect(script)
    connection.send(REQUEST)
    assert (await connection.read_head()).status == 200
    assert await connection.read_body(100) == b"all"
    assert not connection.is_reusable
    server.stop()


async def test_body_without_length_fails_on_connection_reset():
    # Guards against truncated bodies that are treated as complete.
    async def script(request):
        request.send_head("200 OK", {})
        request.writer.write(b"half")
        await request.writer.drain()
        await asyncio.sleep(0.02)
        request.reset()

    server, connection = await connect(script)
    connection.send(REQUEST)
    await connection.read_head()
    with pytest.raises(HttpConnectionError):
        await connection.read_body(100)
    server.stop()


async def test_connection_is_not_reusable_after_an_extra_response():
    # Guards against assigning an extra response to the next request.
    async def script(request):
        request.send("200 OK", {}, b"one")
        request.send("200 OK", {}, b"two")

    server, connection = await connect(script)
    connection.send(REQUEST)
    await connection.read_head()
    assert await connection.read_body(100) == b"one"
    await asyncio.sleep(0.02)
    assert not connection.is_reusable
    server.stop()


async def test_send_on_closed_connection_fails_without_sending():
    # Guards against reporting that an unsent request may have run.
    async def script(request):
        request.send("200 OK", {}, b"")
        await request.writer.drain()
        request.writer.close()

    server, connection = await connect(script)
    connection.send(REQUEST)
    await connection.read_head()
    await connection.read_body(10)
    await asyncio.sleep(0.05)
    with pytest.raises(HttpConnectionError) as caught:
        connection.send(REQUEST)
    assert caught.value.reason == "closed_before_send"
    server.stop()


async def test_body_over_the_limit_is_rejected():
    # Guards against unbounded memory use caused by a server's response.
    async def script(request):
        request.send("200 OK", {}, b"x" * 1000)

    server, connection = await connect(script)
    connection.send(REQUEST)
    await connection.read_head()
    with pytest.raises(HttpConnectionError):
        await connection.read_body(10)
    server.stop()


async def test_pool_reuses_connections_until_they_expire():
    # Guards against sending a request on a connection that the server has closed
    # because it was idle.
    async def script(request):
        request.send("200 OK", {}, b"")

    server = ScriptedServer(script)
    await server.start()
    idle = datetime.timedelta(milliseconds=100)
    pool = ConnectionPool(max_idle=idle, connect_timeout=SECOND)
    first = await pool.acquire(server.address)
    first.send(REQUEST)
    await first.read_head()
    await first.read_body(10)
    pool.release(server.address, first)
    assert await pool.acquire(server.address) is first
    pool.release(server.address, first)
    await asyncio.sleep(0.15)
    assert await pool.acquire(server.address) is not first
    server.stop()


async def test_refused_connection_is_distinguished_from_a_lost_response():
    # Guards against reporting that an unsent request may have run.
    server = ScriptedServer(lambda request: asyncio.sleep(0))
    await server.start()
    server.stop()
    host, _, port = server.address.rpartition(":")
    with pytest.raises(HttpConnectionError) as caught:
        await open_connection(host, int(port), timeout=SECOND)
    assert caught.value.reason == "connect_refused"
