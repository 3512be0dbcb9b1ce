"""What a node that has restarted knows of keys and servers that are gone."""

import asyncio
import time

import pytest

from pomelolug.entry.servers import LeavingServers
from pomelolug.entry.tests.backend import make_backend_server
from pomelolug.entry.tests.harness import API_KEY, Harness, declaration
from pomelolug.entry.tests.stating_server import KINDS, StatingServer, send, send_for
from pomelolug.testing import LoopClock

TOLD_S = 1.0
"""Time after its start in which a node hears from its peers."""
OLD_KEY = "key-withdrawn"


def declaration_with(version: int, *keys: str):
    accounts = [{"name": "account-a", "api_keys": [API_KEY, *keys]}]
    return declaration(version, tenants=accounts)


async def test_withdrawn_key_is_refused_after_a_restart_with_an_older_store():
    # Guards against a node that starts with an older copy of the declaration and takes
    # a key that its peers know to be withdrawn.
    async with Harness() as h, Harness(joins=h) as restarted:
        server = StatingServer("safe")
        await server.add_to(h)
        h.publish_declaration(declaration_with(1, OLD_KEY))
        copy = h.store.copy()
        await h.start()
        h.publish_declaration(declaration_with(2))
        await asyncio.sleep(0.8)
        head, _ = await h.request("/safe/x", key=OLD_KEY)
        assert head.status == 401
        h.store.restore(copy)
        await restarted.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(TOLD_S)
        until_s = time.monotonic() + 4.0
        while time.monotonic() < until_s:
            for node in (h, restarted):
                head, _ = await node.request("/safe/x", key=OLD_KEY)
                assert head.status == 401
                head, _ = await node.request("/safe/x")
                assert head.status == 200
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("kind", KINDS)
async def test_server_that_leaves_gets_no_requests_from_a_restarted_node(kind):
    # Guards against a server that is used again because the process that was told of
    # its departure has ended.
    async with Harness() as h, Harness(joins=h) as restarted:
        leaving, other = StatingServer(kind, Server_Leaving="1"), StatingServer(kind)
        await leaving.add_to(h)
        await other.add_to(h)
        await h.start()
        while not leaving.arrivals_s:
            await send(h, kind, f"first-{time.monotonic_ns()}")
        stated_s = time.monotonic()
        await restarted.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(TOLD_S)
        answers = await send_for(1.0, kind, restarted)
        assert leaving.count_after(stated_s) == 0
        assert {answer.status for answer in answers} == {200}


@pytest.mark.looptime
async def test_nodes_tell_of_a_departure_without_renewing_it():
    # Guards against nodes that repeat each other's reports forever, and against a node
    # that hears nothing because it starts some seconds later.
    server = make_backend_server(start_time_ms=7)
    first, second = LeavingServers(clock=LoopClock()), LeavingServers(clock=LoopClock())
    assert first.record(server)
    for _ in range(28):
        await asyncio.sleep(1.0)
        second.merge(first.reports(), source="first")
        first.merge(second.reports(), source="second")
    late = LeavingServers(clock=LoopClock())
    assert late.merge(second.reports(), source="second")
    assert late.is_leaving(server)
    await asyncio.sleep(5.0)
    assert first.reports() == second.reports() == {}
    assert first.is_leaving(server) and second.is_leaving(server)
