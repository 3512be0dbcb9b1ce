"""Times of requests without the pauses of the process that sends and serves them."""

import asyncio
from types import TracebackType
from typing import Self

__all__ = ["RunningStopwatch"]

_TICK_S = 0.05
_LONGEST_TICK_S = 0.1
"""Length of a tick in seconds from which on the process has paused; it counts once."""


class RunningStopwatch:
    """Measures the time of a block, used as a context manager in an event loop.

    Nodes and servers in the event loop of a test stand still when it does, so that a
    pause says nothing about how long they take. Without pauses the whole time counts.
    """

    def __init__(self) -> None:
        self._counted_s = 0.0
        self._counted_until_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Start to measure."""
        loop = asyncio.get_running_loop()
        self._counted_until_s = loop.time()
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
        self._counted_s += tick_s if tick_s < _LONGEST_TICK_S else _TICK_S
        self._counted_until_s = now_s
