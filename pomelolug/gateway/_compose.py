"""Composition root of the gateway."""

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
from pomelolug.gateway._decisions import DecisionLog
from pomelolug.gateway._direct import keep_verified
from pomelolug.gateway._lifecycle import Lifecycle
from pomelolug.gateway._link import ControlLink
from pomelolug.gateway._losses import LossReporter
from pomelolug.gateway._metrics import GatewayMetrics
from pomelolug.gateway._model_flow import ModelFlow
from pomelolug.gateway._placement import Placement
from pomelolug.gateway._protocol import BoundedHttpProtocol, bounded_protocol
from pomelolug.gateway._service_flow import ServiceFlow
from pomelolug.gateway._service_view import ServiceView
from pomelolug.gateway._suspicions import Suspicions
from pomelolug.gateway._table import TableHolder
from pomelolug.ids import ZoneId
from pomelolug.invariants import Invariants
from pomelolug.membership import (
    Dialer,
    Keys,
    WebsocketDialer,
    first_incarnation,
)
from pomelolug.messages import LossReport, Suspicion
from pomelolug.retries import Containment, RetryBudget
from pomelolug.routing import RoutingView
from pomelolug.services import HttpServiceClient, ServiceClient
from pomelolug.settings._gateway_generated import GatewaySettings
from pomelolug.telemetry import configure_logging

__all__ = ["Backends", "Gateway", "compose", "run_gateway"]

_log = structlog.get_logger()
_KEEP_ALIVE_S = 20
_POOL_CONNECTIONS = 0


