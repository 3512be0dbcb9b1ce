"""Platform services as the nodes of a soak reach them."""

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

__all__ = ["LaggingVmDirectory", "NodeLogService"]

_DEFAULT_LAG_S = 2.0
_SERVICE_VM_COUNT = 3


class NodeLogService(LogService):
    """Log service as one node reaches it.

    Calls wait while the node is paused and fail while its zone is cut off.

    Parameters
    ----------
    log : LogService
        Log service that the calls go to.
    zone : str
        Availability zone of the node.
    clock : PausableClock
        Clock that is paused together with the node.
    zones_without_log : set of str
        Zones that cannot reach the log; the caller changes it during the run.
    """

    def __init__(
        self,
        log: LogService,
        zone: str,
        clock: PausableClock,
        zones_without_log: set[str],
    ) -> None:
        self._log = log
        self._zone = zone
        self._clock = clock
        self._zones_without_log = zones_without_log

    async def append(
        self, stream: str, data: bytes, *, timeout: datetime.timedelta
    ) -> Offset:
        """Append `data` to `stream` and return its offset."""
        await self._cross_network(timeout, is_write=False)
        offset = await self._log.append(stream, data, timeout=timeout)
        await self._cross_network(timeout, is_write=True)
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
        await self._cross_network(timeout, is_write=False)
        page = await self._log.read(
            stream, first, limit=limit, wait=wait, timeout=timeout
        )
        await self._cross_network(timeout, is_write=False)
        return page

    async def _cross_network(
        self, timeout: datetime.timedelta, *, is_write: bool
    ) -> None:
        await self._clock.wait_until_running()
        if self._zone in self._zones_without_log:
            await asyncio.sleep(timeout.total_seconds())
            raise PlatformError(
                ErrorCode.PLATFORM_UNAVAILABLE, "cut off", maybe_applied=is_write
            )


class LaggingVmDirectory(VmDirectory):
    """VM directory that serves a list up to `lag_s` seconds old.

    Parameters
    ----------
    fleet : FakeEngineFleet
        Backend servers.
    clock : Clock
        Virtual clock.
    """

    def __init__(self, fleet: FakeEngineFleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._refreshed_at_s = float("-inf")
        self._entries: tuple[VmEntry, ...] = ()
        self.lag_s = _DEFAULT_LAG_S

    async def list_vms(self, *, timeout: datetime.timedelta) -> Sequence[VmEntry]:
        """Return the list as of the last refresh."""
        now_s = self._clock.monotonic()
        if now_s - self._refreshed_at_s >= self.lag_s:
            self._refreshed_at_s = now_s
            self._entries = (*self._fleet.entries(), *_service_entries())
        return self._entries


def _service_entries() -> list[VmEntry]:
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
        for number in range(1, _SERVICE_VM_COUNT + 1)
    ]
