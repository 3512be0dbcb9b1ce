"""Orders by which the groups of several models follow the demand of callers."""

from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile, GroupState
from pomelolug.ids import ModelName, ServiceName
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._group_view import GroupKey, GroupView
from pomelolug.replicas._orders import GroupEventCallback
from pomelolug.replicas._rebalance import (
    Conversion,
    OpenGroup,
    Rebalancer,
    ServiceState,
)
from pomelolug.replicas._spares import Demand, SparePool
from pomelolug.replicas._teardown import GroupTeardown

__all__ = ["GroupRebalancing"]

_log = structlog.get_logger(__name__)

_WAITING_LOG_INTERVAL_S = 5.0
"""Least time between two lines on what a conversion waits for, as reasons alternate."""


class GroupRebalancing:
    """Gives up groups of models with a surplus, for services with several models.

    Parameters
    ----------
    fleet : FleetView
        View of the servers.
    spares : SparePool
        Loads weights onto the hosts of members.
    teardown : GroupTeardown
        Closes groups and frees their members.
    clock : Clock
        Source of monotonic time.
    may_rebalance : callable
        Returns whether groups of a model with a surplus may be given up now. While it
        has never been true, nothing is observed either.
    is_forming : callable
        Returns whether a group is being formed.
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
        may_rebalance: Callable[[], bool],
        is_forming: Callable[[], bool],
        on_event: GroupEventCallback,
    ) -> None:
        self._fleet = fleet
        self._spares = spares
        self._teardown = teardown
        self._clock = clock
        self._may_rebalance = may_rebalance
        self._is_forming = is_forming
        self._on_event = on_event
        self._rebalancers: dict[ServiceName, Rebalancer] = {}
        self._waiting: dict[ServiceName, tuple[str, float]] = {}

    def clear(self) -> None:
        """Discard all state when this node is no longer the active controller."""
        self._rebalancers.clear()
        self._waiting.clear()

    def observe(
        self,
        service: ServiceName,
        engine: EngineProfile,
        in_flight: Mapping[ModelName, int],
        server_count: int,
    ) -> Mapping[ModelName, float]:
        """Record the requests in flight of a service, and return those to plan for.

        They are smoothed if the groups of the service follow the demand.

        Parameters
        ----------
        service : ServiceName
            Service of the models.
        engine : EngineProfile
            Models of the service.
        in_flight : mapping of ModelName to int
            Requests in flight at the groups of each model.
        server_count : int
            Number of servers of the service that can be in groups.
        """
        rebalancer = self._rebalancers.get(service)
        if rebalancer is None:
            if len(engine.models) < 2 or not self._may_rebalance():
                return in_flight
            rebalancer = Rebalancer(on_decision=self._report_decision)
            self._rebalancers[service] = rebalancer
        now_s = self._clock.monotonic()
        rebalancer.observe(in_flight, server_count=server_count, now_s=now_s)
        return rebalancer.demand.mean

    def orders(
        self,
        service: ServiceName,
        engine: EngineProfile,
        servers: list[BackendServer],
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: Demand,
        load_budget: int,
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that stage weights on members, after `observe`.

        Groups to close are left to the teardown.

        Parameters
        ----------
        service : ServiceName
            Service of the models.
        engine : EngineProfile
            Models of the service.
        servers : list of BackendServer
            Servers of the service.
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
        rebalancer = self._rebalancers.get(service)
        if rebalancer is None:
            return []
        step = rebalancer.step(
            ServiceState(
                groups=self._open_groups(views.values(), engine),
                servers_in_groups=demand.servers_in_groups,
                free=[self._fleet.as_free_server(server) for server in free],
                server_count=sum(map(self._fleet.may_join, servers)),
                hindrance=self._hindrance(servers, views),
            ),
            engine,
            now_s=self._clock.monotonic(),
        )
        self._report_waiting(service, rebalancer.waiting_for)
        for key in step.close:
            self._teardown.retire(key)
        if step.target is None:
            return []
        # Half of the loads are left for repairs.
        reserve = engine.max_concurrent_loads // 2
        members = [self._fleet.listed[vm] for vm in step.stage]
        return self._spares.stage_members(members, step.target, load_budget - reserve)

    def _hindrance(
        self, servers: list[BackendServer], views: Mapping[GroupKey, GroupView]
    ) -> str:
        """Return why no group of a service may be given up now, empty if it may."""
        if not self._may_rebalance():
            return "not_permitted"
        if any(map(self._fleet.is_in_evacuated_zone, servers)):
            return "zone_evacuated"
        if self._is_forming():
            return "forming"
        # A group of which no member is left has nothing to free.
        if any(
            self._teardown.is_running(key)
            and any(map(self._fleet.is_usable, view.members.values()))
            for key, view in views.items()
        ):
            return "tearing_down"
        return ""

    def _open_groups(
        self, views: Iterable[GroupView], engine: EngineProfile
    ) -> list[OpenGroup]:
        """Return the complete open groups whose members may all join other groups."""
        groups = []
        for view in views:
            head, name = view.head, view.model
            model = None if name is None else engine.find_model(name)
            if (
                head is None
                or model is None
                or view.head_state is not GroupState.OPEN
                or len(view.members) != model.group_size
                or self._teardown.is_ending(view.key)
                or not all(map(self._fleet.may_join, view.members.values()))
            ):
                continue
            groups.append(
                OpenGroup(
                    key=view.key,
                    model=model.name,
                    zone=head.zone,
                    domain=head.domain,
                    in_flight=self._fleet.in_flight(head.vm),
                    members=tuple(
                        map(self._fleet.as_free_server, view.members.values())
                    ),
                )
            )
        return groups

    def _report_waiting(self, service: ServiceName, reason: str) -> None:
        now_s = self._clock.monotonic()
        last_reason, logged_at_s = self._waiting.get(service, ("", float("-inf")))
        if reason and reason != last_reason:
            self._on_event("conversion_waiting", reason)
            if now_s - logged_at_s >= _WAITING_LOG_INTERVAL_S:
                _log.info("conversion_waiting", service=service, reason=reason)
                logged_at_s = now_s
        self._waiting[service] = (reason, logged_at_s)

    def _report_decision(self, event: str, reason: str, conversion: Conversion) -> None:
        self._on_event(event, reason)
        _log.info(
            event,
            reason=reason,
            groups=[key[0] for key in conversion.keys],
            model=conversion.source,
            target=conversion.target,
            zone=conversion.groups[0].zone,
            domain=conversion.groups[0].domain,
            in_flight=sum(group.in_flight for group in conversion.groups),
            loads=len(conversion.missing_weights),
        )
