"""Composition root of the entry process."""

import asyncio
import datetime
import functools
import os
import random
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
import uvloop

from pomelolug.clock import Clock, SystemClock
from pomelolug.deployment import Declaration, RegistryChange, ServerRegistry
from pomelolug.entry._application import Application
from pomelolug.entry._board import ServerBoard
from pomelolug.entry._feeds import DeclarationKeeper, RegistryKeeper
from pomelolug.entry._lifecycle import Lifecycle
from pomelolug.entry._metrics import EntryMetrics
from pomelolug.entry._peering import Peering
from pomelolug.entry._plain import PlainFlow
from pomelolug.entry._repeats import Repeats
from pomelolug.entry._side import SideHandlers
from pomelolug.entry._stream import StreamFlow
from pomelolug.entry._strikes import Strikes
from pomelolug.entry._watch import StallWatch
from pomelolug.errors import FindingsError
from pomelolug.feeds import RecordSource, TopicFeed
from pomelolug.ids import ModelName, VmId
from pomelolug.platform import (
    TOPIC_DECLARATION,
    TOPIC_SERVERS,
    HttpServerControl,
    MetadataStore,
    NodeSettings,
    StoreDutySource,
)
from pomelolug.replicas import Departures, DutyHolder, GroupController, ServerHealth
from pomelolug.telemetry import NonBlockingWriter, configure_logging
from pomelolug.transport import (
    ConnectionPool,
    Handler,
    ServerConnection,
    WireLimits,
)

__all__ = ["run_entry"]

_log = structlog.get_logger(__name__)

_STORE_TIMEOUT = datetime.timedelta(milliseconds=1000)
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
_ORDER_TIMEOUT = datetime.timedelta(milliseconds=450)
_REPORT_TIMEOUT = datetime.timedelta(milliseconds=250)
"""Reports need no slot and take a few milliseconds unless a packet is lost."""
_IDLE = datetime.timedelta(milliseconds=900)
"""Age of a kept connection up to which it is used; servers close idle ones."""
_HOUSEKEEPING = datetime.timedelta(milliseconds=50)
_STORE_WAIT = datetime.timedelta(seconds=1.5)
"""Longest wait of a read of the servers on the node that forms groups."""
_COALESCE = datetime.timedelta(milliseconds=200)
"""Pause after a read, so that changes that come together cost one call."""
_COALESCE_ON_DUTY = datetime.timedelta(milliseconds=80)
"""The same for declarations, and on the node that forms groups."""
_SWEEP_ROUNDS = 20
_STABLE_RELAY_S = 1.0
"""Time after which a relay stands for the duty; at the start roles still change."""
_LEASE_FACTOR = 1.5
_METRICS_PORT = 9464
"""Port for metrics, as the deploy file names it."""
_BACKLOG = 1024


