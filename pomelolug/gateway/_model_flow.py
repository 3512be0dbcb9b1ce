"""A model request from admission to its last token."""

import contextlib
import dataclasses
import datetime
from collections.abc import AsyncIterator, Iterator

from pomelolug.admission import AdmissionQueue, AdmissionRequest, Permit
from pomelolug.claims import ClaimTicket
from pomelolug.clock import Clock
from pomelolug.engines import Engine, EngineRequest
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.gateway import _request_errors as request_errors
from pomelolug.gateway._attempt import AttemptResult, Progress, run_attempt
from pomelolug.gateway._claiming import Claimant
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._parsing import DEFAULT_MAX_TOKENS, CallerRequest
from pomelolug.gateway._placement import Placement
from pomelolug.gateway._sinks import AnswerSink
from pomelolug.ids import AccountId, ClassName, GroupId, PoolId, RequestId
from pomelolug.invariants import InvariantChecker
from pomelolug.messages import GroupStatus
from pomelolug.retries import Containment, RetryBudget
from pomelolug.routing import RoutingView

__all__ = ["ModelFlow"]

_GAP_FACTOR = 4
_MIN_GAP = datetime.timedelta(seconds=1)
_MIN_FIRST = datetime.timedelta(seconds=2)
_MAX_ATTEMPTS = 4
# Longest wait of an admitted request whose groups have just been lost; a repair
# takes longer, so that waiting on would only delay the refusal.
_GROUP_PATIENCE = datetime.timedelta(seconds=5)
_REFUSED_PAUSE = datetime.timedelta(milliseconds=20)
_LOST = "lost"
_HARMLESS = frozenset({AttemptResult.REFUSED, AttemptResult.NOT_REACHED})


