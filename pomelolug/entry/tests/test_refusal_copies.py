"""Refusals that a faulty server writes once more on a kept connection."""

import asyncio
import collections
import contextlib

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    CallerOfNode,
    Harness,
    declaration,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.entry.tests.server_links import LinkCut, ServerLinks
from pomelolug.transport import HttpConnectionError

ROUTES = ("once", "stream", "safe")
REQUEST_COUNT = 40
INTERVAL_S = 0.02
SERVER_COUNT = 6
"""So many that some take requests while groups that refused get none for a moment."""
DETECTION_S = 3.0
"""Time after a cut in which a node finds out that it reaches no server."""
PROMISES = (408, 421, 429, 503)
"""Status codes by which a caller knows that its request has not run."""
REFUSALS = {
    "503": "503 Service Unavailable",
    "429": "429 Too Many Requests",
    "421": "421 Misdirected Request",
}
MOMENTS = ("at_once", "idle", "before_next", "amid_next")


class FaultyServer:
    """Script of servers that refuse every third request and repeat the refusal later.

    Parameters
    ----------
    status : str
        Status line of the refusals.
    moment : str
        When the copy is written: right after the refusal, on the idle connection,
        before the response to the next request, or while that runs.
    """

    def __init__(self, status: str, moment: str) -> None:
        self._status = status
        self._moment = moment
        self._count = 0
        self._refused_ids: dict[asyncio.StreamWriter, str] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.copies = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, request) -> None:
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        refused_id = self._refused_ids.pop(request.writer, None)
        self._count += 1
        if refused_id is None and self._count % 3 == 0:
            await self._refuse(request)
            return
        if refused_id is not None and self._moment == "before_next":
            self._send_refusal(request, refused_id)
        self.runs[request.request_id] += 1
        if refused_id is not None and self._moment == "amid_next":
            await asyncio.sleep(0.02)
            self._send_refusal(request, refused_id)
            await request.writer.drain()
            await asyncio.sleep(0.02)
        if request.target.startswith("/stream/"):
            start_stream(request)
            request.send_chunk(encode_event(0))
            request.send_chunk(b"")
        else:
            send_response(request)

    async def _refuse(self, request) -> None:
        self._send_refusal(request, request.request_id, is_copy=False)
        if self._moment == "at_once":
            self._send_refusal(request, request.request_id)
        elif self._moment == "idle":
            task = asyncio.create_task(self._repeat_later(request))
            self._tasks.add(task)
        else:
            self._refused_ids[request.writer] = request.request_id

    async def _repeat_later(self, request) -> None:
        await asyncio.sleep(0.02)
        self._send_refusal(request, request.request_id)

    def _send_refusal(self, request, request_id: str, *, is_copy: bool = True) -> None:
        self.copies += is_copy
        headers = {"Request-Id": request_id, "Not-Executed": "1"}
        request.send(self._status, headers)


def make_declaration():
    """Return a declaration with streams that run at most once."""
    value = declaration(2)
    value["routes"][2]["resumable"] = False
    return value


async def send_all(
    node: CallerOfNode, server: FaultyServer, route: str, *, least_served: int
) -> None:
    """Send requests side by side, and compare what callers got with what has run."""
    statuses: dict[str, int] = {}

    async def send(number: int) -> None:
        await asyncio.sleep(INTERVAL_S * number)
        headers = {"Model": MODEL, "Token_Count": "100,50"}
        request_id = f"{route}-{number}"
        with contextlib.suppress(HttpConnectionError):
            head, _ = await node.request(
                f"/{route}/x",
                method=b"GET" if route == "safe" else b"POST",
                request_id=request_id,
                **(headers if route == "stream" else {}),
            )
            statuses[request_id] = head.status

    await asyncio.gather(*map(send, range(REQUEST_COUNT)))
    told_not_run = {r for r, status in statuses.items() if status in PROMISES}
    if route != "safe":
        assert {r for r, count in server.runs.items() if count > 1} == set()
        assert told_not_run & set(server.runs) == set()
    served = {r for r, status in statuses.items() if status == 200}
    assert served <= set(server.runs)
    assert len(served) >= least_served
    # A request that runs once has its own connection, and one that refused a stream is
    # not used again, so a copy may have nobody to go to.
    assert server.copies or route != "safe"


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("status", REFUSALS.values(), ids=REFUSALS)
async def test_copy_of_a_refusal_is_not_taken_for_that_of_another_request(
    status, moment, route
):
    # Guards against callers who are told that a request has not run although it has,
    # and against requests that run at a second server.
    server = FaultyServer(status, moment)
    async with Harness() as h:
        h.publish_declaration(make_declaration())
        for _ in range(SERVER_COUNT):
            await h.add_server(
                server.run, service="llm" if route == "stream" else "plain"
            )
        await h.start()
        await send_all(h, server, route, least_served=REQUEST_COUNT // 2)


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("moment", MOMENTS)
async def test_copy_of_a_refusal_does_not_reach_the_caller_of_another_node(
    moment, route
):
    # Guards against the same for requests that a node without links passes on.
    server = FaultyServer(REFUSALS["503"], moment)
    async with Harness() as h, Harness(joins=h) as other:
        h.publish_declaration(make_declaration())
        for _ in range(SERVER_COUNT):
            await h.add_server(
                server.run, service="llm" if route == "stream" else "plain"
            )
        await h.start()
        links = ServerLinks(other, h)
        try:
            await links.start_node(zone="z1", seeds=(f"{h.ip}:8003",))
            await asyncio.sleep(0.5)
            links.cut(LinkCut.RESET)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DETECTION_S):
                    while not other.entry._server_contact.is_cut_off:
                        with contextlib.suppress(HttpConnectionError):
                            await other.request("/safe/w", request_id="warm-up")
                        await asyncio.sleep(0.02)
            server.runs.clear()
            server.copies = 0
            await send_all(other, server, route, least_served=REQUEST_COUNT // 4)
        finally:
            links.restore()
