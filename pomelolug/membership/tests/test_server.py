"""Tests of the peer server.

They guard against unauthenticated peers, oversized input, silent connections and
too many connections.
"""

import asyncio
import datetime
import time

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from pomelolug.clock import SystemClock
from pomelolug.errors import ErrorCode, PeerError
from pomelolug.membership import (
    HttpReply,
    Identity,
    PeerKeyRing,
    PeerServer,
    Role,
    Side,
    WebsocketDialer,
    open_connection,
)
from pomelolug.messages import ClaimUpdate, RecordsRequest, encode

OLD_KEY, NEW_KEY, OTHER_KEY = "old=" + "0a" * 16, "new=" + "0b" * 16, "old=" + "0c" * 16
SECOND = datetime.timedelta(seconds=1)
SHORT = datetime.timedelta(milliseconds=200)


def identity(node, **changes):
    values = dict(node=node, role=Role.CONTROL, incarnation=1, zone="z")
    return Identity(**(values | changes))


class RecordingServer:
    """Peer server that records its connections and received messages."""

    def __init__(self, keys=(OLD_KEY,), **options):
        self.connections = []
        self.received = []
        self.server = PeerServer(
            address="127.0.0.1:0",
            identity=lambda: identity("server"),
            keys=PeerKeyRing(keys),
            on_connection=self.serve,
            clock=SystemClock(),
            http_handler=lambda path: (
                HttpReply(body=b"ok") if path == "/ready" else None
            ),
            **options,
        )

    async def serve(self, connection):
        self.connections.append(connection)
        await connection.run(self.record)

    async def record(self, connection, message):
        self.received.append(message)

    async def __aenter__(self):
        await self.server.start()
        return self

    async def __aexit__(self, *exc):
        await self.server.close()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    async def dial(
        self, keys=(OLD_KEY,), timeout=SECOND, silence_timeout=SECOND, **changes
    ):
        transport = await WebsocketDialer().dial(self.address, timeout=SECOND)
        return await open_connection(
            transport,
            Side.DIALER,
            identity("client", **changes),
            PeerKeyRing(keys),
            clock=SystemClock(),
            timeout=timeout,
            silence_timeout=silence_timeout,
        )

    async def wait_until(self, condition):
        for _ in range(90):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("condition not met within 0.9 s")


async def ignore(connection, message):
    pass


async def test_ends_exchange_identities_and_messages_arrive_in_order():
    async with RecordingServer() as server:
        connection = await server.dial(role=Role.GATEWAY)
        task = asyncio.create_task(connection.run(ignore))
        assert connection.peer.node == "server"
        for offset in range(100):
            assert connection.send(RecordsRequest(stream="s", from_offset=offset))
        await server.wait_until(lambda: len(server.received) == 100)
        assert [m.from_offset for m in server.received] == list(range(100))
        assert server.connections[0].peer.role is Role.GATEWAY
        task.cancel()


async def test_wrong_key_with_a_known_name_is_refused():
    async with RecordingServer() as server:
        with pytest.raises(PeerError):
            await server.dial(keys=[OTHER_KEY])
        assert server.connections == []


async def test_connections_are_accepted_between_adjacent_steps_of_a_key_rotation():
    key_sets = [(OLD_KEY,), (OLD_KEY, NEW_KEY), (NEW_KEY, OLD_KEY), (NEW_KEY,)]
    for before, after in zip(key_sets, key_sets[1:], strict=False):
        async with RecordingServer(keys=before) as server:
            assert (await server.dial(keys=after)).peer.node == "server"
    async with RecordingServer(keys=(OLD_KEY,)) as server:
        with pytest.raises(PeerError):
            await server.dial(keys=[NEW_KEY])


async def test_older_protocol_version_is_refused_and_a_later_one_is_negotiated_down():
    async with RecordingServer() as server:
        with pytest.raises(PeerError):
            await server.dial(protocol=0)
        await server.dial(protocol=7)
        await server.wait_until(lambda: server.connections)
        assert [c.peer.protocol for c in server.connections] == [1]


async def test_blocked_event_loop_is_not_counted_as_silence_of_the_peer():
    limit = datetime.timedelta(milliseconds=200)
    async with RecordingServer(silence_timeout=limit) as server:
        connection = await server.dial(silence_timeout=limit)
        task = asyncio.create_task(connection.run(ignore))
        for _ in range(4):
            await asyncio.sleep(0.03)
            time.sleep(0.16)  # noqa: ASYNC251
        assert [c.close_reason for c in [connection, *server.connections]] == ["", ""]
        task.cancel()


async def test_incomplete_handshake_times_out():
    async with RecordingServer(handshake_timeout=SHORT) as server:
        async with connect(f"ws://{server.address}/", proxy=None) as websocket:
            await websocket.recv()
            with pytest.raises(ConnectionClosed):
                await asyncio.wait_for(websocket.recv(), 0.9)


async def test_oversized_frame_ends_only_its_own_connection():
    async with RecordingServer() as server:
        bad, good = await server.dial(), await server.dial()
        with pytest.raises(PeerError) as caught:
            bad.send(RecordsRequest(stream="s" * 300_000, from_offset=0))
        assert caught.value.code is ErrorCode.MESSAGE_TOO_LARGE
        await bad._transport.send(b"\0" * 300_000)
        with pytest.raises(PeerError):
            for _ in range(3):
                await bad._transport.receive()
        task = asyncio.create_task(good.run(ignore))
        good.send(RecordsRequest(stream="s", from_offset=1))
        await server.wait_until(lambda: server.received)
        task.cancel()


async def test_malformed_and_unknown_messages_are_skipped():
    async with RecordingServer() as server:
        connection = await server.dial()
        await connection._transport.send(b"\xff\xff")
        await connection._transport.send(b"\xa1dtypegFutureX")
        update = ClaimUpdate(key=b"k", nonce=b"n", state="released")
        await connection._transport.send(encode(update))
        await server.wait_until(lambda: server.received)
        assert server.received == [update]


async def test_silent_connection_is_closed_and_an_idle_one_is_kept_alive():
    limit = datetime.timedelta(milliseconds=400)
    async with RecordingServer(silence_timeout=limit) as server:
        silent = await server.dial(silence_timeout=SECOND)
        idle = await server.dial(silence_timeout=limit)
        task = asyncio.create_task(idle.run(ignore))
        await server.wait_until(lambda: any(c.closed for c in server.connections))
        await asyncio.sleep(0.3)
        reasons = sorted(c.close_reason for c in server.connections)
        assert (reasons, idle.close_reason) == (["", "silent"], "")
        assert not task.done()
        task.cancel()
        await silent._transport.close()


async def test_plain_get_is_answered_and_connections_are_limited():
    async with RecordingServer(max_connections=2) as server:

        async def get(path):
            reader, writer = await asyncio.open_connection(*server.address.split(":"))
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            reply = await reader.read()
            writer.close()
            return reply.split(b" ")[1], reply.rsplit(b"\n", 1)[-1]

        assert await get("/ready") == (b"200", b"ok")
        assert (await get("/other"))[0] == b"404"
        kept = [await server.dial(), await server.dial()]
        with pytest.raises(PeerError):
            await server.dial()
        assert len(kept) == len(server.connections) == 2
        for connection in kept:
            await connection._transport.close()


def test_key_material_does_not_appear_in_errors():
    with pytest.raises(Exception) as caught:
        PeerKeyRing(["a=" + "0g" * 16, "b=" + "0a" * 8])
    assert "0g" not in str(caught.value) and "0a" not in str(caught.value)
    assert len(caught.value.findings) == 2
