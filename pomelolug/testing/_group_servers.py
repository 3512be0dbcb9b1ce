"""Servers of replica groups in memory, with the faults of real ones.

Each server refuses orders as a real one does: by epoch, fencing token and the
number of orders begun. The fleet notes every breach of the two promises on
groups, whoever caused it.
"""

import asyncio
import dataclasses
import datetime
from collections.abc import Callable, Sequence
from typing import Protocol

from pomelolug.deployment import (
    BackendServer,
    EngineProfile,
    GroupMembership,
    GroupState,
    OrderResult,
    ServerControl,
    ServerReport,
    ServerState,
)
from pomelolug.ids import (
    DomainId,
    GroupId,
    ModelName,
    Offset,
    ServiceName,
    VmId,
    ZoneId,
)

__all__ = ["EntrySink", "GroupServers", "SimulatedServer"]

_REJOIN_S = 0.2
_ENTRY_LAG_S = 0.05
_REPORT_TIMEOUT_S = 0.25


@dataclasses.dataclass(slots=True)
class SimulatedServer:
    """State of one server."""

    vm: VmId
    domain: DomainId
    born_ms: int = 1
    alive: bool = True
    reachable: bool = True
    listed: bool = True
    draining: bool = False
    begun: int = 0
    fence: int = 0
    epoch: int = 0
    staged: set[ModelName] = dataclasses.field(default_factory=set)
    last_model: ModelName | None = None
    model: ModelName | None = None
    membership: GroupMembership | None = None
    members: tuple[VmId, ...] = ()
    broken_at: float | None = None


_Action = Callable[[SimulatedServer], OrderResult]


class EntrySink(Protocol):
    """Takes changed entries; a missing entry has lapsed."""

    def apply(
        self, records: Sequence[tuple[VmId, Offset, BackendServer | None]]
    ) -> object:
        """Take entries with their offsets."""


