"""Abstract plain service with its typed call and reply."""

import abc
import dataclasses
import datetime
from collections.abc import AsyncIterator

__all__ = ["ServiceClient", "ServiceRequest", "ServiceResponse"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceRequest:
    """One call to a plain service.

    Parameters
    ----------
    request_id : str
        Identifier that the backend server echoes.
    method, path, query : str
        Target of the call, relative to the service.
    headers : tuple of (str, str)
        End-to-end headers of the caller.
    body : bytes
        Body, already bounded.
    timeout : datetime.timedelta
        Time for the whole call.
    max_response_bytes : int
        Bound on the reply's body.
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
    """Status, headers and streamed body of a reply."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]


class ServiceClient(abc.ABC):
    """Access to the backend servers of all plain services."""

    @abc.abstractmethod
    async def send(self, address: str, request: ServiceRequest) -> ServiceResponse:
        """Send `request` to the backend server at `address`.

        Closing the reply's body closes the connection if the body was not read
        to its end.

        Raises
        ------
        EngineUnavailableError
            If the backend server cannot be reached or breaks off;
            ``maybe_ran`` tells whether the call may have reached it.
        """
