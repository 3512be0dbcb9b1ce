"""Forwarding of requests to plain services, whose responses are passed on whole."""

import asyncio
import contextlib
import dataclasses
import datetime
import random
from collections.abc import Collection

from pomelolug.clock import Clock
from pomelolug.deployment import Repeatability
from pomelolug.entry.losses import QuarantinedError, RunMonitor
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.requests._attempt import Attempt, AttemptError, RunStatus
from pomelolug.entry.requests._peer_forwarding import PeerRefusalError
from pomelolug.entry.requests._plain_chooser import PlainServerChooser
from pomelolug.entry.requests._repeats import RetryLimiter
from pomelolug.entry.requests._request_context import (
    RequestContext,
    not_run_error,
    unknown_outcome_error,
)
from pomelolug.entry.requests._request_exits import MAX_UNREACHED_SERVERS, RequestExits
from pomelolug.entry.requests._request_record import AttemptRecord
from pomelolug.entry.requests._tracebacks import drop_tracebacks
from pomelolug.entry.servers import ServerNotices, ServerOptions, ServerTracker
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.ids import VmId, ZoneId
from pomelolug.platform import ServerReply, response_headers
from pomelolug.transport import (
    BufferBudget,
    ConnectionPool,
    MemoryBudget,
    ResponseHead,
    RunningTimeLimit,
)

__all__ = ["PlainForwarder"]

_MAX_ATTEMPTS = 4
"""Maximum number of servers tried, including those that refuse the request."""
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_BUFFERED_BODY_BYTES = 32 * 1024 * 1024
"""Maximum size of all bodies in assembly, of the 200 MB of a small entry VM."""
_ATTEMPT_TIMEOUT_FACTOR = 1.5
"""Time after which a second server is tried, as a multiple of the latency target.

The first one may only pause, so the answer of whichever sends it first is used.
"""
_MAX_PAUSE_S = 2.0
"""Time in seconds for which a sound server may be silent."""
_REPLY_TIME_S = 0.05
"""Time in seconds before the deadline at which a failure is passed on at the latest."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Whole response of a server."""

    reply: ServerReply
    head: ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningAttempt:
    """Attempt that has not ended, and the monotonic time in seconds of its start."""

    attempt: Attempt
    began_at_s: float


@dataclasses.dataclass(slots=True)
class _PlainState:
    """State of one request across its attempts.

    `possible_runs` counts the ended attempts that may have run the request, and
    `unreached_count` the servers to which no connection has opened in a row.
    `has_unused_retry` tells whether the latest attempt has reached no server.
    `options` are the servers among which the latest choice was made.
    `failed_answer` is the latest response with which a server reports its own failure.
    """

    tried: set[VmId] = dataclasses.field(default_factory=set)
    running: dict[asyncio.Task[_Answer], _RunningAttempt] = dataclasses.field(
        default_factory=dict
    )
    attempt_count: int = 0
    possible_runs: int = 0
    unreached_count: int = 0
    has_unused_retry: bool = False
    may_start: bool = True
    options: ServerOptions | None = None
    failed_answer: _Answer | None = None
    error: RequestError | None = None
    quarantine: QuarantinedError | None = None


