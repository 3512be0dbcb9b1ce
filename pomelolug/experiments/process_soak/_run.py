"""Runs one soak."""

import asyncio
import datetime
import pathlib
import random
import shutil
import tempfile
import time
from collections import Counter

from pomelolug.experiments.process_soak._callers import Callers
from pomelolug.experiments.process_soak._calls import CallKind, End, SentCall
from pomelolug.experiments.process_soak._disturbances import Disturbances
from pomelolug.experiments.process_soak._faults import Faults
from pomelolug.experiments.process_soak._promises import Promises
from pomelolug.experiments.process_soak._report import ProcessSoakReport
from pomelolug.experiments.process_soak._world import World

__all__ = ["run_process_soak"]

_CALLERS = 24
_SETTLE_S = 2.0
"""Time for groups to form before callers come."""
_RECOVERY_S = 12.0
"""Time after the last fault in which calls may still fail."""
_AFTER_S = 3.0
_LEAST_SERVED = 0.25
"""Share of calls that has to be served after the recovery."""
_OUTPUT_S = 1.0
"""Time in which the last lines of the servers arrive."""
_TIMEOUTS = {
    CallKind.SAFE: datetime.timedelta(milliseconds=1500),
    CallKind.ONCE: datetime.timedelta(milliseconds=1500),
    CallKind.STREAM: datetime.timedelta(milliseconds=5000),
}


def run_process_soak(
    *, seed: int, length_s: float, keep: pathlib.Path | None = None
) -> ProcessSoakReport:
    """Run the entry processes under faults and check what callers and servers saw.

    Parameters
    ----------
    seed : int
        Seed of load and faults. Processes run in real time, so two runs with one
        seed have the same plan but not the same history.
    length_s : float
        Time in which faults begin, in seconds.
    keep : pathlib.Path, optional
        Where the logs of a run with broken promises are kept.
    """
    with tempfile.TemporaryDirectory(prefix="process-soak-") as name:
        folder = pathlib.Path(name)
        report = asyncio.run(_run(seed, length_s, folder))
        if report.violations and keep is not None:
            target = keep / f"seed-{seed}"
            shutil.copytree(folder, target, dirs_exist_ok=True)
            lines = [*report.history, *report.violations]
            (target / "history.txt").write_text("\n".join(lines) + "\n")
    return report


async def _run(seed: int, length_s: float, folder: pathlib.Path) -> ProcessSoakReport:
    rng = random.Random(seed)
    disturbances = Disturbances()
    promises = Promises(disturbances)
    world = World(folder, promises, random.Random(rng.random()), seed)
    callers = Callers(world, promises, random.Random(rng.random()))
    faults = Faults(world, promises, disturbances, random.Random(rng.random()))
    tasks: list[asyncio.Task[None]] = []
    try:
        await world.start()
        await asyncio.sleep(_SETTLE_S)
        tasks = [asyncio.create_task(callers.run()) for _ in range(_CALLERS)]
        await faults.run(length_s)
        await asyncio.sleep(_RECOVERY_S)
        recovered_at = time.monotonic()
        await asyncio.sleep(_AFTER_S)
        await _end(tasks)
        await asyncio.sleep(_OUTPUT_S)
        share = _served(promises.calls, recovered_at)
        violations = promises.check(timeouts=_TIMEOUTS) + _process_faults(world)
        if share < _LEAST_SERVED:
            violations.append(f"only {share:.0%} of calls served after the recovery")
    finally:
        await _end(tasks)
        await world.stop()
    return ProcessSoakReport(
        seed=seed,
        requests=len(promises.calls),
        runs=len(promises.runs),
        outcomes=dict(Counter(_outcome(call) for call in promises.calls)),
        faults=dict(faults.counts),
        served_after=round(share, 3),
        violations=violations,
        history=faults.history,
    )


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


def _process_faults(world: World) -> list[str]:
    found = []
    for process in world.processes:
        if process.ended_by_itself:
            found.append(f"{process.name} ended by itself")
        if "Traceback" in process.errors:
            found.append(f"{process.name} wrote a traceback: {process.errors[-300:]}")
    return found


def _served(calls: list[SentCall], since: float) -> float:
    ended = [c for c in calls if c.end not in (End.LEFT, End.UNFINISHED)]
    late = [c for c in ended if c.sent_at >= since]
    served = [c for c in late if c.answer.is_complete and c.answer.status in (200, 401)]
    return len(served) / len(late) if late else 0.0


def _outcome(call: SentCall) -> str:
    if call.end is End.ANSWERED:
        return f"{call.kind.value} {call.answer.status}"
    return f"{call.kind.value} {call.end.value}"
