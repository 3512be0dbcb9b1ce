"""Clock that follows the event loop, for tests on virtual time."""

import asyncio
import datetime

from pomelolug.clock import Clock

__all__ = ["LoopClock"]

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class LoopClock(Clock):
    """Clock whose wall time also follows the event loop.

    Under a loop with virtual time, both readings are virtual.
    """

    def monotonic(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        """Return a fixed epoch plus the event loop's time."""
        return _EPOCH + datetime.timedelta(seconds=self.monotonic())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Sleep for `duration` on the event loop."""
        await asyncio.sleep(duration.total_seconds())
