"""Entries of servers that another writer has put into the store."""

import asyncio

import msgspec
import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    declaration,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.testing import ScriptedServer

LEARNED_S = 0.6
"""Time in which a node reads a new entry."""
STREAM_HEADERS = {"Model": MODEL, "Token_Count": "100,50"}


async def serve(request) -> None:
    if request.target.startswith("/-/"):
        request.send("404 Not Found", {})
    elif request.target.startswith("/stream/"):
        start_stream(request)
        request.send_chunk(encode_event(0))
        request.send_chunk(b"")
    else:
        send_response(request)


@pytest.mark.parametrize("service", ["other", "unknown"])
async def test_stream_reaches_no_group_of_another_service(service):
    # Guards against streams at a group of a service that the route does not name,
    # because it holds the same model.
    runs = []

    async def script(request) -> None:
        runs.append(request.target)
        await serve(request)

    foreign = ScriptedServer(script)
    await foreign.start()
    try:
        async with Harness() as h:
            value = declaration(2)
            engine = value["services"][1]["engine"]
            value["services"].append({"name": "other", "engine": engine})
            h.publish_declaration(value)
            await h.add_server(serve, service="llm", vm="llm-1")
            entry = {
                "service": service,
                "address": foreign.address,
                "zone": "z1",
                "state": "ready",
                "slots": 4,
                "born": 1,
                "domain": "d",
                "group": {"name": "g-f", "epoch": 1, "rank": 0, "state": "open"},
                "models": [{"name": MODEL}],
            }
            h.store.put("keyed.servers", "foreign", msgspec.json.encode(entry))
            await h.start(servers=2)
            for _ in range(12):
                head, _ = await h.request("/stream/x", method=b"POST", **STREAM_HEADERS)
                assert head.status == 200
            assert [target for target in runs if not target.startswith("/-/")] == []
    finally:
        foreign.stop()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff",
        b'{"x":' + b"[" * 20_000 + b"]" * 20_000 + b"}",
        b'{"service": "plain", "address": "127.0.0.1:70000", "state": "ready"}',
        b'{"service": "plain", "address": "127.0.0.1:\xc2\xb2", "state": "ready"}',
        b'{"service": "plain", "address": "127.0.0.1:1", "state": "unheard"}',
    ],
    ids=["bytes", "nested", "port", "digit", "state"],
)
async def test_entry_that_names_no_server_leaves_the_others_in_use(data):
    # Guards against a reader that ends, and requests that fail, for one entry.
    async with Harness() as h:
        await h.add_server(serve, vm="plain-1")
        h.store.put("keyed.servers", "foreign", data)
        await h.start(servers=1)
        await h.add_server(serve, vm="plain-2")
        h.store.put("keyed.servers", "foreign-2", data)
        await asyncio.sleep(LEARNED_S)
        assert h.entry is not None
        assert set(h.entry._registry.servers) == {"plain-1", "plain-2"}
        for number in range(20):
            head, _ = await h.request("/once/x", request_id=f"r{number}")
            assert head.status == 200
