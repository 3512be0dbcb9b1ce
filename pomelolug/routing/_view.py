"""Group selection by a gateway, based on its view of the groups."""

import datetime
import math
import random
from collections.abc import Sequence

from pomelolug.clock import Clock
from pomelolug.ids import FencingToken, GroupId, PoolId, RequestId, ZoneId
from pomelolug.messages import GroupStatus, RoutingTable
from pomelolug.routing._group_tracker import GroupTracker
from pomelolug.routing._prefix import PrefixIndex
from pomelolug.routing._score import (
    LOAD_COST,
    STRAGGLER_COST,
    ZONE_COST_S,
    prefix_saving_s,
)

__all__ = ["RoutingView"]

_DEFAULT_SERVICE_TIME_S = 1.0
_TEMPORARY_REFUSALS = frozenset({"busy"})


class RoutingView:
    """A gateway's view of all groups, from which it selects one for each request.

    The view combines the latest routing table with the requests that the gateway
    has in flight.

    Parameters
    ----------
    zone : ZoneId
        Availability zone of this gateway.
    lease : datetime.timedelta
        Age of a group's verification at which the group stops receiving requests.
        It does not limit the age of a log read, unlike `GroupLimits.lease`.
    clock : Clock
        Source of monotonic time.
    random_state : random.Random
        Source of randomness for the selection, the rounding of slots and the jitter
        of the circuit breakers.
    prefix_index : PrefixIndex, optional
        Index of the groups' prefix caches, by default a new one.
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
        self._prefix_index = prefix_index or PrefixIndex()
        self._zone = zone
        self._lease_s = lease.total_seconds()
        self._clock = clock
        self._random = random_state
        self._groups: dict[GroupId, GroupTracker] = {}
        self._pools: dict[PoolId, list[GroupTracker]] = {}
        self._usable_cache: dict[PoolId, tuple[float, list[GroupTracker]]] = {}
        self._in_flight: dict[PoolId, int] = {}
        self._dispatched: dict[tuple[GroupId, RequestId], PoolId] = {}
        self._service_time_s: dict[PoolId, float] = {}
        self._share = 1.0
        # Until a span is assigned, a random start varies the rounding of slots among
        # gateways.
        self._span_start = random_state.random()
        self._has_share = False

    @property
    def prefix_index(self) -> PrefixIndex:
        """Index of the prefix caches of the groups."""
        return self._prefix_index

    @property
    def share(self) -> float:
        """Fraction of the slots of every group that this gateway owns, 0 to 1."""
        return self._share

    def set_share(self, share: float, *, span_start: float) -> None:
        """Set the fraction of the slots of every group that this gateway owns.

        The change takes effect with the next routing table.

        Parameters
        ----------
        share : float
            Length of this gateway's span of the interval from 0 to 1, which the
            spans of all gateways tile.
        span_start : float
            Start of the span, 0 to 1.
        """
        self._share = min(max(share, 0.0), 1.0)
        self._span_start = span_start
        self._has_share = True

    def update(self, table: RoutingTable) -> None:
        """Replace the routing table.

        Ages in the table are relative to its arrival, as measured by the local
        monotonic clock. A status with a lower token than the known one is ignored.
        """
        now_s = self._clock.monotonic()
        groups: dict[GroupId, GroupTracker] = {}
        for status in table.groups:
            group = GroupId(status.group)
            groups[group] = self._update_tracker(self._groups.get(group), status, now_s)
        self._groups = groups
        self._prefix_index.keep_only(groups)
        self._usable_cache.clear()
        self._pools = {}
        for tracker in groups.values():
            self._pools.setdefault(PoolId(tracker.status.pool), []).append(tracker)
        if not self._has_share:
            self._share = 1.0 / max(table.nodes_alive, 1)
        self._set_limits()

    def candidates(self, pool: PoolId) -> tuple[GroupStatus, ...]:
        """Return the groups of `pool` to which a request may be sent now."""
        now_s = self._clock.monotonic()
        return tuple(tracker.status for tracker in self._usable_trackers(pool, now_s))

    def choose(
        self,
        pool: PoolId,
        *,
        exclude: frozenset[GroupId] = frozenset(),
        prefix: Sequence[str] = (),
        solo: bool = False,
    ) -> GroupStatus | None:
        """Choose a group for a request.

        Parameters
        ----------
        pool : PoolId
            Pool that serves the requested model.
        exclude : frozenset of GroupId
            Groups that must not be chosen, for example after a failure there.
        prefix : sequence of str
            Hashes of the prompt's blocks, in the order of the prompt.
        solo : bool
            Whether to keep the request apart from others with a strike; see
            `RunMode`. Groups that already run such a request for this gateway are
            then not chosen.

        Returns
        -------
        GroupStatus or None
            The chosen group, or None if no group is usable.
        """
        now_s = self._clock.monotonic()
        trackers = self._usable_trackers(pool, now_s)
        if exclude:
            trackers = [
                tracker for tracker in trackers if tracker.status.group not in exclude
            ]
        if solo:
            trackers = [tracker for tracker in trackers if not tracker.solo_requests]
        # Groups on which this gateway has slots left are preferred.
        trackers = [
            tracker for tracker in trackers if tracker.slots_left > 0
        ] or trackers
        local = [tracker for tracker in trackers if tracker.is_local]
        remote = [tracker for tracker in trackers if not tracker.is_local]
        default_s = self._service_time_s.get(pool, _DEFAULT_SERVICE_TIME_S)
        chosen = self._select(local, prefix, default_s, now_s)
        if remote and (chosen is None or chosen.load >= chosen.capacity):
            other = self._select(remote, prefix, default_s, now_s)
            if chosen is None or self._is_worth_leaving_zone(
                other, chosen, default_s, now_s
            ):
                chosen = other
        return None if chosen is None else chosen.status

    def is_dispatchable(self, group_id: GroupId, token: FencingToken) -> bool:
        """Return whether a request may be sent to the group now.

        Call this after the last await before sending.
        """
        tracker = self._groups.get(group_id)
        if tracker is None or tracker.status.token != token:
            return False
        return tracker.is_verified(self._clock.monotonic())

    def free_slots(self, pool: PoolId) -> int:
        """Return how many more requests this gateway may send to `pool`.

        These are the slots that this gateway owns or may borrow on the usable groups.
        A gateway with no slots and no request in flight still gets one slot if any
        group is usable.
        """
        now_s = self._clock.monotonic()
        usable = self._usable_trackers(pool, now_s)
        # A group above its limit, for example after retries, reduces the free slots
        # of the others, because its excess requests would wait in the engine.
        free = sum([tracker.slots_left for tracker in usable])
        if usable and free <= 0 and self._in_flight.get(pool, 0) == 0:
            return 1
        return max(free, 0)

    def has_spare_slots(self, pool: PoolId) -> bool:
        """Return whether any usable group has slots that no gateway uses.

        This gateway may borrow some of them with the next routing table.
        """
        now_s = self._clock.monotonic()
        return any(
            tracker.load + 1.0 <= tracker.capacity
            for tracker in self._usable_trackers(pool, now_s)
        )

    def on_dispatch(
        self, group_id: GroupId, request_id: RequestId, *, solo: bool = False
    ) -> None:
        """Record a request that was sent to the group."""
        tracker = self._groups.get(group_id)
        key = (group_id, request_id)
        if tracker is None or key in self._dispatched:
            return
        pool = PoolId(tracker.status.pool)
        self._dispatched[key] = pool
        self._in_flight[pool] = self._in_flight.get(pool, 0) + 1
        tracker.on_dispatch(request_id, now_s=self._clock.monotonic(), solo=solo)

    def on_finish(
        self,
        group_id: GroupId,
        request_id: RequestId,
        *,
        ok: bool,
        service_time_s: float | None,
    ) -> None:
        """Record the end of a request on the group.

        Parameters
        ----------
        group_id : GroupId
            Group to which the request was sent.
        request_id : RequestId
            Identifier of the request.
        ok : bool
            Whether the group did not fail; also true for a request that its caller
            cancelled.
        service_time_s : float or None
            Time that the request ran on the group, in seconds; None if it did not
            complete. Ignored unless `ok`.
        """
        pool = self._dispatched.pop((group_id, request_id), None)
        if pool is None:
            return
        self._in_flight[pool] -= 1
        if ok and service_time_s is not None:
            # Exponential moving average over the finished requests of the pool.
            old = self._service_time_s.get(pool, service_time_s)
            self._service_time_s[pool] = old + 0.05 * (service_time_s - old)
        tracker = self._groups.get(group_id)
        if tracker is not None:
            if not ok:
                self._usable_cache.clear()
            tracker.on_finish(
                request_id,
                now_s=self._clock.monotonic(),
                ok=ok,
                service_time_s=service_time_s,
            )

    def on_refused(self, group_id: GroupId, reason: str) -> None:
        """Handle a group's refusal of a request.

        A busy group is treated as full until its next report. After any other
        refusal the group is unavailable until a verification newer than the refusal.
        The caller also reports attempts that failed without a refusal here, such as
        broken streams.
        """
        tracker = self._groups.get(group_id)
        if tracker is None:
            return
        self._usable_cache.clear()
        if reason in _TEMPORARY_REFUSALS:
            tracker.mark_full()
        else:
            tracker.mark_unverified(self._clock.monotonic())

    def _usable_trackers(self, pool: PoolId, now_s: float) -> list[GroupTracker]:
        """Return the usable groups, cached until one of them may have changed."""
        valid_until_s, usable = self._usable_cache.get(pool, (-math.inf, []))
        if now_s < valid_until_s:
            return usable
        trackers = self._pools.get(pool, [])
        usable = [tracker for tracker in trackers if tracker.is_usable(now_s)]
        # The state of a breaker that is not closed changes with time, so the result
        # is cached only if all are closed.
        if usable and all(tracker.breaker.is_closed for tracker in trackers):
            valid_until_s = min(tracker.expires_at_s for tracker in usable)
            self._usable_cache[pool] = (valid_until_s, usable)
        return usable

    def _set_limits(self) -> None:
        for pool, trackers in self._pools.items():
            serving = [tracker for tracker in trackers if tracker.serving]
            slots = sum(tracker.capacity for tracker in serving)
            utilization = sum(tracker.load for tracker in serving) / max(slots, 1)
            service_time_s = self._service_time_s.get(pool, _DEFAULT_SERVICE_TIME_S)
            for tracker in trackers:
                tracker.set_pool_means(utilization, service_time_s)
                tracker.set_limit(
                    span_start=self._span_start,
                    share=self._share,
                    draw=self._random.random(),
                )

    def _update_tracker(
        self, known: GroupTracker | None, status: GroupStatus, now_s: float
    ) -> GroupTracker:
        if known is None or status.token > known.status.token:
            return GroupTracker(
                status,
                arrived_at_s=now_s,
                lease_s=self._lease_s,
                random_state=self._random,
                is_local=status.zone == self._zone,
            )
        if status.token == known.status.token:
            known.update(status, arrived_at_s=now_s)
        return known

    def _select(
        self,
        trackers: list[GroupTracker],
        prefix: Sequence[str],
        default_s: float,
        now_s: float,
    ) -> GroupTracker | None:
        """Select a group by weighted round robin and by its cached prefix.

        With each selection every candidate gains credit in proportion to its weight,
        and the one with the highest credit pays one. This distributes requests more
        evenly than independent random draws. The alternative is the candidate that
        has stored the longest part of the prompt's prefix; the better score decides.
        The group with the highest credit pays even if the alternative is selected,
        or if the caller then chooses a group of another zone.
        """
        if not trackers:
            return None
        total = sum([tracker.weight for tracker in trackers])
        best = trackers[0]
        highest_credit = -math.inf
        for tracker in trackers:
            credit = tracker.credit = tracker.credit + tracker.weight / total
            if credit > highest_credit:
                best, highest_credit = tracker, credit
        best.credit -= 1.0
        options = [best]
        if prefix:
            options.append(
                max(trackers, key=lambda tracker: self._match_length(tracker, prefix))
            )
        if len(options) == 1:
            return best
        return min(
            options, key=lambda tracker: self._score(tracker, prefix, default_s, now_s)
        )

    def _score(
        self,
        tracker: GroupTracker,
        prefix: Sequence[str],
        default_s: float,
        now_s: float,
    ) -> float:
        service_time_s = tracker.service_time_s(default_s)
        score = tracker.expected_wait_s(default_s, now_s)
        score += LOAD_COST * service_time_s * tracker.load / tracker.capacity
        if tracker.status.straggler:
            score += STRAGGLER_COST * service_time_s
        return score - prefix_saving_s(self._match_length(tracker, prefix))

    def _match_length(self, tracker: GroupTracker, prefix: Sequence[str]) -> int:
        if not prefix:
            return 0
        status = tracker.status
        return self._prefix_index.match_length(
            GroupId(status.group), FencingToken(status.token), prefix
        )

    def _is_worth_leaving_zone(
        self,
        other: GroupTracker | None,
        chosen: GroupTracker,
        default_s: float,
        now_s: float,
    ) -> bool:
        if other is None:
            return False
        return other.expected_wait_s(
            default_s, now_s
        ) + ZONE_COST_S < chosen.expected_wait_s(default_s, now_s)
