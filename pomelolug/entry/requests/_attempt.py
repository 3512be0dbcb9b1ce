"""Attempt to send a request to one server and read the response."""

import abc
import enum
from types import TracebackType
from typing import Self

from pomelolug.deployment import BackendServer
from pomelolug.entry.losses import RequestIdentity, RunEnd, RunMonitor, ServerRun
from pomelolug.entry.servers import ServerNotices, WaitCause
from pomelolug.ids import RequestId
from pomelolug.platform import ServerReply, decode_server_reply
from pomelolug.transport import (
    BufferBudget,
    ClientConnection,
    ConnectionPool,
    HttpConnectionError,
    ResponseHead,
)

__all__ = [
    "CONNECTION_END_REASONS",
    "LEFT_UNREAD_REASON",
    "Attempt",
    "AttemptError",
    "BaseAttempt",
    "RunStatus",
]

CONNECTION_END_REASONS = frozenset({"closed", "reset"})
"""Reasons of a connection that the other side has ended."""
_MAX_SKIPPED_BODY_BYTES = 4 * 1024 * 1024
_MAX_RESPONSES = 3
"""Maximum number of responses read to find the one to this request."""
_STALLED_REASON = "stalled"
"""Reason of the abort of a stalled stream that another group goes on with."""
LEFT_UNREAD_REASON = "left_unread"
"""Reason of a connection that ended after its response was left unread."""
_NO_DESCRIPTOR_REASON = "no_descriptor"
"""Reason of a connection that was not opened since this process has too many."""
_SURVIVED_REASONS = frozenset(
    {
        "event_missing",
        "event_size",
        "event_unreadable",
        "foreign_body",
        "foreign_responses",
        "head_too_large",
        "server_failed",
        "too_large",
    }
)
"""Failures of an attempt in which the server was still sending."""


_WITHDRAWN_REASONS = {
    WaitCause.LIMIT: "server_limited",
    WaitCause.COLD: "server_cold",
    WaitCause.LEAVING: "server_leaving",
    WaitCause.PAUSE: "server_paused",
    WaitCause.EVACUATED: "zone_evacuated",
}


_OWN_REASONS = frozenset(
    {*_WITHDRAWN_REASONS.values(), LEFT_UNREAD_REASON, _NO_DESCRIPTOR_REASON}
)
"""Failures of an attempt that say nothing about the server."""


class RunStatus(enum.Enum):
    """Whether a server may have run a request."""

    NOT_RUN = "no"
    MAY_HAVE_RUN = "maybe"


class AttemptError(Exception):
    """An attempt ended without a response that can be forwarded.

    Parameters
    ----------
    reason : str
        Short name of the cause, used as a metric label.
    run_status : RunStatus
        Whether the server may have run the request in this attempt.
        `AttemptRecord.may_have_run` is set already when the request has been sent,
        and `possible_runs` counts the ended attempts that may have run it.
    may_have_arrived : bool
        Whether any byte of the request may have reached the server.
    stale_connection : bool
        Whether a reused connection ended before any response, as happens when the
        server has closed it while it was idle.
    """

    def __init__(
        self,
        reason: str,
        *,
        run_status: RunStatus,
        may_have_arrived: bool,
        stale_connection: bool = False,
    ) -> None:
        super().__init__(reason)
        self._stale_connection = stale_connection
        self._reason = reason
        self._run_status = run_status
        self._may_have_arrived = may_have_arrived

    @property
    def reason(self) -> str:
        """Short name of the cause."""
        return self._reason

    @property
    def run_status(self) -> RunStatus:
        """Whether the server may have run the request."""
        return self._run_status

    @property
    def is_server_failure(self) -> bool:
        """Whether the server failed, rather than this node or its caller.

        It did not if the request was withdrawn before sending, if the process has no
        descriptor left, or if the caller did not read the response.
        """
        return self._reason not in _OWN_REASONS

    @property
    def was_withdrawn(self) -> bool:
        """Whether the request was not sent since the server took none any more."""
        return self._reason in _WITHDRAWN_REASONS.values()

    @property
    def stale_connection(self) -> bool:
        """Whether a reused connection ended before any response."""
        return self._stale_connection

    @property
    def may_have_arrived(self) -> bool:
        """Whether any byte of the request may have reached the server."""
        return self._may_have_arrived


