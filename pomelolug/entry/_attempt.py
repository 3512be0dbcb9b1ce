"""One request at one server."""

import enum
from types import TracebackType

from pomelolug.ids import RequestId
from pomelolug.platform import ServerReply, decode_server_reply
from pomelolug.transport import (
    BrokenResponse,
    ClientConnection,
    ConnectionPool,
    ResponseHead,
)

__all__ = ["Attempt", "AttemptError", "Ran"]

_MOST_FOREIGN_BYTES = 4 * 1024 * 1024
_MOST_FOREIGN = 3
"""Responses to other requests that are skipped on one connection."""


class Ran(enum.Enum):
    """What is known of the execution of a request at a server."""

    NO = "no"
    MAYBE = "maybe"


class AttemptError(Exception):
    """An attempt ended without an answer that can be passed on.

    Parameters
    ----------
    reason : str
        Short name of the cause; a metric label.
    ran : Ran
        Whether the server may have run the request.
    arrived : bool
        Whether any byte of the request may have reached the server.
    stale : bool
        Whether a kept connection ended before any answer, as it does when the
        server closed it while it was idle.
    """

    def __init__(
        self, reason: str, *, ran: Ran, arrived: bool, stale: bool = False
    ) -> None:
        super().__init__(reason)
        self._stale = stale
        self._reason = reason
        self._ran = ran
        self._arrived = arrived

    @property
    def reason(self) -> str:
        """Short name of the cause."""
        return self._reason

    @property
    def ran(self) -> Ran:
        """Whether the server may have run the request."""
        return self._ran

    @property
    def stale(self) -> bool:
        """Whether a kept connection ended before any answer."""
        return self._stale

    @property
    def arrived(self) -> bool:
        """Whether any byte may have reached the server."""
        return self._arrived


class Attempt:
    """Exchange with one server, used as a context.

    On leaving, the connection is kept if the whole answer was read and ended
    otherwise, which makes the server stop its work.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to servers.
    address : str
        IP address and port of the server.
    request : RequestId
        Id that the server must echo.
    """

    def __init__(self, pool: ConnectionPool, address: str, request: RequestId) -> None:
        self._pool = pool
        self._address = address
        self._request = request
        self._connection: ClientConnection | None = None
        self._complete = False

    async def __aenter__(self) -> "Attempt":
        """Enter without a connection."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Keep or end the connection."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._complete:
            self._pool.release(self._address, connection)
        else:
            connection.abort()

    def abort(self, reason: str) -> None:
        """End the exchange from outside; the reader gets `reason`."""
        if self._connection is not None:
            self._connection.abort(reason)

    async def send(self, data: bytes, *, fresh: bool) -> None:
        """Send a whole request.

        Raises
        ------
        AttemptError
            If no connection can be opened, which proves that nothing ran.
        """
        try:
            connection = await self._pool.acquire(self._address, fresh=fresh)
        except BrokenResponse as error:
            raise AttemptError(error.reason, ran=Ran.NO, arrived=False) from error
        self._connection = connection
        try:
            connection.send(data)
        except BrokenResponse as error:
            raise AttemptError(error.reason, ran=Ran.NO, arrived=False) from error

    async def reply(self) -> tuple[ServerReply, ResponseHead]:
        """Wait for the head of this request's response.

        Responses to other requests that arrive first are skipped.

        Raises
        ------
        AttemptError
            If the connection ends before the head.
        """
        connection = self._open()
        try:
            for _ in range(_MOST_FOREIGN):
                head = await connection.head()
                reply = decode_server_reply(head)
                if self._is_own(reply):
                    return reply, head
                connection.expect_another()
                await connection.body(_MOST_FOREIGN_BYTES)
        except BrokenResponse as error:
            ended = error.reason in ("reset", "closed")
            raise AttemptError(
                error.reason,
                ran=Ran.MAYBE,
                arrived=True,
                stale=ended and connection.reused,
            ) from error
        raise AttemptError("foreign_responses", ran=Ran.MAYBE, arrived=True)

    async def body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptError
            If the body is incomplete or too large.
        """
        try:
            data = await self._open().body(limit)
        except BrokenResponse as error:
            raise AttemptError(error.reason, ran=Ran.MAYBE, arrived=True) from error
        self._complete = True
        return data

    async def chunk(self) -> bytes | None:
        """Return the next part of the body, None at its end.

        Raises
        ------
        AttemptError
            If the body is incomplete.
        """
        try:
            data = await self._open().chunk()
        except BrokenResponse as error:
            raise AttemptError(error.reason, ran=Ran.MAYBE, arrived=True) from error
        if data is None:
            self._complete = True
        return data

    def _open(self) -> ClientConnection:
        if self._connection is None:
            raise AttemptError("not_sent", ran=Ran.NO, arrived=False)
        return self._connection

    def _is_own(self, reply: ServerReply) -> bool:
        if reply.request == self._request:
            return True
        # A refusal may lack the id; a success without it proves nothing.
        return reply.request is None and reply.status >= 400
