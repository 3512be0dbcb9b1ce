"""Group downtime and stranded accelerators of the formation policies.

``python -m pomelolug.experiments.formation`` runs every policy on every fleet
layout and seed, on virtual time, and prints one line for each layout and policy:
the mean over the seeds and, in brackets, the minimum and maximum. Downtime is in
group-seconds, stranded time in thousands of accelerator-seconds; the floor is
the stranded time that no policy can avoid. "Closed" and "back" are the median and
maximum time from a member's death until its group is no longer published as
serving, and until its domain has as many serving groups as before.
"""

import concurrent.futures
import dataclasses
import datetime
import logging
import statistics
from collections.abc import Callable, Mapping, Sequence

import fire
import looptime
import structlog

from pomelolug.experiments._formation_run import (
    FleetLayout,
    FormationResult,
    run_formation,
)
from pomelolug.groups import (
    BestFitWithSpare,
    DissolveProposal,
    FirstFit,
    FormationPolicy,
    FormationSnapshot,
    GroupLimits,
    RepairInPlace,
)

__all__ = ["LAYOUTS", "POLICIES", "ReformAll", "main"]

LAYOUTS = (
    FleetLayout("65 VMs in 6 domains, groups of 4", (11, 11, 11, 11, 11, 10), 4),
    FleetLayout("65 VMs in 4 domains, groups of 8", (16, 16, 17, 16), 8),
)


class ReformAll(FormationPolicy):
    """Baseline: a loss dissolves all groups; `FirstFit` then forms new ones."""

    def propose(self, snapshot: FormationSnapshot) -> list:
        """Dissolve all groups if one is broken, else form groups by `FirstFit`."""
        if not snapshot.broken:
            return FirstFit().propose(snapshot)
        return [
            DissolveProposal(group=group, reason="re-formation")
            for group in snapshot.groups
        ]


POLICIES: Mapping[str, Callable[[], FormationPolicy]] = {
    "ReformAll": ReformAll,
    "FirstFit": FirstFit,
    "BestFitWithSpare(0)": lambda: BestFitWithSpare(spares=0),
    "BestFitWithSpare(1)": BestFitWithSpare,
    "RepairInPlace": RepairInPlace,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Case:
    layout: FleetLayout
    policy: str
    seed: int
    duration_s: float
    limits: GroupLimits


def _run_case(case: _Case) -> FormationResult:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(
            run_formation(
                case.layout,
                POLICIES[case.policy](),
                seed=case.seed,
                duration_s=case.duration_s,
                limits=case.limits,
            )
        )
    finally:
        loop.close()


def _format_spread(values: Sequence[float], scale: float = 1.0) -> str:
    scaled = [value / scale for value in values]
    mean = statistics.fmean(scaled)
    return f"{mean:8.1f} [{min(scaled):.1f}, {max(scaled):.1f}]"


def _format_times(values: Sequence[float]) -> str:
    if not values:
        return "none"
    return f"{statistics.median(values):.1f} / {max(values):.1f}"


def _format_row(policy: str, results: Sequence[FormationResult]) -> str:
    withdrawal_times_s = [
        time_s for result in results for time_s in result.withdrawal_times_s
    ]
    recovery_times_s = [
        time_s for result in results for time_s in result.recovery_times_s
    ]
    return " | ".join(
        [
            f"{policy:20}",
            _format_spread([r.downtime_s for r in results]),
            _format_spread([r.stranded_accelerator_s for r in results], 1000),
            f"{statistics.fmean(r.unavoidable_stranded_s for r in results) / 1000:.1f}",
            _format_times(withdrawal_times_s),
            _format_times(recovery_times_s),
            f"{sum(r.unrecovered for r in results)}",
            f"{max(r.longest_stale_s for r in results):.1f}",
            f"{sum(r.shared_vm_samples for r in results)}",
            f"{sum(r.violations for r in results)}",
            f"{statistics.fmean(r.records for r in results):.0f}",
        ]
    )


def main(
    *,
    seeds: int = 5,
    duration: float = 3600.0,
    workers: int = 4,
    load_slots: int = 1,
    dead_after: float = 2.0,
    policies: str = "",
) -> None:
    """Run all cases and print a table for each layout.

    Parameters
    ----------
    seeds : int
        Number of fault scripts; their seeds are 1 to `seeds`.
    duration : float
        Time with faults, in virtual seconds.
    workers : int
        Number of processes that run cases.
    load_slots : int
        Number of groups that may load at the same time.
    dead_after : float
        Silence in seconds after which a member is replaced.
    policies : str
        Names separated by spaces; all if empty.
    """
    limits = GroupLimits(
        load_slots=load_slots, dead_after=datetime.timedelta(seconds=dead_after)
    )
    names = policies.split() or list(POLICIES)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for layout in LAYOUTS:
            print(f"{layout.name}; {duration:.0f} s, seeds 1 to {seeds}")
            print(
                "policy | downtime | stranded/1000 | floor/1000 | closed | back | "
                "not back | stale | shared VMs | violations | records"
            )
            for name in names:
                cases = [
                    _Case(layout, name, seed, duration, limits)
                    for seed in range(1, seeds + 1)
                ]
                print(_format_row(name, list(pool.map(_run_case, cases))), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
