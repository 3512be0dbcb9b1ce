"""Clock of a running process."""

import asyncio
import datetime

from pomelolug.clock._base import Clock

__all__ = ["SystemClock"]


class SystemClock(Clock):
    """Clock based on the event loop and the system's wall clock.

    The monotonic time is that of the running event loop, so that code on a loop
    with virtual time sees virtual time.
    """

    def monotonic(self) -> float:
        """Return the time of the running event loop in seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration`."""
        await asyncio.sleep(duration.total_seconds())
