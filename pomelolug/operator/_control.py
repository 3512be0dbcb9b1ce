"""Queries to a control process over plain HTTP."""

import datetime
from collections.abc import Mapping
from typing import Any, TypeVar

import aiohttp
import msgspec

from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.settings import Address

__all__ = [
    "ConfigurationPage",
    "ControlClient",
    "NodeLine",
    "NodesPage",
    "StreamLine",
    "StreamsPage",
]

_MAX_PAGE_BYTES = 16 * 1024 * 1024
T = TypeVar("T")


class NodeLine(msgspec.Struct, frozen=True, kw_only=True):
    """One node as its peers see it."""

    node: str
    zone: str = ""
    state: str = ""
    config_version: int = -1


class NodesPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``/v1/nodes``."""

    nodes: tuple[NodeLine, ...]


class StreamLine(msgspec.Struct, frozen=True, kw_only=True):
    """Position of the control process in one stream."""

    stream: str
    state: str
    offset: int


class StreamsPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``/v1/streams``."""

    streams: tuple[StreamLine, ...]


class ConfigurationPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``/v1/configuration``; the document is without key hashes."""

    version: int
    document: str


class ControlClient:
    """Reads the pages of one control process.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Client of the command.
    address : Address
        Where the control process listens.
    timeout : datetime.timedelta
        Longest time for one answer.
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
        """Where the control process listens."""
        return self._address

    async def page(self, path: str, kind: type[T], **query: str) -> T:
        """Return the page at `path` as `kind`.

        Raises
        ------
        PlatformError
            If the control process does not answer, or not with such a page.
        """
        body = await self._get(path, query)
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise self._failure(path, str(error)) from error

    async def raw(self, path: str, **query: str) -> Any:
        """Return the page at `path` as plain JSON values."""
        return await self.page(path, dict, **query)

    async def _get(self, path: str, query: Mapping[str, str]) -> bytes:
        url = f"http://{self._address}{path}"
        try:
            async with self._session.get(
                url, params=query, timeout=self._timeout
            ) as response:
                body = await response.content.read(_MAX_PAGE_BYTES)
                while not response.content.at_eof() and len(body) < _MAX_PAGE_BYTES:
                    body += await response.content.read(_MAX_PAGE_BYTES - len(body))
        except (TimeoutError, aiohttp.ClientError) as error:
            raise self._failure(path, type(error).__name__) from error
        if response.status != 200:
            raise self._failure(path, f"status {response.status}")
        return body

    def _failure(self, path: str, problem: str) -> PlatformError:
        return PlatformError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"control process {self._address} {path}: {problem}",
        )
