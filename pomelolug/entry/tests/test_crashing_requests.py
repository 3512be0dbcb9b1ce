"""A request that crashes each server that runs it is stopped after three losses."""

import asyncio
import signal

import pytest

from pomelolug.entry.tests.crashing_servers import (
    CrashingServers,
    crash_until_stopped,
    send_crashing,
    send_harmless,
)
from pomelolug.entry.tests.harness import Harness, ProcessNode
from pomelolug.testing import LinkFault, LoopbackProxy

LOSS_BOUND = 3
KNOWLEDGE_BOUND_S = 3.0
"""Time after a loss, after the start of a node, or after it reaches the store again,
by which the node has to know of all losses."""
KINDS = ("stream", "safe", "once")
ENDS = ("reset", "closed", "cut", "silent", "left", "pooled")


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", KINDS)
async def test_crashing_request_is_stopped_whatever_its_kind_and_end(kind, end):
    # Guards against a kind of request that nobody counts, and against a server's end
    # that is not taken for one.
    async with Harness() as h:
        servers = CrashingServers(h, kind, end)
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        assert len(servers.runs) == LOSS_BOUND
        assert await send_crashing(h, servers, "again") == 503
        assert len(servers.runs) == LOSS_BOUND
        assert await send_harmless(h, servers, "other") == 200


@pytest.mark.parametrize("kind", KINDS)
async def test_losses_at_several_nodes_add_up_through_the_store(kind):
    # Guards against three losses for each node when their datagrams do not arrive.
    async with Harness() as h, Harness(joins=h) as second, Harness(joins=h) as third:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(8)
        nodes = (h, second, third)
        for node in nodes:
            await node.start(internal_ports=())
        for number in range(9):
            await send_crashing(nodes[number % 3], servers, f"p{number}")
            servers.restart_crashed()
            await asyncio.sleep(KNOWLEDGE_BOUND_S / 2)
        assert len(servers.runs) <= LOSS_BOUND + 1


@pytest.mark.parametrize("kind", KINDS)
async def test_node_started_after_the_losses_refuses_the_request(kind):
    # Guards against three more losses through each node that is restarted or added.
    async with Harness() as h, Harness(joins=h) as late:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        await late.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(late, servers, "late") == 503
        assert len(servers.runs) == crashed_before


@pytest.mark.parametrize("kind", KINDS)
async def test_losses_are_known_after_all_nodes_have_lost_power(kind):
    # Guards against losses that are kept only in the memory of the nodes.
    async with Harness() as h, Harness(joins=h) as restarted:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        await h.kill()
        await restarted.start()
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(restarted, servers, "late") == 503
        assert len(servers.runs) == crashed_before


async def test_node_that_the_store_refuses_learns_old_losses_from_its_peers():
    # Guards against a node that the store turns away and that starts long after the
    # losses: its peers have to tell it.
    async with Harness() as h, Harness(joins=h) as refused:
        servers = CrashingServers(h, "once", "reset")
        await servers.add(6)
        await h.start()
        await crash_until_stopped(h, servers)
        await asyncio.sleep(2 * KNOWLEDGE_BOUND_S)
        await refused.start(store_address=f"{refused.ip}:9", seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(refused, servers, "late") == 503
        assert len(servers.runs) == crashed_before


async def test_node_that_loses_the_store_hears_of_losses_in_another_zone():
    # Guards against a node that knows only what it reads from the store: the relays of
    # the zones have to tell each other.
    async with Harness() as h, Harness(joins=h) as other:
        servers = CrashingServers(h, "once", "reset")
        await servers.add(6)
        await h.start()
        link = LoopbackProxy(f"{other.ip}:7000", h.store.address)
        await link.start()
        await other.start(
            zone="z2", store_address=link.address, seeds=(f"{h.ip}:8003",)
        )
        link.fault = LinkFault.SILENT
        await crash_until_stopped(h, servers)
        await asyncio.sleep(2 * KNOWLEDGE_BOUND_S)
        crashed_before = len(servers.runs)
        assert await send_crashing(other, servers, "late") == 503
        assert len(servers.runs) == crashed_before
        link.stop()


@pytest.mark.parametrize("kind", KINDS)
async def test_node_that_was_frozen_during_the_losses_refuses_the_request(
    kind, tmp_path
):
    # Guards against three more losses through a node that stood still while the others
    # were told, and that wakes up with what it knew before.
    async with Harness() as h:
        servers = CrashingServers(h, kind, "reset")
        await servers.add(6)
        await h.start()
        frozen = ProcessNode(h, tmp_path)
        try:
            await frozen.start()
            frozen.signal(signal.SIGSTOP)
            await crash_until_stopped(h, servers)
            await asyncio.sleep(KNOWLEDGE_BOUND_S)
            frozen.signal(signal.SIGCONT)
            await asyncio.sleep(KNOWLEDGE_BOUND_S)
            assert len(servers.runs) == LOSS_BOUND
            assert await send_crashing(frozen, servers, "late") == 503
            assert len(servers.runs) == LOSS_BOUND
        finally:
            await frozen.kill()


@pytest.mark.parametrize("resumed_by", ["node", "caller"])
async def test_crashing_stream_is_stopped_when_it_is_resumed(resumed_by):
    # Guards against a stream that loses its server after an event and is not recognised
    # as the same request when the node or its caller goes on after that event.
    async with Harness() as h:
        servers = CrashingServers(h, "stream", "begun")
        await servers.add(6)
        await h.start()
        for number in range(6):
            headers = {"Last_Event_Id": f"{number}"} if resumed_by == "caller" else {}
            await send_crashing(h, servers, f"p{number}", **headers)
            servers.restart_crashed()
            await asyncio.sleep(0.3)
        assert len(servers.runs) == LOSS_BOUND
        assert await send_crashing(h, servers, "again") == 503
        assert len(servers.runs) == LOSS_BOUND


async def test_refusal_of_a_crashing_request_says_when_to_come_back():
    # Guards against callers that repeat at once a request that is refused for minutes.
    async with Harness() as h:
        servers = CrashingServers(h, "once", "reset")
        await servers.add(4)
        await h.start()
        await crash_until_stopped(h, servers)
        head, body = await h.request(
            "/once/crash", method=b"POST", body=b"same", request_id="again"
        )
        assert head.status == 503
        assert 290 < float(head.get(b"Retry-After") or b"0") <= 300
        assert b'"outcome":"not_run"' in body
