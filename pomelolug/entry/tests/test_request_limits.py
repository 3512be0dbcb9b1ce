"""A server that limits its requests per second gets no more from all nodes together."""

import asyncio
import contextlib
import signal
import time

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    ProcessNode,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.transport import HttpConnectionError

KINDS = ("stream", "safe", "once")
LIMIT_PER_S = 1.6
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXCESS = 5
"""Requests allowed in a window beyond `ALLOWED_FACTOR` times the limit."""
TOLD_S = 0.5
"""Time after the first response with a limit from which requests count."""
SENDING_S = 7.0
PAUSE_S = 0.1
"""Pause of each node's caller between two requests."""


class LimitedServer:
    """Server that names `limit_per_s` in its responses, unless it is None."""

    def __init__(self, kind: str, limit_per_s: float | None) -> None:
        self.kind = kind
        self.limit_per_s = limit_per_s
        self.fails = False
        """Whether streams end after an event and plain requests with status 500."""
        self.arrivals_s: list[float] = []
        self.named_at_s: float | None = None

    async def add_to(self, harness: Harness) -> None:
        service = "llm" if self.kind == "stream" else "plain"
        await harness.add_server(self._run, service=service)

    def most_in_window(self) -> int:
        """Return the most arrivals in a window after nodes were told of the limit."""
        assert self.named_at_s is not None
        times = [t for t in self.arrivals_s if t >= self.named_at_s + TOLD_S]
        return max(
            (sum(start <= t < start + WINDOW_S for t in times) for start in times),
            default=0,
        )

    def count_after(self, start_s: float) -> int:
        return sum(t >= start_s for t in self.arrivals_s)

    async def _run(self, request) -> None:
        if not request.target.startswith(f"/{self.kind}/"):
            # A report or an order of the controller.
            request.send("404 Not Found", {})
            return
        self.arrivals_s.append(time.monotonic())
        headers = {}
        if self.limit_per_s is not None:
            headers = {"Server-Limit": str(self.limit_per_s)}
            self.named_at_s = self.named_at_s or time.monotonic()
        if self.kind != "stream":
            status = "500 Internal Server Error" if self.fails else "200 OK"
            send_response(request, status, **headers)
            return
        last = request.headers.get("last-event-id")
        start_stream(request, **headers)
        request.send_chunk(encode_event(int(last) + 1 if last else 0))
        if self.fails:
            await request.writer.drain()
            # A reset may overtake what has just been sent.
            await asyncio.sleep(0.02)
            request.reset()
        else:
            request.send_chunk(b"")


