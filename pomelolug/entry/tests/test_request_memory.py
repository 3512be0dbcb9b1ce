"""Memory of requests that have ended."""

import asyncio
import gc

import pytest

from pomelolug.entry.tests.harness import (
    MODEL,
    Harness,
    declaration,
    encode_caller_request,
    encode_event,
    send_response,
    start_stream,
)
from pomelolug.transport import Exchange

BODY = bytes(500_000)
REQUEST_COUNT = 5
KINDS = ("safe", "once", "stream")


def answer(request) -> None:
    if request.target.startswith("/stream/"):
        start_stream(request)
        request.send_chunk(encode_event(0))
        request.send_chunk(b"")
    else:
        send_response(request)


def count_held_bodies() -> int:
    """Return the number of large request bodies in memory, reachable or not."""
    return sum(
        isinstance(o, Exchange) and o.body_size >= len(BODY) for o in gc.get_objects()
    )


def count_held_copies() -> int:
    """Return how many coroutines and frames hold an encoded request."""
    return sum(
        isinstance(value, bytes) and len(value) >= len(BODY) and value is not BODY
        for o in gc.get_objects()
        if type(o).__name__ == "frame"
        for value in o.f_locals.values()
    )


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("end", ["answered", "caller_leaves", "deadline", "reset"])
async def test_request_that_has_ended_leaves_nothing_in_memory(kind, end):
    # Guards against bodies that stay in memory until the garbage collector runs, so
    # that a process exceeds its memory although it counts them as gone.
    reached = asyncio.Event()

    async def script(request) -> None:
        if request.target.startswith("/-/"):
            request.send("404 Not Found", {})
            return
        reached.set()
        if end == "answered":
            answer(request)
            return
        if end == "reset":
            request.reset()
            return
        await request.wait_closed()

    value = declaration(2)
    value["limits"]["max_body_bytes"] = 2 * len(BODY)
    async with Harness() as h:
        h.publish_declaration(value)
        await h.add_server(script, service="llm" if kind == "stream" else "plain")
        await h.start()
        gc.collect()
        gc.disable()
        try:
            for number in range(REQUEST_COUNT):
                reached.clear()
                connection = await h.connect()
                connection.send(
                    encode_caller_request(
                        f"/{kind}/{number}",
                        method=b"POST",
                        body=BODY,
                        request_id=f"r{number}",
                        deadline_ms=300 if end == "deadline" else 3000,
                        **(
                            {"Model": MODEL, "Token_Count": "100,50"}
                            if kind == "stream"
                            else {}
                        ),
                    )
                )
                async with asyncio.timeout(3.0):
                    await reached.wait()
                if end != "caller_leaves":
                    await connection.read_head()
                connection.close()
                for server in h.servers:
                    server.requests.clear()
            await asyncio.sleep(0.2)
            assert count_held_bodies() == 0
            assert count_held_copies() == 0
        finally:
            gc.enable()
