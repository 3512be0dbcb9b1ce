"""HTTP client for queries to a control process."""

import datetime
from collections.abc import Mapping
from typing import Any, TypeVar

import aiohttp
import msgspec

from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.settings import Address

__all__ = [
    "ConfigurationResponse",
    "ControlClient",
    "NodeSummary",
    "NodesResponse",
    "StreamPosition",
    "StreamsResponse",
]

_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
T = TypeVar("T")


class NodeSummary(msgspec.Struct, frozen=True, kw_only=True):
    """State of one node as seen by its peers."""

    node: str
    zone: str = ""
    state: str = ""
    config_version: int = -1


class NodesResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of ``/v1/nodes``."""

    nodes: tuple[NodeSummary, ...]


class StreamPosition(msgspec.Struct, frozen=True, kw_only=True):
    """Read position of the control process in one stream."""

    stream: str
    state: str
    offset: int


class StreamsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of ``/v1/streams``."""

    streams: tuple[StreamPosition, ...]


class ConfigurationResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response of ``/v1/configuration``; `document` contains no key hashes."""

    version: int
    document: str


class ControlClient:
    """HTTP client of one control process.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the command.
    address : Address
        Address at which the control process listens.
    timeout : datetime.timedelta
        Timeout of one request, including its response.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: Address,
        timeout: datetime.timedelta,
    ) -> None:
        self._session = session
        self._address = address
        self._timeout = aiohttp.ClientTimeout(total=timeout.total_seconds())

    @property
    def address(self) -> Address:
        """Address at which the control process listens."""
        return self._address

    async def get(self, path: str, response_type: type[T], **query: str) -> T:
        """Send a GET request for `path` and decode the response as `response_type`.

        Raises
        ------
        PlatformError
            If the control process does not respond, or if the response has an
            error status or cannot be decoded.
        """
        body = await self._fetch(path, query)
        try:
            return msgspec.json.decode(body, type=response_type)
        except msgspec.DecodeError as error:
            raise self._unavailable_error(path, str(error)) from error

    async def get_json(self, path: str, **query: str) -> Any:
        """Send a GET request for `path` and return the response as JSON values."""
        return await self.get(path, dict, **query)

    async def _fetch(self, path: str, query: Mapping[str, str]) -> bytes:
        url = f"http://{self._address}{path}"
        try:
            async with self._session.get(
                url, params=query, timeout=self._timeout
            ) as response:
                body = await response.content.read(_MAX_RESPONSE_BYTES)
                while not response.content.at_eof() and len(body) < _MAX_RESPONSE_BYTES:
                    body += await response.content.read(_MAX_RESPONSE_BYTES - len(body))
        except (TimeoutError, aiohttp.ClientError) as error:
            raise self._unavailable_error(path, type(error).__name__) from error
        if response.status != 200:
            raise self._unavailable_error(path, f"status {response.status}")
        return body

    def _unavailable_error(self, path: str, reason: str) -> PlatformError:
        return PlatformError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"control process {self._address} {path}: {reason}",
        )
