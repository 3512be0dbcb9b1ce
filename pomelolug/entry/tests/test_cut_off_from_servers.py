"""Requests at nodes that reach no server while other nodes reach all of them."""

import asyncio
import time

import pytest

from pomelolug.entry.requests import RequestContext
from pomelolug.entry.tests.cut_off_nodes import (
    DETECTION_S,
    MAX_S,
    ROUTES,
    STREAM_HEADERS,
    TIMEOUT_MS,
    check_service,
    count_served,
    keep_sending,
    run_nodes,
    send,
    send_many,
    warm_up,
)
from pomelolug.entry.tests.harness import encode_caller_request
from pomelolug.entry.tests.server_links import LinkCut

PROMPT_HEADERS = {"Prompt_Prefix": "5c1e07a2:40,91bd3f06:60"}


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_requests_at_a_node_without_servers_are_served(kind, route):
    # Guards against a node that refuses its callers because it reaches no server
    # itself, and against unsafe requests that run twice on the way.
    async with run_nodes("z1", "z1") as deployment:
        await check_service(deployment, kind, (route,), {0})


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_requests_at_a_zone_without_servers_are_served(kind):
    # Guards against nodes that pass requests on within their zone only.
    async with run_nodes("z1", "z1", "z2") as deployment:
        await check_service(deployment, kind, ROUTES, {0, 1})


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_stream_outlasts_the_cut_of_its_node(kind):
    # Guards against a stream that ends, or has a gap or an event twice, because its
    # node loses its links.
    async with run_nodes("z1", "z1", event_count=12, event_interval_s=0.1) as d:
        connection = await d.nodes[0].connect()
        connection.send(
            encode_caller_request(
                "/stream/x",
                method=b"POST",
                request_id="stream-1",
                deadline_ms=TIMEOUT_MS,
                **STREAM_HEADERS,
            )
        )
        assert (await connection.read_head()).status == 200
        events, gaps_s = [], []
        while True:
            asked_s = time.monotonic()
            chunk = await connection.read_chunk()
            if chunk is None:
                break
            events.append(chunk)
            gaps_s.append(time.monotonic() - asked_s)
            if len(events) == 3:
                d.cut(kind, 0)
        assert b"".join(events) == d.servers.whole_stream
        # Callers leave after 2 s without an event.
        assert max(gaps_s) < 2.0


async def test_stream_that_moves_to_another_node_states_its_running_attempt(
    monkeypatch,
):
    # Guards against a stream that runs more often than its route allows, since the
    # other node does not know of the run that has not ended.
    stated_runs = []
    encode = RequestContext.encode_for_peer

    def record(self, **values):
        stated_runs.append(values["possible_runs"])
        return encode(self, **values)

    monkeypatch.setattr(RequestContext, "encode_for_peer", record)
    async with run_nodes("z1", "z1", event_count=12, event_interval_s=0.1) as d:
        answer = asyncio.create_task(
            send(d.nodes[0], "stream", "moved", deadline_ms=TIMEOUT_MS)
        )
        await asyncio.sleep(0.4)
        d.cut(LinkCut.SILENT, 0)
        assert count_served(d, [("stream", await answer)]) == 1
        assert stated_runs == [1]


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_restored_node_serves_by_itself(kind):
    # Guards against a node that depends on others after its links are restored.
    async with run_nodes("z1", "z1") as deployment:
        await check_service(deployment, kind, ROUTES, {0})
        deployment.links[0].restore()
        for answers in await keep_sending(deployment, ROUTES, "restored"):
            assert count_served(deployment, answers) == len(answers)
        deployment.cut(kind, 1)
        answers = await send_many(deployment.nodes[0], ROUTES, "own", count=12)
        assert count_served(deployment, answers) == len(answers)
        sent_ids = [i for i in deployment.links[0].sent_ids if "-own-" in i]
        assert len(sent_ids) == len(answers)


@pytest.mark.parametrize("route", ["safe", "stream"])
@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_caller_who_leaves_ends_the_run_through_another_node(kind, route):
    # Guards against a run that goes on at a server after its caller has left.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, (route,))
        deployment.cut(kind, 0)
        await keep_sending(deployment, (route,))
        servers, node = deployment.servers, deployment.nodes[0]
        connection = await node.connect()
        connection.send(
            encode_caller_request(
                f"/{route}/hold",
                method=b"POST" if route == "stream" else b"GET",
                deadline_ms=TIMEOUT_MS,
                **STREAM_HEADERS,
            )
        )
        async with asyncio.timeout(1.0):
            while not servers.held:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        connection.close()
        async with asyncio.timeout(0.5):
            while servers.ended < servers.held:  # noqa: ASYNC110
                await asyncio.sleep(0.01)


