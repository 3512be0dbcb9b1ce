"""Subscribers and waiting tasks of a reader."""

import asyncio
import datetime
from collections.abc import Callable

import structlog

__all__ = ["Observers"]

_logger = structlog.get_logger(__name__)


class Observers:
    """Notifies subscribers and tasks that wait for a condition."""

    def __init__(self) -> None:
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._next_id = 0
        self._waiters: dict[asyncio.Future[None], None] = {}

    def subscribe(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Add `callback` and return a function that removes it."""
        callback_id = self._next_id
        self._next_id += 1
        self._callbacks[callback_id] = callback

        def unsubscribe() -> None:
            self._callbacks.pop(callback_id, None)

        return unsubscribe

    def notify(self) -> None:
        """Call the subscribers and wake waiting tasks to recheck conditions."""
        for waiter in tuple(self._waiters):
            if not waiter.done():
                waiter.set_result(None)
        for callback in tuple(self._callbacks.values()):
            try:
                callback()
            except Exception:
                # An exception of one subscriber must not stop the reader.
                _logger.exception("subscriber_failed")

    async def wait_until(
        self, condition: Callable[[], bool], timeout: datetime.timedelta
    ) -> None:
        """Wait until `condition` returns true; it is rechecked on notification.

        Raises
        ------
        TimeoutError
            If the condition is not met within `timeout`.
        """
        async with asyncio.timeout(timeout.total_seconds()):
            while not condition():
                waiter = asyncio.get_running_loop().create_future()
                self._waiters[waiter] = None
                try:
                    await waiter
                finally:
                    self._waiters.pop(waiter, None)
