"""Composition root and main loop of the gateway process."""

import asyncio
import contextlib
import dataclasses
import datetime
import random
import signal
from collections.abc import Iterator

import aiohttp
import structlog
import uvicorn
from prometheus_client import CollectorRegistry

from pomelolug.admission import AdmissionQueue
from pomelolug.claims import ClaimClient
from pomelolug.clock import Clock, SystemClock
from pomelolug.engines import EngineClient, HttpEngineClient
from pomelolug.errors import ErrorCode
from pomelolug.gateway._application import GatewayApplication
from pomelolug.gateway._authentication import Authenticator
from pomelolug.gateway._capacity import CapacityView
from pomelolug.gateway._claiming import Claimant
from pomelolug.gateway._control_connection import ControlConnection
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._direct_verification import run_direct_verification
from pomelolug.gateway._lifecycle import Lifecycle
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._model_flow import ModelRequestHandler
from pomelolug.gateway._placement import Placement
from pomelolug.gateway._protocol import HeaderLimitProtocol, make_protocol_class
from pomelolug.gateway._routing_table_cache import RoutingTableCache
from pomelolug.gateway._service_flow import ServiceRequestHandler
from pomelolug.gateway._service_view import ServiceView
from pomelolug.gateway._suspicions import Suspicions
from pomelolug.ids import ZoneId
from pomelolug.invariants import InvariantChecker
from pomelolug.membership import (
    Dialer,
    PeerKeyRing,
    WebsocketDialer,
    first_incarnation,
)
from pomelolug.messages import LossReport, Suspicion
from pomelolug.retries import Containment, RetryBudget
from pomelolug.routing import RoutingView
from pomelolug.services import HttpServiceClient, ServiceClient
from pomelolug.settings._gateway_generated import GatewaySettings
from pomelolug.telemetry import configure_logging

__all__ = ["Gateway", "GatewayAdapters", "compose", "run_gateway"]

_log = structlog.get_logger()
_KEEP_ALIVE_TIMEOUT_S = 20
# Value with which aiohttp does not limit the number of connections.
_UNLIMITED_CONNECTIONS = 0


