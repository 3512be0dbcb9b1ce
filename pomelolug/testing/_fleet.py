"""Simulated backend servers of one process, with fault injection."""

import asyncio
import dataclasses
import datetime
import enum
from collections.abc import Coroutine
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from pomelolug.clock import Clock
from pomelolug.engines import FencingKind
from pomelolug.testing._engine_vm import EngineVm
from pomelolug.testing._ledger import Execution, Ledger, ViolationKind
from pomelolug.testing._process_connections import ProcessConnections
from pomelolug.testing._slots import Slots
from pomelolug.testing._vm_server import VmServer

__all__ = ["BackendFault", "BackendServer", "FaultKind", "Fleet", "RunningStream"]

LEAVING_GRACE_PERIOD = datetime.timedelta(seconds=5)
"""Time after which a leaving VM must not receive new work."""

_LOAD_INTERVAL = datetime.timedelta(milliseconds=20)
_REGISTER_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class FaultKind(enum.Enum):
    """Fault that ``POST /faults`` applies to the selected VMs."""

    KILL = "kill"
    REVIVE = "revive"
    PAUSE = "pause"
    RESUME = "resume"
    DARK = "dark"
    STRAGGLE = "straggle"
    SILENCE = "silence"
    LEAVE = "leave"
    CUT = "cut"
    HEAL = "heal"
    CRASH_MARKER = "crash_marker"
    FENCING = "fencing"
    LOSE_ANSWERS = "lose_answers"


