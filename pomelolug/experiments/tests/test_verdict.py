import dataclasses

import msgspec
import pytest

from pomelolug.engines import EngineStatus
from pomelolug.experiments._calls import CallRecord, Ending, plan_calls
from pomelolug.experiments._monitor import count_groups
from pomelolug.experiments._outcomes import verdicts
from pomelolug.experiments._stand_ins import LedgerCopy, VmView
from pomelolug.experiments._trace import (
    AccountSpec,
    ClassSpec,
    LoadSpec,
    OutcomeSpec,
    Trace,
)
from pomelolug.experiments._verdict import judge
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


def record(ending: Ending, *, plan=PLANS[0], text: str | None = None, **more):
    result = CallRecord(plan=plan, gateway="g", sent=0.0, ended=1.0, **more)
    result.ending = ending
    if text is not None:
        result.check = check_answer(text, plan.digest, plan.tokens)
    return result


def whole(plan=PLANS[0]) -> str:
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


def ledger(*executions: Execution) -> LedgerCopy:
    return LedgerCopy(executions=executions, violations=(), refusals={}, now=0.0)


def test_plan_is_the_same_each_time():
    """Guards against a replay that drives another load on each run."""
    assert plan_calls(TRACE) == PLANS
    assert len({plan.digest for plan in PLANS}) == len(PLANS) > 10
    assert all(plan.key for plan in PLANS)


def test_whole_answer_breaks_nothing():
    """Guards against a verdict that reports faults of a clean run."""
    result = judge([record(Ending.ANSWERED, text=whole())], ledger(execution()))
    assert (result.answered, result.broken) == (1, 0)


@pytest.mark.parametrize(
    ("records", "runs", "field"),
    [
        ([record(Ending.LOST)], [], "lost"),
        ([record(Ending.ANSWERED, text=whole()[:-3])], [execution()], "truncated"),
        ([record(Ending.ANSWERED, text=whole() * 2)], [execution()], "truncated"),
        ([record(Ending.ANSWERED, text=whole(PLANS[1]))], [execution()], "crossed"),
        ([record(Ending.UNKNOWN, text=whole(PLANS[1]))], [execution()], "crossed"),
        ([record(Ending.NOT_RUN)], [execution()], "not_run_but_executed"),
        (
            [record(Ending.NOT_RUN, request_id="r"), record(Ending.UNKNOWN)],
            [execution()],
            "not_run_but_executed",
        ),
        ([record(Ending.UNKNOWN)], [execution(), execution()], "doubled"),
        ([record(Ending.ANSWERED, text=whole())] * 2, [execution()], "doubled"),
    ],
)
def test_broken_promise_is_counted(records, runs, field):
    """Guards against a broken promise that the verdict does not see."""
    result = judge(records, ledger(*runs))
    assert getattr(result, field) == 1
    assert result.broken == 1


def test_lost_copy_of_a_claim_is_no_false_not_run():
    """Guards against blaming a refused copy for the run of the other copy."""
    records = [record(Ending.NOT_RUN), record(Ending.ANSWERED, text=whole())]
    assert judge(records, ledger(execution())).broken == 0


def test_streams_of_a_killed_gateway_are_not_lost():
    """Guards against blaming the system for an entry VM that the trace killed."""
    result = judge([record(Ending.LOST)], ledger(), killed={"g": 0.5})
    assert (result.lost, result.cut_by_entry_loss) == (0, 1)


def test_missing_figure_is_no_pass():
    """Guards against an outcome that passes since nothing was measured."""
    spec = OutcomeSpec(figure="x", at_most=1)
    assert not verdicts([spec], {})[-1].passed
    assert verdicts([spec], {"x": 1.0})[-1].passed
    assert not verdicts([spec], {"x": 1.1})[-1].passed


def view(number: int, *, group: str = "", rank: int = -1, **more) -> VmView:
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
    return VmView(**(fields | more))


def test_group_with_a_dead_member_is_down_and_strands_the_rest():
    """Guards against counting an incomplete group as serving."""
    whole_group = [view(0, group="g", rank=0), view(1, group="g", rank=1), view(2)]
    assert count_groups(whole_group, 2) == (1, 1, 1)
    dead = msgspec.structs.replace(whole_group[1], alive=False)
    assert count_groups([whole_group[0], dead, whole_group[2]], 2) == (1, 0, 2)


def test_record_is_independent_of_others():
    """Guards against records that share the list of token gaps."""
    first, second = record(Ending.LOST), record(Ending.LOST)
    first.gaps.append(1.0)
    assert dataclasses.asdict(second)["gaps"] == []
