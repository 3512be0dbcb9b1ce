"""Abstract log service, VM list and weight store."""

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
    """One record as the log returns it; `stamp` is the log's own time."""

    offset: Offset
    stamp: datetime.datetime
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogPage:
    """Answer to one read.

    Parameters
    ----------
    log_id : str
        Identity of the log; changes if the platform replaces the log.
    oldest : Offset
        Lowest offset that is still kept; equals `end` if none is.
    end : Offset
        Offset that the next append to the stream gets.
    records : sequence of LogRecord
        Records in log order, starting at the requested offset or at `oldest`.
    """

    log_id: str
    oldest: Offset
    end: Offset
    records: Sequence[LogRecord]


class LogService(abc.ABC):
    """Append-only log with named streams and offsets."""

    @abc.abstractmethod
    async def append(
        self, stream: str, data: bytes, *, timeout: datetime.timedelta
    ) -> Offset:
        """Append `data` to `stream` and return its offset.

        Raises
        ------
        PlatformError
            With ``maybe_applied`` true if the record may be on the log.
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

        Waits up to `wait` for a record if there is none yet.

        Raises
        ------
        PlatformError
            If the log does not answer within `timeout` beyond `wait`.
        """


class VmRole(enum.Enum):
    """What a VM of the platform's list is for."""

    ENGINE = "engine"
    SERVICE = "service"
    ENTRY = "entry"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VmEntry:
    """One VM of the platform's list.

    `address` is the IP and port of the backend server, or of the control
    process on an entry VM. `service` names the plain service, else it is empty.
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
    """The platform's lagging list of live and leaving VMs."""

    @abc.abstractmethod
    async def list_vms(self, *, timeout: datetime.timedelta) -> Sequence[VmEntry]:
        """Return the VMs that the platform believes live or leaving.

        Raises
        ------
        PlatformError
            If the list cannot be had.
        """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WeightStoreInfo:
    """Rate limit in bytes per second and the size of each model in bytes."""

    rate_bytes_per_s: float
    sizes: Mapping[ModelName, int]


class WeightStore(abc.ABC):
    """The platform's weight store, from which engines load."""

    @abc.abstractmethod
    async def info(self, *, timeout: datetime.timedelta) -> WeightStoreInfo:
        """Return the rate limit and the model sizes.

        Raises
        ------
        PlatformError
            If the store does not answer.
        """
