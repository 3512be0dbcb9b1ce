"""Sampling of group downtime and stranded accelerators."""

import asyncio
import collections
from collections.abc import Sequence

import aiohttp
import structlog

from pomelolug.experiments._simulator_client import BackendState, SimulatorClient

__all__ = ["GroupMonitor", "count_groups"]

_SAMPLE_INTERVAL_S = 0.2

_log = structlog.get_logger()


class GroupMonitor:
    """Integrates group downtime and stranded accelerators over time.

    Parameters
    ----------
    simulators : SimulatorClient
        Source of the actual state of the backend servers.
    members : int
        Number of VMs per group.
    accelerators : int
        Number of accelerators per VM.
    """

    def __init__(
        self, simulators: SimulatorClient, *, members: int, accelerators: int
    ) -> None:
        self._simulators = simulators
        self._members = members
        self._accelerators = accelerators
        self._group_downtime_s = 0.0
        self._stranded_accelerator_s = 0.0

    @property
    def group_downtime_s(self) -> float:
        """Group seconds in which a possible group was not serving."""
        return self._group_downtime_s

    @property
    def stranded_accelerator_s(self) -> float:
        """Accelerator seconds of healthy VMs outside serving groups."""
        return self._stranded_accelerator_s

    async def watch(self) -> None:
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        last_s = loop.time()
        previous: tuple[int, int, int] | None = None
        while True:
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            try:
                vms = await self._simulators.vms()
            except (aiohttp.ClientError, TimeoutError):
                continue
            now_s = loop.time()
            counts = count_groups(vms, self._members)
            if counts != previous:
                _log.info(
                    "groups", possible=counts[0], serving=counts[1], free=counts[2]
                )
                previous = counts
            possible, serving, free = counts
            self._group_downtime_s += max(0, possible - serving) * (now_s - last_s)
            self._stranded_accelerator_s += free * self._accelerators * (now_s - last_s)
            last_s = now_s


def count_groups(vms: Sequence[BackendState], members: int) -> tuple[int, int, int]:
    """Count possible groups, serving groups and healthy VMs outside serving groups.

    All VMs of a group are in one fabric domain. A VM is healthy if it is alive,
    reachable and not leaving.
    """
    engines = [vm for vm in vms if not vm.service]
    healthy = {
        vm.address: vm
        for vm in engines
        if vm.alive and vm.reachable and not vm.status.leaving
    }
    healthy_by_domain = collections.Counter(vm.domain for vm in healthy.values())
    possible = sum(count // members for count in healthy_by_domain.values())
    serving = 0
    serving_vms = 0
    for leader in engines:
        if leader.rank == 0 and _is_serving(leader, healthy):
            serving += 1
            serving_vms += len(leader.members)
    return possible, serving, len(healthy) - serving_vms


def _is_serving(leader: BackendState, healthy: dict[str, BackendState]) -> bool:
    expected = (leader.status.group, leader.status.token)
    for address in leader.members:
        vm = healthy.get(address)
        if vm is None or (vm.status.group, vm.status.token) != expected:
            return False
        if not vm.status.ready:
            return False
    return bool(leader.members)
