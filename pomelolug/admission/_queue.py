"""Admission queue of a gateway."""

import asyncio
import datetime
import random
from collections.abc import Callable

from pomelolug.admission._fair_queue import Waiter, WaiterState
from pomelolug.admission._pool import PoolQueue
from pomelolug.admission._request import AdmissionRequest
from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, RequestError

__all__ = ["AdmissionQueue", "Permit", "Ticket"]

_SWEEP_INTERVAL_S = 0.05
# Slots that no gateway uses can be borrowed with the next routing table, so the
# expected wait is at most this long if there are any.
_MAX_SPARE_WAIT_S = 0.25
# Fractions of the class's target for the time to first token. A request is queued if
# its expected wait is below the first one, and may wait up to the second one, since
# individual waits vary. The rest is left for dispatch and the prefill of the prompt.
_EXPECTED_WAIT_FRACTION = 0.5
_MAX_WAIT_FRACTION = 0.7
# A longer queue would not keep more slots busy, and after an overload its backlog would
# delay requests and cause refusals for many seconds.
_MAX_EXPECTED_WAIT_S = 2.0
_MIN_RETRY_AFTER_S = 1.0
# A longer delay would shift the load of an overload into the time after it.
_MAX_RETRY_AFTER_S = 1.5
_HTTP_TOO_MANY_REQUESTS = 429
_HTTP_SERVICE_UNAVAILABLE = 503


class Permit:
    """Permission to use one slot, to be released when the request has ended.

    A permit reduces the free slots until `mark_dispatched` is called. After that, the
    request is counted as in flight by the component that provides the free slots.
    """

    __slots__ = (
        "_granted_at_s",
        "_admission_queue",
        "_released",
        "_request",
        "_waited_s",
    )

    def __init__(
        self,
        admission_queue: "AdmissionQueue",
        request: AdmissionRequest,
        *,
        granted_at_s: float,
        waited_s: float,
    ) -> None:
        self._admission_queue = admission_queue
        self._request = request
        self._granted_at_s = granted_at_s
        self._waited_s = waited_s
        self._released = False

    @property
    def request(self) -> AdmissionRequest:
        """The admitted request."""
        return self._request

    @property
    def waited(self) -> datetime.timedelta:
        """Time that the request waited for its slot."""
        return datetime.timedelta(seconds=self._waited_s)

    @property
    def granted_at_s(self) -> float:
        """Monotonic time at which the slot was granted, in seconds."""
        return self._granted_at_s

    def mark_dispatched(self) -> None:
        """Record that the request is counted as in flight; may be repeated."""
        if not self._released:
            self._admission_queue._on_dispatched(self._request)

    def release(self) -> None:
        """Release the slot; only the first call has an effect."""
        if not self._released:
            self._released = True
            self._admission_queue._on_release(self)


class Ticket:
    """Handle of a submitted request.

    `permit` is None while the request waits.
    """

    __slots__ = ("permit", "waiter")

    def __init__(self) -> None:
        self.permit: Permit | None = None
        self.waiter: Waiter | None = None


