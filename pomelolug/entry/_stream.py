"""Forwarding of streams from replica groups."""

import asyncio
import datetime
import random
from collections.abc import AsyncIterator

from pomelolug.clock import Clock
from pomelolug.deployment import BackendServer, EngineProfile, ModelProfile
from pomelolug.entry._attempt import Attempt, AttemptError, RunStatus
from pomelolug.entry._choice import (
    Candidate,
    GroupSelector,
    estimate_first_event_s,
)
from pomelolug.entry._repeats import RetryLimiter
from pomelolug.entry._request_context import (
    RequestContext,
    not_run_error,
    server_wait_error,
    unknown_outcome_error,
)
from pomelolug.entry._request_record import AttemptRecord
from pomelolug.entry._run_monitor import RunMonitor
from pomelolug.entry._server_notices import ServerNotices
from pomelolug.entry._server_tracker import ServerTracker
from pomelolug.entry._watch import StallDetector
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.ids import VmId
from pomelolug.platform import EventSplitter, ServerReply, response_headers
from pomelolug.transport import ConnectionPool, ResponseHead

__all__ = ["StreamForwarder"]

_MAX_ATTEMPTS = 5
"""Maximum number of attempts, including those that a group refuses."""
_MAX_ERROR_BODY_BYTES = 1024 * 1024
_RETRY_AFTER_FULL = datetime.timedelta(seconds=1.3)
"""Retry-After time if all groups are full.

Groups fill up when one of them is lost, and a lost group serves again within two
seconds if a spare is ready.
"""
_RETRY_AFTER_NO_GROUP = datetime.timedelta(seconds=2)
"""Retry-After time if no group of the model is open."""
_RETRY_AFTER_JITTER = 0.15
"""Relative jitter of these times, so that callers do not retry simultaneously."""
_MAX_RESUME_WAIT_S = 1.0
"""Maximum time to wait for a group that can resume a stream."""
_RESUME_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class _StreamState:
    """State of one stream across its attempts."""

    __slots__ = (
        "attempt_count",
        "last_event_id",
        "possible_runs",
        "started",
        "tried",
        "use_fresh_connection",
    )

    def __init__(self, last_event_id: int | None) -> None:
        self.last_event_id = last_event_id
        self.started = False
        self.use_fresh_connection = False
        self.possible_runs = 0
        self.attempt_count = 0
        self.tried: set[VmId] = set()


