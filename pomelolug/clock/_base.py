"""Abstract base class of clocks."""

import abc
import datetime

__all__ = ["Clock"]


class Clock(abc.ABC):
    """Source of monotonic time, wall time and delays."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; the value never decreases."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Suspend the calling task for `duration`."""
