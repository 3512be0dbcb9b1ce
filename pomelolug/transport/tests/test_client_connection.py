"""Tests of the assignment of received data to requests on a client connection."""

import asyncio
import contextlib
import datetime
import errno
import time

import pytest
import uvloop

from pomelolug.testing import ScriptedServer
from pomelolug.transport import (
    ConnectionPool,
    HttpConnectionError,
    MemoryBudget,
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


async def connect_to(script, **options):
    server = ScriptedServer(script)
    await server.start()
    host, _, port = server.address.rpartition(":")
    connection = await open_connection(host, int(port), timeout=SECOND, **options)
    return server, connection


async def send_without_end(request):
    request.send_head("200 OK", {"Content-Length": str(1 << 30)})
    for _ in range(1 << 14):
        request.writer.write(b"x" * (1 << 16))
        await request.writer.drain()


async def test_reading_ahead_stops_when_the_memory_is_used_up():
    # Guards against many responses read ahead for slow callers, each within its bound.
    budget = MemoryBudget(1 << 20)
    budget.replace(0, 1 << 20)
    server, connection = await connect_to(send_without_end, memory_budget=budget)
    connection.send(REQUEST)
    await asyncio.sleep(0.3)
    # One read may exceed what needs nothing of the budget.
    assert connection._buffered_bytes <= 16 * 1024 + 256 * 1024
    assert connection._reading_paused
    held_bytes = budget.held_bytes
    # Its own reader goes on nevertheless, without waiting for the others.
    for _ in range(20):
        assert await connection.read_available()
    assert budget.held_bytes <= held_bytes + 256 * 1024
    connection.abort()
    assert budget.held_bytes == 1 << 20
    server.stop()


@pytest.mark.parametrize(("pause_s", "was_left"), [(1.2, True), (0.0, False)])
async def test_end_after_a_response_was_left_unread_is_told_apart(pause_s, was_left):
    # Guards against a cut by a server whose response was not read that looks like a
    # crash, and against a crash that looks like such a cut.
    async def script(request):
        request.send_head("200 OK", {"Content-Length": str(1 << 30)})
        with contextlib.suppress(TimeoutError):
            for _ in range(1 << 8 if pause_s else 8):
                request.writer.write(b"x" * (1 << 16))
                await asyncio.wait_for(request.writer.drain(), 0.5)
        request.reset()

    server, connection = await connect_to(script)
    connection.send(REQUEST)
    await connection.read_head()
    await asyncio.sleep(pause_s)
    with pytest.raises(HttpConnectionError) as caught:
        while True:
            await connection.read_available()
    assert caught.value.reason in ("reset", "closed")
    assert caught.value.was_left_unread == was_left
    server.stop()


async def test_pool_keeps_a_bounded_number_of_idle_connections():
    # Guards against idle connections that take the descriptors of new requests.
    async def script(request):
        request.send("200 OK", {}, b"")

    servers = [ScriptedServer(script) for _ in range(5)]
    pool = ConnectionPool(
        max_idle=SECOND, connect_timeout=SECOND, max_idle_connections=3
    )
    connections = []
    for server in servers:
        await server.start()
        connection = await pool.acquire(server.address)
        connection.send(REQUEST)
        await connection.read_head()
        await connection.read_body(10)
        pool.release(server.address, connection)
        connections.append(connection)
    assert [c.is_closed for c in connections] == [False] * 3 + [True] * 2
    for server in servers:
        server.stop()


async def test_pool_gives_up_idle_connections_for_a_descriptor(monkeypatch):
    # Guards against a request that is refused while idle connections are kept.
    async def script(request):
        request.send("200 OK", {}, b"")

    server = ScriptedServer(script)
    await server.start()
    pool = ConnectionPool(max_idle=SECOND, connect_timeout=SECOND)
    idle = await pool.acquire(server.address)
    pool.release(server.address, idle)
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def create(*args, **options):
        if not idle.is_closed:
            raise OSError(errno.EMFILE, "Too many open files")
        return await create_connection(*args, **options)

    monkeypatch.setattr(loop, "create_connection", create)
    connection = await pool.acquire(server.address, fresh=True)
    assert not connection.is_closed
    server.stop()