class Gateway:
    """The connected components of one gateway.

    Parameters
    ----------
    application : GatewayApplication
        HTTP interface for callers.
    control_connection : ControlConnection
        Connection to the control process.
    table_cache : RoutingTableCache
        Configuration and routing table in force.
    lifecycle : Lifecycle
        Readiness, draining and the number of requests in flight.
    engine : EngineClient
        Adapter for the inference engines.
    clock : Clock
        Time source.
    lease : datetime.timedelta
        Time for which a verified group may receive requests.
    protocol_class : type
        Protocol class of the HTTP server.
    """

    def __init__(
        self,
        *,
        application: GatewayApplication,
        control_connection: ControlConnection,
        table_cache: RoutingTableCache,
        lifecycle: Lifecycle,
        engine: EngineClient,
        clock: Clock,
        lease: datetime.timedelta,
        protocol_class: type[HeaderLimitProtocol],
    ) -> None:
        self.application = application
        self.protocol_class = protocol_class
        self.control_connection = control_connection
        self.table_cache = table_cache
        self.lifecycle = lifecycle
        self._engine = engine
        self._clock = clock
        self._lease = lease

    @contextlib.contextmanager
    def run_background_tasks(self) -> Iterator[None]:
        """Run the control connection and direct verification until the context ends."""
        tasks = [
            asyncio.create_task(self.control_connection.run()),
            asyncio.create_task(
                run_direct_verification(
                    self._engine, self.table_cache, clock=self._clock, lease=self._lease
                )
            ),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewayAdapters:
    """Adapters for the systems that the gateway connects to.

    Parameters
    ----------
    engine : EngineClient
        Adapter for the inference engines.
    service_client : ServiceClient
        Adapter for the plain services.
    dialer : Dialer
        Opens the connection to the control process.
    """

    engine: EngineClient
    service_client: ServiceClient
    dialer: Dialer


def compose(
    settings: GatewaySettings,
    adapters: GatewayAdapters,
    *,
    clock: Clock,
    random_state: random.Random,
    nonce_source: random.Random,
) -> Gateway:
    """Create the components of a gateway and connect them.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    adapters : GatewayAdapters
        Adapters for the engines, the services and the control process.
    clock : Clock
        Time source.
    random_state : random.Random
        Random generator for jitter and routing choices.
    nonce_source : random.Random
        Random generator for claim nonces; its output must not repeat after a
        restart.

    Returns
    -------
    Gateway
        Gateway whose background tasks have not been started.
    """
    registry = CollectorRegistry()
    metrics = GatewayMetrics(registry)
    invariants = InvariantChecker(
        lambda invariant: metrics.invariant_violations.labels(invariant.value).inc()
    )
    engine = adapters.engine
    decisions = DecisionLog(lambda explanation: control_connection.send(explanation))
    view = RoutingView(
        zone=ZoneId(settings.node.zone),
        lease=settings.routing.lease,
        clock=clock,
        random_state=random_state,
    )
    service_view = ServiceView(
        zone=settings.node.zone, clock=clock, random_state=random_state
    )
    capacity = CapacityView(
        gateway=settings.node.name, routing_view=view, service_view=service_view
    )
    queue = AdmissionQueue(
        clock=clock,
        free_slots=capacity.free_slots,
        random_state=random_state,
        has_spare_slots=capacity.has_spare_slots,
    )
    containment = Containment(clock=clock)
    lifecycle = Lifecycle()
    authenticator = Authenticator()

    suspicions = Suspicions(clock=clock)

    def handle_loss(report: LossReport) -> None:
        containment.on_loss(report)
        suspicions.on_loss(report)

    def handle_suspicion(report: Suspicion) -> None:
        suspicions.add(report)
        control_connection.send(report)

    def report_loss(report: LossReport) -> None:
        _log.warning(
            "group_lost", group=report.group, requests=len(report.fingerprints)
        )
        handle_loss(report)
        control_connection.send(report)

    losses = LossReporter(
        node=settings.node.name,
        clock=clock,
        has_strike=lambda fingerprint: placement.has_strike(fingerprint),
        on_loss=report_loss,
        on_suspicion=handle_suspicion,
    )
    placement = Placement(
        view=view,
        containment=containment,
        suspicions=suspicions,
        losses=losses,
        clock=clock,
    )
    table_cache = RoutingTableCache(
        clock=clock,
        invariants=invariants,
        on_configuration=[
            authenticator.configure,
            capacity.configure,
            lambda configuration: metrics.config_version.set(configuration.version),
        ],
        on_table=[
            capacity.update_share,
            view.update,
            service_view.update,
            losses.on_table,
            suspicions.on_table,
            lambda update: containment.set_logged_quarantine(
                frozenset(update.condemned)
            ),
            lambda update: queue.notify(),
        ],
    )
    incarnation = first_incarnation(clock.now())
    claim_client = ClaimClient(
        node=settings.node.name,
        incarnation=incarnation,
        send=lambda message: control_connection.send(message),
        clock=clock,
        random_state=nonce_source,
    )
    claims = Claimant(client=claim_client, clock=clock, window=settings.claims.window)
    control_connection = ControlConnection(
        node=settings.node.name,
        zone=settings.node.zone,
        incarnation=incarnation,
        address=str(settings.control.address),
        keys=PeerKeyRing(settings.control.keys),
        dialer=adapters.dialer,
        clock=clock,
        random_state=random_state,
        on_table=table_cache.receive,
        on_loss=handle_loss,
        on_suspicion=suspicions.add,
        on_verdict=claim_client.on_verdict,
        on_connected=claim_client.on_connected,
        on_disconnected=claim_client.on_disconnected,
        make_demand_report=lambda: capacity.report_demand(queue),
        get_config_version=lambda: (
            table_cache.configuration.version if table_cache.configuration else -1
        ),
    )
    budget = RetryBudget(clock=clock)
    model_handler = ModelRequestHandler(
        engine=engine,
        view=view,
        queue=queue,
        claims=claims,
        budget=budget,
        containment=containment,
        losses=losses,
        placement=placement,
        invariants=invariants,
        metrics=metrics,
        decisions=decisions,
        clock=clock,
        write_timeout=settings.listen.write_timeout,
    )
    service_handler = ServiceRequestHandler(
        service_client=adapters.service_client,
        view=service_view,
        queue=queue,
        claims=claims,
        budget=budget,
        invariants=invariants,
        metrics=metrics,
        decisions=decisions,
        clock=clock,
    )
    application = GatewayApplication(
        model_handler=model_handler,
        service_handler=service_handler,
        table_cache=table_cache,
        authenticator=authenticator,
        lifecycle=lifecycle,
        metrics=metrics,
        registry=registry,
        decisions=decisions,
        listen=settings.listen,
    )
    return Gateway(
        application=application,
        control_connection=control_connection,
        table_cache=table_cache,
        lifecycle=lifecycle,
        engine=engine,
        clock=clock,
        lease=settings.routing.lease,
        protocol_class=make_protocol_class(
            metrics.refusals.labels(ErrorCode.HEADERS_TOO_LARGE.value).inc
        ),
    )


class _Server(uvicorn.Server):
    """Uvicorn server without signal handlers; `run_gateway` handles the signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


async def run_gateway(settings: GatewaySettings) -> None:
    """Run a gateway until SIGTERM or SIGINT, then drain it.

    A signal starts a planned stop. The readiness check fails at once, while new
    requests are still served for the grace period, in which the load balancer
    notices the failed check. Then no connection is accepted any more, and the
    process exits when the last request has ended or the drain limit has passed.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    """
    configure_logging(settings.log.level, node=settings.node.name, process="gateway")
    clock = SystemClock()
    connector = aiohttp.TCPConnector(limit=_UNLIMITED_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        gateway = compose(
            settings,
            GatewayAdapters(
                engine=HttpEngineClient(session),
                service_client=HttpServiceClient(session),
                dialer=WebsocketDialer(),
            ),
            clock=clock,
            random_state=random.Random(settings.random.state or None),
            nonce_source=random.SystemRandom(),
        )
        config = uvicorn.Config(
            gateway.application.build(),
            host=settings.listen.address.host,
            port=settings.listen.address.port,
            http=gateway.protocol_class,
            log_config=None,
            access_log=False,
            lifespan="off",
            interface="asgi3",
            # The load balancer's forwarding headers are not used, and the
            # middleware that reads them would add a call to each event.
            proxy_headers=False,
            timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=round(settings.drain.limit.total_seconds()),
        )
        server = _Server(config)
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        with gateway.run_background_tasks():
            drain_task = asyncio.create_task(
                _drain_on_stop(stop_requested, gateway, server, settings, clock)
            )
            try:
                await server.serve()
            finally:
                drain_task.cancel()
    _log.info("gateway_stopped")


async def _drain_on_stop(
    stop_requested: asyncio.Event,
    gateway: Gateway,
    server: uvicorn.Server,
    settings: GatewaySettings,
    clock: Clock,
) -> None:
    await stop_requested.wait()
    gateway.lifecycle.start_draining()
    _log.info("drain_started", in_flight=gateway.lifecycle.in_flight)
    await clock.sleep(settings.drain.grace)
    server.should_exit = True
