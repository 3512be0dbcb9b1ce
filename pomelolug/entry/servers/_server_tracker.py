"""Availability and load of the backend servers, as known to this node."""

import collections
import copy
import dataclasses
import enum
from collections.abc import Callable, Iterable, Mapping
from typing import TypeAlias

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    GroupState,
    ServerRegistry,
    ServerState,
)
from pomelolug.entry.servers._server_notices import ServerNotices, ServerOptions
from pomelolug.ids import ModelName, ServiceName, VmId, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.replicas import GroupKey, group_key, group_views

__all__ = ["HeadExclusion", "ServedModel", "ServerLoad", "ServerTracker"]

ServedModel: TypeAlias = tuple[ServiceName, ModelName]
"""A model and its service; several services may run the same model."""

_SUSPICION_TIMEOUT_S = 6.0
"""Longest time for which a head is suspected.

A stalled head reports that it is broken within its stall timeout.
"""
_REFUSAL_BACKOFF_S = 0.2
"""Pause after a refusal, in which a full group frees a few slots."""
_FAILURE_HALF_LIFE_S = 3.0
"""Time in which a recorded failure loses half of its weight."""
_PROGRESS_MAX_AGE_S = 1.0
"""Age up to which progress of a stream proves that all group members work."""


class HeadExclusion(enum.Enum):
    """Why this node sends no requests to the head of an open group."""

    SUSPECTED = "suspected"
    SUSPECTED_BY_PEER = "suspected_by_peer"
    RECENTLY_FULL = "recently_full"
    DEGRADED = "degraded"


@dataclasses.dataclass(slots=True)
class ServerLoad:
    """Load and recent outcomes of this node's requests at one server.

    The times are monotonic seconds.
    """

    in_flight: int = 0
    suspect_until_s: float = float("-inf")
    progress_at_s: float = float("-inf")
    full_until_s: float = float("-inf")
    failure_score: float = 0.0
    last_failure_at_s: float = 0.0

    def end_request(self) -> None:
        """Record that a request is no longer in flight."""
        self.in_flight -= 1


