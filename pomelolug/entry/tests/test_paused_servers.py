"""A server that asks for a pause gets no requests from the node in that time."""

import asyncio
import datetime
import random
import signal
import time

import pytest

from pomelolug.entry.servers import ServerPauses
from pomelolug.entry.tests.backend import make_backend_server
from pomelolug.entry.tests.harness import Harness, ProcessNode
from pomelolug.entry.tests.stating_server import KINDS, StatingServer, send, send_for
from pomelolug.testing import LoopClock

PAUSE_S = 2.0
TOLERANCE_S = 0.5
"""Time after the refusal from which requests count."""
ALLOWED_REQUESTS = 2
"""Requests that may reach the server in the rest of the pause."""


def pausing_server(kind: str, pause: str = str(PAUSE_S)) -> StatingServer:
    server = StatingServer(kind, Retry_After=pause)
    server.refuses = True
    return server


async def send_until_refused(harness: Harness, server: StatingServer) -> float:
    """Send requests until a server has refused one; return the monotonic time."""
    while not server.arrivals_s:
        await send(harness, server.kind, f"first-{time.monotonic_ns()}")
    return server.arrivals_s[0]


@pytest.mark.parametrize("kind", KINDS)
async def test_other_servers_carry_the_load_during_a_pause(kind):
    # Guards against requests that a server has said it would turn away.
    async with Harness() as h:
        pausing, other = pausing_server(kind), StatingServer(kind)
        await pausing.add_to(h)
        await other.add_to(h)
        await h.start()
        refused_s = await send_until_refused(h, pausing)
        pausing.refuses = False
        answers = await send_for(PAUSE_S - 0.2, kind, h)
        assert pausing.count_after(refused_s + TOLERANCE_S) <= ALLOWED_REQUESTS
        assert {answer.status for answer in answers} == {200}
        await asyncio.sleep(0.6)
        pausing.headers = {}
        ended_s = time.monotonic()
        await send_for(1.0, kind, h)
        assert pausing.count_after(ended_s) > 0


@pytest.mark.parametrize("kind", KINDS)
async def test_requests_are_refused_at_once_if_all_servers_pause(kind):
    # Guards against requests that wait for a server, against a time to return at which
    # the server still pauses, and against callers that return all at once.
    async with Harness() as h:
        pausing = pausing_server(kind)
        await pausing.add_to(h)
        await h.start()
        refused_s = await send_until_refused(h, pausing)
        answers = await send_for(1.0, kind, h, h, h, h)
        assert pausing.count_after(refused_s + TOLERANCE_S) <= ALLOWED_REQUESTS
        assert {answer.status for answer in answers} == {503}
        assert max(answer.took_s for answer in answers) < 0.5
        returns_s = sorted(a.retry_after_s for a in answers)
        assert returns_s[0] >= PAUSE_S - 1.0 - 0.3
        assert returns_s[-1] <= 2.0 * PAUSE_S
        # A pause of the whole time of the day would not be honest.
        middle = len(returns_s) // 10, len(returns_s) * 9 // 10
        assert returns_s[middle[1]] - returns_s[middle[0]] >= 0.3


@pytest.mark.parametrize("kind", ["stream", "safe"])
async def test_retries_and_resumed_streams_avoid_a_pausing_server(kind):
    # Guards against a path to a server that does not ask what it has stated.
    async with Harness() as h:
        pausing, failing = pausing_server(kind), StatingServer(kind)
        await pausing.add_to(h)
        await failing.add_to(h)
        await h.start()
        refused_s = await send_until_refused(h, pausing)
        failing.fails = True
        await send_for(PAUSE_S - 0.2, kind, h)
        assert failing.count_after(refused_s) > 0
        assert pausing.count_after(refused_s + TOLERANCE_S) <= ALLOWED_REQUESTS


async def test_request_that_waits_for_its_connection_is_withdrawn():
    # Guards against requests that were on their way to a server when it asked for a
    # pause: each attempt has to ask again when its connection is open.
    async with Harness() as h:
        pausing, other = StatingServer("once"), StatingServer("once")
        await pausing.add_to(h)
        await h.start()
        pool = h.entry._pool
        acquire = pool.acquire

        async def acquire_slowly(address, *, fresh=False):
            connection = await acquire(address, fresh=fresh)
            await asyncio.sleep(1.5)
            return connection

        pool.acquire = acquire_slowly
        tasks = [asyncio.create_task(send(h, "once", f"r{k}")) for k in range(4)]
        await asyncio.sleep(0.1)
        pool.acquire = acquire
        pausing.refuses, pausing.headers = True, {"Retry_After": "5"}
        await other.add_to(h)
        refused_s = await send_until_refused(h, pausing)
        answers = await asyncio.gather(*tasks)
        assert pausing.count_after(refused_s + TOLERANCE_S) <= ALLOWED_REQUESTS
        assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("kind", KINDS)
