"""Tests that no response mixes requests, repeats tokens or ends too early unnoticed."""

import datetime

import pytest
from prometheus_client import CollectorRegistry

from pomelolug.engines import (
    EngineRefusedError,
    EngineUnavailableError,
    GenerationRequest,
    StreamEnd,
    TokenEvent,
)
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.gateway._attempt import AttemptResult, Progress, run_attempt
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway.tests.harness import ListSink
from pomelolug.testing import LoopClock
from pomelolug.testing._scripted_engine import Delay, ScriptedEngine, token_events

pytestmark = pytest.mark.looptime

END = StreamEnd("r1", 4, "stop")


async def run_scripted_attempt(steps, *, sink=None, position=0):
    engine = ScriptedEngine([lambda request: steps])
    sink = sink or ListSink()
    progress = Progress("r1", 0.0)
    progress.position = position
    registry = CollectorRegistry()
    engine_request = GenerationRequest(request_id="r1", group="g", token=1, body={})
    result = await run_attempt(
        engine,
        "leader",
        engine_request,
        sink,
        progress,
        clock=LoopClock(),
        metrics=GatewayMetrics(registry),
        first_timeout=datetime.timedelta(seconds=2),
        gap_timeout=datetime.timedelta(seconds=1),
        write_timeout=datetime.timedelta(seconds=5),
    )
    assert engine.closed_streams == 1
    return result, sink, progress


async def test_complete_response():
    result, sink, _ = await run_scripted_attempt([*token_events("r1", 0, 4), END])
    assert result is AttemptResult.COMPLETE
    assert [position for position, _ in sink.texts] == [0, 1, 2, 3]
    assert sink.end_token_count == 4


@pytest.mark.parametrize(
    "steps",
    [
        # An event of another request on the same connection.
        [*token_events("r1", 0, 2), TokenEvent("r2", 2, "x"), END],
        # A missing token.
        [*token_events("r1", 0, 2), *token_events("r1", 3, 4), END],
        # An end marker that counts more tokens than arrived.
        [*token_events("r1", 0, 3), END],
        # An end marker of another request.
        [*token_events("r1", 0, 4), StreamEnd("r2", 4, "stop")],
        # A connection that ends without an end marker.
        [*token_events("r1", 0, 4), EngineUnavailableError("lost", maybe_ran=True)],
    ],
)
async def test_inconsistent_stream_is_not_reported_as_complete(steps):
    result, sink, progress = await run_scripted_attempt(steps)
    assert result is AttemptResult.CUT
    assert sink.end_token_count is None
    assert progress.position == len(sink.texts) <= 4


async def test_repeated_tokens_are_dropped():
    steps = [*token_events("r1", 0, 3), *token_events("r1", 1, 4), END]
    result, sink, _ = await run_scripted_attempt(steps)
    assert result is AttemptResult.COMPLETE
    assert [position for position, _ in sink.texts] == [0, 1, 2, 3]


async def test_silent_connection_is_detected_after_the_gap_timeout():
    steps = [*token_events("r1", 0, 2), Delay(60.0), *token_events("r1", 2, 4), END]
    clock = LoopClock()
    started_at_s = clock.monotonic()
    result, _, progress = await run_scripted_attempt(steps)
    assert result is AttemptResult.SILENT
    assert progress.position == 2
    assert clock.monotonic() - started_at_s == pytest.approx(1.0, abs=0.1)


async def test_caller_that_does_not_read_causes_an_error():
    sink = ListSink(write_delay_s=60.0)
    with pytest.raises(RequestError) as caught:
        await run_scripted_attempt([*token_events("r1", 0, 4), END], sink=sink)
    assert caught.value.code is ErrorCode.CALLER_TOO_SLOW


async def test_slow_caller_does_not_count_as_silence_of_the_engine():
    sink = ListSink(write_delay_s=3.0)
    result, _, _ = await run_scripted_attempt(
        [*token_events("r1", 0, 4), END], sink=sink
    )
    assert result is AttemptResult.COMPLETE


async def test_refusal_and_unreachable_engine_are_distinguished_from_a_cut():
    result, _, progress = await run_scripted_attempt(
        [EngineRefusedError("stale_token")]
    )
    assert result is AttemptResult.REFUSED
    assert progress.refusal_reason == "stale_token"
    result, _, _ = await run_scripted_attempt(
        [EngineUnavailableError("x", maybe_ran=False)]
    )
    assert result is AttemptResult.NOT_REACHED
