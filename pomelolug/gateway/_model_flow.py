"""Handling of model requests, from admission to the last token."""

import contextlib
import dataclasses
import datetime
from collections.abc import AsyncIterator, Iterator

from pomelolug.admission import AdmissionQueue, AdmissionRequest, Permit
from pomelolug.claims import ClaimTicket
from pomelolug.clock import Clock
from pomelolug.engines import EngineClient, GenerationRequest
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.gateway import _request_errors as request_errors
from pomelolug.gateway._attempt import AttemptResult, Progress, run_attempt
from pomelolug.gateway._claiming import Claimant
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._parsing import DEFAULT_MAX_TOKENS, CallerRequest
from pomelolug.gateway._placement import Placement
from pomelolug.gateway._sinks import ResponseSink
from pomelolug.ids import AccountId, GroupId, PoolId, RequestId, WorkClassName
from pomelolug.invariants import InvariantChecker
from pomelolug.messages import GroupStatus
from pomelolug.retries import Containment, RetryBudget
from pomelolug.routing import RoutingView

__all__ = ["ModelRequestHandler"]

# An attempt times out after this multiple of the latency targets of the work class, but
# not before the minimum timeouts.
_TIMEOUT_FACTOR = 4
_MIN_GAP_TIMEOUT = datetime.timedelta(seconds=1)
_MIN_FIRST_TIMEOUT = datetime.timedelta(seconds=2)
_MAX_ATTEMPTS = 4
# Longest time that an admitted request waits for a usable group before its first token,
# for example after the loss of its groups. The repair of a group takes longer, so
# waiting longer would only delay the error.
_MAX_GROUP_WAIT = datetime.timedelta(seconds=5)
_REFUSAL_RETRY_DELAY = datetime.timedelta(milliseconds=20)
_LOST_REASON = "lost"
_NOT_RUN_RESULTS = frozenset({AttemptResult.REFUSED, AttemptResult.NOT_REACHED})


@dataclasses.dataclass(slots=True)
class _RequestState:
    """State of a request that is being handled.

    `deadline_s` is a monotonic time. `failed_groups` contains the groups on which an
    attempt has failed.
    """

    request: CallerRequest
    sink: ResponseSink
    progress: Progress
    deadline_s: float
    permit: Permit
    ticket: ClaimTicket | None
    failed_groups: set[GroupId] = dataclasses.field(default_factory=set)
    attempts: int = 0


