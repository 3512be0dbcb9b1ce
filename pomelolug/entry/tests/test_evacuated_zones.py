"""Servers of an evacuated zone get no requests from any node."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest

from pomelolug.entry.tests.harness import Harness, declaration
from pomelolug.entry.tests.stating_server import (
    KINDS,
    StatingServer,
    send,
    send_for,
)
from pomelolug.entry.tests.test_forwarded_requests import (
    encode_for_node,
    find_refusal,
    forward,
)
from pomelolug.errors import ErrorCode
from pomelolug.testing import LinkFault, LoopbackProxy

ACTS_S = 1.0
"""Time after which a node that hears of a record acts on it, of the 5 s allowed."""
FAILOVER_S = 3.0
"""The same for a node that first has to find another source of records."""
SENDING_S = 1.0
NO_GROUP_WAIT_S = 2.3
"""Longest time after which callers return if groups are full or there is none."""
SETTLED_S = 1.2
"""Time in which nodes find each other and wait for records."""


async def add_server(h: Harness, kind: str, zone: str) -> StatingServer:
    server = StatingServer(kind)
    server.zone = zone
    await server.add_to(h)
    return server


async def assert_unused(
    evacuated: StatingServer, other: StatingServer, *nodes: Harness
) -> None:
    """Check that all requests are served, and none by the server of the zone."""
    start_s = time.monotonic()
    answers = await send_for(SENDING_S, evacuated.kind, *nodes)
    assert evacuated.count_after(start_s) == 0
    assert other.count_after(start_s) == len(answers) > 5
    assert {answer.status for answer in answers} == {200}


async def assert_used(server: StatingServer, *nodes: Harness) -> None:
    start_s = time.monotonic()
    answers = await send_for(SENDING_S, server.kind, *nodes)
    assert server.count_after(start_s) > 0
    assert {answer.status for answer in answers} == {200}


async def assert_each_unused(
    evacuated: StatingServer, other: StatingServer, *nodes: Harness
) -> None:
    for node in nodes:
        await assert_unused(evacuated, other, node)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("zone", ["z1", "z2"])
async def test_evacuated_zone_gets_no_requests_until_it_is_taken_back(kind, zone):
    # Guards against nodes that do not read the order, also for the callers of their
    # own zone, and against a zone that stays unused after its end.
    async with Harness() as h, Harness(joins=h) as reader:
        evacuated = await add_server(h, kind, zone)
        other = await add_server(h, kind, "z3")
        await h.start()
        await reader.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(SETTLED_S)
        h.evacuate(zone)
        await asyncio.sleep(ACTS_S)
        await assert_unused(evacuated, other, h, reader)
        h.take_back(zone)
        await asyncio.sleep(ACTS_S)
        other.refuses = True
        await assert_used(evacuated, h)
        await assert_used(evacuated, reader)


@pytest.mark.parametrize("kind", KINDS)
async def test_node_that_starts_during_an_evacuation_knows_it_at_once(kind):
    # Guards against a node that serves before it has read the order.
    async with Harness() as h:
        evacuated, other = (
            await add_server(h, kind, "z1"),
            await add_server(h, kind, "z2"),
        )
        h.evacuate("z1")
        await h.start()
        await assert_unused(evacuated, other, h)


@pytest.mark.parametrize("kind", KINDS)
async def test_evacuation_holds_when_the_store_goes_away_right_after(kind):
    # Guards against an order that is forgotten or not passed on without the store, also
    # to a node that starts then.
    async with (
        Harness() as h,
        Harness(joins=h) as reader,
        Harness(joins=h) as started,
    ):
        evacuated, other = (
            await add_server(h, kind, "z1"),
            await add_server(h, kind, "z2"),
        )
        await h.start()
        await reader.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(SETTLED_S)
        h.evacuate("z1")
        await asyncio.sleep(0.15)
        h.store.is_unresponsive = True
        await asyncio.sleep(ACTS_S)
        await started.start(seeds=(f"{h.ip}:8003", f"{reader.ip}:8003"))
        await assert_each_unused(evacuated, other, started, h, reader)


@pytest.mark.parametrize("kind", KINDS)
async def test_evacuation_reaches_the_nodes_whose_relay_is_killed(kind):
    # Guards against a reader that waits for a relay which has ended.
    async with Harness() as h, Harness(joins=h) as reader:
        evacuated, other = (
            await add_server(h, kind, "z1"),
            await add_server(h, kind, "z2"),
        )
        await h.start()
        await reader.start(seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(SETTLED_S)
        assert h.entry._peer_coordinator.is_relay
        assert not reader.entry._peer_coordinator.is_relay
        killing = asyncio.create_task(h.kill())
        h.evacuate("z1")
        await killing
        await asyncio.sleep(FAILOVER_S)
        await assert_unused(evacuated, other, reader)


@contextlib.asynccontextmanager
async def start_node_without_store(h: Harness) -> AsyncIterator[Harness]:
    """Start a node alone in its zone, and silence its link to the store."""
    async with Harness(joins=h) as node:
        link = LoopbackProxy(f"{node.ip}:7000", h.store.address)
        await link.start()
        await node.start(zone="z9", store_address=link.address, seeds=(f"{h.ip}:8003",))
        await asyncio.sleep(SETTLED_S)
        link.fault = LinkFault.SILENT
        yield node
        link.stop()


@pytest.mark.parametrize("kind", KINDS)
async def test_node_that_hears_only_peers_follows_evacuation_and_end(kind):
    # Guards against a node that the store turns away and that learns of records only
    # through the statuses of other zones, in whatever order they arrive.
    async with Harness() as h:
        evacuated = await add_server(h, kind, "z1")
        other = await add_server(h, kind, "z2")
        await h.start()
        async with start_node_without_store(h) as node:
            h.evacuate("z1")
            await asyncio.sleep(ACTS_S)
            await assert_unused(evacuated, other, node)
            h.take_back("z1")
            await asyncio.sleep(ACTS_S)
            other.refuses = True
            await assert_used(evacuated, node)
            other.refuses = False
            h.take_back("z1")
            h.evacuate("z1")
            await asyncio.sleep(ACTS_S)
            await assert_unused(evacuated, other, node)


@pytest.mark.parametrize("kind", KINDS)
async def test_all_zones_evacuated_refuses_at_once(kind):
    # Guards against requests that are sent to evacuated servers because there are no
    # others, or wait for them, and against callers who return all at the same time.
    async with Harness() as h:
        servers = [await add_server(h, kind, zone) for zone in ("z1", "z2")]
        await h.start()
        h.evacuate("z1")
        h.evacuate("z2")
        await asyncio.sleep(ACTS_S)
        start_s = time.monotonic()
        answers = await send_for(SENDING_S, kind, h)
        assert sum(server.count_after(start_s) for server in servers) == 0
        assert {answer.status for answer in answers} == {503}
        assert max(answer.took_s for answer in answers) < 0.2
        waits_s = [answer.retry_after_s for answer in answers]
        assert min(waits_s) >= 1.9
        assert max(waits_s) - min(waits_s) > 0.3
        h.take_back("z2")
        await asyncio.sleep(ACTS_S)
        await assert_unused(*servers, h)


@pytest.mark.parametrize("kind", ["safe", "stream"])
async def test_retry_and_moved_stream_do_not_go_to_an_evacuated_zone(kind):
    # Guards against a request that was sent before and goes on at a server of the zone
    # once its own server has failed.
    async with Harness() as h:
        failing = await add_server(h, kind, "z1")
        failing.fails = True
        failing.takes_s = 1.0
        await h.start()
        request = asyncio.create_task(send(h, kind, "moved"))
        await asyncio.sleep(0.02)
        evacuated = await add_server(h, kind, "z2")
        other = await add_server(h, kind, "z3")
        h.evacuate("z2")
        if kind == "stream":
            await asyncio.sleep(0.5)
            request = asyncio.create_task(send(h, kind, "moved-2"))
        assert (await request).status == 200
        for number in range(10):
            failing.takes_s = 0.0
            assert (await send(h, kind, f"later-{number}")).status == 200
        assert evacuated.arrivals_s == []
        assert other.arrivals_s


async def test_running_stream_goes_on_to_its_end_in_an_evacuated_zone():
    # Guards against an evacuation that cuts or moves the streams that run there.
    async with Harness() as h:
        evacuated = await add_server(h, "stream", "z1")
        evacuated.takes_s = 1.6
        await h.start()
        stream = asyncio.create_task(send(h, "stream", "long", deadline_ms=8000))
        await asyncio.sleep(0.2)
        other = await add_server(h, "stream", "z2")
        h.evacuate("z1")
        answer = await stream
        assert answer.status == 200
        assert answer.took_s > 1.5
        assert len(evacuated.arrivals_s) == 1
        assert other.arrivals_s == []


@pytest.mark.parametrize("kind", KINDS)
async def test_forwarded_request_does_not_go_to_an_evacuated_zone(kind):
    # Guards against requests that other nodes pass on and that reach the zone.
    async with Harness() as h:
        evacuated, other = (
            await add_server(h, kind, "z1"),
            await add_server(h, kind, "z2"),
        )
        await h.start()
        h.evacuate("z1")
        await asyncio.sleep(ACTS_S)
        for number in range(10):
            data = encode_for_node(kind, request_id="r1", path=f"{number}")
            head, _ = await forward(h, data)
            assert head.status == 200
        assert evacuated.arrivals_s == []
        assert len(other.arrivals_s) == 10
        h.evacuate("z2")
        await asyncio.sleep(ACTS_S)
        refusal = await find_refusal(h, encode_for_node(kind))
        assert refusal.error.code is ErrorCode.ZONES_EVACUATED
        # A further node knows of no other servers.
        assert refusal.has_not_run and not refusal.may_try_another


@pytest.mark.parametrize("kind", KINDS)
async def test_end_of_an_evacuation_is_seen_after_the_history_was_dropped(kind):
    # Guards against a zone that is lost because the record of its end was dropped while
    # the node did not reach the store.
    async with Harness() as h:
        evacuated = await add_server(h, kind, "z1")
        link = LoopbackProxy(f"{h.ip}:7000", h.store.address)
        await link.start()
        h.evacuate("z1")
        await h.start(store_address=link.address)
        assert (await send(h, kind, "refused")).status == 503
        link.fault = LinkFault.SILENT
        h.take_back("z1")
        h.publish_declaration(declaration(2))
        h.store.compact("keyed.op")
        await asyncio.sleep(0.3)
        link.fault = LinkFault.NONE
        link.reset()
        await asyncio.sleep(FAILOVER_S)
        await assert_used(evacuated, h)
        link.stop()


@pytest.mark.parametrize("kind", KINDS)
async def test_evacuation_outlasts_the_restoration_of_the_store(kind):
    # Guards against requests to the zone because the store went back to a copy from
    # before the order, and against an order that is ignored for its lower offset.
    async with Harness() as h, Harness(joins=h) as reader:
        evacuated, other = (
            await add_server(h, kind, "z1"),
            await add_server(h, kind, "z2"),
        )
        await h.start()
        await reader.start(seeds=(f"{h.ip}:8003",))
        copy = h.store.copy()
        for version in range(2, 6):
            h.publish_declaration(declaration(version))
        h.evacuate("z1")
        await asyncio.sleep(ACTS_S)
        h.store.restore(copy)
        await assert_unused(evacuated, other, h, reader)
        h.publish_declaration(declaration(6))
        h.evacuate("z1")
        await asyncio.sleep(6.0)
        await assert_unused(evacuated, other, h, reader)
        h.take_back("z1")
        await asyncio.sleep(ACTS_S)
        other.refuses = True
        await assert_used(evacuated, h, reader)


async def test_unreadable_orders_hide_no_other_records():
    # Guards against a foreign record that ends the reading of the declaration or of the
    # orders behind it.
    async with Harness() as h:
        evacuated = await add_server(h, "safe", "z1")
        other = await add_server(h, "safe", "z2")
        await h.start()
        for key, value in (
            ("evacuate/", b"{}"),
            ("evacuate/nowhere", b"\xff\xfe"),
            ("evacuate", b"[1"),
            ("other/z2", b"\x00"),
        ):
            h.store.put("keyed.op", key, value)
        h.store.put("keyed.op", "evacuate/z1", b"\xff not json")
        h.publish_declaration(declaration(2))
        await asyncio.sleep(ACTS_S)
        assert h.entry._declarations.version == 2
        await assert_unused(evacuated, other, h)


@pytest.mark.parametrize("kind", KINDS)
async def test_evacuation_is_no_reason_to_return_late_to_other_zones(kind):
    # Guards against callers who are sent away for as long as an evacuation lasts,
    # although servers elsewhere are only full for a moment.
    async with Harness() as h:
        await add_server(h, kind, "z1")
        other = await add_server(h, kind, "z2")
        other.refuses = True
        await h.start()
        h.evacuate("z1")
        # Callers of evacuated zones would be told to wait for as long as this.
        await asyncio.sleep(4.0)
        answers = await send_for(SENDING_S, kind, h, pause_s=0.01)
        assert {answer.status for answer in answers} == {503}
        assert not [a for a in answers if a.retry_after_s > NO_GROUP_WAIT_S]
        other.refuses = False
        await asyncio.sleep(0.5)
        assert (await send(h, kind, "later")).status == 200
