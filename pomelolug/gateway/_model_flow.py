"""A model request from admission to its last token."""

import contextlib
import datetime
from collections.abc import AsyncIterator

import structlog

from pomelolug.admission import AdmissionQueue, AdmissionRequest
from pomelolug.claims import ClaimClient, ClaimTicket
from pomelolug.clock import Clock
from pomelolug.engines import Engine, EngineRequest
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway._attempt import AttemptResult, Progress, run_attempt
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._parsing import CallerRequest
from pomelolug.gateway._sinks import AnswerSink
from pomelolug.invariants import Invariants
from pomelolug.messages import GroupStatus
from pomelolug.retries import Containment, RetryBudget, RunMode
from pomelolug.routing import RoutingView

__all__ = ["ModelFlow"]

_log = structlog.get_logger()
_GAP_FACTOR = 4
_MIN_GAP = datetime.timedelta(seconds=1)
_MIN_FIRST = datetime.timedelta(seconds=2)
_MAX_ATTEMPTS = 4
_GROUP_POLL = datetime.timedelta(milliseconds=50)
_RETRY_AFTER = datetime.timedelta(seconds=1)
_RESOLVE_LIMIT = datetime.timedelta(seconds=3)
_REFUSED_PAUSE = datetime.timedelta(milliseconds=20)


