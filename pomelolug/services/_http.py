"""HTTP client of the plain services."""

from collections.abc import AsyncIterator

import aiohttp

from pomelolug.engines import EngineUnavailableError
from pomelolug.services._base import ServiceClient, ServiceRequest, ServiceResponse

__all__ = ["HttpServiceClient"]

_CONNECT_TIMEOUT_S = 1.0
_CHUNK_BYTES = 64 * 1024
_REQUEST_ID_HEADER = "X-Request-Id"
# Response headers that are not forwarded to the caller: hop-by-hop headers (RFC
# 9110, section 7.6.1) and headers that the HTTP server of this process sets itself.
_UNFORWARDED_HEADERS = frozenset(
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


class HttpServiceClient(ServiceClient):
    """Client that reaches plain services over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP client session of the process.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(self, address: str, request: ServiceRequest) -> ServiceResponse:
        """Send `request` to the backend server at `address`."""
        query = f"?{request.query}" if request.query else ""
        client_timeout = aiohttp.ClientTimeout(
            total=request.timeout.total_seconds(), sock_connect=_CONNECT_TIMEOUT_S
        )
        headers = dict(request.headers) | {_REQUEST_ID_HEADER: request.request_id}
        try:
            response = await self._session.request(
                request.method,
                f"http://{address}{request.path}{query}",
                data=request.body,
                headers=headers,
                timeout=client_timeout,
                allow_redirects=False,
            )
        except aiohttp.ClientConnectorError as error:
            raise EngineUnavailableError(str(error), maybe_ran=False) from error
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            raise EngineUnavailableError(
                f"{address}: {type(error).__name__}", maybe_ran=True
            ) from error
        # A service need not echo the request identifier, because a connection
        # carries one request at a time. If it does, the value must match.
        echoed_request_id = response.headers.get(_REQUEST_ID_HEADER, request.request_id)
        if echoed_request_id != request.request_id:
            response.close()
            raise EngineUnavailableError(
                f"{address}: response has the identifier of another request",
                maybe_ran=True,
            )
        end_to_end_headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _UNFORWARDED_HEADERS
        )
        return ServiceResponse(
            status=response.status,
            headers=end_to_end_headers,
            body=_stream_body(response, address, request.max_response_bytes),
        )


async def _stream_body(
    response: aiohttp.ClientResponse, address: str, max_bytes: int
) -> AsyncIterator[bytes]:
    received_bytes = 0
    try:
        async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
            received_bytes += len(chunk)
            if received_bytes > max_bytes:
                raise EngineUnavailableError(
                    f"{address}: response body exceeds {max_bytes} bytes",
                    maybe_ran=True,
                )
            yield chunk
    except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
        raise EngineUnavailableError(
            f"{address}: {type(error).__name__}", maybe_ran=True
        ) from error
    finally:
        # A connection whose response was read completely returns to the pool; any
        # other one is closed.
        response.close() if not response.content.at_eof() else response.release()
