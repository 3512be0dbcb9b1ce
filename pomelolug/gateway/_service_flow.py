"""A plain-service call from admission to its last byte."""

import dataclasses
import datetime

from starlette.types import Send

from pomelolug.admission import AdmissionQueue, AdmissionRequest, Permit
from pomelolug.claims import ClaimTicket
from pomelolug.clock import Clock
from pomelolug.configuration import Service
from pomelolug.engines import EngineUnavailableError
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.gateway import _request_errors as request_errors
from pomelolug.gateway._claiming import Claimant
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._parsing import CallerRequest
from pomelolug.gateway._service_view import ServiceView
from pomelolug.ids import AccountId, ClassName, PoolId, RequestId
from pomelolug.invariants import InvariantChecker
from pomelolug.messages import ServiceStatus
from pomelolug.retries import RetryBudget
from pomelolug.services import PlainService, ServiceCall, ServiceReply

__all__ = ["ServiceFlow", "ServiceTarget"]

_MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class ServiceTarget:
    """Method, path, query and end-to-end headers of one call."""

    service: Service
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]


class ServiceFlow:
    """Runs plain-service calls.

    Parameters
    ----------
    plain : PlainService
        Adapter of the services.
    view : ServiceView
        Backend servers of each service.
    queue : AdmissionQueue
        Admission control of this gateway.
    claims : Claimant
        Decides who may dispatch a non-idempotent call.
    budget : RetryBudget
        Bounds further attempts.
    invariants : InvariantChecker
        Run-time assertions.
    metrics : GatewayMetrics
        Counters.
    decisions : DecisionLog
        Keeps recent decisions for operators.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        plain: PlainService,
        view: ServiceView,
        queue: AdmissionQueue,
        claims: Claimant,
        budget: RetryBudget,
        invariants: InvariantChecker,
        metrics: GatewayMetrics,
        decisions: DecisionLog,
        clock: Clock,
    ) -> None:
        self._plain = plain
        self._view = view
        self._queue = queue
        self._claims = claims
        self._budget = budget
        self._invariants = invariants
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock

    async def run(
        self, request: CallerRequest, target: ServiceTarget, send: Send
    ) -> None:
        """Serve one call; the reply is streamed to `send`.

        Raises
        ------
        RequestError
            If the call ends without a reply.
        EngineUnavailableError
            If the reply breaks off after its first byte.
        """
        started = self._clock.monotonic()
        deadline = started + request.work_class.deadline.total_seconds()
        permit = await self._queue.admit(
            AdmissionRequest(
                request_id=RequestId(request.request_id),
                work_class=request.work_class,
                account=AccountId(request.account.name),
                weight=request.account.weight,
                deadline_s=deadline - started,
                max_in_flight=request.account.max_in_flight,
            )
        )
        job = _ServiceJob(request, target, send, deadline, permit)
        try:
            if request.idempotent:
                await self._attempts(job, None)
            else:
                await self._run_claimed(job)
        except RequestError as error:
            raise self._invariants.correct_outcome(
                error, maybe_ran=job.maybe_ran, request_id=request.request_id
            ) from error
        finally:
            permit.release()
        self._metrics.ttft_seconds.labels(request.work_class.name).observe(
            self._clock.monotonic() - started
        )

    async def _run_claimed(self, job: "_ServiceJob") -> None:
        request, target = job.request, job.target
        digest_input = b"\0".join(
            (target.method.encode(), target.path.encode(), request.body)
        )
        async with self._claims.claimed(request, digest_input) as ticket:
            await self._attempts(job, ticket)

    async def _attempts(self, job: "_ServiceJob", ticket: ClaimTicket | None) -> None:
        service = job.target.service
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            server = self._view.choose(service.name, exclude=job.tried)
            if server is None:
                raise self._without_server(job)
            job.tried.add(server.address)
            left = deadline_left(job, self._clock)
            if left <= datetime.timedelta(0):
                raise request_errors.deadline_exceeded(maybe_ran=job.maybe_ran)
            if ticket is not None:
                self._invariants.check_single_dispatch(
                    maybe_ran=job.maybe_ran, request_id=job.request.request_id
                )
            if ticket is not None and not ticket.try_dispatch():
                raise request_errors.backend_lost(
                    "the claim is too old", maybe_ran=False
                )
            try:
                await self._attempt(job, server, left, ticket)
                return
            except EngineUnavailableError as error:
                if job.started:
                    raise
                self._decisions.record(job.request.request_id, server.vm, str(error))
                self._view.on_failure(server.address)
                job.maybe_ran = job.maybe_ran or error.maybe_run
                self._after_failure(job, error, ticket, attempt)

    async def _attempt(
        self,
        job: "_ServiceJob",
        server: ServiceStatus,
        left: datetime.timedelta,
        ticket: ClaimTicket | None,
    ) -> None:
        request, target = job.request, job.target
        call = ServiceCall(
            request_id=request.request_id,
            method=target.method,
            path=target.path,
            query=target.query,
            headers=target.headers,
            body=request.body,
            timeout=min(target.service.timeout, left),
            max_reply_bytes=target.service.max_body_bytes,
        )
        with self._view.in_flight(server.address):
            job.permit.mark_dispatched()
            reply = await self._plain.call(server.address, call)
            # The backend server has answered: the call took effect even if the
            # rest of the reply does not reach the caller.
            if ticket is not None:
                ticket.mark_answered()
            job.started = True
            await _relay(reply, job.send, request.request_id)
        self._decisions.record(request.request_id, server.vm, "answered")
        self._budget.on_success(
            ClassName(request.work_class.name),
            AccountId(request.account.name),
            PoolId(target.service.name),
        )

    def _without_server(self, job: "_ServiceJob") -> RequestError:
        if job.maybe_ran:
            return request_errors.backend_lost("no server is left", maybe_ran=True)
        return request_errors.no_backend("backend server of this service")

    def _after_failure(
        self,
        job: "_ServiceJob",
        error: EngineUnavailableError,
        ticket: ClaimTicket | None,
        attempt: int,
    ) -> None:
        """Decide whether another attempt may follow; raise if not."""
        if ticket is not None and error.maybe_run:
            ticket.mark_unknown()
            raise request_errors.outcome_unknown(
                "the backend server broke off"
            ) from error
        if ticket is not None:
            ticket.revert_dispatch()
        reason = "cut" if error.maybe_run else "not_reached"
        if attempt == _MAX_ATTEMPTS:
            raise request_errors.backend_lost(
                reason, maybe_ran=job.maybe_ran
            ) from error
        self._metrics.retries.labels(reason).inc()
        allowed = self._budget.try_spend(
            ClassName(job.request.work_class.name),
            AccountId(job.request.account.name),
            PoolId(job.target.service.name),
        )
        if not allowed:
            raise request_errors.backend_lost(
                reason,
                maybe_ran=job.maybe_ran,
                code=ErrorCode.RETRY_BUDGET_EXHAUSTED,
            ) from error


@dataclasses.dataclass(slots=True)
class _ServiceJob:
    """One call on its way; `tried` holds the servers that failed it."""

    request: CallerRequest
    target: ServiceTarget
    send: Send
    deadline: float
    permit: Permit
    tried: set[str] = dataclasses.field(default_factory=set)
    maybe_ran: bool = False
    started: bool = False


def deadline_left(job: _ServiceJob, clock: Clock) -> datetime.timedelta:
    """Return the time left until the deadline of `job`."""
    return datetime.timedelta(seconds=job.deadline - clock.monotonic())


async def _relay(reply: ServiceReply, send: Send, request_id: str) -> None:
    headers = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in reply.headers
        if name.lower() != "x-request-id"
    ]
    headers.append((b"x-request-id", request_id.encode()))
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
    )
    async for chunk in reply.body:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b"", "more_body": False})
