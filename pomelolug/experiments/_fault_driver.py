"""Applies the faults of a trace at their times."""

import asyncio
import signal
from typing import Any

import msgspec
import structlog

from pomelolug.experiments._deployment import Deployment
from pomelolug.experiments._trace import FaultSpec, TraceFault
from pomelolug.testing._fleet import FaultKind
from pomelolug.testing._platform_app import PlatformFaults

__all__ = ["FaultDriver"]

_OPERATORS = ("alice", "bob")
_UNDO: dict[str, dict[str, Any]] = {
    FaultKind.KILL.value: {"kind": FaultKind.REVIVE.value},
    FaultKind.DARK.value: {"kind": FaultKind.REVIVE.value},
    FaultKind.PAUSE.value: {"kind": FaultKind.RESUME.value},
    FaultKind.STRAGGLE.value: {"kind": FaultKind.STRAGGLE.value, "factor": 1.0},
    FaultKind.CRASH_MARKER.value: {"kind": FaultKind.CRASH_MARKER.value, "marker": ""},
}

_log = structlog.get_logger()


class FaultDriver:
    """Applies faults and keeps what the verdict needs to know about them.

    Parameters
    ----------
    deployment : Deployment
        Where the faults happen.
    version : int
        Configuration version at the start.
    """

    def __init__(self, deployment: Deployment, version: int) -> None:
        self._deployment = deployment
        self._version = version
        self._killed: dict[str, float] = {}
        self._races_won: list[int] = []
        self._in_force_s: list[float] = []
        self._stop_s: list[float] = []

    @property
    def killed(self) -> dict[str, float]:
        """Clock reading at which a gateway was killed, by address."""
        return self._killed

    @property
    def races_won(self) -> list[int]:
        """Number of operators that won, for each publication."""
        return self._races_won

    @property
    def in_force_s(self) -> list[float]:
        """Seconds from each publication until it was in force everywhere."""
        return self._in_force_s

    @property
    def stop_s(self) -> list[float]:
        """Seconds that each planned stop of an entry VM took."""
        return self._stop_s

    @property
    def version(self) -> int:
        """Configuration version that won last."""
        return self._version

    async def drive(self, fault: FaultSpec, started: float) -> None:
        """Apply `fault` at its time and undo it if it has a length."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, started + fault.at_s - loop.time()))
        _log.info("fault", kind=fault.kind.value, fields=fault.fields)
        undo = await self._apply(fault)
        if fault.for_s is not None and undo is not None:
            await asyncio.sleep(fault.for_s)
            _log.info("fault_ends", kind=fault.kind.value, fields=fault.fields)
            await undo()

    async def _apply(self, fault: FaultSpec) -> Any:
        match fault.kind:
            case TraceFault.BACKEND:
                return await self._backend(fault.fields)
            case TraceFault.GROUP_MEMBER:
                return await self._group_member(fault.fields)
            case TraceFault.PLATFORM:
                return await self._platform(fault.fields)
            case TraceFault.ENTRY_STOP:
                await self._stop_entry(fault.entry)
            case TraceFault.ENTRY_KILL:
                self._kill_entry(fault.entry)
            case TraceFault.CONTROL_PAUSE:
                return self._pause(fault.entry, "control")
            case TraceFault.GATEWAY_PAUSE:
                return self._pause(fault.entry, "gateway")
            case TraceFault.ZONE_CUT:
                return await self._cut_zone(fault.zone)
            case TraceFault.PUBLISH:
                await self._publish(fault)
        return None

    async def _backend(self, fields: dict[str, Any]) -> Any:
        chosen = await self._deployment.stand_ins.backend_fault(**fields)
        back = _UNDO.get(fields["kind"])
        if back is None:
            return None

        async def undo() -> None:
            await self._deployment.stand_ins.backend_fault(vms=chosen, **back)

        return undo

    async def _group_member(self, fields: dict[str, Any]) -> Any:
        vms = await self._deployment.stand_ins.vms()
        leaders = [vm for vm in vms if vm.rank == 0 and vm.status.ready]
        leader = leaders[int(fields.get("group", 0)) % len(leaders)]
        address = leader.members[int(fields.get("rank", -1))]
        name = next(vm.status.vm for vm in vms if vm.address == address)
        rest = {
            key: value for key, value in fields.items() if key not in ("group", "rank")
        }
        return await self._backend(
            {"kind": FaultKind.KILL.value, **rest, "vms": [name]}
        )

    async def _platform(self, fields: dict[str, Any]) -> Any:
        await self._deployment.stand_ins.platform_fault(**fields)
        normal = msgspec.to_builtins(PlatformFaults())

        async def undo() -> None:
            back = {key: normal[key] for key in fields}
            await self._deployment.stand_ins.platform_fault(**back)

        return undo

    async def _stop_entry(self, index: int) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for process in self._deployment.stop_entry(index):
            await process.wait()
        self._stop_s.append(loop.time() - began)

    def _kill_entry(self, index: int) -> None:
        now = asyncio.get_running_loop().time()
        self._killed[self._deployment.entries[index].gateway_address] = now
        self._deployment.kill_entry(index)

    def _pause(self, index: int, role: str) -> Any:
        process = getattr(self._deployment.entries[index], role)
        process.send(signal.SIGSTOP)

        async def undo() -> None:
            process.send(signal.SIGCONT)

        return undo

    async def _cut_zone(self, zone: str) -> Any:
        stand_ins = self._deployment.stand_ins
        zones = {vm.zone for vm in await stand_ins.vms()}
        await stand_ins.platform_fault(cut_zones=[zone])
        for other in zones:
            pids = self._deployment.pids(zone, inside=other != zone)
            await stand_ins.backend_fault(kind="cut", zone=other, pids=pids)

        async def undo() -> None:
            await stand_ins.platform_fault(cut_zones=[])
            for other in zones:
                await stand_ins.backend_fault(kind="heal", zone=other)

        return undo

    async def _publish(self, fault: FaultSpec) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        changes = [
            self._deployment.publish(
                base=self._version,
                operator=_OPERATORS[number % len(_OPERATORS)],
                work_class=fault.work_class,
                ttft_target_s=fault.ttft_target_s * (1 + number),
            )
            for number in range(fault.operators)
        ]
        versions = [item for item in await asyncio.gather(*changes) if item is not None]
        self._races_won.append(len(versions))
        if versions:
            self._version = max(versions)
            try:
                await self._deployment.wait_version(self._version)
            finally:
                # After a timeout this is at least the bound and counts as late.
                self._in_force_s.append(loop.time() - began)
