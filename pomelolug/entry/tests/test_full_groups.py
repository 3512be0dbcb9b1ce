"""Streams at a node whose groups are full with the streams of another node."""

import asyncio

from pomelolug.entry.tests.cut_off_nodes import (
    ACQUAINTANCE_S,
    STREAM_HEADERS,
    run_nodes,
)
from pomelolug.entry.tests.harness import encode_caller_request

PLACES = 18
"""Streams that meet the latency target at three groups: four that run at each, and two
that wait."""


async def test_stream_beyond_the_places_that_another_node_uses_is_refused_at_once():
    # Guards against streams that are sent to full groups, since a node counts only its
    # own, and against callers who wait for the refusal.
    async with run_nodes("z1", "z1") as deployment:
        first, second = deployment.nodes
        connections = [await first.connect() for _ in range(PLACES)]
        for number, connection in enumerate(connections):
            connection.send(
                encode_caller_request(
                    "/stream/hold",
                    method=b"POST",
                    request_id=f"held-{number}",
                    deadline_ms=6000,
                    **STREAM_HEADERS,
                )
            )
            assert (await connection.read_head()).status == 200
        await asyncio.sleep(ACQUAINTANCE_S)
        async with asyncio.timeout(0.5):
            head, body = await second.request(
                "/stream/x", method=b"POST", request_id="next", **STREAM_HEADERS
            )
        assert head.status == 503
        assert b"queue_full" in body
        assert float(head.get(b"Retry-After") or b"0") > 0
        assert "next" not in deployment.servers.runs
        for connection in connections:
            connection.close()
