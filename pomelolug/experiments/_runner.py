"""Runs one trace against a whole deployment."""

import asyncio
import pathlib
import random
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import msgspec
import structlog

from pomelolug.experiments._caller import Balancer, Caller
from pomelolug.experiments._calls import plan_calls
from pomelolug.experiments._deployment import Deployment
from pomelolug.experiments._fault_driver import FaultDriver
from pomelolug.experiments._monitor import GroupMonitor
from pomelolug.experiments._trace import Trace
from pomelolug.experiments._verdict import (
    ClassFigures,
    Promises,
    class_figures,
    judge,
)

__all__ = ["RunResult", "run_trace"]

_READY_TIMEOUT_S = 20.0
# Longer than the longest deadline of a class and a caller's patience.
_SETTLE_S = 26.0

_log = structlog.get_logger()


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that one run showed.

    `codes` counts the codes of the calls that were not answered. `figures`
    holds every single figure by name, for the stated outcomes of a trace.
    """

    promises: Promises
    classes: Mapping[str, ClassFigures]
    codes: Mapping[str, int]
    config_versions_in_force: tuple[int, ...]
    figures: Mapping[str, float | None]


async def run_trace(trace: Trace, folder: pathlib.Path) -> RunResult:
    """Start the deployment, drive `trace`, and return what happened.

    Every process is ended before the function returns or raises.
    """
    # A pooled connection that the gateway closes while it is being reused would
    # look like a lost call.
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        deployment = Deployment(trace, folder, session)
        try:
            return await _run(trace, deployment, session)
        finally:
            # The processes must end even if the run is cancelled meanwhile.
            await asyncio.shield(deployment.close())


async def _run(
    trace: Trace, deployment: Deployment, session: aiohttp.ClientSession
) -> RunResult:
    await deployment.start()
    version = await deployment.publish(base=-1)
    if version is None:
        raise RuntimeError("the first configuration was not accepted")
    await deployment.wait_ready(_READY_TIMEOUT_S)
    _log.info("ready", version=version)
    gateways = [entry.gateway_address for entry in deployment.entries]
    balancer = Balancer(session, gateways, random.Random(trace.random_state))
    caller = Caller(session, balancer, deployment.keys)
    monitor = GroupMonitor(
        deployment.stand_ins,
        members=trace.deployment.members,
        accelerators=trace.deployment.accelerators,
    )
    driver = FaultDriver(deployment, version)
    watchers = [asyncio.create_task(balancer.watch())]
    try:
        await deployment.wait_groups(_READY_TIMEOUT_S + _load_s(trace))
        # The first loads are no downtime.
        watchers.append(asyncio.create_task(monitor.watch()))
        failures = await _drive(trace, caller, driver)
        versions = await deployment.versions()
        ledger = await deployment.stand_ins.ledger()
    finally:
        for task in watchers:
            task.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
    promises = judge(caller.records, ledger, killed=driver.killed)
    classes = class_figures(trace, caller.records)
    codes = _codes(caller)
    figures = _figures(promises, classes, codes, monitor, driver, versions)
    figures["crashes"] = ledger.crashes
    figures["faults_failed"] = len(failures)
    return RunResult(
        promises=promises,
        classes=classes,
        codes=codes,
        config_versions_in_force=tuple(sorted(set(versions.values()))),
        figures=figures,
    )


def _load_s(trace: Trace) -> float:
    """Return the time that the shared rate needs for every VM's weights."""
    plan = trace.deployment
    return plan.engines * plan.model_bytes / plan.rate_bytes_per_s


async def _drive(trace: Trace, caller: Caller, driver: FaultDriver) -> list[str]:
    """Make the calls and apply the faults; return the faults that failed."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    faults = [
        asyncio.create_task(driver.drive(fault, started)) for fault in trace.faults
    ]
    calls = []
    try:
        for plan in plan_calls(trace):
            await asyncio.sleep(max(0.0, started + plan.at_s - loop.time()))
            calls.append(asyncio.create_task(caller.make(plan)))
        await asyncio.sleep(max(0.0, started + trace.duration_s - loop.time()))
        _log.info("load_ends", sent=len(caller.records))
        _, unfinished = await asyncio.wait([*calls, *faults], timeout=_SETTLE_S)
        if unfinished:
            _log.warning("calls_or_faults_unfinished", count=len(unfinished))
    finally:
        for task in (*calls, *faults):
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        ends = await asyncio.gather(*faults, return_exceptions=True)
    failures = [repr(end) for end in ends if isinstance(end, BaseException)]
    for failure in failures:
        _log.warning("fault_failed", error=failure)
    return failures


def _codes(caller: Caller) -> dict[str, int]:
    counts: dict[str, int] = {}
    for record in caller.records:
        if record.code:
            counts[record.code] = counts.get(record.code, 0) + 1
    return counts


def _figures(
    promises: Promises,
    classes: Mapping[str, ClassFigures],
    codes: Mapping[str, int],
    monitor: GroupMonitor,
    driver: FaultDriver,
    versions: Mapping[str, int],
) -> dict[str, float | None]:
    values: dict[str, Any] = msgspec.to_builtins(promises)
    values["broken"] = promises.broken
    values["answered_share"] = round(promises.answered / max(1, promises.sent), 4)
    values["group_downtime_s"] = round(monitor.downtime_s, 2)
    values["stranded_accelerator_s"] = round(monitor.stranded_s, 2)
    values["config_versions"] = len(set(versions.values()))
    current = [version == driver.version for version in versions.values()]
    values["config_current_share"] = sum(current) / max(1, len(current))
    values["config_in_force_s"] = _longest(driver.in_force_s)
    values["operators_won"] = max(driver.races_won, default=None)
    values["planned_stop_s"] = _longest(driver.stop_s)
    for code, count in codes.items():
        values[f"code.{code}"] = count
    for name, item in classes.items():
        values[f"{name}.answered"] = item.answered
        values[f"{name}.ttft_p95_s"] = item.ttft_p95_s
        values[f"{name}.token_gap_p95_s"] = item.token_gap_p95_s
        values[f"{name}.target_met"] = float(item.target_met)
    return values


def _longest(seconds: Sequence[float]) -> float | None:
    # None is a missing figure and fails a stated outcome; 0 would pass it.
    return round(max(seconds), 2) if seconds else None
