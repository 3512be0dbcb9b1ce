"""Handling of callers' requests: routing, authentication, deadline, forwarding."""

import asyncio
import datetime
import random
from collections.abc import Callable
from typing import Any

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import Repeatability
from pomelolug.entry._metrics import EntryMetrics
from pomelolug.entry._topic_consumers import DeclarationCache
from pomelolug.entry.losses import (
    PoisonRequestDetector,
    QuarantinedError,
    RequestIdentity,
    RunMonitor,
)
from pomelolug.entry.requests._peer_forwarding import ForwardedRequest, decode_forwarded
from pomelolug.entry.requests._plain import PlainForwarder
from pomelolug.entry.requests._request_context import (
    RequestContext,
    not_run_error,
    reply_error,
    unknown_outcome_error,
)
from pomelolug.entry.requests._request_record import RequestRecord
from pomelolug.entry.requests._resolution import (
    authenticate,
    client_error,
    find_route,
    select_service,
    timeout_of,
    urgency_of,
)
from pomelolug.entry.requests._stream import StreamForwarder
from pomelolug.entry.requests._tracebacks import drop_tracebacks
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.feeds import TopicFeed
from pomelolug.ids import AccountId
from pomelolug.platform import RequestHead, decode_request_head
from pomelolug.transport import Exchange, RefusalCause

__all__ = ["RequestHandler"]

_log = structlog.get_logger(__name__)

