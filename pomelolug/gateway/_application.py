"""The callers' HTTP interface as a Starlette application."""

import asyncio
import contextlib
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable

import structlog
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from pomelolug.errors import ErrorCode, Outcome, PomelolugError, RequestError
from pomelolug.gateway._authentication import Authenticator
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._lifecycle import Lifecycle
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._model_flow import ModelRequestHandler
from pomelolug.gateway._parsing import (
    CallerRequest,
    classify,
    parse_completion,
    read_body,
)
from pomelolug.gateway._replies import error_response
from pomelolug.gateway._service_flow import CallTarget, ServiceCallHandler
from pomelolug.gateway._sinks import BufferSink, EventSink
from pomelolug.gateway._table import TableHolder
from pomelolug.settings._gateway_generated import GatewayListen

__all__ = ["GatewayApplication"]

_log = structlog.get_logger()
_UNKNOWN_CLASS = "unclassified"
# Headers of the caller that concern only its connection or this system.
_PRIVATE_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
Handler = Callable[[Request, str, Send], Awaitable[None]]


class GatewayApplication:
    """Routes callers' requests to the flows and turns errors into replies.

    Parameters
    ----------
    model_flow : ModelRequestHandler
        Serves model requests.
    service_flow : ServiceCallHandler
        Serves plain-service calls.
    table : TableHolder
        Configuration in force.
    authenticator : Authenticator
        Finds the client account.
    lifecycle : Lifecycle
        Readiness and drain.
    metrics : GatewayMetrics
        Counters.
    registry : prometheus_client.CollectorRegistry
        What ``/metrics`` shows.
    decisions : DecisionLog
        Decisions about requests, for operators.
    listen : GatewayListen
        Bounds on bodies and connections.
    """

    def __init__(
        self,
        *,
        model_flow: ModelRequestHandler,
        service_flow: ServiceCallHandler,
        table: TableHolder,
        authenticator: Authenticator,
        lifecycle: Lifecycle,
        metrics: GatewayMetrics,
        registry: CollectorRegistry,
        decisions: DecisionLog,
        listen: GatewayListen,
    ) -> None:
        self._model_flow = model_flow
        self._service_flow = service_flow
        self._table = table
        self._authenticator = authenticator
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._registry = registry
        self._decisions = decisions
        self._listen = listen

    def build(self) -> ASGIApp:
        """Return the ASGI application.

        The two model calls do not pass through the Starlette application: its
        middleware adds three calls to each event that is sent.
        """
        direct = {
            "/v1/completions": self._endpoint(self._completion),
            "/v1/chat/completions": self._endpoint(self._chat),
        }
        others = self._routes()

        async def application(scope: Scope, receive: Receive, send: Send) -> None:
            endpoint = direct.get(scope.get("path", ""))
            if endpoint is not None and scope.get("method") == "POST":
                await endpoint(scope, receive, send)
            else:
                await others(scope, receive, send)

        return application

    def _routes(self) -> Starlette:
        any_method = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        routes = [
            Route("/healthz", self._healthz),
            Route("/readyz", self._readyz),
            Route("/metrics", self._metrics_page),
            Route("/v1/models", self._models),
            _AsgiRoute(
                "/services/{service}/{path:path}",
                any_method,
                self._endpoint(self._service),
            ),
        ]
        return Starlette(routes=routes)

    async def _healthz(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _readyz(self, request: Request) -> Response:
        reason = self._lifecycle.not_ready_reason(self._table.configuration)
        if reason:
            return PlainTextResponse(f"{reason}\n", status_code=503)
        return PlainTextResponse("ready\n")

    async def _metrics_page(self, request: Request) -> Response:
        self._metrics.table_age.set(self._table.age_s)
        return Response(generate_latest(self._registry), media_type=CONTENT_TYPE_LATEST)

    async def _models(self, request: Request) -> Response:
        configuration = self._table.configuration
        pools = configuration.pools if configuration else ()
        data = [{"id": name, "object": "model"} for name in _unique(pools)]
        return JSONResponse({"object": "list", "data": data})

    def _endpoint(
        self, handler: Handler
    ) -> Callable[[Scope, Receive, Send], Awaitable]:
        async def endpoint(scope: Scope, receive: Receive, send: Send) -> None:
            await self._handle(handler, scope, receive, send)

        return endpoint

    async def _handle(
        self, handler: Handler, scope: Scope, receive: Receive, send: Send
    ) -> None:
        request_id = uuid.uuid4().hex
        started = False

        async def tracked(message: Message) -> None:
            nonlocal started
            started = True
            await send(message)

        request = Request(scope, receive, send)
        scope["pomelolug.class"] = _UNKNOWN_CLASS
        outcome = Outcome.ANSWERED
        ending = outcome.value
        try:
            with self._lifecycle.request(self._listen.max_connections):
                self._metrics.in_flight.inc()
                try:
                    await handler(request, request_id, tracked)
                finally:
                    self._metrics.in_flight.dec()
        except RequestError as error:
            outcome = error.outcome
            ending = f"{outcome.value} ({error.code.value})"
            self._metrics.refusals.labels(error.code.value).inc()
            if not started:
                await error_response(error, request_id)(scope, receive, send)
        except PomelolugError as error:
            # The reply has begun or an assertion failed: the connection is cut,
            # so that the caller cannot take the rest for a whole answer.
            outcome = Outcome.UNKNOWN
            ending = f"{outcome.value} ({error.code.value})"
            self._metrics.refusals.labels(error.code.value).inc()
            _log.warning("request_cut", request_id=request_id, code=error.code.value)
            if started:
                raise
            failure = RequestError(
                error.code, "internal error", status=500, outcome=Outcome.UNKNOWN
            )
            await error_response(failure, request_id)(scope, receive, send)
        finally:
            self._metrics.requests.labels(scope["pomelolug.class"], outcome.value).inc()
            self._decisions.end(request_id, ending)

    async def _completion(self, request: Request, request_id: str, send: Send) -> None:
        await self._model_call(request, request_id, send, chat=False)

    async def _chat(self, request: Request, request_id: str, send: Send) -> None:
        await self._model_call(request, request_id, send, chat=True)

    async def _model_call(
        self, request: Request, request_id: str, send: Send, *, chat: bool
    ) -> None:
        configuration = self._table.require_configuration()
        account = self._authenticator.account(request.headers.get("authorization", ""))
        body = await self._body(request)
        completion = parse_completion(body, chat=chat)
        model = completion["model"]
        pools = [pool.name for pool in configuration.pools if pool.model == model]
        if not pools:
            raise RequestError(
                ErrorCode.UNKNOWN_MODEL, f"no model {model[:60]!r}", status=404
            )
        work_class, idempotent, key = classify(
            request,
            configuration=configuration,
            account=account,
            pool_of_model=pools[0],
        )
        request.scope["pomelolug.class"] = work_class.name
        call = CallerRequest(
            request_id=request_id,
            account=account,
            work_class=work_class,
            idempotent=idempotent,
            idempotency_key=key,
            body=body,
            completion=completion,
            chat=chat,
            stream=completion["stream"],
        )
        kind = EventSink if call.stream else BufferSink
        sink = kind(send, request_id, model, chat)
        try:
            async with _cancelled_on_disconnect(request):
                await self._model_flow.handle(call, sink)
        except RequestError as error:
            await sink.fail(error)
            raise
        except PomelolugError as error:
            # The caller must learn that its answer is not whole.
            failure = RequestError(
                error.code, "internal error", status=500, outcome=Outcome.UNKNOWN
            )
            await sink.fail(failure)
            raise failure from error

    async def _service(self, request: Request, request_id: str, send: Send) -> None:
        configuration = self._table.require_configuration()
        account = self._authenticator.account(request.headers.get("authorization", ""))
        name = request.path_params["service"]
        services = {service.name: service for service in configuration.services}
        if name not in services:
            raise RequestError(
                ErrorCode.UNKNOWN_SERVICE, f"no service {name[:60]!r}", status=404
            )
        work_class, idempotent, key = classify(
            request, configuration=configuration, account=account, service=name
        )
        request.scope["pomelolug.class"] = work_class.name
        body = await self._body(request)
        call = CallerRequest(
            request_id=request_id,
            account=account,
            work_class=work_class,
            idempotent=idempotent,
            idempotency_key=key,
            body=body,
        )
        target = CallTarget(
            services[name],
            request.method,
            "/" + request.path_params["path"],
            request.url.query,
            tuple(
                (header, value)
                for header, value in request.headers.items()
                if header not in _PRIVATE_HEADERS
            ),
        )
        async with _cancelled_on_disconnect(request):
            await self._service_flow.handle(call, target, send)

    async def _body(self, request: Request) -> bytes:
        return await read_body(
            request,
            limit=self._listen.max_body_bytes,
            timeout=self._listen.body_timeout,
        )


class _AsgiRoute(Route):
    """Route whose endpoint is an ASGI application with checked methods."""

    def __init__(self, path: str, methods: list[str], app: Callable) -> None:
        async def placeholder(request: Request) -> Response:
            return Response(status_code=500)

        super().__init__(path, placeholder, methods=methods)
        self.app = app


def _unique(pools: tuple) -> list[str]:
    return sorted({pool.model for pool in pools})


@contextlib.asynccontextmanager
async def _cancelled_on_disconnect(request: Request) -> AsyncIterator[None]:
    """Cancel the enclosed work when the caller closes its connection."""
    worker = asyncio.current_task()
    assert worker is not None
    gone = False

    async def watch() -> None:
        nonlocal gone
        while (await request.receive())["type"] != "http.disconnect":
            pass
        gone = True
        worker.cancel()

    watcher = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not gone:
            raise
        worker.uncancel()
        raise RequestError(
            ErrorCode.BAD_REQUEST,
            "the caller closed the connection",
            status=499,
            outcome=Outcome.UNKNOWN,
        ) from None
    finally:
        watcher.cancel()
