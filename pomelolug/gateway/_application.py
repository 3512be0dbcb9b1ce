"""ASGI application that serves the HTTP interface for callers."""

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
    classify_request,
    parse_completion,
    read_body,
)
from pomelolug.gateway._replies import make_error_response
from pomelolug.gateway._routing_table_cache import RoutingTableCache
from pomelolug.gateway._service_flow import ServiceRequestHandler, ServiceTarget
from pomelolug.gateway._sinks import EventStreamSink, JsonSink
from pomelolug.settings._gateway_generated import GatewayListen

__all__ = ["GatewayApplication"]

_log = structlog.get_logger()
_UNCLASSIFIED = "unclassified"
# Request headers that are not forwarded to services: they apply only to the
# caller's connection or to this system.
_UNFORWARDED_HEADERS = frozenset(
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
    """Dispatches requests to the model and service flows and renders errors.

    Parameters
    ----------
    model_handler : ModelRequestHandler
        Serves model requests.
    service_handler : ServiceRequestHandler
        Serves requests to plain services.
    table_cache : RoutingTableCache
        Routing table and configuration in force.
    authenticator : Authenticator
        Finds the client account of a request.
    lifecycle : Lifecycle
        Readiness, draining and the number of requests in flight.
    metrics : GatewayMetrics
        Prometheus metrics of the gateway.
    registry : prometheus_client.CollectorRegistry
        Registry whose metrics ``/metrics`` exposes.
    decisions : DecisionLog
        Records the decisions about each request for operators.
    listen : GatewayListen
        Limits on request bodies and on requests in flight.
    """

    def __init__(
        self,
        *,
        model_handler: ModelRequestHandler,
        service_handler: ServiceRequestHandler,
        table_cache: RoutingTableCache,
        authenticator: Authenticator,
        lifecycle: Lifecycle,
        metrics: GatewayMetrics,
        registry: CollectorRegistry,
        decisions: DecisionLog,
        listen: GatewayListen,
    ) -> None:
        self._model_handler = model_handler
        self._service_handler = service_handler
        self._table_cache = table_cache
        self._authenticator = authenticator
        self._lifecycle = lifecycle
        self._metrics = metrics
        self._registry = registry
        self._decisions = decisions
        self._listen = listen

    def build(self) -> ASGIApp:
        """Return the ASGI application.

        The two model endpoints bypass the Starlette application, because its
        middleware adds three function calls to each event that is sent.
        """
        model_endpoints = {
            "/v1/completions": self._make_endpoint(self._handle_completion),
            "/v1/chat/completions": self._make_endpoint(self._handle_chat),
        }
        starlette_application = self._routes()

        async def application(scope: Scope, receive: Receive, send: Send) -> None:
            endpoint = model_endpoints.get(scope.get("path", ""))
            if endpoint is not None and scope.get("method") == "POST":
                await endpoint(scope, receive, send)
            else:
                await starlette_application(scope, receive, send)

        return application

    def _routes(self) -> Starlette:
        any_method = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        routes = [
            Route("/healthz", self._healthz),
            Route("/readyz", self._readyz),
            Route("/metrics", self._render_metrics),
            Route("/v1/models", self._list_models),
            _AsgiRoute(
                "/services/{service}/{path:path}",
                any_method,
                self._make_endpoint(self._handle_service_request),
            ),
        ]
        return Starlette(routes=routes)

    async def _healthz(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _readyz(self, request: Request) -> Response:
        reason = self._lifecycle.unready_reason(self._table_cache.configuration)
        if reason:
            return PlainTextResponse(f"{reason}\n", status_code=503)
        return PlainTextResponse("ready\n")

    async def _render_metrics(self, request: Request) -> Response:
        self._metrics.table_age_seconds.set(self._table_cache.age_s)
        return Response(generate_latest(self._registry), media_type=CONTENT_TYPE_LATEST)

    async def _list_models(self, request: Request) -> Response:
        configuration = self._table_cache.configuration
        pools = configuration.pools if configuration else ()
        data = [{"id": name, "object": "model"} for name in _model_names(pools)]
        return JSONResponse({"object": "list", "data": data})

    def _make_endpoint(
        self, handler: Handler
    ) -> Callable[[Scope, Receive, Send], Awaitable]:
        async def endpoint(scope: Scope, receive: Receive, send: Send) -> None:
            await self._handle_request(handler, scope, receive, send)

        return endpoint

    async def _handle_request(
        self, handler: Handler, scope: Scope, receive: Receive, send: Send
    ) -> None:
        request_id = uuid.uuid4().hex
        has_response_started = False

        async def tracking_send(message: Message) -> None:
            nonlocal has_response_started
            has_response_started = True
            await send(message)

        request = Request(scope, receive, send)
        scope["pomelolug.class"] = _UNCLASSIFIED
        outcome = Outcome.ANSWERED
        outcome_text = outcome.value
        try:
            with self._lifecycle.track_request(self._listen.max_connections):
                self._metrics.in_flight.inc()
                try:
                    await handler(request, request_id, tracking_send)
                finally:
                    self._metrics.in_flight.dec()
        except RequestError as error:
            outcome = error.outcome
            outcome_text = f"{outcome.value} ({error.code.value})"
            self._metrics.refusals.labels(error.code.value).inc()
            if not has_response_started:
                await make_error_response(error, request_id)(scope, receive, send)
        except PomelolugError as error:
            # The response has started or an invariant was violated. A started
            # response is aborted by closing the connection, so that the caller
            # cannot take a truncated response for a complete one.
            outcome = Outcome.UNKNOWN
            outcome_text = f"{outcome.value} ({error.code.value})"
            self._metrics.refusals.labels(error.code.value).inc()
            _log.warning("request_cut", request_id=request_id, code=error.code.value)
            if has_response_started:
                raise
            failure = RequestError(
                error.code, "internal error", status=500, outcome=Outcome.UNKNOWN
            )
            await make_error_response(failure, request_id)(scope, receive, send)
        finally:
            self._metrics.requests.labels(scope["pomelolug.class"], outcome.value).inc()
            self._decisions.finish(request_id, outcome_text)

    async def _handle_completion(
        self, request: Request, request_id: str, send: Send
    ) -> None:
        await self._handle_model_request(request, request_id, send, chat=False)

    async def _handle_chat(self, request: Request, request_id: str, send: Send) -> None:
        await self._handle_model_request(request, request_id, send, chat=True)

    async def _handle_model_request(
        self, request: Request, request_id: str, send: Send, *, chat: bool
    ) -> None:
        configuration = self._table_cache.require_configuration()
        account = self._authenticator.authenticate(
            request.headers.get("authorization", "")
        )
        body = await self._read_body(request)
        completion = parse_completion(body, chat=chat)
        model = completion["model"]
        pools = [pool.name for pool in configuration.pools if pool.model == model]
        if not pools:
            raise RequestError(
                ErrorCode.UNKNOWN_MODEL, f"no model {model[:60]!r}", status=404
            )
        work_class, idempotent, key = classify_request(
            request,
            configuration=configuration,
            account=account,
            model_pool=pools[0],
        )
        request.scope["pomelolug.class"] = work_class.name
        caller_request = CallerRequest(
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
        sink_class = EventStreamSink if caller_request.stream else JsonSink
        sink = sink_class(send, request_id, model, chat)
        try:
            async with _cancel_on_disconnect(request):
                await self._model_handler.handle(caller_request, sink)
        except RequestError as error:
            await sink.fail(error)
            raise
        except PomelolugError as error:
            # The caller must be able to tell that its response is incomplete.
            failure = RequestError(
                error.code, "internal error", status=500, outcome=Outcome.UNKNOWN
            )
            await sink.fail(failure)
            raise failure from error

    async def _handle_service_request(
        self, request: Request, request_id: str, send: Send
    ) -> None:
        configuration = self._table_cache.require_configuration()
        account = self._authenticator.authenticate(
            request.headers.get("authorization", "")
        )
        service_name = request.path_params["service"]
        services = {service.name: service for service in configuration.services}
        if service_name not in services:
            raise RequestError(
                ErrorCode.UNKNOWN_SERVICE,
                f"no service {service_name[:60]!r}",
                status=404,
            )
        work_class, idempotent, key = classify_request(
            request, configuration=configuration, account=account, service=service_name
        )
        request.scope["pomelolug.class"] = work_class.name
        body = await self._read_body(request)
        caller_request = CallerRequest(
            request_id=request_id,
            account=account,
            work_class=work_class,
            idempotent=idempotent,
            idempotency_key=key,
            body=body,
        )
        target = ServiceTarget(
            services[service_name],
            request.method,
            "/" + request.path_params["path"],
            request.url.query,
            tuple(
                (header, value)
                for header, value in request.headers.items()
                if header not in _UNFORWARDED_HEADERS
            ),
        )
        async with _cancel_on_disconnect(request):
            await self._service_handler.handle(caller_request, target, send)

    async def _read_body(self, request: Request) -> bytes:
        return await read_body(
            request,
            max_bytes=self._listen.max_body_bytes,
            timeout=self._listen.body_timeout,
        )


class _AsgiRoute(Route):
    """Route to an ASGI application that accepts only the listed methods."""

    def __init__(self, path: str, methods: list[str], app: Callable) -> None:
        async def placeholder(request: Request) -> Response:
            return Response(status_code=500)

        super().__init__(path, placeholder, methods=methods)
        self.app = app


def _model_names(pools: tuple) -> list[str]:
    return sorted({pool.model for pool in pools})


@contextlib.asynccontextmanager
async def _cancel_on_disconnect(request: Request) -> AsyncIterator[None]:
    """Cancel the enclosing task when the caller closes its connection.

    Raises
    ------
    RequestError
        ``bad_request`` with an unknown outcome if the caller disconnected.
    """
    enclosed_task = asyncio.current_task()
    assert enclosed_task is not None
    is_disconnected = False

    async def watch_connection() -> None:
        nonlocal is_disconnected
        while (await request.receive())["type"] != "http.disconnect":
            pass
        is_disconnected = True
        enclosed_task.cancel()

    watch_task = asyncio.create_task(watch_connection())
    try:
        yield
    except asyncio.CancelledError:
        if not is_disconnected:
            raise
        enclosed_task.uncancel()
        raise RequestError(
            ErrorCode.BAD_REQUEST,
            "the caller closed the connection",
            status=499,
            outcome=Outcome.UNKNOWN,
        ) from None
    finally:
        watch_task.cancel()
