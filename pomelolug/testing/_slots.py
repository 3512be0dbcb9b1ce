"""Slots of an engine with a queue ordered by priority."""

import asyncio
import heapq
import itertools

__all__ = ["Slots"]


class Slots:
    """Batching slots; waiting requests get them by priority, then by arrival.

    Parameters
    ----------
    capacity : int
        Requests that run at once.
    """

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrival_numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not future.done() for _, _, future in self._waiters)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; a higher `priority` goes first."""
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
        """Give the slot to the next waiting request."""
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self._free += 1
