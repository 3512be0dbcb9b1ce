"""HTTP adapters for the platform's services.

The log: ``POST /streams/{stream}/records`` with the record as body returns
``{"offset": n}``; ``GET /streams/{stream}/records?from=&limit=&wait_ms=``
returns ``{"log_id", "oldest", "end", "records": [{"offset", "stamp_ms",
"data"}]}`` with base64 data. The VM list: ``GET /vms`` returns
``{"vms": [...]}``. The weight store: ``GET /weights`` returns
``{"rate_bytes_per_s", "sizes"}``.
"""

import base64
import datetime
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import msgspec

from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.ids import DomainId, ModelName, Offset, RegionId, VmId, ZoneId
from pomelolug.infrastructure._base import (
    LogPage,
    LogRecord,
    LogService,
    VmDirectory,
    VmEntry,
    VmRole,
    WeightStore,
    WeightStoreInfo,
)

__all__ = ["HttpLogService", "HttpVmDirectory", "HttpWeightStore"]

_CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
_MAX_REPLY_BYTES = 8 * 1024 * 1024


class _AppendReply(msgspec.Struct, frozen=True):
    offset: int


class _RecordReply(msgspec.Struct, frozen=True):
    offset: int
    stamp_ms: int
    data: str


class _PageReply(msgspec.Struct, frozen=True):
    log_id: str
    oldest: int
    end: int
    records: tuple[_RecordReply, ...] = ()


class _VmReply(msgspec.Struct, frozen=True):
    vm: str
    role: VmRole
    address: str
    zone: str
    region: str
    domain: str
    leaving: bool = False
    service: str = ""


class _VmListReply(msgspec.Struct, frozen=True):
    vms: tuple[_VmReply, ...]


class _WeightsReply(msgspec.Struct, frozen=True):
    rate_bytes_per_s: float
    sizes: dict[str, int]


class _HttpClient:
    """Client for JSON over HTTP that reports every failure as `PlatformError`."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    async def call(
        self,
        method: str,
        path: str,
        reply_type: Any,
        *,
        timeout: datetime.timedelta,
        data: bytes | None = None,
        params: Mapping[str, str] | None = None,
    ) -> Any:
        client_timeout = aiohttp.ClientTimeout(
            total=timeout.total_seconds(),
            sock_connect=_CONNECT_TIMEOUT.total_seconds(),
        )
        is_write = method == "POST"
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=data,
                params=params,
                timeout=client_timeout,
            ) as response:
                body = await response.content.read(_MAX_REPLY_BYTES)
                if response.status != 200:
                    raise PlatformError(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        f"{path} answered {response.status}",
                        maybe_applied=is_write and response.status >= 500,
                    )
                return msgspec.json.decode(body, type=reply_type)
        except aiohttp.ClientConnectorError as error:
            raise PlatformError(
                ErrorCode.PLATFORM_UNAVAILABLE, f"{path}: {error}"
            ) from error
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError) as error:
            raise PlatformError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"{path}: {type(error).__name__}",
                maybe_applied=is_write,
            ) from error


class HttpLogService(LogService):
    """Log service over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Client session of the process.
    address : str
        IP address and port.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._client = _HttpClient(session, address)

    async def append(
        self, stream: str, data: bytes, *, timeout: datetime.timedelta
    ) -> Offset:
        """Append `data` to `stream` and return its offset."""
        reply = await self._client.call(
            "POST",
            f"/streams/{stream}/records",
            _AppendReply,
            timeout=timeout,
            data=data,
        )
        return Offset(reply.offset)

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
        reply = await self._client.call(
            "GET",
            f"/streams/{stream}/records",
            _PageReply,
            timeout=wait + timeout,
            params={
                "from": str(first),
                "limit": str(limit),
                "wait_ms": str(round(wait.total_seconds() * 1000)),
            },
        )
        records = tuple(_log_record(record) for record in reply.records)
        return LogPage(
            log_id=reply.log_id,
            oldest=Offset(reply.oldest),
            end=Offset(reply.end),
            records=records,
        )


def _log_record(reply: _RecordReply) -> LogRecord:
    try:
        data = base64.b64decode(reply.data, validate=True)
    except ValueError as error:
        raise PlatformError(
            ErrorCode.PLATFORM_UNAVAILABLE, f"record {reply.offset} is not base64"
        ) from error
    timestamp = datetime.datetime.fromtimestamp(reply.stamp_ms / 1000, datetime.UTC)
    return LogRecord(offset=Offset(reply.offset), timestamp=timestamp, data=data)


class HttpVmDirectory(VmDirectory):
    """VM list over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._client = _HttpClient(session, address)

    async def list_vms(self, *, timeout: datetime.timedelta) -> Sequence[VmEntry]:
        """Return the VMs that the platform lists as live or leaving."""
        reply = await self._client.call("GET", "/vms", _VmListReply, timeout=timeout)
        return tuple(_vm_entry(vm) for vm in reply.vms)


def _vm_entry(reply: _VmReply) -> VmEntry:
    return VmEntry(
        vm=VmId(reply.vm),
        role=reply.role,
        address=reply.address,
        zone=ZoneId(reply.zone),
        region=RegionId(reply.region),
        domain=DomainId(reply.domain),
        leaving=reply.leaving,
        service=reply.service,
    )


class HttpWeightStore(WeightStore):
    """Weight store over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._client = _HttpClient(session, address)

    async def info(self, *, timeout: datetime.timedelta) -> WeightStoreInfo:
        """Return the rate limit and the model sizes."""
        reply = await self._client.call(
            "GET", "/weights", _WeightsReply, timeout=timeout
        )
        sizes = {ModelName(name): size for name, size in reply.sizes.items()}
        return WeightStoreInfo(rate_bytes_per_s=reply.rate_bytes_per_s, sizes=sizes)
