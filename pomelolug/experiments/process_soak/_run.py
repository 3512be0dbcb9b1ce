"""Execution of one process soak."""

import asyncio
import datetime
import pathlib
import random
import shutil
import tempfile
import time
from collections import Counter

from pomelolug.experiments.process_soak._callers import Callers
from pomelolug.experiments.process_soak._calls import CallKind, CallOutcome, SentCall
from pomelolug.experiments.process_soak._cluster import ProcessCluster
from pomelolug.experiments.process_soak._disturbances import (
    SOAK_PROCESS,
    FaultWindows,
)
from pomelolug.experiments.process_soak._faults import FaultInjector
from pomelolug.experiments.process_soak._promises import GuaranteeChecker
from pomelolug.experiments.process_soak._report import ProcessSoakReport

__all__ = ["run_process_soak"]

_CALLER_COUNT = 24
_WARM_UP_S = 2.0
"""Time for groups to form before callers start."""
_COMPETING_CALLERS = {"account-a": 60, "account-b": 10, "account-c": 5}
_COMPETITION_S = 6.0
_RECOVERY_S = 12.0
"""Time after the last fault during which calls may still fail."""
_MEASUREMENT_S = 3.0
_MIN_SERVED_SHARE = 0.25
"""Minimum share of calls to be served after the recovery period."""
_PAUSE_CHECK_INTERVAL_S = 0.05
_MIN_PAUSE_S = 0.15
"""Delay of the event loop from which on the soak counts as paused."""
_OUTPUT_FLUSH_S = 1.0
"""Time for the last output lines of the servers to arrive."""
_TIMEOUTS = {
    CallKind.SAFE: datetime.timedelta(milliseconds=1500),
    CallKind.ONCE: datetime.timedelta(milliseconds=1500),
    CallKind.STREAM: datetime.timedelta(milliseconds=5000),
}


def run_process_soak(
    *,
    seed: int,
    length_s: float,
    entry_count: int = 4,
    keep: pathlib.Path | None = None,
) -> ProcessSoakReport:
    """Run the entry processes under faults and check what callers and servers saw.

    Parameters
    ----------
    seed : int
        Seed of the load and the faults. Processes run in real time, so two runs
        with one seed have the same plan but different histories.
    length_s : float
        Period in which faults are injected, in seconds.
    entry_count : int
        Number of entry VMs, one process each.
    keep : pathlib.Path, optional
        Directory for the logs of a run with violations.
    """
    with tempfile.TemporaryDirectory(prefix="process-soak-") as name:
        folder = pathlib.Path(name)
        report = asyncio.run(_run(seed, length_s, entry_count, folder))
        if report.violations and keep is not None:
            target = keep / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
            lines = [*report.history, *report.violations]
            (target / "history.txt").write_text("\n".join(lines) + "\n")
    return report


async def _run(
    seed: int, length_s: float, entry_count: int, folder: pathlib.Path
) -> ProcessSoakReport:
    rng = random.Random(seed)
    fault_windows = FaultWindows()
    guarantees = GuaranteeChecker(fault_windows)
    cluster = ProcessCluster(
        folder, guarantees, random.Random(rng.random()), seed, entry_count
    )
    callers = Callers(cluster, guarantees, random.Random(rng.random()))
    faults = FaultInjector(
        cluster,
        guarantees,
        fault_windows,
        random.Random(rng.random()),
        random.Random(rng.random()),
        random.Random(rng.random()),
    )
    tasks: list[asyncio.Task[None]] = []
    try:
        await cluster.start()
        await asyncio.sleep(_WARM_UP_S)
        tasks = [asyncio.create_task(callers.run()) for _ in range(_CALLER_COUNT)]
        tasks += [asyncio.create_task(callers.run_crashing(k)) for k in CallKind]
        tasks.append(asyncio.create_task(callers.run_tainted()))
        tasks.append(asyncio.create_task(_watch_own_pauses(fault_windows, faults)))
        await faults.run(length_s)
        if cluster.has_dispatcher:
            await _let_accounts_compete(callers, guarantees)
        await asyncio.sleep(_RECOVERY_S)
        recovered_at_s = time.monotonic()
        await asyncio.sleep(_MEASUREMENT_S)
        await _cancel(tasks)
        await asyncio.sleep(_OUTPUT_FLUSH_S)
        served_share = _served_share(guarantees.calls, recovered_at_s)
        violations = guarantees.check(timeouts=_TIMEOUTS) + _process_violations(cluster)
        if served_share < _MIN_SERVED_SHARE:
            violations.append(
                f"only {served_share:.0%} of calls served after the recovery"
            )
    finally:
        await _cancel(tasks)
        await cluster.stop()
    return ProcessSoakReport(
        seed=seed,
        requests=len(guarantees.calls),
        runs=len(guarantees.runs),
        outcomes=dict(Counter(_outcome_label(call) for call in guarantees.calls)),
        faults=dict(faults.counts),
        served_after=round(served_share, 3),
        violations=violations,
        history=faults.history,
    )


async def _let_accounts_compete(callers: Callers, guarantees: GuaranteeChecker) -> None:
    """Let a large account send far more streams than there is room for."""
    start_s = time.monotonic()
    tasks = [
        asyncio.create_task(callers.run_competing(account))
        for account, count in _COMPETING_CALLERS.items()
        for _ in range(count)
    ]
    await asyncio.sleep(_COMPETITION_S)
    guarantees.record_competition(start_s, time.monotonic())
    await _cancel(tasks)


async def _watch_own_pauses(fault_windows: FaultWindows, faults: FaultInjector) -> None:
    """Record when this process does not run, since all links pass through it."""
    while True:
        started_at_s = time.monotonic()
        await asyncio.sleep(_PAUSE_CHECK_INTERVAL_S)
        pause_s = time.monotonic() - started_at_s - _PAUSE_CHECK_INTERVAL_S
        if pause_s > _MIN_PAUSE_S:
            window = fault_windows.open(
                SOAK_PROCESS, start_s=started_at_s, is_planned=False
            )
            window.end_s = time.monotonic()
            faults.record_event(f"the soak itself paused for {pause_s:.2f} s")


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


def _process_violations(cluster: ProcessCluster) -> list[str]:
    violations = []
    for process in cluster.processes:
        if process.has_exited_unexpectedly:
            violations.append(f"{process.name} ended by itself")
        if "Traceback" in process.stderr_text:
            violations.append(
                f"{process.name} wrote a traceback: {process.stderr_text[-300:]}"
            )
    return violations


def _served_share(calls: list[SentCall], start_s: float) -> float:
    ended = [
        c for c in calls if c.outcome not in (CallOutcome.LEFT, CallOutcome.UNFINISHED)
    ]
    late = [c for c in ended if c.sent_at_s >= start_s]
    served = [c for c in late if c.answer.is_complete and c.answer.status in (200, 401)]
    return len(served) / len(late) if late else 0.0


def _outcome_label(call: SentCall) -> str:
    if call.outcome is CallOutcome.ANSWERED:
        return f"{call.kind.value} {call.answer.status}"
    return f"{call.kind.value} {call.outcome.value}"
