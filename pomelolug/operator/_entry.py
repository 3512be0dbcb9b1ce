"""Status queries to the entry processes of the users' platform."""

import asyncio
import datetime
from typing import Any

import msgspec

from pomelolug.errors import ErrorCode, PlatformError
from pomelolug.transport import HttpConnectionError, encode_request, open_connection

__all__ = ["fetch_entry_status"]

_TIMEOUT = datetime.timedelta(seconds=2)
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
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise PlatformError(ErrorCode.BAD_REQUEST, f"{address!r} is not HOST:PORT")
    request = encode_request(b"GET", b"/status", [(b"Host", address.encode())])
    try:
        async with asyncio.timeout(_TIMEOUT.total_seconds()):
            connection = await open_connection(host, int(port), timeout=_TIMEOUT)
            try:
                connection.send(request)
                head = await connection.read_head()
                body = await connection.read_body(_MAX_RESPONSE_BYTES)
            finally:
                connection.abort()
    except HttpConnectionError as error:
        raise _unavailable_error(address, error.reason) from error
    except TimeoutError as error:
        raise _unavailable_error(address, "timed out") from error
    if head.status != 200:
        raise _unavailable_error(address, f"status {head.status}")
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise _unavailable_error(address, f"malformed response: {error}") from error


def _unavailable_error(address: str, reason: str) -> PlatformError:
    return PlatformError(
        ErrorCode.PLATFORM_UNAVAILABLE, f"entry process at {address}: {reason}"
    )
