"""Control loop of the node that holds the duty of forming groups."""

import asyncio
import collections
import dataclasses
import datetime
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    Declaration,
    EngineProfile,
    GroupState,
    ModelProfile,
    ServerControl,
    ServerRegistry,
    ServerState,
)
from pomelolug.ids import DomainId, GroupId, ModelName, ServiceName, VmId
from pomelolug.replicas._departures import Departures
from pomelolug.replicas._desk import GroupEvent, OrderDesk
from pomelolug.replicas._duty import DutyHolder
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._plan import (
    NewGroup,
    needed_servers,
    plan_groups,
    plan_second_weights,
    plan_staging,
)
from pomelolug.replicas._view import (
    GroupKey,
    GroupView,
    group_views,
    is_standby,
)

__all__ = ["GroupController", "GroupEvent"]

_log = structlog.get_logger(__name__)

TICK = datetime.timedelta(milliseconds=150)
"""Longest pause between two rounds."""
_LEAST_PAUSE = datetime.timedelta(milliseconds=20)
_PROBE_PAUSE = datetime.timedelta(milliseconds=50)
_FORMATION_S = 4.0
"""Time beyond the load after which an unfinished group is given up."""
_SETTLE_S = 0.6
_SETTLE_MOST_S = 2.5
"""Wait for further servers of a domain before the first groups are formed."""
_STALL_MARGIN_S = 0.5
_DRAIN_PATIENCE_S = 5.0
"""Time for which a group serves on with a leaving member and no spare.

The platform keeps a leaving member for at most 10 s while its head has work, and
the longest streams take some seconds.
"""
_IDLE_HEAD_S = 40.0
"""Wait for a silent head without work, which does not notice a departure.

It may be open behind a partition; partitions of servers last up to ten seconds, and
the head is asked to leave when it answers again.
"""
_VERIFY_S = 3.0
"""Time after a loss in which members of the domain have to answer first.

It covers the time until the entries of the lost servers have lapsed.
"""
_VERIFIED_S = 1.0
"""Age of a report that shows that a server answers."""
_STARTUP_LOADS = 3
"""Loads at once before the first request, as a factor on the declared number."""


_SERVING_STATES = (GroupState.OPEN, GroupState.CLOSING)


@dataclasses.dataclass(slots=True)
class _Formation:
    """A group that this node forms."""

    key: GroupKey
    model: ModelProfile
    members: tuple[VmId, ...]
    born: dict[VmId, int]
    deadline: float
    opened: bool = False


