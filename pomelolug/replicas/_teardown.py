"""Teardown of groups, and when their members are free again."""

import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import (
    BackendServer,
    EngineProfile,
    GroupState,
    ModelProfile,
)
from pomelolug.ids import DomainId, VmId
from pomelolug.replicas._departures import Departures
from pomelolug.replicas._fleet import FleetView
from pomelolug.replicas._group_view import GroupKey, GroupView, is_standby
from pomelolug.replicas._health import ServerHealth
from pomelolug.replicas._lease import ControllerLease
from pomelolug.replicas._orders import OrderSender

__all__ = ["GroupTeardown"]

_log = structlog.get_logger(__name__)

_DRAIN_TIMEOUT_S = 5.0
"""Time for which a group with a draining member keeps serving if no spare is ready.

The platform keeps a draining member for at most 10 s while its head has work, and
the longest streams take some seconds.
"""
_IDLE_HEAD_WAIT_S = 40.0
"""Wait for an unresponsive head without work, which does not detect a departure.

It may still be open behind a network partition. Partitions of servers last up to
ten seconds, and the head is ordered to leave when it answers again.
"""
_VERIFICATION_PERIOD_S = 3.0
"""Time after a loss during which servers of the domain have to answer before use.

It covers the time until the registry entries of the lost servers have expired.
"""
_VERIFIED_REPORT_MAX_AGE_S = 1.0
"""Maximum age of a report that verifies that a server answers."""

_SERVING_STATES = (GroupState.OPEN, GroupState.CLOSING)


@dataclasses.dataclass(slots=True)
class _Teardown:
    """Progress of the teardown of one group."""

    free_at_s: float | None = None
    """Monotonic time at which the members become free, or None if not known."""
    member_left: bool = False
    """Whether no further member has to leave.

    True once a member has accepted the order to leave, a recorded departure of a
    member is known, or the group ended before its head was ordered to open.
    """
    had_work: bool = False
    """Whether streams of the head have stalled, which shows that it had work."""
    left_at_s: float | None = None
    """Monotonic time at which a member left a head that did not answer, or None.

    The head may then be open without work, although its streams had stalled before.
    """


