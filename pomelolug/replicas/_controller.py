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
)
from pomelolug.ids import GroupId, ModelName, ServiceName, VmId
from pomelolug.replicas._departures import Departures
from pomelolug.replicas._desk import GroupEvent, OrderDesk
from pomelolug.replicas._duty import DutyHolder
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._plan import NewGroup, needed_servers, plan_groups
from pomelolug.replicas._releases import GroupReleases
from pomelolug.replicas._spares import Demand, Spares
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
_STARTUP_LOADS = 3
"""Loads at once before the first request, as a factor on the declared number."""


@dataclasses.dataclass(slots=True)
class _Formation:
    """A group that this node forms."""

    key: GroupKey
    model: ModelProfile
    members: tuple[VmId, ...]
    born: dict[VmId, int]
    deadline: float
    opened: bool = False


class GroupController:
    """Forms, opens, repairs and ends replica groups.

    What it knows of groups comes from the servers' own entries, so a successor
    needs no state of its predecessor.

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
        self._clock = clock
        self._declaration = declaration
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
        self._releases = GroupReleases(
            duty=duty,
            fleet=self._fleet,
            desk=self._desk,
            health=health,
            departures=departures,
            clock=clock,
            stall_s=stall.total_seconds() + _STALL_MARGIN_S,
            in_formation=self._in_formation,
            wake=self.wake,
        )
        self._spares = Spares(
            duty=duty,
            fleet=self._fleet,
            desk=self._desk,
            releases=self._releases,
            clock=clock,
            in_formation=self._in_formation,
        )
        self._first_seen: dict[ServiceName, tuple[float, float, int]] = {}
        self._awake = asyncio.Event()
        self._orders: set[asyncio.Task[None]] = set()
        self._was_held = False

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
        self._releases.forget()
        self._spares.forget()
        self._desk.clear()

    def _waiting(self) -> list[BackendServer]:
        """Return the servers whose reports are awaited before they get orders."""
        waiting = []
        for server in self._fleet.known.values():
            unknown = self._health.orders_begun(server) is None
            idle = server.membership is None and unknown
            unverified = self._releases.unverified(server) and self._releases.is_free(
                server
            )
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
                orders += self._releases.inspect(view, engine)
        free = [s for s in servers if self._releases.is_free(s)]
        # A domain is planned once all its free servers have answered, so that
        # the choice does not depend on which of them answers first.
        waiting = {s.domain for s in free if self._releases.unverified(s)}
        free = [s for s in free if s.domain not in waiting]
        if not self._settled(name, servers):
            free = _in_full_domains(free, engine)
        demand = self._demand(engine, servers, views)
        orders += self._form(engine, free, views, demand)
        room = self._load_room(engine, views)
        orders += self._spares.stage(engine, free, views, demand, room)
        return orders

    def _demand(
        self,
        engine: EngineProfile,
        servers: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
    ) -> Demand:
        counts: dict[ModelName, int] = {}
        in_flight: dict[ModelName, int] = {}
        for key, view in views.items():
            if view.model is None or self._releases.ended(key):
                continue
            counts[view.model] = counts.get(view.model, 0) + len(view.members)
            if view.head is not None:
                work = self._in_flight(view.head.vm)
                in_flight[view.model] = in_flight.get(view.model, 0) + work
        for formation in self._formations.values():
            name = formation.model.name
            if formation.key not in views or views[formation.key].model is None:
                counts[name] = counts.get(name, 0) + formation.model.group_size
        usable = sum(self._fleet.usable(server) for server in servers)
        needed = needed_servers(
            engine.models, in_flight, slots=engine.slots, servers=usable
        )
        return Demand(counts, needed)

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
            or server.start_time_ms != formation.born[vm]
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
        if view is not None and view.all_ready(formation.model.group_size):
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
            self._releases.end_unopened(formation.key)
        self._decided("group_given_up", formation.key, reason=reason, failed=failed)

    def _newer_epoch(self, server: BackendServer, epoch: int) -> bool:
        return server.membership is not None and server.membership.epoch > epoch

    def _is_member(self, server: BackendServer, key: GroupKey) -> bool:
        m = server.membership
        return m is not None and (m.group, m.epoch) == key

    def _in_formation(self, vm: VmId) -> bool:
        return any(vm in f.members for f in self._formations.values())

    def _form(
        self,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: Demand,
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
        most = engine.max_concurrent_loads
        if not self._serving():
            most *= _STARTUP_LOADS
        running = self._spares.loading
        for view in views.values():
            for member in view.members.values():
                joining = (
                    member.membership is not None
                    and member.membership.state is GroupState.JOINING
                )
                running += joining
        for formation in self._formations.values():
            if formation.key not in views:
                running += formation.model.group_size
        return max(most - running, most if running == 0 else 0)

    def _start(self, group: NewGroup) -> list[Coroutine[Any, Any, None]]:
        epoch = self._duty.next_epoch()
        key = (GroupId(f"g{epoch}"), epoch)
        now = self._clock.monotonic()
        load_s = group.model.load_time.total_seconds() * (2.0 if group.loads else 0.0)
        formation = _Formation(
            key=key,
            model=group.model,
            members=tuple(m.server.vm for m in group.members),
            born={m.server.vm: m.server.start_time_ms for m in group.members},
            deadline=now
            + load_s
            + group.model.warm_load_time.total_seconds()
            + _FORMATION_S,
        )
        self._formations[key] = formation
        for member in group.members:
            self._spares.taken(member.server.vm)
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

    def _decided(self, event: str, key: GroupKey, **fields: Any) -> None:
        self._on_event(event, str(fields.get("reason", "")))
        _log.info(event, group=key[0], epoch=key[1], **fields)


def _in_full_domains(
    free: list[BackendServer], engine: EngineProfile
) -> list[BackendServer]:
    """Return the servers of domains that have room for a group of each model."""
    sizes = sum(model.group_size for model in engine.models)
    domains = collections.Counter(server.domain for server in free)
    return [server for server in free if domains[server.domain] >= sizes]
