"""Previews of requests without a network: explanations, and that nothing changes."""

import asyncio
import dataclasses
import datetime

import pytest

from pomelolug.deployment import GroupState, ServerState
from pomelolug.entry.dispatch import DispatcherAddresses, Holder
from pomelolug.entry.dispatch.tests.dispatch_fixtures import make_question
from pomelolug.entry.performance import DeclaredDelayEstimator
from pomelolug.entry.preview import (
    GroupPreview,
    PreviewQuery,
    RankingReport,
    RequestPreview,
)
from pomelolug.entry.preview.tests.preview_node import (
    DISPATCHER,
    OWN,
    REQUEST,
    STREAM,
    PreviewNode,
)
from pomelolug.entry.tests.choice_simulation import SLOTS

SECOND = datetime.timedelta(seconds=1)


def reasons(preview: RequestPreview, server: str) -> list[str]:
    found = next(s for s in preview.servers if s.server == server)
    return [exclusion.reason.value for exclusion in found.excluded]


def suspect(node: PreviewNode) -> None:
    node.tracker.suspect("a0")


def hear_suspicion(node: PreviewNode) -> None:
    node.hear(suspects=("a0",))


def refuse(node: PreviewNode) -> None:
    node.tracker.record_refusal("a0")


def fill(node: PreviewNode) -> None:
    node.tracker.load("a0").in_flight = 40 * SLOTS


def degrade(node: PreviewNode) -> None:
    for vm in ("a1", "b0"):
        head = node.servers[vm]
        membership = dataclasses.replace(head.membership, rank=1)
        node.write(dataclasses.replace(head, vm=f"{vm}-1", membership=membership))
    node.tracker.refresh({("llm", "small"): 2})


def close_group(node: PreviewNode) -> None:
    head = node.servers["a0"]
    closing = dataclasses.replace(head.membership, state=GroupState.CLOSING)
    node.write(dataclasses.replace(head, membership=closing, start_time_ms=20))


def restart(node: PreviewNode) -> None:
    node.write(dataclasses.replace(node.servers["p-a0"], start_time_ms=20))


def take_cold_share(node: PreviewNode) -> None:
    restart(node)
    while node.limiter.try_take("p-a0") is not None:
        pass


def take_limited_share(node: PreviewNode) -> None:
    node.notice("p-a0", request_limit_per_s=0.5)
    while node.limiter.try_take("p-a0") is not None:
        pass


def stop(node: PreviewNode) -> None:
    node.write(
        dataclasses.replace(
            node.servers["p-a0"], state=ServerState.DRAINING, start_time_ms=20
        )
    )


@pytest.mark.parametrize(
    ("change", "query", "server", "reason"),
    [
        (lambda n: n.evacuate("a"), STREAM, "a0", "zone_evacuated"),
        (lambda n: n.evacuate("a"), REQUEST, "p-a0", "zone_evacuated"),
        (lambda n: n.notice("a0", pause=SECOND), STREAM, "a0", "pause"),
        (lambda n: n.notice("p-a0", is_leaving=True), REQUEST, "p-a0", "leaving"),
        (take_cold_share, REQUEST, "p-a0", "cold"),
        (take_limited_share, REQUEST, "p-a0", "limit"),
        (suspect, STREAM, "a0", "suspected"),
        (hear_suspicion, STREAM, "a0", "suspected_by_peer"),
        (refuse, STREAM, "a0", "recently_full"),
        (degrade, STREAM, "a0", "degraded"),
        (fill, STREAM, "a0", "no_room"),
        (close_group, STREAM, "a0", "not_ready"),
        (stop, REQUEST, "p-a0", "not_ready"),
    ],
)
async def test_exclusion_of_a_server_is_named(change, query, server, reason):
    # Guards against a preview that names a server as a candidate which gets no request.
    node = PreviewNode()
    assert reasons(await node.previewer.preview(query), server) == []
    change(node)
    preview = await node.previewer.preview(query)
    assert reasons(preview, server) == [reason]
    assert preview.choice is not None and preview.choice.server != server
    assert (await node.choose(query)).vm == preview.choice.server


