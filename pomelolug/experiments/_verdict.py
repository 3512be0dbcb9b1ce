"""Comparison of the callers' results with the backend servers' executions."""

import collections
from collections.abc import Mapping, Sequence

import msgspec

from pomelolug.experiments._calls import CallOutcome, CallRecord
from pomelolug.experiments._simulator_client import LedgerSnapshot
from pomelolug.experiments._trace import Trace
from pomelolug.testing._ledger import Execution, ViolationKind

__all__ = [
    "ClassLatency",
    "OutcomeCounts",
    "count_outcomes",
    "measure_class_latencies",
    "percentile",
]

_TARGET_SHARE = 0.95


class OutcomeCounts(msgspec.Struct, kw_only=True):
    """Numbers of calls by outcome and of violated guarantees.

    `not_run_but_executed` counts calls that were reported as ``not_run`` although
    the ledger has an execution; `work_after_leaving` counts requests that reached
    a VM more than 5 s after it started to leave. `cut_by_entry_loss` counts
    streams that were cut because the trace killed their entry VM.
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
        """Total number of violated guarantees."""
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


class ClassLatency(msgspec.Struct, kw_only=True):
    """Latency of the answered calls of one work class, in seconds."""

    answered: int
    ttft_p95_s: float | None
    token_gap_p95_s: float | None
    target_met: bool


def percentile(values: Sequence[float], fraction: float) -> float | None:
    """Return the smallest value that at least `fraction` of `values` do not exceed.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    if not values:
        return None
    ordered = sorted(values)
    index = -(-len(ordered) * round(fraction * 1000) // 1000) - 1
    return ordered[max(0, index)]


def count_outcomes(
    records: Sequence[CallRecord],
    ledger: LedgerSnapshot,
    *,
    kill_times_s: Mapping[str, float] | None = None,
) -> OutcomeCounts:
    """Count call outcomes and violated guarantees.

    Parameters
    ----------
    records : sequence of CallRecord
        Records of all calls.
    ledger : LedgerSnapshot
        Executions and violations seen by the backend servers.
    kill_times_s : mapping, optional
        Time on the callers' clock at which the trace killed a gateway, by address.
    """
    result = OutcomeCounts(sent=len(records))
    kill_times_s = kill_times_s or {}
    for record in records:
        result.crossed += record.crossed
        result.truncated += record.truncated
        match record.outcome:
            case CallOutcome.ANSWERED:
                result.answered += 1
            case CallOutcome.NOT_RUN:
                result.not_run += 1
            case CallOutcome.UNKNOWN:
                result.outcome_unknown += 1
            case CallOutcome.LOST:
                if _is_cut_by_kill(record, kill_times_s):
                    result.cut_by_entry_loss += 1
                else:
                    result.lost += 1
    executions = _group_by_digest(ledger.executions)
    records_by_digest = collections.defaultdict(list)
    for record in records:
        if not record.plan.load.prompt:
            records_by_digest[record.plan.digest].append(record)
    for digest, copies in records_by_digest.items():
        runs = executions.get(digest, [])
        result.doubled += _is_doubled(copies, runs)
        result.not_run_but_executed += _count_false_not_run(copies, runs)
    violation_counts = collections.Counter(item.kind for item in ledger.violations)
    result.groups_served_incomplete = violation_counts[ViolationKind.SERVED_INCOMPLETE]
    result.vms_in_two_groups = violation_counts[ViolationKind.VM_IN_TWO_GROUPS]
    result.work_after_leaving = violation_counts[ViolationKind.WORK_AFTER_LEAVING]
    return result


def _is_cut_by_kill(record: CallRecord, kill_times_s: Mapping[str, float]) -> bool:
    kill_time_s = kill_times_s.get(record.gateway)
    return (
        kill_time_s is not None and record.sent_s <= kill_time_s <= record.ended_s + 1.0
    )


def _group_by_digest(executions: Sequence[Execution]) -> dict[str, list[Execution]]:
    found: dict[str, list[Execution]] = collections.defaultdict(list)
    for execution in executions:
        found[execution.digest].append(execution)
    return found


def _is_doubled(copies: Sequence[CallRecord], runs: Sequence[Execution]) -> bool:
    if not copies[0].plan.idempotency_key:
        return False
    answers = sum(record.outcome is CallOutcome.ANSWERED for record in copies)
    return len(runs) > 1 or answers > 1


def _count_false_not_run(
    copies: Sequence[CallRecord], runs: Sequence[Execution]
) -> int:
    refused = [record for record in copies if record.outcome is CallOutcome.NOT_RUN]
    if runs and len(refused) == len(copies):
        return len(refused)
    executed = {run.request_id for run in runs}
    return sum(bool(r.request_id) and r.request_id in executed for r in refused)


def measure_class_latencies(
    trace: Trace, records: Sequence[CallRecord]
) -> dict[str, ClassLatency]:
    """Return the latency of each work class.

    The targets are met if the 95th percentiles of the time to first token and of
    the gaps between tokens do not exceed them.
    """
    figures = {}
    for item in trace.classes:
        answered = [
            record
            for record in records
            if record.plan.load.work_class == item.name
            and record.outcome is CallOutcome.ANSWERED
        ]
        ttfts = [
            r.first_token_s - r.sent_s for r in answered if r.first_token_s is not None
        ]
        gaps = [gap for record in answered for gap in record.token_gaps_s]
        ttft = percentile(ttfts, _TARGET_SHARE)
        gap = percentile(gaps, _TARGET_SHARE)
        is_met = ttft is not None and ttft <= item.ttft_target_s
        is_met = is_met and (gap is None or gap <= item.gap_target_s)
        figures[item.name] = ClassLatency(
            answered=len(answered),
            ttft_p95_s=_round_or_none(ttft),
            token_gap_p95_s=_round_or_none(gap),
            target_met=is_met,
        )
    return figures


def _round_or_none(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