class ServerTracker:
    """Tracks open groups and ready servers together with their load.

    Parameters
    ----------
    registry : ServerRegistry
        Servers as read from the store.
    notices : ServerNotices
        What servers state about the requests that they take.
    was_cut_off_since : callable
        Returns whether this node may have been cut off from the servers since a
        monotonic time. What it has seen of them since then is no evidence.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        notices: ServerNotices,
        was_cut_off_since: Callable[[float], bool] = lambda time_s: False,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._notices = notices
        self._was_cut_off_since = was_cut_off_since
        self._clock = clock
        self._loads: dict[VmId, ServerLoad] = {}
        self._start_times_ms: dict[VmId, int] = {}
        # Starts known before the entries of the servers showed them.
        self._reported_starts_ms: dict[VmId, int] = {}
        self._peer_loads: dict[VmId, int] = {}
        self._zone_peer_loads: dict[str, int] = {}
        self._other_zone_loads: dict[str, int] = {}
        self._peer_suspects: set[VmId] = set()
        self._zone_suspects: frozenset[str] = frozenset()
        self._other_zone_suspects: tuple[str, ...] = ()
        # Listed groups of which all members have once been ready.
        self._completed_groups: set[tuple[ServiceName, GroupKey]] = set()
        self._heads: dict[ServedModel, list[BackendServer]] = {}
        # Open heads of completed groups that now lack a listed member.
        self._degraded_heads: set[VmId] = set()
        self._servers_by_service: dict[ServiceName, list[BackendServer]] = {}

    def snapshot(self, notices: ServerNotices) -> "ServerTracker":
        """Return a tracker with the same state, to be asked without a change of it.

        Parameters
        ----------
        notices : ServerNotices
            Used by the new tracker.
        """
        snapshot = copy.copy(self)
        snapshot._notices = notices
        snapshot._degraded_heads = set(self._degraded_heads)
        snapshot._loads = {vm: copy.copy(load) for vm, load in self._loads.items()}
        return snapshot

    def load(self, vm: VmId) -> ServerLoad:
        """Return the mutable load entry of a server, created on first use."""
        return self._loads.setdefault(vm, ServerLoad())

    def own_loads(self) -> dict[str, int]:
        """Return the number of requests of this node in flight at each server."""
        return {
            vm: load.in_flight for vm, load in self._loads.items() if load.in_flight
        }

    def suspects(self) -> tuple[str, ...]:
        """Return the heads that this node suspects itself."""
        now_s = self._clock.monotonic()
        return tuple(
            vm for vm, load in self._loads.items() if load.suspect_until_s > now_s
        )

    def in_flight(self, vm: VmId) -> int:
        """Return the known number of requests of all nodes in flight at a server."""
        return self.load(vm).in_flight + self._peer_loads.get(vm, 0)

    def suspect(self, vm: VmId, *, since_s: float | None = None) -> None:
        """Send no requests to a head until it makes progress or the suspicion ends.

        Parameters
        ----------
        vm : VmId
            The head.
        since_s : float, optional
            Monotonic time at which what raises the suspicion began, such as an attempt
            to connect; now by default. The node must not have been cut off since.
        """
        now_s = self._clock.monotonic()
        if not self._was_cut_off_since(now_s if since_s is None else since_s):
            self.load(vm).suspect_until_s = now_s + _SUSPICION_TIMEOUT_S

    def clear_suspicions(self, *, since_s: float) -> None:
        """End the suspicions of this node that began at or after a monotonic time."""
        oldest_end_s = since_s + _SUSPICION_TIMEOUT_S
        for load in self._loads.values():
            if load.suspect_until_s >= oldest_end_s:
                load.suspect_until_s = float("-inf")

    def clear_failures(self, *, since_s: float) -> None:
        """Forget the failures of servers that failed at or after a monotonic time."""
        for load in self._loads.values():
            if load.last_failure_at_s >= since_s:
                load.failure_score = 0.0

    def record_refusal(self, vm: VmId) -> None:
        """Send no requests for a moment to a server that has just refused one."""
        self.load(vm).full_until_s = self._clock.monotonic() + _REFUSAL_BACKOFF_S

    def record_progress(self, vm: VmId) -> None:
        """Record that a server has sent part of a response, which ends a suspicion."""
        load = self.load(vm)
        load.progress_at_s = self._clock.monotonic()
        load.suspect_until_s = float("-inf")

    def record_failure(self, vm: VmId, *, since_s: float | None = None) -> None:
        """Record a failure caused by the server.

        Parameters
        ----------
        vm : VmId
            The server.
        since_s : float, optional
            Monotonic time at which the request began, if the failure is not one that
            the server has reported. The node must not have been cut off since.
        """
        if since_s is not None and self._was_cut_off_since(since_s):
            return
        load = self.load(vm)
        load.failure_score = self.failure_score(vm) + 1.0
        load.last_failure_at_s = self._clock.monotonic()

    def failure_score(self, vm: VmId) -> float:
        """Return the number of failures of a server, decayed exponentially by age."""
        load = self.load(vm)
        age_s = self._clock.monotonic() - load.last_failure_at_s
        return load.failure_score * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)

    def zone_loads(self, *, with_own: bool = True) -> dict[str, int]:
        """Return the requests in flight of all nodes of this zone, by server.

        Without those of this node if `with_own` is false.
        """
        loads: collections.Counter[str] = collections.Counter(self._zone_peer_loads)
        if with_own:
            loads.update(self.own_loads())
        return dict(loads)

    def other_zone_loads(self) -> dict[str, int]:
        """Return the requests in flight of the nodes of other zones, by server."""
        return dict(self._other_zone_loads)

    def zone_suspects(self, *, with_own: bool = True) -> tuple[str, ...]:
        """Return the heads suspected first-hand by nodes of this zone.

        Without its own suspicions if `with_own` is false.
        """
        own_suspects = self.suspects() if with_own else ()
        return tuple(sorted({*own_suspects, *self._zone_suspects}))

    def other_zone_suspects(self) -> tuple[str, ...]:
        """Return the heads suspected first-hand by nodes of other zones."""
        return self._other_zone_suspects

    def apply_peer_statuses(
        self, statuses: Iterable[NodeStatus], *, zone: ZoneId
    ) -> None:
        """Replace the load and the suspected heads that peers report.

        The suspicions of a node that is cut off are ignored. What it forwards counts.

        Parameters
        ----------
        statuses : iterable of NodeStatus
            Latest status of each live peer.
        zone : ZoneId
            Zone of this node.
        """
        zone_loads: collections.Counter[str] = collections.Counter()
        other_zone_loads: collections.Counter[str] = collections.Counter()
        relayed_loads: dict[str, int] = {}
        # What a relay forwards is kept apart from what nodes report first-hand.
        # Otherwise two relays would echo each other's suspicions forever.
        zone_suspects: set[str] = set()
        other_zone_suspects: set[str] = set()
        for status in statuses:
            if status.zone == zone:
                zone_loads.update(status.load)
                if status.reaches_servers:
                    zone_suspects.update(status.suspects)
                if status.relay:
                    relayed_loads = status.other_load
                    other_zone_suspects.update(status.other_suspects)
            elif status.relay:
                other_zone_loads.update(status.zone_load)
                other_zone_suspects.update(status.zone_suspects)
        self._zone_suspects = frozenset(zone_suspects)
        self._other_zone_suspects = tuple(sorted(other_zone_suspects))
        self._peer_suspects = {VmId(h) for h in zone_suspects | other_zone_suspects}
        self._zone_peer_loads = dict(zone_loads)
        self._other_zone_loads = (
            dict(other_zone_loads) if other_zone_loads else relayed_loads
        )
        total = zone_loads + collections.Counter(self._other_zone_loads)
        self._peer_loads = {VmId(vm): count for vm, count in total.items()}

    def refresh(self, group_sizes: Mapping[ServedModel, int]) -> None:
        """Recompute the open groups and ready servers from the registry.

        Parameters
        ----------
        group_sizes : mapping of ServedModel to int
            Number of members of a group, by service and model.
        """
        servers = self._registry.servers
        self._forget_earlier_starts()
        self._refresh_heads(group_sizes)
        servers_by_service: dict[ServiceName, list[BackendServer]] = {}
        for server in servers.values():
            if server.membership is None and _is_ready(server):
                servers_by_service.setdefault(server.service, []).append(server)
        self._servers_by_service = servers_by_service
        for vm in [v for v in self._loads if v not in servers]:
            if not self._loads[vm].in_flight:
                del self._loads[vm]
        for vm in [v for v in self._start_times_ms if v not in servers]:
            if vm not in self._loads:
                del self._start_times_ms[vm]
                self._reported_starts_ms.pop(vm, None)

    def _refresh_heads(self, group_sizes: Mapping[ServedModel, int]) -> None:
        """Recompute the open groups, each of which consists of servers of one service.

        An entry of another service may name any group, rank and model.
        """
        members: dict[ServiceName, list[BackendServer]] = {}
        for server in self._registry.servers.values():
            if server.membership is not None:
                members.setdefault(server.service, []).append(server)
        self._heads = {}
        self._degraded_heads.clear()
        completed_groups = set()
        for service, servers in members.items():
            for key, view in group_views(servers).items():
                if view.model is None:
                    continue
                size = group_sizes.get((service, view.model))
                if (size is not None and view.is_ready(size)) or (
                    (service, key) in self._completed_groups
                ):
                    completed_groups.add((service, key))
                head = view.head
                if head is None or (service, key) not in completed_groups:
                    continue
                if view.head_state is GroupState.OPEN and _is_ready(head):
                    self._heads.setdefault((service, view.model), []).append(head)
                    if len(view.members) != size:
                        self._degraded_heads.add(head.vm)
        self._completed_groups = completed_groups

    def record_restart(self, vm: VmId, start_time_ms: int) -> None:
        """Forget the load and the outcomes at a server whose entry is of before.

        Parameters
        ----------
        vm : VmId
            Server that has started again.
        start_time_ms : int
            Its start in milliseconds of Unix time.
        """
        self._reported_starts_ms[vm] = start_time_ms
        self._forget_start(vm)

    def _forget_start(self, vm: VmId) -> None:
        self._loads.pop(vm, None)
        self._peer_loads.pop(vm, None)
        self._peer_suspects.discard(vm)

    def _forget_earlier_starts(self) -> None:
        """Forget the load and the outcomes at servers that have started again.

        Requests of before keep the entry that they have. Peers report what they know
        of the server anew once they have learned of its start.
        """
        for vm, server in self._registry.servers.items():
            known_ms = self._start_times_ms.get(vm)
            self._start_times_ms[vm] = server.start_time_ms
            if known_ms is None or known_ms == server.start_time_ms:
                continue
            if self._reported_starts_ms.pop(vm, None) != server.start_time_ms:
                self._forget_start(vm)
            # A group that it has joined since is complete once all are ready again.
            key = group_key(server.membership)
            if key is not None:
                self._completed_groups.discard((server.service, key))

    def heads(self, service: ServiceName, model: ModelName) -> list[BackendServer]:
        """Return the heads of the open groups that take a request now."""
        return self.head_options(service, model).accepting

    def open_heads(self, service: ServiceName, model: ModelName) -> list[BackendServer]:
        """Return the heads of the open groups that any node may send to.

        Those that leave or lie in an evacuated zone are left out. What a suspicion, a
        pause or a share of a limit excludes differs between nodes.
        """
        return [
            head
            for head in self._heads.get((service, model), [])
            if not self._notices.is_leaving(head)
            and not self._notices.is_evacuated(head)
        ]

    def all_heads(self, service: ServiceName, model: ModelName) -> list[BackendServer]:
        """Return the heads of the open groups, whether they take requests or not."""
        return list(self._heads.get((service, model), []))

    def exclusions(self, vm: VmId) -> list[HeadExclusion]:
        """Return why no requests are sent to the head of an open group now.

        What servers and the operator state is left out; `ServerNotices` has it.
        """
        return self._exclusions(vm, self._clock.monotonic())

    def suspected_heads(
        self, service: ServiceName, model: ModelName
    ) -> list[BackendServer]:
        """Return the heads of the open groups that are only suspected.

        They take requests if they have only paused.
        """
        now_s = self._clock.monotonic()
        heads = self._heads.get((service, model), [])
        suspected = [h for h in heads if self._is_suspected(h.vm, now_s)]
        return self._notices.find_options(suspected).accepting

    def head_options(self, service: ServiceName, model: ModelName) -> ServerOptions:
        """Return the heads of the open groups that take a request, or the wait.

        An evacuation counts only if it concerns all heads, since others may just be
        full.
        """
        return self._notices.find_options(
            self._usable_heads(service, model),
            waits_for_evacuated=not self._heads_elsewhere(service, model),
        )

    def is_left_without_heads(self, service: ServiceName, model: ModelName) -> bool:
        """Return whether suspicions exclude all open groups of a service and model.

        Groups in evacuated zones are left out, since no node uses them.
        At least one of them is a suspicion of this node, so another node may see the
        groups work.
        """
        heads = self._heads_elsewhere(service, model)
        now_s = self._clock.monotonic()
        return (
            any(self.load(head.vm).suspect_until_s > now_s for head in heads)
            and not any(self._is_usable(head.vm, now_s) for head in heads)
            and not any(self.load(head.vm).full_until_s > now_s for head in heads)
        )

    def open_groups(self) -> int:
        """Return the number of open groups."""
        return sum(len(heads) for heads in self._heads.values())

    def servers(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers that take a request now, of a service without groups."""
        return self.server_options(service).accepting

    def all_servers(self, service: ServiceName) -> list[BackendServer]:
        """Return the ready servers of a service without groups, as `all_heads`."""
        return list(self._servers_by_service.get(service, []))

    def server_options(self, service: ServiceName) -> ServerOptions:
        """Return the servers of a service without groups that take a request now.

        With the wait for the first of them if none does.
        """
        return self._notices.find_options(self._servers_by_service.get(service, []))

    def _heads_elsewhere(
        self, service: ServiceName, model: ModelName
    ) -> list[BackendServer]:
        """Return the heads of the open groups outside evacuated zones."""
        heads = self._heads.get((service, model), [])
        return [h for h in heads if not self._notices.is_evacuated(h)]

    def _usable_heads(
        self, service: ServiceName, model: ModelName
    ) -> list[BackendServer]:
        """Return the heads of the open groups that are not suspected."""
        now_s = self._clock.monotonic()
        return [
            h
            for h in self._heads.get((service, model), ())
            if self._is_usable(h.vm, now_s)
        ]

    def _is_usable(self, vm: VmId, now_s: float) -> bool:
        """Return whether requests may be sent to the head of an open group.

        A suspicion of this node or a recent refusal excludes the head. Otherwise,
        recent progress of this node's requests shows that all members work, and
        overrides suspicions of peers and members missing from the registry.
        """
        return not self._exclusions(vm, now_s)

    def _exclusions(self, vm: VmId, now_s: float) -> list[HeadExclusion]:
        """Return everything but notices that keeps requests from an open group."""
        exclusions = []
        load = self._loads.get(vm)
        if load is not None:
            if load.suspect_until_s > now_s:
                exclusions.append(HeadExclusion.SUSPECTED)
            if load.full_until_s > now_s:
                exclusions.append(HeadExclusion.RECENTLY_FULL)
            if not exclusions and now_s - load.progress_at_s < _PROGRESS_MAX_AGE_S:
                return exclusions
        if vm in self._peer_suspects:
            exclusions.append(HeadExclusion.SUSPECTED_BY_PEER)
        if vm in self._degraded_heads:
            exclusions.append(HeadExclusion.DEGRADED)
        return exclusions

    def _is_suspected(self, vm: VmId, now_s: float) -> bool:
        """Return whether nothing but a suspicion excludes the head of an open group."""
        if vm in self._degraded_heads:
            return False
        load = self.load(vm)
        if load.full_until_s > now_s:
            return False
        return load.suspect_until_s > now_s or vm in self._peer_suspects


def _is_ready(server: BackendServer) -> bool:
    return server.state is ServerState.READY
