"""Bytes without end that are no response, in place of a head or within a body."""

import asyncio
import datetime
import os
import pathlib
import time

import pytest

from pomelolug.deployment import OrderResult
from pomelolug.entry.peers import RelaySource
from pomelolug.entry.tests.backend import make_backend_server, make_server_control
from pomelolug.entry.tests.harness import Harness, send_response, start_stream
from pomelolug.entry.tests.stating_server import KINDS, Answer, StatingServer, send
from pomelolug.errors import PlatformError
from pomelolug.ids import Offset
from pomelolug.platform import MetadataStore
from pomelolug.testing import ScriptedServer
from pomelolug.transport import ConnectionPool, HttpConnectionError

SECOND = datetime.timedelta(seconds=1)
PIECE_BYTES = 16 * 1024
SLOW_INTERVAL_S = 0.05
ROUTE_TIMEOUT_S = 2.0
MAX_GROWTH_BYTES = 100 * 1024 * 1024
"""Memory that the node may need for the bytes of one server, in half of a small VM."""
MAX_LATENCY_S = 0.5
"""Latency of other requests, whose server and the flooding one share the event loop."""

HEADS = {
    "line": (b"HTTP/1.1 200 OK\r\nX: ", b"a"),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "garbage": (b"", b"\x00\xff"),
}
"""First bytes of an endless head and the piece that follows again and again."""
BODIES = {
    "chunks": b"4000\r\n" + b"a" * 0x4000 + b"\r\n",
    "events": b"c\r\ngarbage: 1\n\n\r\n",
    "extension": b";a=b",
    "trailer": b"X: y\r\n",
}
"""Pieces of an endless chunked body, after a valid head."""
_BODY_STARTS = {"extension": b"1", "trailer": b"0\r\n"}


