"""Spare servers that hold weights for repairs within their fabric domain."""

import dataclasses
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile
from pomelolug.ids import ModelName, VmId
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._group_view import GroupKey, GroupView, is_standby
from pomelolug.replicas._lease import ControllerLease
from pomelolug.replicas._orders import OrderSender
from pomelolug.replicas._plan import plan_second_weights, plan_staging
from pomelolug.replicas._teardown import GroupTeardown

__all__ = ["Demand", "SparePool"]

_STAGING_TIMEOUT_S = 60.0
"""Time after which an unfinished load counts as lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Number of servers that each model has in groups, and that it needs."""

    servers_in_groups: Mapping[ModelName, int]
    servers_needed: Mapping[ModelName, float]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingLoad:
    """Load that a start of a server was ordered at a monotonic time."""

    model: ModelName
    ordered_at_s: float
    start_time_ms: int


class SparePool:
    """Free servers onto which weights are loaded and kept in memory.

    Parameters
    ----------
    lease : ControllerLease
        Issues the epochs of standby groups.
    fleet : FleetView
        View of the servers.
    orders : OrderSender
        Sends orders to servers.
    teardown : GroupTeardown
        Groups that are being torn down.
    clock : Clock
        Source of monotonic time.
    is_in_formation : callable
        Returns whether a server is a member of a group in formation.
    """

    def __init__(
        self,
        *,
        lease: ControllerLease,
        fleet: FleetView,
        orders: OrderSender,
        teardown: GroupTeardown,
        clock: Clock,
        is_in_formation: Callable[[VmId], bool],
    ) -> None:
        self._lease = lease
        self._fleet = fleet
        self._orders = orders
        self._teardown = teardown
        self._clock = clock
        self._is_in_formation = is_in_formation
        self._pending_loads: dict[VmId, _PendingLoad] = {}

    @property
    def pending_load_count(self) -> int:
        """Number of loads that have been ordered and have not finished."""
        return len(self._pending_loads)

    def drop_load(self, vm: VmId) -> None:
        """Stop tracking the load of a server, because it joins a group."""
        self._pending_loads.pop(vm, None)

    def clear(self) -> None:
        """Discard all loads when this node is no longer the active controller."""
        self._pending_loads.clear()

    def staging_orders(
        self,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: Demand,
        load_budget: int,
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that load weights onto spares or into their memory.

        Parameters
        ----------
        engine : EngineProfile
            Models of the service.
        free : list of BackendServer
            Servers that are free to join a group.
        views : mapping of GroupKey to GroupView
            Groups of the service.
        demand : Demand
            Number of servers that each model has and needs.
        load_budget : int
            Number of loads that may start now.

        Returns
        -------
        list of coroutine
            Orders to run.
        """
        now_s = self._clock.monotonic()
        servers = {s.vm: s for s in free}
        for vm, load in list(self._pending_loads.items()):
            server = self._fleet.listed.get(vm)
            if (
                server is None
                or server.start_time_ms != load.start_time_ms
                or load.model in server.staged
                or now_s - load.ordered_at_s > _STAGING_TIMEOUT_S
            ):
                del self._pending_loads[vm]
        spares = [
            s
            for s in free
            if not self._is_in_formation(s.vm) and s.vm not in self._pending_loads
        ]
        models_by_domain: dict[Any, list[ModelName]] = {}
        for key, view in views.items():
            if view.model is not None and not self._teardown.is_ending(key):
                domain = next(iter(view.members.values())).domain
                models_by_domain.setdefault(domain, []).append(view.model)
        orders: list[Coroutine[Any, Any, None]] = self._standby_orders(spares)
        candidates = [self._fleet.as_free_server(spare) for spare in spares]
        planned = plan_staging(
            candidates,
            engine.models,
            models_by_domain,
            demand.servers_in_groups,
            demand.servers_needed,
        )
        planned_vms = {vm for vm, _ in planned}
        planned += [
            (vm, model)
            for vm, model in plan_second_weights(candidates, engine.models)
            if vm not in planned_vms
        ]
        for vm, name in planned[: max(load_budget, 0)]:
            if self._orders.try_reserve(vm):
                server = servers[vm]
                self._pending_loads[vm] = _PendingLoad(
                    name, now_s, server.start_time_ms
                )
                orders.append(self._stage(server, name))
        return orders

    def stage_members(
        self, servers: Iterable[BackendServer], model: ModelName, load_budget: int
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that load weights onto the hosts of serving members.

        Members keep the weights that they serve with in memory.

        Parameters
        ----------
        servers : iterable of BackendServer
            Members without the weights.
        model : ModelName
            Model to load.
        load_budget : int
            Number of loads that may start now.

        Returns
        -------
        list of coroutine
            Orders to run.
        """
        now_s = self._clock.monotonic()
        orders: list[Coroutine[Any, Any, None]] = []
        for server in servers:
            if len(orders) >= load_budget:
                break
            if server.vm in self._pending_loads:
                continue
            if self._orders.try_reserve(server.vm):
                self._pending_loads[server.vm] = _PendingLoad(
                    model, now_s, server.start_time_ms
                )
                orders.append(self._stage(server, model))
        return orders

    def _standby_orders(
        self, spares: list[BackendServer]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that load staged weights of spares into memory.

        A server that was in a group of a model can join the next one without a
        delay, so each spare becomes the only member of a standby group, which is
        never opened. The standby group also shows a new active controller that
        the spare is free.
        """
        orders = []
        for spare in spares:
            membership = spare.membership
            if membership is not None and is_standby(
                (membership.group, membership.epoch)
            ):
                continue
            model = self._fleet.last_model(spare)
            if model is None:
                model = min(spare.staged, default=None)
            if model is not None and self._orders.try_reserve(spare.vm):
                epoch = self._lease.next_epoch()
                orders.append(self._orders.join_standby(spare, epoch, model))
        return orders

    async def _stage(self, server: BackendServer, model: ModelName) -> None:
        if not await self._orders.stage(server, model):
            self._pending_loads.pop(server.vm, None)
