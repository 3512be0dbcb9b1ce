"""Forwarding of streams from replica groups and from plain services."""

import asyncio
import datetime
import random
from typing import TypeAlias

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer
from pomelolug.entry.losses import QuarantinedError, RunMonitor
from pomelolug.entry.requests._attempt import Attempt, AttemptError
from pomelolug.entry.requests._group_chooser import SelectedServer
from pomelolug.entry.requests._peer_forwarding import PeerRefusalError
from pomelolug.entry.requests._repeats import RetryLimiter
from pomelolug.entry.requests._request_context import (
    RequestContext,
    not_run_error,
    unknown_outcome_error,
)
from pomelolug.entry.requests._request_exits import MAX_UNREACHED_SERVERS, RequestExits
from pomelolug.entry.requests._request_record import AttemptRecord, GroupChoice
from pomelolug.entry.requests._stream_decisions import (
    RETRY_AFTER_FULL,
    add_jitter,
    may_pass_stream_on,
)
from pomelolug.entry.requests._stream_run import (
    RefusedError,
    ServerError,
    StreamRun,
    lost_run_error,
)
from pomelolug.entry.requests._stream_servers import StreamServers
from pomelolug.entry.requests._stream_state import StreamState
from pomelolug.entry.servers import (
    ServerNotices,
    ServerOptions,
    ServerTracker,
    StallDetector,
)
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.platform import (
    ServerSentEvent,
    continues_stream,
    response_headers,
)
from pomelolug.transport import ConnectionPool

__all__ = ["StreamForwarder"]

_MAX_ATTEMPTS = 5
"""Maximum number of attempts, including those that a group refuses."""
_RUN_ERRORS = (RefusedError, ServerError, PeerRefusalError, AttemptError)
_RunError: TypeAlias = RefusedError | ServerError | PeerRefusalError | AttemptError


