"""Requests at nodes whose links to the servers open connections and pass nothing."""

import asyncio

import pytest

from pomelolug.entry.tests.cut_off_nodes import (
    ROUTES,
    check_service,
    count_served,
    run_nodes,
    send_many,
    warm_up,
)
from pomelolug.entry.tests.server_links import LinkCut


def servers_of(route: str, *, nodes: int = 2) -> dict[str, int]:
    """Return the numbers of servers of a deployment that has only those of a route."""
    # The first requests, 12 of each node at once, fit in.
    count = 3 * nodes
    is_stream = route == "stream"
    return {"plain": 0 if is_stream else count, "groups": count if is_stream else 0}


@pytest.mark.parametrize("timeout_ms", [2000, 6000])
@pytest.mark.parametrize(
    ("zones", "cut_off"),
    [(("z1", "z1"), {0}), (("z1", "z1", "z2", "z2"), {0, 1})],
    ids=["one_of_two", "two_of_four"],
)
@pytest.mark.parametrize("route", ROUTES)
async def test_requests_at_a_node_with_silent_links_are_served(
    route, zones, cut_off, timeout_ms
):
    # Guards against requests that time out at a node whose connections open and pass
    # nothing, since no connection of them fails.
    servers = servers_of(route, nodes=len(zones))
    async with run_nodes(*zones, timeout_ms=timeout_ms, **servers) as d:
        await check_service(
            d, LinkCut.ACCEPTED, (route,), cut_off, deadline_ms=timeout_ms
        )


@pytest.mark.parametrize("route", ROUTES)
async def test_requests_at_a_node_that_starts_with_silent_links_are_served(route):
    # Guards against a node that takes its links for sound since it has never heard
    # from a server.
    kind = LinkCut.ACCEPTED
    async with run_nodes(
        "z1", "z1", timeout_ms=2000, starts_cut={0: kind}, **servers_of(route)
    ) as d:
        await check_service(d, kind, (route,), {0}, warms_up=False)


@pytest.mark.parametrize("route", ROUTES)
async def test_node_whose_silent_links_return_serves_by_itself(route):
    # Guards against a node that depends on others after its links are restored.
    async with run_nodes("z1", "z1", timeout_ms=2000, **servers_of(route)) as d:
        await check_service(d, LinkCut.ACCEPTED, (route,), {0})
        d.links[0].restore()
        await asyncio.sleep(1.5)
        d.cut(LinkCut.ACCEPTED, 1)
        answers = await send_many(d.nodes[0], (route,), "own", count=12)
        assert count_served(d, answers) == len(answers)
        sent_ids = [i for i in d.links[0].sent_ids if "-own-" in i]
        assert len(sent_ids) == len(answers)


@pytest.mark.parametrize("route", ["safe", "stream"])
async def test_requests_over_silent_links_are_not_quarantined(route):
    # Guards against sound requests that nodes refuse because they timed out over
    # silent links.
    async with run_nodes("z1", "z1", timeout_ms=2000, **servers_of(route)) as d:
        await check_service(d, LinkCut.ACCEPTED, (route,), {0})
        for node in d.nodes:
            assert node.entry is not None
            assert node.entry._poison_detector.quarantined_count() == 0


@pytest.mark.parametrize("route", ROUTES)
async def test_requests_outlast_the_silence_of_all_servers_at_all_nodes(route):
    # Guards against nodes that refuse requests, or pass them to and fro, because all
    # servers fall silent for 1.6 s and go on.
    async with run_nodes("z1", "z1", timeout_ms=6000, **servers_of(route)) as d:
        await warm_up(d, (route,))
        d.cut(LinkCut.ACCEPTED, 0, 1)
        sending = [
            asyncio.create_task(
                send_many(
                    node, (route,), "silent", count=8, interval_s=0.2, deadline_ms=6000
                )
            )
            for node in d.nodes
        ]
        await asyncio.sleep(1.6)
        for links in d.links:
            links.restore()
        for answers in await asyncio.gather(*sending):
            assert count_served(d, answers) == len(answers), answers
