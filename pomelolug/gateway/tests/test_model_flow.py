"""Tests of resumption, reported outcomes and at-most-once execution."""

import asyncio

import pytest

from pomelolug.engines import (
    EngineRefusedError,
    EngineUnavailableError,
    StreamEnd,
)
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway.tests.harness import (
    ListSink,
    ModelHandlerHarness,
    request,
    status,
)
from pomelolug.messages import Suspicion
from pomelolug.testing._scripted_engine import Delay, ScriptedEngine, token_events

pytestmark = pytest.mark.looptime

LOST = EngineUnavailableError("lost", maybe_ran=True)


def respond(engine_request):
    return [
        *token_events("r1", engine_request.resume_from, 4),
        StreamEnd("r1", 4, "stop"),
    ]


def cut_after(count):
    return lambda engine_request: [
        *token_events("r1", engine_request.resume_from, count),
        LOST,
    ]


def refuse(engine_request):
    return [EngineRefusedError("stale_token")]


def unreachable(engine_request):
    return [EngineUnavailableError("refused", maybe_ran=False)]


async def expect_error(harness, caller_request, sink=None):
    with pytest.raises(RequestError) as caught:
        await harness.handler.handle(caller_request, sink or ListSink())
    return caught.value


async def test_cut_stream_resumes_at_its_position_on_another_group():
    engine = ScriptedEngine([cut_after(2), respond])
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1"), status("g2", token=2))
    sink = ListSink()
    await harness.handler.handle(request(), sink)
    assert [position for position, _ in sink.texts] == [0, 1, 2, 3]
    assert sink.end_token_count == 4
    (first, _), (second, engine_request) = engine.requests
    assert first != second
    assert engine_request.resume_from == 2


async def test_stream_outlasts_the_pause_of_its_only_group():
    # Guards against a stream that is given up because its sound group pauses.
    engine = ScriptedEngine(
        [
            lambda engine_request: [
                *token_events("r1", engine_request.resume_from, 2),
                Delay(1.6),
                *token_events("r1", 2, 4),
                StreamEnd("r1", 4, "stop"),
            ]
        ]
    )
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1"))
    sink = ListSink()
    await harness.handler.handle(request(), sink)
    assert sink.end_token_count == 4
    assert len(engine.requests) == 1


async def test_stream_that_cannot_be_resumed_ends_with_an_error():
    harness = ModelHandlerHarness(ScriptedEngine([cut_after(2)]))
    harness.update(status("g1"))
    sink = ListSink()
    error = await expect_error(harness, request(), sink)
    assert error.code in (ErrorCode.STREAM_CUT, ErrorCode.BACKEND_LOST)
    assert error.outcome is Outcome.UNKNOWN
    assert sink.end_token_count is None


async def test_outcome_is_unknown_if_an_earlier_attempt_maybe_ran():
    # The last attempt is refused, but an earlier one has reached an engine.
    harness = ModelHandlerHarness(ScriptedEngine([cut_after(0), refuse]))
    harness.update(status("g1"), status("g2", token=2))
    error = await expect_error(harness, request())
    assert error.outcome is Outcome.UNKNOWN


async def test_outcome_is_not_run_if_every_attempt_was_refused():
    harness = ModelHandlerHarness(ScriptedEngine([refuse]))
    harness.update(status("g1"), status("g2", token=2))
    error = await expect_error(harness, request(deadline_s=3))
    assert error.outcome is Outcome.NOT_RUN
    assert error.retry_after is not None


async def test_non_idempotent_request_that_maybe_ran_is_not_retried():
    engine = ScriptedEngine([cut_after(0), respond])
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1"), status("g2", token=2))
    error = await expect_error(harness, request(idempotent=False, key="k"))
    assert error.code is ErrorCode.OUTCOME_UNKNOWN
    assert len(engine.requests) == 1
    assert harness.control.updates == ["unknown"]


async def test_non_idempotent_request_is_retried_if_nothing_ran():
    engine = ScriptedEngine([refuse, unreachable, respond])
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1"), status("g2", token=2), status("g3", token=3))
    sink = ListSink()
    await harness.handler.handle(request(idempotent=False, key="k"), sink)
    assert sink.end_token_count == 4
    assert harness.control.claim_count == 1
    assert harness.control.updates == ["answered"]


async def test_request_without_a_granted_claim_is_not_sent():
    engine = ScriptedEngine([respond])
    harness = ModelHandlerHarness(engine, verdict="in_progress")
    harness.update(status("g1"))
    error = await expect_error(harness, request(idempotent=False, key="k"))
    assert error.code is ErrorCode.IN_PROGRESS
    assert error.outcome is Outcome.UNKNOWN
    assert engine.requests == []


