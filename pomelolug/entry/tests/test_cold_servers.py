"""A cold server gets no more than it bears in any second from all nodes together."""

import asyncio
import time

import pytest

from pomelolug.entry.tests.harness import Harness, declaration
from pomelolug.entry.tests.stating_server import KINDS, StatingServer, send_for

COLD_PER_S = 5.0
ACCEPTED_FACTOR = 1.5
EXCESS_REQUESTS = 5.0
ACCEPTED = COLD_PER_S * ACCEPTED_FACTOR + EXCESS_REQUESTS
WINDOW_S = 1.0
COLD_MS = 30_000
HEARD_S = 0.4
"""Time in which nodes read a new entry of a server."""
SENDING_S = 4.0
PAUSE_S = 0.02
"""Pause of each node's caller between two requests."""


def cold_declaration(*, cold_start_s: float = 3.0):
    """Return a declaration whose services name what a cold server bears."""
    value = declaration(version=2)
    for service in value["services"]:
        service |= {"cold_start_s": cold_start_s, "cold_per_s": COLD_PER_S}
    return value


async def start_nodes(harness: Harness, *others: Harness, **settings) -> None:
    settings |= {
        "cold_accepted_factor": ACCEPTED_FACTOR,
        "cold_excess_requests": EXCESS_REQUESTS,
    }
    harness.publish_declaration(cold_declaration())
    await harness.start(**settings)
    for other in others:
        await other.start(seeds=(f"{harness.ip}:8003",), **settings)
    # Nodes find each other, and the count of nodes is read again after 4 s.
    await asyncio.sleep(5.0)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("node_count", [1, 3])
async def test_nodes_keep_to_what_a_cold_server_bears_and_warm_ones_carry_the_rest(
    kind, node_count
):
    # Guards against a server that says it is cold and still gets its usual share.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        nodes = [h, h2, h3][:node_count]
        cold, warm = StatingServer(kind), StatingServer(kind)
        await cold.add_to(h)
        await warm.add_to(h)
        await start_nodes(*nodes)
        cold.publish(h, cold_remaining_ms=COLD_MS)
        await asyncio.sleep(HEARD_S)
        since_s = time.monotonic()
        answers = await send_for(SENDING_S, kind, *nodes, pause_s=PAUSE_S)
        assert cold.most_in_window(WINDOW_S, since_s=since_s) <= ACCEPTED
        assert {answer.status for answer in answers} == {200}
        assert warm.count_after(since_s) > cold.count_after(since_s)
