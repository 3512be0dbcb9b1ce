"""A gateway's view of the groups, and the choice among them."""

import datetime
import math
import random
from collections.abc import Sequence

from pomelolug.clock import Clock
from pomelolug.ids import FencingToken, GroupId, PoolId, RequestId, ZoneId
from pomelolug.messages import GroupStatus, RoutingTable
from pomelolug.routing._group import GroupState
from pomelolug.routing._prefix import PrefixIndex
from pomelolug.routing._score import (
    LOAD_COST,
    STRAGGLER_COST,
    ZONE_COST_S,
    prefix_saving,
)

__all__ = ["RoutingView"]

_DEFAULT_SERVICE_TIME_S = 1.0
_TEMPORARY_REFUSALS = frozenset({"busy"})


class RoutingView:
    """Groups that requests may be sent to, and the choice of one.

    Parameters
    ----------
    zone : ZoneId
        Availability zone of this gateway.
    lease : datetime.timedelta
        Age of a group's verification from which on nothing is sent to it.
    clock : Clock
        Source of monotonic time.
    random_state : random.Random
        Source of the candidate draws and of the breakers' jitter.
    prefix_index : PrefixIndex, optional
        What the groups hold in their prefix caches, by default a new one.
    """

    def __init__(
        self,
        *,
        zone: ZoneId,
        lease: datetime.timedelta,
        clock: Clock,
        random_state: random.Random,
        prefix_index: PrefixIndex | None = None,
    ) -> None:
        self._prefixes = prefix_index or PrefixIndex()
        self._zone = zone
        self._lease_s = lease.total_seconds()
        self._clock = clock
        self._random = random_state
        self._groups: dict[GroupId, GroupState] = {}
        self._pools: dict[PoolId, list[GroupState]] = {}
        self._usable_groups: dict[PoolId, tuple[float, list[GroupState]]] = {}
        self._in_flight: dict[PoolId, int] = {}
        self._placed: dict[tuple[GroupId, RequestId], PoolId] = {}
        self._service_time_s: dict[PoolId, float] = {}
        self._share = 1.0
        # Without a position from the shares, a random one spreads the rounding.
        self._begin = random_state.random()
        self._has_share = False

    @property
    def prefix_index(self) -> PrefixIndex:
        """What the groups hold in their prefix caches."""
        return self._prefixes

    @property
    def share(self) -> float:
        """Part of every group's slots that this gateway may use, 0 to 1."""
        return self._share

    def set_share(self, share: float, *, begin: float) -> None:
        """Set the part of every group's slots that this gateway owns.

        It takes effect with the next table.

        Parameters
        ----------
        share : float
            Length of the gateway's span on the line of all gateways, 0 to 1.
        begin : float
            Start of the span, 0 to 1.
        """
        self._share = min(max(share, 0.0), 1.0)
        self._begin = begin
        self._has_share = True

    def update(self, table: RoutingTable) -> None:
        """Replace the table.

        Ages in the table count from its arrival on the own monotonic clock. A
        status with a lower token than the known one is ignored.
        """
        now = self._clock.monotonic()
        groups: dict[GroupId, GroupState] = {}
        for status in table.groups:
            group = GroupId(status.group)
            groups[group] = self._merge(self._groups.get(group), status, now)
        self._groups = groups
        self._prefixes.keep_only(groups)
        self._usable_groups.clear()
        self._pools = {}
        for state in groups.values():
            self._pools.setdefault(PoolId(state.status.pool), []).append(state)
        if not self._has_share:
            self._share = 1.0 / max(table.nodes_alive, 1)
        self._set_limits()

    def candidates(self, pool: PoolId) -> tuple[GroupStatus, ...]:
        """Return the groups of `pool` that a request may be sent to now."""
        now = self._clock.monotonic()
        return tuple(state.status for state in self._usable(pool, now))

    def choose(
        self,
        pool: PoolId,
        *,
        exclude: frozenset[GroupId] = frozenset(),
        prefix: Sequence[str] = (),
        solo: bool = False,
    ) -> GroupStatus | None:
        """Choose a group for one request.

        Parameters
        ----------
        pool : PoolId
            Pool whose model is asked for.
        exclude : frozenset of GroupId
            Groups that must not be chosen, for example after a failure there.
        prefix : sequence of str
            Hashes of the prompt's blocks, the first block first.
        solo : bool
            Whether the request has a strike; a group with another such request
            is then not chosen.

        Returns
        -------
        GroupStatus or None
            None if no group is usable.
        """
        now = self._clock.monotonic()
        states = self._usable(pool, now)
        if exclude:
            states = [state for state in states if state.status.group not in exclude]
        if solo:
            states = [state for state in states if not state.solo]
        # Groups on which this gateway has slots left go first, if there are any.
        states = [state for state in states if state.slots_left > 0] or states
        local = [state for state in states if state.is_local]
        remote = [state for state in states if not state.is_local]
        default_s = self._service_time_s.get(pool, _DEFAULT_SERVICE_TIME_S)
        chosen = self._take(local, prefix, default_s, now)
        if remote and (chosen is None or chosen.load >= chosen.capacity):
            other = self._take(remote, prefix, default_s, now)
            if chosen is None or self._saves_zone_cost(other, chosen, default_s, now):
                chosen = other
        return None if chosen is None else chosen.status

    def is_dispatchable(self, group_id: GroupId, token: FencingToken) -> bool:
        """Return whether a packet to the group may leave now.

        To be called after the last await before the packet leaves.
        """
        state = self._groups.get(group_id)
        if state is None or state.status.token != token:
            return False
        return state.is_current(self._clock.monotonic())

    def free_slots(self, pool: PoolId) -> int:
        """Return how many more requests this gateway may have in flight.

        It counts the slots that this gateway owns or may borrow on the usable
        groups. A gateway that owns none still has one if any group is usable.
        """
        now = self._clock.monotonic()
        usable = self._usable(pool, now)
        # A group above its limit, for example after retries, counts against the
        # others: its surplus would wait in the engine.
        free = sum([state.slots_left for state in usable])
        if usable and free <= 0 and self._in_flight.get(pool, 0) == 0:
            return 1
        return max(free, 0)

    def has_spare(self, pool: PoolId) -> bool:
        """Return whether some usable group has slots that nobody uses.

        This gateway may borrow some of them with the next table.
        """
        now = self._clock.monotonic()
        return any(
            state.load + 1.0 <= state.capacity for state in self._usable(pool, now)
        )

    def on_dispatch(
        self, group_id: GroupId, request_id: RequestId, *, solo: bool = False
    ) -> None:
        """Count a request that was sent to the group."""
        state = self._groups.get(group_id)
        placement = (group_id, request_id)
        if state is None or placement in self._placed:
            return
        pool = PoolId(state.status.pool)
        self._placed[placement] = pool
        self._in_flight[pool] = self._in_flight.get(pool, 0) + 1
        state.on_dispatch(request_id, now=self._clock.monotonic(), solo=solo)

    def on_finish(
        self,
        group_id: GroupId,
        request_id: RequestId,
        *,
        ok: bool,
        service_time_s: float | None,
    ) -> None:
        """Count the end of a request on the group.

        Parameters
        ----------
        group_id : GroupId
            Group that the request was sent to.
        request_id : RequestId
            The request.
        ok : bool
            Whether the group completed it. A request that its caller cancelled
            is no failure of the group.
        service_time_s : float or None
            Time on the group in seconds; None if the request did not run to its
            end. Used only if `ok`.
        """
        pool = self._placed.pop((group_id, request_id), None)
        if pool is None:
            return
        self._in_flight[pool] -= 1
        if ok and service_time_s is not None:
            old = self._service_time_s.get(pool, service_time_s)
            self._service_time_s[pool] = old + 0.05 * (service_time_s - old)
        state = self._groups.get(group_id)
        if state is not None:
            if not ok:
                self._usable_groups.clear()
            state.on_finish(
                request_id,
                now=self._clock.monotonic(),
                ok=ok,
                service_time_s=service_time_s,
            )

    def on_refused(self, group_id: GroupId, reason: str) -> None:
        """Take a group's refusal into account.

        A full group counts as full until its next report; any other refusal
        closes the group until a verification that is newer than the refusal.
        """
        state = self._groups.get(group_id)
        if state is None:
            return
        self._usable_groups.clear()
        if reason in _TEMPORARY_REFUSALS:
            state.on_full()
        else:
            state.on_stale(self._clock.monotonic())

    def _usable(self, pool: PoolId, now: float) -> list[GroupState]:
        """Return the usable groups; kept until one of them may have changed."""
        valid_until, usable = self._usable_groups.get(pool, (-math.inf, []))
        if now < valid_until:
            return usable
        states = self._pools.get(pool, [])
        usable = [state for state in states if state.is_usable(now)]
        # A breaker that is not closed changes with time, so nothing is kept.
        if usable and all(state.breaker.is_closed for state in states):
            valid_until = min(state.expires_at for state in usable)
            self._usable_groups[pool] = (valid_until, usable)
        return usable

    def _set_limits(self) -> None:
        for pool, states in self._pools.items():
            serving = [state for state in states if state.serving]
            slots = sum(state.capacity for state in serving)
            used = sum(state.load for state in serving) / max(slots, 1)
            service_s = self._service_time_s.get(pool, _DEFAULT_SERVICE_TIME_S)
            for state in states:
                state.set_mean(used, service_s)
                state.set_limit(
                    begin=self._begin, share=self._share, draw=self._random.random()
                )

    def _merge(
        self, known: GroupState | None, status: GroupStatus, now: float
    ) -> GroupState:
        if known is None or status.token > known.status.token:
            return GroupState(
                status,
                arrived_at=now,
                lease_s=self._lease_s,
                random_state=self._random,
                is_local=status.zone == self._zone,
            )
        if status.token == known.status.token:
            known.update(status, arrived_at=now)
        return known

    def _take(
        self,
        states: list[GroupState],
        prefix: Sequence[str],
        default_s: float,
        now: float,
    ) -> GroupState | None:
        """Take the group whose turn it is, by weight.

        Each group gains credit in proportion to its weight and pays one for its
        turn, which spreads requests more evenly than independent draws. The
        alternative is the group that holds most of the prompt's prefix.
        """
        if not states:
            return None
        total = sum([state.weight for state in states])
        best = states[0]
        most = -math.inf
        for state in states:
            credit = state.credit = state.credit + state.weight / total
            if credit > most:
                best, most = state, credit
        best.credit -= 1.0
        drawn = [best]
        if prefix:
            drawn.append(max(states, key=lambda state: self._matched(state, prefix)))
        if len(drawn) == 1:
            return best
        return min(drawn, key=lambda state: self._score(state, prefix, default_s, now))

    def _score(
        self, state: GroupState, prefix: Sequence[str], default_s: float, now: float
    ) -> float:
        service_s = state.service_time(default_s)
        score = state.wait(default_s, now)
        score += LOAD_COST * service_s * state.load / state.capacity
        if state.status.straggler:
            score += STRAGGLER_COST * service_s
        return score - prefix_saving(self._matched(state, prefix))

    def _matched(self, state: GroupState, prefix: Sequence[str]) -> int:
        if not prefix:
            return 0
        status = state.status
        return self._prefixes.matched(
            GroupId(status.group), FencingToken(status.token), prefix
        )

    def _saves_zone_cost(
        self,
        other: GroupState | None,
        chosen: GroupState,
        default_s: float,
        now: float,
    ) -> bool:
        if other is None:
            return False
        return other.wait(default_s, now) + ZONE_COST_S < chosen.wait(default_s, now)
