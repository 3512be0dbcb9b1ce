"""Clock of the running process."""

import asyncio
import datetime

from pomelolug.clock._base import Clock

__all__ = ["SystemClock"]


class SystemClock(Clock):
    """Clock that follows the event loop and the VM's wall time.

    The monotonic reading is the event loop's, so that code under a loop with
    virtual time sees virtual time.
    """

    def monotonic(self) -> float:
        """Return the running event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait for `duration` on the event loop."""
        await asyncio.sleep(duration.total_seconds())
