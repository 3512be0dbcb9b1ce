"""Control loop of the active controller of replica groups."""

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
    StatedAvailability,
)
from pomelolug.ids import GroupId, ModelName, ServiceName, VmId
from pomelolug.replicas._departures import Departures
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._group_view import (
    GroupKey,
    GroupView,
    group_key,
    group_views,
    is_standby,
)
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._lease import ControllerLease
from pomelolug.replicas._orders import GroupEventCallback, OrderSender
from pomelolug.replicas._plan import NewGroup, needed_servers, plan_groups
from pomelolug.replicas._rebalancing import GroupRebalancing
from pomelolug.replicas._spares import Demand, SparePool
from pomelolug.replicas._teardown import GroupTeardown

__all__ = ["GroupEventCallback", "ReplicaGroupController"]

_log = structlog.get_logger(__name__)

_MAX_ROUND_INTERVAL = datetime.timedelta(milliseconds=150)
"""Longest pause between two rounds of the control loop."""
_MIN_ROUND_INTERVAL = datetime.timedelta(milliseconds=20)
"""Shortest pause between two rounds of the control loop."""
_PROBE_INTERVAL = datetime.timedelta(milliseconds=50)
"""Pause between two rounds of probes; single servers are probed less often."""
_FORMATION_MARGIN_S = 4.0
"""Time beyond the expected load at which an unfinished formation is abandoned."""
_SETTLING_S = 0.6
"""Time without a new server after which the list of servers has settled."""
_MAX_SETTLING_S = 2.5
"""Longest wait for more servers of a domain before the first groups are formed."""
_STALL_MARGIN_S = 0.5
"""Time added to the stall timeout of heads before their members count as free."""
_STARTUP_LOAD_FACTOR = 3
"""Factor on the declared number of concurrent loads before the first request."""


@dataclasses.dataclass(slots=True)
class _Formation:
    """A group that this node is forming; the first member is the head."""

    key: GroupKey
    service: ServiceName
    model: ModelProfile
    members: tuple[VmId, ...]
    start_times_ms: dict[VmId, int]
    """Start time of each member; a different one means that it has restarted."""
    previous_groups: dict[VmId, GroupKey | None]
    """Group of each member at the start; a third one means that it was taken."""
    deadline_s: float
    """Monotonic time at which the formation is abandoned."""
    open_ordered: bool = False
    """Whether the head may have been ordered to open."""


