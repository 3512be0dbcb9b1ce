"""All simulated backend servers of one process and the faults among them."""

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

__all__ = ["BackendFault", "FaultKind", "Fleet", "Member", "RunningStream"]

LEAVING_BOUND = datetime.timedelta(seconds=5)
"""Time after which a leaving VM must get no new work."""

_LOAD_TICK = datetime.timedelta(milliseconds=20)
_REGISTER_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class FaultKind(enum.Enum):
    """What ``POST /faults`` does with the chosen VMs."""

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
    """One fault.

    Parameters
    ----------
    kind : FaultKind
        ``kill`` closes the port, ``dark`` leaves it open without an answer;
        ``revive`` ends both with a new incarnation. ``pause`` and ``resume``
        keep the incarnation. ``straggle`` multiplies the step time by `factor`.
        ``silence`` stops sending on connections that are open now. ``cut``
        falls silent towards the processes `pids` until ``heal``.
        ``crash_marker`` kills a VM that runs a prompt with `marker`, and
        revives it after `restart_after_s`. ``lose_answers`` lets the next
        `count` plain-service calls run and lose their response.
    vms : tuple of str
        Chosen VMs.
    domain, zone : str
        Also chooses every VM of the fabric domain or zone.
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
    """One request that runs on a group."""

    execution: Execution
    members: tuple["Member", ...]
    transport: asyncio.Transport | None


@dataclasses.dataclass(eq=False, kw_only=True)
class Member:
    """One VM with its server, slots and the streams that it leads."""

    vm: EngineVm
    server: VmServer
    slots: Slots
    streams: set[RunningStream] = dataclasses.field(default_factory=set)
    lose_answers: int = 0


class Fleet:
    """The VMs, their shared weight rate, faults and ledger.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate_bytes_per_s : float
        Weight rate that all loading VMs share.
    platform : str
        Address of the platform's VM list; empty if nothing is registered.
    """

    def __init__(
        self, *, clock: Clock, rate_bytes_per_s: float, platform: str = ""
    ) -> None:
        self._clock = clock
        self._rate_bytes_per_s = rate_bytes_per_s
        self._platform = platform
        self._members: dict[str, Member] = {}
        self._ledger = Ledger(clock=clock)
        self._marker = ""
        self._marker_restart_s = 5.0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def ledger(self) -> Ledger:
        """What was executed."""
        return self._ledger

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def members(self) -> tuple[Member, ...]:
        """Every VM."""
        return tuple(self._members.values())

    async def add(self, member: Member, routes: list[web.RouteDef]) -> None:
        """Start the server of `member`."""
        await member.server.start(routes)
        member.vm.address = member.server.address
        self._members[member.vm.address] = member

    async def close(self) -> None:
        """End every server."""
        for task in self._tasks:
            task.cancel()
        for member in self.members:
            await member.server.close()

    def group_members(self, leader: EngineVm) -> tuple[Member, ...]:
        """Return the VMs of the leader's assignment that exist."""
        found = (self._members.get(address) for address in leader.members)
        return tuple(member for member in found if member is not None)

    def absent(self, leader: EngineVm) -> list[str]:
        """Return the addresses whose VM is down or assigned elsewhere."""
        absent = []
        for address in leader.members:
            member = self._members.get(address)
            if member is None or not _belongs(member.vm, leader):
                absent.append(address)
        return absent

    def down(self, leader: EngineVm) -> list[str]:
        """Return the addresses of the assignment whose VM is down."""
        members = (self._members.get(address) for address in leader.members)
        return [
            address
            for address, member in zip(leader.members, members, strict=True)
            if member is None or not member.vm.alive
        ]

    def check_start(self, leader: EngineVm) -> None:
        """Record the promises that the start of a request breaks."""
        absent = self.absent(leader)
        if absent:
            self._ledger.violated(
                ViolationKind.SERVED_INCOMPLETE, leader.vm, f"absent {absent}"
            )
        key = (leader.group, leader.token)
        for member in self.group_members(leader):
            for other in self.members:
                for stream in other.streams:
                    used = (stream.execution.group, stream.execution.token)
                    if member in stream.members and used != key:
                        self._ledger.violated(
                            ViolationKind.VM_IN_TWO_GROUPS,
                            member.vm.vm,
                            f"{used} and {key}",
                        )
                        return

    def check_leaving(self, leader: EngineVm) -> None:
        """Record new work on a VM that has been leaving for too long."""
        for member in self.group_members(leader):
            self.check_service(member.vm)

    def check_service(self, vm: EngineVm) -> None:
        """Record new work on `vm` if it has been leaving for too long."""
        if vm.leaving_since is None:
            return
        elapsed = self._clock.monotonic() - vm.leaving_since
        late = elapsed - LEAVING_BOUND.total_seconds()
        if late > 0:
            self._ledger.violated(
                ViolationKind.WORK_AFTER_LEAVING, vm.vm, f"{late:.2f} s late"
            )

    def break_streams_of(self, vm: EngineVm) -> None:
        """Break every stream of a group that `vm` belongs to."""
        for leader in self.members:
            for stream in tuple(leader.streams):
                if any(member.vm is vm for member in stream.members):
                    if stream.transport is not None:
                        stream.transport.abort()

    def crash_if_marked(self, member: Member, prompt: str) -> None:
        """Kill the VM if the prompt contains the crash marker."""
        if self._marker and self._marker in prompt and member.vm.alive:
            self._ledger.crashes += 1
            # Set here, since a second marked request may run before the task.
            member.vm.alive = False
            self._spawn(self._crash(member, self._marker_restart_s))

    async def load_weights(self) -> None:
        """Share the weight rate among the loading VMs until cancelled."""
        while True:
            await self._clock.sleep(_LOAD_TICK)
            loading = [
                member.vm
                for member in self.members
                if member.vm.group and member.vm.alive and member.vm.loading_bytes > 0
            ]
            for vm in loading:
                part = self._rate_bytes_per_s * _LOAD_TICK.total_seconds()
                vm.load(part / len(loading))

    async def apply(self, fault: BackendFault) -> list[str]:
        """Apply `fault` and return the chosen VMs."""
        if fault.kind is FaultKind.CRASH_MARKER:
            self._marker = fault.marker
            self._marker_restart_s = fault.restart_after_s
            return []
        chosen = [member for member in self.members if _is_chosen(member.vm, fault)]
        if fault.kind in (FaultKind.CUT, FaultKind.HEAL):
            self._cut(chosen, fault)
        for member in chosen:
            await self._apply_to(member, fault)
            member.server.notify()
        return [member.vm.vm for member in chosen]

    async def _apply_to(self, member: Member, fault: BackendFault) -> None:
        vm = member.vm
        match fault.kind:
            case FaultKind.KILL:
                await self._kill(member)
            case FaultKind.REVIVE:
                await self._revive(member)
            case FaultKind.PAUSE:
                vm.reachable = False
            case FaultKind.RESUME:
                vm.reachable = True
            case FaultKind.DARK:
                await self._darken(member)
            case FaultKind.STRAGGLE:
                vm.slowdown = fault.factor
            case FaultKind.SILENCE:
                member.server.silence_connections()
            case FaultKind.LEAVE:
                vm.leaving_since = self._clock.monotonic()
                await self._post_vms({"leaving": [vm.vm]})
            case FaultKind.FENCING:
                vm.fencing = fault.fencing
            case FaultKind.LOSE_ANSWERS:
                member.lose_answers = fault.count

    def _cut(self, chosen: list[Member], fault: BackendFault) -> None:
        ports = None
        if fault.kind is FaultKind.CUT:
            ports = ProcessConnections(fault.pids)
            ports.read()
        for member in chosen:
            member.server.cut(ports)

    async def _kill(self, member: Member) -> None:
        member.vm.alive = False
        self.break_streams_of(member.vm)
        await member.server.refuse()
        await self._post_vms({"remove": [member.vm.vm]})

    async def _darken(self, member: Member) -> None:
        member.vm.alive = False
        member.vm.reachable = False
        for leader in self.members:
            for stream in tuple(leader.streams):
                # A leader that is dark itself cannot close its connections.
                if member in stream.members and leader.vm.alive:
                    if stream.transport is not None:
                        stream.transport.abort()
        await self._post_vms({"remove": [member.vm.vm]})

    async def _revive(self, member: Member) -> None:
        member.server.abort_connections()
        member.vm.restart()
        await member.server.listen()
        await self.register([member.vm])

    async def _crash(self, member: Member, restart_after_s: float) -> None:
        await self._kill(member)
        await self._clock.sleep(datetime.timedelta(seconds=restart_after_s))
        await self._revive(member)

    async def register(self, vms: list[EngineVm]) -> None:
        """Add `vms` to the platform's list."""
        entries = [
            {
                "vm": vm.vm,
                "role": "service" if vm.service else "engine",
                "address": vm.address,
                "zone": vm.zone,
                "region": vm.region,
                "domain": vm.domain,
                "service": vm.service,
                "leaving": vm.leaving_since is not None,
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

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _belongs(vm: EngineVm, leader: EngineVm) -> bool:
    return vm.alive and (vm.group, vm.token) == (leader.group, leader.token)


def _is_chosen(vm: EngineVm, fault: BackendFault) -> bool:
    return (
        vm.vm in fault.vms
        or (fault.domain != "" and vm.domain == fault.domain)
        or (fault.zone != "" and vm.zone == fault.zone)
    )