class _SuspendAwareClock(SystemClock):
    """Clock whose monotonic time goes on while the VM is suspended."""

    def monotonic(self) -> float:
        """Return seconds since the start of the VM."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_entry(settings: NodeSettings, reload: Callable[[], NodeSettings]) -> None:
    """Run the entry process until it is told to stop.

    Parameters
    ----------
    settings : NodeSettings
        Settings at the start.
    reload : callable
        Returns the settings as they are now, for SIGHUP.
    """
    writer = NonBlockingWriter(sys.stdout.fileno())
    configure_logging("info", file=writer, node=settings.node)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_Entry(settings, writer, reload).run())
    writer.write_pending()


class _Entry:
    """The parts of the process and their tasks."""

    def __init__(
        self,
        settings: NodeSettings,
        writer: NonBlockingWriter,
        reload: Callable[[], NodeSettings],
    ) -> None:
        self._settings = settings
        self._reload_settings = reload
        self._writer = writer
        self._clock: Clock = SystemClock()
        self._rng = random.Random()
        self._metrics = EntryMetrics()
        self._limits = WireLimits()
        self._connections: set[ServerConnection] = set()
        self._sizes: dict[ModelName, int] = {}

    async def run(self) -> None:
        """Start all parts, wait for the stop, and end them in order."""
        self._build()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._lifecycle.request_stop)
        loop.add_signal_handler(signal.SIGINT, self._lifecycle.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        callers = await self._listen(
            self._settings.caller_address, self._application.handle
        )
        await self._listen_aside()
        await self._peering.open(loop)
        tasks = [loop.create_task(work) for work in self._work()]
        _log.info("started", pid=os.getpid(), zone=self._settings.zone)
        await self._lifecycle.wait()
        await self._duty.stop()
        await self._lifecycle.drain(
            callers, self._connections, lambda: self._application.in_flight
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _reload(self) -> None:
        """Take new seeds from the settings file; addresses stay as they are."""
        try:
            settings = self._reload_settings()
        except FindingsError as error:
            _log.error("reload_failed", reason=str(error))
            return
        self._peering.add_seeds(settings.peer_seeds)
        _log.info("reloaded", seeds=len(settings.peer_seeds))

    def _build(self) -> None:
        settings, clock = self._settings, self._clock
        store = MetadataStore(address=settings.store_address, timeout=_STORE_TIMEOUT)
        self._store = store
        self._registry = ServerRegistry(clock=clock)
        self._board = ServerBoard(registry=self._registry, clock=clock)
        self._declarations = DeclarationKeeper(on_change=self._declared)
        self._entries = RegistryKeeper(
            registry=self._registry, on_change=self._servers_changed
        )
        self._build_feeds()
        self._pool = ConnectionPool(idle=_IDLE, connect_timeout=_CONNECT_TIMEOUT)
        self._strikes = Strikes(clock=clock)
        self._watch = StallWatch(clock=clock, on_stall=self._stalled)
        self._build_flows()
        self._build_groups()
        self._lifecycle = Lifecycle(
            clock=clock, grace=settings.stop_grace, ready=self._not_ready
        )
        self._peering = Peering(
            settings=settings,
            clock=clock,
            rng=self._rng,
            declarations=self._declarations,
            board=self._board,
            store=store,
            stopping=lambda: self._lifecycle.stopping,
            holds_duty=lambda: self._duty.held,
            serving=lambda: self._application.serving,
            reaches_store=self._reaches_store,
            on_suspect=self._controller.suspect,
            on_nodes=self._repeats.share_among,
            departures=self._departures,
            strikes=self._strikes,
        )
        self._side = SideHandlers(
            lifecycle=self._lifecycle,
            declarations=self._declarations,
            board=self._board,
            registry=self._registry,
            duty=self._duty,
            metrics=self._metrics,
            peering=self._peering,
            feeds=self._feeds,
        )

    def _build_feeds(self) -> None:
        self._declaration_feed = TopicFeed(
            topic=TOPIC_DECLARATION,
            source=lambda: self._peering.source(),
            clock=self._clock,
            pause=lambda: _COALESCE_ON_DUTY,
            on_records=self._declarations.take,
            on_failure=lambda source: self._peering.avoid(source),
        )
        self._server_feed = TopicFeed(
            topic=TOPIC_SERVERS,
            source=self._server_source,
            clock=self._clock,
            pause=lambda: _COALESCE_ON_DUTY if self._duty.held else _COALESCE,
            on_records=self._entries.take,
            on_failure=lambda source: self._peering.avoid(source),
        )
        self._feeds = {
            TOPIC_DECLARATION: self._declaration_feed,
            TOPIC_SERVERS: self._server_feed,
        }

    def _server_source(self) -> tuple[RecordSource, datetime.timedelta]:
        """Return the source of servers; whoever forms groups reads the store."""
        source, wait = self._peering.source()
        if self._duty.held and source is not self._store:
            return self._store, _STORE_WAIT
        return source, wait

    def _build_flows(self) -> None:
        settings, clock = self._settings, self._clock
        self._repeats = Repeats(
            clock=clock,
            ratio=settings.retry_ratio,
            reserve=settings.retry_reserve,
            nodes=max(len(settings.peer_seeds), 1) * 3,
            on_denied=self._metrics.repeats_denied.inc,
        )
        plain = PlainFlow(
            board=self._board,
            pool=self._pool,
            repeats=self._repeats,
            clock=clock,
            zone=settings.zone,
            rng=self._rng,
        )
        streams = StreamFlow(
            board=self._board,
            pool=self._pool,
            repeats=self._repeats,
            watch=self._watch,
            strikes=self._strikes,
            clock=clock,
            zone=settings.zone,
            rng=self._rng,
        )
        self._application = Application(
            declarations=self._declarations,
            registry=self._server_feed,
            plain=plain,
            streams=streams,
            metrics=self._metrics,
            clock=clock,
            rng=self._rng,
        )

    def _build_groups(self) -> None:
        settings, clock = self._settings, self._clock
        self._departures = Departures(clock=clock)
        member = f"{settings.node}.{os.getpid()}.{self._rng.getrandbits(48):x}"
        lease = settings.least_lease * _LEASE_FACTOR
        self._duty = DutyHolder(
            source=StoreDutySource(store=self._store, member=member, lease=lease),
            clock=_SuspendAwareClock(),
            lease=lease,
            candidate=self._may_form_groups,
        )
        orders = HttpServerControl(
            pool=ConnectionPool(idle=_IDLE, connect_timeout=_CONNECT_TIMEOUT),
            order_timeout=_ORDER_TIMEOUT,
            report_timeout=_REPORT_TIMEOUT,
        )
        self._controller = GroupController(
            duty=self._duty,
            registry=self._registry,
            control=orders,
            health=ServerHealth(control=orders, clock=clock),
            departures=self._departures,
            clock=clock,
            declaration=lambda: self._declarations.current,
            stall=settings.stall,
            serving=lambda: self._application.serving or self._peering.serving,
            in_flight=self._board.in_flight,
            on_event=lambda event, result: self._metrics.group_events.labels(
                event, result
            ).inc(),
        )

    def _work(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._declaration_feed.run(),
            self._server_feed.run(),
            self._duty.run(),
            self._controller.run(),
            self._watch.run(),
            self._peering.run(),
            self._keep_house(),
        ]

    async def _keep_house(self) -> None:
        """Write the log and close idle connections."""
        rounds = 0
        while True:
            await self._clock.sleep(_HOUSEKEEPING)
            self._writer.write_pending()
            self._entries.check(fresh=self._server_feed.is_fresh)
            rounds += 1
            if rounds % _SWEEP_ROUNDS == 0:
                self._pool.sweep()
                self._metrics.in_flight.set(self._application.in_flight)
                self._metrics.version.set(self._declarations.version)
                self._metrics.open_groups.set(self._board.open_groups())
                self._metrics.log_lines_dropped.set(self._writer.dropped_count)

    async def _listen(self, address: str, handler: Handler) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        return await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(
                handler, self._limits, self._connections, self._refused
            ),
            host,
            int(port),
            backlog=_BACKLOG,
        )

    async def _listen_aside(self) -> None:
        """Serve readiness, peers and metrics on their own addresses."""
        settings = self._settings
        aside: set[ServerConnection] = set()
        limits = WireLimits()
        loop = asyncio.get_running_loop()
        addresses = {
            settings.readiness_address: self._side.readiness,
            settings.peer_address: self._side.peer,
            f"{settings.ip}:{_METRICS_PORT}": self._side.metrics,
        }
        for address, handler in addresses.items():
            if not address:
                continue
            host, _, port = address.rpartition(":")
            await loop.create_server(
                functools.partial(
                    ServerConnection, handler, limits, aside, lambda status: None
                ),
                host,
                int(port),
            )

    def _refused(self, status: int) -> None:
        self._metrics.answers.labels(str(status), "unreadable").inc()

    def _declared(self, declaration: Declaration) -> None:
        self._limits.max_header_bytes = declaration.max_header_bytes
        self._limits.max_body_bytes = declaration.max_body_bytes
        self._limits.header_timeout_s = declaration.header_timeout.total_seconds()
        self._limits.idle_timeout_s = declaration.idle_timeout.total_seconds()
        self._sizes = {
            model.name: model.group_size
            for service in declaration.engine_services()
            if service.engine is not None
            for model in service.engine.models
        }
        self._board.update(self._sizes)
        self._peering.announce()

    def _servers_changed(self, change: RegistryChange) -> None:
        self._board.update(self._sizes)
        self._controller.wake()
        for server in change.removed:
            self._pool.drop(server.address)

    def _stalled(self, head: VmId) -> None:
        self._metrics.stalls.inc()
        _log.warning("group_stalled", head=head, in_flight=self._board.in_flight(head))
        self._board.suspect(head)
        self._controller.suspect(head)
        self._peering.announce()

    def _may_form_groups(self) -> bool:
        """Return whether this node stands for the duty.

        Each change among those who stand may move the duty, and a successor has
        to wait for servers that its predecessor has freed. So nobody joins beside
        a holder, and whoever stands stays.
        """
        if self._lifecycle.stopping or not self._reaches_store():
            return False
        if self._duty.joined:
            return True
        stable = self._peering.relay_for_s >= _STABLE_RELAY_S
        return stable and self._peering.may_claim_duty

    def _reaches_store(self) -> bool:
        """Return whether this node may be the relay of its zone.

        A node that reads from a relay has no news of its own path to the store,
        and counts as able until it has tried.
        """
        return self._declaration_feed.is_fresh

    def _not_ready(self) -> str:
        if self._declarations.current is None:
            return "no_declaration"
        if not self._registry.servers:
            return "no_servers"
        return ""