class ReplicaGroupController:
    """Forms, opens, repairs and tears down replica groups.

    The state of groups is derived from the registry entries of the servers, so a
    new active controller needs no state of its predecessor.

    Parameters
    ----------
    lease : ControllerLease
        Controller lease, which permits orders and issues fencing tokens.
    registry : ServerRegistry
        Servers as read from the store.
    control : ServerControl
        Transport of orders to servers.
    health : ServerHealth
        Lost servers and newest reports.
    departures : Departures
        Departures from groups whose heads do not answer.
    availability : StatedAvailability
        What servers have stated about whether they take requests.
    is_evacuated : callable
        Returns whether the zone of a server is evacuated. No groups are formed and no
        weights are loaded there, and its groups do not count as capacity.
    clock : Clock
        Source of monotonic time.
    declaration : callable
        Returns the declaration in force, or None if there is none.
    stall_timeout : datetime.timedelta
        Time within which a head detects the loss of a member.
    is_serving : callable
        Returns whether a caller has ever sent a request to this node, since its
        start, or to a live peer. It stays true when no request is in flight.
    in_flight : callable
        Returns the number of requests that all nodes have in flight at a head.
    may_rebalance : callable
        Returns whether the groups of several models follow the demand, so that groups
        of a model with a surplus are given up.
    on_event : GroupEventCallback
        Called with each decision and order and its result, for metrics.
    """

    def __init__(
        self,
        *,
        lease: ControllerLease,
        registry: ServerRegistry,
        control: ServerControl,
        health: ServerHealth,
        departures: Departures,
        availability: StatedAvailability,
        is_evacuated: Callable[[BackendServer], bool],
        clock: Clock,
        declaration: Callable[[], Declaration | None],
        stall_timeout: datetime.timedelta,
        is_serving: Callable[[], bool],
        in_flight: Callable[[VmId], int],
        may_rebalance: Callable[[], bool] = lambda: False,
        on_event: GroupEventCallback,
    ) -> None:
        self._lease = lease
        self._health = health
        self._clock = clock
        self._declaration = declaration
        self._is_serving = is_serving
        self._in_flight = in_flight
        self._on_event = on_event
        self._fleet = FleetView(
            registry=registry,
            health=health,
            availability=availability,
            is_evacuated=is_evacuated,
            clock=clock,
            in_flight=in_flight,
            runs_models=self._runs_models,
        )
        self._orders = OrderSender(
            lease=lease, control=control, health=health, clock=clock, on_event=on_event
        )
        self._formations: dict[GroupKey, _Formation] = {}
        self._teardown = GroupTeardown(
            lease=lease,
            fleet=self._fleet,
            orders=self._orders,
            health=health,
            departures=departures,
            clock=clock,
            stall_timeout_s=stall_timeout.total_seconds() + _STALL_MARGIN_S,
            is_in_formation=self._is_in_formation,
            wake=self.wake,
        )
        self._spares = SparePool(
            lease=lease,
            fleet=self._fleet,
            orders=self._orders,
            teardown=self._teardown,
            clock=clock,
            is_in_formation=self._is_in_formation,
        )
        self._rebalancing = GroupRebalancing(
            fleet=self._fleet,
            spares=self._spares,
            teardown=self._teardown,
            clock=clock,
            may_rebalance=lambda: is_serving() and may_rebalance(),
            is_forming=lambda: bool(self._formations),
            on_event=on_event,
        )
        self._listing_history: dict[ServiceName, tuple[float, float, int]] = {}
        self._wake_event = asyncio.Event()
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._had_lease = False

    def mark_suspect(self, head: VmId) -> None:
        """Record that the streams of a group have stalled."""
        self._fleet.mark_suspect(head)

    def wake(self) -> None:
        """Start the next round early, because servers have changed."""
        self._wake_event.set()

    async def run(self) -> None:
        """Run the control loop and the probes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_rounds())
            group.create_task(self._run_probes())

    async def _run_rounds(self) -> None:
        while True:
            try:
                self.step()
            except Exception:
                _log.exception("group_step_failed")
            await self._clock.sleep(_MIN_ROUND_INTERVAL)
            try:
                async with asyncio.timeout(_MAX_ROUND_INTERVAL.total_seconds()):
                    await self._wake_event.wait()
            except TimeoutError:
                continue

    async def _run_probes(self) -> None:
        while True:
            if self._lease.is_held:
                await self._fleet.probe(self._servers_awaiting_report())
                self.wake()
            await self._clock.sleep(_PROBE_INTERVAL)

    def step(self) -> None:
        """Run one round of the control loop, which starts the orders that are due."""
        self._wake_event.clear()
        self._fleet.refresh()
        declaration = self._declaration()
        if not self._lease.is_held or declaration is None:
            if self._had_lease:
                self._clear_state()
            return
        self._had_lease = True
        self._abandon_undeclared(declaration)
        orders: list[Coroutine[Any, Any, None]] = []
        for service in declaration.engine_services():
            assert service.engine is not None
            orders += self._service_orders(service.name, service.engine)
        for order in orders:
            task = asyncio.get_running_loop().create_task(order)
            self._order_tasks.add(task)
            task.add_done_callback(self._order_tasks.discard)

    def _clear_state(self) -> None:
        self._had_lease = False
        self._formations.clear()
        self._teardown.clear()
        self._spares.clear()
        self._rebalancing.clear()
        self._orders.clear()

    def _servers_awaiting_report(self) -> list[BackendServer]:
        """Return the servers whose reports are needed before they get orders."""
        awaiting_report = []
        for server in self._fleet.listed.values():
            is_unreported = self._health.orders_begun(server) is None
            is_idle = server.membership is None and is_unreported
            is_unverified = self._teardown.is_unverified(
                server
            ) and self._teardown.is_free(server)
            if (is_idle or is_unverified) and self._runs_models(server.service):
                awaiting_report.append(server)
        return awaiting_report

    def _runs_models(self, name: ServiceName) -> bool:
        declaration = self._declaration()
        service = declaration and declaration.services.get(name)
        return bool(service and service.engine)

    def _service_orders(
        self, name: ServiceName, engine: EngineProfile
    ) -> list[Coroutine[Any, Any, None]]:
        servers = [s for s in self._fleet.listed.values() if s.service == name]
        views = {
            key: view
            for key, view in group_views(self._fleet.servers_of_service(name)).items()
            if not is_standby(key)
        }
        orders: list[Coroutine[Any, Any, None]] = []
        for formation in list(self._formations.values()):
            if formation.service == name:
                orders += self._advance_formation(formation, views)
        for key, view in views.items():
            if key not in self._formations:
                orders += self._teardown.orders_for_group(view, engine)
        free = [s for s in servers if self._teardown.is_free(s)]
        # A domain is planned after all its free servers have reported, so that
        # the choice of members does not depend on the order of the reports.
        unverified_domains = {s.domain for s in free if self._teardown.is_unverified(s)}
        free = [s for s in free if s.domain not in unverified_domains]
        if not self._has_settled(name, servers):
            free = _servers_in_sufficient_domains(free, engine)
        demand = self._demand(name, engine, servers, views)
        orders += self._formation_orders(engine, free, views, demand)
        load_budget = self._load_budget(engine, views)
        orders += self._spares.staging_orders(engine, free, views, demand, load_budget)
        load_budget = self._load_budget(engine, views)
        orders += self._rebalancing.orders(
            name, engine, servers, free, views, demand, load_budget
        )
        return orders

    def _demand(
        self,
        service: ServiceName,
        engine: EngineProfile,
        servers: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
    ) -> Demand:
        servers_in_groups: dict[ModelName, int] = {}
        in_flight: dict[ModelName, int] = {}
        for key, view in views.items():
            if view.model is None or self._teardown.is_ending(key):
                continue
            if not self._fleet.is_group_in_evacuated_zone(view):
                servers_in_groups[view.model] = servers_in_groups.get(
                    view.model, 0
                ) + len(view.members)
            if view.head is not None:
                # Requests in an evacuated zone are followed by others elsewhere.
                requests = self._in_flight(view.head.vm)
                in_flight[view.model] = in_flight.get(view.model, 0) + requests
        for formation in self._formations.values():
            if formation.service != service:
                continue
            name = formation.model.name
            if formation.key not in views or views[formation.key].model is None:
                servers_in_groups[name] = (
                    servers_in_groups.get(name, 0) + formation.model.group_size
                )
        usable_count = sum(self._fleet.may_join(server) for server in servers)
        servers_needed = needed_servers(
            engine.models,
            self._rebalancing.observe(service, engine, in_flight, usable_count),
            slots=engine.slots,
            server_count=usable_count,
        )
        return Demand(servers_in_groups, servers_needed)

    def _has_settled(self, name: ServiceName, servers: list[BackendServer]) -> bool:
        """Return whether a service's list of servers has settled after the start.

        Records the number of servers, and restarts the settling time if it changed.
        """
        now_s = self._clock.monotonic()
        first_listed_s, changed_at_s, count = self._listing_history.get(
            name, (now_s, now_s, 0)
        )
        if len(servers) != count:
            changed_at_s = now_s
        self._listing_history[name] = (first_listed_s, changed_at_s, len(servers))
        return (
            now_s - changed_at_s >= _SETTLING_S
            or now_s - first_listed_s >= _MAX_SETTLING_S
        )

    def _advance_formation(
        self, formation: _Formation, views: Mapping[GroupKey, GroupView]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the next orders of a formation, or finish or abandon it."""
        now_s = self._clock.monotonic()
        servers = [self._fleet.listed.get(vm) for vm in formation.members]
        failed = [
            vm
            for vm, server in zip(formation.members, servers, strict=True)
            if server is None
            or not self._fleet.may_join(server)
            or server.start_time_ms != formation.start_times_ms[vm]
            or self._has_newer_epoch(server, formation.key[1])
            or _was_taken(server, formation)
        ]
        if failed or now_s > formation.deadline_s:
            self._abandon(formation, self._failure_reason(failed), failed)
            return []
        view = views.get(formation.key)
        listed = [s for s in servers if s is not None]
        if view is not None and view.head_state is GroupState.OPEN:
            del self._formations[formation.key]
            self._report_decision(
                "group_open", formation.key, model=formation.model.name
            )
            return []
        if view is not None and view.is_ready(formation.model.group_size):
            return self._open_order(formation, listed[0])
        return [
            self._orders.join(
                server, formation.key, formation.model.name, formation.members
            )
            for server in listed
            if not self._is_member(server, formation.key)
            and self._orders.try_reserve(server.vm)
        ]

    def _open_order(
        self, formation: _Formation, head: BackendServer
    ) -> list[Coroutine[Any, Any, None]]:
        if not self._orders.try_reserve(head.vm):
            return []
        formation.open_ordered = True
        return [self._orders.open(formation.key, head)]

    def _abandon(self, formation: _Formation, reason: str, failed: list[VmId]) -> None:
        del self._formations[formation.key]
        if not formation.open_ordered:
            # The head was never ordered to open, so its members are free at once.
            self._teardown.end_unopened(formation.key)
        self._report_decision(
            "group_given_up", formation.key, reason=reason, failed=failed
        )

    def _abandon_undeclared(self, declaration: Declaration) -> None:
        """Abandon the formations whose model or service is not declared any more."""
        for formation in list(self._formations.values()):
            service = declaration.services.get(formation.service)
            engine = service.engine if service is not None else None
            model = engine.find_model(formation.model.name) if engine else None
            if model is None or model.group_size != formation.model.group_size:
                self._abandon(formation, "not_declared", [])

    def _failure_reason(self, failed: list[VmId]) -> str:
        servers = [self._fleet.listed.get(vm) for vm in failed]
        if any(s is not None and self._fleet.is_in_evacuated_zone(s) for s in servers):
            return "zone_evacuated"
        return "member_lost" if failed else "timeout"

    def _has_newer_epoch(self, server: BackendServer, epoch: int) -> bool:
        return server.membership is not None and server.membership.epoch > epoch

    def _is_member(self, server: BackendServer, key: GroupKey) -> bool:
        membership = server.membership
        return membership is not None and (membership.group, membership.epoch) == key

    def _is_in_formation(self, vm: VmId) -> bool:
        return any(vm in f.members for f in self._formations.values())

    def _formation_orders(
        self,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: Demand,
    ) -> list[Coroutine[Any, Any, None]]:
        orders: list[Coroutine[Any, Any, None]] = []
        load_budget = self._load_budget(engine, views)
        groups = plan_groups(
            map(self._fleet.as_free_server, free),
            engine.models,
            demand.servers_in_groups,
            demand.servers_needed,
            allow_loads=not self._is_serving(),
        )
        for group in groups:
            if group.load_count and load_budget <= 0:
                # Skipping a group would change the balance between the models.
                break
            load_budget -= group.load_count
            orders += self._start_formation(group)
        return orders

    def _load_budget(
        self, engine: EngineProfile, views: Mapping[GroupKey, GroupView]
    ) -> int:
        """Return how many loads may start now without slowing down running ones."""
        limit = engine.max_concurrent_loads
        if not self._is_serving():
            limit *= _STARTUP_LOAD_FACTOR
        running = self._spares.pending_load_count
        for view in views.values():
            for member in view.members.values():
                is_joining = (
                    member.membership is not None
                    and member.membership.state is GroupState.JOINING
                )
                running += is_joining
        for formation in self._formations.values():
            if formation.key not in views:
                running += formation.model.group_size
        return max(limit - running, limit if running == 0 else 0)

    def _start_formation(self, group: NewGroup) -> list[Coroutine[Any, Any, None]]:
        epoch = self._lease.next_epoch()
        key = (GroupId(f"g{epoch}"), epoch)
        now_s = self._clock.monotonic()
        load_s = group.model.load_time.total_seconds() * (
            2.0 if group.load_count else 0.0
        )
        formation = _Formation(
            key=key,
            service=group.members[0].server.service,
            model=group.model,
            members=tuple(m.server.vm for m in group.members),
            start_times_ms={m.server.vm: m.server.start_time_ms for m in group.members},
            previous_groups={
                m.server.vm: group_key(m.server.membership) for m in group.members
            },
            deadline_s=now_s
            + load_s
            + group.model.warm_load_time.total_seconds()
            + _FORMATION_MARGIN_S,
        )
        self._formations[key] = formation
        for member in group.members:
            self._spares.drop_load(member.server.vm)
        self._report_decision(
            "group_forming",
            key,
            model=group.model.name,
            members=list(formation.members),
            loads=group.load_count,
        )
        for member in group.members:
            self._orders.reserve(member.server.vm)
        return [
            self._orders.join(m.server, key, group.model.name, formation.members)
            for m in group.members
        ]

    def _report_decision(self, event: str, key: GroupKey, **fields: Any) -> None:
        self._on_event(event, str(fields.get("reason", "")))
        _log.info(event, group=key[0], epoch=key[1], **fields)


def _was_taken(server: BackendServer, formation: _Formation) -> bool:
    """Return whether a member turns out to be in a group of a predecessor."""
    key = group_key(server.membership)
    expected = (None, formation.key, formation.previous_groups[server.vm])
    return key not in expected


def _servers_in_sufficient_domains(
    free: list[BackendServer], engine: EngineProfile
) -> list[BackendServer]:
    """Return the servers of domains with enough for a group of each model."""
    total_size = sum(model.group_size for model in engine.models)
    free_by_domain = collections.Counter(server.domain for server in free)
    return [server for server in free if free_by_domain[server.domain] >= total_size]
