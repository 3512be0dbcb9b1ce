import dataclasses

import msgspec
import pytest

from pomelolug.engines import EngineStatus
from pomelolug.experiments._calls import CallOutcome, CallRecord, plan_calls
from pomelolug.experiments._monitor import count_groups
from pomelolug.experiments._outcomes import evaluate_outcomes
from pomelolug.experiments._simulator_client import BackendState, LedgerSnapshot
from pomelolug.experiments._trace import (
    AccountSpec,
    ClassSpec,
    LoadSpec,
    OutcomeSpec,
    Trace,
)
from pomelolug.experiments._verdict import count_outcomes
from pomelolug.testing._ledger import Execution
from pomelolug.testing._tokens import check_answer, format_token

TRACE = Trace(
    version=1,
    name="t",
    duration_s=4.0,
    random_state=3,
    classes=(ClassSpec(name="c", priority=1, pool="p", ttft_target_s=1.0),),
    accounts=(AccountSpec(name="a"),),
    loads=(LoadSpec(work_class="c", account="a", rate_per_s=5.0, non_idempotent=True),),
)
PLANS = plan_calls(TRACE)


def record(outcome: CallOutcome, *, plan=PLANS[0], text: str | None = None, **more):
    result = CallRecord(plan=plan, gateway="g", sent_s=0.0, ended_s=1.0, **more)
    result.outcome = outcome
    if text is not None:
        result.check = check_answer(text, plan.digest, plan.tokens)
    return result


def complete_text(plan=PLANS[0]) -> str:
    return "".join(format_token(plan.digest, n) for n in range(plan.tokens))


def execution(plan=PLANS[0], request_id: str = "r") -> Execution:
    return Execution(
        request_id=request_id,
        key="",
        digest=plan.digest,
        vm="v",
        group="g",
        token=1,
        started=0.0,
    )


def ledger(*executions: Execution) -> LedgerSnapshot:
    return LedgerSnapshot(executions=executions, violations=(), refusals={}, now=0.0)


def test_call_plan_is_deterministic():
    """Guards against a replay whose load differs from run to run."""
    assert plan_calls(TRACE) == PLANS
    assert len({plan.digest for plan in PLANS}) == len(PLANS) > 10
    assert all(plan.idempotency_key for plan in PLANS)


def test_complete_answer_violates_nothing():
    """Guards against violations reported for a correct run."""
    result = count_outcomes(
        [record(CallOutcome.ANSWERED, text=complete_text())], ledger(execution())
    )
    assert (result.answered, result.broken) == (1, 0)


@pytest.mark.parametrize(
    ("records", "runs", "field"),
    [
        ([record(CallOutcome.LOST)], [], "lost"),
        (
            [record(CallOutcome.ANSWERED, text=complete_text()[:-3])],
            [execution()],
            "truncated",
        ),
        (
            [record(CallOutcome.ANSWERED, text=complete_text() * 2)],
            [execution()],
            "truncated",
        ),
        (
            [record(CallOutcome.ANSWERED, text=complete_text(PLANS[1]))],
            [execution()],
            "crossed",
        ),
        (
            [record(CallOutcome.UNKNOWN, text=complete_text(PLANS[1]))],
            [execution()],
            "crossed",
        ),
        ([record(CallOutcome.NOT_RUN)], [execution()], "not_run_but_executed"),
        (
            [record(CallOutcome.NOT_RUN, request_id="r"), record(CallOutcome.UNKNOWN)],
            [execution()],
            "not_run_but_executed",
        ),
        ([record(CallOutcome.UNKNOWN)], [execution(), execution()], "doubled"),
        (
            [record(CallOutcome.ANSWERED, text=complete_text())] * 2,
            [execution()],
            "doubled",
        ),
    ],
)
def test_violated_guarantee_is_counted(records, runs, field):
    """Guards against a violated guarantee that is not counted."""
    result = count_outcomes(records, ledger(*runs))
    assert getattr(result, field) == 1
    assert result.broken == 1


def test_refused_copy_of_an_executed_call_is_no_violation():
    """Guards against blaming a refused copy for the execution of the other copy."""
    records = [
        record(CallOutcome.NOT_RUN),
        record(CallOutcome.ANSWERED, text=complete_text()),
    ]
    assert count_outcomes(records, ledger(execution())).broken == 0


def test_stream_of_a_killed_gateway_is_not_lost():
    """Guards against counting streams as lost whose entry VM the trace killed."""
    result = count_outcomes(
        [record(CallOutcome.LOST)], ledger(), kill_times_s={"g": 0.5}
    )
    assert (result.lost, result.cut_by_entry_loss) == (0, 1)


def test_missing_figure_fails():
    """Guards against an outcome that passes although nothing was measured."""
    spec = OutcomeSpec(figure="x", at_most=1)
    assert not evaluate_outcomes([spec], {})[-1].passed
    assert evaluate_outcomes([spec], {"x": 1.0})[-1].passed
    assert not evaluate_outcomes([spec], {"x": 1.1})[-1].passed


def backend_state(
    number: int, *, group: str = "", rank: int = -1, **more
) -> BackendState:
    status = EngineStatus(
        vm=f"v{number}", incarnation=1, group=group, token=1, ready=bool(group)
    )
    fields = {
        "address": f"a{number}",
        "zone": "z",
        "domain": "d",
        "service": "",
        "alive": True,
        "reachable": True,
        "members": ("a0", "a1") if group else (),
        "rank": rank,
        "status": status,
    }
    return BackendState(**(fields | more))


def test_dead_member_stops_the_group_and_strands_the_others():
    """Guards against counting an incomplete group as serving."""
    backends = [
        backend_state(0, group="g", rank=0),
        backend_state(1, group="g", rank=1),
        backend_state(2),
    ]
    assert count_groups(backends, 2) == (1, 1, 1)
    dead = msgspec.structs.replace(backends[1], alive=False)
    assert count_groups([backends[0], dead, backends[2]], 2) == (1, 0, 2)


def test_records_do_not_share_token_gaps():
    """Guards against a mutable default that all records share."""
    first, second = record(CallOutcome.LOST), record(CallOutcome.LOST)
    first.token_gaps_s.append(1.0)
    assert dataclasses.asdict(second)["token_gaps_s"] == []