async def test_all_reasons_of_a_server_are_named():
    # Guards against an engineer who removes one cause and finds the next.
    node = PreviewNode()
    node.notice("a0", pause=SECOND, is_leaving=True)
    for change in (suspect, hear_suspicion, refuse, fill):
        change(node)
    node.evacuate("a")
    assert set(reasons(await node.previewer.preview(STREAM), "a0")) == {
        "leaving",
        "zone_evacuated",
        "pause",
        "suspected",
        "suspected_by_peer",
        "recently_full",
        "no_room",
    }


async def test_bound_of_a_cold_server_is_shown():
    # Guards against a server that gets few requests for no visible reason.
    node = PreviewNode()
    restart(node)
    preview = await node.previewer.preview(REQUEST)
    server = next(s for s in preview.servers if s.server == "p-a0")
    (bound,) = server.bounds
    assert (bound.kind, bound.accepted_requests, bound.rate_per_s) == ("cold", 1.0, 1.0)
    assert any("p-a0" in text for text in preview.unknown)


async def test_figures_of_a_group_are_those_that_decide():
    # Guards against loads and delays in the preview that differ from the real ones.
    node = PreviewNode()
    node.tracker.load("a0").in_flight = 2
    node.hear(load={"a0": 3})
    query = replace_fields(STREAM, prompt_tokens=900)
    preview = await node.previewer.preview(query)
    group = next(s for s in preview.servers if s.server == "a0")
    assert (group.in_flight, group.own_in_flight, group.limit) == (5, 2, SLOTS)
    engine = node.declaration.services["llm"].engine
    expected_s = DeclaredDelayEstimator().first_event_s(
        node.servers["a0"], engine, engine.models[0], in_flight=5, prompt_tokens=900
    )
    assert group.declared_delay_s == pytest.approx(expected_s, abs=1e-4)
    assert (preview.route, preview.kind, preview.account) == (
        "stream",
        "stream",
        "account-a",
    )
    assert (preview.urgency, preview.target_s, preview.deadline_s) == (3, 0.3, 6.0)


def replace_fields(query: PreviewQuery, **fields: object) -> PreviewQuery:
    known = {name: getattr(query, name) for name in query.__struct_fields__}
    return PreviewQuery(**known | fields)


@pytest.mark.parametrize("has_dispatcher", [False, True])
@pytest.mark.parametrize("query", [STREAM, REQUEST])
async def test_preview_changes_nothing_and_names_the_next_choice(query, has_dispatcher):
    # Guards against a preview that takes a token, counts, learns, records a question or
    # draws a number, so that requests go elsewhere than without it.
    async def choose_all(is_previewed: bool) -> tuple[list[str | None], object]:
        node = PreviewNode(seed=7, has_dispatcher=has_dispatcher)
        restart(node)
        node.notice("p-b0", request_limit_per_s=2.0)
        node.notice("p-a1", request_limit_per_s=3.0)
        choices = []
        for number in range(40):
            node.clock.time_s += 0.11
            named = None
            if is_previewed:
                before = node.state()
                preview = await node.previewer.preview(query)
                assert node.state() == before
                named = preview.choice.server if preview.choice else None
            if number == 20:
                node.notice("a1", pause=SECOND)
                node.notice("p-a1", pause=SECOND)
                choices.append(None)
                continue
            server = await node.choose(query)
            choices.append(server.vm if server is not None else None)
            if is_previewed:
                assert named == choices[-1]
        return choices, node.state()

    assert await choose_all(True) == await choose_all(False)


async def test_node_serves_requests_while_it_describes_many_servers():
    # Guards against a node that stands still for a preview of a large service.
    node = PreviewNode()
    for number in range(200):
        server = dataclasses.replace(node.servers["p-a0"], vm=f"q{number}")
        node.write(server)
    turns = 0

    async def take_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    task = asyncio.get_running_loop().create_task(take_turns())
    preview = await node.previewer.preview(REQUEST)
    task.cancel()
    assert len(preview.servers) == 203
    assert turns >= 10


@pytest.mark.parametrize(
    ("fields", "status", "code"),
    [
        ({"path": "/other/"}, 404, "unknown_class"),
        ({"host": "other"}, 404, "unknown_class"),
        ({"account": None}, 401, "unauthenticated"),
        ({"account": "other"}, 401, "unauthenticated"),
        ({"model": "other"}, 503, "no_group"),
        ({"model": None}, 503, "no_group"),
    ],
)
async def test_refusal_is_the_error_that_the_caller_gets(fields, status, code):
    # Guards against a preview that fails where a request is refused.
    preview = await PreviewNode().previewer.preview(replace_fields(STREAM, **fields))
    assert preview.choice is None
    assert (preview.refusal.status, preview.refusal.code) == (status, code)