_MAX_LOG_LINES_PER_S = 100.0
"""Log lines per second for answered requests; failures are always logged."""
_REFUSAL_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Retry-After time at the bound of memory or connections; most requests end sooner."""
_REFUSAL_JITTER = 0.2
"""Relative jitter of this time, so that callers do not return simultaneously."""
_REFUSALS = {
    RefusalCause.MEMORY: (ErrorCode.MEMORY_LIMIT, "the node holds too much"),
    RefusalCause.CONNECTIONS: (
        ErrorCode.CONNECTION_LIMIT,
        "the node has too many connections",
    ),
}


class RequestHandler:
    """Handles callers' requests.

    Parameters
    ----------
    declarations : DeclarationCache
        Declaration in force.
    server_feed : TopicFeed
        Feed of the server entries, whose age is logged.
    plain_forwarder, stream_forwarder : PlainForwarder, StreamForwarder
        Forward other requests and streams.
    poison_detector : PoisonRequestDetector
        Losses known of each request, which are logged.
    run_monitor : RunMonitor
        Refuses requests that crash servers.
    metrics : EntryMetrics
        Metrics of the process.
    is_stopping : callable
        Returns whether a planned stop has begun.
    may_end_before : callable
        Returns whether the process may end before a monotonic time.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Selects a service of the route by weight.
    """

    def __init__(
        self,
        *,
        declarations: DeclarationCache,
        server_feed: TopicFeed,
        plain_forwarder: PlainForwarder,
        stream_forwarder: StreamForwarder,
        poison_detector: PoisonRequestDetector,
        run_monitor: RunMonitor,
        metrics: EntryMetrics,
        is_stopping: Callable[[], bool],
        may_end_before: Callable[[float], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._declarations = declarations
        self._server_feed = server_feed
        self._plain_forwarder = plain_forwarder
        self._stream_forwarder = stream_forwarder
        self._poison_detector = poison_detector
        self._run_monitor = run_monitor
        self._metrics = metrics
        self._is_stopping = is_stopping
        self._may_end_before = may_end_before
        self._clock = clock
        self._rng = rng
        self._in_flight = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_ending = False
        self._request_count = 0
        self._log_limiter = _LogRateLimiter(clock.monotonic)

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    @property
    def has_received_request(self) -> bool:
        """Whether any request has been received since the start."""
        return self._request_count > 0

    def end_all(self) -> None:
        """Answer the requests that are in flight, because the process ends.

        Callers learn whether their request has run, as far as it is known, rather than
        finding their connection closed.
        """
        self._is_ending = True
        for task in list(self._tasks):
            task.cancel()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request; the task is cancelled when the caller disconnects."""
        await self._handle(exchange, is_forwarded=False)

    async def handle_forwarded(self, exchange: Exchange) -> None:
        """Handle a request that another node forwards for its caller.

        It is handled like one of a caller of this node, but never passed on again. An
        error that this node makes itself states its outcome in a header field.
        """
        await self._handle(exchange, is_forwarded=True)

    async def _handle(self, exchange: Exchange, *, is_forwarded: bool) -> None:
        arrived_at_s = self._clock.monotonic()
        request_head = decode_request_head(exchange.target, exchange.headers)
        record = RequestRecord(
            request_head.request_id,
            registry_age_s=self._server_feed.age_s,
            is_forwarded=is_forwarded,
        )
        self._request_count += 1
        self._in_flight += 1
        self._tasks.add(_current_task())
        try:
            self._check_refusal(exchange)
            forwarded = self._accept_forwarded(exchange) if is_forwarded else None
            context = self._build_context(
                exchange, request_head, record, arrived_at_s, forwarded
            )
            self._check_stop(context)
            await self._forward(context)
        except RequestError as error:
            if is_forwarded:
                error = _name_unreached_servers(error, record)
            _record_and_reply_error(exchange, request_head, record, error)
            drop_tracebacks(error)
        except asyncio.CancelledError as error:
            drop_tracebacks(error)
            if self._is_ending and not exchange.has_started:
                _record_and_reply_error(
                    exchange, request_head, record, _stop_error(record)
                )
                return
            record.status, record.code = 499, ErrorCode.CALLER_LEFT
            raise
        except Exception as error:
            _log.exception("request_failed", request=request_head.request_id)
            exchange.abort()
            drop_tracebacks(error)
        finally:
            self._in_flight -= 1
            self._tasks.discard(_current_task())
            self._record_outcome(record, arrived_at_s)

    def _check_refusal(self, exchange: Exchange) -> None:
        """Raise the error of a request that the node has no room for."""
        if exchange.refusal is None:
            return
        code, message = _REFUSALS[exchange.refusal]
        factor = 1.0 + self._rng.uniform(-_REFUSAL_JITTER, _REFUSAL_JITTER)
        raise RequestError(
            code,
            message,
            status=503,
            outcome=Outcome.NOT_RUN,
            retry_after=_REFUSAL_RETRY_AFTER * factor,
        )

    def _check_stop(self, context: RequestContext) -> None:
        """Raise the error of a request that the end of the process may cut off.

        Another node can take it at once, which its caller would not know later.
        """
        if self._may_end_before(context.deadline_at_s):
            raise RequestError(
                ErrorCode.DRAINING,
                "the node stops before the request may have ended",
                status=503,
                outcome=Outcome.NOT_RUN,
                retry_after=datetime.timedelta(0),
            )

    def _accept_forwarded(self, exchange: Exchange) -> ForwardedRequest:
        """Return what another node states about a request, unless it is refused.

        Raises
        ------
        RequestError
            If this node stops, cannot read what the other node states, or knows only
            an older declaration, which would come into force again for the caller.
        """
        if self._is_stopping():
            raise not_run_error(ErrorCode.DRAINING, "the node stops")
        forwarded = decode_forwarded(exchange.headers)
        if forwarded is None:
            raise client_error(
                400, ErrorCode.BAD_REQUEST, "the field of a forwarded request is wrong"
            )
        if forwarded.declaration_version > self._declarations.version:
            raise not_run_error(
                ErrorCode.NO_CONFIGURATION, "only an older declaration is known"
            )
        return forwarded

    def _build_context(
        self,
        exchange: Exchange,
        request_head: RequestHead,
        record: RequestRecord,
        arrived_at_s: float,
        forwarded: ForwardedRequest | None,
    ) -> RequestContext:
        declaration = self._declarations.current
        if declaration is None:
            raise not_run_error(
                ErrorCode.NO_CONFIGURATION, "no declaration is known yet"
            )
        record.declaration_version = declaration.version
        route = find_route(declaration, request_head)
        record.route = route.name
        client_account = authenticate(declaration, route, request_head)
        account = client_account.account_id if client_account is not None else None
        record.account = account
        identity = RequestIdentity.build(
            account,
            exchange.target,
            exchange.body,
            request_head.shared_prompt_parts,
        )
        record.identity = identity
        record.known_losses = self._poison_detector.loss_count(identity.request)
        timeout_s = timeout_of(route, request_head).total_seconds()
        return RequestContext(
            exchange=exchange,
            request_head=request_head,
            declaration=declaration,
            route=route,
            service=select_service(declaration, route, self._rng),
            account=AccountId(account) if account is not None else None,
            urgency=urgency_of(route, client_account),
            arrived_at_s=arrived_at_s,
            deadline_at_s=arrived_at_s + timeout_s,
            identity=identity,
            record=record,
            is_forwarded=forwarded is not None,
            prior_runs=forwarded.possible_runs if forwarded is not None else 0,
        )

    async def _forward(self, context: RequestContext) -> None:
        is_stream = context.route.repeatability is Repeatability.STREAM
        forwarder = (
            self._stream_forwarder
            if is_stream or context.service.engine is not None
            else self._plain_forwarder
        )
        try:
            self._run_monitor.check(context.identity)
            async with asyncio.timeout_at(context.deadline_at_s):
                await forwarder.forward(context)
        except TimeoutError:
            if context.exchange.has_started:
                _cut_stream(context)
            elif context.may_have_run:
                raise unknown_outcome_error(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "no answer in time",
                    status=504,
                ) from None
            else:
                raise not_run_error(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "no server in time",
                ) from None
        except QuarantinedError as error:
            context.record.mark_last_attempt("quarantined")
            if context.exchange.has_started:
                _cut_stream(context)
            elif context.may_have_run:
                raise unknown_outcome_error(
                    ErrorCode.BACKEND_LOST, str(error)
                ) from None
            else:
                raise RequestError(
                    ErrorCode.QUARANTINED,
                    str(error),
                    status=503,
                    outcome=Outcome.NOT_RUN,
                    retry_after=error.retry_after,
                ) from None

    def _record_outcome(self, record: RequestRecord, arrived_at_s: float) -> None:
        took_s = self._clock.monotonic() - arrived_at_s
        code = record.code.value if record.code is not None else ""
        self._metrics.answers.labels(str(record.status), code).inc()
        self._metrics.whole_seconds.observe(took_s)
        if record.first_event_s is not None:
            self._metrics.first_event_seconds.observe(record.first_event_s)
        for index, attempt in enumerate(record.attempts):
            self._metrics.attempts.labels(attempt.result).inc()
            self._metrics.group_choices.labels(attempt.choice.value).inc()
            if attempt.limit_per_s is not None:
                self._metrics.limited_attempts.inc()
            if attempt.is_cold:
                self._metrics.cold_attempts.inc()
            if index:
                reason = record.attempts[index - 1].result
                self._metrics.repeats.labels(reason).inc()
        if record.code is not None or self._log_limiter.try_acquire():
            _log.info("request", took_s=round(took_s, 4), **record.log_fields())


