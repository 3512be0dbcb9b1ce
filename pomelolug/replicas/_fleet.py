"""What the node that forms groups knows of the servers."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    GroupState,
    ServerRegistry,
    ServerState,
)
from pomelolug.ids import ModelName, ServiceName, VmId
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._plan import FreeServer
from pomelolug.replicas._view import GroupView, group_views

__all__ = ["FleetView"]

_REPORTED_S = 1.0
"""Age up to which a report speaks for a server that has no entry."""
_SUSPECT_S = 2.0
"""Time for which one report of standing streams counts."""
_GHOST_S = 20.0
"""Time for which a server that left the registry is still asked for reports."""


class FleetView:
    """Servers from the registry, their reports, and what peers say of groups.

    Servers that have left the registry are kept for a while as ghosts: they may
    only be cut off from the store.

    Parameters
    ----------
    registry : ServerRegistry
        Servers, read from the store.
    health : ServerHealth
        Servers that do not answer.
    clock : Clock
        Source of monotonic time.
    in_flight : callable
        Returns the requests of all nodes at a head.
    runs_models : callable
        Returns whether the servers of a service run models.
    """

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        health: ServerHealth,
        clock: Clock,
        in_flight: Callable[[VmId], int],
        runs_models: Callable[[ServiceName], bool],
    ) -> None:
        self._registry = registry
        self._health = health
        self._clock = clock
        self._in_flight = in_flight
        self._runs_models = runs_models
        self._known: dict[VmId, BackendServer] = {}
        self._ghosts: dict[VmId, tuple[BackendServer, float]] = {}
        self._suspects: dict[VmId, float] = {}
        self._last_model: dict[tuple[VmId, int], ModelName] = {}

    @property
    def known(self) -> Mapping[VmId, BackendServer]:
        """Servers of the registry at the last `track`."""
        return self._known

    def members(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service and its ghosts, as last reported."""
        ghosts = [
            self._as_reported(ghost)
            for ghost, _ in self._ghosts.values()
            if ghost.service == service
        ]
        return ghosts + [s for s in self._known.values() if s.service == service]

    def suspect(self, head: VmId) -> None:
        """Take note that the streams of a group stand still."""
        self._suspects[head] = self._clock.monotonic()

    def suspected(self, head: VmId) -> bool:
        """Return whether the streams of a group stood still lately."""
        return head in self._suspects

    def last_model(self, server: BackendServer) -> ModelName | None:
        """Return the model of a server's last group since its start, if known."""
        return self._last_model.get((server.vm, server.start_time_ms))

    def candidate(self, server: BackendServer) -> FreeServer:
        """Return a server as the planning functions take it."""
        return FreeServer(server, self.last_model(server))

    def track(self) -> None:
        """Take over the registry as it is now."""
        now = self._clock.monotonic()
        current = self._registry.servers
        for vm, server in self._known.items():
            if vm not in current:
                self._ghosts[vm] = (server, now)
        for vm, server in current.items():
            if self._known.get(vm) is not server:
                self._health.seen(vm)
            membership = server.membership
            loaded = membership and membership.state is not GroupState.JOINING
            if loaded and server.model is not None:
                self._last_model[vm, server.start_time_ms] = server.model
            self._ghosts.pop(vm, None)
        self._known = dict(current)
        for vm in [v for v, (_, at) in self._ghosts.items() if now - at > _GHOST_S]:
            del self._ghosts[vm]
        if len(self._last_model) > 8 * len(self._known) + 64:
            live = {(s.vm, s.start_time_ms) for s in self._known.values()}
            for key in [k for k in self._last_model if k not in live]:
                del self._last_model[key]

    def usable(self, server: BackendServer) -> bool:
        """Return whether a server may join a group."""
        return (
            server.state is ServerState.READY
            and server.vm in self._known
            and not self._registry.is_lapsed(server.vm)
            and not self._health.lost(server.vm)
        )

    def present(self, server: BackendServer) -> bool:
        """Return whether a member still works for its group.

        A server without an entry may be cut off from the store alone. It counts
        as present until it has missed its reports, or has reported another group.
        """
        if self._health.lost(server.vm):
            return False
        if server.vm in self._known:
            return True
        report = self._health.report(server.vm, newest_s=_REPORTED_S)
        if report is None or server.membership is None:
            return True
        theirs = report.membership
        mine = server.membership
        return theirs is not None and (theirs.group, theirs.epoch) == (
            mine.group,
            mine.epoch,
        )

    def advances(self, view: GroupView) -> bool:
        """Return whether the streams of a group show that all members work.

        A member may be cut off from the store and from this node, and still work
        for its head.
        """
        head = view.head
        if head is None or head.vm in self._suspects or head.vm not in self._known:
            return False
        return self._in_flight(head.vm) > 0

    def _as_reported(self, ghost: BackendServer) -> BackendServer:
        """Return a server without an entry in the state of its newest report."""
        report = self._health.report(ghost.vm, newest_s=_REPORTED_S)
        if report is None or report.membership is None:
            return ghost
        return dataclasses.replace(ghost, membership=report.membership)

    async def probe(self, waiting: Iterable[BackendServer]) -> None:
        """Ask suspects, ghosts and the servers in `waiting` for their reports."""
        now = self._clock.monotonic()
        self._suspects = {
            vm: at for vm, at in self._suspects.items() if now - at < _SUSPECT_S
        }
        targets = {
            ghost.vm: ghost
            for ghost, _ in self._ghosts.values()
            if self._runs_models(ghost.service) and not self._health.lost(ghost.vm)
        }
        targets.update({server.vm: server for server in waiting})
        members = {
            member.vm: member
            for view in group_views(self._known.values()).values()
            if view.head is not None and view.head.vm in self._suspects
            for member in view.members.values()
        }
        await asyncio.gather(
            self._health.probe(members.values(), suspect=True),
            self._health.probe(targets.values()),
        )
        self._health.forget_old()
