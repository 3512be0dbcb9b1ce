"""Queues of one pool: classes by priority, fair among accounts in each."""

import math

from pomelolug.admission._accounts import AccountShares
from pomelolug.admission._estimate import RateMeter, WaitEstimator
from pomelolug.admission._fair import FairQueue, Waiter
from pomelolug.admission._request import AdmissionRequest
from pomelolug.configuration import WorkClass
from pomelolug.ids import AccountId, RequestId, WorkClassName

__all__ = ["PoolQueue"]

_MOST_CLASSES = 256


class ClassLine:
    """Queue of one class, its priority and its rate of arrivals."""

    __slots__ = ("arrivals", "priority", "queue")

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.queue = FairQueue()
        self.arrivals = RateMeter()


class PoolQueue:
    """Waiting requests of one pool and the slots that it holds."""

    def __init__(self) -> None:
        self.estimator = WaitEstimator()
        self.undispatched: set[RequestId] = set()
        self.accounts = AccountShares()
        self._lines: dict[WorkClassName, ClassLine] = {}
        self._by_priority: list[ClassLine] = []
        self._size = 0
        self._pushed = 0

    def __len__(self) -> int:
        return self._size

    def line(self, work_class: WorkClass) -> ClassLine:
        """Return the line of a class; a changed priority takes effect."""
        name = WorkClassName(work_class.name)
        line = self._lines.get(name)
        if line is None:
            self._forget_unused()
            line = self._lines[name] = ClassLine(work_class.priority)
            self._sort()
        elif line.priority != work_class.priority:
            line.priority = work_class.priority
            self._sort()
        return line

    def push(self, waiter: Waiter) -> None:
        """Append a waiter to the line of its class."""
        self._pushed += 1
        waiter.number = self._pushed
        self.line(waiter.request.work_class).queue.push(waiter)
        self._size += 1

    def pop(self, *, free: int, now: float) -> Waiter | None:
        """Remove and return the waiter that goes next, None if none may go.

        Parameters
        ----------
        free : int
            Free slots.
        now : float
            Monotonic time.
        """

        def may_go(account: AccountId) -> bool:
            return free > self.accounts.reserve(account, free=free, now=now)

        best: Waiter | None = None
        best_line: ClassLine | None = None
        for line in self._by_priority:
            if best_line is not None and line.priority < best_line.priority:
                break
            waiter = line.queue.first(may_go) if line.queue else None
            # Classes of equal priority go by arrival, so that none starves.
            if waiter and (best is None or waiter.number < best.number):
                best, best_line = waiter, line
        if best is not None and best_line is not None:
            self._size -= 1
            best_line.queue.take(best)
        return best

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gets no slot."""
        self._lines[WorkClassName(waiter.request.work_class.name)].queue.remove(waiter)
        self._size -= 1

    def wait(self, request: AdmissionRequest, now: float) -> float:
        """Return the expected wait of `request` in seconds if it came now."""
        line = self.line(request.work_class)
        ahead = line.queue.ahead(request)
        taken = 0.0
        for other in self._by_priority:
            if other.priority > line.priority:
                ahead += len(other.queue)
                taken += other.arrivals.rate(now)
            elif other is not line and other.priority == line.priority:
                ahead += len(other.queue)
        return self.estimator.wait(ahead=ahead, now=now, taken_rate=taken)

    def late(self, now: float) -> list[Waiter]:
        """Return the waiters that almost certainly start too late.

        The slots that come free in the time left are taken as Poisson; a waiter
        is late if its place exceeds their mean by more than two deviations.
        """
        late: list[Waiter] = []
        ahead = 0
        taken = 0.0
        for line in self._by_priority:
            for waiter in line.queue.in_order():
                left_s = waiter.start_by - now
                slots = self.estimator.slots_within(left_s, now, taken_rate=taken)
                if left_s <= 0 or ahead > slots + 2.0 * math.sqrt(slots):
                    late.append(waiter)
                else:
                    ahead += 1
            taken += line.arrivals.rate(now)
        return late

    def _sort(self) -> None:
        self._by_priority = sorted(
            self._lines.values(), key=lambda line: -line.priority
        )

    def _forget_unused(self) -> None:
        if len(self._lines) < _MOST_CLASSES:
            return
        self._lines = {name: line for name, line in self._lines.items() if line.queue}
        self._sort()