async def test_cancellation_before_dispatch_releases_the_claim():
    engine = ScriptedEngine([respond])
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1"))
    harness.view.on_refused("g1", "stale_token")
    task = asyncio.create_task(
        harness.handler.handle(request(idempotent=False, key="k"), ListSink())
    )
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert engine.requests == []
    assert harness.control.updates in ([], ["released"])


async def test_cancellation_after_dispatch_records_an_unknown_outcome():
    engine = ScriptedEngine([lambda engine_request: [Delay(60.0)]])
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1"))
    task = asyncio.create_task(
        harness.handler.handle(request(idempotent=False, key="k"), ListSink())
    )
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert harness.control.updates == ["unknown"]
    assert engine.closed_streams == 1


async def test_group_with_expired_verification_is_not_used():
    engine = ScriptedEngine([respond])
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1", age_s=2.5))
    await asyncio.sleep(1.0)
    error = await expect_error(harness, request())
    assert error.outcome is Outcome.NOT_RUN
    assert engine.requests == []


async def test_crashing_request_is_quarantined_after_two_losses():
    engine = ScriptedEngine([cut_after(1)])
    harness = ModelHandlerHarness(engine)
    groups = [status(f"g{n}", token=n, domain=f"d{n}") for n in range(6)]
    harness.update(*groups)

    async def lose_groups():
        lost = set()
        while True:
            await asyncio.sleep(0.5)
            lost |= {address.removesuffix("-leader") for address, _ in engine.requests}
            harness.update(
                *(
                    status(
                        g.group,
                        token=g.token,
                        domain=g.domain,
                        phase="broken" if g.group in lost else "serving",
                    )
                    for g in groups
                )
            )

    losing_task = asyncio.create_task(lose_groups())
    error = await expect_error(harness, request())
    assert error.code is ErrorCode.QUARANTINED
    assert len({address for address, _ in engine.requests}) == 2
    # A second identical request is refused before anything is sent.
    again = await expect_error(harness, request())
    losing_task.cancel()
    assert again.code is ErrorCode.QUARANTINED
    assert again.outcome is Outcome.NOT_RUN
    assert len(engine.requests) == 2


async def test_retry_budget_limits_attempts_when_all_groups_fail():
    engine = ScriptedEngine([cut_after(0)])
    harness = ModelHandlerHarness(engine)
    harness.update(*(status(f"g{n}", token=n) for n in range(6)))
    requests = 40
    for _ in range(requests):
        await expect_error(harness, request())
    # A retry is earned by successes or comes from the reserve of 3.
    assert len(engine.requests) <= requests * 1.1 + 3


async def test_repeated_request_waits_until_suspected_losses_are_resolved():
    # Other gateways saw the stream of the request break on two groups whose losses are
    # not reported yet. Meanwhile the request must not be sent to a third group.
    engine = ScriptedEngine([respond])
    harness = ModelHandlerHarness(engine)
    harness.update(status("g1"), status("g2", token=2), status("g3", token=3))
    caller_request = request()
    for group, token in (("g1", 1), ("g2", 2)):
        harness.suspicions.add(
            Suspicion(
                node="n2",
                group=group,
                token=token,
                fingerprints=(caller_request.fingerprint,),
            )
        )
    task = asyncio.create_task(harness.handler.handle(caller_request, ListSink()))
    await asyncio.sleep(1.0)
    assert engine.requests == []
    # Both groups are verified after the streams broke, so they were not lost.
    harness.update(status("g1"), status("g2", token=2), status("g3", token=3))
    await task
    assert len(engine.requests) == 1


async def test_copies_of_a_request_with_a_strike_do_not_run_concurrently():
    # Two concurrent copies could crash a group each.
    engine = ScriptedEngine([respond])
    harness = ModelHandlerHarness(engine, verdict="in_progress")
    harness.update(status("g1"), status("g2", token=2))
    caller_request = request()
    harness.suspicions.add(
        Suspicion(
            node="n2", group="g9", token=9, fingerprints=(caller_request.fingerprint,)
        )
    )
    error = await expect_error(harness, caller_request)
    assert error.code is ErrorCode.IN_PROGRESS
    assert engine.requests == []


async def test_request_with_a_strike_runs_if_the_log_does_not_respond():
    engine = ScriptedEngine([respond])
    harness = ModelHandlerHarness(engine, verdict="unavailable")
    harness.update(status("g1"))
    caller_request = request()
    harness.suspicions.add(
        Suspicion(
            node="n2", group="g9", token=9, fingerprints=(caller_request.fingerprint,)
        )
    )
    sink = ListSink()
    await harness.handler.handle(caller_request, sink)
    assert sink.end_token_count == 4
