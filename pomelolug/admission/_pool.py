"""Queues of one pool, ordered by class priority and fair among accounts."""

import math

from pomelolug.admission._estimate import RateMeter, WaitEstimator
from pomelolug.admission._fair_queue import FairQueue, Waiter
from pomelolug.admission._request import AdmissionRequest
from pomelolug.configuration import WorkClass
from pomelolug.fairness import AccountShares
from pomelolug.ids import AccountId, RequestId, WorkClassName

__all__ = ["PoolQueue"]

# From this number on, classes without waiting requests are dropped.
_MAX_CLASSES = 256


class ClassQueue:
    """Queue of one work class with its priority and arrival rate."""

    __slots__ = ("arrivals", "priority", "fair_queue")

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.fair_queue = FairQueue()
        self.arrivals = RateMeter()


class PoolQueue:
    """Waiting requests of one pool and the slots that are held there."""

    def __init__(self) -> None:
        self.estimator = WaitEstimator()
        self.undispatched: set[RequestId] = set()
        self.accounts = AccountShares()
        self._class_queues: dict[WorkClassName, ClassQueue] = {}
        self._by_priority: list[ClassQueue] = []
        self._size = 0
        self._arrival_count = 0

    def __len__(self) -> int:
        return self._size

    def class_queue(self, work_class: WorkClass) -> ClassQueue:
        """Return the queue of a class, and update its priority if it has changed."""
        name = WorkClassName(work_class.name)
        class_queue = self._class_queues.get(name)
        if class_queue is None:
            self._drop_empty_queues()
            class_queue = self._class_queues[name] = ClassQueue(work_class.priority)
            self._sort()
        elif class_queue.priority != work_class.priority:
            class_queue.priority = work_class.priority
            self._sort()
        return class_queue

    def push(self, waiter: Waiter) -> None:
        """Append a waiter to the queue of its class."""
        self._arrival_count += 1
        waiter.arrival_number = self._arrival_count
        self.class_queue(waiter.request.work_class).fair_queue.push(waiter)
        self._size += 1

    def pop(self, *, free: int, now_s: float) -> Waiter | None:
        """Remove and return the next waiter, or None if none may get a slot.

        Parameters
        ----------
        free : int
            Number of free slots.
        now_s : float
            Monotonic time in seconds.
        """

        def is_eligible(account: AccountId) -> bool:
            return free > self.accounts.reserved_slots(account, free=free, now_s=now_s)

        best: Waiter | None = None
        best_queue: ClassQueue | None = None
        for class_queue in self._by_priority:
            if best_queue is not None and class_queue.priority < best_queue.priority:
                break
            waiter = (
                class_queue.fair_queue.peek(is_eligible)
                if class_queue.fair_queue
                else None
            )
            # Classes of equal priority are served in order of arrival, so that none of
            # them starves.
            if waiter and (best is None or waiter.arrival_number < best.arrival_number):
                best, best_queue = waiter, class_queue
        if best is not None and best_queue is not None:
            self._size -= 1
            best_queue.fair_queue.dequeue(best)
        return best

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gets no slot."""
        self._class_queues[
            WorkClassName(waiter.request.work_class.name)
        ].fair_queue.remove(waiter)
        self._size -= 1

    def expected_wait_s(self, request: AdmissionRequest, now_s: float) -> float:
        """Return the expected wait of `request` in seconds if it arrived now."""
        class_queue = self.class_queue(request.work_class)
        ahead = class_queue.fair_queue.count_ahead(request)
        taken_rate = 0.0
        for other in self._by_priority:
            if other.priority > class_queue.priority:
                ahead += len(other.fair_queue)
                taken_rate += other.arrivals.rate(now_s)
            elif other is not class_queue and other.priority == class_queue.priority:
                ahead += len(other.fair_queue)
        return self.estimator.expected_wait_s(
            ahead=ahead, now_s=now_s, taken_rate=taken_rate
        )

    def find_late(self, now_s: float) -> list[Waiter]:
        """Return the waiters that will almost certainly start too late.

        The number of slots that become free in the remaining time is modelled as
        Poisson. A waiter is late if the number of waiters ahead of it exceeds the mean
        by more than two standard deviations.

        A class of equal priority counts like one of higher priority if it is earlier
        in the sorted order: its waiters count as ahead, and its arrival rate is
        subtracted. `expected_wait_s` subtracts no rate for equal priority.
        """
        late: list[Waiter] = []
        ahead = 0
        taken_rate = 0.0
        for class_queue in self._by_priority:
            for waiter in class_queue.fair_queue.in_start_order():
                left_s = waiter.start_by_s - now_s
                slots = self.estimator.slots_within(
                    left_s, now_s, taken_rate=taken_rate
                )
                if left_s <= 0 or ahead > slots + 2.0 * math.sqrt(slots):
                    late.append(waiter)
                else:
                    ahead += 1
            taken_rate += class_queue.arrivals.rate(now_s)
        return late

    def _sort(self) -> None:
        self._by_priority = sorted(
            self._class_queues.values(), key=lambda class_queue: -class_queue.priority
        )

    def _drop_empty_queues(self) -> None:
        if len(self._class_queues) < _MAX_CLASSES:
            return
        self._class_queues = {
            name: class_queue
            for name, class_queue in self._class_queues.items()
            if class_queue.fair_queue
        }
        self._sort()