async def write_endlessly(request, piece: bytes, *, is_slow: bool) -> None:
    """Write a piece again and again until the node closes the connection."""
    data = piece if is_slow else piece * max(PIECE_BYTES // len(piece), 1)
    while not request.writer.transport.is_closing():
        request.writer.write(data)
        await request.writer.drain()
        await asyncio.sleep(SLOW_INTERVAL_S if is_slow else 0.0)


class EndlessServer:
    """Server whose responses to callers' requests never end.

    `good_responses` come first, so that its connections are reused.
    """

    def __init__(self, part: str, name: str, *, is_slow: bool) -> None:
        self._part = part
        self._name = name
        self._is_slow = is_slow
        self.good_responses = 0
        self.closed_after_s: list[float] = []
        self.connections: list[int] = []

    async def run(self, request) -> None:
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        if self.good_responses:
            self.good_responses -= 1
            send_response(request)
            return
        self.connections.append(request.connection_number)
        started_s = time.monotonic()
        try:
            if self._part == "head":
                first, piece = HEADS[self._name]
                request.writer.write(first)
            else:
                start_stream(request)
                request.writer.write(_BODY_STARTS.get(self._name, b""))
                piece = BODIES[self._name]
            await write_endlessly(request, piece, is_slow=self._is_slow)
        finally:
            self.closed_after_s.append(time.monotonic() - started_s)


def resident_bytes() -> int:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


class MemoryProbe:
    """Largest growth of the memory of this process while it runs."""

    def __init__(self) -> None:
        self._start = resident_bytes()
        self.growth = 0

    async def run(self) -> None:
        while True:
            self.growth = max(self.growth, resident_bytes() - self._start)
            await asyncio.sleep(0.02)


CASES = [("head", name) for name in HEADS] + [("body", name) for name in BODIES]


@pytest.mark.parametrize("is_slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("part", "name"), CASES)
async def test_endless_response_ends_in_bounded_time_and_memory(
    part, name, kind, is_slow
):
    # Guards against a node that runs out of memory, waits beyond the timeout of the
    # route, or tells the caller that a request has not run that may have run.
    endless = EndlessServer(part, name, is_slow=is_slow)
    async with Harness() as h:
        service = "llm" if kind == "stream" else "plain"
        await h.add_server(endless.run, service=service)
        await h.start()
        probe = MemoryProbe()
        probing = asyncio.create_task(probe.run())
        try:
            answer = await send(h, kind, "r1")
        except HttpConnectionError:
            # A stream that has begun ends with its connection.
            assert part == "body" and kind == "stream"
            answer = Answer(200, 0.0, 0.0)
        await asyncio.sleep(0.3)
        probing.cancel()
        assert answer.status in ((200, 502, 504) if kind == "stream" else (502, 504))
        assert answer.took_s < ROUTE_TIMEOUT_S + 0.5
        assert endless.closed_after_s
        assert max(endless.closed_after_s) < ROUTE_TIMEOUT_S + 0.5
        assert probe.growth < MAX_GROWTH_BYTES


@pytest.mark.parametrize("kind", ["stream", "safe"])
@pytest.mark.parametrize(("part", "name"), CASES)
async def test_repeatable_request_is_served_by_another_server(part, name, kind):
    # Guards against one server in trouble that fails requests which others can serve.
    endless = EndlessServer(part, name, is_slow=False)
    good = StatingServer(kind)
    async with Harness() as h:
        service = "llm" if kind == "stream" else "plain"
        await h.add_server(endless.run, service=service)
        await good.add_to(h)
        await h.start()
        answers = []
        # Among servers without load, the choice is random.
        while not endless.connections or len(answers) < 6:
            answers.append(await send(h, kind, f"r{len(answers)}"))
            assert len(answers) < 100
        assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("kind", ["safe", "once"])
async def test_connection_with_endless_bytes_is_not_used_again(kind):
    # Guards against a request that is sent on a connection whose bytes belong to none.
    endless = EndlessServer("head", "fields", is_slow=False)
    endless.good_responses = 3
    async with Harness() as h:
        await h.add_server(endless.run)
        await h.start()
        for number in range(7):
            await send(h, kind, f"r{number}")
        assert len(endless.connections) == len(set(endless.connections))


async def test_other_requests_keep_their_latency():
    # Guards against a node that serves nobody else while it reads what never ends.
    endless = EndlessServer("body", "chunks", is_slow=False)
    good = StatingServer("once")
    async with Harness() as h:
        await h.add_server(endless.run, service="llm")
        await good.add_to(h)
        await h.start()

        async def send_stream(number: int) -> None:
            try:
                await send(h, "stream", f"s{number}")
            except HttpConnectionError:
                return

        streams = [asyncio.create_task(send_stream(k)) for k in range(3)]
        answers = [await send(h, "once", f"r{k}") for k in range(30)]
        await asyncio.gather(*streams)
        assert {answer.status for answer in answers} == {200}
        assert max(answer.took_s for answer in answers) < MAX_LATENCY_S


@pytest.mark.parametrize("is_slow", [False, True], ids=["fast", "slow"])
@pytest.mark.parametrize(("part", "name"), CASES)
async def test_reports_orders_store_and_relay_end_within_their_timeout(
    part, name, is_slow
):
    # Guards against a control loop or a feed that waits for a response without end.
    closed_after_s: list[float] = []

    async def script(request):
        started_s = time.monotonic()
        try:
            if part == "head":
                first, piece = HEADS[name]
                request.writer.write(first)
            else:
                request.send_head("200 OK", {"Transfer-Encoding": "chunked"})
                request.writer.write(_BODY_STARTS.get(name, b""))
                piece = BODIES[name]
            await write_endlessly(request, piece, is_slow=is_slow)
        finally:
            closed_after_s.append(time.monotonic() - started_s)

    server = ScriptedServer(script)
    await server.start()
    pool = ConnectionPool(max_idle=SECOND, connect_timeout=SECOND)
    control = make_server_control()
    backend = make_backend_server(server.address)
    store = MetadataStore(address=server.address, timeout=SECOND)
    relay = RelaySource(address=server.address, pool=pool)
    probe = MemoryProbe()
    probing = asyncio.create_task(probe.run())
    started_s = time.monotonic()
    assert await control.report(backend) is None
    order = control.stage(backend, model="m", fence=1, orders_begun=0)
    assert await order in (OrderResult.UNKNOWN, OrderResult.INVALID)
    for source in (store, relay):
        with pytest.raises(PlatformError):
            await source.read("keyed.op", Offset(0), wait=0.2 * SECOND)
    await asyncio.sleep(0.2)
    probing.cancel()
    assert time.monotonic() - started_s < 6.0
    assert len(closed_after_s) == 4
    assert max(closed_after_s) < 2.0
    assert probe.growth < MAX_GROWTH_BYTES
    server.stop()
