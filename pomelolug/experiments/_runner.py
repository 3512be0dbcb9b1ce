"""Replay of one trace against a deployment of processes."""

import asyncio
import pathlib
import random
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import msgspec
import structlog

from pomelolug.experiments._caller import Caller, LoadBalancer
from pomelolug.experiments._calls import plan_calls
from pomelolug.experiments._deployment import Deployment
from pomelolug.experiments._fault_driver import FaultInjector
from pomelolug.experiments._monitor import GroupMonitor
from pomelolug.experiments._trace import Trace
from pomelolug.experiments._verdict import (
    ClassLatency,
    OutcomeCounts,
    count_outcomes,
    measure_class_latencies,
)

__all__ = ["RunResult", "run_trace"]

_READY_TIMEOUT_S = 20.0
# Longer than the longest class deadline plus the callers' grace period.
_COMPLETION_TIMEOUT_S = 26.0

_log = structlog.get_logger()


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run of a trace.

    `codes` counts the error codes of the calls that were not answered. `figures`
    holds each scalar figure by name, to be compared with the expected outcomes.
    """

    outcome_counts: OutcomeCounts
    classes: Mapping[str, ClassLatency]
    codes: Mapping[str, int]
    config_versions_in_force: tuple[int, ...]
    figures: Mapping[str, float | None]


async def run_trace(trace: Trace, directory: pathlib.Path) -> RunResult:
    """Start a deployment, run `trace` against it and return the results.

    Every process is terminated before the function returns or raises.
    """
    # With keep-alive, a gateway might close an idle connection just as it is reused,
    # which would be counted as a lost call.
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        deployment = Deployment(trace, directory, session)
        try:
            return await _run(trace, deployment, session)
        finally:
            # The processes must be terminated even if the run is cancelled.
            await asyncio.shield(deployment.close())


async def _run(
    trace: Trace, deployment: Deployment, session: aiohttp.ClientSession
) -> RunResult:
    await deployment.start()
    version = await deployment.publish(base_version=-1)
    if version is None:
        raise RuntimeError("the first configuration was not accepted")
    await deployment.wait_for_gateways(_READY_TIMEOUT_S)
    _log.info("ready", version=version)
    gateways = [entry.gateway_address for entry in deployment.entries]
    balancer = LoadBalancer(session, gateways, random.Random(trace.random_state))
    caller = Caller(session, balancer, deployment.keys)
    monitor = GroupMonitor(
        deployment.simulators,
        members=trace.deployment.members,
        accelerators=trace.deployment.accelerators,
    )
    injector = FaultInjector(deployment, version)
    watchers = [asyncio.create_task(balancer.watch())]
    try:
        await deployment.wait_for_groups(_READY_TIMEOUT_S + _weight_loading_s(trace))
        # The initial loading of the weights does not count as downtime.
        watchers.append(asyncio.create_task(monitor.watch()))
        failures = await _run_load_and_faults(trace, caller, injector)
        versions = await deployment.config_versions()
        ledger = await deployment.simulators.ledger()
    finally:
        for task in watchers:
            task.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
    outcome_counts = count_outcomes(
        caller.records, ledger, kill_times_s=injector.gateway_kill_times_s
    )
    classes = measure_class_latencies(trace, caller.records)
    codes = _count_codes(caller)
    figures = _collect_figures(
        outcome_counts, classes, codes, monitor, injector, versions
    )
    figures["crashes"] = ledger.crashes
    figures["faults_failed"] = len(failures)
    return RunResult(
        outcome_counts=outcome_counts,
        classes=classes,
        codes=codes,
        config_versions_in_force=tuple(sorted(set(versions.values()))),
        figures=figures,
    )


def _weight_loading_s(trace: Trace) -> float:
    """Return the time to load the weights of every VM at the shared rate."""
    plan = trace.deployment
    return plan.engines * plan.model_bytes / plan.rate_bytes_per_s


async def _run_load_and_faults(
    trace: Trace, caller: Caller, injector: FaultInjector
) -> list[str]:
    """Make the calls and inject the faults; return the errors of failed faults."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    faults = [
        asyncio.create_task(injector.inject(fault, start_s)) for fault in trace.faults
    ]
    calls = []
    try:
        for plan in plan_calls(trace):
            await asyncio.sleep(max(0.0, start_s + plan.at_s - loop.time()))
            calls.append(asyncio.create_task(caller.make_call(plan)))
        await asyncio.sleep(max(0.0, start_s + trace.duration_s - loop.time()))
        _log.info("load_ends", sent=len(caller.records))
        _, unfinished = await asyncio.wait(
            [*calls, *faults], timeout=_COMPLETION_TIMEOUT_S
        )
        if unfinished:
            _log.warning("calls_or_faults_unfinished", count=len(unfinished))
    finally:
        for task in (*calls, *faults):
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        fault_results = await asyncio.gather(*faults, return_exceptions=True)
    failures = [
        repr(result) for result in fault_results if isinstance(result, BaseException)
    ]
    for failure in failures:
        _log.warning("fault_failed", error=failure)
    return failures


def _count_codes(caller: Caller) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in caller.records:
        if record.code:
            counts[record.code] = counts.get(record.code, 0) + 1
    return counts


def _collect_figures(
    outcome_counts: OutcomeCounts,
    classes: Mapping[str, ClassLatency],
    codes: Mapping[str, int],
    monitor: GroupMonitor,
    injector: FaultInjector,
    versions: Mapping[str, int],
) -> dict[str, float | None]:
    values: dict[str, Any] = msgspec.to_builtins(outcome_counts)
    values["broken"] = outcome_counts.broken
    values["answered_share"] = round(
        outcome_counts.answered / max(1, outcome_counts.sent), 4
    )
    values["group_downtime_s"] = round(monitor.group_downtime_s, 2)
    values["stranded_accelerator_s"] = round(monitor.stranded_accelerator_s, 2)
    values["config_versions"] = len(set(versions.values()))
    current = [version == injector.config_version for version in versions.values()]
    values["config_current_share"] = sum(current) / max(1, len(current))
    values["config_in_force_s"] = _longest_s(injector.in_force_delays_s)
    values["operators_won"] = max(injector.winner_counts, default=None)
    values["planned_stop_s"] = _longest_s(injector.stop_durations_s)
    for code, count in codes.items():
        values[f"code.{code}"] = count
    for name, item in classes.items():
        values[f"{name}.answered"] = item.answered
        values[f"{name}.ttft_p95_s"] = item.ttft_p95_s
        values[f"{name}.token_gap_p95_s"] = item.token_gap_p95_s
        values[f"{name}.target_met"] = float(item.target_met)
    return values


def _longest_s(seconds: Sequence[float]) -> float | None:
    # None marks a missing figure, which fails an expected outcome; 0 might pass it.
    return round(max(seconds), 2) if seconds else None
