"""Streams of a zone whose nodes ask a dispatcher for groups."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from pomelolug.entry.dispatch import _endpoint
from pomelolug.entry.peers import MIN_ZONE_NODES
from pomelolug.entry.tests.harness import MODEL, Harness, encode_event, start_stream

HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
SLOTS = 4
STREAM_S = 0.6
REPLY_TIMEOUT_S = 2.0
"""Time limit of questions, since all nodes of a test share one busy event loop."""


class CountingServer:
    """Server that counts the streams which it runs at the same time."""

    def __init__(self) -> None:
        self.running = 0
        self.most = 0

    async def run(self, request) -> None:
        if not request.target.startswith("/stream/"):
            # A report or an order of the controller.
            request.send("404 Not Found", {})
            return
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            start_stream(request)
            request.send_chunk(encode_event(0))
            await asyncio.sleep(STREAM_S)
            request.send_chunk(encode_event(1))
            request.send_chunk(b"")
        finally:
            self.running -= 1


@contextlib.asynccontextmanager
async def running_zone(servers: list[CountingServer]) -> AsyncIterator[list[Harness]]:
    """Run a zone with just enough nodes for a dispatcher."""
    async with contextlib.AsyncExitStack() as stack:
        first = await stack.enter_async_context(Harness())
        for server in servers:
            await first.add_server(server.run, service="llm")
        await first.start()
        nodes = [first]
        for _ in range(MIN_ZONE_NODES - 1):
            node = await stack.enter_async_context(Harness(joins=first))
            await node.start(seeds=(f"{first.ip}:8003",))
            nodes.append(node)
        async with asyncio.timeout(10.0):
            while not all(  # noqa: ASYNC110
                n.entry._peer_coordinator.dispatch.is_enabled for n in nodes
            ):
                await asyncio.sleep(0.1)
        yield nodes


async def send_to_all(nodes: list[Harness], count: int) -> list[int]:
    """Send streams at once, in turn to each node, and return their statuses."""

    async def send(number: int) -> int:
        node = nodes[number % len(nodes)]
        head, _ = await node.request(
            "/stream/x", method=b"POST", request_id=f"r{number}", **HEADERS
        )
        return head.status

    return await asyncio.gather(*(send(number) for number in range(count)))


async def test_streams_that_arrive_together_fill_no_group_beyond_its_slots(monkeypatch):
    # Guards against groups with a queue while others have free slots: all nodes see
    # the same old loads when the streams arrive.
    monkeypatch.setattr(_endpoint, "_REPLY_TIMEOUT_S", REPLY_TIMEOUT_S)
    servers = [CountingServer() for _ in range(3)]
    async with running_zone(servers) as nodes:
        statuses = await send_to_all(nodes, 3 * SLOTS)
        assert statuses == [200] * 3 * SLOTS
        assert [server.most for server in servers] == [SLOTS] * 3
        # What has ended makes room again.
        assert await send_to_all(nodes, 3 * SLOTS) == [200] * 3 * SLOTS
        assert [server.most for server in servers] == [SLOTS] * 3


async def test_loss_of_the_dispatcher_refuses_no_stream():
    # Guards against a zone that depends on one of its nodes.
    servers = [CountingServer() for _ in range(3)]
    async with running_zone(servers) as nodes:
        dispatcher = next(
            n for n in nodes if n.entry._peer_coordinator.dispatch.is_dispatcher
        )
        others = [n for n in nodes if n is not dispatcher]
        await dispatcher.kill()
        assert await send_to_all(others, 5) == [200] * 5