class ModelRequestHandler:
    """Handles model requests.

    A request is admitted, claimed if necessary, and dispatched to a group. If the
    stream of an idempotent request breaks, it is resumed at the position that it has
    reached, if possible on another group.

    Parameters
    ----------
    engine : EngineClient
        Client of the engines.
    view : RoutingView
        View of the replica groups that this gateway may use.
    queue : AdmissionQueue
        Admission control of this gateway.
    claims : Claimant
        Claims of non-idempotent requests and of requests with a strike.
    budget : RetryBudget
        Limit on retries.
    containment : Containment
        Restrictions on requests that may have crashed their groups.
    losses : LossReporter
        Tracker of the requests in flight on each group.
    placement : Placement
        Selection of the group of each attempt.
    invariants : InvariantChecker
        Run-time assertions.
    metrics : GatewayMetrics
        Metrics of the gateway.
    decisions : DecisionLog
        Log of decisions, for operators.
    clock : Clock
        Source of monotonic time.
    write_timeout : datetime.timedelta
        Timeout for the caller to read a token.
    """

    def __init__(
        self,
        *,
        engine: EngineClient,
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

    async def handle(self, request: CallerRequest, sink: ResponseSink) -> None:
        """Handle a request, forwarding the tokens to `sink`.

        Raises
        ------
        RequestError
            If the request ends without a complete response.
        """
        started_at_s = self._clock.monotonic()
        self._placement.check_not_quarantined(request.fingerprint, maybe_ran=False)
        deadline_s = started_at_s + request.work_class.deadline.total_seconds()
        progress = Progress(request.request_id, started_at_s)
        try:
            async with self._hold_permit(request, deadline_s) as permit:
                async with self._hold_claim(request) as ticket:
                    state = _RequestState(
                        request, sink, progress, deadline_s, permit, ticket
                    )
                    await self._run_attempts(state)
        except RequestError as error:
            raise self._invariants.correct_outcome(
                error, maybe_ran=progress.maybe_ran, request_id=request.request_id
            ) from error
        self._record_latency(request, progress)

    @contextlib.asynccontextmanager
    async def _hold_permit(
        self, request: CallerRequest, deadline_s: float
    ) -> AsyncIterator[Permit]:
        permit = await self._queue.admit(
            AdmissionRequest(
                request_id=RequestId(request.request_id),
                work_class=request.work_class,
                account=AccountId(request.account.name),
                weight=request.account.weight,
                deadline_s=deadline_s - self._clock.monotonic(),
                cost=request.completion["max_tokens"] / DEFAULT_MAX_TOKENS,
                max_in_flight=request.account.max_in_flight,
            )
        )
        try:
            yield permit
        finally:
            permit.release()

    @contextlib.asynccontextmanager
    async def _hold_claim(
        self, request: CallerRequest
    ) -> AsyncIterator[ClaimTicket | None]:
        if request.idempotent and not self._placement.has_strike(request.fingerprint):
            yield None
            return
        if request.idempotent:
            wait_until_s = self._clock.monotonic() + _MAX_GROUP_WAIT.total_seconds()
            async with self._claims.hold_solo_run(
                request.fingerprint,
                wait_until_s=wait_until_s,
                check_allowed=lambda: self._placement.check_not_quarantined(
                    request.fingerprint, maybe_ran=False
                ),
            ):
                yield None
            return
        async with self._claims.hold_claim(request, request.body) as ticket:
            yield ticket

    async def _run_attempts(self, state: _RequestState) -> None:
        while True:
            group = await self._choose_group(state)
            if state.ticket is not None:
                self._invariants.check_single_dispatch(
                    maybe_ran=state.progress.maybe_ran,
                    request_id=state.request.request_id,
                )
            if state.ticket is not None and not state.ticket.try_dispatch():
                raise request_errors.backend_lost(
                    "the claim is too old", maybe_ran=False
                )
            state.attempts += 1
            result = await self._run_attempt(state, group)
            self._decisions.record(state.request.request_id, group.group, result.value)
            if result is AttemptResult.COMPLETE:
                self._record_success(state, group)
                return
            if state.ticket is not None:
                self._settle_claim(state, state.ticket, result)
            state.failed_groups.add(GroupId(group.group))
            await self._prepare_retry(state, group, result)

    def _record_success(self, state: _RequestState, group: GroupStatus) -> None:
        if state.ticket is not None:
            state.ticket.mark_answered()
        self._containment.on_success(state.request.fingerprint)
        self._budget.on_success(
            WorkClassName(state.request.work_class.name),
            AccountId(state.request.account.name),
            PoolId(group.pool),
        )

    def _settle_claim(
        self, state: _RequestState, ticket: ClaimTicket, result: AttemptResult
    ) -> None:
        """Allow another attempt only if it is certain that nothing ran, else raise."""
        if result in _NOT_RUN_RESULTS and not state.progress.maybe_ran:
            ticket.revert_dispatch()
            return
        ticket.mark_unknown()
        raise request_errors.outcome_unknown(result.value)

    async def _choose_group(self, state: _RequestState) -> GroupStatus:
        wait_until_s = state.deadline_s
        if not state.progress.position:
            max_wait_s = _MAX_GROUP_WAIT.total_seconds()
            wait_until_s = min(wait_until_s, self._clock.monotonic() + max_wait_s)
        group = await self._placement.choose(
            PoolId(state.request.work_class.pool),
            state.request.fingerprint,
            failed_groups=state.failed_groups,
            wait_until_s=wait_until_s,
            maybe_ran=state.progress.maybe_ran,
        )
        if group is None:
            raise self._no_group_error(state)
        return group

    def _no_group_error(self, state: _RequestState) -> RequestError:
        if state.progress.position:
            return request_errors.stream_cut("no replica group could continue it")
        if state.progress.maybe_ran:
            return request_errors.backend_lost(
                "no replica group is left", maybe_ran=True
            )
        return request_errors.no_backend("replica group")

    async def _run_attempt(
        self, state: _RequestState, group: GroupStatus
    ) -> AttemptResult:
        request, progress = state.request, state.progress
        work_class = request.work_class
        engine_request = GenerationRequest(
            request_id=request.request_id,
            group=group.group,
            token=group.token,
            body=request.completion,
            priority=work_class.priority,
            resume_from=progress.position,
            deadline_s=max(0.0, state.deadline_s - self._clock.monotonic()),
        )
        self._invariants.check_dispatch(group)
        with self._track_dispatch(state, group) as record:
            record.result = await run_attempt(
                self._engine,
                group.leader,
                engine_request,
                state.sink,
                progress,
                clock=self._clock,
                metrics=self._metrics,
                first_timeout=max(
                    _MIN_FIRST_TIMEOUT, _TIMEOUT_FACTOR * work_class.ttft_target
                ),
                gap_timeout=max(
                    _MIN_GAP_TIMEOUT, _TIMEOUT_FACTOR * work_class.gap_target
                ),
                write_timeout=self._write_timeout,
            )
        if record.result in (AttemptResult.CUT, AttemptResult.SILENT):
            progress.maybe_ran = True
            self._losses.on_broken_stream(group, request.fingerprint)
        if record.result is AttemptResult.REFUSED:
            self._view.on_refused(GroupId(group.group), progress.refusal_reason)
        elif record.result is not AttemptResult.COMPLETE:
            # No request is sent to the group until it is verified again.
            self._view.on_refused(GroupId(group.group), _LOST_REASON)
        return record.result

    @contextlib.contextmanager
    def _track_dispatch(
        self, state: _RequestState, group: GroupStatus
    ) -> Iterator["_AttemptRecord"]:
        """Count the request as in flight on `group` inside the context."""
        group_id = GroupId(group.group)
        request_id = RequestId(state.request.request_id)
        fingerprint = state.request.fingerprint
        has_strike = self._placement.has_strike(fingerprint)
        # Here `solo` marks a request with a strike, even if it was not placed apart
        # from other such requests.
        self._view.on_dispatch(group_id, request_id, solo=has_strike)
        state.permit.mark_dispatched()
        dispatched_at_s = self._clock.monotonic()
        record = _AttemptRecord()
        try:
            with self._losses.track_in_flight(group, fingerprint, request_id):
                yield record
        finally:
            # A caller that disconnects or does not read is not a failure of the group,
            # and the duration of its request does not represent the service time.
            complete = record.result is AttemptResult.COMPLETE
            elapsed_s = self._clock.monotonic() - dispatched_at_s
            self._view.on_finish(
                group_id,
                request_id,
                ok=complete or record.result is None,
                service_time_s=elapsed_s if complete else None,
            )

    async def _prepare_retry(
        self, state: _RequestState, group: GroupStatus, result: AttemptResult
    ) -> None:
        progress = state.progress
        if progress.refusal_reason == "bad_request":
            raise RequestError(
                ErrorCode.BAD_REQUEST, "the engine refused the request", status=400
            )
        if (
            self._clock.monotonic() >= state.deadline_s
            or state.attempts >= _MAX_ATTEMPTS
        ):
            raise self._final_error(state, result)
        self._metrics.retries.labels(result.value).inc()
        if result is AttemptResult.REFUSED:
            # A refusal may be due to a routing table that is out of date. The delay
            # leaves time for a newer one. Nothing ran, so the retry costs no budget.
            await self._clock.sleep(_REFUSAL_RETRY_DELAY)
            return
        allowed = self._budget.try_spend(
            WorkClassName(state.request.work_class.name),
            AccountId(state.request.account.name),
            PoolId(group.pool),
        )
        if not allowed:
            raise self._final_error(state, result, ErrorCode.RETRY_BUDGET_EXHAUSTED)

    def _final_error(
        self,
        state: _RequestState,
        result: AttemptResult,
        code: ErrorCode = ErrorCode.BACKEND_LOST,
    ) -> RequestError:
        if state.progress.position:
            return request_errors.stream_cut(result.value)
        return request_errors.backend_lost(
            result.value, maybe_ran=state.progress.maybe_ran, code=code
        )

    def _record_latency(self, request: CallerRequest, progress: Progress) -> None:
        if progress.first_token_at_s is None or progress.last_token_at_s is None:
            return
        name = request.work_class.name
        ttft_s = progress.first_token_at_s - progress.started_at_s
        self._metrics.ttft_seconds.labels(name).observe(ttft_s)
        if progress.position > 1:
            span_s = progress.last_token_at_s - progress.first_token_at_s
            self._metrics.token_gap_seconds.labels(name).observe(
                span_s / (progress.position - 1)
            )


@dataclasses.dataclass(slots=True)
class _AttemptRecord:
    """Result of an attempt; None if it was cancelled or the caller did not read."""

    result: AttemptResult | None = None