@dataclasses.dataclass(slots=True)
class _Job:
    """One request on its way; `tried` holds the groups that failed it."""

    request: CallerRequest
    sink: AnswerSink
    progress: Progress
    deadline: float
    permit: Permit
    ticket: ClaimTicket | None
    tried: set[GroupId] = dataclasses.field(default_factory=set)
    attempts: int = 0


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
    claims : Claimant
        Decides who may dispatch a non-idempotent request.
    budget : RetryBudget
        Bounds further attempts.
    containment : Containment
        Knows the requests that crash their groups.
    losses : LossReporter
        Tracks requests in flight on each group.
    placement : Placement
        Chooses the group of each attempt.
    invariants : InvariantChecker
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
        claims: Claimant,
        budget: RetryBudget,
        containment: Containment,
        losses: LossReporter,
        placement: Placement,
        invariants: InvariantChecker,
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
        self._placement = placement
        self._invariants = invariants
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock
        self._write_timeout = write_timeout

    async def run(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Serve `request`; the tokens go to `sink`.

        Raises
        ------
        RequestError
            If the request ends without a complete answer.
        """
        started = self._clock.monotonic()
        self._placement.check(request.fingerprint, maybe_ran=False)
        deadline = started + request.work_class.deadline.total_seconds()
        progress = Progress(request.request_id, started)
        try:
            async with self._permit(request, deadline) as permit:
                async with self._ticket(request) as ticket:
                    job = _Job(request, sink, progress, deadline, permit, ticket)
                    await self._run_attempts(job)
        except RequestError as error:
            raise self._invariants.correct_outcome(
                error, maybe_ran=progress.maybe_ran, request_id=request.request_id
            ) from error
        self._record_latency(request, progress)

    @contextlib.asynccontextmanager
    async def _permit(
        self, request: CallerRequest, deadline: float
    ) -> AsyncIterator[Permit]:
        permit = await self._queue.admit(
            AdmissionRequest(
                request_id=RequestId(request.request_id),
                work_class=request.work_class,
                account=AccountId(request.account.name),
                weight=request.account.weight,
                deadline_s=deadline - self._clock.monotonic(),
                cost=request.completion["max_tokens"] / DEFAULT_MAX_TOKENS,
                max_in_flight=request.account.max_in_flight,
            )
        )
        try:
            yield permit
        finally:
            permit.release()

    @contextlib.asynccontextmanager
    async def _ticket(
        self, request: CallerRequest
    ) -> AsyncIterator[ClaimTicket | None]:
        if request.idempotent and not self._placement.is_struck(request.fingerprint):
            yield None
            return
        if request.idempotent:
            until = self._clock.monotonic() + _GROUP_PATIENCE.total_seconds()
            async with self._claims.alone(
                request.fingerprint,
                until=until,
                check=lambda: self._placement.check(
                    request.fingerprint, maybe_ran=False
                ),
            ):
                yield None
            return
        async with self._claims.claimed(request, request.body) as ticket:
            yield ticket

    async def _run_attempts(self, job: _Job) -> None:
        while True:
            group = await self._choose(job)
            if job.ticket is not None:
                self._invariants.check_single_dispatch(
                    maybe_ran=job.progress.maybe_ran,
                    request_id=job.request.request_id,
                )
            if job.ticket is not None and not job.ticket.try_dispatch():
                raise request_errors.backend_lost(
                    "the claim is too old", maybe_ran=False
                )
            job.attempts += 1
            result = await self._attempt(job, group)
            self._decisions.record(job.request.request_id, group.group, result.value)
            if result is AttemptResult.COMPLETE:
                self._complete(job, group)
                return
            if job.ticket is not None:
                self._settle_ticket(job, job.ticket, result)
            job.tried.add(GroupId(group.group))
            await self._before_retry(job, group, result)

    def _complete(self, job: _Job, group: GroupStatus) -> None:
        if job.ticket is not None:
            job.ticket.mark_answered()
        self._containment.on_success(job.request.fingerprint)
        self._budget.on_success(
            ClassName(job.request.work_class.name),
            AccountId(job.request.account.name),
            PoolId(group.pool),
        )

    def _settle_ticket(
        self, job: _Job, ticket: ClaimTicket, result: AttemptResult
    ) -> None:
        """Allow a further attempt only with proof that nothing ran."""
        if result in _HARMLESS and not job.progress.maybe_ran:
            ticket.revert_dispatch()
            return
        ticket.mark_unknown()
        raise request_errors.outcome_unknown(result.value)

    async def _choose(self, job: _Job) -> GroupStatus:
        until = job.deadline
        if not job.progress.position:
            patience_s = _GROUP_PATIENCE.total_seconds()
            until = min(until, self._clock.monotonic() + patience_s)
        group = await self._placement.choose(
            PoolId(job.request.work_class.pool),
            job.request.fingerprint,
            tried=job.tried,
            until=until,
            maybe_ran=job.progress.maybe_ran,
        )
        if group is None:
            raise self._without_group(job)
        return group

    def _without_group(self, job: _Job) -> RequestError:
        if job.progress.position:
            return request_errors.stream_cut("no replica group could continue it")
        if job.progress.maybe_ran:
            return request_errors.backend_lost(
                "no replica group is left", maybe_ran=True
            )
        return request_errors.no_backend("replica group")

    async def _attempt(self, job: _Job, group: GroupStatus) -> AttemptResult:
        request, progress = job.request, job.progress
        work_class = request.work_class
        order = EngineRequest(
            request_id=request.request_id,
            group=group.group,
            token=group.token,
            body=request.completion,
            priority=work_class.priority,
            resume_from=progress.position,
            deadline_s=max(0.0, job.deadline - self._clock.monotonic()),
        )
        self._invariants.check_dispatch(group)
        with self._counted(job, group) as ended:
            ended.result = await run_attempt(
                self._engine,
                group.leader,
                order,
                job.sink,
                progress,
                clock=self._clock,
                metrics=self._metrics,
                first_timeout=max(_MIN_FIRST, _GAP_FACTOR * work_class.ttft_target),
                gap_timeout=max(_MIN_GAP, _GAP_FACTOR * work_class.gap_target),
                write_timeout=self._write_timeout,
            )
        if ended.result in (AttemptResult.CUT, AttemptResult.SILENT):
            progress.maybe_ran = True
            self._losses.on_broken_stream(group, request.fingerprint)
        if ended.result is AttemptResult.REFUSED:
            self._view.on_refused(GroupId(group.group), progress.refusal)
        elif ended.result is not AttemptResult.COMPLETE:
            # Nothing more is sent there until the group is verified again.
            self._view.on_refused(GroupId(group.group), _LOST)
        return ended.result

    @contextlib.contextmanager
    def _counted(self, job: _Job, group: GroupStatus) -> Iterator["_Ended"]:
        """Count the request as in flight on `group` inside the context."""
        group_id = GroupId(group.group)
        request_id = RequestId(job.request.request_id)
        fingerprint = job.request.fingerprint
        solo = self._placement.is_struck(fingerprint)
        self._view.on_dispatch(group_id, request_id, solo=solo)
        job.permit.mark_dispatched()
        before = self._clock.monotonic()
        ended = _Ended()
        try:
            with self._losses.in_flight(group, fingerprint, request_id):
                yield ended
        finally:
            # A caller that leaves or does not read is no failure of the group,
            # and its time there says nothing about others.
            complete = ended.result is AttemptResult.COMPLETE
            spent_s = self._clock.monotonic() - before
            self._view.on_finish(
                group_id,
                request_id,
                ok=complete or ended.result is None,
                service_time_s=spent_s if complete else None,
            )

    async def _before_retry(
        self, job: _Job, group: GroupStatus, result: AttemptResult
    ) -> None:
        progress = job.progress
        if progress.refusal == "bad_request":
            raise RequestError(
                ErrorCode.BAD_REQUEST, "the engine refused the request", status=400
            )
        if self._clock.monotonic() >= job.deadline or job.attempts >= _MAX_ATTEMPTS:
            raise self._gave_up(job, result)
        self._metrics.retries.labels(result.value).inc()
        if result is AttemptResult.REFUSED:
            # The group refused because the table is behind; the pause lets the
            # next table arrive. Nothing ran, so no budget is spent.
            await self._clock.sleep(_REFUSED_PAUSE)
            return
        allowed = self._budget.try_spend(
            ClassName(job.request.work_class.name),
            AccountId(job.request.account.name),
            PoolId(group.pool),
        )
        if not allowed:
            raise self._gave_up(job, result, ErrorCode.RETRY_BUDGET_EXHAUSTED)

    def _gave_up(
        self,
        job: _Job,
        result: AttemptResult,
        code: ErrorCode = ErrorCode.BACKEND_LOST,
    ) -> RequestError:
        if job.progress.position:
            return request_errors.stream_cut(result.value)
        return request_errors.backend_lost(
            result.value, maybe_ran=job.progress.maybe_ran, code=code
        )

    def _record_latency(self, request: CallerRequest, progress: Progress) -> None:
        if progress.first_token_at is None or progress.last_token_at is None:
            return
        name = request.work_class.name
        ttft = progress.first_token_at - progress.started
        self._metrics.ttft_seconds.labels(name).observe(ttft)
        if progress.position > 1:
            span = progress.last_token_at - progress.first_token_at
            self._metrics.token_gap_seconds.labels(name).observe(
                span / (progress.position - 1)
            )


@dataclasses.dataclass(slots=True)
class _Ended:
    """How an attempt ended; None if it was cancelled or the caller failed."""

    result: AttemptResult | None = None
