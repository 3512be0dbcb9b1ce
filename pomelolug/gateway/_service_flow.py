"""A plain-service call from admission to its last byte."""

import datetime
import random

from starlette.types import Send

from pomelolug.admission import AdmissionQueue, AdmissionRequest
from pomelolug.claims import ClaimClient, ClaimTicket
from pomelolug.clock import Clock
from pomelolug.configuration import Service
from pomelolug.engines import EngineUnavailableError
from pomelolug.errors import ErrorCode, Outcome, RequestError
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._parsing import CallerRequest
from pomelolug.gateway._service_view import ServiceView
from pomelolug.retries import RetryBudget
from pomelolug.services import PlainService, ServiceCall, ServiceReply

__all__ = ["ServiceFlow", "ServiceTarget"]

_MAX_ATTEMPTS = 3
_RETRY_AFTER = datetime.timedelta(seconds=1)


class ServiceTarget:
    """Method, path, query and headers of one call."""

    def __init__(
        self,
        service: Service,
        method: str,
        path: str,
        query: str,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        self.service = service
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers


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
    claims : ClaimClient
        Decides who may dispatch a non-idempotent call.
    budget : RetryBudget
        Bounds further attempts.
    metrics : GatewayMetrics
        Counters.
    decisions : DecisionLog
        Keeps recent decisions for operators.
    clock : Clock
        Time source.
    random_state : random.Random
        Breaks ties between backend servers.
    """

    def __init__(
        self,
        *,
        plain: PlainService,
        view: ServiceView,
        queue: AdmissionQueue,
        claims: ClaimClient,
        budget: RetryBudget,
        metrics: GatewayMetrics,
        decisions: DecisionLog,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._plain = plain
        self._view = view
        self._queue = queue
        self._claims = claims
        self._budget = budget
        self._metrics = metrics
        self._decisions = decisions
        self._clock = clock
        self._random = random_state

    async def run(
        self, request: CallerRequest, target: ServiceTarget, send: Send
    ) -> None:
        """Serve one call; the reply is streamed to `send`.

        Raises
        ------
        RequestError
            If the call ends without a reply.
        """
        started = self._clock.monotonic()
        deadline = started + request.work_class.deadline.total_seconds()
        permit = await self._queue.admit(
            AdmissionRequest(
                request_id=request.request_id,
                work_class=request.work_class,
                account=request.account.name,
                weight=request.account.weight,
                deadline_s=deadline - started,
                cost=1.0,
            )
        )
        try:
            if request.idempotent:
                reply = await self._attempts(request, target, deadline, None)
                await _relay(reply, send, request.request_id)
            else:
                await self._run_claimed(request, target, deadline, send)
        finally:
            permit.release()
        self._metrics.ttft.labels(request.work_class.name).observe(
            self._clock.monotonic() - started
        )

    async def _run_claimed(
        self,
        request: CallerRequest,
        target: ServiceTarget,
        deadline: float,
        send: Send,
    ) -> None:
        digest_input = b"\0".join(
            (target.method.encode(), target.path.encode(), request.body)
        )
        async with self._claims.claim(
            account=request.account.name,
            idempotency_key=request.idempotency_key,
            body=digest_input,
        ) as ticket:
            reply = await self._attempts(request, target, deadline, ticket)
            # The backend server has answered: the call took effect even if the
            # rest of the reply does not reach the caller.
            ticket.answered()
            await _relay(reply, send, request.request_id)

    async def _attempts(
        self,
        request: CallerRequest,
        target: ServiceTarget,
        deadline: float,
        ticket: ClaimTicket | None,
    ) -> ServiceReply:
        tried: set[str] = set()
        service = target.service
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            server = self._view.choose(service.name, exclude=tried)
            if server is None:
                raise _no_server()
            tried.add(server.address)
            left = deadline - self._clock.monotonic()
            if left <= 0:
                raise _late()
            call = ServiceCall(
                request_id=request.request_id,
                method=target.method,
                path=target.path,
                query=target.query,
                headers=target.headers,
                body=request.body,
                timeout=min(service.timeout, datetime.timedelta(seconds=left)),
                max_reply_bytes=service.max_body_bytes,
            )
            if ticket is not None:
                ticket.dispatch()
            try:
                with self._view.in_flight(server.address):
                    reply = await self._plain.call(server.address, call)
                self._decisions.note(request.request_id, server.vm, "answered")
                self._budget.on_success(
                    request.work_class.name, request.account.name, service.name
                )
                return reply
            except EngineUnavailableError as error:
                self._decisions.note(request.request_id, server.vm, str(error))
                self._view.on_failure(server.address)
                self._after_failure(request, service, error, ticket, attempt)
        raise _lost(maybe_ran=request.idempotent)

    def _after_failure(
        self,
        request: CallerRequest,
        service: Service,
        error: EngineUnavailableError,
        ticket: ClaimTicket | None,
        attempt: int,
    ) -> None:
        reason = "cut" if error.maybe_run else "not_reached"
        if ticket is not None:
            if error.maybe_run:
                ticket.unknown()
                raise _lost(maybe_ran=True) from error
            ticket.not_dispatched()
        if attempt == _MAX_ATTEMPTS:
            raise _lost(maybe_ran=error.maybe_run) from error
        self._metrics.retries.labels(reason).inc()
        if not self._budget.try_spend(
            request.work_class.name, request.account.name, service.name
        ):
            raise RequestError(
                ErrorCode.RETRY_BUDGET_EXHAUSTED,
                "the service failed and the retry budget is spent",
                status=503,
                outcome=Outcome.UNKNOWN if error.maybe_run else Outcome.NOT_RUN,
                retry_after=_RETRY_AFTER,
            ) from error


def _no_server() -> RequestError:
    return RequestError(
        ErrorCode.NO_GROUP,
        "no backend server of this service is available",
        status=503,
        retry_after=_RETRY_AFTER,
    )


def _late() -> RequestError:
    return RequestError(
        ErrorCode.DEADLINE_EXCEEDED,
        "the class's deadline passed",
        status=504,
        outcome=Outcome.UNKNOWN,
    )


def _lost(*, maybe_ran: bool) -> RequestError:
    return RequestError(
        ErrorCode.BACKEND_LOST,
        "the backend server did not complete the call",
        status=502,
        outcome=Outcome.UNKNOWN if maybe_ran else Outcome.NOT_RUN,
        retry_after=_RETRY_AFTER,
    )


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
