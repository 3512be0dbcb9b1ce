"""Judges a soak by what backend servers saw and callers received."""

import asyncio
import collections

from pomelolug.experiments.soak._faults import FaultDriver
from pomelolug.experiments.soak._fleet import CRASH
from pomelolug.experiments.soak._world import GROUP_MEMBERS, World

__all__ = ["Checker"]

_SAMPLE_S = 0.5
_IN_FORCE_S = 16.0
# The promised bound: two if the second run was isolated, else three.
_MAX_CRASHES = 3
_SETTLE_S = 120.0


class Checker:
    """Samples the world and judges it at the end.

    Parameters
    ----------
    world : World
        What is judged.
    faults : FaultDriver
        Knows which nodes could not hear of a change.
    """

    def __init__(self, world: World, faults: FaultDriver) -> None:
        self._world = world
        self._faults = faults
        self._late: set[tuple[str, int]] = set()
        self._downtime_s = 0.0
        self._stranded_s = 0.0
        self._converged_s = -1.0

    @property
    def figures(self) -> dict[str, float]:
        """Measurements of the run."""
        return {
            "group_downtime_s": round(self._downtime_s, 1),
            "stranded_vm_s": round(self._stranded_s, 1),
            "converged_after_s": round(self._converged_s, 1),
            "log_appends": self._world.log.appends,
        }

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            await asyncio.sleep(_SAMPLE_S)
            self._check_versions()
            self._check_processes()
            self._measure()

    def _check_processes(self) -> None:
        for entry in self._world.entries:
            for failure in entry.failed():
                line = f"process ended by itself: {failure}"
                if not any(line in known for known in self._world.journal.violations):
                    self._world.journal.violation(line)

    def _check_versions(self) -> None:
        now = self._world.clock.monotonic()
        for entry in self._world.entries:
            if not entry.running:
                continue
            version = entry.version
            if entry.versions and version < entry.versions[-1]:
                self._world.journal.violation(
                    f"{entry.name} went from version {entry.versions[-1]} to {version}"
                )
            entry.versions.append(version)
            for accepted_at, accepted in self._world.accepted:
                due = accepted_at + _IN_FORCE_S
                late = now > due and version < accepted
                known = (entry.name, accepted) in self._late
                if late and not known and not self._faults.is_impaired(entry, due):
                    self._late.add((entry.name, accepted))
                    self._world.journal.violation(
                        f"{entry.name} has version {version}, {accepted} was accepted "
                        f"{now - accepted_at:.1f} s ago"
                    )

    def _serving(self) -> int:
        fleet = self._world.fleet
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

    def _possible(self) -> int:
        """Return how many groups the healthy VMs of the domains allow."""
        fleet = self._world.fleet
        healthy = collections.Counter(
            vm.domain
            for vm in fleet.vms.values()
            if fleet._is_reachable(vm) and not vm.leaving and vm.listed
        )
        return sum(count // GROUP_MEMBERS for count in healthy.values())

    def _measure(self) -> None:
        missing = max(0, self._possible() - self._serving())
        self._downtime_s += missing * _SAMPLE_S
        self._stranded_s += missing * GROUP_MEMBERS * _SAMPLE_S

    async def settle(self) -> None:
        """Wait for convergence after all faults are healed; judge it."""
        world = self._world
        started = world.clock.monotonic()
        while world.clock.monotonic() - started < _SETTLE_S:
            if self._is_converged():
                self._converged_s = world.clock.monotonic() - started
                return
            await asyncio.sleep(_SAMPLE_S)
        versions = {entry.name: entry.version for entry in world.entries}
        alive = {
            entry.name: len(entry.control._parts.mesh.live_nodes())
            for entry in world.entries
            if entry.control is not None
        }
        world.journal.violation(
            f"not converged {_SETTLE_S:.0f} s after the last fault: "
            f"{self._serving()} of {self._possible()} groups, wanted version "
            f"{world.version}, versions {versions}, live peers {alive}"
        )

    def _is_converged(self) -> bool:
        world = self._world
        nodes = len(world.entries)
        return (
            all(entry.running and entry.control for entry in world.entries)
            and all(entry.version == world.version for entry in world.entries)
            and all(
                entry.control is not None
                and len(entry.control._parts.mesh.live_nodes()) == nodes
                for entry in world.entries
            )
            and self._serving() == self._possible()
        )

    def judge(self) -> None:
        """Judge the ledgers after the run."""
        journal, world = self._world.journal, self._world
        executions = [*world.fleet.executions, *world.service.executions]
        runs = collections.Counter(execution.prompt for execution in executions)
        for prompt, count in sorted(runs.items()):
            if prompt.startswith(("billed-", "confirm-")) and count > 1:
                journal.violation(f"doubled: {prompt} ran {count} times")
        run_ids = {execution.request_id for execution in executions}
        for request_id, job in world.callers.not_run:
            if request_id in run_ids:
                journal.violation(f"not run was said of {job.prompt}, which ran")
        finished = {e.prompt for e in executions if e.complete}
        for job in world.callers.answered:
            if job.prompt not in finished:
                journal.violation(f"answer to {job.prompt} that no server completed")
        crashes = collections.Counter(prompt for _, prompt, _ in world.fleet.crashes)
        for prompt, count in sorted(crashes.items()):
            if prompt.startswith(CRASH) and count > _MAX_CRASHES:
                journal.violation(f"{prompt} crashed {count} groups")
        if world.callers.open:
            journal.violation(f"{world.callers.open} requests never ended")
