"""Weighted fair queueing among the accounts of one work class.

References
----------
Goyal, Vin and Cheng, "Start-time fair queueing: a scheduling algorithm for
integrated services packet switching networks", SIGCOMM 1996.
"""

import collections
import enum
import math
from collections.abc import Callable, Iterator

from pomelolug.admission._request import AdmissionRequest
from pomelolug.errors import RequestError
from pomelolug.ids import AccountId

__all__ = ["FairQueue", "Waiter", "WaiterState"]

_MIN_WEIGHT = 1e-6
_MAX_FINISH_TAGS = 4096


class WaiterState(enum.Enum):
    """State of a request in a queue."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class Waiter:
    """A request waiting in a queue.

    Parameters
    ----------
    request : AdmissionRequest
        The waiting request.
    arrived_at_s : float
        Monotonic time at which the request arrived, in seconds.
    start_by_s : float
        Monotonic time, in seconds, by which the request has to start to be useful.
    on_settled : callable
        Called with None if a slot is granted, otherwise with the error. The
        callback of `AdmissionQueue.submit` gets the permit in place of None.

    Attributes
    ----------
    arrival_number : int
        Sequence number of the arrival at the pool.
    """

    __slots__ = (
        "arrived_at_s",
        "finish_tag",
        "arrival_number",
        "on_settled",
        "request",
        "start_by_s",
        "start_tag",
        "state",
    )

    def __init__(
        self,
        request: AdmissionRequest,
        *,
        arrived_at_s: float,
        start_by_s: float,
        on_settled: Callable[[RequestError | None], None],
    ) -> None:
        self.request = request
        self.arrived_at_s = arrived_at_s
        self.start_by_s = start_by_s
        self.on_settled = on_settled
        self.state = WaiterState.WAITING
        self.arrival_number = 0
        self.start_tag = 0.0
        self.finish_tag = 0.0


class FairQueue:
    """Waiting requests of one work class, in start-time fair queueing order."""

    def __init__(self) -> None:
        self._queues: dict[AccountId, collections.deque[Waiter]] = {}
        self._finish_tags: dict[AccountId, float] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        for queue in list(self._queues.values()):
            yield from list(queue)

    def backlog(self, account: AccountId) -> int:
        """Return the number of waiting requests of `account`."""
        queue = self._queues.get(account)
        return len(queue) if queue else 0

    def charge(self, request: AdmissionRequest) -> None:
        """Charge an account for a request that got a slot without waiting."""
        start, finish = self._compute_tags(request)
        self._virtual_time = max(self._virtual_time, start)
        self._set_finish_tag(request.account, finish)

    def push(self, waiter: Waiter) -> None:
        """Append a waiter to the queue of its account."""
        account = waiter.request.account
        waiter.start_tag, waiter.finish_tag = self._compute_tags(waiter.request)
        self._set_finish_tag(account, waiter.finish_tag)
        self._queues.setdefault(account, collections.deque()).append(waiter)
        self._size += 1

    def peek(self, is_eligible: Callable[[AccountId], bool]) -> Waiter | None:
        """Return the next waiter among eligible accounts, without removing it."""
        best: Waiter | None = None
        for account, queue in self._queues.items():
            if best is None or queue[0].start_tag < best.start_tag:
                best = queue[0] if is_eligible(account) else best
        return best

    def dequeue(self, waiter: Waiter) -> None:
        """Remove the first waiter of an account, which gets a slot."""
        self._virtual_time = max(self._virtual_time, waiter.start_tag)
        self._drop_first(waiter.request.account)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter and move up the tags of its account's later waiters."""
        account = waiter.request.account
        queue = self._queues[account]
        if queue[0] is waiter:
            self._drop_first(account)
        else:
            queue.remove(waiter)
            self._size -= 1
        self._reassign_tags(account, waiter.start_tag)

    def count_ahead(self, request: AdmissionRequest) -> float:
        """Return how many waiters would precede `request` if it arrived now."""
        start, _ = self._compute_tags(request)
        return sum(
            _count_before(queue, start)
            for account, queue in self._queues.items()
            if account != request.account
        ) + float(self.backlog(request.account))

    def in_start_order(self) -> list[Waiter]:
        """Return the waiters in the order in which they would get slots."""
        return sorted(self, key=lambda waiter: waiter.start_tag)

    def eviction_candidate(self) -> Waiter | None:
        """Return the last waiter of the account with the largest weighted backlog."""
        if not self._queues:
            return None
        queue = max(self._queues.values(), key=_weighted_backlog)
        return queue[-1]

    def weighted_backlog(self, request: AdmissionRequest) -> float:
        """Return the weighted backlog of the account including `request`."""
        return (self.backlog(request.account) + 1) / _weight(request)

    def _compute_tags(self, request: AdmissionRequest) -> tuple[float, float]:
        last = self._finish_tags.get(request.account, 0.0)
        start = max(self._virtual_time, last)
        return start, start + max(request.cost, 0.0) / _weight(request)

    def _set_finish_tag(self, account: AccountId, tag: float) -> None:
        self._finish_tags[account] = tag
        if len(self._finish_tags) > _MAX_FINISH_TAGS:
            self._finish_tags = {
                name: value
                for name, value in self._finish_tags.items()
                if value > self._virtual_time or name in self._queues
            }

    def _drop_first(self, account: AccountId) -> None:
        queue = self._queues[account]
        queue.popleft()
        self._size -= 1
        if not queue:
            del self._queues[account]

    def _reassign_tags(self, account: AccountId, start: float) -> None:
        """Recompute the tags of the waiters after a removed one that had `start`."""
        tag = start
        for waiter in self._queues.get(account, ()):
            if waiter.start_tag < start:
                continue
            waiter.start_tag = tag
            tag += max(waiter.request.cost, 0.0) / _weight(waiter.request)
            waiter.finish_tag = tag
        self._finish_tags[account] = tag


def _weight(request: AdmissionRequest) -> float:
    """Return the weight of the account, bounded below to avoid division by zero."""
    return max(request.weight, _MIN_WEIGHT)


def _weighted_backlog(queue: collections.deque[Waiter]) -> float:
    """Return the length of a queue divided by the weight of its account."""
    return len(queue) / _weight(queue[-1].request)


def _count_before(queue: collections.deque[Waiter], start: float) -> int:
    """Estimate how many waiters of a queue have a start tag below `start`.

    The tags of a queue increase approximately linearly, so the count is interpolated
    between the first and the last one.
    """
    first, last = queue[0].start_tag, queue[-1].finish_tag
    if start < first:
        return 0
    if last <= first or not math.isfinite(last):
        return len(queue)
    return min(len(queue), math.ceil(len(queue) * (start - first) / (last - first)))
