"""HTTP adapter of the plain services."""

from collections.abc import AsyncIterator

import aiohttp

from pomelolug.engines import EngineUnavailableError
from pomelolug.services._base import PlainService, ServiceCall, ServiceReply

__all__ = ["HttpPlainService"]

_CONNECT_TIMEOUT_S = 1.0
_CHUNK_BYTES = 64 * 1024
_REQUEST_ID = "X-Request-Id"
# Headers that belong to one connection and must not be passed on (RFC 9110,
# section 7.6.1), and those that the server side sets itself.
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-encoding",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class HttpPlainService(PlainService):
    """Plain services over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Client of the process.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def call(self, address: str, call: ServiceCall) -> ServiceReply:
        """Send `call` to the backend server at `address`."""
        query = f"?{call.query}" if call.query else ""
        limits = aiohttp.ClientTimeout(
            total=call.timeout.total_seconds(), sock_connect=_CONNECT_TIMEOUT_S
        )
        headers = dict(call.headers) | {_REQUEST_ID: call.request_id}
        try:
            response = await self._session.request(
                call.method,
                f"http://{address}{call.path}{query}",
                data=call.body,
                headers=headers,
                timeout=limits,
                allow_redirects=False,
            )
        except aiohttp.ClientConnectorError as error:
            raise EngineUnavailableError(str(error), maybe_run=False) from error
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            raise EngineUnavailableError(
                f"{address}: {type(error).__name__}", maybe_run=True
            ) from error
        # A service need not echo the identifier: the connection carries one call
        # at a time. One that does echo it must echo the right one.
        echoed = response.headers.get(_REQUEST_ID, call.request_id)
        if echoed != call.request_id:
            response.close()
            raise EngineUnavailableError(
                f"{address}: reply names another request", maybe_run=True
            )
        kept = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _HOP_HEADERS
        )
        return ServiceReply(
            status=response.status,
            headers=kept,
            body=_body(response, address, call.max_reply_bytes),
        )


async def _body(
    response: aiohttp.ClientResponse, address: str, limit: int
) -> AsyncIterator[bytes]:
    size = 0
    try:
        async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
            size += len(chunk)
            if size > limit:
                raise EngineUnavailableError(
                    f"{address}: reply exceeds {limit} bytes", maybe_run=True
                )
            yield chunk
    except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
        raise EngineUnavailableError(
            f"{address}: {type(error).__name__}", maybe_run=True
        ) from error
    finally:
        # Returns a fully read connection to the pool and closes any other.
        response.close() if not response.content.at_eof() else response.release()
