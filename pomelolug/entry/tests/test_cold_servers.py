"""A cold server gets no more than it bears in any second from all nodes together."""

import asyncio
import collections
import time

import pytest

from pomelolug.entry.tests.harness import Harness, declaration
from pomelolug.entry.tests.stating_server import KINDS, StatingServer, send, send_for

COLD_PER_S = 5.0
ACCEPTED_FACTOR = 1.5
EXCESS_REQUESTS = 5.0
ACCEPTED = COLD_PER_S * ACCEPTED_FACTOR + EXCESS_REQUESTS
WINDOW_S = 1.0
COLD_MS = 30_000
HEARD_S = 0.5
"""Time in which nodes read a new entry of a server."""
SENDING_S = 4.0
PAUSE_S = 0.02
"""Pause of each node's caller between two requests."""
SETTINGS = {
    "cold_accepted_factor": ACCEPTED_FACTOR,
    "cold_excess_requests": EXCESS_REQUESTS,
}


def cold_declaration(*, cold_start_s: float = 3.0):
    """Return a declaration whose services name what a cold server bears."""
    value = declaration(version=2)
    for service in value["services"]:
        service |= {"cold_start_s": cold_start_s, "cold_per_s": COLD_PER_S}
    return value


async def start_nodes(harness: Harness, *others: Harness, **settings) -> None:
    harness.publish_declaration(cold_declaration())
    await harness.start(**SETTINGS, **settings)
    for other in others:
        await other.start(seeds=(f"{harness.ip}:8003",), **SETTINGS, **settings)
    # Nodes find each other, and the list of nodes is read again after 4 s.
    await asyncio.sleep(5.5)


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


@pytest.mark.parametrize("kind", KINDS)
async def test_requests_beyond_what_all_cold_servers_bear_are_refused_at_once(kind):
    # Guards against requests that wait for a cold server or are told no time to come
    # back, and against cold servers that are left idle.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        cold = StatingServer(kind)
        await cold.add_to(h)
        await start_nodes(h, h2, h3)
        cold.publish(h, cold_remaining_ms=COLD_MS)
        await asyncio.sleep(HEARD_S)
        since_s = time.monotonic()
        answers = await send_for(SENDING_S, kind, h, h2, h3, pause_s=PAUSE_S)
        assert cold.most_in_window(WINDOW_S, since_s=since_s) <= ACCEPTED
        assert cold.count_after(since_s) >= COLD_PER_S * SENDING_S / 2
        refusals = [answer for answer in answers if answer.status == 503]
        assert {answer.status for answer in answers} == {200, 503}
        for refusal in refusals:
            assert 0.0 < refusal.retry_after_s <= COLD_MS / 1000.0
            assert refusal.took_s < 0.5
            assert b'"code":"server_cold"' in refusal.body
            assert b'"outcome":"not_run"' in refusal.body
        assert len({refusal.retry_after_s for refusal in refusals}) > len(refusals) / 2


@pytest.mark.parametrize("kind", ["stream", "safe"])
async def test_repeats_and_resumed_streams_count_towards_what_a_cold_server_bears(kind):
    # Guards against a path to a server that does not ask whether it is cold.
    async with Harness() as h, Harness(joins=h) as h2:
        cold, failing = StatingServer(kind), StatingServer(kind)
        failing.fails = True
        await cold.add_to(h)
        await failing.add_to(h)
        await start_nodes(h, h2)
        cold.publish(h, cold_remaining_ms=COLD_MS)
        await asyncio.sleep(HEARD_S)
        since_s = time.monotonic()
        await send_for(SENDING_S, kind, h, h2, pause_s=PAUSE_S)
        assert cold.most_in_window(WINDOW_S, since_s=since_s) <= ACCEPTED


@pytest.mark.parametrize("kind", KINDS)
async def test_requests_of_one_moment_do_not_all_choose_a_cold_server(kind):
    # Guards against requests that are chosen a server before the others are counted,
    # and against an unsafe request that runs twice when it is withdrawn.
    async with Harness() as h:
        cold, warm = StatingServer(kind), StatingServer(kind)
        await cold.add_to(h)
        await warm.add_to(h)
        await start_nodes(h)
        cold.publish(h, cold_remaining_ms=COLD_MS)
        await asyncio.sleep(HEARD_S)
        since_s = time.monotonic()
        sent = (send(h, kind, f"r{k}") for k in range(60))
        answers = await asyncio.gather(*sent)
        assert cold.most_in_window(WINDOW_S, since_s=since_s) <= ACCEPTED
        runs = collections.Counter(cold.request_ids + warm.request_ids)
        assert set(runs.values()) == {1}
        assert sum(answer.status == 200 for answer in answers) == len(runs)


async def test_nodes_that_hear_nothing_of_each_other_hold_for_a_returning_zone():
    # Guards against servers that come back under their ids, and cold, all at once, and
    # are sent their usual share by nodes that are cut off from each other.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        cold = [StatingServer("once") for _ in range(3)]
        for server in cold:
            await server.add_to(h)
        await start_nodes(h, h2, h3, internal_ports=())
        for server in cold:
            server.publish(h, born=2, cold_remaining_ms=COLD_MS)
        await asyncio.sleep(HEARD_S)
        since_s = time.monotonic()
        await send_for(SENDING_S, "once", h, h2, h3, pause_s=PAUSE_S)
        for server in cold:
            assert server.most_in_window(WINDOW_S, since_s=since_s) <= ACCEPTED
            assert server.count_after(since_s) >= COLD_PER_S * SENDING_S / 2


async def test_node_that_starts_during_coldness_holds():
    # Guards against a node that sends at will before it knows the other nodes.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as late:
        cold, warm = StatingServer("once"), StatingServer("once")
        await cold.add_to(h)
        await warm.add_to(h)
        await start_nodes(h, h2)
        cold.publish(h, cold_remaining_ms=COLD_MS)
        await asyncio.sleep(HEARD_S)
        since_s = time.monotonic()
        sending = asyncio.create_task(send_for(6.0, "once", h, h2, pause_s=PAUSE_S))
        await late.start(seeds=(f"{h.ip}:8003",), **SETTINGS)
        await send_for(4.0, "once", late, pause_s=PAUSE_S)
        await sending
        assert cold.most_in_window(WINDOW_S, since_s=since_s) <= ACCEPTED


async def test_words_of_one_response_bind_all_nodes_while_the_store_is_away():
    # Guards against news of coldness that only the node that heard them keeps to.
    async with Harness() as h, Harness(joins=h) as h2, Harness(joins=h) as h3:
        cold, warm = StatingServer("once"), StatingServer("once")
        await cold.add_to(h)
        await warm.add_to(h)
        await start_nodes(h, h2, h3)
        await h.store.stop()
        cold.headers = {"Cold_Ms": str(COLD_MS)}
        await send_for(1.0, "once", h, pause_s=PAUSE_S)
        assert cold.arrivals_s
        await asyncio.sleep(1.0)
        since_s = time.monotonic()
        answers = await send_for(SENDING_S, "once", h, h2, h3, pause_s=PAUSE_S)
        assert cold.most_in_window(WINDOW_S, since_s=since_s) <= ACCEPTED
        assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("value", ["soon", -5, True, [1], None])
async def test_server_with_an_odd_time_in_its_entry_is_used(value):
    # Guards against a sound server that is invisible since an optional field is odd.
    async with Harness() as h:
        server = StatingServer("once")
        await server.add_to(h, cold_remaining_ms=value)
        h.publish_declaration(cold_declaration())
        await h.start(**SETTINGS)
        answer = await send(h, "once", "r1")
        assert answer.status == 200
