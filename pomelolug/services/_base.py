"""Abstract client of plain services with its request and response types."""

import abc
import dataclasses
import datetime
from collections.abc import AsyncIterator

__all__ = ["ServiceClient", "ServiceRequest", "ServiceResponse"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceRequest:
    """HTTP request to a plain service.

    Parameters
    ----------
    request_id : str
        Identifier of the request. A server that echoes it must echo this one.
    method, path, query : str
        Method and target of the request. The path is relative to the service, and
        the query has no leading question mark.
    headers : tuple of (str, str)
        End-to-end headers sent by the caller.
    body : bytes
        Whole body; its size has been checked already.
    timeout : datetime.timedelta
        Time limit of the whole exchange, including the response body.
    max_response_bytes : int
        Maximum size of the response body.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: datetime.timedelta
    max_response_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceResponse:
    """HTTP response with status, end-to-end headers and a streamed body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]


class ServiceClient(abc.ABC):
    """Client for the backend servers of all plain services.

    The client is not bound to one server: each request names the address.
    """

    @abc.abstractmethod
    async def send(self, address: str, request: ServiceRequest) -> ServiceResponse:
        """Send `request` to the backend server at `address`.

        The response body is an iterator. Once iteration has started, closing it
        before its end closes the connection.

        Raises
        ------
        EngineUnavailableError
            If the connection fails, the request times out, or the response is
            too large or has the identifier of another request. ``maybe_ran``
            tells whether the request may have reached the backend server.
        """
