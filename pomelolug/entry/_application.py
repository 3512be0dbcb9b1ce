"""Handling of callers' requests: route, key, deadline, and the flow."""

import asyncio
import random
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.deployment import Declaration, Route, Service, Tenant
from pomelolug.entry._call import Call, not_run, reply_error, unknown
from pomelolug.entry._metrics import EntryMetrics
from pomelolug.entry._plain import PlainFlow
from pomelolug.entry._record import RequestRecord
from pomelolug.entry._stream import StreamFlow
from pomelolug.entry._topic_consumers import DeclarationCache
from pomelolug.errors import ErrorCode, RequestError
from pomelolug.feeds import TopicFeed
from pomelolug.ids import AccountId
from pomelolug.platform import CallerHead, decode_caller_head
from pomelolug.transport import Exchange

__all__ = ["Application"]

_log = structlog.get_logger(__name__)

_MOST_LINES_PER_S = 100.0
"""Lines on answered requests a second; failures are always written."""
_LEAST_URGENCY = 9


class Application:
    """Answers callers.

    Parameters
    ----------
    declarations : DeclarationCache
        Declaration in force.
    registry : TopicFeed
        Tells the age of the list of servers.
    plain, streams : PlainFlow, StreamFlow
        Forward requests to services and to groups.
    metrics : EntryMetrics
        Metrics of the process.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Splits routes among services.
    """

    def __init__(
        self,
        *,
        declarations: DeclarationCache,
        registry: TopicFeed,
        plain: PlainFlow,
        streams: StreamFlow,
        metrics: EntryMetrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._declarations = declarations
        self._registry = registry
        self._plain = plain
        self._streams = streams
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._in_flight = 0
        self._seen = 0
        self._lines = _LineBudget(clock.monotonic)

    @property
    def in_flight(self) -> int:
        """Requests in flight."""
        return self._in_flight

    @property
    def serving(self) -> bool:
        """Whether a caller has sent a request."""
        return self._seen > 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request; the task is cancelled when the caller leaves."""
        arrived_at = self._clock.monotonic()
        head = decode_caller_head(exchange.target, exchange.headers)
        record = RequestRecord(head.request, registry_age_s=self._registry.age_s)
        self._seen += 1
        self._in_flight += 1
        try:
            call = self._admit(exchange, head, record, arrived_at)
            await self._serve(call)
        except RequestError as error:
            _answer_error(exchange, head, record, error)
        except asyncio.CancelledError:
            record.status, record.code = 499, ErrorCode.CALLER_LEFT
            raise
        except Exception:
            _log.exception("request_failed", request=head.request)
            exchange.abort()
        finally:
            self._in_flight -= 1
            self._finish(record, arrived_at)

    def _admit(
        self,
        exchange: Exchange,
        head: CallerHead,
        record: RequestRecord,
        arrived_at: float,
    ) -> Call:
        declaration = self._declarations.current
        if declaration is None:
            raise not_run(ErrorCode.NO_CONFIGURATION, "no declaration is known yet")
        record.version = declaration.version
        route = declaration.route(head.host, head.path)
        if route is None:
            raise _client_error(404, ErrorCode.UNKNOWN_CLASS, "no route matches")
        record.route = route.name
        tenant = _authenticate(declaration, route, head)
        account = tenant.account if tenant is not None else None
        record.account = account
        priority = route.priority
        if tenant is not None and tenant.priority is not None:
            priority = tenant.priority
        timeout_s = route.timeout.total_seconds()
        if head.deadline_s is not None:
            timeout_s = min(timeout_s, head.deadline_s)
        return Call(
            exchange=exchange,
            head=head,
            declaration=declaration,
            route=route,
            service=self._service(declaration, route),
            account=AccountId(account) if account is not None else None,
            urgency=min(max(priority, 0), _LEAST_URGENCY),
            arrived_at=arrived_at,
            deadline=arrived_at + timeout_s,
            record=record,
        )

    def _service(self, declaration: Declaration, route: Route) -> Service:
        shares = [s for s in route.shares if s.service in declaration.services]
        weights = [max(s.weight, 0.0) for s in shares]
        if not any(weights):
            raise not_run(ErrorCode.UNKNOWN_SERVICE, "the route has no service")
        chosen = self._rng.choices(shares, weights)[0]
        return declaration.services[chosen.service]

    async def _serve(self, call: Call) -> None:
        flow = self._streams if call.service.engine is not None else self._plain
        try:
            async with asyncio.timeout_at(call.deadline):
                await flow.serve(call)
        except TimeoutError:
            if call.exchange.started:
                call.record.code = ErrorCode.STREAM_CUT
                call.exchange.abort()
            elif call.may_have_run:
                raise unknown(
                    ErrorCode.DEADLINE_EXCEEDED, "no answer in time", status=504
                ) from None
            else:
                raise not_run(
                    ErrorCode.DEADLINE_EXCEEDED, "no server in time"
                ) from None

    def _finish(self, record: RequestRecord, arrived_at: float) -> None:
        took_s = self._clock.monotonic() - arrived_at
        code = record.code.value if record.code is not None else ""
        self._metrics.answers.labels(str(record.status), code).inc()
        self._metrics.whole_seconds.observe(took_s)
        if record.first_s is not None:
            self._metrics.first_event_seconds.observe(record.first_s)
        for number, attempt in enumerate(record.attempts):
            self._metrics.attempts.labels(attempt.result).inc()
            if number:
                reason = record.attempts[number - 1].result
                self._metrics.repeats.labels(reason).inc()
        if record.code is not None or self._lines.take():
            _log.info("request", took_s=round(took_s, 4), **record.fields())


def _authenticate(
    declaration: Declaration, route: Route, head: CallerHead
) -> Tenant | None:
    """Return the client account of a request, None where none is needed."""
    if declaration.tenants is None:
        return None
    tenant = declaration.tenants.get(head.key) if head.key is not None else None
    if tenant is None and not route.public:
        raise _client_error(401, ErrorCode.UNAUTHENTICATED, "the key is unknown")
    return tenant


def _client_error(status: int, code: ErrorCode, message: str) -> RequestError:
    return RequestError(code, message, status=status)


def _answer_error(
    exchange: Exchange, head: CallerHead, record: RequestRecord, error: RequestError
) -> None:
    record.status, record.code = error.status, error.code
    wait = error.retry_after
    reply_error(
        exchange, error, head, wait.total_seconds() if wait is not None else None
    )


class _LineBudget:
    """Token bucket for log lines."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._left = _MOST_LINES_PER_S
        self._at: float | None = None

    def take(self) -> bool:
        """Return whether a line may be written."""
        now = self._now()
        if self._at is not None:
            refill = (now - self._at) * _MOST_LINES_PER_S
            self._left = min(self._left + refill, _MOST_LINES_PER_S)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