class BackendFault(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /faults``.

    Parameters
    ----------
    kind : FaultKind
        ``kill`` closes the port of the VM; ``dark`` keeps the port open but sends
        no response. ``revive`` ends both with a new incarnation. ``pause`` and
        ``resume`` keep the incarnation. ``straggle`` multiplies the step time by
        `factor`. ``silence`` stops sending on the connections that are open now.
        ``cut`` stops sending to the processes `pids` until ``heal``.
        ``crash_marker`` kills a VM that runs a prompt containing `marker`, and
        revives it after `restart_after_s`. ``fencing`` sets the fencing mode to
        `fencing`. ``lose_answers`` executes the next `count` plain-service calls
        but drops their responses. ``leave`` marks the VM as leaving.
    vms : tuple of str
        IDs of the selected VMs.
    domain, zone : str
        Also selects every VM in the fabric domain or availability zone.
    """

    kind: FaultKind
    vms: tuple[str, ...] = ()
    domain: str = ""
    zone: str = ""
    factor: float = 1.0
    marker: str = ""
    restart_after_s: float = 5.0
    fencing: FencingKind = FencingKind.REFUSES
    pids: tuple[int, ...] = ()
    count: int = 0


@dataclasses.dataclass(eq=False, kw_only=True)
class RunningStream:
    """One streaming request that runs on a group."""

    execution: Execution
    members: tuple["BackendServer", ...]
    transport: asyncio.Transport | None


@dataclasses.dataclass(eq=False, kw_only=True)
class BackendServer:
    """One VM with its HTTP listener, batch slots and the streams it leads.

    `responses_to_lose` counts the coming plain-service calls whose response is
    dropped.
    """

    vm: EngineVm
    listener: VmServer
    slots: Slots
    streams: set[RunningStream] = dataclasses.field(default_factory=set)
    responses_to_lose: int = 0


class Fleet:
    """Simulated backend servers with a shared weight rate, faults and a ledger.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate_bytes_per_s : float
        Total rate of loading weights, shared by all loading VMs.
    platform : str
        Address of the platform's VM list; if empty, VMs are not registered.
    """

    def __init__(
        self, *, clock: Clock, rate_bytes_per_s: float, platform: str = ""
    ) -> None:
        self._clock = clock
        self._rate_bytes_per_s = rate_bytes_per_s
        self._platform = platform
        self._servers: dict[str, BackendServer] = {}
        self._ledger = Ledger(clock=clock)
        self._crash_marker = ""
        self._crash_restart_s = 5.0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ledger(self) -> Ledger:
        """Record of executions, violations and refusals."""
        return self._ledger

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All backend servers."""
        return tuple(self._servers.values())

    async def add(self, server: BackendServer, routes: list[web.RouteDef]) -> None:
        """Start `server`."""
        await server.listener.start(routes)
        server.vm.address = server.listener.address
        self._servers[server.vm.address] = server

    async def close(self) -> None:
        """Stop all servers."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            await server.listener.close()

    def group_members(self, leader: EngineVm) -> tuple[BackendServer, ...]:
        """Return the existing members of the leader's group."""
        members = (self._servers.get(address) for address in leader.members)
        return tuple(member for member in members if member is not None)

    def find_absent_members(self, leader: EngineVm) -> list[str]:
        """Return the addresses of members that are down or assigned elsewhere."""
        absent = []
        for address in leader.members:
            member = self._servers.get(address)
            if member is None or not _is_assigned_with(member.vm, leader):
                absent.append(address)
        return absent

    def find_dead_members(self, leader: EngineVm) -> list[str]:
        """Return the addresses of members that are down."""
        members = (self._servers.get(address) for address in leader.members)
        return [
            address
            for address, member in zip(leader.members, members, strict=True)
            if member is None or not member.vm.alive
        ]

    def check_membership(self, leader: EngineVm) -> None:
        """Record the violations that starting a request on the group causes.

        A member may be absent, or may still run a stream of another group.
        """
        absent = self.find_absent_members(leader)
        if absent:
            self._ledger.add_violation(
                ViolationKind.SERVED_INCOMPLETE, leader.vm, f"absent {absent}"
            )
        key = (leader.group, leader.token)
        for member in self.group_members(leader):
            for other in self.servers:
                for stream in other.streams:
                    stream_key = (stream.execution.group, stream.execution.token)
                    if member in stream.members and stream_key != key:
                        self._ledger.add_violation(
                            ViolationKind.VM_IN_TWO_GROUPS,
                            member.vm.vm,
                            f"{stream_key} and {key}",
                        )
                        return

    def check_group_leaving(self, leader: EngineVm) -> None:
        """Record new work on members that have been leaving for too long."""
        for member in self.group_members(leader):
            self.check_vm_leaving(member.vm)

    def check_vm_leaving(self, vm: EngineVm) -> None:
        """Record new work on `vm` if it has been leaving for too long."""
        if vm.leaving_since_s is None:
            return
        elapsed_s = self._clock.monotonic() - vm.leaving_since_s
        late_s = elapsed_s - LEAVING_GRACE_PERIOD.total_seconds()
        if late_s > 0:
            self._ledger.add_violation(
                ViolationKind.WORK_AFTER_LEAVING, vm.vm, f"{late_s:.2f} s late"
            )

    def abort_streams_of(self, vm: EngineVm) -> None:
        """Abort the connection of every stream that `vm` takes part in."""
        for leader in self.servers:
            for stream in tuple(leader.streams):
                if any(member.vm is vm for member in stream.members):
                    if stream.transport is not None:
                        stream.transport.abort()

    def crash_if_marked(self, server: BackendServer, prompt: str) -> None:
        """Kill `server` and revive it later if `prompt` contains the crash marker."""
        if self._crash_marker and self._crash_marker in prompt and server.vm.alive:
            self._ledger.crashes += 1
            # Set before the task runs, so that a second request with the marker
            # does not crash the VM again.
            server.vm.alive = False
            self._spawn(self._crash(server, self._crash_restart_s))

    async def load_weights(self) -> None:
        """Divide the weight rate among the loading VMs until cancelled."""
        while True:
            await self._clock.sleep(_LOAD_INTERVAL)
            loading = [
                server.vm
                for server in self.servers
                if server.vm.group
                and server.vm.alive
                and server.vm.remaining_load_bytes > 0
            ]
            for vm in loading:
                interval_bytes = self._rate_bytes_per_s * _LOAD_INTERVAL.total_seconds()
                vm.receive_weights(interval_bytes / len(loading))

    async def apply(self, fault: BackendFault) -> list[str]:
        """Apply `fault` and return the IDs of the selected VMs."""
        if fault.kind is FaultKind.CRASH_MARKER:
            self._crash_marker = fault.marker
            self._crash_restart_s = fault.restart_after_s
            return []
        targets = [server for server in self.servers if _is_targeted(server.vm, fault)]
        if fault.kind in (FaultKind.CUT, FaultKind.HEAL):
            self._set_partition(targets, fault)
        for server in targets:
            await self._apply_to(server, fault)
            server.listener.notify()
        return [server.vm.vm for server in targets]

    async def _apply_to(self, server: BackendServer, fault: BackendFault) -> None:
        vm = server.vm
        match fault.kind:
            case FaultKind.KILL:
                await self._kill(server)
            case FaultKind.REVIVE:
                await self._revive(server)
            case FaultKind.PAUSE:
                vm.reachable = False
            case FaultKind.RESUME:
                vm.reachable = True
            case FaultKind.DARK:
                await self._make_unresponsive(server)
            case FaultKind.STRAGGLE:
                vm.slowdown = fault.factor
            case FaultKind.SILENCE:
                server.listener.silence_connections()
            case FaultKind.LEAVE:
                vm.leaving_since_s = self._clock.monotonic()
                await self._post_vms({"leaving": [vm.vm]})
            case FaultKind.FENCING:
                vm.fencing = fault.fencing
            case FaultKind.LOSE_ANSWERS:
                server.responses_to_lose = fault.count

    def _set_partition(self, targets: list[BackendServer], fault: BackendFault) -> None:
        ports = None
        if fault.kind is FaultKind.CUT:
            ports = ProcessConnections(fault.pids)
            ports.read()
        for server in targets:
            server.listener.set_partition(ports)

    async def _kill(self, server: BackendServer) -> None:
        server.vm.alive = False
        self.abort_streams_of(server.vm)
        await server.listener.stop_listening()
        await self._post_vms({"remove": [server.vm.vm]})

    async def _make_unresponsive(self, server: BackendServer) -> None:
        server.vm.alive = False
        server.vm.reachable = False
        for leader in self.servers:
            for stream in tuple(leader.streams):
                # An unresponsive leader cannot close its own connections.
                if server in stream.members and leader.vm.alive:
                    if stream.transport is not None:
                        stream.transport.abort()
        await self._post_vms({"remove": [server.vm.vm]})

    async def _revive(self, server: BackendServer) -> None:
        server.listener.abort_connections()
        server.vm.restart()
        await server.listener.listen()
        await self.register([server.vm])

    async def _crash(self, server: BackendServer, restart_after_s: float) -> None:
        await self._kill(server)
        await self._clock.sleep(datetime.timedelta(seconds=restart_after_s))
        await self._revive(server)

    async def register(self, vms: list[EngineVm]) -> None:
        """Add `vms` to the VM list of the platform."""
        entries = [
            {
                "vm": vm.vm,
                "role": "service" if vm.service else "engine",
                "address": vm.address,
                "zone": vm.zone,
                "region": vm.region,
                "domain": vm.domain,
                "service": vm.service,
                "leaving": vm.leaving_since_s is not None,
            }
            for vm in vms
        ]
        await self._post_vms({"vms": entries})

    async def _post_vms(self, change: dict[str, object]) -> None:
        if not self._platform:
            return
        async with aiohttp.ClientSession(timeout=_REGISTER_TIMEOUT) as session:
            url = f"http://{self._platform}/vms"
            async with session.post(url, json=change) as response:
                response.raise_for_status()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _is_assigned_with(vm: EngineVm, leader: EngineVm) -> bool:
    return vm.alive and (vm.group, vm.token) == (leader.group, leader.token)


def _is_targeted(vm: EngineVm, fault: BackendFault) -> bool:
    return (
        vm.vm in fault.vms
        or (fault.domain != "" and vm.domain == fault.domain)
        or (fault.zone != "" and vm.zone == fault.zone)
    )
