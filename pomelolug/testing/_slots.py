"""Batch slots of an engine, granted by priority."""

import asyncio
import heapq
import itertools

__all__ = ["Slots"]


class Slots:
    """Batch slots; waiting requests get them by priority, then in order of arrival.

    Parameters
    ----------
    capacity : int
        Maximum number of concurrent requests.
    """

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrival_numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests waiting for a slot."""
        return sum(not future.done() for _, _, future in self._waiters)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; requests of higher `priority` go first."""
        if self._free > 0:
            self._free -= 1
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (-priority, next(self._arrival_numbers), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release a slot to the next waiting request."""
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self._free += 1
