"""A part of prompts that crashes each server that begins to write an answer on it."""

import asyncio

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    CallerOfNode,
    Harness,
    encode_event,
    start_stream,
)
from pomelolug.transport import HttpConnectionError

DEADLY = "deadd00d"
CRASHES = 5
"""Crashes after which the part has to be known."""
KNOWLEDGE_BOUND_S = 3.0
"""Time after the last of these crashes by which each node has to know the part."""
LATE_SENDS = 3
"""Requests with the part that may reach servers after that."""
FIRST_PARTS = ("a0", "a1", "a2")


class TaintedServers:
    """Groups that end when they begin to write an answer on a part of a prompt.

    `end` says what nodes see of it: the connection is reset, closed, or falls silent.
    """

    def __init__(self, harness: Harness, end: str = "reset") -> None:
        self.harness = harness
        self.end = end
        self.tainted_runs: list[str] = []
        self._names: list[str] = []
        self._crashed: set[int] = set()
        self._starts = 1

    async def add(self, count: int) -> None:
        for number in range(count):
            name = await self.harness.add_server(self._script(number), service="llm")
            self._names.append(name)

    def restart_crashed(self) -> None:
        self._starts += 1
        for number in self._crashed:
            self.harness.publish_server(
                self._names[number],
                self.harness.servers[number].address,
                service="llm",
                born=self._starts,
            )
        self._crashed.clear()

    def _script(self, number: int):
        async def script(request):
            if not request.target.startswith("/stream/"):
                # A report or an order of the controller.
                request.send("404 Not Found", {})
                return
            if DEADLY in request.headers.get("prompt-prefix", ""):
                self.tainted_runs.append(request.request_id)
                self._crashed.add(number)
                if self.end == "silent":
                    await request.wait_closed()
                elif self.end == "closed":
                    request.writer.close()
                    return
                request.reset()
                return
            start_stream(request)
            for event in range(2):
                request.send_chunk(encode_event(event))
                await request.writer.drain()
                await asyncio.sleep(0.05)
            request.send_chunk(b"")

        return script


async def send_prompt(node: CallerOfNode, name: str, *parts: str) -> int | None:
    """Send a request that is never alike; return its status, None without an answer."""
    prefix = ",".join(f"{part}:40" for part in (*parts, f"own{name}"))
    headers = {"Model": MODEL, "Token_Count": "100,50", "Prompt_Prefix": prefix}
    connection = await node.connect()
    try:
        head, _ = await node.request(
            f"/stream/{name}",
            method=b"POST",
            body=name.encode(),
            request_id=name,
            connection=connection,
            deadline_ms=2500,
            **headers,
        )
        return head.status
    except HttpConnectionError:
        return None
    finally:
        connection.abort()


async def crash_by_part(servers: TaintedServers, *nodes: CallerOfNode) -> None:
    """Send requests with the part through nodes in turn until enough have crashed."""
    for number in range(8 * CRASHES):
        if len(servers.tainted_runs) >= CRASHES:
            break
        first_part = FIRST_PARTS[number % len(FIRST_PARTS)]
        await send_prompt(nodes[number % len(nodes)], f"t{number}", first_part, DEADLY)
        servers.restart_crashed()
        for other in FIRST_PARTS:
            await send_prompt(nodes[0], f"s{number}{other}", other)
        await asyncio.sleep(0.4)
    await asyncio.sleep(KNOWLEDGE_BOUND_S)
    servers.restart_crashed()
    await asyncio.sleep(0.4)


async def send_late(servers: TaintedServers, *nodes: CallerOfNode) -> int:
    """Send ten further requests with the part; return how often they were sent on."""
    before = len(servers.tainted_runs)
    for number in range(10):
        node = nodes[number % len(nodes)]
        first_part = FIRST_PARTS[number % len(FIRST_PARTS)]
        await send_prompt(node, f"late{number}", first_part, DEADLY)
        servers.restart_crashed()
        await asyncio.sleep(0.2)
    return len(servers.tainted_runs) - before


@pytest.mark.parametrize("end", ["reset", "closed", "silent"])
async def test_requests_with_a_part_that_crashes_servers_are_refused(end):
    # Guards against requests that differ in all but one part of their prompts and crash
    # one server after the other.
    async with Harness() as h:
        servers = TaintedServers(h, end)
        await servers.add(6)
        await h.start()
        await crash_by_part(servers, h)
        assert await send_late(servers, h) <= LATE_SENDS
        assert await send_prompt(h, "again", "a0", DEADLY) == 503


async def test_nodes_add_up_what_a_part_has_crashed():
    # Guards against five crashes for each node, and against a node that starts later.
    async with Harness() as h, Harness(joins=h) as second, Harness(joins=h) as late:
        servers = TaintedServers(h)
        await servers.add(6)
        await h.start()
        await second.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(1.0)
        await crash_by_part(servers, h, second)
        await late.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        assert await send_late(servers, h, second, late) <= LATE_SENDS


async def test_requests_with_the_other_parts_of_such_prompts_are_served():
    # Guards against harmless requests that are refused because they share their account
    # and first part with those that crash servers.
    async with Harness() as h:
        servers = TaintedServers(h)
        await servers.add(6)
        await h.start()
        await crash_by_part(servers, h)
        before = len(servers.tainted_runs)
        statuses = []
        for number in range(10):
            statuses.append(await send_prompt(h, f"bad{number}", "a0", DEADLY))
            servers.restart_crashed()
            for part in FIRST_PARTS:
                assert await send_prompt(h, f"good{number}{part}", part) == 200
        assert len(servers.tainted_runs) - before <= LATE_SENDS
        assert statuses[LATE_SENDS:] == [503] * (10 - LATE_SENDS)