class GroupServers(ServerControl):
    """A fleet of servers that takes orders and tells a registry of changes.

    Parameters
    ----------
    engine : EngineProfile
        Models with their load times.
    service : ServiceName
        Service of all servers.
    stall : datetime.timedelta
        Time after which an open head with a lost member is broken.
    """

    def __init__(
        self, *, engine: EngineProfile, service: ServiceName, stall: datetime.timedelta
    ) -> None:
        self._engine = engine
        self._service = service
        self._stall_s = stall.total_seconds()
        self._servers: dict[VmId, SimulatedServer] = {}
        self._registries: list[EntrySink] = []
        self._offset = 0
        self._ready_lists: set[tuple[GroupId, int, VmId]] = set()
        self.violations: list[str] = []
        self.orders: list[tuple[str, VmId, OrderResult]] = []
        self.loads: list[tuple[VmId, ModelName]] = []
        self.late_s: float | None = None
        """Delay with which orders are carried out unanswered, None for none."""

    @property
    def servers(self) -> dict[VmId, SimulatedServer]:
        """Servers by id."""
        return self._servers

    def add(self, vm: str, domain: str, *, staged: str = "") -> SimulatedServer:
        """Add an empty server."""
        server = SimulatedServer(VmId(vm), DomainId(domain))
        if staged:
            server.staged.add(ModelName(staged))
        self._servers[server.vm] = server
        self._tell(server)
        return server

    def attach(self, registry: EntrySink) -> None:
        """Tell a registry of all servers, now and on each change."""
        self._registries.append(registry)
        for server in self._servers.values():
            self._tell_one(registry, server)

    def kill(self, vm: VmId) -> None:
        """End a server for good, silently."""
        server = self._servers[vm]
        server.alive = False
        self._member_lost(server)

    def unlist(self, vm: VmId) -> None:
        """Let the entry of a server lapse."""
        self._servers[vm].listed = False
        self._tell(self._servers[vm])

    def drain(self, vm: VmId) -> None:
        """Let a server announce that it leaves."""
        self._servers[vm].draining = True
        self._tell(self._servers[vm])

    def restart(self, vm: VmId) -> None:
        """Start a server again under its id, without memory."""
        old = self._servers[vm]
        self._member_lost(old)
        new = SimulatedServer(old.vm, old.domain, born_ms=old.born_ms + 1)
        new.staged = set(old.staged)
        self._servers[vm] = new
        self._tell(new)

    def open_groups(self) -> dict[GroupId, ModelName]:
        """Return the groups that serve."""
        groups = {}
        for server in self._servers.values():
            m = server.membership
            if server.alive and m is not None and m.state is GroupState.OPEN:
                if server.model is not None and server.broken_at is None:
                    groups[m.group] = server.model
        return groups

    # ServerControl

    async def join(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        model: ModelName,
        members: tuple[VmId, ...],
        orders_begun: int,
    ) -> OrderResult:
        """Make a server a member of a group."""
        return await self._order(
            "join",
            server,
            epoch,
            orders_begun,
            lambda s: self._join(s, group, epoch, model, members),
        )

    async def open(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Let a head serve."""
        return await self._order(
            "open", server, fence, orders_begun, lambda s: self._open(s, group, epoch)
        )

    async def close(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        finish: bool,
        orders_begun: int,
    ) -> OrderResult:
        """End serving at a head."""
        return await self._order(
            "close", server, fence, orders_begun, lambda s: self._close(s, group, epoch)
        )

    async def leave(
        self,
        server: BackendServer,
        *,
        group: GroupId,
        epoch: int,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Take a server out of its group."""
        return await self._order(
            "leave", server, fence, orders_begun, lambda s: self._leave(s, group, epoch)
        )

    async def stage(
        self,
        server: BackendServer,
        *,
        model: ModelName,
        fence: int,
        orders_begun: int,
    ) -> OrderResult:
        """Load weights onto the host."""
        return await self._order(
            "stage", server, fence, orders_begun, lambda s: self._stage(s, model)
        )

    async def report(self, server: BackendServer) -> ServerReport | None:
        """Return a report, None after a time-out if the server is lost."""
        simulated = self._servers[server.vm]
        if not simulated.alive or not simulated.reachable:
            await asyncio.sleep(_REPORT_TIMEOUT_S)
            return None
        return ServerReport(
            orders_begun=simulated.begun,
            start_time_ms=simulated.born_ms,
            queued=0,
            running=0,
            used_kv_tokens=0,
            slowdown_factor=1.0,
            membership=simulated.membership,
            model=simulated.model,
            staged=frozenset(simulated.staged),
        )

    # Orders at a server

    async def _order(
        self,
        kind: str,
        server: BackendServer,
        fence: int,
        begun: int,
        action: _Action,
    ) -> OrderResult:
        simulated = self._servers[server.vm]
        if not simulated.alive or not simulated.reachable:
            await asyncio.sleep(_REPORT_TIMEOUT_S)
            result = OrderResult.UNREACHABLE
        elif self.late_s is not None:
            self._later(self.late_s, self._apply, kind, server.vm, fence, begun, action)
            await asyncio.sleep(_REPORT_TIMEOUT_S)
            result = OrderResult.UNKNOWN
        else:
            result = self._apply(kind, server.vm, fence, begun, action)
        self.orders.append((kind, server.vm, result))
        return result

    def _apply(
        self, kind: str, vm: VmId, fence: int, begun: int, action: _Action
    ) -> OrderResult:
        server = self._servers[vm]
        if not server.alive:
            return OrderResult.UNKNOWN
        if fence < server.fence:
            return OrderResult.FENCED
        if begun != server.begun:
            return OrderResult.CONFLICT
        server.fence = fence
        result = action(server)
        if result in (OrderResult.BEGUN, OrderResult.SATISFIED):
            server.begun += result is OrderResult.BEGUN or kind == "leave"
            self._tell(server)
        return result

    def _join(
        self,
        server: SimulatedServer,
        group: GroupId,
        epoch: int,
        model: ModelName,
        members: tuple[VmId, ...],
    ) -> OrderResult:
        if epoch < server.epoch:
            return OrderResult.FENCED
        self._check_free(server, group, epoch)
        if server.membership is not None:
            self._member_lost(server)
        server.epoch = epoch
        rank = members.index(server.vm)
        server.members = members
        server.model = None
        server.broken_at = None
        server.membership = GroupMembership(group, epoch, rank, GroupState.JOINING)
        self._later(self._join_s(server, model), self._joined, server, epoch, model)
        return OrderResult.BEGUN

    def _join_s(self, server: SimulatedServer, model: ModelName) -> float:
        profile = self._engine.find_model(model)
        assert profile is not None
        if server.last_model == model:
            return _REJOIN_S
        if model in server.staged:
            return profile.warm_load_time.total_seconds()
        self.loads.append((server.vm, model))
        return profile.load_time.total_seconds()

    def _joined(self, server: SimulatedServer, epoch: int, model: ModelName) -> None:
        m = server.membership
        if m is None or m.epoch != epoch or not server.alive:
            return
        server.staged = {model}
        server.last_model = server.model = model
        server.membership = dataclasses.replace(m, state=GroupState.READY)
        self._ready_lists.add((m.group, m.epoch, server.vm))
        self._tell(server)

    def _open(self, server: SimulatedServer, group: GroupId, epoch: int) -> OrderResult:
        m = server.membership
        if m is None or (m.group, m.epoch) != (group, epoch) or m.rank != 0:
            return OrderResult.CONFLICT
        if m.state is GroupState.OPEN:
            return OrderResult.SATISFIED
        if m.state is not GroupState.READY:
            return OrderResult.CONFLICT
        for vm in server.members:
            if (group, epoch, vm) not in self._ready_lists:
                self.violations.append(f"{group} opened, {vm} never ready")
        delay_s = self._engine.open_delay.total_seconds()
        self._later(delay_s, self._opened, server, epoch)
        return OrderResult.BEGUN

    def _opened(self, server: SimulatedServer, epoch: int) -> None:
        m = server.membership
        if m is not None and m.epoch == epoch and m.state is GroupState.READY:
            server.membership = dataclasses.replace(m, state=GroupState.OPEN)
            self._tell(server)

    def _close(
        self, server: SimulatedServer, group: GroupId, epoch: int
    ) -> OrderResult:
        m = server.membership
        if m is None or (m.group, m.epoch) != (group, epoch):
            return OrderResult.CONFLICT
        server.membership = dataclasses.replace(m, state=GroupState.READY)
        return OrderResult.BEGUN

    def _leave(
        self, server: SimulatedServer, group: GroupId, epoch: int
    ) -> OrderResult:
        m = server.membership
        if m is None or (m.group, m.epoch) != (group, epoch):
            return OrderResult.SATISFIED
        self._member_lost(server)
        server.membership = None
        return OrderResult.SATISFIED

    def _stage(self, server: SimulatedServer, model: ModelName) -> OrderResult:
        if model in server.staged:
            return OrderResult.SATISFIED
        profile = self._engine.find_model(model)
        assert profile is not None
        self.loads.append((server.vm, model))
        self._later(profile.load_time.total_seconds(), self._staged, server, model)
        return OrderResult.BEGUN

    def _staged(self, server: SimulatedServer, model: ModelName) -> None:
        server.staged = {model}
        self._tell(server)

    # Promises

    def _check_free(self, server: SimulatedServer, group: GroupId, epoch: int) -> None:
        """Note a join of a server whose group's head may still serve."""
        m = server.membership
        if m is None or (m.group, m.epoch) == (group, epoch):
            return
        for other in self._servers.values():
            theirs = other.membership
            same = theirs is not None and (theirs.group, theirs.epoch) == (
                m.group,
                m.epoch,
            )
            if not same or theirs is None or theirs.rank != 0 or not other.alive:
                continue
            serving = theirs.state in (GroupState.OPEN, GroupState.CLOSING)
            if serving and not self._is_broken(other):
                self.violations.append(f"{server.vm} left {m.group} for {group}")

    def _is_broken(self, head: SimulatedServer) -> bool:
        now = asyncio.get_running_loop().time()
        return head.broken_at is not None and now >= head.broken_at

    def _member_lost(self, server: SimulatedServer) -> None:
        m = server.membership
        if m is None:
            return
        breaks_at = asyncio.get_running_loop().time() + self._stall_s
        for other in self._servers.values():
            theirs = other.membership
            if theirs is not None and other is not server and theirs.rank == 0:
                if (theirs.group, theirs.epoch) == (m.group, m.epoch):
                    if other.broken_at is None:
                        other.broken_at = breaks_at
                        self._later(self._stall_s, self._break, other, theirs)

    def _break(self, head: SimulatedServer, was: GroupMembership) -> None:
        """Let a head say that its group is broken, unless it has left it."""
        m = head.membership
        if m is None or m.epoch != was.epoch or self._servers[head.vm] is not head:
            return
        head.membership = dataclasses.replace(m, state=GroupState.BROKEN)
        self._tell(head)

    # Entries

    def _tell(self, server: SimulatedServer) -> None:
        for registry in self._registries:
            self._later(_ENTRY_LAG_S, self._tell_one, registry, server)

    def _tell_one(self, registry: EntrySink, server: SimulatedServer) -> None:
        self._offset += 1
        entry = self.entry(server.vm) if server.alive and server.listed else None
        registry.apply([(server.vm, Offset(self._offset), entry)])

    def entry(self, vm: VmId) -> BackendServer:
        """Return the entry that a server writes."""
        server = self._servers[vm]
        return BackendServer(
            vm=server.vm,
            start_time_ms=server.born_ms,
            service=self._service,
            address=f"{server.vm}:1",
            zone=ZoneId("z"),
            domain=server.domain,
            state=ServerState.DRAINING if server.draining else ServerState.READY,
            slots=self._engine.slots,
            staged=frozenset(server.staged),
            model=server.model,
            membership=server.membership,
        )

    def lapse(self, vm: VmId) -> None:
        """Remove the entry of a dead server, as its heartbeats have ended."""
        self._tell(self._servers[vm])

    def _later(
        self, delay_s: float, action: Callable[..., object], *args: object
    ) -> None:
        asyncio.get_running_loop().call_later(delay_s, lambda: action(*args))