class Callers:
    """Callers that send requests of one kind to nodes, and their responses."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.statuses: list[int] = []
        self.refusals: list[tuple[float, bytes]] = []
        """Retry-After in seconds and body of each 503."""
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *nodes: Harness | ProcessNode) -> None:
        for node in nodes:
            name = f"{id(self)}-{len(self._tasks)}"
            self._tasks.append(asyncio.create_task(self._send_repeatedly(node, name)))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def send_for(self, duration_s: float, *nodes: Harness | ProcessNode) -> None:
        self.start(*nodes)
        await asyncio.sleep(duration_s)
        await self.stop()

    async def _send_repeatedly(self, node: Harness | ProcessNode, name: str) -> None:
        number = 0
        while True:
            number += 1
            with contextlib.suppress(HttpConnectionError, TimeoutError):
                async with asyncio.timeout(2.0):
                    await self._send(node, f"{name}-{number}")
            await asyncio.sleep(PAUSE_S)

    async def _send(self, node: Harness | ProcessNode, name: str) -> None:
        headers = {"Model": MODEL, "Token_Count": "100,50"}
        connection = await node.connect()
        try:
            head, body = await node.request(
                f"/{self.kind}/x",
                method=b"GET" if self.kind == "safe" else b"POST",
                request_id=name,
                connection=connection,
                **headers if self.kind == "stream" else {},
            )
        finally:
            connection.close()
        self.statuses.append(head.status)
        if head.status == 503:
            self.refusals.append((float(head.get(b"Retry-After") or b"nan"), body))


def allowed(limit_per_s: float) -> float:
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXCESS


async def start_nodes(harness: Harness, *others: Harness, **settings) -> None:
    await harness.start(**settings)
    for other in others:
        await other.start(seeds=(f"{harness.ip}:8003",), **settings)
    # Nodes find each other, and the count of nodes is read again after 4 s.
    await asyncio.sleep(5.0)


@pytest.mark.parametrize("kind", KINDS)
async def test_nodes_keep_to_the_limit_together_and_use_other_servers(kind):
    # Guards against a limit that is ignored, or that each node uses up alone.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        limited, other = LimitedServer(kind, LIMIT_PER_S), LimitedServer(kind, None)
        await limited.add_to(h)
        await other.add_to(h)
        await start_nodes(h, h2, h3)
        callers = Callers(kind)
        await callers.send_for(SENDING_S, h, h2, h3)
        assert limited.most_in_window() <= allowed(LIMIT_PER_S)
        assert set(callers.statuses) == {200}


@pytest.mark.parametrize("kind", KINDS)
async def test_requests_beyond_the_limit_of_all_servers_are_refused_at_once(kind):
    # Guards against requests that wait for a server or get no time to come back, and
    # against servers that get much less than they would take.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        limited = LimitedServer(kind, LIMIT_PER_S)
        await limited.add_to(h)
        await start_nodes(h, h2, h3)
        callers = Callers(kind)
        began_s = time.monotonic()
        await callers.send_for(SENDING_S, h, h2, h3)
        assert limited.most_in_window() <= allowed(LIMIT_PER_S)
        assert limited.count_after(began_s) >= LIMIT_PER_S * SENDING_S / 2
        assert set(callers.statuses) == {200, 503}
        for retry_after_s, body in callers.refusals:
            assert 0.0 < retry_after_s < 10.0
            assert b'"code":"server_limit"' in body
            assert b'"outcome":"not_run"' in body


@pytest.mark.parametrize("kind", ["stream", "safe"])
async def test_repeats_and_resumed_streams_count_towards_the_limit(kind):
    # Guards against a path to a server that does not ask for its limit.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        limited, other = LimitedServer(kind, LIMIT_PER_S), LimitedServer(kind, None)
        other.fails = True
        await limited.add_to(h)
        await other.add_to(h)
        await start_nodes(h, h2, h3)
        await Callers(kind).send_for(SENDING_S, h, h2, h3)
        assert limited.most_in_window() <= allowed(LIMIT_PER_S)


async def test_nodes_that_hear_nothing_of_each_other_keep_to_the_limit():
    # Guards against a limit that rests on messages between nodes.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        limited, other = LimitedServer("once", LIMIT_PER_S), LimitedServer("once", None)
        await limited.add_to(h)
        await other.add_to(h)
        await start_nodes(h, h2, h3, internal_ports=())
        await Callers("once").send_for(SENDING_S, h, h2, h3)
        assert limited.most_in_window() <= allowed(LIMIT_PER_S)


async def test_node_that_starts_later_keeps_to_the_limit():
    # Guards against a node that sends on until a server has told it its limit.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as late:
        limited, other = LimitedServer("once", LIMIT_PER_S), LimitedServer("once", None)
        await limited.add_to(h)
        await other.add_to(h)
        await start_nodes(h, h2)
        callers = Callers("once")
        callers.start(h, h2)
        await asyncio.sleep(2.0)
        await late.start(seeds=(f"{h.ip}:8003",))
        callers.start(late)
        await asyncio.sleep(SENDING_S)
        await callers.stop()
        assert limited.most_in_window() <= allowed(LIMIT_PER_S)


async def test_node_that_was_frozen_keeps_to_the_limit(tmp_path):
    # Guards against a node that wakes up with the requests it may have sent meanwhile.
    async with Harness() as h, Harness(joins=h) as h2:
        limited, other = LimitedServer("once", LIMIT_PER_S), LimitedServer("once", None)
        await limited.add_to(h)
        await other.add_to(h)
        frozen = ProcessNode(h, tmp_path)
        try:
            await frozen.start()
            await start_nodes(h, h2)
            callers = Callers("once")
            callers.start(h, h2, frozen)
            await asyncio.sleep(2.0)
            frozen.signal(signal.SIGSTOP)
            await asyncio.sleep(3.0)
            frozen.signal(signal.SIGCONT)
            await asyncio.sleep(SENDING_S)
            await callers.stop()
        finally:
            await frozen.kill()
        assert limited.most_in_window() <= allowed(LIMIT_PER_S)


async def test_server_gets_its_usual_share_when_its_limit_has_ended():
    # Guards against a limit that outlasts the need of the server.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        limited, other = LimitedServer("once", 1.0), LimitedServer("once", None)
        await limited.add_to(h)
        await other.add_to(h)
        await start_nodes(h, h2, h3)
        callers = Callers("once")
        callers.start(h, h2, h3)
        await asyncio.sleep(3.0)
        limited.limit_per_s = None
        await asyncio.sleep(3.0)
        ended_s = time.monotonic()
        await asyncio.sleep(3.0)
        await callers.stop()
        assert limited.count_after(ended_s) >= other.count_after(ended_s) / 2
