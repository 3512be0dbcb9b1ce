"""Samples the true state of groups: downtime and stranded accelerators."""

import asyncio
import collections
from collections.abc import Sequence

import aiohttp
import structlog

from pomelolug.experiments._stand_ins import StandIns, VmView

__all__ = ["GroupMonitor", "count_groups"]

_INTERVAL_S = 0.2

_log = structlog.get_logger()


class GroupMonitor:
    """Integrates group downtime and stranded accelerators over time.

    Parameters
    ----------
    stand_ins : StandIns
        Source of the true state.
    members : int
        Number of VMs in a group.
    accelerators : int
        Accelerators of a VM.
    """

    def __init__(self, stand_ins: StandIns, *, members: int, accelerators: int) -> None:
        self._stand_ins = stand_ins
        self._members = members
        self._accelerators = accelerators
        self._downtime_s = 0.0
        self._stranded_s = 0.0

    @property
    def downtime_s(self) -> float:
        """Group seconds without a serving group that could serve."""
        return self._downtime_s

    @property
    def stranded_s(self) -> float:
        """Accelerator seconds of healthy accelerators outside serving groups."""
        return self._stranded_s

    async def watch(self) -> None:
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        last = loop.time()
        before: tuple[int, int, int] | None = None
        while True:
            await asyncio.sleep(_INTERVAL_S)
            try:
                vms = await self._stand_ins.vms()
            except (aiohttp.ClientError, TimeoutError):
                continue
            now = loop.time()
            counts = count_groups(vms, self._members)
            if counts != before:
                _log.info(
                    "groups", possible=counts[0], serving=counts[1], free=counts[2]
                )
                before = counts
            possible, serving, free = counts
            self._downtime_s += max(0, possible - serving) * (now - last)
            self._stranded_s += free * self._accelerators * (now - last)
            last = now


def count_groups(vms: Sequence[VmView], members: int) -> tuple[int, int, int]:
    """Return possible groups, serving groups and healthy VMs outside them.

    A group needs all its VMs in one fabric domain. A VM is healthy if it is
    alive, answers and is not leaving.
    """
    engines = [vm for vm in vms if not vm.service]
    healthy = {
        vm.address: vm
        for vm in engines
        if vm.alive and vm.reachable and not vm.status.leaving
    }
    in_domain = collections.Counter(vm.domain for vm in healthy.values())
    possible = sum(count // members for count in in_domain.values())
    serving = 0
    used = 0
    for leader in engines:
        if leader.rank == 0 and _is_serving(leader, healthy):
            serving += 1
            used += len(leader.members)
    return possible, serving, len(healthy) - used


def _is_serving(leader: VmView, healthy: dict[str, VmView]) -> bool:
    wanted = (leader.status.group, leader.status.token)
    for address in leader.members:
        vm = healthy.get(address)
        if vm is None or (vm.status.group, vm.status.token) != wanted:
            return False
        if not vm.status.ready:
            return False
    return bool(leader.members)
