"""Load and availability of one group as a gateway sees them."""

import collections
import math
import random
import zlib

from pomelolug.ids import RequestId
from pomelolug.messages import GroupStatus
from pomelolug.routing._breaker import CircuitBreaker
from pomelolug.routing._score import (
    STRAGGLER_WEIGHT_FACTOR,
    expected_wait_s,
    selection_weight,
)

__all__ = ["GroupTracker"]

SERVING = "serving"

_MAX_CHANGES = 4096
_SERVICE_TIME_WEIGHT = 0.1
_MAX_LOAD_AGE_S = 60.0
_RESERVE_FRACTION = 0.05


class GroupTracker:
    """Tracks the load and availability of one group.

    The load in the group's last report is corrected by the requests that this
    gateway has sent and finished since the load was measured.

    The slots of a group are counted as follows:

    - `capacity`: all slots of the group.
    - own slots: those in this gateway's span; see `set_limit`.
    - spare slots: `capacity` less a reserve and less `load`.
    - borrowed slots: this gateway's share of the spare slots.
    - `limit`: requests that this gateway may have in flight on the group. This is the
      number of own slots or, if slots are borrowed and it is larger, the number of
      requests in flight when the limit is set plus the borrowed slots.
    - `slots_left`: `limit` less the requests in flight.
    - `free_slots` of the routing view: based on the sum of `slots_left` over the
      usable groups of a pool.

    Parameters
    ----------
    status : GroupStatus
        First report of the group.
    arrived_at_s : float
        Monotonic time at which the report arrived, in seconds.
    lease_s : float
        Age of the group's verification, in seconds, at which it expires.
    random_state : random.Random
        Source of the initial credit and of the circuit breaker's jitter.
    is_local : bool
        Whether the group is in the availability zone of the gateway.

    Attributes
    ----------
    slots_left : int
        Number of requests that this gateway may still send to the group; negative
        if it is above its limit.
    weight : float
        Rate at which the group is selected, relative to other groups.
    credit : float
        Credit of the group in the weighted round robin: selections that it is
        still due.
    """

    __slots__ = (
        "_changes",
        "_correction",
        "_expires_at_s",
        "_lease_s",
        "_measured_at_s",
        "_refused_at_s",
        "_service_time_s",
        "_pool_service_s",
        "_shift",
        "_pool_utilization",
        "breaker",
        "capacity",
        "credit",
        "in_flight",
        "is_local",
        "limit",
        "load",
        "serving",
        "slots_left",
        "solo_requests",
        "status",
        "weight",
    )

    def __init__(
        self,
        status: GroupStatus,
        *,
        arrived_at_s: float,
        lease_s: float,
        random_state: random.Random,
        is_local: bool = True,
    ) -> None:
        self.is_local = is_local
        self.breaker = CircuitBreaker(random_state=random_state)
        self.in_flight: set[RequestId] = set()
        self.solo_requests: set[RequestId] = set()
        self._changes: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_MAX_CHANGES
        )
        self._lease_s = lease_s
        self._service_time_s: float | None = None
        self._refused_at_s = -math.inf
        self._shift = zlib.crc32(status.group.encode()) / 2**32
        self.load: int = 0
        self.limit: int = 0
        self.slots_left: int = 0
        self.weight: float = 0.0
        # Random initial credits keep gateways from selecting the same groups in the
        # same order.
        self.credit: float = random_state.random()
        self._pool_utilization: float = 1.0
        self._pool_service_s: float = 1.0
        self.update(status, arrived_at_s=arrived_at_s)

    def update(self, status: GroupStatus, *, arrived_at_s: float) -> None:
        """Apply a new report that arrived at the monotonic time `arrived_at_s`."""
        verified_at_s = arrived_at_s - _age(status.verified_age_s)
        # Only a verification made after the last refusal makes the group available.
        if verified_at_s > self._refused_at_s:
            self._refused_at_s = -math.inf
        self.status = status
        self.serving = status.phase == SERVING and status.capacity > 0
        self.capacity = status.capacity
        self._expires_at_s = verified_at_s + self._lease_s
        self._measured_at_s = arrived_at_s - min(
            _age(status.load_age_s), _MAX_LOAD_AGE_S
        )
        while self._changes and self._changes[0][0] <= self._measured_at_s:
            self._changes.popleft()
        self._correction = sum(change for _, change in self._changes)
        self._set_load()

    def set_pool_means(self, utilization: float, service_time_s: float) -> None:
        """Set the utilization of the pool's slots and its mean service time."""
        self._pool_utilization = utilization
        self._pool_service_s = service_time_s

    def set_limit(self, *, span_start: float, share: float, draw: float) -> None:
        """Set how many requests this gateway may have in flight on the group.

        The group's slots are evenly spaced points on the interval from 0 to 1,
        shifted by a hash of its name; a gateway owns those from `span_start` to
        `span_start + share`. If the spans of all gateways tile the interval, every
        slot has exactly one owner, and fractions of a slot are rounded differently
        in each group. In addition, a gateway may borrow its share of the slots that
        were free in the last report, less a reserve for their owners.

        Parameters
        ----------
        span_start, share : float
            Start and length of this gateway's span, 0 to 1.
        draw : float
            Uniform random number from 0 to 1, used to round the number of borrowed
            slots.
        """
        first = math.ceil(span_start * self.capacity - self._shift)
        last = math.ceil((span_start + share) * self.capacity - self._shift)
        spare = self.capacity * (1.0 - _RESERVE_FRACTION) - self.load
        borrowed = math.floor(share * max(spare, 0.0) + draw)
        self.limit = last - first
        if borrowed > 0:
            self.limit = max(self.limit, len(self.in_flight) + borrowed)

        self._set_load()

    def is_verified(self, now_s: float) -> bool:
        """Return whether the group serves and its verification is valid at `now_s`."""
        return (
            self.serving
            and self._refused_at_s == -math.inf
            and now_s < self._expires_at_s
        )

    @property
    def expires_at_s(self) -> float:
        """Monotonic time in seconds at which the verification expires."""
        return self._expires_at_s

    def is_usable(self, now_s: float) -> bool:
        """Return whether a request may be sent to the group at `now_s`."""
        return self.is_verified(now_s) and self.breaker.can_send(now_s)

    def service_time_s(self, default_s: float) -> float:
        """Return the mean service time in seconds, or `default_s` if unknown."""
        return default_s if self._service_time_s is None else self._service_time_s

    def expected_wait_s(self, default_s: float, now_s: float) -> float:
        """Return the expected wait for a slot of the group in seconds."""
        return expected_wait_s(
            self.load,
            self.capacity,
            self.service_time_s(default_s),
            min(max(now_s - self._measured_at_s, 0.0), _MAX_LOAD_AGE_S),
        )

    def on_dispatch(self, request: RequestId, *, now_s: float, solo: bool) -> None:
        """Record a request that was sent to the group."""
        if request in self.in_flight:
            return
        self.in_flight.add(request)
        if solo:
            self.solo_requests.add(request)
        self.breaker.on_dispatch()
        self._record_change(now_s, 1)

    def on_finish(
        self,
        request: RequestId,
        *,
        now_s: float,
        ok: bool,
        service_time_s: float | None,
    ) -> None:
        """Record the end of a request on the group."""
        if request in self.in_flight:
            self.in_flight.discard(request)
            self.solo_requests.discard(request)
            self._record_change(now_s, -1)
        if not ok:
            self.breaker.on_failure(now_s)
            return
        if service_time_s is None:
            self.breaker.on_cancel()
            return
        self.breaker.on_success()
        old = self.service_time_s(service_time_s)
        self._service_time_s = old + _SERVICE_TIME_WEIGHT * (service_time_s - old)

    def mark_full(self) -> None:
        """Treat the group as fully loaded until the next report."""
        self.load = max(self.load, self.capacity)
        self._set_weight()

    def mark_unverified(self, now_s: float) -> None:
        """Make the group unavailable until a verification newer than `now_s`."""
        self._refused_at_s = now_s

    def _record_change(self, now_s: float, change: int) -> None:
        self._changes.append((now_s, change))
        self._correction += change
        self._set_load()

    def _set_load(self) -> None:
        corrected = self.status.load + self._correction
        self.load = max(corrected, len(self.in_flight), 0)
        self.slots_left = self.limit - len(self.in_flight)
        self._set_weight()

    def _set_weight(self) -> None:
        mean_load = self._pool_utilization * self.capacity
        self.weight = selection_weight(
            self.load, mean_load, self.service_time_s(self._pool_service_s)
        )
        if self.status.straggler:
            self.weight *= STRAGGLER_WEIGHT_FACTOR


def _age(reported_s: float) -> float:
    """Return a reported age, or infinity if it is not a valid duration."""
    return reported_s if 0.0 <= reported_s < math.inf else math.inf