def _current_task() -> asyncio.Task[Any]:
    """Return the current task.

    A frame that keeps it in a variable forms a cycle with the error of the task.
    """
    task = asyncio.current_task()
    assert task is not None
    return task


def _stop_error(record: RequestRecord) -> RequestError:
    message = "the node stops before the request was answered"
    if any(attempt.may_have_run for attempt in record.attempts):
        return unknown_outcome_error(ErrorCode.DRAINING, message)
    return not_run_error(ErrorCode.DRAINING, message)


def _name_unreached_servers(error: RequestError, record: RequestRecord) -> RequestError:
    """Return the error for another node, which may reach the servers elsewhere.

    A refusal by servers has the same code as servers that this node did not reach,
    and only in the latter case is it useful to ask a further node.
    """
    if error.code is not ErrorCode.BACKEND_REFUSED or not record.has_reached_no_server:
        return error
    return RequestError(
        ErrorCode.BACKEND_UNREACHABLE,
        "no server was reached",
        status=error.status,
        outcome=error.outcome,
        retry_after=error.retry_after,
    )


def _cut_stream(context: RequestContext) -> None:
    context.record.code = ErrorCode.STREAM_CUT
    context.exchange.abort()


def _record_and_reply_error(
    exchange: Exchange,
    request_head: RequestHead,
    record: RequestRecord,
    error: RequestError,
) -> None:
    record.status, record.code = error.status, error.code
    retry_after = error.retry_after
    reply_error(
        exchange,
        error,
        request_head,
        retry_after.total_seconds() if retry_after is not None else None,
        is_forwarded=record.is_forwarded,
    )


class _LogRateLimiter:
    """Token bucket that limits the rate of log lines."""

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._tokens = _MAX_LOG_LINES_PER_S
        self._refilled_at_s: float | None = None

    def try_acquire(self) -> bool:
        """Take a token; return whether a line may be logged."""
        now_s = self._monotonic()
        if self._refilled_at_s is not None:
            refill = (now_s - self._refilled_at_s) * _MAX_LOG_LINES_PER_S
            self._tokens = min(self._tokens + refill, _MAX_LOG_LINES_PER_S)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
