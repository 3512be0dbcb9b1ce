"""Tests of response order, limits and client disconnects on a server connection."""

import asyncio
import contextlib

import pytest

from pomelolug.transport import Exchange, HttpServerLimits, ServerConnection


@contextlib.asynccontextmanager
async def run_server(handler, **limits):
    connections = set()
    refused = []
    server_limits = HttpServerLimits(**limits)
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(handler, server_limits, connections, refused.append),
        "127.0.0.1",
        0,
    )
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    try:
        yield reader, writer, connections
    finally:
        writer.close()
        server.close()


async def echo(exchange: Exchange) -> None:
    exchange.reply(200, (), exchange.target + exchange.body)


async def test_pipelined_requests_are_answered_in_order():
    # Guards against responses sent for the wrong request on a connection.
    async def slow_first(exchange):
        if exchange.target == b"/1":
            await asyncio.sleep(0.05)
        await echo(exchange)

    async with run_server(slow_first) as (reader, writer, _):
        for n in (1, 2, 3):
            writer.write(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n)
        for n in (1, 2, 3):
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(2) == b"/%d" % n


async def test_chunked_request_body_is_reassembled():
    # Guards against truncating request bodies without a length.
    async with run_server(echo) as (reader, writer, _):
        writer.write(b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(7) == b"/xabcde"


async def test_client_disconnect_cancels_its_request():
    # Guards against continuing to handle a request of a disconnected client.
    cancelled = asyncio.Event()

    async def endless(exchange):
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async with run_server(endless) as (_, writer, _c):
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(0.5):
            await cancelled.wait()


async def test_client_disconnect_during_the_body_starts_no_handler():
    # Guards against handling a request whose body is incomplete.
    started = []

    async def handler(exchange):
        started.append(exchange)

    async with run_server(handler) as (_, writer, connections):
        writer.write(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf")
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        assert started == []
        assert not connections


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 600, b"431"),
        (b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 90, b"431"),
        (b"POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n" + b"x" * 150, b"413"),
        (b"not http\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nX: slow", b"408"),
    ],
)
async def test_unacceptable_request_is_refused_and_connection_closed(data, status):
    # Guards against clients that occupy memory or a connection indefinitely.
    limits = {"max_header_bytes": 512, "max_body_bytes": 100, "header_timeout_s": 0.2}
    async with run_server(echo, **limits) as (reader, writer, _):
        writer.write(data)
        async with asyncio.timeout(1.0):
            response = await reader.read()
        assert response.split(b" ")[1] == status


async def test_idle_connection_is_closed_after_the_timeout():
    # Guards against file descriptors exhausted by idle clients.
    async with run_server(echo, idle_timeout_s=0.1) as (reader, writer, _):
        writer.write(b"GET /1 HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n/1")
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("is_streamed", [True, False])
async def test_response_without_content_has_no_framing(status, is_streamed):
    # Guards against bytes after a response without a body, which the client would read
    # as the beginning of the next one.
    async def handle(exchange):
        if is_streamed:
            exchange.start(status, (), length=None)
            exchange.finish()
        else:
            exchange.reply(status, (), b"")

    async with run_server(handle) as (reader, writer, _):
        writer.write(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
        received = b""
        for _ in range(2):
            received += await reader.readuntil(b"\r\n\r\n")
        assert received.count(b"HTTP/1.1 %d " % status) == 2
        assert b"chunked" not in received
        assert b"content-length" not in received.lower()


async def test_aborted_response_has_no_final_chunk():
    # Guards against truncated responses that look complete.
    async def abort_midway(exchange):
        exchange.start(200, (), length=None)
        exchange.write(b"part")
        await asyncio.sleep(0.02)
        exchange.abort()

    async with run_server(abort_midway) as (reader, writer, _):
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            data = await reader.read()
            assert b"part" in data
            assert not data.endswith(b"0\r\n\r\n")