class StreamForwarder:
    """Forwards streams and resumes them on another group when one is lost.

    Parameters
    ----------
    server_tracker : ServerTracker
        Groups and their load.
    pool : ConnectionPool
        Pool of connections to servers.
    retry_limiter : RetryLimiter
        Limits retries on further groups.
    stall_detector : StallDetector
        Aborts attempts at groups that have stalled.
    run_monitor : RunMonitor
        Refuses requests that crash servers.
    notices : ServerNotices
        What servers state about the requests that they take.
    group_selector : GroupSelector
        Selects the group of an attempt.
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
        group_selector: GroupSelector,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._server_tracker = server_tracker
        self._pool = pool
        self._retry_limiter = retry_limiter
        self._stall_detector = stall_detector
        self._run_monitor = run_monitor
        self._notices = notices
        self._group_selector = group_selector
        self._clock = clock
        self._rng = rng

    async def forward(self, context: RequestContext) -> None:
        """Forward a request and stream the events to the caller.

        Raises
        ------
        RequestError
            If no event was forwarded and no group accepts the request.
        """
        state = _StreamState(context.request_head.last_event_id)
        error: RequestError | None = None
        while state.attempt_count < _MAX_ATTEMPTS:
            head = await self._select_head(context, state)
            if head is None:
                break
            if state.attempt_count and not self._retry_limiter.try_spend(context):
                error = error or self._refused_error("the budget of repeats is used up")
                break
            state.attempt_count += 1
            state.tried.add(head.vm)
            try:
                if await self._run_attempt(context, head, state):
                    self._retry_limiter.on_success(context)
                    return
                self._server_tracker.record_refusal(head.vm)
                error = self._refused_error("no group took the request")
            except AttemptError as failure:
                if (
                    failure.stale_connection
                    and context.route.is_repeatable
                    and not state.use_fresh_connection
                ):
                    # The same server may be tried again, so that no further one
                    # needs to run the request.
                    state.use_fresh_connection = True
                    state.tried.discard(head.vm)
                    error = _to_request_error(failure, 1)
                    continue
                if failure.run_status is RunStatus.MAY_HAVE_RUN:
                    state.possible_runs += 1
                error = _to_request_error(failure, state.possible_runs)
                if not self._may_retry(context, state):
                    break
        self._fail(context, state, error)

    def _fail(
        self, context: RequestContext, state: _StreamState, error: RequestError | None
    ) -> None:
        """Cut the stream if it has started, otherwise raise the error to report."""
        if state.started:
            context.record.code = ErrorCode.STREAM_CUT
            context.exchange.abort()
            return
        if state.possible_runs and (error is None or error.outcome is Outcome.NOT_RUN):
            raise unknown_outcome_error(ErrorCode.BACKEND_LOST, "the group was lost")
        raise error or self._no_head_error(context)

    def _no_head_error(self, context: RequestContext) -> RequestError:
        """Return the error of a request for which no head was selected."""
        model = context.request_head.model
        wait = self._server_tracker.head_wait(model) if model is not None else None
        if wait is not None:
            return server_wait_error(wait, self._rng)
        has_groups = self._has_working_groups(context)
        retry_after = _RETRY_AFTER_FULL if has_groups else _RETRY_AFTER_NO_GROUP
        return _no_group_error(has_groups, self._add_jitter(retry_after))

    def _refused_error(self, message: str) -> RequestError:
        return _backend_refused_error(message, self._add_jitter(_RETRY_AFTER_FULL))

    def _add_jitter(self, wait: datetime.timedelta) -> datetime.timedelta:
        return wait * self._rng.uniform(
            1.0 - _RETRY_AFTER_JITTER, 1.0 + _RETRY_AFTER_JITTER
        )

    def _may_retry(self, context: RequestContext, state: _StreamState) -> bool:
        if not state.possible_runs:
            return True
        return (
            context.route.is_repeatable
            and state.possible_runs < context.route.max_attempts
        )

    async def _select_head(
        self, context: RequestContext, state: _StreamState
    ) -> BackendServer | None:
        """Return the head for the next attempt; a started stream waits for one."""
        until_s = self._clock.monotonic() + _MAX_RESUME_WAIT_S
        while True:
            candidate = self._group_selector.select(
                self._find_candidates(context, state)
            )
            if candidate is not None:
                return candidate.server
            if not state.started or self._clock.monotonic() >= until_s:
                return None
            await self._clock.sleep(_RESUME_POLL_INTERVAL)

    def _find_candidates(
        self, context: RequestContext, state: _StreamState
    ) -> list[Candidate]:
        engine, model = _engine_and_model(context)
        if engine is None or model is None:
            return []
        candidates = []
        target_s = context.route.latency_target.total_seconds()
        for head in self._server_tracker.heads(model.name):
            if head.vm in state.tried:
                continue
            in_flight = self._server_tracker.in_flight(head.vm)
            expected_delay_s = estimate_first_event_s(
                engine, model, in_flight, context.request_head.prompt_tokens
            )
            # A request beyond the slots also delays all requests behind it, so it
            # is sent only if it can meet the latency target.
            if in_flight < engine.slots or expected_delay_s <= target_s:
                candidates.append(Candidate(head, expected_delay_s))
        return candidates

    def _has_working_groups(self, context: RequestContext) -> bool:
        """Return whether the model has groups; all are full if none was selected."""
        return context.request_head.model is not None and bool(
            self._server_tracker.heads(context.request_head.model)
        )

    async def _run_attempt(
        self, context: RequestContext, head: BackendServer, state: _StreamState
    ) -> bool:
        """Send to one group; return whether the caller has its response."""
        assert context.request_head.model is not None
        record = AttemptRecord(
            head.vm,
            self._server_tracker.in_flight(head.vm),
            len(self._server_tracker.heads(context.request_head.model)),
            self._notices.request_limit_per_s(head.vm),
        )
        context.record.attempts.append(record)
        load = self._server_tracker.load(head.vm)
        load.in_flight += 1
        try:
            is_answered = await self._send_and_receive(context, head, state)
            record.result = "answered" if is_answered else "refused"
            return is_answered
        except AttemptError as failure:
            record.result = failure.reason
            if failure.run_status is RunStatus.NOT_RUN and failure.is_server_failure:
                self._server_tracker.suspect(head.vm)
            raise
        except asyncio.CancelledError:
            record.result = "cancelled"
            raise
        finally:
            load.in_flight -= 1

    async def _send_and_receive(
        self, context: RequestContext, head: BackendServer, state: _StreamState
    ) -> bool:
        now_s = self._clock.monotonic()
        data = context.encode_for_server(
            head.vm, now_s=now_s, last_event_id=state.last_event_id
        )
        async with Attempt(
            self._pool,
            self._run_monitor,
            self._notices,
            head,
            request_id=context.request_head.request_id,
            identity=context.identity,
        ) as attempt:
            await attempt.send(data, fresh=state.use_fresh_connection)
            context.record.attempts[-1].may_have_run = True
            watched_stream = self._stall_detector.add(
                head.vm, attempt, can_move=context.route.is_repeatable
            )
            try:
                reply, response_head = await attempt.read_head()
                if reply.refused:
                    context.record.attempts[-1].may_have_run = False
                    return False
                if not 200 <= reply.status < 300:
                    return await self._handle_error_response(
                        context, attempt, reply, response_head, state
                    )
                if reply.encoded or not reply.sealed:
                    raise AttemptError(
                        "foreign_body",
                        run_status=RunStatus.MAY_HAVE_RUN,
                        may_have_arrived=True,
                    )
                async for event_id, event in _read_events(attempt):
                    self._stall_detector.on_event(head.vm, watched_stream)
                    self._server_tracker.record_progress(head.vm)
                    attempt.record_event()
                    self._forward_event(context, response_head, state, event_id, event)
                    await context.exchange.drain()
            finally:
                self._stall_detector.remove(head.vm, watched_stream)
        if not state.started:
            self._start_response(context, response_head, state)
        context.exchange.finish()
        return True

    async def _handle_error_response(
        self,
        context: RequestContext,
        attempt: Attempt,
        reply: ServerReply,
        response_head: ResponseHead,
        state: _StreamState,
    ) -> bool:
        """Pass an error response on, or raise `AttemptError` instead.

        It raises if the response has started or a 5xx status can be retried.
        """
        body = await attempt.read_body(_MAX_ERROR_BODY_BYTES)
        can_retry = (
            context.route.is_repeatable
            and state.possible_runs + 1 < context.route.max_attempts
        )
        if state.started or (reply.status >= 500 and can_retry):
            raise AttemptError(
                "server_failed",
                run_status=RunStatus.MAY_HAVE_RUN,
                may_have_arrived=True,
            )
        context.record.status = reply.status
        context.exchange.reply(reply.status, response_headers(response_head), body)
        return True

    def _start_response(
        self, context: RequestContext, response_head: ResponseHead, state: _StreamState
    ) -> None:
        state.started = True
        context.record.status = response_head.status
        context.record.first_event_s = self._clock.monotonic() - context.arrived_at_s
        context.exchange.start(
            response_head.status, response_headers(response_head), length=None
        )

    def _forward_event(
        self,
        context: RequestContext,
        response_head: ResponseHead,
        state: _StreamState,
        event_id: int | None,
        event: bytes,
    ) -> None:
        """Send an event to the caller unless it has already received it.

        All events of a stream have ids, so what has none is not part of it.
        """
        if event_id is None:
            raise AttemptError(
                "event_unreadable",
                run_status=RunStatus.MAY_HAVE_RUN,
                may_have_arrived=True,
            )
        if state.last_event_id is not None:
            if event_id <= state.last_event_id:
                return
            if event_id != state.last_event_id + 1:
                raise AttemptError(
                    "event_missing",
                    run_status=RunStatus.MAY_HAVE_RUN,
                    may_have_arrived=True,
                )
        if not state.started:
            self._start_response(context, response_head, state)
        state.last_event_id = event_id
        context.record.event_count += 1
        context.exchange.write(event)


async def _read_events(attempt: Attempt) -> AsyncIterator[tuple[int | None, bytes]]:
    """Yield the id and bytes of each complete event of a body."""
    splitter = EventSplitter()
    while (data := await attempt.read_chunk()) is not None:
        try:
            events = splitter.feed(data)
        except ValueError as error:
            raise AttemptError(
                "event_size", run_status=RunStatus.MAY_HAVE_RUN, may_have_arrived=True
            ) from error
        for event in events:
            yield event.event_id, event.data
    if splitter.pending_bytes:
        raise AttemptError(
            "event_cut", run_status=RunStatus.MAY_HAVE_RUN, may_have_arrived=True
        )


def _engine_and_model(
    context: RequestContext,
) -> tuple[EngineProfile | None, ModelProfile | None]:
    engine = context.service.engine
    if engine is None or context.request_head.model is None:
        return engine, None
    return engine, engine.find_model(context.request_head.model)


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


def _no_group_error(has_groups: bool, retry_after: datetime.timedelta) -> RequestError:
    code = ErrorCode.QUEUE_FULL if has_groups else ErrorCode.NO_GROUP
    message = "all groups of the model are full" if has_groups else "no group is open"
    return RequestError(code, message, status=503, retry_after=retry_after)


def _to_request_error(failure: AttemptError, possible_runs: int) -> RequestError:
    if possible_runs:
        return unknown_outcome_error(
            ErrorCode.BACKEND_LOST, f"the group's answer was lost: {failure.reason}"
        )
    return not_run_error(ErrorCode.BACKEND_REFUSED, f"not sent: {failure.reason}")