class AdmissionQueue:
    """Grants slots to requests, queues them, or refuses them immediately.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    free_slots : callable
        Returns the number of free slots of a pool, from which dispatched requests
        are already subtracted and undispatched permits are not.
    random_state : random.Random
        Source of the jitter of ``Retry-After`` delays.
    enforce_ttft_target : bool
        Whether the wait is bounded by the class's target for the time to first token,
        in addition to the deadline.
    call_later : callable, optional
        Runs a function after a delay in seconds, by default on the event loop.
    has_spare_slots : callable, optional
        Returns whether the groups of a pool have slots that no gateway uses, which
        this gateway may borrow with the next routing table.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        free_slots: Callable[[str], int],
        random_state: random.Random,
        enforce_ttft_target: bool = True,
        call_later: Callable[[float, Callable[[], None]], object] | None = None,
        has_spare_slots: Callable[[str], bool] = lambda pool: False,
    ) -> None:
        self._clock = clock
        self._free_slots = free_slots
        self._has_spare_slots = has_spare_slots
        self._random = random_state
        self._enforce_ttft_target = enforce_ttft_target
        self._call_later = call_later or _call_later_on_loop
        self._pool_queues: dict[str, PoolQueue] = {}
        self._sweep_due = False

    def waiting(self, pool: str) -> int:
        """Return the number of requests waiting for `pool`."""
        pool_queue = self._pool_queues.get(pool)
        return 0 if pool_queue is None else len(pool_queue)

    def held(self, pool: str) -> int:
        """Return the number of permits for `pool` that have not been released."""
        pool_queue = self._pool_queues.get(pool)
        return 0 if pool_queue is None else pool_queue.estimator.held

    async def admit(self, request: AdmissionRequest) -> Permit:
        """Wait for a slot.

        Raises
        ------
        RequestError
            With the code ``QUEUE_FULL``, ``DEADLINE_UNMEETABLE``,
            ``ACCOUNT_LIMIT`` or ``DEADLINE_EXCEEDED``; the request has not run.
        """
        loop = asyncio.get_running_loop()
        settled: asyncio.Future[Permit] = loop.create_future()

        def on_settled(result: Permit | RequestError) -> None:
            if settled.done():
                if isinstance(result, Permit):
                    result.release()
            elif isinstance(result, Permit):
                settled.set_result(result)
            else:
                settled.set_exception(result)

        ticket = self.submit(request, on_settled)
        if ticket.permit is not None:
            return ticket.permit
        try:
            return await settled
        except asyncio.CancelledError:
            self.cancel(ticket)
            raise

    def submit(
        self,
        request: AdmissionRequest,
        on_settled: Callable[[Permit | RequestError], None],
    ) -> Ticket:
        """Grant a slot, queue the request, or refuse it.

        Parameters
        ----------
        request : AdmissionRequest
            The request to admit.
        on_settled : callable
            Called later with the permit or the error, but only if the request waits.

        Returns
        -------
        Ticket
            Ticket with a permit, or without one if the request waits.

        Raises
        ------
        RequestError
            If the request is refused; see `admit`.
        """
        now_s = self._clock.monotonic()
        pool_queue = self._pool_queue(request.pool)
        self._check_account_limit(pool_queue, request)
        pool_queue.accounts.on_request(
            request.account, weight=request.weight, now_s=now_s
        )
        self._grant_free_slots(pool_queue, request.pool)
        ticket = Ticket()
        class_queue = pool_queue.class_queue(request.work_class)
        # No waiting request is eligible now: `_grant_free_slots` would have granted it.
        free = self._count_free_slots(pool_queue, request.pool)
        if free > pool_queue.accounts.reserved_slots(
            request.account, free=free, now_s=now_s
        ):
            if request.deadline_s <= 0:
                raise self._refusal_error(ErrorCode.DEADLINE_EXCEEDED, 0.0)
            class_queue.fair_queue.charge(request)
            class_queue.arrivals.count(now_s)
            ticket.permit = self._grant(pool_queue, request, waited_s=0.0)
            return ticket
        start_by_s = now_s + self._check_deadline(pool_queue, request, now_s)
        self._make_room(pool_queue, request)
        class_queue.arrivals.count(now_s)

        def settle(error: RequestError | None) -> None:
            if error is not None:
                on_settled(error)
                return
            waited_s = self._clock.monotonic() - now_s
            ticket.permit = self._grant(pool_queue, request, waited_s=waited_s)
            on_settled(ticket.permit)

        ticket.waiter = Waiter(
            request, arrived_at_s=now_s, start_by_s=start_by_s, on_settled=settle
        )
        pool_queue.push(ticket.waiter)
        self._schedule_sweep()
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Cancel a request; a slot that it already holds is released."""
        if ticket.permit is not None:
            ticket.permit.release()
        waiter = ticket.waiter
        if waiter is not None and waiter.state is WaiterState.WAITING:
            waiter.state = WaiterState.CANCELLED
            self._pool_queue(waiter.request.pool).remove(waiter)

    def notify(self) -> None:
        """Grant slots that may have become free."""
        for name, pool_queue in list(self._pool_queues.items()):
            self._grant_free_slots(pool_queue, name)

    def _pool_queue(self, name: str) -> PoolQueue:
        return self._pool_queues.setdefault(name, PoolQueue())

    def _count_free_slots(self, pool_queue: PoolQueue, name: str) -> int:
        return self._free_slots(name) - len(pool_queue.undispatched)

    def _grant_free_slots(self, pool_queue: PoolQueue, name: str) -> None:
        if len(pool_queue) == 0:
            return
        now_s = self._clock.monotonic()
        # A callback may take or release slots, so they are counted on each iteration.
        while (
            len(pool_queue) > 0
            and (free := self._count_free_slots(pool_queue, name)) > 0
        ):
            waiter = pool_queue.pop(free=free, now_s=now_s)
            if waiter is None:
                return
            if now_s > waiter.start_by_s:
                self._refuse(waiter, ErrorCode.DEADLINE_EXCEEDED, 0.0)
                continue
            waiter.state = WaiterState.GRANTED
            waiter.on_settled(None)

    def _grant(
        self, pool_queue: PoolQueue, request: AdmissionRequest, *, waited_s: float
    ) -> Permit:
        now_s = self._clock.monotonic()
        pool_queue.estimator.on_grant(now_s)
        pool_queue.undispatched.add(request.request_id)
        pool_queue.accounts.on_grant(request.account)
        return Permit(self, request, granted_at_s=now_s, waited_s=waited_s)

    def _on_dispatched(self, request: AdmissionRequest) -> None:
        self._pool_queue(request.pool).undispatched.discard(request.request_id)

    def _on_release(self, permit: Permit) -> None:
        request = permit.request
        now_s = self._clock.monotonic()
        pool_queue = self._pool_queue(request.pool)
        pool_queue.undispatched.discard(request.request_id)
        pool_queue.estimator.on_release(
            held_s=now_s - permit.granted_at_s, now_s=now_s, cost=request.cost
        )
        pool_queue.accounts.on_release(request.account)
        self._grant_free_slots(pool_queue, request.pool)

    def _check_account_limit(
        self, pool_queue: PoolQueue, request: AdmissionRequest
    ) -> None:
        if request.max_in_flight <= 0:
            return
        in_progress = pool_queue.accounts.held(request.account)
        in_progress += pool_queue.class_queue(request.work_class).fair_queue.backlog(
            request.account
        )
        if in_progress >= request.max_in_flight:
            raise self._refusal_error(ErrorCode.ACCOUNT_LIMIT, 0.0)

    def _check_deadline(
        self, pool_queue: PoolQueue, request: AdmissionRequest, now_s: float
    ) -> float:
        """Return the maximum useful wait in seconds, or refuse the request."""
        if request.deadline_s <= 0:
            raise self._refusal_error(ErrorCode.DEADLINE_EXCEEDED, 0.0)
        service_s = (pool_queue.estimator.mean_hold_per_cost_s or 0.0) * request.cost
        max_expected_wait_s = max_wait_s = request.deadline_s - service_s
        if self._enforce_ttft_target:
            target_s = request.work_class.ttft_target.total_seconds()
            max_expected_wait_s = min(
                max_expected_wait_s,
                target_s * _EXPECTED_WAIT_FRACTION,
                _MAX_EXPECTED_WAIT_S,
            )
            max_wait_s = min(max_wait_s, target_s * _MAX_WAIT_FRACTION)
        expected_wait_s = pool_queue.expected_wait_s(request, now_s)
        if self._has_spare_slots(request.pool):
            expected_wait_s = min(expected_wait_s, _MAX_SPARE_WAIT_S)
        if expected_wait_s > max_expected_wait_s:
            raise self._refusal_error(
                ErrorCode.DEADLINE_UNMEETABLE, expected_wait_s - max_expected_wait_s
            )
        return max_wait_s

    def _make_room(self, pool_queue: PoolQueue, request: AdmissionRequest) -> None:
        """Make room in a full queue, or refuse the request.

        A request may replace the last request of the account with the largest weighted
        backlog if its own account has a smaller one, so that one account cannot fill
        the queue of its class.
        """
        queue = pool_queue.class_queue(request.work_class).fair_queue
        if len(queue) < request.work_class.queue_limit:
            return
        victim = queue.eviction_candidate()
        if victim is None:
            raise self._refusal_error(ErrorCode.QUEUE_FULL, _MIN_RETRY_AFTER_S)
        has_shorter_backlog = queue.weighted_backlog(request) < queue.weighted_backlog(
            victim.request
        )
        if not has_shorter_backlog:
            raise self._refusal_error(ErrorCode.QUEUE_FULL, _MIN_RETRY_AFTER_S)
        pool_queue.remove(victim)
        self._refuse(victim, ErrorCode.ACCOUNT_LIMIT, _MIN_RETRY_AFTER_S)

    def _schedule_sweep(self) -> None:
        if not self._sweep_due:
            self._sweep_due = True
            self._call_later(_SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Refuse waiting requests that can no longer be served in time."""
        self._sweep_due = False
        now_s = self._clock.monotonic()
        for name, pool_queue in list(self._pool_queues.items()):
            self._grant_free_slots(pool_queue, name)
            has_spare_slots = self._has_spare_slots(name)
            for waiter in pool_queue.find_late(now_s):
                if has_spare_slots and waiter.start_by_s > now_s:
                    continue
                if waiter.state is WaiterState.WAITING:
                    pool_queue.remove(waiter)
                    self._refuse(waiter, _late_code(waiter.start_by_s - now_s), 0.0)
        if any(len(pool_queue) for pool_queue in self._pool_queues.values()):
            self._schedule_sweep()

    def _refuse(self, waiter: Waiter, code: ErrorCode, retry_after_s: float) -> None:
        waiter.state = WaiterState.REFUSED
        waiter.on_settled(self._refusal_error(code, retry_after_s))

    def _refusal_error(self, code: ErrorCode, retry_after_s: float) -> RequestError:
        retry_after_s = min(max(retry_after_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        retry_after_s *= self._random.uniform(1.0, 1.25)
        limited = code is ErrorCode.ACCOUNT_LIMIT
        return RequestError(
            code,
            _MESSAGES[code],
            status=_HTTP_TOO_MANY_REQUESTS if limited else _HTTP_SERVICE_UNAVAILABLE,
            retry_after=datetime.timedelta(seconds=retry_after_s),
        )


_MESSAGES = {
    ErrorCode.ACCOUNT_LIMIT: "the account has too many requests in progress",
    ErrorCode.DEADLINE_EXCEEDED: "no slot came free before the deadline",
    ErrorCode.DEADLINE_UNMEETABLE: "the expected wait exceeds the deadline",
    ErrorCode.QUEUE_FULL: "the queue of the class is full",
}


def _late_code(left_s: float) -> ErrorCode:
    """Return the error code for a late waiter with `left_s` seconds left."""
    return ErrorCode.DEADLINE_UNMEETABLE if left_s > 0 else ErrorCode.DEADLINE_EXCEEDED


def _call_later_on_loop(delay_s: float, function: Callable[[], None]) -> object:
    """Run `function` on the running event loop after `delay_s` seconds."""
    return asyncio.get_running_loop().call_later(delay_s, function)
