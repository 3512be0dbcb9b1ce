"""Time limits that a pause of this process does not use up."""

import asyncio
import datetime
from types import TracebackType
from typing import Self

__all__ = ["RunningTimeLimit"]

_SLICE_S = 0.05
"""Longest time in seconds that a pause of this process takes from the limit."""


class RunningTimeLimit:
    """Limit on the time of a block, used as an asynchronous context manager.

    A process that pauses finds its timers due before it has looked at its sockets. So
    the time is counted in slices, and a pause counts as one slice at most.

    Parameters
    ----------
    limit : datetime.timedelta
        Time after which the block is cancelled and `TimeoutError` raised.
    """

    def __init__(self, limit: datetime.timedelta) -> None:
        self._left_s = limit.total_seconds()
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Self:
        """Start the first slice."""
        await self._timeout.__aenter__()
        self._begin_slice()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the limit, and raise `TimeoutError` if it has cancelled the block."""
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def _begin_slice(self) -> None:
        loop = asyncio.get_running_loop()
        if self._left_s <= 0.0:
            self._timeout.reschedule(loop.time())
            return
        slice_s = min(self._left_s, _SLICE_S)
        self._left_s -= slice_s
        self._timer = loop.call_later(slice_s, self._begin_slice)
