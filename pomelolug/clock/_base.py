"""Abstract clock."""

import abc
import datetime

__all__ = ["Clock"]


class Clock(abc.ABC):
    """Source of time for every part of the system."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes backwards."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait for `duration`."""
