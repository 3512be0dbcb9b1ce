"""Tests of clients that read slowly or not at all, and of the bound of memory."""

import asyncio
import contextlib
import socket

import pytest

from pomelolug.transport import (
    Exchange,
    HttpServerLimits,
    MemoryBudget,
    RefusalCause,
    ServerConnection,
)

MIB = 1024 * 1024
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LAST_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@contextlib.asynccontextmanager
async def listen(handler, *, limits=None, **options):
    """Listen on loopback with small windows; yield the address and connections."""
    connections = set()
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32 * 1024)
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(
            handler,
            limits or HttpServerLimits(),
            connections,
            lambda status: None,
            **options,
        ),
        sock=listener,
    )
    try:
        yield listener.getsockname(), connections
    finally:
        server.close()


def connect(address):
    """Return a connected socket with a small window that nobody reads."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
    client.connect(address)
    client.setblocking(False)
    return client


async def open_streams(address):
    """Open a connection that is read."""
    return await asyncio.open_connection(*address)


async def wait_until(condition, timeout_s=3.0):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def test_next_request_waits_until_the_last_response_is_read():
    # Guards against a client that sends requests, reads nothing, and so fills the
    # memory with responses.
    handled = []

    async def reply(exchange: Exchange) -> None:
        handled.append(exchange)
        exchange.reply(200, (), b"x" * MIB)

    async with listen(reply) as (address, _):
        client = connect(address)
        for _ in range(5):
            client.send(REQUEST)
            await asyncio.sleep(0.05)
        assert len(handled) == 1
        data = 0
        while data < 5 * MIB:
            data += len(await asyncio.get_running_loop().sock_recv(client, 1 << 16))
        assert len(handled) == 5
        client.close()


@pytest.mark.parametrize("request_bytes", [REQUEST, LAST_REQUEST])
async def test_client_that_reads_nothing_is_disconnected(request_bytes):
    # Guards against responses and connections that are held for ever.
    unread = []

    async def reply(exchange: Exchange) -> None:
        exchange.reply(200, (), b"x" * MIB)

    limits = HttpServerLimits(idle_timeout_s=0.3, unread_timeout_s=0.8)
    budget = MemoryBudget(100 * MIB)
    options = {"memory_budget": budget, "on_unread": lambda: unread.append(1)}
    async with listen(reply, limits=limits, **options) as (address, connections):
        client = connect(address)
        client.send(request_bytes)
        await wait_until(lambda: connections)
        await wait_until(lambda: not connections)
        assert unread == [1]
        assert budget.held_bytes == 0
        client.close()


async def test_few_unread_bytes_are_not_held_for_ever():
    # Guards against a connection whose small response stays below every water mark.
    async def reply(exchange: Exchange) -> None:
        exchange.start(200, (), length=None)
        # The windows of both sockets take less.
        while exchange._connection._transport.get_write_buffer_size() < 4096:
            exchange.write(b"x" * 4096)
            await asyncio.sleep(0)
        exchange.finish()

    limits = HttpServerLimits(idle_timeout_s=0.3, unread_timeout_s=60.0)
    async with listen(reply, limits=limits) as (address, connections):
        client = connect(address)
        client.send(REQUEST)
        await wait_until(lambda: connections)
        await wait_until(lambda: not connections)
        client.close()


async def test_handler_of_a_client_that_reads_nothing_is_cancelled():
    # Guards against a server that goes on working for a caller who reads nothing.
    cancelled = asyncio.Event()

    async def stream(exchange: Exchange) -> None:
        exchange.start(200, (), length=None)
        try:
            while True:
                exchange.write(b"x" * 4096)
                await exchange.drain()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    limits = HttpServerLimits(unread_timeout_s=0.8)
    async with listen(stream, limits=limits) as (address, _):
        client = connect(address)
        client.send(REQUEST)
        async with asyncio.timeout(3.0):
            await cancelled.wait()
        client.close()


async def test_client_that_reads_slowly_is_not_disconnected():
    # Guards against cutting responses whose caller has a slow line.
    async def reply(exchange: Exchange) -> None:
        exchange.reply(200, (), b"x" * MIB)

    limits = HttpServerLimits(unread_timeout_s=1.0)
    async with listen(reply, limits=limits) as (address, connections):
        client = connect(address)
        client.send(REQUEST)
        for _ in range(25):
            await asyncio.sleep(0.1)
            client.recv(32 * 1024)
        assert connections
        client.close()


async def test_request_that_does_not_fit_is_refused_before_its_body_arrives():
    # Guards against memory taken by bodies, and against late refusals.
    refused = []

    async def handler(exchange: Exchange) -> None:
        refused.append(exchange.refusal)
        exchange.reply(503 if exchange.refusal else 200, (), b"")

    budget = MemoryBudget(4 * MIB)
    async with listen(handler, memory_budget=budget) as (address, _):
        reader, writer = await open_streams(address)
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (2 * MIB)
        writer.write(head + b"x" * 100)
        assert b"503" in await reader.readuntil(b"\r\n\r\n")
        assert refused == [RefusalCause.MEMORY]
        # The rest is read and dropped, so that a reset does not lose the refusal.
        writer.write(b"x" * (2 * MIB - 100))
        assert await reader.read() == b""
        assert budget.held_bytes == 0
        writer.close()


async def test_body_without_a_length_is_refused_where_it_no_longer_fits():
    # Guards against a body in chunks that is not counted while it arrives.
    async def handler(exchange: Exchange) -> None:
        exchange.reply(503 if exchange.refusal else 200, (), b"%d" % exchange.body_size)

    budget = MemoryBudget(4 * MIB)
    async with listen(handler, memory_budget=budget) as (address, _):
        reader, writer = await open_streams(address)
        writer.write(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(8):
            writer.write(b"20000\r\n" + b"x" * 0x20000 + b"\r\n")
        writer.write(b"0\r\n\r\n")
        response = await reader.read()
        assert b"503" in response
        assert budget.held_bytes == 0
        writer.close()


async def test_small_requests_are_handled_while_unread_responses_fill_the_budget():
    # Guards against callers who read nothing and keep all others out.
    async def handler(exchange: Exchange) -> None:
        status = 503 if exchange.refusal else 200
        exchange.reply(status, (), b"x" * 2 * MIB if status == 200 else b"")

    async def small(address):
        reader, writer = await open_streams(address)
        writer.write(LAST_REQUEST)
        response = await reader.read()
        writer.close()
        return response.split(b" ")[1]

    budget = MemoryBudget(8 * MIB)
    async with listen(handler, memory_budget=budget) as (address, _):
        clients = [connect(address) for _ in range(8)]
        for client in clients:
            client.send(REQUEST)
        await wait_until(lambda: budget.held_bytes > 8 * MIB)
        assert await small(address) == b"200"
        reader, writer = await open_streams(address)
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n")
        assert b"503" in await reader.readuntil(b"\r\n\r\n")
        writer.close()
        for client in clients:
            client.close()
        await wait_until(lambda: budget.held_bytes == 0)


async def test_requests_on_further_connections_are_refused():
    # Guards against running requests that fail since no descriptor is left.
    running = asyncio.Event()

    async def handler(exchange: Exchange) -> None:
        if exchange.refusal is None:
            await running.wait()
        exchange.reply(503 if exchange.refusal else 200, (), b"")

    limits = HttpServerLimits(max_connections=2)
    async with listen(handler, limits=limits) as (address, connections):
        pairs = [await open_streams(address) for _ in range(2)]
        for _, writer in pairs:
            writer.write(REQUEST)
        await wait_until(lambda: len(connections) == 2)
        reader, writer = await open_streams(address)
        writer.write(REQUEST)
        assert b"503" in await reader.read()
        running.set()
        for reader, _ in pairs:
            assert b"200" in await reader.readuntil(b"\r\n\r\n")
        pairs[0][1].close()
        await wait_until(lambda: len(connections) == 1)
        reader, writer = await open_streams(address)
        writer.write(REQUEST)
        assert b"200" in await reader.readuntil(b"\r\n\r\n")
