"""View of the servers that the active controller bases its decisions on."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    GroupState,
    ServerRegistry,
    ServerState,
    StatedAvailability,
)
from pomelolug.ids import ModelName, ServiceName, VmId
from pomelolug.replicas._group_view import GroupKey, GroupView, group_key, group_views
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._plan import FreeServer

__all__ = ["FleetView"]

_REPORT_MAX_AGE_S = 1.0
"""Maximum age of a report that stands in for a missing registry entry."""
_SUSPICION_S = 2.0
"""Time for which a head stays suspect after its streams were seen stalled."""
_LONGEST_PAUSE_S = 2.0
"""Time from the first stall for which a silent group with work may go on.

A sound server may be silent for 1.6 s, and callers leave a silent stream after 2 s.
"""
_UNLISTED_RETENTION_S = 20.0
"""Time for which a server that left the registry is still probed."""


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """Monotonic times at which a group was seen stalled."""

    last_at_s: float
    silent_since_s: float | None
    """Time of the first stall since all members answered, None before the next one."""


class FleetView:
    """Servers of the registry, recently unlisted servers, and suspect heads.

    Servers that have left the registry are kept for a while as unlisted, because
    they may only be disconnected from the store.

    Parameters
    ----------
    registry : ServerRegistry
        Servers as read from the store.
    health : ServerHealth
        Lost servers and newest reports.
    availability : StatedAvailability
        What servers have stated about whether they take requests.
    is_evacuated : callable
        Returns whether the zone of a server is evacuated.
    clock : Clock
        Source of monotonic time.
    in_flight : callable
        Returns the number of requests that all nodes have in flight at a head.
    runs_models : callable
        Returns whether the servers of a service run models.
    """

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        health: ServerHealth,
        availability: StatedAvailability,
        is_evacuated: Callable[[BackendServer], bool],
        clock: Clock,
        in_flight: Callable[[VmId], int],
        runs_models: Callable[[ServiceName], bool],
    ) -> None:
        self._registry = registry
        self._health = health
        self._availability = availability
        self._is_evacuated = is_evacuated
        self._clock = clock
        self._in_flight = in_flight
        self._runs_models = runs_models
        self._listed: dict[VmId, BackendServer] = {}
        self._unlisted: dict[VmId, tuple[BackendServer, float]] = {}
        self._suspicions: dict[VmId, _Suspicion] = {}
        self._last_model: dict[tuple[VmId, int], ModelName] = {}
        # Head of each group of a service and its start, as long as a member names the
        # group; None if several servers are its head by their entries.
        self._heads: dict[tuple[ServiceName, GroupKey], tuple[VmId, int] | None] = {}

    @property
    def listed(self) -> Mapping[VmId, BackendServer]:
        """Servers that were in the registry at the last `refresh`."""
        return self._listed

    def servers_of_service(self, service: ServiceName) -> list[BackendServer]:
        """Return the listed and unlisted servers of a service."""
        unlisted = [
            self._as_reported(server)
            for server, _ in self._unlisted.values()
            if server.service == service
        ]
        return unlisted + [s for s in self._listed.values() if s.service == service]

    def mark_suspect(self, head: VmId) -> None:
        """Record that the streams of a group have stalled."""
        now_s = self._clock.monotonic()
        if not self.is_suspect(head):
            self._suspicions[head] = _Suspicion(last_at_s=now_s, silent_since_s=now_s)
            return
        suspicion = self._suspicions[head]
        suspicion.last_at_s = now_s
        if suspicion.silent_since_s is None:
            suspicion.silent_since_s = now_s

    def is_suspect(self, head: VmId) -> bool:
        """Return whether the streams of a group stalled recently."""
        suspicion = self._suspicions.get(head)
        return (
            suspicion is not None
            and self._clock.monotonic() - suspicion.last_at_s < _SUSPICION_S
        )

    def in_flight(self, head: VmId) -> int:
        """Return the number of requests that all nodes have in flight at a head."""
        return self._in_flight(head)

    def last_model(self, server: BackendServer) -> ModelName | None:
        """Return the model of a server's last group since its start, if known."""
        return self._last_model.get((server.vm, server.start_time_ms))

    def as_free_server(self, server: BackendServer) -> FreeServer:
        """Return a server in the form that the planning functions take."""
        return FreeServer(server, self.last_model(server))

    def refresh(self) -> None:
        """Update the view from the current registry."""
        now_s = self._clock.monotonic()
        current = self._registry.servers
        for vm, server in self._listed.items():
            if vm not in current:
                self._unlisted[vm] = (server, now_s)
        for vm, server in current.items():
            previous = self._listed.get(vm)
            if previous is not server:
                self._health.record_contact(vm)
            if previous is not None and previous.start_time_ms != server.start_time_ms:
                self._suspicions.pop(vm, None)
            membership = server.membership
            has_loaded = membership and membership.state is not GroupState.JOINING
            if has_loaded and server.model is not None:
                self._last_model[vm, server.start_time_ms] = server.model
            self._unlisted.pop(vm, None)
        self._listed = dict(current)
        self._record_heads()
        for vm in [
            v
            for v, (_, at_s) in self._unlisted.items()
            if now_s - at_s > _UNLISTED_RETENTION_S
        ]:
            del self._unlisted[vm]
        if len(self._last_model) > 8 * len(self._listed) + 64:
            listed = {(s.vm, s.start_time_ms) for s in self._listed.values()}
            for key in [k for k in self._last_model if k not in listed]:
                del self._last_model[key]

    def has_head_restarted(self, view: GroupView) -> bool:
        """Return whether the head of a group has started again since it joined.

        Nothing serves the group any more then.
        """
        services = {member.service for member in view.members.values()}
        if len(services) != 1:
            return False
        head = self._heads.get((services.pop(), view.key))
        if head is None:
            return False
        vm, start_time_ms = head
        listed = self._listed.get(vm)
        return listed is not None and (
            listed.start_time_ms > start_time_ms
            or (
                listed.start_time_ms == start_time_ms
                and self._health.has_restarted(listed)
            )
        )

    def _record_heads(self) -> None:
        named = set()
        for server in self._known_servers():
            key = group_key(server.membership)
            if key is None or server.membership is None:
                continue
            named.add((server.service, key))
            if server.membership.rank == 0:
                head = (server.vm, server.start_time_ms)
                if self._heads.setdefault((server.service, key), head) != head:
                    self._heads[server.service, key] = None
        for group in [group for group in self._heads if group not in named]:
            del self._heads[group]

    def _known_servers(self) -> Iterator[BackendServer]:
        """Yield the listed and unlisted servers."""
        yield from self._listed.values()
        yield from (server for server, _ in self._unlisted.values())

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server leaves, by its entry or by its own statement.

        The statement may come first, and an older entry does not revoke it.
        """
        return server.state is ServerState.DRAINING or self._availability.is_leaving(
            server
        )

    def may_join(self, server: BackendServer) -> bool:
        """Return whether a server may get orders to join a group or to load weights."""
        return self.is_usable(server) and not self._is_evacuated(server)

    def is_in_evacuated_zone(self, server: BackendServer) -> bool:
        """Return whether the zone of a server is evacuated."""
        return self._is_evacuated(server)

    def is_group_in_evacuated_zone(self, view: GroupView) -> bool:
        """Return whether the zone of a member of a group is evacuated."""
        return any(map(self._is_evacuated, view.members.values()))

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether a server is able to join a group."""
        return (
            not self.is_leaving(server)
            and server.vm in self._listed
            and not self._registry.is_lapsed(server.vm)
            and not self._health.is_lost(server.vm)
            # An order needs the entry of the start that executes it.
            and not self._health.has_restarted(server)
        )

    def is_working_member(self, server: BackendServer) -> bool:
        """Return whether a member still works for its group.

        A server without a registry entry may only be disconnected from the store.
        It counts as working until it is lost or reports another membership.
        """
        if self._health.is_lost(server.vm) or self._health.has_restarted(server):
            return False
        if server.vm in self._listed:
            return True
        report = self._health.recent_report(server.vm, max_age_s=_REPORT_MAX_AGE_S)
        if report is None or server.membership is None:
            return True
        reported = report.membership
        listed = server.membership
        return reported is not None and (reported.group, reported.epoch) == (
            listed.group,
            listed.epoch,
        )

    def is_progressing(self, view: GroupView) -> bool:
        """Return whether the streams of a group show that all members work.

        A member may be disconnected from both the store and this node and still
        work for its head.
        """
        head = view.head
        if head is None or self.is_suspect(head.vm) or head.vm not in self._listed:
            return False
        if any(map(self._health.has_restarted, view.members.values())):
            return False
        return self._in_flight(head.vm) > 0

    def may_go_on(self, view: GroupView) -> bool:
        """Return whether a stalled group with work is silent for a short time only.

        A missing entry is evidence of a loss.
        """
        head = view.head
        if (
            head is None
            or not self.is_suspect(head.vm)
            or not self._in_flight(head.vm)
            or any(m.vm not in self._listed for m in view.members.values())
            or any(map(self._health.has_restarted, view.members.values()))
        ):
            return False
        since_s = self._suspicions[head.vm].silent_since_s
        return since_s is None or self._clock.monotonic() - since_s < _LONGEST_PAUSE_S

    def _as_reported(self, server: BackendServer) -> BackendServer:
        """Return an unlisted server with the membership of its newest report."""
        report = self._health.recent_report(server.vm, max_age_s=_REPORT_MAX_AGE_S)
        if report is None or report.membership is None:
            return server
        return dataclasses.replace(server, membership=report.membership)

    async def probe(self, awaiting_report: Iterable[BackendServer]) -> None:
        """Request reports from suspect, lost, unlisted and other given servers.

        Parameters
        ----------
        awaiting_report : iterable of BackendServer
            Servers whose reports are needed before they get orders.
        """
        self._suspicions = {
            vm: suspicion
            for vm, suspicion in self._suspicions.items()
            if self.is_suspect(vm)
        }
        others = {
            server.vm: server
            for server, _ in self._unlisted.values()
            if self._runs_models(server.service) and not self._health.is_lost(server.vm)
        }
        others.update(
            {
                server.vm: server
                for server in awaiting_report
                if not self._availability.is_paused(server)
            }
        )
        views = self._views()
        members = {
            member.vm: member
            for view in views
            if view.head is not None and view.head.vm in self._suspicions
            for member in view.members.values()
            if not self._availability.is_paused(member)
        }
        # The members of a group that goes on count as lost only until they answer.
        others.update(
            {
                member.vm: member
                for view in views
                if self.is_progressing(view)
                for member in view.members.values()
                if self._health.is_lost(member.vm)
                and not self._availability.is_paused(member)
            }
        )
        await asyncio.gather(
            self._health.probe(members.values(), are_suspect=True),
            self._health.probe(others.values()),
        )
        for view in views:
            self._end_silence(view)
        self._health.drop_stale()

    def _views(self) -> list[GroupView]:
        """Return the groups of listed servers, each of which belongs to a service.

        An entry of another service may name any group and rank.
        """
        members: dict[ServiceName, list[BackendServer]] = {}
        for server in self._listed.values():
            if server.membership is not None:
                members.setdefault(server.service, []).append(server)
        return [
            view
            for servers in members.values()
            for view in group_views(servers).values()
        ]

    def _end_silence(self, view: GroupView) -> None:
        """End the silence of a group of which all members have answered since."""
        suspicion = self._suspicions.get(view.head.vm) if view.head else None
        if suspicion is None or suspicion.silent_since_s is None:
            return
        if all(
            self._health.reported_at_s(member.vm) >= suspicion.silent_since_s
            for member in view.members.values()
        ):
            suspicion.silent_since_s = None
