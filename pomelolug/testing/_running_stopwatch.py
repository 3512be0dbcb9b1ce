"""Times of requests without waits for a processor of the process that serves them."""

import asyncio
import pathlib
from collections.abc import Callable
from types import TracebackType
from typing import Self

__all__ = ["RunningStopwatch"]

_TICK_S = 0.05
_LONGEST_TICK_S = 0.1
"""Length of a tick in seconds from which on waits for a processor do not count."""
_SCHEDULER_STATISTICS = pathlib.Path("/proc/thread-self/schedstat")
"""Nanoseconds that this thread has run and waited for a processor, and its turns."""
_NS_PER_S = 1e9


def processor_wait_s() -> float:
    """Return for how many seconds this thread has been ready and not been run."""
    return int(_SCHEDULER_STATISTICS.read_text().split()[1]) / _NS_PER_S


class RunningStopwatch:
    """Measures the time of a block, used as a context manager in an event loop.

    Nodes and servers in the event loop of a test stand still when it waits for a
    processor, so that a long wait says nothing about how long they take. All other time
    counts, also that in which one of them blocks the event loop.

    Parameters
    ----------
    read_wait_s : callable
        Returns for how many seconds the thread of the event loop has waited for a
        processor so far.
    """

    def __init__(self, *, read_wait_s: Callable[[], float] = processor_wait_s) -> None:
        self._read_wait_s = read_wait_s
        self._waited_s = 0.0
        self._counted_s = 0.0
        self._counted_until_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Start to measure."""
        loop = asyncio.get_running_loop()
        self._counted_until_s = loop.time()
        self._waited_s = self._read_wait_s()
        self._timer = loop.call_later(_TICK_S, self._tick)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop to measure."""
        self._count()
        if self._timer is not None:
            self._timer.cancel()

    @property
    def elapsed_s(self) -> float:
        """Time of the block in seconds, known at its end."""
        return self._counted_s

    def _tick(self) -> None:
        self._count()
        self._timer = asyncio.get_running_loop().call_later(_TICK_S, self._tick)

    def _count(self) -> None:
        now_s = asyncio.get_running_loop().time()
        tick_s = now_s - self._counted_until_s
        waited_s = self._read_wait_s()
        if tick_s >= _LONGEST_TICK_S:
            tick_s = max(tick_s - (waited_s - self._waited_s), _TICK_S)
        self._counted_s += tick_s
        self._counted_until_s = now_s
        self._waited_s = waited_s