async def test_node_without_servers_rejects_bad_requests():
    # Guards against requests that are passed on before they are checked, or that get
    # another status than at a sound node.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, ROUTES)
        deployment.cut(LinkCut.SILENT, 0)
        await keep_sending(deployment, ROUTES)
        for node in deployment.nodes:
            for route in ROUTES:
                head, _ = await node.request(f"/{route}/x", key="unknown")
                assert head.status == 401
                head, _ = await node.request(f"/{route}/x", key=None)
                assert head.status == 401
            head, _ = await node.request("/other/x")
            assert head.status == 404


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_requests_are_refused_at_once_if_all_nodes_are_cut_off(kind):
    # Guards against requests that nodes without servers pass to and fro, and against
    # callers that wait for a refusal.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, ROUTES)
        deployment.cut(kind, 0, 1)
        await keep_sending(deployment, ROUTES)
        answers = await asyncio.gather(
            *(send_many(node, ROUTES, "late") for node in deployment.nodes)
        )
        answers = [answer for of_node in answers for answer in of_node]
        # Kept connections go on to serve, but unsafe requests need new ones.
        kept = {200} if kind is LinkCut.NEW_REFUSED else set()
        for route in ROUTES:
            statuses = {answer.status for r, answer in answers if r == route}
            assert 503 in statuses or kept, route
            assert statuses <= {503} | (kept if route != "once" else set()), route
        assert max(answer.took_s for _, answer in answers) < MAX_S
        for links in deployment.links:
            late = {i: n for i, n in links.passed_on_ids.items() if "-late-" in i}
            assert max(late.values(), default=0) <= 1
        first, second = (set(links.passed_on_ids) for links in deployment.links)
        assert first & second == set()


async def test_passed_on_request_keeps_its_deadline():
    # Guards against a deadline that begins again at each node.
    async with run_nodes("z1", "z1") as deployment:
        await warm_up(deployment, ROUTES)
        deployment.cut(LinkCut.RESET, 0)
        await keep_sending(deployment, ROUTES)
        for route in ROUTES:
            answer = await send(deployment.nodes[0], route, "due", deadline_ms=800)
            assert answer.status == 200
            deadlines_ms = deployment.servers.deadlines_ms[f"{route}-due"]
            assert 0 < min(deadlines_ms)
            assert max(deadlines_ms) <= 800


async def test_sound_servers_stay_in_use_after_the_cut_of_a_node():
    # Guards against servers that other nodes avoid, and prompt parts that they refuse,
    # because streams with these parts broke off at a node that was cut off.
    async with run_nodes(
        "z1", "z1", plain=0, groups=8, event_count=20, event_interval_s=0.05
    ) as deployment:
        cut_off, other = deployment.nodes
        in_flight = [
            asyncio.create_task(
                send(
                    cut_off,
                    "stream",
                    f"early-{number}",
                    deadline_ms=TIMEOUT_MS,
                    **PROMPT_HEADERS,
                )
            )
            for number in range(12)
        ]
        async with asyncio.timeout(1.0):
            while sum(deployment.servers.runs.values()) < 12:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        deployment.cut(LinkCut.SILENT, 0)
        for burst in range(2):
            answers = await asyncio.gather(
                *(
                    send(other, "stream", f"{burst}-{number}", **PROMPT_HEADERS)
                    for number in range(4)
                )
            )
            during = [("stream", answer) for answer in answers]
            assert count_served(deployment, during) == 4
        early = await asyncio.gather(*in_flight)
        assert count_served(deployment, [("stream", answer) for answer in early]) == 12
        await asyncio.sleep(DETECTION_S)
        # All groups are needed for as many streams as there are slots.
        answers = await asyncio.gather(
            *(
                send(other, "stream", f"late-{number}", **PROMPT_HEADERS)
                for number in range(32)
            )
        )
        late = [("stream", answer) for answer in answers]
        assert count_served(deployment, late) == 32
        for server in cut_off.servers:
            assert any("late" in r.request_id for r in server.requests)


@pytest.mark.parametrize("kind", LinkCut, ids=lambda kind: kind.value)
async def test_cut_concerns_one_node_until_its_end(kind):
    # Guards against a stand-in that cuts nothing, other nodes as well, or for good.
    async with run_nodes(
        "z1", "z1", groups=1, event_count=8, event_interval_s=0.1
    ) as d:
        streams = [
            asyncio.create_task(send(node, "stream", node.ip)) for node in d.nodes
        ]
        await asyncio.sleep(0.3)
        d.cut(kind, 0)
        # Its request needs a new connection, and none of them is opened.
        _, other = await asyncio.gather(
            *(send(node, "once", node.ip, deadline_ms=400) for node in d.nodes)
        )
        assert d.links[0].sent_ids[f"once-{d.nodes[0].ip}"] == 0
        assert other.status == 200
        d.links[0].restore()
        of_cut_off, of_other = [await stream for stream in streams]
        assert of_other.body == d.servers.whole_stream
        if kind is not LinkCut.RESET:
            assert of_cut_off.body == d.servers.whole_stream
        answer = await send(d.nodes[0], "once", "restored")
        assert answer.status == 200
