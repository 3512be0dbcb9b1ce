"""Orders by which large groups are completed with members of small ones."""

from collections.abc import Callable, Collection, Coroutine, Mapping
from typing import Any

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile
from pomelolug.ids import DomainId, ModelName, ServiceName, VmId
from pomelolug.replicas._completion import (
    Completion,
    CompletionState,
    CompletionStep,
    GroupCompleter,
    needs_completion,
    plan_substitutes,
)
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._group_view import GroupKey, GroupView
from pomelolug.replicas._open_groups import find_open_groups
from pomelolug.replicas._orders import GroupEventCallback
from pomelolug.replicas._spares import Demand, SparePool
from pomelolug.replicas._teardown import GroupTeardown

__all__ = ["GroupCompletion"]

_log = structlog.get_logger(__name__)


class GroupCompletion:
    """Keeps survivors of large groups together until members are replaced.

    It takes effect for services of which one model has much smaller groups than
    another one.

    Parameters
    ----------
    fleet : FleetView
        View of the servers.
    spares : SparePool
        Loads weights onto hosts.
    teardown : GroupTeardown
        Closes groups and frees their members.
    clock : Clock
        Source of monotonic time.
    is_serving : callable
        Returns whether a caller has ever sent a request.
    on_event : GroupEventCallback
        Called with each decision and its reason, for metrics.
    """

    def __init__(
        self,
        *,
        fleet: FleetView,
        spares: SparePool,
        teardown: GroupTeardown,
        clock: Clock,
        is_serving: Callable[[], bool],
        on_event: GroupEventCallback,
    ) -> None:
        self._fleet = fleet
        self._spares = spares
        self._teardown = teardown
        self._clock = clock
        self._is_serving = is_serving
        self._on_event = on_event
        self._completers: dict[ServiceName, GroupCompleter] = {}

    def clear(self) -> None:
        """Discard all state when this node is no longer the active controller."""
        self._completers.clear()

    def step(
        self,
        service: ServiceName,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: Demand,
        forming: Collection[VmId],
        unverified_domains: Collection[DomainId],
    ) -> CompletionStep:
        """Decide on the completions of a service, and close the groups given up.

        Parameters
        ----------
        service : ServiceName
            Service of the models.
        engine : EngineProfile
            Models of the service.
        free : list of BackendServer
            Servers that are free to join a group.
        views : mapping of GroupKey to GroupView
            Groups of the service.
        demand : Demand
            Number of servers that each model has and needs.
        forming : collection of VmId
            Members of the groups that are being formed.
        unverified_domains : collection of DomainId
            Domains whose free servers have to answer before they get orders.
        """
        if not needs_completion(engine.models) or not self._is_serving():
            return CompletionStep()
        completer = self._completers.get(service)
        if completer is None:
            completer = GroupCompleter(on_decision=self._report_decision)
            self._completers[service] = completer
        state = CompletionState(
            models=engine.models,
            groups=find_open_groups(
                views.values(), engine, self._fleet, self._teardown
            ),
            free=list(map(self._fleet.as_free_server, free)),
            forming=forming,
            servers_in_groups=demand.servers_in_groups,
            servers_needed=demand.servers_needed,
            unverified_domains=unverified_domains,
        )
        step = completer.step(state, now_s=self._clock.monotonic())
        for key in step.close:
            self._teardown.retire(key)
        return step

    def substitute_orders(
        self,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        load_budget: int,
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that load weights of large groups on members of small ones.

        Parameters
        ----------
        engine : EngineProfile
            Models of the service.
        free : list of BackendServer
            Servers that are free to join a group.
        views : mapping of GroupKey to GroupView
            Groups of the service.
        load_budget : int
            Number of loads that may start now.
        """
        if not needs_completion(engine.models):
            return []
        if self._is_serving():
            # Half of the loads are left for repairs.
            load_budget -= engine.max_concurrent_loads // 2
        groups = find_open_groups(views.values(), engine, self._fleet, self._teardown)
        servers = map(self._fleet.as_free_server, free)
        loads: dict[ModelName, list[BackendServer]] = {}
        for vm, model in plan_substitutes(engine.models, groups, servers):
            loads.setdefault(model, []).append(self._fleet.listed[vm])
        orders: list[Coroutine[Any, Any, None]] = []
        for model, members in loads.items():
            budget = load_budget - len(orders)
            orders += self._spares.stage_members(members, model, budget)
        return orders

    def _report_decision(self, event: str, reason: str, completion: Completion) -> None:
        self._on_event(event, reason)
        _log.info(
            event,
            reason=reason,
            model=completion.model.name,
            domain=completion.domain,
            kept=len(completion.kept),
            replacements=list(completion.replacements),
            groups=[group.key[0] for group in completion.groups],
            in_flight=sum(group.in_flight for group in completion.groups),
        )
