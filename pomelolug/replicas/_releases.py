"""Groups that end, and when their members are free again."""

import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    EngineProfile,
    GroupState,
    ModelProfile,
    ServerState,
)
from pomelolug.ids import DomainId, VmId
from pomelolug.replicas._departures import Departures
from pomelolug.replicas._desk import OrderDesk
from pomelolug.replicas._duty import DutyHolder
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._view import GroupKey, GroupView, is_standby

__all__ = ["GroupReleases"]

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

_SERVING_STATES = (GroupState.OPEN, GroupState.CLOSING)


@dataclasses.dataclass(slots=True)
class _Release:
    """A group whose members become free at `free_at`."""

    free_at: float | None = None
    left: bool = False
    worked: bool = False
    """Whether streams of the head stood still, so that it had work."""


class GroupReleases:
    """Ends groups that have lost or are to lose a member.

    A member of an ended group is used again only when the head has confirmed that
    it left the group, or, if the head does not answer, after the time in which it
    must notice the loss of a member.

    Parameters
    ----------
    duty : DutyHolder
        Whether this node may give orders.
    fleet : FleetView
        Servers as known.
    desk : OrderDesk
        Sends orders.
    health : ServerHealth
        Reports of servers.
    departures : Departures
        Departures from groups whose heads do not answer.
    clock : Clock
        Source of monotonic time.
    stall_s : float
        Time in which a head notices the loss of a member, in seconds.
    in_formation : callable
        Returns whether a server is a member of a group that is being formed.
    wake : callable
        Starts the next round.
    """

    def __init__(
        self,
        *,
        duty: DutyHolder,
        fleet: FleetView,
        desk: OrderDesk,
        health: ServerHealth,
        departures: Departures,
        clock: Clock,
        stall_s: float,
        in_formation: Callable[[VmId], bool],
        wake: Callable[[], None],
    ) -> None:
        self._duty = duty
        self._fleet = fleet
        self._desk = desk
        self._health = health
        self._departures = departures
        self._clock = clock
        self._stall_s = stall_s
        self._in_formation = in_formation
        self._wake = wake
        self._releases: dict[GroupKey, _Release] = {}
        self._draining_since: dict[GroupKey, float] = {}
        self._verify_until: dict[DomainId, float] = {}
        self._witnesses: set[tuple[GroupKey, VmId]] = set()
        self._watching_since = clock.monotonic()

    def ended(self, key: GroupKey) -> bool:
        """Return whether a group ends or has ended."""
        return key in self._releases

    def end_unopened(self, key: GroupKey) -> None:
        """Free the members of a group whose head was never told to open."""
        self._releases[key] = _Release(free_at=0.0, left=True)

    def forget(self) -> None:
        """Forget all groups, when another node forms them."""
        self._releases.clear()
        self._witnesses.clear()
        self._verify_until.clear()
        self._draining_since.clear()

    def inspect(
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
        model = engine.find_model(view.model) if view.model is not None else None
        members = list(view.members.values())
        lost = [m for m in members if not self._fleet.present(m)]
        if self._fleet.advances(view):
            lost = []
        complete = model is not None and len(members) == model.group_size and not lost
        draining = [
            member
            for member in members
            if member.state is ServerState.DRAINING
            # Requests may not be sent to a head without an entry.
            or (member is view.head and member.vm not in self._fleet.known)
        ]
        if view.model is None and not lost and not draining:
            if len(members) in {m.group_size for m in engine.models}:
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
        if head is None or model is None or not view.all_ready(model.group_size):
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
            and self.is_free(server)
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

    def unverified(self, server: BackendServer) -> bool:
        """Return whether a server of a domain with a recent loss has to answer.

        The entry of a server that was lost with others is there for some
        seconds, and a group formed with it fails.
        """
        now = self._clock.monotonic()
        if self._verify_until.get(server.domain, 0.0) < now:
            return False
        return self._health.report(server.vm, newest_s=_VERIFIED_S) is None

    def is_free(self, server: BackendServer) -> bool:
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
        self._wake()
        if not is_head:
            self._witnesses.add((key, server.vm))
            if worked:
                self._departures.note(key)
