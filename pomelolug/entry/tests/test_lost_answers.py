"""Streams whose answers are lost on connections in use again."""

import asyncio
import collections

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    declaration,
    encode_event,
    start_stream,
)

HEADERS = {"Model": MODEL, "Token_Count": "100,50"}
SERVICES = {"group": "llm", "plain": "plain"}
SERVER_COUNT = 6


class LosingServers:
    """Servers that run each stream and lose the answers on connections in use again.

    On new connections they lose the answers of the requests in `lost_on_new`.
    """

    def __init__(self) -> None:
        self.is_losing = False
        self.lost_on_new: set[str] = set()
        self.runs: dict[str, list[str]] = collections.defaultdict(list)

    def make_script(self, name: str):
        served: set[asyncio.StreamWriter] = set()

        async def script(request) -> None:
            if not request.target.startswith("/stream/"):
                request.send("404 Not Found", {})
                return
            self.runs[request.request_id].append(name)
            is_reused = request.writer in served
            served.add(request.writer)
            if self.is_losing and (is_reused or request.request_id in self.lost_on_new):
                request.writer.close()
                return
            # Streams that overlap open several connections.
            await asyncio.sleep(0.1)
            start_stream(request)
            request.send_chunk(encode_event(0))
            request.send_chunk(b"")

        return script


async def stream(h: Harness, request_id: str) -> int:
    head, _ = await h.request(
        f"/stream/{request_id}", method=b"POST", request_id=request_id, **HEADERS
    )
    return head.status


@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize("is_lost_on_new", [False, True])
@pytest.mark.parametrize("kind", SERVICES)
async def test_stream_runs_on_no_more_servers_than_its_route_allows(
    kind, is_lost_on_new, max_attempts
):
    # Guards against runs that are not counted, since the end of a connection in use
    # again is taken for one that the server had closed before.
    servers = LosingServers()
    value = declaration(2)
    value["routes"][2] |= {"service": SERVICES[kind], "max_attempts": max_attempts}
    async with Harness() as h:
        h.publish_declaration(value)
        for number in range(SERVER_COUNT):
            name = f"vm-{number}"
            await h.add_server(
                servers.make_script(name), service=SERVICES[kind], vm=name
            )
        await h.start()
        warm_up = [stream(h, f"first-{n}") for n in range(3 * SERVER_COUNT)]
        assert set(await asyncio.gather(*warm_up)) == {200}
        servers.is_losing = True
        names = [f"r{number}" for number in range(8)]
        if is_lost_on_new:
            servers.lost_on_new.update(names)
        statuses = [await stream(h, name) for name in names]
        for name in names:
            assert len(set(servers.runs[name])) <= max_attempts
        assert any(len(servers.runs[name]) > 1 for name in names)
        assert set(statuses) <= ({502} if is_lost_on_new else {200, 502})
        if not is_lost_on_new:
            assert statuses.count(200) >= len(names) // 2
