"""The platform as the nodes of a soak reach it."""

import asyncio
import datetime
from collections.abc import Sequence

from pomelolug.clock import Clock
from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import DomainId, Offset, RegionId, VmId, ZoneId
from pomelolug.infrastructure import (
    LogPage,
    LogService,
    VmDirectory,
    VmEntry,
    VmRole,
)
from pomelolug.membership._memory_network import PausableClock
from pomelolug.testing import FakeEngineFleet

__all__ = ["SoakDirectory", "ZonedLog"]

_LAG_S = 2.0
_SERVICE_VMS = 3


class ZonedLog(LogService):
    """The log as one node reaches it.

    Parameters
    ----------
    log : LogService
        The log.
    zone : str
        Availability zone of the node.
    clock : PausableClock
        Clock of the node's processes.
    cut : set of str
        Zones that cannot reach the log; changes while the soak runs.
    """

    def __init__(
        self, log: LogService, zone: str, clock: PausableClock, cut: set[str]
    ) -> None:
        self._log = log
        self._zone = zone
        self._clock = clock
        self._cut = cut

    async def append(
        self, stream: str, data: bytes, *, timeout: datetime.timedelta
    ) -> Offset:
        """Append `data` to `stream` and return its offset."""
        await self._travel(timeout, writes=False)
        offset = await self._log.append(stream, data, timeout=timeout)
        await self._travel(timeout, writes=True)
        return offset

    async def read(
        self,
        stream: str,
        first: Offset,
        *,
        limit: int,
        wait: datetime.timedelta,
        timeout: datetime.timedelta,
    ) -> LogPage:
        """Return up to `limit` records from `first` on."""
        await self._travel(timeout, writes=False)
        page = await self._log.read(
            stream, first, limit=limit, wait=wait, timeout=timeout
        )
        await self._travel(timeout, writes=False)
        return page

    async def _travel(self, timeout: datetime.timedelta, *, writes: bool) -> None:
        await self._clock.wait_until_running()
        if self._zone in self._cut:
            await asyncio.sleep(timeout.total_seconds())
            raise PlatformError(
                ErrorCode.PLATFORM_UNAVAILABLE, "cut off", maybe_applied=writes
            )


class SoakDirectory(VmDirectory):
    """VM list that shows leaving and lost VMs with a lag.

    Parameters
    ----------
    fleet : FakeEngineFleet
        Backend servers.
    clock : Clock
        Virtual time.
    """

    def __init__(self, fleet: FakeEngineFleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._taken_at = float("-inf")
        self._seen: tuple[VmEntry, ...] = ()
        self.lag_s = _LAG_S

    async def list_vms(self, *, timeout: datetime.timedelta) -> Sequence[VmEntry]:
        """Return the list as it was at the last refresh."""
        now = self._clock.monotonic()
        if now - self._taken_at >= self.lag_s:
            self._taken_at = now
            self._seen = (*self._fleet.entries(), *_services())
        return self._seen


def _services() -> list[VmEntry]:
    return [
        VmEntry(
            vm=VmId(f"service{number}"),
            role=VmRole.SERVICE,
            address=f"service{number}:80",
            zone=ZoneId(f"z{number}"),
            region=RegionId("r1"),
            domain=DomainId(""),
            leaving=False,
            service="jobs",
        )
        for number in range(1, _SERVICE_VMS + 1)
    ]