class GroupTeardown:
    """Tears down groups that have lost a member, have a draining one or are given up.

    A member of such a group is used again only after the head has confirmed that
    it leaves the group or, if the head does not answer, after the time within
    which the head must detect the loss of a member.

    Parameters
    ----------
    lease : ControllerLease
        Lease of the active controller.
    fleet : FleetView
        View of the servers.
    orders : OrderSender
        Sends orders to servers.
    health : ServerHealth
        Newest reports of servers.
    departures : Departures
        Departures from groups whose heads do not answer.
    clock : Clock
        Source of monotonic time.
    stall_timeout_s : float
        Time within which a head detects the loss of a member, in seconds.
    is_in_formation : callable
        Returns whether a server is a member of a group in formation.
    wake : callable
        Starts the next round of the controller.
    """

    def __init__(
        self,
        *,
        lease: ControllerLease,
        fleet: FleetView,
        orders: OrderSender,
        health: ServerHealth,
        departures: Departures,
        clock: Clock,
        stall_timeout_s: float,
        is_in_formation: Callable[[VmId], bool],
        wake: Callable[[], None],
    ) -> None:
        self._lease = lease
        self._fleet = fleet
        self._orders = orders
        self._health = health
        self._departures = departures
        self._clock = clock
        self._stall_timeout_s = stall_timeout_s
        self._is_in_formation = is_in_formation
        self._wake = wake
        self._teardowns: dict[GroupKey, _Teardown] = {}
        self._retiring: set[GroupKey] = set()
        self._draining_since_s: dict[GroupKey, float] = {}
        self._verify_until_s: dict[DomainId, float] = {}
        # Members, with their start, that were ordered to leave before the head did.
        self._removed_members: set[tuple[GroupKey, VmId, int]] = set()
        self._watching_since_s = clock.monotonic()

    def is_ending(self, key: GroupKey) -> bool:
        """Return whether a group is closed, is being torn down or has been."""
        return key in self._teardowns or key in self._retiring

    def is_running(self, key: GroupKey) -> bool:
        """Return whether the members of a group have not been freed yet."""
        teardown = self._teardowns.get(key)
        if teardown is None:
            return key in self._retiring
        return teardown.free_at_s is None

    def retire(self, key: GroupKey) -> None:
        """Close a group, and free its members when its requests are finished."""
        self._retiring.add(key)

    def end_unopened(self, key: GroupKey) -> None:
        """Free the members of a group whose head was never ordered to open."""
        self._teardowns[key] = _Teardown(free_at_s=0.0, member_left=True)

    def clear(self) -> None:
        """Discard all state when this node is no longer the active controller."""
        self._teardowns.clear()
        self._retiring.clear()
        self._removed_members.clear()
        self._verify_until_s.clear()
        self._draining_since_s.clear()

    def orders_for_group(
        self, view: GroupView, engine: EngineProfile
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders for a group that is not in formation."""
        if self._fleet.has_head_restarted(view):
            self._free_members(view.key)
            return []
        teardown = self._teardowns.get(view.key)
        if teardown is not None and teardown.free_at_s is not None:
            unresponsive_head = view.head
            is_waiting = not self._are_members_free(view.key, teardown)
            if (
                is_waiting
                and unresponsive_head is not None
                and self._fleet.is_usable(unresponsive_head)
            ):
                if self._orders.try_reserve(unresponsive_head.vm):
                    return [self._leave(view.key, unresponsive_head, teardown)]
            return []
        model = engine.find_model(view.model) if view.model is not None else None
        members = list(view.members.values())
        lost = [m for m in members if not self._fleet.is_working_member(m)]
        has_all_entries = model is not None and len(members) == model.group_size
        is_serving = has_all_entries and view.head_state in _SERVING_STATES
        if self._fleet.is_progressing(view) or (
            is_serving and self._fleet.may_go_on(view)
        ):
            lost = []
        is_complete = has_all_entries and not lost
        draining = [
            member
            for member in members
            if self._fleet.is_leaving(member)
            # Requests may not be sent to a head without an entry.
            or (member is view.head and member.vm not in self._fleet.listed)
        ]
        if view.model is None and not lost and not draining:
            if len(members) in {m.group_size for m in engine.models}:
                # A predecessor formed the group, which is loading its weights.
                return []
        if is_complete and not draining and view.key in self._retiring:
            if view.head_state in _SERVING_STATES:
                return self._close_when_finished(view)
        elif is_complete and not draining:
            if view.head_state is GroupState.READY and teardown is None:
                return self._open_inherited(view, model)
            if view.head_state is not GroupState.BROKEN:
                return []
        if is_complete and draining and view.head_state in _SERVING_STATES:
            if view.head in draining or self._may_close(view, model):
                return self._close_when_finished(view)
            return []
        return self._tear_down(view, lost)

    def _free_members(self, key: GroupKey) -> None:
        """Free the members of a group whose head cannot serve any more."""
        now_s = self._clock.monotonic()
        teardown = self._teardowns.setdefault(key, _Teardown())
        teardown.member_left = True
        teardown.left_at_s = None
        if teardown.free_at_s is None or teardown.free_at_s > now_s:
            teardown.free_at_s = now_s
            _log.info("group_head_restarted", group=key[0], epoch=key[1])

    def _open_inherited(
        self, view: GroupView, model: ModelProfile | None
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the order to open a group that a predecessor formed."""
        head = view.head
        if head is None or model is None or not view.is_ready(model.group_size):
            return []
        if self._fleet.is_group_in_evacuated_zone(view):
            return []
        return (
            [self._orders.open(view.key, head)]
            if self._orders.try_reserve(head.vm)
            else []
        )

    def _may_close(self, view: GroupView, model: ModelProfile | None) -> bool:
        """Return whether to close a group with a draining member now.

        The first call for a group starts its drain timeout.

        The platform keeps the member for a limited time while the head has work.
        The group therefore serves until a spare can replace the member or most of
        that time has passed.
        """
        now_s = self._clock.monotonic()
        since_s = self._draining_since_s.setdefault(view.key, now_s)
        if now_s - since_s >= _DRAIN_TIMEOUT_S:
            return True
        domain = next(iter(view.members.values())).domain
        return model is None or any(
            server.domain == domain
            and self.is_free(server)
            # 2 is the cost of a load from the weight store.
            and self._fleet.as_free_server(server).join_cost(model.name) < 2
            for server in self._fleet.listed.values()
        )

    def _close_when_finished(self, view: GroupView) -> list[Coroutine[Any, Any, None]]:
        head = view.head
        if head is None or view.head_state is GroupState.CLOSING:
            return []
        return (
            [self._orders.close(view.key, head)]
            if self._orders.try_reserve(head.vm)
            else []
        )

    def _tear_down(
        self, view: GroupView, lost: list[BackendServer]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that free the members of a group."""
        teardown = self._teardowns.setdefault(view.key, _Teardown())
        if lost:
            until_s = self._clock.monotonic() + _VERIFICATION_PERIOD_S
            self._verify_until_s[lost[0].domain] = until_s
        head = view.head
        if head is not None and head not in lost:
            return (
                [self._leave(view.key, head, teardown)]
                if self._orders.try_reserve(head.vm)
                else []
            )
        if head is not None and self._fleet.is_suspect(head.vm):
            teardown.had_work = True
        left_at_s = self._departures.left_at_s(view.key)
        if left_at_s is not None and not teardown.member_left:
            teardown.member_left = True
            teardown.left_at_s = left_at_s
            teardown.free_at_s = left_at_s + self._stall_timeout_s
        if teardown.member_left:
            return []
        survivors = [m for m in view.members.values() if m not in lost]
        if not survivors:
            return []
        # An unresponsive head detects the loss of this member within its stall
        # timeout.
        member = min(survivors, key=lambda m: m.vm)
        return (
            [self._leave(view.key, member, teardown)]
            if self._orders.try_reserve(member.vm)
            else []
        )

    def is_unverified(self, server: BackendServer) -> bool:
        """Return whether a server has to answer a probe before it is used.

        This applies to domains with a recent loss. The registry keeps the entry of
        a lost server for some seconds, and a group formed with that server fails.
        """
        now_s = self._clock.monotonic()
        if self._verify_until_s.get(server.domain, 0.0) < now_s:
            return False
        return (
            self._health.recent_report(server.vm, max_age_s=_VERIFIED_REPORT_MAX_AGE_S)
            is None
        )

    def is_free(self, server: BackendServer) -> bool:
        """Return whether a server is free to join a new group."""
        if not self._fleet.may_join(server) or self._is_in_formation(server.vm):
            return False
        membership = server.membership
        if membership is None:
            # A predecessor may have ordered the server to leave a group whose
            # head it could not reach. Wait for the same time as it would have.
            is_fresh = self._health.orders_begun(server) == 0
            held_s = self._clock.monotonic() - self._lease.held_since_s
            has_settled = held_s > self._stall_timeout_s
            return (
                is_fresh or has_settled or self._has_no_known_model(server)
            ) and not self._is_withheld(server)
        key = (membership.group, membership.epoch)
        if is_standby(key):
            return True
        teardown = self._teardowns.get(key)
        return teardown is not None and self._are_members_free(key, teardown)

    def _are_members_free(self, key: GroupKey, teardown: _Teardown) -> bool:
        """Return whether the members of a group may join another one.

        A head that did not answer when a member left may have had no work by then, and
        stays open. As long as its entry shows that it serves, the members wait like
        those of any head without work. The entry of a lost head lapses before.
        """
        now_s = self._clock.monotonic()
        if teardown.free_at_s is None or now_s < teardown.free_at_s:
            return False
        if teardown.left_at_s is None:
            return True
        return (
            now_s - teardown.left_at_s >= _IDLE_HEAD_WAIT_S
            or not self._is_head_serving(key)
        )

    def _is_head_serving(self, key: GroupKey) -> bool:
        """Return whether the entry of the head of a group shows that it serves."""
        for server in self._fleet.listed.values():
            membership = server.membership
            if (
                membership is not None
                and membership.rank == 0
                and (membership.group, membership.epoch) == key
            ):
                return membership.state in _SERVING_STATES
        return False

    def _has_no_known_model(self, server: BackendServer) -> bool:
        """Return whether this node has never seen a server with a loaded model.

        Always false until this node has watched the servers for longer than the
        stall timeout.
        """
        watched_s = self._clock.monotonic() - self._watching_since_s
        was_in_group = self._fleet.last_model(server) is not None
        return watched_s > self._stall_timeout_s and not was_in_group

    def _is_withheld(self, server: BackendServer) -> bool:
        """Return whether a server left a group whose members are not free yet."""
        return any(
            teardown.free_at_s is not None and not self._are_members_free(key, teardown)
            for key, teardown in self._teardowns.items()
            if (key, server.vm, server.start_time_ms) in self._removed_members
        )

    async def _leave(
        self, key: GroupKey, server: BackendServer, teardown: _Teardown
    ) -> None:
        """Order a member to leave a group, and set when its members become free.

        They are free at once if the member is the head, and otherwise after the
        time within which the head must detect the departure.
        """
        membership = server.membership
        if not await self._orders.leave(key, server):
            return
        teardown.member_left = True
        is_head = membership is not None and membership.rank == 0
        had_work = teardown.had_work
        wait_s = self._stall_timeout_s if had_work else _IDLE_HEAD_WAIT_S
        now_s = self._clock.monotonic()
        teardown.left_at_s = None if is_head else now_s
        teardown.free_at_s = now_s + (0.0 if is_head else wait_s)
        self._wake()
        if not is_head:
            self._removed_members.add((key, server.vm, server.start_time_ms))
            if had_work:
                self._departures.record(key)
