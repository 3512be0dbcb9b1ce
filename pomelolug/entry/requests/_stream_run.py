"""Run of a stream at one server, from the request to the last event."""

from collections.abc import Callable

from pomelolug.deployment import BackendServer
from pomelolug.entry.requests._attempt import (
    Attempt,
    AttemptError,
    BaseAttempt,
    RunStatus,
)
from pomelolug.entry.requests._peer_forwarding import PeerRefusalError
from pomelolug.entry.requests._request_record import AttemptRecord
from pomelolug.platform import EventSplitter, ServerReply, ServerSentEvent
from pomelolug.transport import ResponseHead

__all__ = ["RefusedError", "ServerError", "StreamRun", "lost_run_error"]

_MAX_ERROR_BODY_BYTES = 1024 * 1024


class RefusedError(Exception):
    """The server states that it has not run the request."""


class ServerError(Exception):
    """The server has run the request and responds with an error.

    Parameters
    ----------
    head : ResponseHead
        Status and header fields of the response.
    body : bytes
        Complete body of the response.
    """

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        super().__init__(f"status {head.status}")
        self._head = head
        self._body = body

    @property
    def head(self) -> ResponseHead:
        """Status and header fields of the response."""
        return self._head

    @property
    def body(self) -> bytes:
        """Complete body of the response."""
        return self._body


class StreamRun:
    """Run of a stream at one server.

    Parameters
    ----------
    target : BackendServer or str
        Server that runs the stream, or address of the node that it is passed on to.
    attempt : BaseAttempt
        Attempt that the run reads from, which `close` ends.
    record : AttemptRecord
        Record of the attempt.
    on_close : callable
        Called once when the run ends.
    """

    def __init__(
        self,
        target: BackendServer | str,
        attempt: BaseAttempt,
        record: AttemptRecord,
        *,
        on_close: Callable[[], None],
    ) -> None:
        self._target = target
        self._attempt = attempt
        self._record = record
        self._on_event: Callable[[], None] | None = None
        self._on_hold: Callable[[bool], None] | None = None
        self._on_close = [on_close]
        self._head: ResponseHead | None = None
        self._splitter = EventSplitter()
        self._events: list[ServerSentEvent] = []
        self._has_ended = False
        self._is_closed = False

    @property
    def response_head(self) -> ResponseHead:
        """Head of the response, which is known once an event has been read."""
        assert self._head is not None
        return self._head

    @property
    def target(self) -> BackendServer | str:
        """Server that runs the stream, or address of the node it is passed on to."""
        return self._target

    @property
    def record(self) -> AttemptRecord:
        """Record of the attempt."""
        return self._record

    def observe(
        self,
        *,
        on_event: Callable[[], None],
        on_hold: Callable[[bool], None],
        on_close: Callable[[], None],
    ) -> None:
        """Call functions when an event arrives, on each `hold`, and at the end."""
        self._on_event = on_event
        self._on_hold = on_hold
        self._on_close.append(on_close)

    async def send(self, data: bytes, *, fresh: bool) -> None:
        """Send the request; see `Attempt.send`."""
        await self._attempt.send(data, fresh=fresh)
        self._record.may_have_run = True

    async def read_after(self, last_event_id: int | None) -> bool:
        """Read up to the event that the caller needs next; `next_event` returns it.

        Parameters
        ----------
        last_event_id : int or None
            Id of the last event that the caller has.

        Returns
        -------
        bool
            Whether there is such an event, rather than the end of the stream.

        Raises
        ------
        RefusedError, ServerError, PeerRefusalError
            As `next_event`.
        AttemptError
            As `next_event`, and if the next event is not the one after the last.
        """
        while (event := await self.next_event()) is not None:
            if event.event_id is None:
                raise lost_run_error("event_unreadable")
            if last_event_id is None or event.event_id == last_event_id + 1:
                self._events.append(event)
                return True
            if event.event_id > last_event_id:
                raise lost_run_error("event_missing")
        return False

    async def next_event(self) -> ServerSentEvent | None:
        """Return the next complete event, None at the end of the stream.

        Raises
        ------
        RefusedError
            If the server has not run the request.
        ServerError
            If the response is a whole error response.
        PeerRefusalError
            If another node makes an error instead of a server.
        AttemptError
            If the connection or the response is broken.
        """
        if not self._events:
            await self._read_events()
        return self._events.pop() if self._events else None

    def hold(self, is_held: bool) -> None:
        """State whether nothing is read, since the caller does not read."""
        if self._on_hold is not None:
            self._on_hold(is_held)

    def record_silence(self) -> None:
        """Record that the request is sent again, since the server is silent."""
        if isinstance(self._attempt, Attempt):
            self._attempt.record_silence()

    def abort(self, reason: str) -> None:
        """End the run; a pending read fails with `reason`."""
        self._attempt.abort(reason)

    async def close(self, error: BaseException | None, result: str) -> None:
        """End the run and record its result, unless it has been closed before.

        Parameters
        ----------
        error : BaseException or None
            Error that ended the run.
        result : str
            Short name of how it ended.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._record.result = result
        if isinstance(error, RefusedError) or (
            isinstance(error, PeerRefusalError) and error.has_not_run
        ):
            self._record.may_have_run = False
        is_whole = isinstance(error, RefusedError | ServerError | PeerRefusalError)
        cause = None if is_whole else error
        kind = type(cause) if cause is not None else None
        await self._attempt.__aexit__(kind, cause, None)
        for on_close in self._on_close:
            on_close()
        # The functions refer to the run, and so to the request.
        self._on_event = self._on_hold = None
        self._on_close.clear()

    async def _read_events(self) -> None:
        """Read until an event has arrived, or the stream has ended."""
        if self._head is None:
            reply, self._head = await self._attempt.read_head()
            await self._check_reply(reply, self._head)
        while not self._events and not self._has_ended:
            data = await self._attempt.read_chunk()
            if data is None:
                self._end()
                return
            try:
                self._events = self._splitter.feed(data)[::-1]
            except ValueError as error:
                raise lost_run_error("event_size") from error
            for _ in self._events:
                if self._on_event is not None:
                    self._on_event()
                self._attempt.record_event()

    async def _check_reply(self, reply: ServerReply, head: ResponseHead) -> None:
        if reply.refused:
            raise RefusedError
        if not 200 <= reply.status < 300:
            body = await self._attempt.read_body(_MAX_ERROR_BODY_BYTES)
            raise ServerError(head, body)
        if reply.encoded or not reply.sealed:
            raise lost_run_error("foreign_body")

    def _end(self) -> None:
        self._has_ended = True
        if self._splitter.pending_bytes:
            raise lost_run_error("event_cut")


def lost_run_error(reason: str) -> AttemptError:
    """Return the error of a run whose response is broken."""
    return AttemptError(
        reason, run_status=RunStatus.MAY_HAVE_RUN, may_have_arrived=True
    )