class BaseAttempt(abc.ABC):
    """Request on one connection of a pool, used as an asynchronous context manager.

    On exit, the connection returns to the pool if the whole response was read.
    Otherwise it is aborted, which makes the receiver stop processing the request.

    Parameters
    ----------
    pool : ConnectionPool
        Pool of connections.
    address : str
        Address that the request is sent to.
    request_id : RequestId
        Id of the request, which its responses repeat.
    """

    def __init__(
        self, pool: ConnectionPool, address: str, *, request_id: RequestId
    ) -> None:
        self._pool = pool
        self._address = address
        self._request_id = request_id
        self._connection: ClientConnection | None = None
        self._body_complete = False

    async def __aenter__(self) -> Self:
        """Return the attempt; `send` opens the connection."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Return the connection to the pool or abort it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._body_complete:
            self._pool.release(self._address, connection)
        else:
            connection.abort()

    @abc.abstractmethod
    async def send(self, data: bytes, *, fresh: bool) -> None:
        """Send a complete request; `fresh` requires a new connection.

        Raises
        ------
        AttemptError
            If the request was not sent, which proves that it did not run.
        """

    @abc.abstractmethod
    async def read_head(self) -> tuple[ServerReply, ResponseHead]:
        """Return the head of the response to this request.

        Raises
        ------
        AttemptError
            If none arrives.
        """

    @abc.abstractmethod
    def record_event(self) -> None:
        """Record that a complete event of the answer has arrived."""

    def abort(self, reason: str) -> None:
        """Abort the connection; a pending read fails with `reason`."""
        if self._connection is not None:
            self._connection.abort(reason)

    async def read_body(
        self, limit: int, *, budget: BufferBudget | None = None
    ) -> bytes:
        """Return the complete body, at most `limit` bytes and within the budget.

        Raises
        ------
        AttemptError
            If the body is incomplete or too large.
        """
        try:
            data = await self._require_connection().read_body(limit, budget=budget)
        except HttpConnectionError as error:
            raise self._lost_error(error) from error
        self._body_complete = True
        return data

    async def read_chunk(self) -> bytes | None:
        """Return what has arrived of the body, None at its end.

        Raises
        ------
        AttemptError
            If the body is incomplete.
        """
        try:
            data = await self._require_connection().read_available()
        except HttpConnectionError as error:
            raise self._lost_error(error) from error
        if data is None:
            self._body_complete = True
        return data

    def _require_connection(self) -> ClientConnection:
        if self._connection is None:
            raise AttemptError(
                "not_sent", run_status=RunStatus.NOT_RUN, may_have_arrived=False
            )
        return self._connection

    def _lost_error(
        self, error: HttpConnectionError, *, stale_connection: bool = False
    ) -> AttemptError:
        """Return the error of a request that was sent and has no whole response."""
        return AttemptError(
            self._lost_reason(error),
            run_status=RunStatus.MAY_HAVE_RUN,
            may_have_arrived=True,
            stale_connection=stale_connection,
        )

    def _lost_head_error(self, error: HttpConnectionError) -> AttemptError:
        """Return the error of a request that was sent and has no response head."""
        return self._lost_error(
            error,
            stale_connection=error.reason in CONNECTION_END_REASONS
            and self._require_connection().is_reused,
        )

    def _lost_reason(self, error: HttpConnectionError) -> str:
        if error.was_left_unread and error.reason in CONNECTION_END_REASONS:
            return LEFT_UNREAD_REASON
        return error.reason


class Attempt(BaseAttempt):
    """Request to one server, used as an asynchronous context manager.

    Every request to a server is sent through an attempt, so that each run is counted
    whatever its kind and its end.

    Parameters
    ----------
    pool : ConnectionPool
        Pool of connections to servers.
    run_monitor : RunMonitor
        Refuses requests that crash servers, and counts how runs end.
    notices : ServerNotices
        Counts the request, and receives what the response states about the server.
    server : BackendServer
        Server to send to.
    request_id : RequestId
        Id that the response must repeat.
    identity : RequestIdentity
        Identifies the request when its caller sends it again.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        run_monitor: RunMonitor,
        notices: ServerNotices,
        server: BackendServer,
        *,
        request_id: RequestId,
        identity: RequestIdentity,
    ) -> None:
        super().__init__(pool, server.address, request_id=request_id)
        self._run_monitor = run_monitor
        self._notices = notices
        self._server = server
        self._identity = identity
        self._run: ServerRun | None = None
        self._reply: ServerReply | None = None

    @property
    def server(self) -> BackendServer:
        """Server to send to."""
        return self._server

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Count the run, and return the connection to the pool or abort it."""
        if isinstance(exc, AttemptError) and exc.reason == "reset":
            self._report_trouble()
        if self._run is not None:
            self._run_monitor.finish(self._run, self._classify_end(exc))
            self._run = None
        await super().__aexit__(exc_type, exc, traceback)

    async def send(self, data: bytes, *, fresh: bool) -> None:
        """Send a complete request.

        Raises
        ------
        AttemptError
            If no connection can be opened, it has closed before sending, or the server
            takes no more requests, which proves that the request did not run.
        QuarantinedError
            If the request must not be sent, since it crashes servers.
        """
        # Counted before the first await, since the choice of the server relies on it.
        counted = self._notices.take_request(self._server)
        if counted is None:
            raise _withdrawn_error(self._notices.bound_cause(self._server))
        try:
            connection = await self._pool.acquire(self._address, fresh=fresh)
        except HttpConnectionError as error:
            if error.reason != _NO_DESCRIPTOR_REASON:
                self._report_trouble()
            raise AttemptError(
                error.reason, run_status=RunStatus.NOT_RUN, may_have_arrived=False
            ) from error
        self._connection = connection
        self._run_monitor.check(self._identity)
        # The server may have stated it while the connection was opened.
        cause = self._notices.refusal_cause(self._server)
        if cause is not None:
            raise _withdrawn_error(cause)
        if not self._notices.confirm_request(self._server, counted):
            raise _withdrawn_error(self._notices.bound_cause(self._server))
        try:
            connection.send(data)
        except HttpConnectionError as error:
            raise AttemptError(
                error.reason, run_status=RunStatus.NOT_RUN, may_have_arrived=False
            ) from error
        self._run = self._run_monitor.begin(
            self._identity, self._server, connected_at_s=connection.opened_at_s
        )
        self._run_monitor.contact.record_request(self._server.vm)

    async def read_head(self) -> tuple[ServerReply, ResponseHead]:
        """Return the head of the response to this request.

        Responses to other requests that arrive first are skipped.

        Raises
        ------
        AttemptError
            If the connection ends first, or only responses to other requests
            arrive.
        """
        connection = self._require_connection()
        try:
            for _ in range(_MAX_RESPONSES):
                head = await connection.read_head()
                self._run_monitor.contact.record_response(self._server.vm)
                reply = decode_server_reply(head)
                if self._is_own_response(reply):
                    self._reply = reply
                    self._record_notice(reply)
                    return reply, head
                connection.expect_another_response()
                await connection.skip_body(_MAX_SKIPPED_BODY_BYTES)
        except HttpConnectionError as error:
            raise self._lost_head_error(error) from error
        raise AttemptError(
            "foreign_responses",
            run_status=RunStatus.MAY_HAVE_RUN,
            may_have_arrived=True,
        )

    def record_silence(self) -> None:
        """Record that the request is sent again, since the server is silent."""
        self._report_trouble()
        if self._run is not None:
            self._run_monitor.record_silence(self._run)

    def record_event(self) -> None:
        """Record that a complete event of the answer has arrived."""
        self._run_monitor.contact.record_response(self._server.vm)
        if self._run is not None:
            self._run_monitor.record_event(self._run)

    def _report_trouble(self) -> None:
        self._run_monitor.contact.report_trouble(self._server.vm)

    def _classify_end(self, exc: BaseException | None) -> RunEnd:
        """Return how the run ended, given the exception that ended the attempt."""
        reply = self._reply
        if reply is not None and (reply.refused or reply.status >= 300):
            return RunEnd.SURVIVED
        if isinstance(exc, AttemptError):
            if exc.reason == _STALLED_REASON:
                return RunEnd.STALLED
            if exc.reason == LEFT_UNREAD_REASON:
                return RunEnd.LEFT_UNREAD
            survived = exc.reason in _SURVIVED_REASONS
            return RunEnd.SURVIVED if survived else RunEnd.CONNECTION_LOST
        if reply is not None and exc is None and self._body_complete:
            is_usable = reply.sealed and not reply.encoded
            return RunEnd.ANSWERED if is_usable else RunEnd.SURVIVED
        return RunEnd.UNANSWERED if reply is None else RunEnd.INTERRUPTED

    def _record_notice(self, reply: ServerReply) -> None:
        assert self._run is not None
        self._notices.record(
            self._server,
            reply.notice,
            sent_at_s=self._run.began_at_s,
            # A refusal or failure without a limit says nothing about it.
            confirms_no_limit=reply.sealed and reply.status < 300,
        )

    def _is_own_response(self, reply: ServerReply) -> bool:
        if reply.request_id == self._request_id:
            return True
        # An error response may lack the request id. A successful response without
        # it, or any on a connection in use again, could belong to another request.
        is_reused = self._require_connection().is_reused
        return reply.request_id is None and reply.status >= 400 and not is_reused


def _withdrawn_error(cause: WaitCause) -> AttemptError:
    """Return the error of a request that was not sent since the server takes none."""
    return AttemptError(
        _WITHDRAWN_REASONS[cause],
        run_status=RunStatus.NOT_RUN,
        may_have_arrived=False,
    )
