"""Behaviour under overload, on virtual time.

Run with ``python -m pomelolug.experiments.overload [SCENARIO] [--seeds N]``;
the scenarios are ``loads``, ``account`` and ``failures``. The admission, routing
and retry code is the real one; engines are slots with service times.
"""

import collections
import concurrent.futures
import dataclasses
import itertools
import math
import statistics
from collections.abc import Sequence

import fire

from pomelolug.experiments._fleet import (
    CLASSES,
    SYSTEMS,
    Fleet,
    FleetSize,
    Outcome,
    Workload,
)
from pomelolug.experiments._simulation import quantile

__all__ = ["Figures", "account", "failures", "loads", "run_load"]

LOADS = (0.8, 1.0, 1.3, 2.0, 4.0)
_NORMAL_LOAD = 0.7
_START_S = 120.0
_END_S = 300.0
_WATCHED_S = 120.0
# Every call that arrived while watched has ended after its deadline.
_STOP_S = 540.0
_SETTLE_S = 60.0
_WORKERS = 6
_TARGETS = {kind.name: kind.ttft_target.total_seconds() for kind in CLASSES}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one run.

    `goodput` is over capacity, times are in seconds. `amplification` is runs on
    groups over admitted calls, `calls` the callers' calls over requests.
    """

    goodput: float
    ttft_p95: float
    ttft_p99: float
    refused: dict[str, float]
    amplification: float
    recovery_s: float


def run_load(load: float, system: str, seed: int) -> Figures:
    """Run one offered load that starts at 120 s and ends at 300 s."""

    def offered(at_s: float) -> float:
        return load if _START_S <= at_s < _END_S else _NORMAL_LOAD

    fleet = Fleet(
        size=FleetSize(), workload=Workload(load=offered), system=system, seed=seed
    )
    fleet.run(_STOP_S)
    return _figures(fleet)


def _figures(fleet: Fleet) -> Figures:
    steady = [
        outcome
        for outcome in fleet.outcomes
        if _START_S + _SETTLE_S <= outcome.ended_at < _END_S
    ]
    done = [outcome for outcome in steady if not outcome.reason]
    urgent = [
        outcome.ttft_s
        for outcome in steady
        if outcome.work_class == "urgent" and not math.isnan(outcome.ttft_s)
    ]
    reasons = collections.Counter(outcome.reason for outcome in steady)
    del reasons[""]
    ran = [outcome.attempts for outcome in steady if outcome.attempts]
    window_s = _END_S - _START_S - _SETTLE_S
    return Figures(
        goodput=len(done) / window_s / FleetSize().capacity,
        ttft_p95=quantile(urgent, 0.95),
        ttft_p99=quantile(urgent, 0.99),
        refused={name: count / len(steady) for name, count in reasons.items()},
        amplification=sum(ran) / max(len(ran), 1),
        recovery_s=_recovery_s(fleet.outcomes),
    )


def _recovery_s(outcomes: Sequence[Outcome]) -> float:
    """Return the time until nothing is refused and every target is met again.

    A second is normal if none of the calls that arrived in it was refused or
    given up before its first token, and the p95 of each class is within its
    target.
    """
    last = 0.0
    by_second: dict[tuple[int, str], list[Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        if _END_S <= outcome.arrived_at < _END_S + _WATCHED_S:
            second = int(outcome.arrived_at - _END_S)
            by_second[second, outcome.work_class].append(outcome)
    for (second, name), calls in by_second.items():
        ttft = [call.ttft_s for call in calls if not math.isnan(call.ttft_s)]
        refused = any(call.reason and math.isnan(call.ttft_s) for call in calls)
        if refused or (ttft and quantile(ttft, 0.95) > _TARGETS[name]):
            last = max(last, second + 1.0)
    return last


def loads(*, seeds: int = 5, systems: Sequence[str] = SYSTEMS) -> None:
    """Print the figures of every offered load, system and seed."""
    cases = list(itertools.product(LOADS, systems, range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        figures = list(pool.map(run_load, *zip(*cases, strict=True)))
    found: dict[tuple[float, str], list[Figures]] = collections.defaultdict(list)
    for (load, system, _), one in zip(cases, figures, strict=True):
        found[load, system].append(one)
    print("load system goodput(min) p95 p99 urgent_max_p95 amplification recovery_max")
    for (load, system), runs in found.items():
        print(
            f"{load} {system}",
            f"{_mean(run.goodput for run in runs):.3f}",
            f"({min(run.goodput for run in runs):.3f})",
            f"{_mean(run.ttft_p95 for run in runs):.2f}",
            f"{_mean(run.ttft_p99 for run in runs):.2f}",
            f"{max(run.ttft_p95 for run in runs):.2f}",
            f"{max(run.amplification for run in runs):.3f}",
            f"{max(run.recovery_s for run in runs):.0f}",
            _refusals(runs),
        )


def _mean(values: object) -> float:
    return statistics.fmean(values)  # type: ignore[arg-type]


def _refusals(runs: Sequence[Figures]) -> str:
    names = sorted({name for run in runs for name in run.refused})
    parts = (_mean(run.refused.get(name, 0.0) for run in runs) for name in names)
    return " ".join(
        f"{name}={part:.3f}" for name, part in zip(names, parts, strict=True)
    )


def run_account(factor: float, seed: int) -> tuple[float, float, float]:
    """Run ten equal accounts at load 0.6, the first at `factor` times its share.

    Returns
    -------
    tuple of float
        p99 of the others' time to first token of the highest class, the same of
        all classes, and the part of their calls that was not answered.
    """
    weights = (factor,) + (1.0,) * 9
    load = 0.6 * sum(weights) / 10.0
    workload = Workload(load=lambda at_s: load, accounts=weights)
    fleet = Fleet(size=FleetSize(), workload=workload, system="policy", seed=seed)
    fleet.run(_END_S)
    others = [
        outcome
        for outcome in fleet.outcomes
        if outcome.account and outcome.arrived_at >= _SETTLE_S
    ]
    started = [outcome for outcome in others if not math.isnan(outcome.ttft_s)]
    urgent = [outcome for outcome in started if outcome.work_class == "urgent"]
    return (
        quantile([outcome.ttft_s for outcome in urgent], 0.99),
        quantile([outcome.ttft_s for outcome in started], 0.99),
        sum(bool(outcome.reason) for outcome in others) / len(others),
    )


def account(*, seeds: int = 5) -> None:
    """Print how far one account at ten times its share moves the others."""
    cases = list(itertools.product((1.0, 10.0), range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_account, *zip(*cases, strict=True)))
    print("factor seed urgent_p99 all_p99 unanswered")
    for (factor, seed), (urgent, every, lost) in zip(cases, results, strict=True):
        print(f"{factor} {seed} {urgent:.3f} {every:.3f} {lost:.4f}")


def run_failures(system: str, seed: int) -> tuple[float, float]:
    """Run load 0.8 while groups lose 60% of their runs from 120 s to 180 s.

    Returns
    -------
    tuple of float
        Runs over calls that ran, and answered calls over capacity, both of the
        calls that ended in that minute.
    """

    def failing(at_s: float) -> float:
        return 0.6 if _START_S <= at_s < _START_S + 60.0 else 0.01

    workload = Workload(load=lambda at_s: 0.8, failure=failing)
    fleet = Fleet(size=FleetSize(), workload=workload, system=system, seed=seed)
    fleet.run(_START_S)
    count = len(fleet.outcomes)
    fleet.simulation.run(_START_S + 60.0)
    ran = sum(outcome.attempts > 0 for outcome in fleet.outcomes[count:])
    good = sum(not outcome.reason for outcome in fleet.outcomes[count:])
    runs = sum(outcome.attempts for outcome in fleet.outcomes[count:])
    return runs / ran, good / 60.0 / FleetSize().capacity


def failures(*, seeds: int = 5) -> None:
    """Print the retry amplification while groups lose most of their runs."""
    cases = list(itertools.product(SYSTEMS, range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_failures, *zip(*cases, strict=True)))
    print("system seed amplification goodput")
    for (system, seed), (amplification, goodput) in zip(cases, results, strict=True):
        print(f"{system} {seed} {amplification:.3f} {goodput:.3f}")


if __name__ == "__main__":
    fire.Fire({"loads": loads, "account": account, "failures": failures})
