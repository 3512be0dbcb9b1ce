"""Requests in flight at a node whose process stands still for a moment."""

import asyncio
import time

import pytest

from pomelolug.entry.tests.harness import Harness, encode_caller_request
from pomelolug.entry.tests.stating_server import StatingServer

REQUEST_COUNT = 6
TAKES_S = 0.1
ROUNDS = 3


@pytest.mark.parametrize("paused_s", [0.5, 1.0])
async def test_pause_of_a_node_is_no_silence_of_its_servers(paused_s):
    # Guards against requests that are sent again, or refused as ones that crash
    # servers, because their own node stood still before the answers came.
    async with Harness() as h:
        servers = [StatingServer("safe") for _ in range(REQUEST_COUNT)]
        for server in servers:
            server.takes_s = TAKES_S
            await server.add_to(h)
        await h.start()
        connections = [await h.connect() for _ in range(REQUEST_COUNT)]
        for round_number in range(ROUNDS):
            for number, connection in enumerate(connections):
                request_id = f"r{round_number}-{number}"
                connection.send(
                    encode_caller_request("/safe/same", request_id=request_id)
                )
            await asyncio.sleep(TAKES_S / 2)
            time.sleep(paused_s)  # noqa: ASYNC251
            for connection in connections:
                assert (await connection.read_head()).status == 200
                await connection.read_body(1 << 20)
        metrics = h.entry._metrics.render()
        assert b'attempts_total{result="200"}' in metrics
        assert b'attempts_total{result="slow"}' not in metrics