async def test_retry_after_of_a_refusal_is_a_range():
    # Guards against a Retry-After that no caller gets.
    node = PreviewNode()
    for vm in ("a0", "a1", "b0"):
        node.notice(vm, pause=2 * SECOND)
    refusal = (await node.previewer.preview(STREAM)).refusal
    assert refusal.code == "server_paused"
    least_s, most_s = refusal.retry_after_s
    # The pause is extended by up to a tenth, callers return over half of its length.
    assert 2.0 <= least_s <= 2.2
    assert most_s == pytest.approx(least_s + 1.0, abs=0.01)


async def test_node_that_is_cut_off_passes_the_request_on():
    # Guards against a preview that names servers which the node does not reach.
    node = PreviewNode()
    node.contact.is_cut_off = True
    node.exit_nodes = ["127.0.0.7:1", "127.0.0.8:1"]
    for query in (STREAM, REQUEST):
        preview = await node.previewer.preview(query)
        assert preview.passed_on.reason.value == "cut_off"
        assert list(preview.passed_on.nodes) == node.exit_nodes
        assert preview.choice is None and preview.refusal is None
    node.exit_nodes = []
    preview = await node.previewer.preview(STREAM)
    assert preview.refusal.code == "backend_unreachable"
    assert preview.refusal.retry_after_s == (0.8, 1.2)


async def test_stream_is_passed_on_if_all_heads_are_suspected():
    # Guards against a refusal in the preview of what another node serves.
    node = PreviewNode()
    node.exit_nodes = ["127.0.0.7:1"]
    for vm in ("a0", "a1", "b0"):
        node.tracker.suspect(vm)
    preview = await node.previewer.preview(STREAM)
    assert preview.passed_on.reason.value == "heads_suspected"


async def test_dispatcher_decides_by_its_own_counts():
    # Guards against a preview by the loads of the node while a dispatcher decides.
    node = PreviewNode(has_dispatcher=True)
    for serial in range(3):
        question = make_question(excluded=["a1"])
        node.dispatcher.decide(Holder("127.0.0.3:1", 1), serial, question)
    preview = await node.previewer.preview(STREAM)
    assert (preview.choice.server, preview.choice.decided_by) == ("a1", OWN)
    assert preview.choice.how == "assigned"
    (asked,) = preview.dispatchers
    loads = {group.server: group.in_flight for group in asked.ranking.groups}
    assert loads == {"a0": 3, "a1": 0}
    assert reasons(preview, "b0") == ["other_zone"]


async def test_full_zone_of_a_dispatcher_refuses_the_stream():
    # Guards against candidates that the dispatcher gives no further streams.
    node = PreviewNode()
    node.dispatch.set_addresses(DispatcherAddresses((DISPATCHER,)))
    groups = tuple(
        GroupPreview(
            server=vm, in_flight=20, limit=7, delay_s=1, score_s=1, has_room=False
        )
        for vm in ("a0", "a1")
    )
    node.rankings[DISPATCHER] = RankingReport(node="d", groups=groups, has_groups=True)
    preview = await node.previewer.preview(STREAM)
    assert (preview.refusal.code, preview.choice) == ("queue_full", None)
    assert preview.dispatchers[0].result.value == "no_room"
    assert reasons(preview, "a0") == reasons(preview, "a1") == ["no_room"]


async def test_lost_dispatcher_is_shown_with_the_choice_of_the_node_alone():
    # Guards against a preview that fails with the dispatcher.
    node = PreviewNode()
    node.dispatch.set_addresses(DispatcherAddresses((DISPATCHER, "127.0.0.3:1")))
    node.tracker.load("a0").in_flight = 5
    preview = await node.previewer.preview(STREAM)
    assert [(d.role, d.result.value) for d in preview.dispatchers] == [
        ("dispatcher", "no_reply"),
        ("stand_in", "no_reply"),
    ]
    assert "lost" in preview.dispatchers[0].error
    assert (preview.choice.server, preview.choice.how) == ("a1", "no_reply")
    assert preview.choice.decided_by == "n"