async def test_server_that_has_restarted_is_used_again(kind):
    # Guards against a pause that outlives the server that asked for it.
    async with Harness() as h:
        pausing = pausing_server(kind, "60")
        await pausing.add_to(h)
        await h.start()
        await send_until_refused(h, pausing)
        pausing.refuses, pausing.headers = False, {}
        pausing.publish(h, born=2)
        await asyncio.sleep(0.8)
        assert (await send(h, kind, "later")).status == 200


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "pause", ["0", "-3", "nan", "inf", "soon", "Fri, 04 Dec 2026 12:00:00 GMT", None]
)
async def test_unreadable_pause_changes_nothing(kind, pause):
    # Guards against a server that is never used again because of what it sent, and
    # against a changed handling of refusals without a pause.
    async with Harness() as h:
        server = pausing_server(kind, pause or "")
        if pause is None:
            server.headers = {}
        await server.add_to(h)
        await h.start()
        await send_until_refused(h, server)
        server.refuses = False
        # A head that has refused a request gets none for 0.2 s.
        await asyncio.sleep(0.3)
        assert (await send(h, kind, "later")).status == 200


async def test_pause_of_a_day_is_kept_and_named():
    # Guards against a long pause that overflows, or ends before its time.
    async with Harness() as h:
        server = pausing_server("once", "86400")
        await server.add_to(h)
        await h.start()
        await send_until_refused(h, server)
        answer = await send(h, "once", "later")
        assert answer.status == 503
        assert 86000.0 < answer.retry_after_s < 200000.0
        assert len(server.arrivals_s) == 1


async def test_frozen_node_does_not_send_a_burst_when_it_wakes_up(tmp_path):
    # Guards against requests that collect while a node is frozen and then reach a
    # server that has asked for a pause.
    async with Harness() as h:
        pausing, other = pausing_server("once", "6"), StatingServer("once")
        await pausing.add_to(h)
        await other.add_to(h)
        frozen = ProcessNode(h, tmp_path)
        try:
            await frozen.start()
            while not pausing.arrivals_s:
                await send(frozen, "once", f"first-{time.monotonic_ns()}")
            refused_s = pausing.arrivals_s[0]
            frozen.signal(signal.SIGSTOP)
            waiting = [
                asyncio.create_task(send(frozen, "once", f"w{k}", deadline_ms=6000))
                for k in range(20)
            ]
            await asyncio.sleep(2.0)
            frozen.signal(signal.SIGCONT)
            answers = await asyncio.gather(*waiting)
        finally:
            await frozen.kill()
        assert pausing.count_after(refused_s + TOLERANCE_S) <= ALLOWED_REQUESTS
        assert {answer.status for answer in answers} == {200}


async def test_restarted_node_is_told_by_one_refusal():
    # Guards against a node that has forgotten the pause and sends all its requests to
    # the server until each of them is refused.
    async with Harness() as h, Harness(joins=h) as restarted:
        pausing, other = pausing_server("once", "6"), StatingServer("once")
        await pausing.add_to(h)
        await other.add_to(h)
        await h.start()
        await send_until_refused(h, pausing)
        await h.kill()
        await restarted.start()
        restarted_s = time.monotonic()
        await send_for(1.5, "once", restarted)
        refused = [t for t in pausing.arrivals_s if t >= restarted_s]
        if refused:
            assert pausing.count_after(refused[0] + TOLERANCE_S) <= ALLOWED_REQUESTS
        assert len(refused) <= ALLOWED_REQUESTS


def test_nodes_do_not_return_to_a_server_at_once():
    # Guards against many nodes that were told the same pause and end it in one moment.
    async def run() -> list[float]:
        server = make_backend_server()
        ends_s = []
        for seed in range(195):
            pauses = ServerPauses(clock=LoopClock(), rng=random.Random(seed))
            pauses.record(server, datetime.timedelta(seconds=5))
            pause = pauses.find(server)
            assert pause is not None
            ends_s.append(pause.left_s)
        return ends_s

    ends_s = sorted(asyncio.run(run()))
    assert ends_s[0] >= 4.99
    assert ends_s[-1] <= 5.5
    assert ends_s[180] - ends_s[10] >= 0.3
