"""Abstract interfaces of the log service, VM list and weight store."""

import abc
import dataclasses
import datetime
import enum
from collections.abc import Mapping, Sequence

from pomelolug.ids import DomainId, ModelName, Offset, RegionId, VmId, ZoneId

__all__ = [
    "LogPage",
    "LogRecord",
    "LogService",
    "VmDirectory",
    "VmEntry",
    "VmRole",
    "WeightStore",
    "WeightStoreInfo",
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRecord:
    """Record as returned by the log; `timestamp` was assigned by the log."""

    offset: Offset
    timestamp: datetime.datetime
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogPage:
    """Response to a read.

    Parameters
    ----------
    log_id : str
        Identity of the log; it changes if the platform replaces the log.
    oldest : Offset
        Lowest offset that is still kept; equal to `end` if there is none.
    end : Offset
        Offset of the next append to the stream.
    records : sequence of LogRecord
        Records in log order, starting at the requested offset or at `oldest`.
    """

    log_id: str
    oldest: Offset
    end: Offset
    records: Sequence[LogRecord]


class LogService(abc.ABC):
    """Append-only log of named streams, in which each record has an offset."""

    @abc.abstractmethod
    async def append(
        self, stream: str, data: bytes, *, timeout: datetime.timedelta
    ) -> Offset:
        """Append `data` to `stream` and return its offset.

        Raises
        ------
        PlatformError
            If the append failed; ``maybe_applied`` is true if the record may be
            on the log.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: str,
        first: Offset,
        *,
        limit: int,
        wait: datetime.timedelta,
        timeout: datetime.timedelta,
    ) -> LogPage:
        """Return up to `limit` records from `first` on.

        If there is none yet, waits up to `wait` for one.

        Raises
        ------
        PlatformError
            If the log does not respond within `wait` plus `timeout`.
        """


class VmRole(enum.Enum):
    """Role of a VM in the platform's list."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmEntry:
    """Entry of the platform's VM list.

    `address` is the IP address and port of the backend server, or of the control
    process on an entry VM. `service` is the name of the plain service, or empty.
    """

    vm: VmId
    role: VmRole
    address: str
    zone: ZoneId
    region: RegionId
    domain: DomainId
    leaving: bool
    service: str = ""


class VmDirectory(abc.ABC):
    """The platform's list of live and leaving VMs, which lags behind."""

    @abc.abstractmethod
    async def list_vms(self, *, timeout: datetime.timedelta) -> Sequence[VmEntry]:
        """Return the VMs that the platform lists as live or leaving.

        Raises
        ------
        PlatformError
            If the list is unavailable.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightStoreInfo:
    """Rate limit in bytes per second and size of each model in bytes."""

    rate_bytes_per_s: float
    sizes: Mapping[ModelName, int]


class WeightStore(abc.ABC):
    """The platform's weight store, from which engines load models."""

    @abc.abstractmethod
    async def info(self, *, timeout: datetime.timedelta) -> WeightStoreInfo:
        """Return the rate limit and the model sizes.

        Raises
        ------
        PlatformError
            If the store does not respond.
        """