class ModelFlow:
    """Runs model requests: admit, claim, choose, dispatch, resume, account.

    Parameters
    ----------
    engine : Engine
        Adapter of the engines.
    view : RoutingView
        Replica groups that this gateway may use.
    queue : AdmissionQueue
        Admission control of this gateway.
    claims : ClaimClient
        Decides who may dispatch a non-idempotent request.
    budget : RetryBudget
        Bounds further attempts.
    containment : Containment
        Knows the requests that crash their groups.
    losses : LossReporter
        Tracks requests in flight on each group.
    invariants : Invariants
        Run-time assertions.
    metrics : GatewayMetrics
        Counters.
    decisions : DecisionLog
        Keeps recent decisions for operators.
    clock : Clock
        Time source.
    write_timeout : datetime.timedelta
        How long a caller may leave data unread.
    """

    def __init__(
        self,
        *,
        engine: Engine,
        view: RoutingView,
        queue: AdmissionQueue,
        claims: ClaimClient,
        budget: RetryBudget,
        containment: Containment,
        losses: LossReporter,
        invariants: Invariants,
        metrics: GatewayMetrics,
        decisions: DecisionLog,
        clock: Clock,
        write_timeout: datetime.timedelta,
    ) -> None:
        self._engine = engine
        self._view = view
        self._queue = queue
        self._claims = claims
        self._budget = budget
        self._containment = containment
        self._losses = losses
        self._invariants = invariants
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock
        self._write_timeout = write_timeout

    async def run(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Serve `request`; the answer or an error event goes to `sink`.

        Raises
        ------
        RequestError
            If the request ends without a complete answer.
        """
        started = self._clock.monotonic()
        if self._containment.may_run(request.fingerprint) is RunMode.QUARANTINED:
            raise _quarantined()
        deadline = started + request.work_class.deadline.total_seconds()
        async with self._permit(request, deadline):
            async with self._ticket(request) as ticket:
                progress = Progress(request.request_id, started)
                await self._attempts(request, sink, progress, deadline, ticket)
        self._record_latency(request, progress)

    @contextlib.asynccontextmanager
    async def _permit(
        self, request: CallerRequest, deadline: float
    ) -> AsyncIterator[None]:
        permit = await self._queue.admit(
            AdmissionRequest(
                request_id=request.request_id,
                work_class=request.work_class,
                account=request.account.name,
                weight=request.account.weight,
                deadline_s=deadline - self._clock.monotonic(),
                cost=float(request.completion["max_tokens"]),
            )
        )
        try:
            yield
        finally:
            permit.release()

    @contextlib.asynccontextmanager
    async def _ticket(
        self, request: CallerRequest
    ) -> AsyncIterator[ClaimTicket | None]:
        if request.idempotent:
            yield None
            return
        async with self._claims.claim(
            account=request.account.name,
            idempotency_key=request.idempotency_key,
            body=request.body,
        ) as ticket:
            yield ticket

    async def _attempts(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: Progress,
        deadline: float,
        ticket: ClaimTicket | None,
    ) -> None:
        tried: set[str] = set()
        attempts = 0
        while True:
            group = await self._choose(request, progress, deadline, tried, ticket)
            if ticket is not None:
                ticket.dispatch()
            attempts += 1
            result = await self._attempt(request, sink, progress, group, deadline)
            self._decisions.note(request.request_id, group.group, result.value)
            if result is AttemptResult.COMPLETE:
                if ticket is not None:
                    ticket.answered()
                self._budget.on_success(
                    request.work_class.name, request.account.name, group.pool
                )
                return
            harmless = result in (AttemptResult.REFUSED, AttemptResult.NOT_REACHED)
            if ticket is not None:
                # Nothing ran if the group refused or was never reached; any
                # other end leaves open whether the request took effect.
                if harmless and not progress.maybe_ran:
                    ticket.not_dispatched()
                else:
                    ticket.unknown()
                    raise _outcome_unknown(result)
            tried.add(group.group)
            await self._before_retry(
                request, progress, result, group, attempts, deadline
            )

    async def _choose(
        self,
        request: CallerRequest,
        progress: Progress,
        deadline: float,
        tried: set[str],
        ticket: ClaimTicket | None,
    ) -> GroupStatus:
        pool = request.work_class.pool
        while True:
            mode = self._containment.may_run(request.fingerprint)
            if mode is RunMode.QUARANTINED:
                raise _quarantined(progress)
            solo = mode is RunMode.SOLO
            exclude = self._losses.groups_with_suspect() if solo else frozenset()
            group = self._view.choose(pool, exclude=exclude | tried, solo=solo)
            if group is None and tried:
                group = self._view.choose(pool, exclude=exclude, solo=solo)
            # Nothing may be awaited between this check and the dispatch.
            if group is not None and self._view.is_dispatchable(
                group.group, group.token
            ):
                return group
            if self._clock.monotonic() >= deadline:
                raise self._no_group(progress)
            await self._clock.sleep(_GROUP_POLL)

    def _no_group(self, progress: Progress) -> RequestError:
        if progress.maybe_ran:
            return _stream_cut("no replica group could continue the answer")
        return RequestError(
            ErrorCode.NO_GROUP,
            "no replica group serves this class now",
            status=503,
            retry_after=_RETRY_AFTER,
        )

    async def _attempt(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: Progress,
        group: GroupStatus,
        deadline: float,
    ) -> AttemptResult:
        work_class = request.work_class
        order = EngineRequest(
            request_id=request.request_id,
            group=group.group,
            token=group.token,
            body=request.completion,
            priority=work_class.priority,
            resume_from=progress.position,
            deadline_s=max(0.0, deadline - self._clock.monotonic()),
        )
        self._invariants.check_dispatch(group)
        self._view.on_dispatch(group.group, request.request_id)
        before = self._clock.monotonic()
        ok = False
        with self._losses.in_flight(group, request.fingerprint, request.request_id):
            try:
                result = await run_attempt(
                    self._engine,
                    group.leader,
                    order,
                    sink,
                    progress,
                    clock=self._clock,
                    metrics=self._metrics,
                    first_timeout=max(
                        _MIN_FIRST, _GAP_FACTOR * work_class.ttft_target
                    ),
                    gap_timeout=max(_MIN_GAP, _GAP_FACTOR * work_class.gap_target),
                    write_timeout=self._write_timeout,
                )
                ok = result is AttemptResult.COMPLETE
                if result in (AttemptResult.CUT, AttemptResult.SILENT):
                    progress.maybe_ran = True
                    self._losses.on_broken_stream(group, request.fingerprint, result)
            finally:
                self._view.on_finish(
                    group.group,
                    request.request_id,
                    ok=ok,
                    service_time_s=self._clock.monotonic() - before,
                )
        if result is AttemptResult.REFUSED:
            self._view.on_refused(group.group, progress.refusal)
        return result

    async def _before_retry(
        self,
        request: CallerRequest,
        progress: Progress,
        result: AttemptResult,
        group: GroupStatus,
        attempts: int,
        deadline: float,
    ) -> None:
        self._metrics.retries.labels(result.value).inc()
        if progress.refusal == "bad_request":
            raise RequestError(
                ErrorCode.BAD_REQUEST, "the engine refused the request", status=400
            )
        late = self._clock.monotonic() >= deadline
        if late or attempts >= _MAX_ATTEMPTS:
            raise self._gave_up(progress, result)
        if result is AttemptResult.REFUSED:
            # The group refused because the table is behind; the pause lets the
            # next table arrive. Nothing ran, so no budget is spent.
            await self._clock.sleep(_REFUSED_PAUSE)
            return
        allowed = self._budget.try_spend(
            request.work_class.name, request.account.name, group.pool
        )
        if not allowed:
            raise self._gave_up(progress, result, ErrorCode.RETRY_BUDGET_EXHAUSTED)
        if attempts > 1 and result is not AttemptResult.NOT_REACHED:
            # A request that broke two groups must not reach a third before it
            # is known whether they were lost.
            await self._losses.resolved(group, _RESOLVE_LIMIT)

    def _gave_up(
        self,
        progress: Progress,
        result: AttemptResult,
        code: ErrorCode = ErrorCode.BACKEND_LOST,
    ) -> RequestError:
        if progress.position:
            return _stream_cut(f"the answer broke off: {result.value}")
        return RequestError(
            code,
            f"no replica group completed the request: {result.value}",
            status=503,
            outcome=Outcome.UNKNOWN if progress.maybe_ran else Outcome.NOT_RUN,
            retry_after=_RETRY_AFTER,
        )

    def _record_latency(self, request: CallerRequest, progress: Progress) -> None:
        if progress.first_token_at is None or progress.last_token_at is None:
            return
        name = request.work_class.name
        ttft = progress.first_token_at - progress.started
        self._metrics.ttft.labels(name).observe(ttft)
        if progress.position > 1:
            span = progress.last_token_at - progress.first_token_at
            self._metrics.gap.labels(name).observe(span / (progress.position - 1))


def _stream_cut(message: str) -> RequestError:
    return RequestError(
        ErrorCode.STREAM_CUT,
        message,
        status=502,
        outcome=Outcome.UNKNOWN,
        retry_after=_RETRY_AFTER,
    )


def _quarantined(progress: Progress | None = None) -> RequestError:
    ran = progress is not None and progress.maybe_ran
    return RequestError(
        ErrorCode.QUARANTINED,
        "this request crashed the replica groups that ran it",
        status=422,
        outcome=Outcome.UNKNOWN if ran else Outcome.NOT_RUN,
    )


def _outcome_unknown(result: AttemptResult) -> RequestError:
    return RequestError(
        ErrorCode.OUTCOME_UNKNOWN,
        f"the request may have run: {result.value}; it will not be run again",
        status=502,
        outcome=Outcome.UNKNOWN,
    )
