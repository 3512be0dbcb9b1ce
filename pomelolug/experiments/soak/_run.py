"""Execution of one soak."""

import asyncio
import contextlib
import logging
import pathlib
import random
import tempfile
from collections.abc import Sequence

import looptime
import structlog

from pomelolug.experiments.soak._checker import Checker
from pomelolug.experiments.soak._cluster import SimulatedCluster
from pomelolug.experiments.soak._faults import FaultInjector
from pomelolug.experiments.soak._report import SoakReport
from pomelolug.testing import LoopClock

__all__ = ["run_soak"]

_JOBS_PER_S = 4.0
_MEAN_FAULT_INTERVAL_S = 8.0
_WARM_UP_S = 20.0
_LAST_REPLIES_S = 50.0


def run_soak(
    *, seed: int, virtual_s: float, script: Sequence[tuple[float, str]] = ()
) -> SoakReport:
    """Run load and faults for `virtual_s` virtual seconds, then wait for convergence.

    Parameters
    ----------
    seed : int
        Seed of all random states.
    virtual_s : float
        Virtual seconds with load and faults.
    script : sequence of (float, str), optional
        Faults to inject besides the random ones, as virtual second and kind.

    Returns
    -------
    SoakReport
        History, counts, measurements and violations.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    # Nothing in the run waits for real input, so virtual time may advance at once.
    loop = looptime.new_event_loop(start=1000.0, noop_cycles=0)
    try:
        with tempfile.TemporaryDirectory() as settings_folder:
            return loop.run_until_complete(
                _soak(seed, virtual_s, pathlib.Path(settings_folder), script)
            )
    finally:
        loop.close()


async def _run_script(
    faults: FaultInjector, script: Sequence[tuple[float, str]]
) -> None:
    elapsed_s = 0.0
    for at_s, kind in sorted(script):
        await asyncio.sleep(at_s - elapsed_s)
        elapsed_s = at_s
        faults.start(kind)


async def _soak(
    seed: int,
    virtual_s: float,
    settings_folder: pathlib.Path,
    script: Sequence[tuple[float, str]],
) -> SoakReport:
    cluster = SimulatedCluster(
        seed=seed,
        settings_folder=settings_folder,
        clock=LoopClock(),
        jobs_per_s=_JOBS_PER_S,
    )
    faults = FaultInjector(
        cluster,
        random_state=random.Random(seed + 3),
        mean_interval_s=_MEAN_FAULT_INTERVAL_S,
    )
    checker = Checker(cluster, faults)
    cluster.start()
    await asyncio.sleep(1.0)
    await cluster.publish()
    await asyncio.sleep(_WARM_UP_S)
    checker_task = asyncio.create_task(checker.run())
    load_tasks = [asyncio.create_task(cluster.callers.run())]
    load_tasks.append(asyncio.create_task(faults.run()))
    load_tasks.append(asyncio.create_task(_run_script(faults, script)))
    await asyncio.sleep(virtual_s)
    for task in load_tasks:
        task.cancel()
    await faults.wait_until_healed()
    await checker.wait_for_convergence()
    await asyncio.sleep(_LAST_REPLIES_S)
    checker_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await checker_task
    checker.check_executions()
    journal = cluster.journal
    await cluster.stop()
    return SoakReport(
        seed=seed,
        virtual_s=virtual_s,
        history=journal.history,
        requests=journal.requests,
        faults=dict(sorted(journal.faults.items())),
        violations=journal.violations,
        outcomes=dict(sorted(journal.outcomes.items())),
        codes=dict(sorted(journal.codes.items())),
        figures=checker.figures,
    )
