"""Compare what the callers saw with what the backend servers executed."""

import collections
from collections.abc import Mapping, Sequence

import msgspec

from pomelolug.experiments._calls import CallRecord, Ending
from pomelolug.experiments._stand_ins import LedgerCopy
from pomelolug.experiments._trace import Trace
from pomelolug.testing._ledger import Execution, ViolationKind

__all__ = [
    "ClassFigures",
    "Promises",
    "class_figures",
    "judge",
    "percentile",
]

_TARGET_SHARE = 0.95


class Promises(msgspec.Struct, kw_only=True):
    """Counts of outcomes and of broken promises.

    `not_run_but_executed` counts calls that were told ``not_run`` although the
    ledger shows an execution; `work_after_leaving` counts requests that reached
    a VM later than 5 s after it began to leave. `cut_by_entry_loss` counts
    streams that ended with an entry VM that the trace killed.
    """

    sent: int = 0
    answered: int = 0
    not_run: int = 0
    outcome_unknown: int = 0
    lost: int = 0
    doubled: int = 0
    crossed: int = 0
    truncated: int = 0
    not_run_but_executed: int = 0
    groups_served_incomplete: int = 0
    vms_in_two_groups: int = 0
    work_after_leaving: int = 0
    cut_by_entry_loss: int = 0

    @property
    def broken(self) -> int:
        """Number of broken promises."""
        return (
            self.lost
            + self.doubled
            + self.crossed
            + self.truncated
            + self.not_run_but_executed
            + self.groups_served_incomplete
            + self.vms_in_two_groups
            + self.work_after_leaving
        )


class ClassFigures(msgspec.Struct, kw_only=True):
    """Latency of the answered calls of one class, in seconds."""

    answered: int
    ttft_p95_s: float | None
    token_gap_p95_s: float | None
    target_met: bool


def percentile(values: Sequence[float], share: float) -> float | None:
    """Return the smallest value that at least `share` of all do not exceed.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    if not values:
        return None
    ordered = sorted(values)
    index = -(-len(ordered) * round(share * 1000) // 1000) - 1
    return ordered[max(0, index)]


def judge(
    records: Sequence[CallRecord],
    ledger: LedgerCopy,
    *,
    killed: Mapping[str, float] | None = None,
) -> Promises:
    """Count outcomes and broken promises.

    Parameters
    ----------
    records : sequence of CallRecord
        Every call.
    ledger : LedgerCopy
        Every execution.
    killed : mapping, optional
        Caller's clock reading at which the trace killed a gateway, by address.
    """
    result = Promises(sent=len(records))
    killed = killed or {}
    for record in records:
        result.crossed += record.crossed
        result.truncated += record.truncated
        match record.ending:
            case Ending.ANSWERED:
                result.answered += 1
            case Ending.NOT_RUN:
                result.not_run += 1
            case Ending.UNKNOWN:
                result.outcome_unknown += 1
            case Ending.LOST:
                if _ended_with(record, killed):
                    result.cut_by_entry_loss += 1
                else:
                    result.lost += 1
    executions = _by_digest(ledger.executions)
    calls = collections.defaultdict(list)
    for record in records:
        if not record.plan.load.prompt:
            calls[record.plan.digest].append(record)
    for digest, group in calls.items():
        runs = executions.get(digest, [])
        result.doubled += _is_doubled(group, runs)
        result.not_run_but_executed += _false_not_run(group, runs)
    kinds = collections.Counter(item.kind for item in ledger.violations)
    result.groups_served_incomplete = kinds[ViolationKind.SERVED_INCOMPLETE]
    result.vms_in_two_groups = kinds[ViolationKind.VM_IN_TWO_GROUPS]
    result.work_after_leaving = kinds[ViolationKind.WORK_AFTER_LEAVING]
    return result


def _ended_with(record: CallRecord, killed: Mapping[str, float]) -> bool:
    at = killed.get(record.gateway)
    return at is not None and record.sent <= at <= record.ended + 1.0


def _by_digest(executions: Sequence[Execution]) -> dict[str, list[Execution]]:
    found: dict[str, list[Execution]] = collections.defaultdict(list)
    for execution in executions:
        found[execution.digest].append(execution)
    return found


def _is_doubled(group: Sequence[CallRecord], runs: Sequence[Execution]) -> bool:
    if not group[0].plan.key:
        return False
    answers = sum(record.ending is Ending.ANSWERED for record in group)
    return len(runs) > 1 or answers > 1


def _false_not_run(group: Sequence[CallRecord], runs: Sequence[Execution]) -> int:
    refused = [record for record in group if record.ending is Ending.NOT_RUN]
    if runs and len(refused) == len(group):
        return len(refused)
    executed = {run.request_id for run in runs}
    return sum(bool(r.request_id) and r.request_id in executed for r in refused)


def class_figures(
    trace: Trace, records: Sequence[CallRecord]
) -> dict[str, ClassFigures]:
    """Return the latency of each class.

    A target is met if 95% of the answered calls and of the token gaps keep it.
    """
    figures = {}
    for item in trace.classes:
        answered = [
            record
            for record in records
            if record.plan.load.work_class == item.name
            and record.ending is Ending.ANSWERED
        ]
        waits = [r.first - r.sent for r in answered if r.first is not None]
        gaps = [gap for record in answered for gap in record.gaps]
        ttft = percentile(waits, _TARGET_SHARE)
        gap = percentile(gaps, _TARGET_SHARE)
        met = ttft is not None and ttft <= item.ttft_target_s
        met = met and (gap is None or gap <= item.gap_target_s)
        figures[item.name] = ClassFigures(
            answered=len(answered),
            ttft_p95_s=_rounded(ttft),
            token_gap_p95_s=_rounded(gap),
            target_met=met,
        )
    return figures


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
