"""Discrete-event simulation of model groups with execution slots."""

import datetime
import heapq
import itertools
import math
from collections.abc import Callable, Sequence

from pomelolug.clock import Clock
from pomelolug.messages import GroupStatus

__all__ = ["SimulatedGroup", "Simulation", "Task", "quantile"]

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class Simulation(Clock):
    """Event queue that is also the clock of the measured code."""

    def __init__(self) -> None:
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def now(self) -> datetime.datetime:
        """Return a fixed start date plus the virtual time."""
        return _EPOCH + datetime.timedelta(seconds=self._now)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Raise an error: the simulation runs only callbacks.

        Raises
        ------
        RuntimeError
            Always.
        """
        raise RuntimeError("the simulation runs only callbacks and cannot sleep")

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` after `delay_s` seconds of virtual time."""
        entry = (self._now + max(delay_s, 0.0), next(self._sequence), callback)
        heapq.heappush(self._events, entry)

    def call_every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Run `callback` now and every `period_s` seconds from then on."""

        def run_and_reschedule() -> None:
            callback()
            self.call_later(period_s, run_and_reschedule)

        run_and_reschedule()

    def run(self, until_s: float) -> None:
        """Run all events up to the virtual time `until_s`."""
        while self._events and self._events[0][0] <= until_s:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        self._now = until_s


class Task:
    """One execution of a request on a group.

    Parameters
    ----------
    service_s : float
        Time that the task occupies a slot.
    fails : bool
        Whether the connection is lost after half of the service time.
    on_start, on_end : callable
        Called when the task gets a slot, and when it ends, with True if it
        completed.
    priority : int
        Tasks with a higher priority get a slot first.
    """

    __slots__ = (
        "is_finished",
        "fails",
        "on_end",
        "on_start",
        "priority",
        "running",
        "service_s",
    )

    def __init__(
        self,
        *,
        service_s: float,
        fails: bool,
        on_start: Callable[[], None],
        on_end: Callable[[bool], None],
        priority: int = 0,
    ) -> None:
        self.service_s = service_s
        self.fails = fails
        self.on_start = on_start
        self.on_end = on_end
        self.priority = priority
        self.running = False
        self.is_finished = False


class SimulatedGroup:
    """A group with a fixed number of slots and a priority queue for them."""

    def __init__(
        self,
        simulation: Simulation,
        *,
        name: str,
        zone: str,
        capacity: int,
        slowdown: float = 1.0,
    ) -> None:
        self.name = name
        self._slowdown = slowdown
        self.zone = zone
        self.capacity = capacity
        self.running = 0
        self.started_count = 0
        self._simulation = simulation
        self._queue: list[tuple[int, int, Task]] = []
        self._sequence = itertools.count()
        self._waiting_count = 0

    @property
    def load(self) -> int:
        """Number of running and waiting tasks."""
        return self.running + self._waiting_count

    def status(self, *, pool: str, load: int, age_s: float) -> GroupStatus:
        """Return a status whose load was measured `age_s` seconds ago."""
        return GroupStatus(
            group=self.name,
            pool=pool,
            model="model",
            zone=self.zone,
            domain=self.name,
            token=1,
            phase="serving",
            leader="",
            members=(),
            verified_age_s=age_s,
            capacity=self.capacity,
            load=load,
            load_age_s=age_s,
        )

    def submit(self, task: Task) -> None:
        """Start a task, or queue it if no slot is free."""
        if self.running < self.capacity:
            self._start(task)
        else:
            entry = (-task.priority, next(self._sequence), task)
            heapq.heappush(self._queue, entry)
            self._waiting_count += 1

    def cancel(self, task: Task) -> None:
        """End a task without calling `on_end`; its slot is free at once."""
        if task.is_finished:
            return
        task.is_finished = True
        if task.running:
            self._release_slot()
        else:
            self._waiting_count -= 1

    def _start(self, task: Task) -> None:
        self.running += 1
        self.started_count += 1
        task.running = True
        task.on_start()
        busy_s = task.service_s * self._slowdown
        if task.fails:
            busy_s /= 2
        self._simulation.call_later(busy_s, lambda: self._finish(task))

    def _finish(self, task: Task) -> None:
        if task.is_finished:
            return
        task.is_finished = True
        self._release_slot()
        task.on_end(not task.fails)

    def _release_slot(self) -> None:
        self.running -= 1
        while self._queue and self.running < self.capacity:
            _, _, task = heapq.heappop(self._queue)
            if not task.is_finished:
                self._waiting_count -= 1
                self._start(task)


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the `fraction` quantile of `values` by nearest rank, nan if empty."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(math.ceil(fraction * len(ordered)), len(ordered)) - 1]