class Gateway:
    """The wired parts of one gateway.

    Parameters
    ----------
    application : GatewayApplication
        Callers' interface.
    link : ControlLink
        Connection to control.
    table : TableHolder
        Configuration and routing table in force.
    lifecycle : Lifecycle
        Readiness and drain.
    engine : EngineClient
        Adapter of the engines.
    clock : Clock
        Time source.
    lease : datetime.timedelta
        Time for which a verification allows dispatch.
    protocol : type
        Protocol class for the HTTP server.
    """

    def __init__(
        self,
        *,
        application: GatewayApplication,
        link: ControlLink,
        table: TableHolder,
        lifecycle: Lifecycle,
        engine: EngineClient,
        clock: Clock,
        lease: datetime.timedelta,
        protocol: type[BoundedHttpProtocol],
    ) -> None:
        self.application = application
        self.protocol = protocol
        self.link = link
        self.table = table
        self.lifecycle = lifecycle
        self._engine = engine
        self._clock = clock
        self._lease = lease

    @contextlib.contextmanager
    def background(self) -> Iterator[None]:
        """Run the link and the direct verification inside the context."""
        tasks = [
            asyncio.create_task(self.link.run()),
            asyncio.create_task(
                keep_verified(
                    self._engine, self.table, clock=self._clock, lease=self._lease
                )
            ),
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Backends:
    """Adapters of everything outside of the gateway."""

    engine: EngineClient
    plain: ServiceClient
    dialer: Dialer


def compose(
    settings: GatewaySettings,
    backends: Backends,
    *,
    clock: Clock,
    random_state: random.Random,
    nonce_source: random.Random,
) -> Gateway:
    """Return the wired gateway.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    backends : Backends
        Adapters of engines, services and the control process.
    clock : Clock
        Time source.
    random_state : random.Random
        Source of jitter and choices.
    nonce_source : random.Random
        Source of claim nonces; must not repeat after a restart.

    Returns
    -------
    Gateway
        Ready to run.
    """
    registry = CollectorRegistry()
    metrics = GatewayMetrics(registry)
    invariants = Invariants(lambda which: metrics.violations.labels(which.value).inc())
    engine = backends.engine
    decisions = DecisionLog(lambda explanation: link.send(explanation))
    view = RoutingView(
        zone=ZoneId(settings.node.zone),
        lease=settings.routing.lease,
        clock=clock,
        random_state=random_state,
    )
    services = ServiceView(
        zone=settings.node.zone, clock=clock, random_state=random_state
    )
    capacity = CapacityView(gateway=settings.node.name, view=view, services=services)
    queue = AdmissionQueue(
        clock=clock,
        free_slots=capacity.free_slots,
        random_state=random_state,
        has_spare_slots=capacity.has_spare,
    )
    containment = Containment(clock=clock)
    lifecycle = Lifecycle()
    authenticator = Authenticator()

    suspicions = Suspicions(clock=clock)

    def take_loss(report: LossReport) -> None:
        containment.on_loss(report)
        suspicions.on_loss(report)

    def take_suspicion(report: Suspicion) -> None:
        suspicions.add(report)
        link.send(report)

    def report_loss(report: LossReport) -> None:
        _log.warning(
            "group_lost", group=report.group, requests=len(report.fingerprints)
        )
        take_loss(report)
        link.send(report)

    losses = LossReporter(
        node=settings.node.name,
        clock=clock,
        is_struck=lambda fingerprint: placement.is_struck(fingerprint),
        report=report_loss,
        suspect=take_suspicion,
    )
    placement = Placement(
        view=view,
        containment=containment,
        suspicions=suspicions,
        losses=losses,
        clock=clock,
    )
    table = TableHolder(
        clock=clock,
        invariants=invariants,
        on_configuration=[
            authenticator.configure,
            capacity.configure,
            lambda configuration: metrics.config_version.set(configuration.version),
        ],
        on_table=[
            capacity.take_share,
            view.update,
            services.update,
            losses.on_table,
            suspicions.on_table,
            lambda update: containment.set_logged_quarantine(
                frozenset(update.condemned)
            ),
            lambda update: queue.notify(),
        ],
    )
    incarnation = first_incarnation(clock.now())
    client = ClaimClient(
        node=settings.node.name,
        incarnation=incarnation,
        send=lambda message: link.send(message),
        clock=clock,
        random_state=nonce_source,
    )
    claims = Claimant(client=client, clock=clock, window=settings.claims.window)
    link = ControlLink(
        node=settings.node.name,
        zone=settings.node.zone,
        incarnation=incarnation,
        address=str(settings.control.address),
        keys=Keys(settings.control.keys),
        dialer=backends.dialer,
        clock=clock,
        random_state=random_state,
        on_table=table.receive,
        on_loss=take_loss,
        on_suspicion=suspicions.add,
        on_verdict=client.on_verdict,
        on_connected=client.on_connected,
        on_disconnected=client.on_disconnected,
        demand=lambda: capacity.demand(queue),
        config_version=lambda: (
            table.configuration.version if table.configuration else -1
        ),
    )
    budget = RetryBudget(clock=clock)
    model_flow = ModelFlow(
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
    service_flow = ServiceFlow(
        plain=backends.plain,
        view=services,
        queue=queue,
        claims=claims,
        budget=budget,
        invariants=invariants,
        metrics=metrics,
        decisions=decisions,
        clock=clock,
    )
    application = GatewayApplication(
        model_flow=model_flow,
        service_flow=service_flow,
        table=table,
        authenticator=authenticator,
        lifecycle=lifecycle,
        metrics=metrics,
        registry=registry,
        decisions=decisions,
        listen=settings.listen,
    )
    return Gateway(
        application=application,
        link=link,
        table=table,
        lifecycle=lifecycle,
        engine=engine,
        clock=clock,
        lease=settings.routing.lease,
        protocol=bounded_protocol(
            metrics.refusals.labels(ErrorCode.HEADERS_TOO_LARGE.value).inc
        ),
    )


class _Server(uvicorn.Server):
    """Server that leaves the signals to the drain below."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers."""
        yield


async def run_gateway(settings: GatewaySettings) -> None:
    """Run a gateway until it is told to stop, then drain it.

    SIGTERM and SIGINT begin the planned stop: readiness fails at once, requests
    are served for the grace time in which the balancer takes note, then no
    connection is accepted, and the process ends when the last request has.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    """
    configure_logging(settings.log.level, node=settings.node.name, process="gateway")
    clock = SystemClock()
    connector = aiohttp.TCPConnector(limit=_POOL_CONNECTIONS)
    async with aiohttp.ClientSession(connector=connector) as session:
        gateway = compose(
            settings,
            Backends(
                engine=HttpEngineClient(session),
                plain=HttpServiceClient(session),
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
            http=gateway.protocol,
            log_config=None,
            access_log=False,
            lifespan="off",
            interface="asgi3",
            # The balancer's headers are not used, and the wrapper that reads
            # them would be passed for each event.
            proxy_headers=False,
            timeout_keep_alive=_KEEP_ALIVE_S,
            timeout_graceful_shutdown=round(settings.drain.limit.total_seconds()),
        )
        server = _Server(config)
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        with gateway.background():
            drainer = asyncio.create_task(
                _drain(stop, gateway, server, settings, clock)
            )
            try:
                await server.serve()
            finally:
                drainer.cancel()
    _log.info("gateway_stopped")


async def _drain(
    stop: asyncio.Event,
    gateway: Gateway,
    server: uvicorn.Server,
    settings: GatewaySettings,
    clock: Clock,
) -> None:
    await stop.wait()
    gateway.lifecycle.drain()
    _log.info("drain_started", in_flight=gateway.lifecycle.in_flight)
    await clock.sleep(settings.drain.grace)
    server.should_exit = True
