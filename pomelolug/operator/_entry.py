"""Questions to the entry processes of the users' platform."""

import asyncio
import datetime
from collections.abc import Mapping
from typing import Any

import msgspec

from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.transport import HttpConnectionError, encode_request, open_connection

__all__ = ["fetch_entry_status", "fetch_preview"]

_TIMEOUT = datetime.timedelta(seconds=2)
_PREVIEW_TIMEOUT = datetime.timedelta(seconds=10)
"""Time limit of a preview, for which the node may ask all dispatchers in turn."""
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024


async def fetch_entry_status(address: str) -> dict[str, Any]:
    """Return the status of an entry process and of the groups that it knows.

    Parameters
    ----------
    address : str
        IP address and port on which the process communicates with its peers.

    Raises
    ------
    PlatformError
        If the address is invalid, or if the process does not respond with its
        status.
    """
    return await _fetch(address, b"GET", b"/status", timeout=_TIMEOUT)


async def fetch_preview(address: str, query: Mapping[str, Any]) -> dict[str, Any]:
    """Return where a request would go now.

    Parameters
    ----------
    address : str
        IP address and port on which the process communicates with its peers.
    query : mapping of str to Any
        The request, as `pomelolug.entry.preview.PreviewQuery`.

    Raises
    ------
    PlatformError
        If the address is invalid, or if the process does not respond with a preview.
    """
    return await _fetch(
        address,
        b"POST",
        b"/preview",
        body=msgspec.json.encode(query),
        timeout=_PREVIEW_TIMEOUT,
    )


async def _fetch(
    address: str,
    method: bytes,
    path: bytes,
    *,
    body: bytes = b"",
    timeout: datetime.timedelta,
) -> dict[str, Any]:
    """Return the JSON response of a process."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise PlatformError(ErrorCode.BAD_REQUEST, f"{address!r} is not HOST:PORT")
    request = encode_request(method, path, [(b"Host", address.encode())], body)
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            connection = await open_connection(host, int(port), timeout=timeout)
            try:
                connection.send(request)
                head = await connection.read_head()
                response = await connection.read_body(_MAX_RESPONSE_BYTES)
            finally:
                connection.abort()
    except HttpConnectionError as error:
        raise _unavailable_error(address, error.reason) from error
    except TimeoutError as error:
        raise _unavailable_error(address, "timed out") from error
    if head.status == 400:
        raise PlatformError(
            ErrorCode.BAD_REQUEST, f"{address}: {response.decode(errors='replace')}"
        )
    if head.status != 200:
        raise _unavailable_error(address, f"status {head.status}")
    try:
        return msgspec.json.decode(response, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise _unavailable_error(address, f"malformed response: {error}") from error


def _unavailable_error(address: str, reason: str) -> PlatformError:
    return PlatformError(
        ErrorCode.PLATFORM_UNAVAILABLE, f"entry process at {address}: {reason}"
    )
