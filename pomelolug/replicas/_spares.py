"""Spares: free servers that hold the weights which their domain may need."""

import dataclasses
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile
from pomelolug.ids import ModelName, VmId
from pomelolug.replicas._desk import OrderDesk
from pomelolug.replicas._duty import DutyHolder
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._plan import plan_second_weights, plan_staging
from pomelolug.replicas._releases import GroupReleases
from pomelolug.replicas._view import GroupKey, GroupView, is_standby

__all__ = ["Demand", "Spares"]

_STAGING_MOST_S = 60.0
"""Time after which a load that has not ended counts as lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Servers in groups of each model, and how many its work needs."""

    in_groups: Mapping[ModelName, int]
    needed: Mapping[ModelName, float]


class Spares:
    """Loads weights onto free servers and keeps them in memory.

    Parameters
    ----------
    duty : DutyHolder
        Numbers of standby groups.
    fleet : FleetView
        Servers as known.
    desk : OrderDesk
        Sends orders.
    releases : GroupReleases
        Groups that have ended.
    clock : Clock
        Source of monotonic time.
    in_formation : callable
        Returns whether a server is a member of a group that is being formed.
    """

    def __init__(
        self,
        *,
        duty: DutyHolder,
        fleet: FleetView,
        desk: OrderDesk,
        releases: GroupReleases,
        clock: Clock,
        in_formation: Callable[[VmId], bool],
    ) -> None:
        self._duty = duty
        self._fleet = fleet
        self._desk = desk
        self._releases = releases
        self._clock = clock
        self._in_formation = in_formation
        self._staging: dict[VmId, tuple[ModelName, float]] = {}

    @property
    def loading(self) -> int:
        """Number of loads that have been ordered and have not ended."""
        return len(self._staging)

    def taken(self, vm: VmId) -> None:
        """Note that a server joins a group."""
        self._staging.pop(vm, None)

    def forget(self) -> None:
        """Forget all loads, when another node orders them."""
        self._staging.clear()

    def stage(
        self,
        engine: EngineProfile,
        free: list[BackendServer],
        views: Mapping[GroupKey, GroupView],
        demand: Demand,
        room: int,
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the loads for spares, once no group waits for loads."""
        now = self._clock.monotonic()
        servers = {s.vm: s for s in free}
        for vm, (model, at) in list(self._staging.items()):
            known = self._fleet.known.get(vm)
            if known is None or model in known.staged or now - at > _STAGING_MOST_S:
                del self._staging[vm]
        spares = [
            s
            for s in free
            if not self._in_formation(s.vm) and s.vm not in self._staging
        ]
        groups: dict[Any, list[ModelName]] = {}
        for key, view in views.items():
            if view.model is not None and not self._releases.ended(key):
                domain = next(iter(view.members.values())).domain
                groups.setdefault(domain, []).append(view.model)
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

    async def _load(self, server: BackendServer, model: ModelName) -> None:
        if not await self._desk.stage(server, model):
            self._staging.pop(server.vm, None)
