"""Abstract plain service with its typed call and reply."""

import abc
import dataclasses
import datetime
from collections.abc import AsyncIterator

__all__ = ["PlainService", "ServiceCall", "ServiceReply"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceCall:
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
    max_reply_bytes : int
        Bound on the reply's body.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: datetime.timedelta
    max_reply_bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceReply:
    """Status, headers and streamed body of a reply."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: AsyncIterator[bytes]


class PlainService(abc.ABC):
    """Access to the backend servers of all plain services."""

    @abc.abstractmethod
    async def call(self, address: str, call: ServiceCall) -> ServiceReply:
        """Send `call` to the backend server at `address`.

        Closing the reply's body closes the connection if the body was not read
        to its end.

        Raises
        ------
        EngineUnavailableError
            If the backend server cannot be reached or breaks off;
            ``maybe_run`` tells whether the call may have reached it.
        """