@dataclasses.dataclass(slots=True)
class _Release:
    """A group whose members become free at `free_at`."""

    free_at: float | None = None
    left: bool = False
    worked: bool = False
    """Whether streams of the head stood still, so that it had work."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Demand:
    """Servers in groups of each model, and how many its work needs."""

    in_groups: Mapping[ModelName, int]
    needed: Mapping[ModelName, float]


class GroupController:
    """Forms, opens, repairs and ends replica groups.

    What it knows of groups comes from the servers' own entries, so a successor
    needs no state of its predecessor. A member of an ended group is used again
    only when the head has confirmed that it left the group, or, if the head
    does not answer, after the time in which it must notice the loss of a member.

    Parameters
    ----------
    duty : DutyHolder
        Whether this node may give orders, and its fencing tokens.
    registry : ServerRegistry
        Servers, read from the store.
    control : ServerControl
        Sends orders.
    health : ServerHealth
        Servers that do not answer.
    departures : Departures
        Departures from groups whose heads do not answer.
    clock : Clock
        Source of monotonic time.
    declaration : callable
        Returns the declaration in force, or None.
    stall : datetime.timedelta
        Time in which a head notices the loss of a member.
    serving : callable
        Returns whether callers have sent requests already.
    in_flight : callable
        Returns the requests of all nodes at a head.
    on_event : GroupEvent
        Called for each decision, for metrics.
    """

    def __init__(
        self,
        *,
        duty: DutyHolder,
        registry: ServerRegistry,
        control: ServerControl,
        health: ServerHealth,
        departures: Departures,
        clock: Clock,
        declaration: Callable[[], Declaration | None],
        stall: datetime.timedelta,
        serving: Callable[[], bool],
        in_flight: Callable[[VmId], int],
        on_event: GroupEvent,
    ) -> None:
        self._duty = duty
        self._health = health
        self._departures = departures
        self._clock = clock
        self._declaration = declaration
        self._stall_s = stall.total_seconds() + _STALL_MARGIN_S
        self._serving = serving
        self._in_flight = in_flight
        self._on_event = on_event
        self._fleet = FleetView(
            registry=registry,
            health=health,
            clock=clock,
            in_flight=in_flight,
            runs_models=self._runs_models,
        )
        self._desk = OrderDesk(
            duty=duty, control=control, health=health, clock=clock, on_event=on_event
        )
        self._formations: dict[GroupKey, _Formation] = {}
        self._releases: dict[GroupKey, _Release] = {}
        self._staging: dict[VmId, tuple[ModelName, float]] = {}
        self._first_seen: dict[ServiceName, tuple[float, float, int]] = {}
        self._draining_since: dict[GroupKey, float] = {}
        self._verify_until: dict[DomainId, float] = {}
        self._witnesses: set[tuple[GroupKey, VmId]] = set()
        self._awake = asyncio.Event()
        self._orders: set[asyncio.Task[None]] = set()
        self._was_held = False
        self._watching_since = clock.monotonic()

    def suspect(self, head: VmId) -> None:
        """Take note that the streams of a group stand still."""
        self._fleet.suspect(head)

    def wake(self) -> None:
        """Do the next round at once, because servers have changed."""
        self._awake.set()

    async def run(self) -> None:
        """Work until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_rounds())
            group.create_task(self._run_probes())

    async def _run_rounds(self) -> None:
        while True:
            try:
                self.step()
            except Exception:
                _log.exception("group_step_failed")
            await self._clock.sleep(_LEAST_PAUSE)
            try:
                async with asyncio.timeout(TICK.total_seconds()):
                    await self._awake.wait()
            except TimeoutError:
                continue

    async def _run_probes(self) -> None:
        while True:
            if self._duty.held:
                await self._fleet.probe(self._waiting())
                self.wake()
            await self._clock.sleep(_PROBE_PAUSE)

    def step(self) -> None:
        """Do one round: start the orders that are due."""
        self._awake.clear()
        self._fleet.track()
        declaration = self._declaration()
        if not self._duty.held or declaration is None:
            if self._was_held:
                self._forget()
            return
        self._was_held = True
        orders: list[Coroutine[Any, Any, None]] = []
        for service in declaration.engine_services():
            assert service.engine is not None
            orders += self._service_orders(service.name, service.engine)
        for order in orders:
            task = asyncio.get_running_loop().create_task(order)
            self._orders.add(task)
            task.add_done_callback(self._orders.discard)

    def _forget(self) -> None:
        self._was_held = False
        self._formations.clear()
        self._releases.clear()
        self._staging.clear()
        self._desk.clear()
        self._witnesses.clear()
        self._verify_until.clear()
        self._draining_since.clear()

    def _waiting(self) -> list[BackendServer]:
        """Return the servers whose reports are awaited before they get orders."""
        waiting = []
        for server in self._fleet.known.values():
            unknown = self._health.orders_begun(server) is None
            idle = server.membership is None and unknown
            unverified = self._unverified(server) and self._is_free(server)
            if (idle or unverified) and self._runs_models(server.service):
                waiting.append(server)
        return waiting

    def _runs_models(self, name: ServiceName) -> bool:
        declaration = self._declaration()
        service = declaration and declaration.services.get(name)
        return bool(service and service.engine)

    def _service_orders(
        self, name: ServiceName, engine: EngineProfile
    ) -> list[Coroutine[Any, Any, None]]:
        servers = [s for s in self._fleet.known.values() if s.service == name]
        views = {
            key: view
            for key, view in group_views(self._fleet.members(name)).items()
            if not is_standby(key)
        }
        orders: list[Coroutine[Any, Any, None]] = []
        for formation in list(self._formations.values()):
            if formation.model in engine.models:
                orders += self._advance(formation, views)
        for key, view in views.items():
            if key not in self._formations:
                orders += self._inspect(view, engine)
        free = [s for s in servers if self._is_free(s)]
        # A domain is planned once all its free servers have answered, so that
        # the choice does not depend on which of them answers first.
        waiting = {s.domain for s in free if self._unverified(s)}
        free = [s for s in free if s.domain not in waiting]
        if not self._settled(name, servers):
            free = _in_full_domains(free, engine)
        demand = self._demand(engine, servers, views)
        orders += self._form(engine, free, views, demand)
        orders += self._stage(engine, free, views, demand)
        return orders

    def _demand(
        self,
        engine: EngineProfile,
        servers: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
    ) -> _Demand:
        counts: dict[ModelName, int] = {}
        in_flight: dict[ModelName, int] = {}
        for key, view in views.items():
            if view.model is None or key in self._releases:
                continue
            counts[view.model] = counts.get(view.model, 0) + len(view.members)
            if view.head is not None:
                work = self._in_flight(view.head.vm)
                in_flight[view.model] = in_flight.get(view.model, 0) + work
        for formation in self._formations.values():
            name = formation.model.name
            if formation.key not in views or views[formation.key].model is None:
                counts[name] = counts.get(name, 0) + formation.model.size
        usable = sum(self._fleet.usable(server) for server in servers)
        needed = needed_servers(
            engine.models, in_flight, slots=engine.slots, servers=usable
        )
        return _Demand(counts, needed)

    def _settled(self, name: ServiceName, servers: list[BackendServer]) -> bool:
        """Return whether the list of servers has stopped growing after the start."""
        now = self._clock.monotonic()
        first, changed, count = self._first_seen.get(name, (now, now, 0))
        if len(servers) != count:
            changed = now
        self._first_seen[name] = (first, changed, len(servers))
        return now - changed >= _SETTLE_S or now - first >= _SETTLE_MOST_S

    def _advance(
        self, formation: _Formation, views: Mapping[GroupKey, GroupView]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that bring a formation forward."""
        now = self._clock.monotonic()
        servers = [self._fleet.known.get(vm) for vm in formation.members]
        failed = [
            vm
            for vm, server in zip(formation.members, servers, strict=True)
            if server is None
            or not self._fleet.usable(server)
            or server.born_ms != formation.born[vm]
            or self._newer_epoch(server, formation.key[1])
        ]
        if failed or now > formation.deadline:
            self._give_up(formation, "member_lost" if failed else "timeout", failed)
            return []
        view = views.get(formation.key)
        present = [s for s in servers if s is not None]
        if view is not None and view.head_state is GroupState.OPEN:
            del self._formations[formation.key]
            self._decided("group_open", formation.key, model=formation.model.name)
            return []
        if view is not None and view.all_ready(formation.model.size):
            return self._open_order(formation, present[0])
        return [
            self._desk.join(
                server, formation.key, formation.model.name, formation.members
            )
            for server in present
            if not self._is_member(server, formation.key) and self._desk.due(server.vm)
        ]

    def _open_order(
        self, formation: _Formation, head: BackendServer
    ) -> list[Coroutine[Any, Any, None]]:
        if not self._desk.due(head.vm):
            return []
        formation.opened = True
        return [self._desk.open(formation.key, head)]

    def _give_up(self, formation: _Formation, reason: str, failed: list[VmId]) -> None:
        del self._formations[formation.key]
        if not formation.opened:
            # The head was never told to open, so no member is bound by it.
            self._releases[formation.key] = _Release(free_at=0.0, left=True)
        self._decided("group_given_up", formation.key, reason=reason, failed=failed)

    def _newer_epoch(self, server: BackendServer, epoch: int) -> bool:
        return server.membership is not None and server.membership.epoch > epoch

    def _is_member(self, server: BackendServer, key: GroupKey) -> bool:
        m = server.membership
        return m is not None and (m.group, m.epoch) == key

    def _inspect(
        self, view: GroupView, engine: EngineProfile
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders for a group that is not being formed."""
        release = self._releases.get(view.key)
        if release is not None and release.free_at is not None:
            silent = view.head
            waits = self._clock.monotonic() < release.free_at
            if waits and silent is not None and self._fleet.usable(silent):
                if self._desk.due(silent.vm):
                    return [self._leave(view.key, silent, release)]
            return []
        model = engine.model(view.model) if view.model is not None else None
        members = list(view.members.values())
        lost = [m for m in members if not self._fleet.present(m)]
        if self._fleet.advances(view):
            lost = []
        complete = model is not None and len(members) == model.size and not lost
        draining = [
            member
            for member in members
            if member.state is ServerState.DRAINING
            # Requests may not be sent to a head without an entry.
            or (member is view.head and member.vm not in self._fleet.known)
        ]
        if view.model is None and not lost and not draining:
            if len(members) in {m.size for m in engine.models}:
                return []  # a predecessor's group that loads its weights
        if complete and not draining:
            if view.head_state is GroupState.READY and release is None:
                return self._reopen(view, model)
            if view.head_state is not GroupState.BROKEN:
                return []
        if complete and draining and view.head_state in _SERVING_STATES:
            if view.head in draining or self._may_close(view, model):
                return self._close_for_drain(view)
            return []
        return self._release_group(view, lost)

    def _reopen(
        self, view: GroupView, model: ModelProfile | None
    ) -> list[Coroutine[Any, Any, None]]:
        """Open a group that a predecessor formed and did not open."""
        head = view.head
        if head is None or model is None or not view.all_ready(model.size):
            return []
        return [self._desk.open(view.key, head)] if self._desk.due(head.vm) else []

    def _may_close(self, view: GroupView, model: ModelProfile | None) -> bool:
        """Return whether a group with a leaving member should end its work now.

        The member stays while the head has work, so the group serves until a
        spare can take the place, or until little of that time is left.
        """
        now = self._clock.monotonic()
        since = self._draining_since.setdefault(view.key, now)
        if now - since >= _DRAIN_PATIENCE_S:
            return True
        domain = next(iter(view.members.values())).domain
        return model is None or any(
            server.domain == domain
            and self._is_free(server)
            and self._fleet.candidate(server).readiness(model.name) < 2
            for server in self._fleet.known.values()
        )

    def _close_for_drain(self, view: GroupView) -> list[Coroutine[Any, Any, None]]:
        head = view.head
        if head is None or view.head_state is GroupState.CLOSING:
            return []
        return [self._desk.close(view.key, head)] if self._desk.due(head.vm) else []

    def _release_group(
        self, view: GroupView, lost: list[BackendServer]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that free the members of an incomplete group."""
        release = self._releases.setdefault(view.key, _Release())
        if lost:
            until = self._clock.monotonic() + _VERIFY_S
            self._verify_until[lost[0].domain] = until
        head = view.head
        if head is not None and head not in lost:
            return (
                [self._leave(view.key, head, release)]
                if self._desk.due(head.vm)
                else []
            )
        if head is not None and self._fleet.suspected(head.vm):
            release.worked = True
        left_at = self._departures.left_at(view.key)
        if left_at is not None and not release.left:
            release.left = True
            release.free_at = left_at + self._stall_s
        if release.left:
            return []
        survivors = [m for m in view.members.values() if m not in lost]
        if not survivors:
            return []
        # A head that does not answer notices the loss of this member in time.
        witness = min(survivors, key=lambda m: m.vm)
        return (
            [self._leave(view.key, witness, release)]
            if self._desk.due(witness.vm)
            else []
        )

    def _unverified(self, server: BackendServer) -> bool:
        """Return whether a server of a domain with a recent loss has to answer.

        The entry of a server that was lost with others is there for some
        seconds, and a group formed with it fails.
        """
        now = self._clock.monotonic()
        if self._verify_until.get(server.domain, 0.0) < now:
            return False
        return self._health.report(server.vm, newest_s=_VERIFIED_S) is None

    def _is_free(self, server: BackendServer) -> bool:
        if not self._fleet.usable(server) or self._in_formation(server.vm):
            return False
        now = self._clock.monotonic()
        membership = server.membership
        if membership is None:
            # A predecessor may have taken the server out of a group whose head
            # it could not reach; wait as it would have.
            fresh = self._health.orders_begun(server) == 0
            settled = now - self._duty.since > self._stall_s
            return (fresh or settled or self._own(server)) and not self._held_back(
                server
            )
        key = (membership.group, membership.epoch)
        if is_standby(key):
            return True
        release = self._releases.get(key)
        return (
            release is not None
            and release.free_at is not None
            and now >= release.free_at
        )

    def _own(self, server: BackendServer) -> bool:
        """Return whether this node would have seen the server in a group."""
        watched_s = self._clock.monotonic() - self._watching_since
        seen = self._fleet.last_model(server) is not None
        return watched_s > self._stall_s and not seen

    def _held_back(self, server: BackendServer) -> bool:
        """Return whether a group that the server has left is not free yet."""
        now = self._clock.monotonic()
        return any(
            release.free_at is not None and now < release.free_at
            for key, release in self._releases.items()
            if (key, server.vm) in self._witnesses
        )

    def _in_formation(self, vm: VmId) -> bool:
        return any(vm in f.members for f in self._formations.values())

    def _form(
        self,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: _Demand,
    ) -> list[Coroutine[Any, Any, None]]:
        orders: list[Coroutine[Any, Any, None]] = []
        room = self._load_room(engine, views)
        groups = plan_groups(
            map(self._fleet.candidate, free),
            engine.models,
            demand.in_groups,
            demand.needed,
            loading=not self._serving(),
        )
        for group in groups:
            if group.loads and room <= 0:
                # The order keeps the models in balance, so none is passed over.
                break
            room -= group.loads
            orders += self._start(group)
        return orders

    def _load_room(
        self, engine: EngineProfile, views: Mapping[GroupKey, GroupView]
    ) -> int:
        """Return how many loads may start now without slowing others down."""
        most = engine.loads_at_once
        if not self._serving():
            most *= _STARTUP_LOADS
        running = len(self._staging)
        for view in views.values():
            for member in view.members.values():
                joining = (
                    member.membership is not None
                    and member.membership.state is GroupState.JOINING
                )
                running += joining
        for formation in self._formations.values():
            if formation.key not in views:
                running += formation.model.size
        return max(most - running, most if running == 0 else 0)

    def _start(self, group: NewGroup) -> list[Coroutine[Any, Any, None]]:
        epoch = self._duty.next_epoch()
        key = (GroupId(f"g{epoch}"), epoch)
        now = self._clock.monotonic()
        load_s = group.model.load.total_seconds() * (2.0 if group.loads else 0.0)
        formation = _Formation(
            key=key,
            model=group.model,
            members=tuple(m.server.vm for m in group.members),
            born={m.server.vm: m.server.born_ms for m in group.members},
            deadline=now + load_s + group.model.warm.total_seconds() + _FORMATION_S,
        )
        self._formations[key] = formation
        for member in group.members:
            self._staging.pop(member.server.vm, None)
        self._decided(
            "group_forming",
            key,
            model=group.model.name,
            members=list(formation.members),
            loads=group.loads,
        )
        for member in group.members:
            self._desk.take(member.server.vm)
        return [
            self._desk.join(m.server, key, group.model.name, formation.members)
            for m in group.members
        ]

    def _stage(
        self,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: _Demand,
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the loads for spares, once no group waits for loads."""
        now = self._clock.monotonic()
        servers = {s.vm: s for s in free}
        for vm, (model, at) in list(self._staging.items()):
            known = self._fleet.known.get(vm)
            if known is None or model in known.staged or now - at > 60.0:
                del self._staging[vm]
        spares = [
            s
            for s in free
            if not self._in_formation(s.vm) and s.vm not in self._staging
        ]
        groups: dict[Any, list[ModelName]] = {}
        for key, view in views.items():
            if view.model is not None and key not in self._releases:
                domain = next(iter(view.members.values())).domain
                groups.setdefault(domain, []).append(view.model)
        room = self._load_room(engine, views)
        orders: list[Coroutine[Any, Any, None]] = self._keep_warm(spares)
        candidates = [self._fleet.candidate(spare) for spare in spares]
        planned = plan_staging(
            candidates,
            engine.models,
            groups,
            demand.in_groups,
            demand.needed,
        )
        taken = {vm for vm, _ in planned}
        planned += [
            (vm, model)
            for vm, model in plan_second_weights(candidates, engine.models)
            if vm not in taken
        ]
        for vm, name in planned[: max(room, 0)]:
            if self._desk.due(vm):
                self._staging[vm] = (name, now)
                orders.append(self._load(servers[vm], name))
        return orders

    def _keep_warm(
        self, spares: list[BackendServer]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that bring staged weights of spares into memory.

        A spare that was in a group of a model joins the next one at once, so it
        is made the only member of a group that is never opened. A successor sees
        by this group that the spare is free.
        """
        orders = []
        for spare in spares:
            m = spare.membership
            if m is not None and is_standby((m.group, m.epoch)):
                continue
            model = self._fleet.last_model(spare)
            if model is None:
                model = min(spare.staged, default=None)
            if model is not None and self._desk.due(spare.vm):
                epoch = self._duty.next_epoch()
                orders.append(self._desk.join_standby(spare, epoch, model))
        return orders

    async def _leave(
        self, key: GroupKey, server: BackendServer, release: _Release
    ) -> None:
        """Take a server out of an ended group; its members become free."""
        membership = server.membership
        if not await self._desk.leave(key, server):
            return
        release.left = True
        is_head = membership is not None and membership.rank == 0
        worked = release.worked
        wait_s = self._stall_s if worked else _IDLE_HEAD_S
        release.free_at = self._clock.monotonic() + (0.0 if is_head else wait_s)
        self.wake()
        if not is_head:
            self._witnesses.add((key, server.vm))
            if worked:
                self._departures.note(key)

    async def _load(self, server: BackendServer, model: ModelName) -> None:
        if not await self._desk.stage(server, model):
            self._staging.pop(server.vm, None)

    def _decided(self, event: str, key: GroupKey, **fields: Any) -> None:
        self._on_event(event, str(fields.get("reason", "")))
        _log.info(event, group=key[0], epoch=key[1], **fields)


def _in_full_domains(
    free: list[BackendServer], engine: EngineProfile
) -> list[BackendServer]:
    """Return the servers of domains that have room for a group of each model."""
    sizes = sum(model.size for model in engine.models)
    domains = collections.Counter(server.domain for server in free)
    return [server for server in free if domains[server.domain] >= sizes]