class PlainForwarder:
    """Forwards requests to the servers of a plain service.

    Parameters
    ----------
    server_tracker : ServerTracker
        Servers and their load.
    pool : ConnectionPool
        Pool of connections to servers.
    retry_limiter : RetryLimiter
        Limits retries on further servers.
    run_monitor : RunMonitor
        Refuses requests that crash servers.
    notices : ServerNotices
        What servers state about the requests that they take.
    delay_estimator : LearnedDelayEstimator
        Service times and limits of the servers, learned from the answers.
    exits : RequestExits
        Other nodes that get requests if this one reaches no server.
    memory_budget : MemoryBudget
        Budget that bodies in assembly are charged to.
    clock : Clock
        Source of monotonic time.
    zone : ZoneId
        Zone of this node.
    rng : random.Random
        Breaks ties between servers.
    """

    def __init__(
        self,
        *,
        server_tracker: ServerTracker,
        pool: ConnectionPool,
        retry_limiter: RetryLimiter,
        run_monitor: RunMonitor,
        notices: ServerNotices,
        delay_estimator: LearnedDelayEstimator,
        exits: RequestExits,
        memory_budget: MemoryBudget,
        clock: Clock,
        zone: ZoneId,
        rng: random.Random,
    ) -> None:
        self._server_tracker = server_tracker
        self._pool = pool
        self._retry_limiter = retry_limiter
        self._run_monitor = run_monitor
        self._notices = notices
        self._delay_estimator = delay_estimator
        self._exits = exits
        self._clock = clock
        self._rng = rng
        self._chooser = PlainServerChooser(
            server_tracker=server_tracker,
            notices=notices,
            delay_estimator=delay_estimator,
            zone=zone,
            rng=rng,
        )
        self._body_budget = BufferBudget(
            _MAX_BUFFERED_BODY_BYTES, memory_budget=memory_budget
        )

    async def forward(self, context: RequestContext) -> None:
        """Forward a request and send the response to the caller.

        Raises
        ------
        RequestError
            If no server returned a response that can be passed on.
        """
        state = _PlainState()
        is_answered = False
        if self._may_ask_nodes(context, state):
            is_answered = await self._ask_nodes(context, state)
        if not is_answered and not self._exits.is_needed(context):
            is_answered = await self._ask_servers(context, state)
            if not is_answered and self._may_ask_nodes(context, state):
                is_answered = await self._ask_nodes(context, state)
        if is_answered:
            return
        if state.failed_answer is not None:
            self._reply(context, state.failed_answer)
            return
        if state.quarantine is not None:
            raise state.quarantine
        options = state.options or self._chooser.find_options(context.service.name)
        raise state.error or self._chooser.no_server_error(options)

    async def _ask_servers(self, context: RequestContext, state: _PlainState) -> bool:
        """Send to servers; return whether the caller has the response of one."""
        try:
            while True:
                if self._may_start(context, state):
                    self._start_attempt(context, state)
                if not state.running:
                    return False
                answer = await self._wait_for_answer(context, state)
                if answer is not None:
                    self._reply(context, answer)
                    return True
        finally:
            for task in state.running:
                task.cancel()
            await asyncio.gather(*state.running, return_exceptions=True)

    # Other nodes

    def _may_ask_nodes(self, context: RequestContext, state: _PlainState) -> bool:
        return (
            state.failed_answer is None
            and state.quarantine is None
            and self._exits.may_use(context, unreached_count=state.unreached_count)
        )

    async def _ask_nodes(self, context: RequestContext, state: _PlainState) -> bool:
        """Pass the request on to other nodes, since this one reaches no server.

        Return whether the caller has the response of a server.

        Raises
        ------
        RequestError
            If another node decides that the request is not answered.
        """
        tried: set[str] = set()
        while self._may_run_again(context, state):
            address = self._exits.select(tried)
            if address is None:
                break
            if state.possible_runs and not self._try_spend(context, state):
                break
            tried.add(address)
            try:
                answer = await self._send_to_node(context, state, address)
            except AttemptError as failure:
                self._exits.avoid(address)
                state.has_unused_retry = failure.run_status is RunStatus.NOT_RUN
                if failure.run_status is RunStatus.MAY_HAVE_RUN:
                    state.possible_runs += 1
                    state.error = _to_request_error(failure, state.possible_runs)
            except PeerRefusalError as refusal:
                if not refusal.may_try_another:
                    raise _with_prior_runs(refusal.error, state) from None
                self._exits.avoid(address)
            else:
                self._reply(context, answer)
                return True
        if not state.possible_runs and (tried or self._exits.is_needed(context)):
            state.error = self._exits.unreachable_error()
        return False

    async def _send_to_node(
        self, context: RequestContext, state: _PlainState, address: str
    ) -> _Answer:
        """Pass the request on to a node, and return the response of a server."""
        attempt, record = self._exits.create_attempt(context, address)
        data = context.encode_for_peer(
            now_s=self._clock.monotonic(),
            last_event_id=context.request_head.last_event_id,
            possible_runs=context.prior_runs + state.possible_runs,
        )
        try:
            async with attempt:
                # A kept connection may have been closed unnoticed.
                await attempt.send(data, fresh=True)
                record.may_have_run = True
                reply, head = await attempt.read_head()
                body = await attempt.read_body(
                    _MAX_BODY_BYTES, budget=self._body_budget
                )
        except AttemptError as failure:
            record.result = failure.reason
            raise
        except PeerRefusalError as refusal:
            record.result = refusal.error.code.value
            record.may_have_run = not refusal.has_not_run
            raise
        except asyncio.CancelledError:
            record.result = "cancelled"
            raise
        record.result = str(reply.status)
        if reply.encoded or (reply.status < 300 and not reply.sealed):
            raise AttemptError(
                "foreign_body", run_status=RunStatus.MAY_HAVE_RUN, may_have_arrived=True
            )
        return _Answer(reply, head, body)

    # Servers

    def _may_start(self, context: RequestContext, state: _PlainState) -> bool:
        """Return whether a further server may get the request now.

        A server that is slow may have run the request, like one whose answer is lost.
        """
        return (
            state.may_start
            and state.attempt_count < _MAX_ATTEMPTS
            and state.unreached_count < MAX_UNREACHED_SERVERS
            and self._may_run_again(context, state)
        )

    def _may_run_again(self, context: RequestContext, state: _PlainState) -> bool:
        run_count = context.prior_runs + state.possible_runs + len(state.running)
        return not run_count or (
            context.route.is_repeatable and run_count < context.route.max_attempts
        )

    def _start_attempt(self, context: RequestContext, state: _PlainState) -> None:
        """Send to a further server, if there is one and the retry budget allows it."""
        state.options = self._chooser.find_options(context.service.name)
        server = self._chooser.select(state.options, state.tried)
        is_retry = state.attempt_count > 0
        if server is None or (is_retry and not self._try_spend(context, state)):
            state.may_start = False
            return
        state.attempt_count += 1
        state.tried.add(server.vm)
        record = AttemptRecord(
            server.vm,
            self._server_tracker.in_flight(server.vm),
            len(self._server_tracker.servers(context.service.name)),
            self._notices.request_limit_per_s(server.vm),
            self._notices.is_cold(server),
        )
        context.record.attempts.append(record)
        attempt = Attempt(
            self._pool,
            self._run_monitor,
            self._notices,
            server,
            request_id=context.request_head.request_id,
            identity=context.identity,
        )
        task = asyncio.get_running_loop().create_task(
            self._run_attempt(context, attempt, record)
        )
        # Counted from the choice on, so that requests of the same moment see it.
        load = self._server_tracker.load(server.vm)
        load.in_flight += 1
        task.add_done_callback(lambda ended: load.end_request())
        state.running[task] = _RunningAttempt(attempt, self._clock.monotonic())

    def _try_spend(self, context: RequestContext, state: _PlainState) -> bool:
        """Take a retry from the budget, unless the latest one has reached no server."""
        if state.has_unused_retry:
            state.has_unused_retry = False
            return True
        return self._retry_limiter.try_spend(context)

    async def _wait_for_answer(
        self, context: RequestContext, state: _PlainState
    ) -> _Answer | None:
        """Wait until an attempt ends, or is slow while another server may be tried.

        Return the answer to pass on, if there is one.
        """
        limit_s = self._slow_after_s(context, state)
        if state.failed_answer is not None:
            await asyncio.wait(
                state.running, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await _wait_while_running(state.running, limit_s)
        done = [task for task in state.running if task.done()]
        if not done and state.failed_answer is not None:
            return state.failed_answer
        if not done:
            for running in state.running.values():
                running.attempt.record_silence()
                self._record_failure(running)
            return None
        answers = [self._finish_attempt(context, state, task) for task in done]
        return next((answer for answer in answers if answer is not None), None)

    def _slow_after_s(
        self, context: RequestContext, state: _PlainState
    ) -> float | None:
        """Return the time in seconds after which an attempt counts as slow.

        If another server has reported its failure, that is passed on then. None if
        there is no such failure and no other server to try.
        """
        if not self._may_start(context, state):
            if state.failed_answer is None:
                return None
            left_s = context.deadline_at_s - self._clock.monotonic()
            return min(max(left_s - _REPLY_TIME_S, 0.0), _MAX_PAUSE_S)
        return context.route.latency_target.total_seconds() * _ATTEMPT_TIMEOUT_FACTOR

    def _finish_attempt(
        self,
        context: RequestContext,
        state: _PlainState,
        task: asyncio.Task[_Answer],
    ) -> _Answer | None:
        """Return the answer of an attempt that has ended, None if it has none."""
        running = state.running.pop(task)
        state.may_start = state.quarantine is None
        try:
            answer = task.result()
        except AttemptError as failure:
            if failure.is_server_failure:
                self._record_failure(running)
            if failure.run_status is RunStatus.MAY_HAVE_RUN:
                state.possible_runs += 1
                state.unreached_count = 0
            else:
                state.has_unused_retry = True
                state.unreached_count += failure.is_server_failure
            self._record_attempt_error(state, running.attempt, failure)
            drop_tracebacks(failure)
            return None
        except QuarantinedError as error:
            drop_tracebacks(error)
            # A server that is asked already may still answer.
            state.may_start = False
            state.quarantine = error
            return None
        if answer.reply.refused:
            state.error = (
                _backend_lost_error("the server refused a repeat")
                if state.possible_runs
                else not_run_error(
                    ErrorCode.BACKEND_REFUSED, "no server took the request"
                )
            )
            return None
        if context.promises_falsely(answer.reply.status):
            state.possible_runs += 1
            state.error = _backend_lost_error(
                f"the server answered {answer.reply.status}"
            )
            return None
        if answer.reply.status >= 500 and context.route.is_repeatable:
            self._server_tracker.record_failure(running.attempt.server.vm)
            state.possible_runs += 1
            state.failed_answer = answer
            return None
        return answer

    def _record_failure(self, running: _RunningAttempt) -> None:
        """Record that an attempt got no response, which the links may explain."""
        self._server_tracker.record_failure(
            running.attempt.server.vm, since_s=running.began_at_s
        )

    def _reply(self, context: RequestContext, answer: _Answer) -> None:
        self._retry_limiter.on_success(context)
        status = answer.reply.status
        context.record.status = status
        context.exchange.reply(status, response_headers(answer.head), answer.body)

    async def _run_attempt(
        self, context: RequestContext, attempt: Attempt, record: AttemptRecord
    ) -> _Answer:
        """Send to one server and return its whole response."""
        observation = self._delay_estimator.begin_answer(
            attempt.server, context.route.name, in_flight=record.in_flight
        )
        try:
            answer = await self._send_and_receive(context, attempt, record)
        except AttemptError as failure:
            record.result = failure.reason
            raise
        except QuarantinedError:
            record.result = "quarantined"
            raise
        except asyncio.CancelledError:
            # Another server has answered first, or the caller has left.
            record.result = "slow" if context.exchange.has_ended else "cancelled"
            if context.exchange.has_ended:
                observation.give_up()
            raise
        record.result = str(answer.reply.status)
        observation.end(is_sound=not answer.reply.refused and answer.reply.status < 300)
        return answer

    async def _send_and_receive(
        self, context: RequestContext, attempt: Attempt, record: AttemptRecord
    ) -> _Answer:
        at_most_once = context.route.repeatability is Repeatability.AT_MOST_ONCE
        data = context.encode_for_server(
            attempt.server.vm,
            now_s=self._clock.monotonic(),
            last_event_id=context.request_head.last_event_id,
        )
        async with attempt:
            # A pooled connection may have been closed unnoticed, and a request that
            # may run only once could then not be sent again.
            await attempt.send(data, fresh=at_most_once)
            record.may_have_run = True
            reply, response_head = await attempt.read_head()
            body = await attempt.read_body(_MAX_BODY_BYTES, budget=self._body_budget)
        if reply.refused:
            record.may_have_run = False
            return _Answer(reply, response_head, body)
        if reply.encoded or (reply.status < 300 and not reply.sealed):
            raise AttemptError(
                "foreign_body", run_status=RunStatus.MAY_HAVE_RUN, may_have_arrived=True
            )
        return _Answer(reply, response_head, body)

    def _record_attempt_error(
        self, state: _PlainState, attempt: Attempt, failure: AttemptError
    ) -> None:
        """Record the error of a failed attempt.

        A server that took no more requests may be chosen again once it does. If none
        is, the next choice tells why.
        """
        if not failure.was_withdrawn:
            state.error = _to_request_error(failure, state.possible_runs)
            return
        state.tried.discard(attempt.server.vm)
        if not state.possible_runs:
            state.error = None


async def _wait_while_running(
    tasks: Collection[asyncio.Task[_Answer]], limit_s: float | None
) -> None:
    """Wait until a task has ended, for a time that a pause of the node leaves out.

    The answers of servers wait for a node that has paused.
    """
    limit = (
        RunningTimeLimit(datetime.timedelta(seconds=limit_s))
        if limit_s is not None
        else contextlib.nullcontext()
    )
    with contextlib.suppress(TimeoutError):
        async with limit:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


def _to_request_error(failure: AttemptError, possible_runs: int) -> RequestError:
    if possible_runs:
        return _backend_lost_error(f"the server's answer was lost: {failure.reason}")
    return not_run_error(ErrorCode.BACKEND_REFUSED, f"not sent: {failure.reason}")


def _with_prior_runs(error: RequestError, state: _PlainState) -> RequestError:
    """Return the error of another node, given what may have run before it."""
    if state.possible_runs and error.outcome is Outcome.NOT_RUN:
        return _backend_lost_error(f"not answered elsewhere: {error}")
    return error


def _backend_lost_error(message: str) -> RequestError:
    return unknown_outcome_error(ErrorCode.BACKEND_LOST, message)
