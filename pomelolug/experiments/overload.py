"""Behaviour under overload, on virtual time.

Run with ``python -m pomelolug.experiments.overload [SCENARIO] [--seeds N]``;
the scenarios are ``loads``, ``account`` and ``failures``. The admission, routing
and retry code is the production code; groups are simulated as slots with random
service times.
"""

import collections
import concurrent.futures
import dataclasses
import itertools
import math
import statistics
from collections.abc import Sequence

import fire

from pomelolug.experiments._simulated_deployment import (
    SYSTEMS,
    WORK_CLASSES,
    CallOutcome,
    DeploymentSize,
    SimulatedDeployment,
    Workload,
)
from pomelolug.experiments._simulation import quantile

__all__ = [
    "LoadResult",
    "measure_account",
    "measure_failures",
    "measure_loads",
    "run_load",
]

OFFERED_LOADS = (0.8, 1.0, 1.3, 2.0, 4.0)
_NORMAL_LOAD = 0.7
_OVERLOAD_START_S = 120.0
_OVERLOAD_END_S = 300.0
_RECOVERY_WINDOW_S = 120.0
# Every call that arrives in the recovery window has passed its deadline by then.
_RUN_S = 540.0
_WARM_UP_S = 60.0
_WORKERS = 6
_TTFT_TARGETS_S = {
    work_class.name: work_class.ttft_target.total_seconds()
    for work_class in WORK_CLASSES
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadResult:
    """Measurements of one run.

    Attributes
    ----------
    goodput : float
        Answered calls as a fraction of the groups' throughput.
    ttft_p95_s, ttft_p99_s : float
        Time to the first token of the class ``urgent``.
    refusal_shares : dict
        Share of the calls that ended without an answer, by reason.
    amplification : float
        Tasks sent to groups per call that was sent at all.
    recovery_s : float
        Time from the end of the overload until the service is normal again.
    """

    goodput: float
    ttft_p95_s: float
    ttft_p99_s: float
    refusal_shares: dict[str, float]
    amplification: float
    recovery_s: float


def run_load(load: float, system: str, seed: int) -> LoadResult:
    """Run a load that is offered from 120 s to 300 s."""

    def offered_load(at_s: float) -> float:
        return load if _OVERLOAD_START_S <= at_s < _OVERLOAD_END_S else _NORMAL_LOAD

    deployment = SimulatedDeployment(
        size=DeploymentSize(),
        workload=Workload(load=offered_load),
        system=system,
        seed=seed,
    )
    deployment.run(_RUN_S)
    return _summarize(deployment)


def _summarize(deployment: SimulatedDeployment) -> LoadResult:
    steady = [
        outcome
        for outcome in deployment.outcomes
        if _OVERLOAD_START_S + _WARM_UP_S <= outcome.ended_at_s < _OVERLOAD_END_S
    ]
    answered = [outcome for outcome in steady if not outcome.reason]
    urgent = [
        outcome.ttft_s
        for outcome in steady
        if outcome.work_class == "urgent" and not math.isnan(outcome.ttft_s)
    ]
    reasons = collections.Counter(outcome.reason for outcome in steady)
    del reasons[""]
    attempt_counts = [outcome.attempts for outcome in steady if outcome.attempts]
    window_s = _OVERLOAD_END_S - _OVERLOAD_START_S - _WARM_UP_S
    return LoadResult(
        goodput=len(answered) / window_s / DeploymentSize().throughput_per_s,
        ttft_p95_s=quantile(urgent, 0.95),
        ttft_p99_s=quantile(urgent, 0.99),
        refusal_shares={name: count / len(steady) for name, count in reasons.items()},
        amplification=sum(attempt_counts) / max(len(attempt_counts), 1),
        recovery_s=_recovery_s(deployment.outcomes),
    )


def _recovery_s(outcomes: Sequence[CallOutcome]) -> float:
    """Return the time until no call is refused and all classes meet their targets.

    A second is normal if no call that arrived in it was refused or given up before
    its first token, and if the p95 of each class is within its target.
    """
    last_abnormal_s = 0.0
    by_second: dict[tuple[int, str], list[CallOutcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        if (
            _OVERLOAD_END_S
            <= outcome.arrived_at_s
            < _OVERLOAD_END_S + _RECOVERY_WINDOW_S
        ):
            second = int(outcome.arrived_at_s - _OVERLOAD_END_S)
            by_second[second, outcome.work_class].append(outcome)
    for (second, name), calls in by_second.items():
        ttfts_s = [call.ttft_s for call in calls if not math.isnan(call.ttft_s)]
        has_refusals = any(call.reason and math.isnan(call.ttft_s) for call in calls)
        if has_refusals or (
            ttfts_s and quantile(ttfts_s, 0.95) > _TTFT_TARGETS_S[name]
        ):
            last_abnormal_s = max(last_abnormal_s, second + 1.0)
    return last_abnormal_s


def measure_loads(*, seeds: int = 5, systems: Sequence[str] = SYSTEMS) -> None:
    """Print the measurements of every offered load and system over all seeds."""
    cases = list(itertools.product(OFFERED_LOADS, systems, range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_load, *zip(*cases, strict=True)))
    results_by_case: dict[tuple[float, str], list[LoadResult]] = (
        collections.defaultdict(list)
    )
    for (load, system, _), result in zip(cases, results, strict=True):
        results_by_case[load, system].append(result)
    print("load system goodput(min) p95 p99 urgent_max_p95 amplification recovery_max")
    for (load, system), runs in results_by_case.items():
        print(
            f"{load} {system}",
            f"{_mean(run.goodput for run in runs):.3f}",
            f"({min(run.goodput for run in runs):.3f})",
            f"{_mean(run.ttft_p95_s for run in runs):.2f}",
            f"{_mean(run.ttft_p99_s for run in runs):.2f}",
            f"{max(run.ttft_p95_s for run in runs):.2f}",
            f"{max(run.amplification for run in runs):.3f}",
            f"{max(run.recovery_s for run in runs):.0f}",
            _format_refusals(runs),
        )


def _mean(values: object) -> float:
    return statistics.fmean(values)  # type: ignore[arg-type]


def _format_refusals(runs: Sequence[LoadResult]) -> str:
    names = sorted({name for run in runs for name in run.refusal_shares})
    shares = (
        _mean(run.refusal_shares.get(name, 0.0) for run in runs) for name in names
    )
    return " ".join(
        f"{name}={share:.3f}" for name, share in zip(names, shares, strict=True)
    )


def run_account(factor: float, seed: int) -> tuple[float, float, float]:
    """Run ten accounts at load 0.6, the first at `factor` times its equal share.

    Returns
    -------
    tuple of float
        p99 time to the first token of the other accounts in the highest class and
        in all classes, and the share of their calls that was not answered.
    """
    demands = (factor,) + (1.0,) * 9
    load = 0.6 * sum(demands) / 10.0
    workload = Workload(load=lambda at_s: load, demands=demands)
    deployment = SimulatedDeployment(
        size=DeploymentSize(), workload=workload, system="policy", seed=seed
    )
    deployment.run(_OVERLOAD_END_S)
    others = [
        outcome
        for outcome in deployment.outcomes
        if outcome.account and outcome.arrived_at_s >= _WARM_UP_S
    ]
    started = [outcome for outcome in others if not math.isnan(outcome.ttft_s)]
    urgent = [outcome for outcome in started if outcome.work_class == "urgent"]
    return (
        quantile([outcome.ttft_s for outcome in urgent], 0.99),
        quantile([outcome.ttft_s for outcome in started], 0.99),
        sum(bool(outcome.reason) for outcome in others) / len(others),
    )


def measure_account(*, seeds: int = 5) -> None:
    """Print the effect of one account at ten times its share on the others."""
    cases = list(itertools.product((1.0, 10.0), range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_account, *zip(*cases, strict=True)))
    print("factor seed urgent_p99 all_p99 unanswered")
    for (factor, seed), (urgent, all_classes, unanswered) in zip(
        cases, results, strict=True
    ):
        print(f"{factor} {seed} {urgent:.3f} {all_classes:.3f} {unanswered:.4f}")


def run_failures(system: str, seed: int) -> tuple[float, float]:
    """Run load 0.8 while groups lose 60% of their tasks from 120 s to 180 s.

    Returns
    -------
    tuple of float
        Tasks per call that was sent to a group, and answered calls as a fraction
        of the throughput, both of the calls that ended in that minute.
    """

    def failure_probability(at_s: float) -> float:
        return 0.6 if _OVERLOAD_START_S <= at_s < _OVERLOAD_START_S + 60.0 else 0.01

    workload = Workload(load=lambda at_s: 0.8, failure_probability=failure_probability)
    deployment = SimulatedDeployment(
        size=DeploymentSize(), workload=workload, system=system, seed=seed
    )
    deployment.run(_OVERLOAD_START_S)
    count = len(deployment.outcomes)
    deployment.simulation.run(_OVERLOAD_START_S + 60.0)
    started_calls = sum(outcome.attempts > 0 for outcome in deployment.outcomes[count:])
    answered = sum(not outcome.reason for outcome in deployment.outcomes[count:])
    runs = sum(outcome.attempts for outcome in deployment.outcomes[count:])
    return runs / started_calls, answered / 60.0 / DeploymentSize().throughput_per_s


def measure_failures(*, seeds: int = 5) -> None:
    """Print the retry amplification while groups lose most of their tasks."""
    cases = list(itertools.product(SYSTEMS, range(seeds)))
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as pool:
        results = list(pool.map(run_failures, *zip(*cases, strict=True)))
    print("system seed amplification goodput")
    for (system, seed), (amplification, goodput) in zip(cases, results, strict=True):
        print(f"{system} {seed} {amplification:.3f} {goodput:.3f}")


if __name__ == "__main__":
    fire.Fire(
        {
            "loads": measure_loads,
            "account": measure_account,
            "failures": measure_failures,
        }
    )
