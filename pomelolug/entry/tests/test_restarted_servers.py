"""What nodes forget of a server that has started again under its id."""

import asyncio

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    encode_event,
    send_response,
    start_stream,
)

LEARNED_S = 0.6
"""Time in which a node learns of a new start."""
STREAM_HEADERS = {"Model": MODEL, "Token_Count": "100,50"}


@pytest.mark.parametrize("kind", ["safe", "stream"])
async def test_connections_of_before_are_not_used(kind):
    # Guards against requests on connections to a server that has started again, which
    # does not know them.
    peers = []

    async def script(request):
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        peers.append(request.writer.get_extra_info("peername"))
        if kind == "safe":
            send_response(request)
            return
        start_stream(request)
        request.send_chunk(encode_event(0))
        request.send_chunk(b"")

    async def send() -> None:
        headers = STREAM_HEADERS if kind == "stream" else {}
        method = b"POST" if kind == "stream" else b"GET"
        head, _ = await h.request(f"/{kind}/x", method=method, **headers)
        assert head.status == 200

    async with Harness() as h:
        service = "llm" if kind == "stream" else "plain"
        vm = await h.add_server(script, service=service)
        await h.start()
        await send()
        await send()
        assert len(set(peers)) == 1
        h.publish_server(vm, h.servers[0].address, service=service, born=2)
        await asyncio.sleep(LEARNED_S)
        await send()
        assert len(set(peers)) == 2
