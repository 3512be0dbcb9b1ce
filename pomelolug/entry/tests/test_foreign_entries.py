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


def make_entry(address: bytes, fields: bytes = b"") -> bytes:
    """Return the entry of a ready plain server with an encoded address."""
    entry = b'{"service": "plain", "zone": "z1", "state": "ready", "address": '
    return entry + address + fields + b"}"


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
        make_entry(b'"' + b"a" * 300 + b':80"'),
        make_entry(b'"..:80"'),
        make_entry(b'"host.example:80"'),
        make_entry(b'"0.0.0.0:80"'),
        make_entry(b'"127.0.0.1:%s"' % (b"9" * 6000)),
        make_entry(b'"127.0.0.1:80"', b', "born": ' + b"9" * 6000),
        make_entry(b'"127.0.0.1:80"', b', "born": 1e999999'),
        make_entry(b'"127.0.0.1:80"', b', "slots": 18446744073709551616'),
        make_entry(b'"127.0.0.1:80"', b', "x": ' + b"[" * 100_000 + b"]" * 100_000),
    ],
    ids=[
        "bytes",
        "nested",
        "port",
        "digit",
        "state",
        "long_label",
        "dots",
        "host_name",
        "unspecified",
        "port_digits",
        "number_digits",
        "number_exponent",
        "number_size",
        "nested_deep",
    ],
)
async def test_entry_that_names_no_server_leaves_the_others_in_use(data):
    # Guards against a reader that ends, and requests that fail, for one entry, also at
    # a node that gets the entries from another one.
    async with Harness() as h, Harness(joins=h) as other:
        await h.add_server(serve, vm="plain-1")
        h.store.put("keyed.servers", "foreign", data)
        await h.start(servers=1)
        await other.start(servers=1, seeds=(f"{h.ip}:8003",))
        await h.add_server(serve, vm="plain-2")
        h.store.put("keyed.servers", "foreign-2", data)
        await asyncio.sleep(LEARNED_S)
        for node in (h, other):
            assert node.entry is not None
            assert set(node.entry._registry.servers) == {"plain-1", "plain-2"}
            for number in range(20):
                head, _ = await node.request("/once/x", request_id=f"r{number}")
                assert head.status == 200
