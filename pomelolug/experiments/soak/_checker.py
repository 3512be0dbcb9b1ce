"""Checks a soak from what backend servers saw and callers received."""

import asyncio
import collections

from pomelolug.experiments.soak._cluster import GROUP_SIZE, SimulatedCluster
from pomelolug.experiments.soak._faults import FaultInjector
from pomelolug.experiments.soak._fleet import CRASH_PREFIX

__all__ = ["Checker"]

_SAMPLE_S = 0.5
_PROPAGATION_LIMIT_S = 16.0
# The guaranteed bound is two if the second execution was isolated, else three.
_MAX_CRASHES = 3
_CONVERGENCE_TIMEOUT_S = 120.0


class Checker:
    """Samples the cluster during a run and checks the executions at its end.

    Parameters
    ----------
    cluster : SimulatedCluster
        Cluster to check.
    faults : FaultInjector
        Tells which nodes could not learn of a configuration change.
    """

    def __init__(self, cluster: SimulatedCluster, faults: FaultInjector) -> None:
        self._cluster = cluster
        self._faults = faults
        self._reported_late: set[tuple[str, int]] = set()
        self._downtime_s = 0.0
        self._stranded_vm_s = 0.0
        self._converged_after_s = -1.0

    @property
    def figures(self) -> dict[str, float]:
        """Measurements of the run."""
        return {
            "group_downtime_s": round(self._downtime_s, 1),
            "stranded_vm_s": round(self._stranded_vm_s, 1),
            "converged_after_s": round(self._converged_after_s, 1),
            "log_appends": self._cluster.log.appends,
        }

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await asyncio.sleep(_SAMPLE_S)
            self._check_versions()
            self._check_processes()
            self._measure_downtime()

    def _check_processes(self) -> None:
        for entry in self._cluster.entries:
            for failure in entry.process_errors():
                line = f"process ended by itself: {failure}"
                if not any(line in known for known in self._cluster.journal.violations):
                    self._cluster.journal.record_violation(line)

    def _check_versions(self) -> None:
        now_s = self._cluster.clock.monotonic()
        for entry in self._cluster.entries:
            if not entry.is_running:
                continue
            version = entry.version
            if entry.observed_versions and version < entry.observed_versions[-1]:
                self._cluster.journal.record_violation(
                    f"{entry.name} went from version "
                    f"{entry.observed_versions[-1]} to {version}"
                )
            entry.observed_versions.append(version)
            for accepted_at_s, accepted in self._cluster.accepted_versions:
                due_at_s = accepted_at_s + _PROPAGATION_LIMIT_S
                is_late = now_s > due_at_s and version < accepted
                is_reported = (entry.name, accepted) in self._reported_late
                if (
                    is_late
                    and not is_reported
                    and not self._faults.is_impaired(entry, due_at_s)
                ):
                    self._reported_late.add((entry.name, accepted))
                    self._cluster.journal.record_violation(
                        f"{entry.name} has version {version}, {accepted} was accepted "
                        f"{now_s - accepted_at_s:.1f} s ago"
                    )

    def _count_serving_groups(self) -> int:
        fleet = self._cluster.fleet
        leaders = [
            vm.order
            for vm in fleet.vms.values()
            if vm.order is not None and vm.order.rank == 0
        ]
        return sum(
            fleet.is_group_complete(
                order.group,
                order.token,
                [fleet._by_address[address].vm for address in order.members],
            )
            for order in leaders
        )

    def _count_possible_groups(self) -> int:
        """Return how many groups the healthy VMs of each domain allow."""
        fleet = self._cluster.fleet
        healthy = collections.Counter(
            vm.domain
            for vm in fleet.vms.values()
            if fleet._is_reachable(vm) and not vm.leaving and vm.listed
        )
        return sum(count // GROUP_SIZE for count in healthy.values())

    def _measure_downtime(self) -> None:
        missing = max(0, self._count_possible_groups() - self._count_serving_groups())
        self._downtime_s += missing * _SAMPLE_S
        self._stranded_vm_s += missing * GROUP_SIZE * _SAMPLE_S

    async def wait_for_convergence(self) -> None:
        """Wait for convergence after all faults; record a violation on timeout."""
        cluster = self._cluster
        started_at_s = cluster.clock.monotonic()
        while cluster.clock.monotonic() - started_at_s < _CONVERGENCE_TIMEOUT_S:
            if self._is_converged():
                self._converged_after_s = cluster.clock.monotonic() - started_at_s
                return
            await asyncio.sleep(_SAMPLE_S)
        versions = {entry.name: entry.version for entry in cluster.entries}
        alive = {
            entry.name: len(entry.control._parts.mesh.live_nodes())
            for entry in cluster.entries
            if entry.control is not None
        }
        cluster.journal.record_violation(
            f"not converged {_CONVERGENCE_TIMEOUT_S:.0f} s after the last fault: "
            f"{self._count_serving_groups()} of {self._count_possible_groups()} "
            f"groups, wanted version {cluster.version}, versions {versions}, "
            f"live peers {alive}"
        )

    def _is_converged(self) -> bool:
        cluster = self._cluster
        nodes = len(cluster.entries)
        return (
            all(entry.is_running and entry.control for entry in cluster.entries)
            and all(entry.version == cluster.version for entry in cluster.entries)
            and all(
                entry.control is not None
                and len(entry.control._parts.mesh.live_nodes()) == nodes
                for entry in cluster.entries
            )
            and self._count_serving_groups() == self._count_possible_groups()
        )

    def check_executions(self) -> None:
        """Compare executions on servers with the replies that callers received."""
        journal, cluster = self._cluster.journal, self._cluster
        executions = [*cluster.fleet.executions, *cluster.plain_service.executions]
        runs = collections.Counter(execution.prompt for execution in executions)
        for prompt, count in sorted(runs.items()):
            if prompt.startswith(("billed-", "confirm-")) and count > 1:
                journal.record_violation(f"doubled: {prompt} ran {count} times")
        run_ids = {execution.request_id for execution in executions}
        for request_id, job in cluster.callers.not_run:
            if request_id in run_ids:
                journal.record_violation(f"not run was said of {job.prompt}, which ran")
        finished = {e.prompt for e in executions if e.complete}
        for job in cluster.callers.answered:
            if job.prompt not in finished:
                journal.record_violation(
                    f"answer to {job.prompt} that no server completed"
                )
        crashes = collections.Counter(prompt for _, prompt, _ in cluster.fleet.crashes)
        for prompt, count in sorted(crashes.items()):
            if prompt.startswith(CRASH_PREFIX) and count > _MAX_CRASHES:
                journal.record_violation(f"{prompt} crashed {count} groups")
        if cluster.callers.open_count:
            journal.record_violation(
                f"{cluster.callers.open_count} requests never ended"
            )
