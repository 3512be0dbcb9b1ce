"""Injection of the faults of a trace at their scheduled times."""

import asyncio
import signal
from typing import Any

import msgspec
import structlog

from pomelolug.experiments._deployment import Deployment
from pomelolug.experiments._trace import FaultSpec, TraceFaultKind
from pomelolug.testing._fleet import FaultKind
from pomelolug.testing._platform_app import PlatformFaults

__all__ = ["FaultInjector"]

_OPERATORS = ("alice", "bob")
_REVERSALS: dict[str, dict[str, Any]] = {
    FaultKind.KILL.value: {"kind": FaultKind.REVIVE.value},
    FaultKind.DARK.value: {"kind": FaultKind.REVIVE.value},
    FaultKind.PAUSE.value: {"kind": FaultKind.RESUME.value},
    FaultKind.STRAGGLE.value: {"kind": FaultKind.STRAGGLE.value, "factor": 1.0},
    FaultKind.CRASH_MARKER.value: {"kind": FaultKind.CRASH_MARKER.value, "marker": ""},
}

_log = structlog.get_logger()


class FaultInjector:
    """Injects faults and records their times and results for the evaluation.

    Parameters
    ----------
    deployment : Deployment
        Deployment into which the faults are injected.
    config_version : int
        Configuration version in force at the start.
    """

    def __init__(self, deployment: Deployment, config_version: int) -> None:
        self._deployment = deployment
        self._config_version = config_version
        self._gateway_kill_times_s: dict[str, float] = {}
        self._winner_counts: list[int] = []
        self._in_force_delays_s: list[float] = []
        self._stop_durations_s: list[float] = []

    @property
    def gateway_kill_times_s(self) -> dict[str, float]:
        """Event loop time of each kill of a gateway, by gateway address."""
        return self._gateway_kill_times_s

    @property
    def winner_counts(self) -> list[int]:
        """Number of operators whose change was accepted, for each publication."""
        return self._winner_counts

    @property
    def in_force_delays_s(self) -> list[float]:
        """Seconds from each publication until it was in force everywhere."""
        return self._in_force_delays_s

    @property
    def stop_durations_s(self) -> list[float]:
        """Seconds that each planned stop of an entry VM took."""
        return self._stop_durations_s

    @property
    def config_version(self) -> int:
        """Configuration version that was accepted last."""
        return self._config_version

    async def inject(self, fault: FaultSpec, start_s: float) -> None:
        """Inject `fault` at its time and revert it after its duration, if set."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, start_s + fault.at_s - loop.time()))
        _log.info("fault", kind=fault.kind.value, fields=fault.fields)
        undo = await self._inject(fault)
        if fault.for_s is not None and undo is not None:
            await asyncio.sleep(fault.for_s)
            _log.info("fault_ends", kind=fault.kind.value, fields=fault.fields)
            await undo()

    async def _inject(self, fault: FaultSpec) -> Any:
        match fault.kind:
            case TraceFaultKind.BACKEND:
                return await self._inject_backend_fault(fault.fields)
            case TraceFaultKind.GROUP_MEMBER:
                return await self._inject_group_member_fault(fault.fields)
            case TraceFaultKind.PLATFORM:
                return await self._inject_platform_fault(fault.fields)
            case TraceFaultKind.ENTRY_STOP:
                await self._stop_entry(fault.entry)
            case TraceFaultKind.ENTRY_KILL:
                self._kill_entry(fault.entry)
            case TraceFaultKind.CONTROL_PAUSE:
                return self._pause_process(fault.entry, "control")
            case TraceFaultKind.GATEWAY_PAUSE:
                return self._pause_process(fault.entry, "gateway")
            case TraceFaultKind.ZONE_CUT:
                return await self._cut_zone(fault.zone)
            case TraceFaultKind.PUBLISH:
                await self._publish(fault)
        return None

    async def _inject_backend_fault(self, fields: dict[str, Any]) -> Any:
        affected_vms = await self._deployment.simulators.backend_fault(**fields)
        reversal = _REVERSALS.get(fields["kind"])
        if reversal is None:
            return None

        async def undo() -> None:
            await self._deployment.simulators.backend_fault(
                vms=affected_vms, **reversal
            )

        return undo

    async def _inject_group_member_fault(self, fields: dict[str, Any]) -> Any:
        vms = await self._deployment.simulators.vms()
        leaders = [vm for vm in vms if vm.rank == 0 and vm.status.ready]
        leader = leaders[int(fields.get("group", 0)) % len(leaders)]
        address = leader.members[int(fields.get("rank", -1))]
        name = next(vm.status.vm for vm in vms if vm.address == address)
        options = {
            key: value for key, value in fields.items() if key not in ("group", "rank")
        }
        return await self._inject_backend_fault(
            {"kind": FaultKind.KILL.value, **options, "vms": [name]}
        )

    async def _inject_platform_fault(self, fields: dict[str, Any]) -> Any:
        await self._deployment.simulators.platform_fault(**fields)
        defaults = msgspec.to_builtins(PlatformFaults())

        async def undo() -> None:
            reversal = {key: defaults[key] for key in fields}
            await self._deployment.simulators.platform_fault(**reversal)

        return undo

    async def _stop_entry(self, index: int) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for process in self._deployment.stop_entry(index):
            await process.wait()
        self._stop_durations_s.append(loop.time() - start_s)

    def _kill_entry(self, index: int) -> None:
        now = asyncio.get_running_loop().time()
        self._gateway_kill_times_s[self._deployment.entries[index].gateway_address] = (
            now
        )
        self._deployment.kill_entry(index)

    def _pause_process(self, index: int, role: str) -> Any:
        process = getattr(self._deployment.entries[index], role)
        process.send_signal(signal.SIGSTOP)

        async def undo() -> None:
            process.send_signal(signal.SIGCONT)

        return undo

    async def _cut_zone(self, zone: str) -> Any:
        simulators = self._deployment.simulators
        zones = {vm.zone for vm in await simulators.vms()}
        await simulators.platform_fault(cut_zones=[zone])
        for other in zones:
            pids = self._deployment.pids(zone, inside=other != zone)
            await simulators.backend_fault(kind="cut", zone=other, pids=pids)

        async def undo() -> None:
            await simulators.platform_fault(cut_zones=[])
            for other in zones:
                await simulators.backend_fault(kind="heal", zone=other)

        return undo

    async def _publish(self, fault: FaultSpec) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        publications = [
            self._deployment.publish(
                base_version=self._config_version,
                operator=_OPERATORS[number % len(_OPERATORS)],
                work_class=fault.work_class,
                ttft_target_s=fault.ttft_target_s * (1 + number),
            )
            for number in range(fault.operators)
        ]
        versions = [
            item for item in await asyncio.gather(*publications) if item is not None
        ]
        self._winner_counts.append(len(versions))
        if versions:
            self._config_version = max(versions)
            try:
                await self._deployment.wait_for_config_version(self._config_version)
            finally:
                # After a timeout the delay is at least the limit and counts as late.
                self._in_force_delays_s.append(loop.time() - start_s)
