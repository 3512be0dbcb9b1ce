"""Guards the promises about resumption, outcomes and single execution."""

import asyncio

import pytest

from pomelolug.engines import (
    EngineRefusedError,
    EngineUnavailableError,
    StreamEnd,
)
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway.tests.flow_bench import FlowBench, ListSink, request, status
from pomelolug.messages import Suspicion
from pomelolug.testing._scripted_engine import ScriptedEngine, Silence, tokens

pytestmark = pytest.mark.looptime

LOST = EngineUnavailableError("lost", maybe_ran=True)


def answer(order):
    return [*tokens("r1", order.resume_from, 4), StreamEnd("r1", 4, "stop")]


def cut_after(count):
    return lambda order: [*tokens("r1", order.resume_from, count), LOST]


def refuse(order):
    return [EngineRefusedError("stale_token")]


def unreachable(order):
    return [EngineUnavailableError("refused", maybe_ran=False)]


async def failing(bench, call, sink=None):
    with pytest.raises(RequestError) as caught:
        await bench.flow.run(call, sink or ListSink())
    return caught.value


async def test_cut_stream_resumes_at_the_exact_position_on_another_group():
    engine = ScriptedEngine([cut_after(2), answer])
    bench = FlowBench(engine)
    bench.update(status("g1"), status("g2", token=2))
    sink = ListSink()
    await bench.flow.run(request(), sink)
    assert [position for position, _ in sink.texts] == [0, 1, 2, 3]
    assert sink.ended == 4
    (first, _), (second, order) = engine.requests
    assert first != second
    assert order.resume_from == 2


async def test_stream_that_cannot_be_resumed_ends_with_an_error():
    bench = FlowBench(ScriptedEngine([cut_after(2)]))
    bench.update(status("g1"))
    sink = ListSink()
    error = await failing(bench, request(), sink)
    assert error.code in (ErrorCode.STREAM_CUT, ErrorCode.BACKEND_LOST)
    assert error.outcome is Outcome.UNKNOWN
    assert sink.ended is None


async def test_not_run_is_not_said_after_an_attempt_that_may_have_run():
    # The last attempt was refused, but an earlier one had reached an engine.
    bench = FlowBench(ScriptedEngine([cut_after(0), refuse]))
    bench.update(status("g1"), status("g2", token=2))
    error = await failing(bench, request())
    assert error.outcome is Outcome.UNKNOWN


async def test_not_run_is_said_if_every_attempt_was_refused():
    bench = FlowBench(ScriptedEngine([refuse]))
    bench.update(status("g1"), status("g2", token=2))
    error = await failing(bench, request(deadline_s=3))
    assert error.outcome is Outcome.NOT_RUN
    assert error.retry_after is not None


async def test_non_idempotent_request_is_sent_once_when_it_may_have_run():
    engine = ScriptedEngine([cut_after(0), answer])
    bench = FlowBench(engine)
    bench.update(status("g1"), status("g2", token=2))
    error = await failing(bench, request(idempotent=False, key="k"))
    assert error.code is ErrorCode.OUTCOME_UNKNOWN
    assert len(engine.requests) == 1
    assert bench.claims.updates == ["unknown"]


async def test_non_idempotent_request_tries_again_with_proof_that_nothing_ran():
    engine = ScriptedEngine([refuse, unreachable, answer])
    bench = FlowBench(engine)
    bench.update(status("g1"), status("g2", token=2), status("g3", token=3))
    sink = ListSink()
    await bench.flow.run(request(idempotent=False, key="k"), sink)
    assert sink.ended == 4
    assert bench.claims.asked == 1
    assert bench.claims.updates == ["answered"]


async def test_claim_that_was_not_granted_sends_nothing():
    engine = ScriptedEngine([answer])
    bench = FlowBench(engine, verdict="in_progress")
    bench.update(status("g1"))
    error = await failing(bench, request(idempotent=False, key="k"))
    assert error.code is ErrorCode.IN_PROGRESS
    assert error.outcome is Outcome.UNKNOWN
    assert engine.requests == []


