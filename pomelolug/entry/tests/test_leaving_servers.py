"""A server that states that it leaves gets no further requests from the node."""

import asyncio
import time

import pytest

from pomelolug.deployment import BackendServer, ServerNotice
from pomelolug.entry.tests.backend import make_backend_server, make_server_control
from pomelolug.entry.tests.harness import Harness
from pomelolug.entry.tests.stating_server import KINDS, StatingServer, send, send_for
from pomelolug.testing import ScriptedServer

SENDING_S = 1.0


def leaving_server(kind: str) -> StatingServer:
    return StatingServer(kind, Server_Leaving="1")


async def start_with(harness: Harness, *servers: StatingServer) -> None:
    for server in servers:
        await server.add_to(harness)
    await harness.start()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("outcome", ["answered", "refused", "failed"])
async def test_no_request_reaches_a_server_after_it_stated_that_it_leaves(
    kind, outcome
):
    # Guards against requests that go on to a leaving server because the store has not
    # yet said so, also if the statement came with a refusal or an error.
    async with Harness() as h:
        leaving, other = leaving_server(kind), StatingServer(kind)
        leaving.refuses = outcome == "refused"
        leaving.fails = outcome == "failed"
        await start_with(h, leaving, other)
        while not leaving.arrivals_s:
            await send(h, kind, f"first-{time.monotonic_ns()}")
        stated_s = time.monotonic()
        answers = await send_for(SENDING_S, kind, h)
        assert leaving.count_after(stated_s) == 0
        assert other.count_after(stated_s) == len(answers) > 5
        assert {answer.status for answer in answers} == {200}


async def test_statement_counts_while_its_stream_still_runs():
    # Guards against a statement that is applied only when the stream has ended.
    async with Harness() as h:
        leaving, other = leaving_server("stream"), StatingServer("stream")
        leaving.takes_s = 1.6
        await leaving.add_to(h)
        await h.start()
        stream = asyncio.create_task(send(h, "stream", "long", deadline_ms=8000))
        await asyncio.sleep(0.2)
        assert leaving.arrivals_s
        await other.add_to(h)
        await asyncio.sleep(0.6)
        answers = await send_for(SENDING_S, "stream", h)
        assert len(leaving.arrivals_s) == 1
        assert {answer.status for answer in answers} == {200}
        assert (await stream).status == 200


@pytest.mark.parametrize("kind", ["stream", "safe"])
async def test_retries_and_resumed_streams_avoid_a_leaving_server(kind):
    # Guards against a path to a server that does not ask what it has stated.
    async with Harness() as h:
        leaving, failing = leaving_server(kind), StatingServer(kind)
        await start_with(h, leaving, failing)
        while not leaving.arrivals_s:
            await send(h, kind, f"first-{time.monotonic_ns()}")
        stated_s = time.monotonic()
        failing.fails = True
        await send_for(SENDING_S, kind, h)
        assert failing.count_after(stated_s) > 0
        assert leaving.count_after(stated_s) == 0


@pytest.mark.parametrize("kind", KINDS)
async def test_older_entry_is_no_proof_that_a_server_stays(kind):
    # Guards against a server that is used again because its entry is written again or
    # because the store is away.
    async with Harness() as h:
        leaving, other = leaving_server(kind), StatingServer(kind)
        await start_with(h, leaving, other)
        while not leaving.arrivals_s:
            await send(h, kind, f"first-{time.monotonic_ns()}")
        stated_s = time.monotonic()
        leaving.publish(h)
        await send_for(SENDING_S, kind, h)
        await h.store.stop()
        await send_for(SENDING_S, kind, h)
        await h.store.start()
        assert leaving.count_after(stated_s) == 0


@pytest.mark.parametrize("kind", KINDS)
async def test_server_that_has_restarted_is_used_again(kind):
    # Guards against a statement that outlives the server that made it.
    async with Harness() as h:
        leaving = leaving_server(kind)
        await start_with(h, leaving)
        await send(h, kind, "first")
        refused = await send(h, kind, "second")
        assert refused.status == 503
        assert refused.took_s < 0.5
        leaving.headers = {}
        leaving.publish(h, born=2)
        await asyncio.sleep(0.8)
        answers = await send_for(SENDING_S, kind, h)
        assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("kind", KINDS)
async def test_other_nodes_are_told(kind):
    # Guards against nodes that each have to ask a leaving server themselves.
    async with Harness() as h, Harness(joins=h) as h2:
        leaving, other = leaving_server(kind), StatingServer(kind)
        await start_with(h, leaving, other)
        await h2.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(2.0)
        while not leaving.arrivals_s:
            await send(h, kind, f"first-{time.monotonic_ns()}")
        await asyncio.sleep(0.5)
        told_s = time.monotonic()
        answers = await send_for(SENDING_S, kind, h2)
        assert leaving.count_after(told_s) == 0
        assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("status", ["200 OK", "404 Not Found", "421 Misdirected"])
async def test_statement_in_a_report_counts_unless_another_server_sent_it(status):
    # Guards against a member that leaves and is replaced only when the store says so,
    # and against the statement of a server that has taken over the address.
    notices: list[tuple[BackendServer, ServerNotice]] = []

    async def script(request):
        request.send(status, {"Server-Leaving": "1"}, b"{}")

    server = ScriptedServer(script)
    await server.start()
    control = make_server_control(lambda *notice: notices.append(notice))
    backend = make_backend_server(server.address)
    await control.report(backend)
    server.stop()
    stated = [(s.vm, notice.is_leaving) for s, notice in notices]
    assert stated == ([] if status.startswith("421") else [("s1", True)])