class StreamForwarder:
    """Forwards streams and resumes them on another group when one is lost.

    A group that stalls may be lost or only pause. So its stream is kept until another
    group has sent the next event, and goes on with whichever sends it first. A server
    of a plain service is treated like the head of a group that has no other members.

    Parameters
    ----------
    server_tracker : ServerTracker
        Servers and their load.
    pool : ConnectionPool
        Pool of connections to servers.
    retry_limiter : RetryLimiter
        Limits retries on further groups.
    stall_detector : StallDetector
        Notices groups that have stalled.
    run_monitor : RunMonitor
        Refuses requests that crash servers.
    notices : ServerNotices
        What servers state about the requests that they take.
    group_servers : StreamServers
        Chooses the group of a run, for services with an inference engine.
    plain_servers : StreamServers
        Chooses the server of a run, for the other services.
    exits : RequestExits
        Other nodes that get requests if this one reaches no server.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Jitters retry times.
    """

    def __init__(
        self,
        *,
        server_tracker: ServerTracker,
        pool: ConnectionPool,
        retry_limiter: RetryLimiter,
        stall_detector: StallDetector,
        run_monitor: RunMonitor,
        notices: ServerNotices,
        group_servers: StreamServers,
        plain_servers: StreamServers,
        exits: RequestExits,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._server_tracker = server_tracker
        self._pool = pool
        self._retry_limiter = retry_limiter
        self._stall_detector = stall_detector
        self._run_monitor = run_monitor
        self._notices = notices
        self._group_servers = group_servers
        self._plain_servers = plain_servers
        self._exits = exits
        self._clock = clock
        self._rng = rng

    def _servers(self, context: RequestContext) -> StreamServers:
        """Return the servers among which the runs of a request are placed."""
        has_engine = context.service.engine is not None
        return self._group_servers if has_engine else self._plain_servers

    async def forward(self, context: RequestContext) -> None:
        """Forward a request and stream the events to the caller.

        Raises
        ------
        RequestError
            If no event was forwarded and no group accepts the request.
        """
        state = StreamState(context.request_head.last_event_id)
        try:
            while True:
                run = await self._next_run(context, state)
                if run is None:
                    break
                if await self._forward_run(context, state, run):
                    self._retry_limiter.on_success(context)
                    return
                if self._has_decisive_error(state):
                    break
                if state.replacement is None and not self._may_retry(context, state):
                    break
        finally:
            await self._end_move(state)
        if state.server_error is not None and not state.started:
            self._reply_error(context, state.server_error)
            return
        self._fail(context, state, state.error)

    async def _next_run(
        self, context: RequestContext, state: StreamState
    ) -> StreamRun | None:
        """Return the run to read from next, None if no group takes the request."""
        if state.move is not None:
            # The current run has ended while another group was looked for.
            await state.move
            state.move = None
        if state.replacement is not None:
            run, state.replacement = state.replacement, None
            return run
        is_resumed = state.started or (
            context.is_forwarded and state.last_event_id is not None
        )
        return await self._start_run(context, state, waits=is_resumed)

    async def _start_run(
        self, context: RequestContext, state: StreamState, *, waits: bool
    ) -> StreamRun | None:
        """Send the request to the next group that takes it, None if there is none.

        Another node gets it if this one does not reach the groups.

        Parameters
        ----------
        waits : bool
            Whether to wait for a moment until a group has room.
        """
        if self._may_use_exits(context, state):
            run = await self._start_run_at_node(context, state)
            if run is not None or self._exits.is_needed(context):
                return run
        run = await self._start_run_at_group(context, state, waits=waits)
        if run is None and self._may_use_exits(context, state):
            return await self._start_run_at_node(context, state)
        return run

    def _may_use_exits(self, context: RequestContext, state: StreamState) -> bool:
        if state.repeats_at is not None:
            # A node might choose a further server.
            return False
        return may_pass_stream_on(
            context,
            server_tracker=self._server_tracker,
            exits=self._exits,
            unreached_count=state.unreached_count,
        )

    async def _start_run_at_node(
        self, context: RequestContext, state: StreamState
    ) -> StreamRun | None:
        """Pass the request on to another node, None if none takes it."""
        while (address := self._exits.select(state.tried_nodes)) is not None:
            run_count = len(state.run_servers) + (state.current is not None)
            if run_count and not self._try_spend(context, state):
                return None
            state.tried_nodes.add(address)
            attempt, record = self._exits.create_attempt(context, address)
            run = StreamRun(address, attempt, record, on_close=_do_nothing)
            data = context.encode_for_peer(
                now_s=self._clock.monotonic(),
                last_event_id=state.last_event_id,
                possible_runs=context.prior_runs + run_count,
            )
            try:
                is_fresh = state.use_fresh_connection or not context.route.is_repeatable
                await run.send(data, fresh=is_fresh)
            except AttemptError as failure:
                await run.close(failure, failure.reason)
                state.has_unused_retry = True
                self._exits.avoid(address)
                continue
            except BaseException as error:
                await run.close(error, "cancelled")
                raise
            return run
        has_no_group = (
            state.error is not None and state.error.code is ErrorCode.NO_GROUP
        )
        if self._exits.is_needed(context) or (state.tried_nodes and not has_no_group):
            state.error = self._exits.unreachable_error()
        return None

    async def _start_run_at_group(
        self, context: RequestContext, state: StreamState, *, waits: bool
    ) -> StreamRun | None:
        while (
            state.attempt_count < _MAX_ATTEMPTS
            and state.unreached_count < MAX_UNREACHED_SERVERS
        ):
            selected = await self._select(context, state, waits=waits)
            if selected is None:
                return None
            if isinstance(selected, ServerOptions):
                state.options = selected
                return None
            state.options = None
            server = selected.server
            if state.attempt_count and not self._try_spend(context, state):
                selected.end()
                message = "the budget of repeats is used up"
                state.error = state.error or self._refused_error(message)
                return None
            state.attempt_count += 1
            state.tried.add(server.vm)
            run = self._create_run(context, selected)
            data = context.encode_for_server(
                server.vm,
                now_s=self._clock.monotonic(),
                last_event_id=state.last_event_id,
            )
            began_at_s = self._clock.monotonic()
            try:
                await run.send(data, fresh=state.use_fresh_connection)
            except AttemptError as failure:
                await run.close(failure, failure.reason)
                state.has_unused_retry = True
                if failure.is_server_failure:
                    self._servers(context).record_unreached(server, since_s=began_at_s)
                    state.unreached_count += 1
                self._record_attempt_error(state, server, failure)
                continue
            except BaseException as error:
                is_quarantined = isinstance(error, QuarantinedError)
                await run.close(error, "quarantined" if is_quarantined else "cancelled")
                raise
            state.unreached_count = 0
            self._watch_run(context, state, run, server)
            return run
        return None

    async def _select(
        self, context: RequestContext, state: StreamState, *, waits: bool
    ) -> SelectedServer | ServerOptions | None:
        """Return the server of the next run, None if no further one may run it."""
        servers = self._servers(context)
        vm, state.repeats_at = state.repeats_at, None
        if vm is not None:
            options = servers.find_options(context)
            server = next((s for s in options.accepting if s.vm == vm), None)
            if server is not None:
                return SelectedServer(server, GroupChoice.REPEATED)
        if not self._may_retry(context, state, running=state.current is not None):
            return None
        return await servers.select(context, state.tried, waits=waits)

    def _try_spend(self, context: RequestContext, state: StreamState) -> bool:
        """Take a retry from the budget, unless the latest one has reached no server."""
        if state.has_unused_retry:
            state.has_unused_retry = False
            return True
        return self._retry_limiter.try_spend(context)

    def _create_run(
        self, context: RequestContext, selected: SelectedServer
    ) -> StreamRun:
        server = selected.server
        record = AttemptRecord(
            server.vm,
            selected.load
            if selected.assignment is not None
            else self._server_tracker.in_flight(server.vm),
            len(self._servers(context).find_options(context).accepting),
            self._notices.request_limit_per_s(server.vm),
            self._notices.is_cold(server),
            choice=selected.choice,
        )
        context.record.attempts.append(record)
        load = self._server_tracker.load(server.vm)
        load.in_flight += 1

        def release() -> None:
            load.end_request()
            selected.end()

        attempt = Attempt(
            self._pool,
            self._run_monitor,
            self._notices,
            server,
            request_id=context.request_head.request_id,
            identity=context.identity,
        )
        return StreamRun(server, attempt, record, on_close=release)

    def _watch_run(
        self,
        context: RequestContext,
        state: StreamState,
        run: StreamRun,
        server: BackendServer,
    ) -> None:
        """Notice stalls and events of a run whose request has just been sent."""
        vm = server.vm
        can_move = context.route.is_repeatable
        observation = self._servers(context).begin_observation(
            context, server, in_flight=run.record.in_flight
        )
        watched = self._stall_detector.add(
            vm,
            move=(lambda: self._on_stall(context, state, run)) if can_move else None,
        )

        def record_event() -> None:
            self._stall_detector.on_event(vm, watched)
            self._server_tracker.record_progress(vm)
            observation.record_event()

        def set_held(is_held: bool) -> None:
            self._stall_detector.set_held(watched, is_held)
            observation.set_held(is_held)

        def close() -> None:
            self._stall_detector.remove(vm, watched)
            observation.end(is_sound=run.record.result == "answered")

        run.observe(on_event=record_event, on_hold=set_held, on_close=close)

    async def _forward_run(
        self, context: RequestContext, state: StreamState, run: StreamRun
    ) -> bool:
        """Forward the events of a run; return whether the caller has its response."""
        error: BaseException | None = None
        result = "cancelled"
        state.current = run
        try:
            while (event := await run.next_event()) is not None:
                if state.move is not None and state.replacement is None:
                    # The group has only paused.
                    await self._end_move(state)
                self._forward_event(context, run, state, event)
                if not context.exchange.is_writable:
                    # A caller who does not read says nothing about the group.
                    run.hold(True)
                    await context.exchange.drain()
                    run.hold(False)
            if not state.started:
                self._start_response(context, run, state)
            _check_continuation(run, state)
            context.exchange.finish()
            result = "answered"
            return True
        except _RUN_ERRORS as caught:
            error = caught
            result = _result_of(caught)
            if isinstance(caught, ServerError):
                if (
                    not state.started
                    and not self._can_retry_error(context, state, caught)
                    and not context.promises_falsely(caught.head.status)
                ):
                    self._reply_error(context, caught)
                    result = "answered"
                    return True
            self._record_failure(context, state, run, caught)
            return False
        except BaseException as caught:
            error = caught
            raise
        finally:
            state.current = None
            await run.close(error, result)
            # This frame is in the traceback of the error.
            error = None

    def _record_failure(
        self,
        context: RequestContext,
        state: StreamState,
        run: StreamRun,
        error: _RunError,
    ) -> None:
        """Record why a run has ended without a response for the caller."""
        if isinstance(error, PeerRefusalError):
            self._record_peer_refusal(state, run, error)
            return
        if isinstance(error, RefusedError):
            if isinstance(run.target, BackendServer):
                self._server_tracker.record_refusal(run.target.vm)
            state.error = self._refused_error("no group took the request")
            return
        if isinstance(error, ServerError) and not context.promises_falsely(
            error.head.status
        ):
            state.server_error = error
        if isinstance(run.target, BackendServer) and _is_server_failure(error):
            self._servers(context).record_failed_run(
                run.target, since_s=context.arrived_at_s
            )
        state.count_run(run.target)
        is_stale = isinstance(error, AttemptError) and error.stale_connection
        if is_stale and context.route.is_repeatable and not state.use_fresh_connection:
            # The server may have closed the connection before the request arrived, or
            # have run it. It may run it once more, which takes no further server.
            state.use_fresh_connection = True
            if isinstance(run.target, BackendServer):
                state.repeats_at = run.target.vm
        state.error = _to_request_error(_result_of(error), state.possible_runs)

    def _has_decisive_error(self, state: StreamState) -> bool:
        """Return whether a server has rejected the request for good."""
        error = state.server_error
        return error is not None and error.head.status < 500 and not state.started

    def _record_peer_refusal(
        self, state: StreamState, run: StreamRun, refusal: PeerRefusalError
    ) -> None:
        """Record the error of another node, which decides unless it is cut off too."""
        assert isinstance(run.target, str)
        state.error = refusal.error
        if refusal.may_try_another:
            self._exits.avoid(run.target)
            return
        if not refusal.has_not_run:
            state.count_run(run.target)
        # While an earlier run goes on, other nodes may still be asked.
        state.is_refused = state.current in (None, run)

    # Moves

    def _on_stall(
        self, context: RequestContext, state: StreamState, run: StreamRun
    ) -> None:
        """Ask a further group if the group of a run has stalled."""
        if run is state.current:
            self._start_move(context, state, run)
            return
        # Another group was asked because of the stall of the first one.
        running = 2 if state.current is not None else 1
        if state.replacement is None and self._may_retry(
            context, state, running=running
        ):
            run.abort("stalled")

    def _start_move(
        self, context: RequestContext, state: StreamState, run: StreamRun
    ) -> None:
        """Look for a group that goes on with a stream whose group has stalled."""
        is_moving = state.move is not None and not state.move.done()
        if is_moving or state.replacement is not None:
            return
        if self._may_retry(context, state, running=1):
            run.record_silence()
            state.move = asyncio.get_running_loop().create_task(
                self._move(context, state, run)
            )

    async def _move(
        self, context: RequestContext, state: StreamState, run: StreamRun
    ) -> None:
        """Replace a run by one at another group that has sent the next event."""
        await self._exits.check_contact(context)
        while self._may_retry(context, state, running=1):
            try:
                other = await self._start_run(context, state, waits=False)
            except QuarantinedError:
                return
            if other is None:
                return
            error: BaseException | None = None
            result = "cancelled"
            try:
                has_event = await other.read_after(state.last_event_id)
                _check_continuation(other, state)
                if not has_event and state.current is run:
                    # The first group knows better whether its stream has ended.
                    raise lost_run_error("ended_early")
                state.replacement = other
                run.abort("stalled")
                return
            except _RUN_ERRORS as caught:
                error, result = caught, _result_of(caught)
                self._record_failure(context, state, other, caught)
                if self._has_decisive_error(state):
                    run.abort("stalled")
                    return
            except BaseException as caught:
                error = caught
                state.count_run(other.target)
                raise
            finally:
                if state.replacement is not other:
                    await other.close(error, result)
                error = None

    async def _end_move(self, state: StreamState) -> None:
        """Give up the search for another group, and the run that it has found."""
        move, state.move = state.move, None
        if move is not None:
            move.cancel()
            await asyncio.gather(move, return_exceptions=True)
        replacement, state.replacement = state.replacement, None
        if replacement is not None:
            await replacement.close(asyncio.CancelledError(), "cancelled")

    def _fail(
        self, context: RequestContext, state: StreamState, error: RequestError | None
    ) -> None:
        """Cut the stream if it has started, otherwise raise the error to report."""
        if state.started:
            context.record.code = ErrorCode.STREAM_CUT
            context.exchange.abort()
            return
        if state.possible_runs and (error is None or error.outcome is Outcome.NOT_RUN):
            raise unknown_outcome_error(ErrorCode.BACKEND_LOST, "the group was lost")
        servers = self._servers(context)
        options = state.options or servers.find_options(context)
        raise error or servers.no_server_error(options)

    def _record_attempt_error(
        self, state: StreamState, server: BackendServer, failure: AttemptError
    ) -> None:
        """Record the error of a request that was not sent.

        A server that took no more requests may be chosen again once it does. If none
        is, the next choice tells why.
        """
        if not failure.was_withdrawn:
            state.error = _to_request_error(failure, state.possible_runs)
            return
        state.tried.discard(server.vm)
        if not state.possible_runs:
            state.error = None

    def _refused_error(self, message: str) -> RequestError:
        return _backend_refused_error(message, add_jitter(RETRY_AFTER_FULL, self._rng))

    def _may_retry(
        self, context: RequestContext, state: StreamState, *, running: int = 0
    ) -> bool:
        """Return whether a further group may run the request.

        Parameters
        ----------
        running : int
            Number of runs that go on.
        """
        server_count = context.prior_runs + len(state.run_servers) + running
        if state.is_refused:
            return False
        if not server_count:
            return True
        return context.route.is_repeatable and (
            state.repeats_at is not None or server_count < context.route.max_attempts
        )

    def _can_retry_error(
        self, context: RequestContext, state: StreamState, error: ServerError
    ) -> bool:
        return error.head.status >= 500 and self._may_retry(context, state, running=1)

    def _reply_error(self, context: RequestContext, error: ServerError) -> None:
        head = error.head
        context.record.status = head.status
        context.exchange.reply(head.status, response_headers(head), error.body)

    def _start_response(
        self, context: RequestContext, run: StreamRun, state: StreamState
    ) -> None:
        head = run.response_head
        state.response_head = head
        context.record.status = head.status
        context.record.first_event_s = self._clock.monotonic() - context.arrived_at_s
        context.exchange.start(head.status, response_headers(head), length=None)

    def _forward_event(
        self,
        context: RequestContext,
        run: StreamRun,
        state: StreamState,
        event: ServerSentEvent,
    ) -> None:
        """Send an event to the caller unless it has already received it.

        All events of a stream have ids, so what has none is not part of it.
        """
        event_id = event.event_id
        if event_id is None:
            raise lost_run_error("event_unreadable")
        _check_continuation(run, state)
        if state.last_event_id is not None:
            if event_id <= state.last_event_id:
                return
            if event_id != state.last_event_id + 1:
                raise lost_run_error("event_missing")
        if not state.started:
            self._start_response(context, run, state)
        state.last_event_id = event_id
        context.record.event_count += 1
        context.exchange.write(event.data)


def _check_continuation(run: StreamRun, state: StreamState) -> None:
    """Raise an error if the response of a run cannot go on with the caller's one."""
    head, first = run.response_head, state.response_head
    if head is first or first is None:
        return
    if not continues_stream(head, first):
        raise lost_run_error("foreign_body")


def _do_nothing() -> None:
    """Do nothing: the other node counts the load of the run."""


def _backend_refused_error(
    message: str, retry_after: datetime.timedelta
) -> RequestError:
    return RequestError(
        ErrorCode.BACKEND_REFUSED,
        message,
        status=503,
        outcome=Outcome.NOT_RUN,
        retry_after=retry_after,
    )


def _to_request_error(reason: str | AttemptError, possible_runs: int) -> RequestError:
    if isinstance(reason, AttemptError):
        reason = reason.reason
    if possible_runs:
        return unknown_outcome_error(
            ErrorCode.BACKEND_LOST, f"the group's answer was lost: {reason}"
        )
    return not_run_error(ErrorCode.BACKEND_REFUSED, f"not sent: {reason}")


def _is_server_failure(error: ServerError | AttemptError) -> bool:
    if isinstance(error, ServerError):
        return error.head.status >= 500
    return error.is_server_failure and not error.stale_connection


def _result_of(error: _RunError) -> str:
    if isinstance(error, PeerRefusalError):
        return error.error.code.value
    if isinstance(error, RefusedError):
        return "refused"
    return "server_failed" if isinstance(error, ServerError) else error.reason