async def test_cancelled_before_dispatch_releases_the_claim():
    engine = ScriptedEngine([answer])
    bench = FlowBench(engine)
    bench.update(status("g1"))
    bench.view.on_refused("g1", "stale_token")
    task = asyncio.create_task(
        bench.flow.run(request(idempotent=False, key="k"), ListSink())
    )
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert engine.requests == []
    assert bench.claims.updates in ([], ["released"])


async def test_cancelled_after_dispatch_is_recorded_as_unknown():
    engine = ScriptedEngine([lambda order: [Silence(60.0)]])
    bench = FlowBench(engine)
    bench.update(status("g1"))
    task = asyncio.create_task(
        bench.flow.run(request(idempotent=False, key="k"), ListSink())
    )
    await asyncio.sleep(0.5)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert bench.claims.updates == ["unknown"]
    assert engine.closed == 1


async def test_expired_verification_keeps_a_group_from_being_used():
    engine = ScriptedEngine([answer])
    bench = FlowBench(engine)
    bench.update(status("g1", age_s=2.5))
    await asyncio.sleep(1.0)
    error = await failing(bench, request())
    assert error.outcome is Outcome.NOT_RUN
    assert engine.requests == []


async def test_crashing_request_is_stopped_after_two_losses():
    engine = ScriptedEngine([cut_after(1)])
    bench = FlowBench(engine)
    groups = [status(f"g{n}", token=n, domain=f"d{n}") for n in range(6)]
    bench.update(*groups)

    async def lose_groups():
        lost = set()
        while True:
            await asyncio.sleep(0.5)
            lost |= {address.removesuffix("-leader") for address, _ in engine.requests}
            bench.update(
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

    losing = asyncio.create_task(lose_groups())
    error = await failing(bench, request())
    assert error.code is ErrorCode.QUARANTINED
    assert len({address for address, _ in engine.requests}) == 2
    # Sent again under a new key: refused before anything is sent.
    again = await failing(bench, request())
    losing.cancel()
    assert again.code is ErrorCode.QUARANTINED
    assert again.outcome is Outcome.NOT_RUN
    assert len(engine.requests) == 2


async def test_retry_budget_bounds_attempts_when_all_groups_fail():
    engine = ScriptedEngine([cut_after(0)])
    bench = FlowBench(engine)
    bench.update(*(status(f"g{n}", token=n) for n in range(6)))
    requests = 40
    for _ in range(requests):
        await failing(bench, request())
    # A retry needs a success or a part of the reserve of 3.
    assert len(engine.requests) <= requests * 1.1 + 3


async def test_request_sent_again_elsewhere_is_held_until_losses_are_decided():
    # Two gateways saw the request break; neither loss is reported yet. A third
    # group must not be risked meanwhile.
    engine = ScriptedEngine([answer])
    bench = FlowBench(engine)
    bench.update(status("g1"), status("g2", token=2), status("g3", token=3))
    call = request()
    for group, token in (("g1", 1), ("g2", 2)):
        bench.suspicions.add(
            Suspicion(
                node="n2", group=group, token=token, fingerprints=(call.fingerprint,)
            )
        )
    running = asyncio.create_task(bench.flow.run(call, ListSink()))
    await asyncio.sleep(1.0)
    assert engine.requests == []
    # Both groups are verified after the break: the request was not to blame.
    bench.update(status("g1"), status("g2", token=2), status("g3", token=3))
    await running
    assert len(engine.requests) == 1


async def test_copies_of_a_struck_request_run_one_at_a_time():
    # Two copies side by side would cost a group each.
    engine = ScriptedEngine([answer])
    bench = FlowBench(engine, verdict="in_progress")
    bench.update(status("g1"), status("g2", token=2))
    call = request()
    bench.suspicions.add(
        Suspicion(node="n2", group="g9", token=9, fingerprints=(call.fingerprint,))
    )
    error = await failing(bench, call)
    assert error.code is ErrorCode.IN_PROGRESS
    assert engine.requests == []


async def test_struck_request_runs_without_an_answer_from_the_log():
    engine = ScriptedEngine([answer])
    bench = FlowBench(engine, verdict="unavailable")
    bench.update(status("g1"))
    call = request()
    bench.suspicions.add(
        Suspicion(node="n2", group="g9", token=9, fingerprints=(call.fingerprint,))
    )
    sink = ListSink()
    await bench.flow.run(call, sink)
    assert sink.ended == 4
