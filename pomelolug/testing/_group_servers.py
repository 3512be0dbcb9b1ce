"""In-memory servers of replica groups, with the faults of real servers.

Each server rejects orders as a real one does: by epoch, fencing token and the
number of orders begun. The fleet records every violation of the two guarantees on
groups, whichever component caused it: a head opens only after all members of its
group were ready, and no member joins another group while its head may serve.
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

_REJOIN_TIME_S = 0.2
_ENTRY_DELAY_S = 0.05
_REPORT_TIMEOUT_S = 0.25


@dataclasses.dataclass(slots=True)
class SimulatedServer:
    """State of one server."""

    vm: VmId
    domain: DomainId
    start_time_ms: int = 1
    alive: bool = True
    reachable: bool = True
    is_registered: bool = True
    draining: bool = False
    orders_begun: int = 0
    fence: int = 0
    epoch: int = 0
    staged: set[ModelName] = dataclasses.field(default_factory=set)
    last_model: ModelName | None = None
    model: ModelName | None = None
    membership: GroupMembership | None = None
    members: tuple[VmId, ...] = ()
    broken_at_s: float | None = None
    has_work: bool = True
    """Whether the server works if it is a head, so that it detects a loss."""


_OrderAction = Callable[[SimulatedServer], OrderResult]


class EntrySink(Protocol):
    """Receives changed entries; None in place of an entry means that it expired."""

    def apply(
        self, records: Sequence[tuple[VmId, Offset, BackendServer | None]]
    ) -> object:
        """Apply entries with their offsets."""


class GroupServers(ServerControl):
    """Fleet of servers that executes orders and publishes changes to registries.

    Parameters
    ----------
    engine : EngineProfile
        Models with their load times.
    service : ServiceName
        Service of all servers.
    stall_timeout : datetime.timedelta
        Time after the loss of a member at which its head becomes broken.
    """

    def __init__(
        self,
        *,
        engine: EngineProfile,
        service: ServiceName,
        stall_timeout: datetime.timedelta,
    ) -> None:
        self._engine = engine
        self._service = service
        self._stall_timeout_s = stall_timeout.total_seconds()
        self._servers: dict[VmId, SimulatedServer] = {}
        self._registries: list[EntrySink] = []
        self._offset = 0
        self._ready_members: set[tuple[GroupId, int, VmId]] = set()
        self.violations: list[str] = []
        self.orders: list[tuple[str, VmId, OrderResult]] = []
        self.loads: list[tuple[VmId, ModelName]] = []
        self.order_delay_s: float | None = None
        """Delay with which orders are executed without a response.

        If it is None, orders are executed and answered at once.
        """
        self.finish_time_s = 0.0
        """Time that a closed head takes to finish its requests."""

    @property
    def servers(self) -> dict[VmId, SimulatedServer]:
        """Servers by id."""
        return self._servers

    def add(self, vm: str, domain: str, *, staged: str = "") -> SimulatedServer:
        """Add a server that belongs to no group."""
        server = SimulatedServer(VmId(vm), DomainId(domain))
        if staged:
            server.staged.add(ModelName(staged))
        self._servers[server.vm] = server
        self._publish_entry(server)
        return server

    def attach(self, registry: EntrySink) -> None:
        """Publish all servers to a registry, now and on each change."""
        self._registries.append(registry)
        for server in self._servers.values():
            self._send_entry(registry, server)

    def kill(self, vm: VmId) -> None:
        """Stop a server without publishing a change."""
        server = self._servers[vm]
        server.alive = False
        self._start_stall_timeout(server)

    def deregister(self, vm: VmId) -> None:
        """Remove the entry of a server without stopping the server."""
        self._servers[vm].is_registered = False
        self._publish_entry(self._servers[vm])

    def drain(self, vm: VmId) -> None:
        """Publish that a server is draining."""
        self._servers[vm].draining = True
        self._publish_entry(self._servers[vm])

    def restart(self, vm: VmId) -> None:
        """Restart a server with the same id; only its staged weights are kept."""
        old = self._servers[vm]
        self._start_stall_timeout(old)
        new = SimulatedServer(old.vm, old.domain, start_time_ms=old.start_time_ms + 1)
        new.staged = set(old.staged)
        self._servers[vm] = new
        self._publish_entry(new)

    def open_groups(self) -> dict[GroupId, ModelName]:
        """Return the model of each group that serves."""
        groups = {}
        for server in self._servers.values():
            membership = server.membership
            if (
                server.alive
                and membership is not None
                and membership.state is GroupState.OPEN
            ):
                if server.model is not None and server.broken_at_s is None:
                    groups[membership.group] = server.model
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
        return await self._execute_order(
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
        """Start serving at a head."""
        return await self._execute_order(
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
        """Stop serving at a head."""
        return await self._execute_order(
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
        """Remove a server from its group."""
        return await self._execute_order(
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
        return await self._execute_order(
            "stage", server, fence, orders_begun, lambda s: self._stage(s, model)
        )

    async def report(self, server: BackendServer) -> ServerReport | None:
        """Return a report, or None after a timeout if the server is unreachable."""
        simulated = self._servers[server.vm]
        if not simulated.alive or not simulated.reachable:
            await asyncio.sleep(_REPORT_TIMEOUT_S)
            return None
        return ServerReport(
            orders_begun=simulated.orders_begun,
            start_time_ms=simulated.start_time_ms,
            queued=0,
            running=0,
            used_kv_tokens=0,
            slowdown_factor=1.0,
            membership=simulated.membership,
            model=simulated.model,
            staged=frozenset(simulated.staged),
        )

    # Execution of orders

    async def _execute_order(
        self,
        kind: str,
        server: BackendServer,
        fence: int,
        orders_begun: int,
        action: _OrderAction,
    ) -> OrderResult:
        simulated = self._servers[server.vm]
        if not simulated.alive or not simulated.reachable:
            await asyncio.sleep(_REPORT_TIMEOUT_S)
            result = OrderResult.UNREACHABLE
        elif self.order_delay_s is not None:
            self._call_later(
                self.order_delay_s,
                self._apply_order,
                kind,
                server.vm,
                fence,
                orders_begun,
                action,
            )
            await asyncio.sleep(_REPORT_TIMEOUT_S)
            result = OrderResult.UNKNOWN
        else:
            result = self._apply_order(kind, server.vm, fence, orders_begun, action)
        self.orders.append((kind, server.vm, result))
        return result

    def _apply_order(
        self, kind: str, vm: VmId, fence: int, orders_begun: int, action: _OrderAction
    ) -> OrderResult:
        server = self._servers[vm]
        if not server.alive:
            return OrderResult.UNKNOWN
        if fence < server.fence:
            return OrderResult.FENCED
        if orders_begun != server.orders_begun:
            return OrderResult.CONFLICT
        server.fence = fence
        result = action(server)
        if result in (OrderResult.BEGUN, OrderResult.SATISFIED):
            server.orders_begun += result is OrderResult.BEGUN or kind == "leave"
            self._publish_entry(server)
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
        self._check_not_serving(server, group, epoch)
        if server.membership is not None:
            self._start_stall_timeout(server)
        server.epoch = epoch
        rank = members.index(server.vm)
        server.members = members
        server.model = None
        server.broken_at_s = None
        server.membership = GroupMembership(group, epoch, rank, GroupState.JOINING)
        self._call_later(
            self._join_duration_s(server, model),
            self._finish_join,
            server,
            epoch,
            model,
        )
        return OrderResult.BEGUN

    def _join_duration_s(self, server: SimulatedServer, model: ModelName) -> float:
        profile = self._engine.find_model(model)
        assert profile is not None
        if server.last_model == model:
            return _REJOIN_TIME_S
        if model in server.staged:
            return profile.warm_load_time.total_seconds()
        self.loads.append((server.vm, model))
        return profile.load_time.total_seconds()

    def _finish_join(
        self, server: SimulatedServer, epoch: int, model: ModelName
    ) -> None:
        membership = server.membership
        if membership is None or membership.epoch != epoch or not server.alive:
            return
        server.staged = {model}
        server.last_model = server.model = model
        server.membership = dataclasses.replace(membership, state=GroupState.READY)
        self._ready_members.add((membership.group, membership.epoch, server.vm))
        self._publish_entry(server)

    def _open(self, server: SimulatedServer, group: GroupId, epoch: int) -> OrderResult:
        membership = server.membership
        if (
            membership is None
            or (membership.group, membership.epoch) != (group, epoch)
            or membership.rank != 0
        ):
            return OrderResult.CONFLICT
        if membership.state is GroupState.OPEN:
            return OrderResult.SATISFIED
        if membership.state is not GroupState.READY:
            return OrderResult.CONFLICT
        for vm in server.members:
            if (group, epoch, vm) not in self._ready_members:
                self.violations.append(f"{group} was opened but {vm} was never ready")
        delay_s = self._engine.open_delay.total_seconds()
        self._call_later(delay_s, self._finish_open, server, epoch)
        return OrderResult.BEGUN

    def _finish_open(self, server: SimulatedServer, epoch: int) -> None:
        membership = server.membership
        if (
            membership is not None
            and membership.epoch == epoch
            and membership.state is GroupState.READY
        ):
            server.membership = dataclasses.replace(membership, state=GroupState.OPEN)
            self._publish_entry(server)

    def _close(
        self, server: SimulatedServer, group: GroupId, epoch: int
    ) -> OrderResult:
        membership = server.membership
        if membership is None or (membership.group, membership.epoch) != (group, epoch):
            return OrderResult.CONFLICT
        if self.finish_time_s:
            server.membership = dataclasses.replace(
                membership, state=GroupState.CLOSING
            )
            self._call_later(self.finish_time_s, self._finish_close, server, epoch)
            return OrderResult.BEGUN
        server.membership = dataclasses.replace(membership, state=GroupState.READY)
        return OrderResult.BEGUN

    def _finish_close(self, server: SimulatedServer, epoch: int) -> None:
        membership = server.membership
        if (
            membership is not None
            and membership.epoch == epoch
            and membership.state is GroupState.CLOSING
        ):
            server.membership = dataclasses.replace(membership, state=GroupState.READY)
            self._publish_entry(server)

    def _leave(
        self, server: SimulatedServer, group: GroupId, epoch: int
    ) -> OrderResult:
        membership = server.membership
        if membership is None or (membership.group, membership.epoch) != (group, epoch):
            return OrderResult.SATISFIED
        self._start_stall_timeout(server)
        server.membership = None
        return OrderResult.SATISFIED

    def _stage(self, server: SimulatedServer, model: ModelName) -> OrderResult:
        if model in server.staged:
            return OrderResult.SATISFIED
        profile = self._engine.find_model(model)
        assert profile is not None
        self.loads.append((server.vm, model))
        self._call_later(
            profile.load_time.total_seconds(), self._finish_staging, server, model
        )
        return OrderResult.BEGUN

    def _finish_staging(self, server: SimulatedServer, model: ModelName) -> None:
        server.staged = {model}
        self._publish_entry(server)

    # Guarantees on groups

    def _check_not_serving(
        self, server: SimulatedServer, group: GroupId, epoch: int
    ) -> None:
        """Record a violation if the head of the server's group may still serve."""
        membership = server.membership
        if membership is None or (membership.group, membership.epoch) == (group, epoch):
            return
        for other in self._servers.values():
            other_membership = other.membership
            is_same_group = other_membership is not None and (
                other_membership.group,
                other_membership.epoch,
            ) == (
                membership.group,
                membership.epoch,
            )
            if (
                not is_same_group
                or other_membership is None
                or other_membership.rank != 0
                or not other.alive
            ):
                continue
            is_serving = other_membership.state in (GroupState.OPEN, GroupState.CLOSING)
            if is_serving and not self._is_broken(other):
                self.violations.append(
                    f"{server.vm} joined {group} but {membership.group} may still serve"
                )

    def _is_broken(self, head: SimulatedServer) -> bool:
        now = asyncio.get_running_loop().time()
        return head.broken_at_s is not None and now >= head.broken_at_s

    def _start_stall_timeout(self, server: SimulatedServer) -> None:
        membership = server.membership
        if membership is None:
            return
        breaks_at_s = asyncio.get_running_loop().time() + self._stall_timeout_s
        for other in self._servers.values():
            other_membership = other.membership
            if (
                other_membership is not None
                and other is not server
                and other_membership.rank == 0
            ):
                if (other_membership.group, other_membership.epoch) == (
                    membership.group,
                    membership.epoch,
                ):
                    if other.broken_at_s is None and other.has_work:
                        other.broken_at_s = breaks_at_s
                        self._call_later(
                            self._stall_timeout_s,
                            self._mark_broken,
                            other,
                            other_membership,
                        )

    def _mark_broken(self, head: SimulatedServer, previous: GroupMembership) -> None:
        """Publish that the group of a head is broken, unless the head has left it."""
        membership = head.membership
        if (
            membership is None
            or membership.epoch != previous.epoch
            or self._servers[head.vm] is not head
        ):
            return
        head.membership = dataclasses.replace(membership, state=GroupState.BROKEN)
        self._publish_entry(head)

    # Entries

    def _publish_entry(self, server: SimulatedServer) -> None:
        for registry in self._registries:
            self._call_later(_ENTRY_DELAY_S, self._send_entry, registry, server)

    def _send_entry(self, registry: EntrySink, server: SimulatedServer) -> None:
        self._offset += 1
        entry = (
            self.build_entry(server.vm)
            if server.alive and server.is_registered
            else None
        )
        registry.apply([(server.vm, Offset(self._offset), entry)])

    def build_entry(self, vm: VmId) -> BackendServer:
        """Build the registry entry of a server."""
        server = self._servers[vm]
        return BackendServer(
            vm=server.vm,
            start_time_ms=server.start_time_ms,
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

    def expire_entry(self, vm: VmId) -> None:
        """Publish the entry again, or its removal if the server is dead."""
        self._publish_entry(self._servers[vm])

    def _call_later(
        self, delay_s: float, action: Callable[..., object], *args: object
    ) -> None:
        asyncio.get_running_loop().call_later(delay_s, lambda: action(*args))
