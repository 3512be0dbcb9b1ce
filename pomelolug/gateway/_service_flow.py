"""Handling of requests to plain services, from admission to the last byte."""

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
from pomelolug.ids import AccountId, PoolId, RequestId, WorkClassName
from pomelolug.invariants import InvariantChecker
from pomelolug.messages import ServiceStatus
from pomelolug.retries import RetryBudget
from pomelolug.services import ServiceClient, ServiceRequest, ServiceResponse

__all__ = ["ServiceRequestHandler", "ServiceTarget"]

_MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class ServiceTarget:
    """Service, method, path, query and end-to-end headers of a request."""

    service: Service
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]


class ServiceRequestHandler:
    """Handles requests to plain services.

    A request is admitted, claimed if it is not idempotent, and sent to a backend
    server.

    Parameters
    ----------
    service_client : ServiceClient
        Client of the services.
    view : ServiceView
        View of the backend servers of each service.
    queue : AdmissionQueue
        Admission control of this gateway.
    claims : Claimant
        Claims of non-idempotent requests.
    budget : RetryBudget
        Limit on retries.
    invariants : InvariantChecker
        Run-time assertions.
    metrics : GatewayMetrics
        Metrics of the gateway.
    decisions : DecisionLog
        Log of decisions, for operators.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self,
        *,
        service_client: ServiceClient,
        view: ServiceView,
        queue: AdmissionQueue,
        claims: Claimant,
        budget: RetryBudget,
        invariants: InvariantChecker,
        metrics: GatewayMetrics,
        decisions: DecisionLog,
        clock: Clock,
    ) -> None:
        self._service_client = service_client
        self._view = view
        self._queue = queue
        self._claims = claims
        self._budget = budget
        self._invariants = invariants
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock

    async def handle(
        self, request: CallerRequest, target: ServiceTarget, send: Send
    ) -> None:
        """Handle a request, streaming the response to `send`.

        Raises
        ------
        RequestError
            If the request ends without a response.
        EngineUnavailableError
            If the connection to the backend server fails after the response has
            started.
        """
        started_at_s = self._clock.monotonic()
        deadline_s = started_at_s + request.work_class.deadline.total_seconds()
        permit = await self._queue.admit(
            AdmissionRequest(
                request_id=RequestId(request.request_id),
                work_class=request.work_class,
                account=AccountId(request.account.name),
                weight=request.account.weight,
                deadline_s=deadline_s - started_at_s,
                max_in_flight=request.account.max_in_flight,
            )
        )
        state = _RequestState(request, target, send, deadline_s, permit)
        try:
            if request.idempotent:
                await self._run_attempts(state, None)
            else:
                await self._run_with_claim(state)
        except RequestError as error:
            raise self._invariants.correct_outcome(
                error, maybe_ran=state.maybe_ran, request_id=request.request_id
            ) from error
        finally:
            permit.release()
        self._metrics.ttft_seconds.labels(request.work_class.name).observe(
            self._clock.monotonic() - started_at_s
        )

    async def _run_with_claim(self, state: "_RequestState") -> None:
        request, target = state.request, state.target
        content = b"\0".join(
            (target.method.encode(), target.path.encode(), request.body)
        )
        async with self._claims.hold_claim(request, content) as ticket:
            await self._run_attempts(state, ticket)

    async def _run_attempts(
        self, state: "_RequestState", ticket: ClaimTicket | None
    ) -> None:
        service = state.target.service
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            server = self._view.choose(service.name, exclude=state.tried_servers)
            if server is None:
                raise self._no_server_error(state)
            state.tried_servers.add(server.address)
            time_left = _time_left(state, self._clock)
            if time_left <= datetime.timedelta(0):
                raise request_errors.deadline_exceeded(maybe_ran=state.maybe_ran)
            if ticket is not None:
                self._invariants.check_single_dispatch(
                    maybe_ran=state.maybe_ran, request_id=state.request.request_id
                )
            if ticket is not None and not ticket.try_dispatch():
                raise request_errors.backend_lost(
                    "the claim is too old", maybe_ran=False
                )
            try:
                await self._run_attempt(state, server, time_left, ticket)
                return
            except EngineUnavailableError as error:
                if state.response_started:
                    raise
                self._decisions.record(state.request.request_id, server.vm, str(error))
                self._view.on_failure(server.address)
                state.maybe_ran = state.maybe_ran or error.maybe_ran
                self._check_retry(state, error, ticket, attempt)

    async def _run_attempt(
        self,
        state: "_RequestState",
        server: ServiceStatus,
        time_left: datetime.timedelta,
        ticket: ClaimTicket | None,
    ) -> None:
        request, target = state.request, state.target
        service_request = ServiceRequest(
            request_id=request.request_id,
            method=target.method,
            path=target.path,
            query=target.query,
            headers=target.headers,
            body=request.body,
            timeout=min(target.service.timeout, time_left),
            max_response_bytes=target.service.max_body_bytes,
        )
        with self._view.track_request(server.address):
            state.permit.mark_dispatched()
            response = await self._service_client.send(server.address, service_request)
            # The backend server has responded, so the request took effect even if the
            # rest of the response does not reach the caller.
            if ticket is not None:
                ticket.mark_answered()
            state.response_started = True
            await _forward_response(response, state.send, request.request_id)
        self._decisions.record(request.request_id, server.vm, "answered")
        self._budget.on_success(
            WorkClassName(request.work_class.name),
            AccountId(request.account.name),
            PoolId(target.service.name),
        )

    def _no_server_error(self, state: "_RequestState") -> RequestError:
        if state.maybe_ran:
            return request_errors.backend_lost("no server is left", maybe_ran=True)
        return request_errors.no_backend("backend server of this service")

    def _check_retry(
        self,
        state: "_RequestState",
        error: EngineUnavailableError,
        ticket: ClaimTicket | None,
        attempt: int,
    ) -> None:
        """Settle the claim and raise unless another attempt is allowed."""
        if ticket is not None and error.maybe_ran:
            ticket.mark_unknown()
            raise request_errors.outcome_unknown(
                "the backend server broke off"
            ) from error
        if ticket is not None:
            ticket.revert_dispatch()
        reason = "cut" if error.maybe_ran else "not_reached"
        if attempt == _MAX_ATTEMPTS:
            raise request_errors.backend_lost(
                reason, maybe_ran=state.maybe_ran
            ) from error
        self._metrics.retries.labels(reason).inc()
        allowed = self._budget.try_spend(
            WorkClassName(state.request.work_class.name),
            AccountId(state.request.account.name),
            PoolId(state.target.service.name),
        )
        if not allowed:
            raise request_errors.backend_lost(
                reason,
                maybe_ran=state.maybe_ran,
                code=ErrorCode.RETRY_BUDGET_EXHAUSTED,
            ) from error


@dataclasses.dataclass(slots=True)
class _RequestState:
    """State of a request that is being handled.

    `deadline_s` is a monotonic time. `tried_servers` contains the addresses of the
    servers that were chosen for an attempt.
    """

    request: CallerRequest
    target: ServiceTarget
    send: Send
    deadline_s: float
    permit: Permit
    tried_servers: set[str] = dataclasses.field(default_factory=set)
    maybe_ran: bool = False
    response_started: bool = False


def _time_left(state: _RequestState, clock: Clock) -> datetime.timedelta:
    """Return the time left until the deadline of the request."""
    return datetime.timedelta(seconds=state.deadline_s - clock.monotonic())


async def _forward_response(
    response: ServiceResponse, send: Send, request_id: str
) -> None:
    headers = [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
        if name.lower() != "x-request-id"
    ]
    headers.append((b"x-request-id", request_id.encode()))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    async for chunk in response.body:
        await send({"type": "http.response.body", "body": chunk, "more_body": True})
    await send({"type": "http.response.body", "body": b"", "more_body": False})
