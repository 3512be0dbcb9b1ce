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

__all__ = ["Attempt", "AttemptError", "Execution"]

_MAX_SKIPPED_BODY_BYTES = 4 * 1024 * 1024
_MAX_SKIPPED_RESPONSES = 3
"""Responses to other requests that are skipped on one connection."""


class Execution(enum.Enum):
    """What is known of the execution of a request at a server."""

    NONE = "no"
    POSSIBLE = "maybe"


class AttemptError(Exception):
    """An attempt ended without an answer that can be passed on.

    Parameters
    ----------
    reason : str
        Short name of the cause; a metric label.
    execution : Execution
        Whether the server may have run the request.
    may_have_arrived : bool
        Whether any byte of the request may have reached the server.
    stale_connection : bool
        Whether a kept connection ended before any answer, as it does when the
        server closed it while it was idle.
    """

    def __init__(
        self,
        reason: str,
        *,
        execution: Execution,
        may_have_arrived: bool,
        stale_connection: bool = False,
    ) -> None:
        super().__init__(reason)
        self._stale_connection = stale_connection
        self._reason = reason
        self._execution = execution
        self._may_have_arrived = may_have_arrived

    @property
    def reason(self) -> str:
        """Short name of the cause."""
        return self._reason

    @property
    def execution(self) -> Execution:
        """Whether the server may have run the request."""
        return self._execution

    @property
    def stale_connection(self) -> bool:
        """Whether a kept connection ended before any answer."""
        return self._stale_connection

    @property
    def may_have_arrived(self) -> bool:
        """Whether any byte may have reached the server."""
        return self._may_have_arrived


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
    request_id : RequestId
        Id that the server must echo.
    """

    def __init__(
        self, pool: ConnectionPool, address: str, request_id: RequestId
    ) -> None:
        self._pool = pool
        self._address = address
        self._request_id = request_id
        self._connection: ClientConnection | None = None
        self._body_complete = False

    async def __aenter__(self) -> "Attempt":
        """Enter without a connection."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Keep or end the connection."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._body_complete:
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
            raise AttemptError(
                error.reason, execution=Execution.NONE, may_have_arrived=False
            ) from error
        self._connection = connection
        try:
            connection.send(data)
        except BrokenResponse as error:
            raise AttemptError(
                error.reason, execution=Execution.NONE, may_have_arrived=False
            ) from error

    async def read_head(self) -> tuple[ServerReply, ResponseHead]:
        """Wait for the head of this request's response.

        Responses to other requests that arrive first are skipped.

        Raises
        ------
        AttemptError
            If the connection ends before the head.
        """
        connection = self._require_connection()
        try:
            for _ in range(_MAX_SKIPPED_RESPONSES):
                head = await connection.head()
                reply = decode_server_reply(head)
                if self._is_own_response(reply):
                    return reply, head
                connection.expect_another()
                await connection.body(_MAX_SKIPPED_BODY_BYTES)
        except BrokenResponse as error:
            connection_ended = error.reason in ("reset", "closed")
            raise AttemptError(
                error.reason,
                execution=Execution.POSSIBLE,
                may_have_arrived=True,
                stale_connection=connection_ended and connection.reused,
            ) from error
        raise AttemptError(
            "foreign_responses", execution=Execution.POSSIBLE, may_have_arrived=True
        )

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptError
            If the body is incomplete or too large.
        """
        try:
            data = await self._require_connection().body(limit)
        except BrokenResponse as error:
            raise AttemptError(
                error.reason, execution=Execution.POSSIBLE, may_have_arrived=True
            ) from error
        self._body_complete = True
        return data

    async def read_chunk(self) -> bytes | None:
        """Return the next part of the body, None at its end.

        Raises
        ------
        AttemptError
            If the body is incomplete.
        """
        try:
            data = await self._require_connection().chunk()
        except BrokenResponse as error:
            raise AttemptError(
                error.reason, execution=Execution.POSSIBLE, may_have_arrived=True
            ) from error
        if data is None:
            self._body_complete = True
        return data

    def _require_connection(self) -> ClientConnection:
        if self._connection is None:
            raise AttemptError(
                "not_sent", execution=Execution.NONE, may_have_arrived=False
            )
        return self._connection

    def _is_own_response(self, reply: ServerReply) -> bool:
        if reply.request == self._request_id:
            return True
        # A refusal may lack the id; a success without it proves nothing.
        return reply.request is None and reply.status >= 400
