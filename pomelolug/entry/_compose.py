"""Composition root: builds the entry process and runs its tasks."""

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
from pomelolug.deployment import (
    BackendServer,
    Declaration,
    RegistryChange,
    ServerNotice,
    ServerRegistry,
)
from pomelolug.entry._internal_endpoints import InternalEndpoints
from pomelolug.entry._lifecycle import Lifecycle
from pomelolug.entry._metrics import EntryMetrics
from pomelolug.entry._resource_bounds import ResourceBounds
from pomelolug.entry._topic_consumers import (
    DeclarationCache,
    EvacuationUpdater,
    RegistryUpdater,
)
from pomelolug.entry.dispatch import GroupDispatcher
from pomelolug.entry.losses import LossPublisher, PoisonRequestDetector, RunMonitor
from pomelolug.entry.peers import (
    PeerCoordinator,
    StoreContact,
    longest_wait_within,
)
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.preview import (
    KnownState,
    PreviewEndpoint,
    RequestPreviewer,
    fetch_ranking,
)
from pomelolug.entry.requests import (
    GroupChooser,
    GroupServers,
    PlainForwarder,
    PlainServerChooser,
    PlainServers,
    RequestExits,
    RequestHandler,
    RetryLimiter,
    StreamForwarder,
    encode_outcome,
)
from pomelolug.entry.servers import (
    ColdServers,
    EvacuatedZones,
    GroupSelector,
    RequestRateLimiter,
    ServedModel,
    ServerContact,
    ServerLimits,
    ServerNotices,
    ServerTracker,
    StallDetector,
)
from pomelolug.errors import ErrorCode, InvalidInputError, Outcome
from pomelolug.feeds import RecordSource, TopicFeed
from pomelolug.ids import NodeId, VmId
from pomelolug.platform import (
    TOPIC_DECLARATION,
    TOPIC_LOSSES,
    TOPIC_SERVERS,
    HttpServerControl,
    MetadataStore,
    NodeSettings,
    ProbeResult,
    StoreControllerElection,
    outcome_headers,
)
from pomelolug.replicas import (
    ControllerLease,
    Departures,
    ReplicaGroupController,
    ServerHealth,
)
from pomelolug.telemetry import NonBlockingWriter, configure_logging
from pomelolug.transport import (
    ConnectionPool,
    Handler,
    HttpServerLimits,
    ServerConnection,
)

__all__ = ["run_entry"]

_log = structlog.get_logger(__name__)

_STORE_TIMEOUT = datetime.timedelta(milliseconds=1000)
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
_ORDER_TIMEOUT = datetime.timedelta(milliseconds=450)
_REPORT_TIMEOUT = datetime.timedelta(milliseconds=250)
"""Reports occupy no slot and take a few milliseconds unless a packet is lost."""
_PROBE_TIMEOUT = datetime.timedelta(seconds=1.8)
"""Time limit of a report that shows whether a server is reached.

A sound server may be silent for 1.6 s.
"""
_MAX_PEER_IDLE = datetime.timedelta(seconds=10)
"""Longest idle time of a reused connection to a node, which keeps it for 15 s.

A declaration may set another idle timeout than these 15 s.
"""
_MAX_ADDED_HEADER_BYTES = 256
"""Size of the fields that a node adds to a request that it forwards, with a margin.

With it, a request that a node has accepted is not too large for another one.
"""
_MAX_IDLE = datetime.timedelta(milliseconds=900)
"""Longest idle time of a reused connection, since servers close idle ones."""
_HOUSEKEEPING_INTERVAL = datetime.timedelta(milliseconds=50)
_READ_PAUSE = datetime.timedelta(milliseconds=200)
"""Pause after a read, so that changes made together are fetched in one call."""
_LOSS_READ_PAUSE = datetime.timedelta(milliseconds=700)
"""Pause for losses, which peers report sooner."""
_SERVER_RESTORE_DELAY = datetime.timedelta(seconds=2)
"""Time in which servers write their entries again to a restored store."""
_SHORT_READ_PAUSE = datetime.timedelta(milliseconds=80)
"""Pause for declarations, and for server entries on the active controller."""
_ROUNDS_PER_SWEEP = 20
"""Housekeeping rounds per sweep of idle connections and update of the gauges."""
_MIN_RELAY_TENURE_S = 1.0
"""Time as relay after which a node may become a candidate for the controller lease.

Shortly after the start, the relay role still moves between nodes.
"""
_LEASE_FACTOR = 1.5
"""Duration of the controller lease, as a multiple of the shortest lease."""
_FLUSH_TIME = datetime.timedelta(milliseconds=100)
"""Time in which the last responses are sent before the process ends."""
_METRICS_PORT = 9464
"""Port of the metrics endpoint, as set in the deploy file."""
_BACKLOG = 1024


class _SuspendAwareClock(SystemClock):
    """Clock whose monotonic time advances while the VM is suspended."""

    def monotonic(self) -> float:
        """Return the seconds since the VM booted, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_entry(
    settings: NodeSettings,
    reload: Callable[[], NodeSettings],
    *,
    groups_follow_demand: bool = False,
) -> None:
    """Run the entry process until a signal stops it.

    Parameters
    ----------
    settings : NodeSettings
        Settings at startup.
    reload : callable
        Returns the current settings; called on SIGHUP.
    groups_follow_demand : bool
        Whether groups of a model with a surplus are given up for another model.
    """
    writer = NonBlockingWriter(sys.stdout.fileno())
    configure_logging("info", file=writer, node=settings.node)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        process = _EntryProcess(
            settings, writer, reload, groups_follow_demand=groups_follow_demand
        )
        runner.run(process.run())
    writer.write_pending()


class _EntryProcess:
    """Components of the entry process and their background tasks."""

    def __init__(
        self,
        settings: NodeSettings,
        writer: NonBlockingWriter,
        reload: Callable[[], NodeSettings],
        *,
        groups_follow_demand: bool = False,
    ) -> None:
        self._groups_follow_demand = groups_follow_demand
        self._settings = settings
        self._reload_settings = reload
        self._writer = writer
        self._clock: Clock = SystemClock()
        self._rng = random.Random()
        self._metrics = EntryMetrics()
        self._limits = HttpServerLimits()
        self._forwarding_limits = HttpServerLimits()
        self._connections: set[ServerConnection] = set()
        self._group_sizes: dict[ServedModel, int] = {}
        self._bounds = ResourceBounds(
            memory_limit=settings.memory_limit_bytes,
            socket_limit=settings.socket_limit,
            connections=self._connections,
            metrics=self._metrics,
        )
        for limits in (self._limits, self._forwarding_limits):
            limits.max_connections = self._bounds.max_connections

    async def run(self) -> None:
        """Start all components, wait for the stop request, and stop them in order."""
        self._build()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._lifecycle.request_stop)
        loop.add_signal_handler(signal.SIGINT, self._lifecycle.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        caller_listener = await self._listen(
            self._settings.caller_address,
            self._request_handler.handle,
            limits=self._limits,
        )
        listeners = [caller_listener, *await self._listen_for_peers()]
        await self._listen_internal()
        await self._peer_coordinator.bind(loop)
        tasks = [
            loop.create_task(coroutine) for coroutine in self._background_coroutines()
        ]
        _log.info("started", pid=os.getpid(), zone=self._settings.zone)
        await self._lifecycle.wait_for_stop()
        # Beside the drain, since the store may not respond.
        tasks.append(loop.create_task(self._lease.stop()))
        await self._lifecycle.drain(
            listeners, self._connections, lambda: self._request_handler.in_flight
        )
        if self._request_handler.in_flight:
            self._request_handler.end_all()
            await self._clock.sleep(_FLUSH_TIME)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _reload(self) -> None:
        """Add new seeds from the settings file; addresses are not reloaded."""
        try:
            settings = self._reload_settings()
        except InvalidInputError as error:
            _log.error("reload_failed", reason=str(error))
            return
        self._peer_coordinator.add_seeds(settings.peer_seeds)
        _log.info("reloaded", seeds=len(settings.peer_seeds))

    def _build(self) -> None:
        settings, clock = self._settings, self._clock
        store = MetadataStore(address=settings.store_address, timeout=_STORE_TIMEOUT)
        self._store = store
        self._store_contact = StoreContact(
            store=store,
            topic=TOPIC_LOSSES,
            is_reading=lambda: self._peer_coordinator.record_source()[0] is store,
            retry_delay=lambda failing_for: self._retry_delay(store, failing_for),
            clock=clock,
        )
        self._registry = ServerRegistry(clock=clock)
        self._build_notices()
        self._delay_estimator = LearnedDelayEstimator(
            zone=settings.zone,
            clock=clock,
            on_sample=lambda measure: self._metrics.delay_samples.labels(
                measure.value
            ).inc(),
            is_applied=lambda: self._peer_coordinator.dispatch.is_enabled,
        )
        self._server_tracker = ServerTracker(
            registry=self._registry,
            notices=self._notices,
            was_cut_off_since=lambda time_s: self._server_contact.was_cut_off_since(
                time_s
            ),
            clock=clock,
        )
        self._declarations = DeclarationCache(on_change=self._on_declaration)
        self._registry_updater = RegistryUpdater(
            registry=self._registry,
            shortest_lapse=settings.shortest_lapse,
            on_change=self._on_registry_change,
            on_entry=self._notices.record_entry,
        )
        self._poison_detector = PoisonRequestDetector(
            clock=clock, part_quarantine_factor=self._rng.uniform(1.0, 2.0)
        )
        self._loss_publisher = LossPublisher(
            detector=self._poison_detector,
            store=store,
            clock=clock,
            is_relay=lambda: self._peer_coordinator.is_relay,
        )
        self._build_feeds()
        self._pool = ConnectionPool(
            max_idle=_MAX_IDLE,
            connect_timeout=_CONNECT_TIMEOUT,
            max_idle_connections=self._bounds.max_idle_connections,
            memory_budget=self._bounds.memory_budget,
        )
        self._build_server_contact()
        self._forwarding_pool = ConnectionPool(
            max_idle=_MAX_PEER_IDLE,
            connect_timeout=_CONNECT_TIMEOUT,
            max_idle_connections=self._bounds.max_idle_connections,
            memory_budget=self._bounds.memory_budget,
        )
        self._run_monitor = RunMonitor(
            detector=self._poison_detector,
            registry=self._registry,
            registry_age_s=lambda: self._server_feed.age_s,
            entry_lifetime=settings.server_entry_lifetime,
            contact=self._server_contact,
            clock=clock,
        )
        self._stall_detector = StallDetector(clock=clock, on_stall=self._on_stall)
        self._group_dispatcher = GroupDispatcher(
            heads=lambda service, model: self._server_tracker.open_heads(
                service, model
            ),
            estimator=self._delay_estimator,
            declaration=lambda: self._declarations.current,
            zone=settings.zone,
            clock=clock,
            rng=self._rng,
        )
        self._build_forwarders()
        self._build_controller()
        self._lifecycle = Lifecycle(
            clock=clock, grace=settings.stop_grace, unready_reason=self._unready_reason
        )
        self._peer_coordinator: PeerCoordinator = PeerCoordinator(
            settings=settings,
            clock=clock,
            rng=self._rng,
            declarations=self._declarations,
            server_tracker=self._server_tracker,
            store=store,
            is_stopping=lambda: self._lifecycle.is_stopping,
            holds_lease=lambda: self._lease.is_held,
            is_serving=lambda: self._request_handler.has_received_request,
            can_reach_store=self._can_reach_store,
            reaches_servers=self._reaches_servers,
            on_suspect=self._controller.mark_suspect,
            on_nodes=self._on_nodes,
            find_record=lambda topic, key: self._feeds[topic].log.newest(key),
            needs_node_names=lambda: self._cold_servers.has_services,
            departures=self._departures,
            poison_detector=self._poison_detector,
            notices=self._notices,
            dispatcher=self._group_dispatcher,
            delay_estimator=self._delay_estimator,
        )
        self._internal_endpoints = InternalEndpoints(
            lifecycle=self._lifecycle,
            declarations=self._declarations,
            server_tracker=self._server_tracker,
            registry=self._registry,
            lease=self._lease,
            metrics=self._metrics,
            peer_coordinator=self._peer_coordinator,
            feeds=self._feeds,
            server_contact=self._server_contact,
            evacuated_zones=self._evacuated_zones,
            previews=self._build_previews(),
        )

    def _build_previews(self) -> PreviewEndpoint:
        coordinator = self._peer_coordinator
        previewer = RequestPreviewer(
            node=self._settings.node,
            zone=self._settings.zone,
            declaration=lambda: self._declarations.current,
            registry=self._registry,
            known=KnownState(
                notices=self._notices,
                server_tracker=self._server_tracker,
                delay_estimator=self._delay_estimator,
                group_selector=self._group_selector,
                exits=self._request_exits,
                list_exits=coordinator.forwarding_addresses,
                rng=self._rng,
            ),
            contact=self._server_contact,
            dispatch=lambda: coordinator.dispatch,
            fetch_ranking=lambda address, message: fetch_ranking(
                coordinator.peer_address_of(address), message
            ),
            clock=self._clock,
        )
        return PreviewEndpoint(
            previewer=previewer,
            dispatch=lambda: coordinator.dispatch,
            node=self._settings.node,
        )

    def _build_server_contact(self) -> None:
        self._probe_pool = ConnectionPool(
            max_idle=datetime.timedelta(0), connect_timeout=_CONNECT_TIMEOUT
        )
        self._probe_control = HttpServerControl(
            pool=self._probe_pool,
            order_timeout=_ORDER_TIMEOUT,
            report_timeout=_PROBE_TIMEOUT,
            on_notice=self._record_control_notice,
        )
        self._server_contact = ServerContact(
            registry=self._registry,
            probe=self._probe,
            is_paused=lambda server: (
                self._notices.is_paused(server) or self._notices.is_evacuated(server)
            ),
            probe_timeout=_CONNECT_TIMEOUT + _PROBE_TIMEOUT,
            has_peers=lambda: self._peer_coordinator.has_peers,
            on_change=self._on_contact_change,
            on_doubt=self._on_contact_doubt,
            clock=self._clock,
            rng=self._rng,
        )

    def _record_control_notice(
        self, server: BackendServer, notice: ServerNotice
    ) -> None:
        self._notices.record(server, notice, sent_at_s=self._clock.monotonic())

    async def _probe(self, server: BackendServer) -> bool:
        """Return whether a server is reached over a new connection.

        It has to respond, since a connection may open and then pass nothing. The health
        check of a plain server may wait for a slot, so a response of any server to a
        request will do as well.
        """
        if server.domain:
            result = await self._probe_control.probe(server)
            return result is ProbeResult.RESPONDED
        began_at_s = self._clock.monotonic()
        declaration = self._declarations.current
        service = declaration and declaration.services.get(server.service)
        result = await self._probe_control.probe(
            server, health_path=service.health_path if service else None
        )
        if result is ProbeResult.OPENED:
            return self._server_contact.has_heard_since(began_at_s)
        return result is ProbeResult.RESPONDED

    def _build_notices(self) -> None:
        settings = self._settings
        self._server_limits = ServerLimits(
            zone=settings.zone,
            clock=self._clock,
            on_news=self._announce,
        )
        self._cold_servers = ColdServers(
            zone=settings.zone,
            clock=self._clock,
            accepted_factor=settings.cold_accepted_factor,
            excess_requests=settings.cold_excess_requests,
            on_news=self._announce,
        )
        self._rate_limiter = RequestRateLimiter(
            sources=(self._server_limits, self._cold_servers),
            node=settings.node,
            zone=settings.zone,
            zones=settings.zones,
            clock=self._clock,
            rng=self._rng,
        )
        self._evacuated_zones = EvacuatedZones(
            known_zones=settings.zones,
            clock=self._clock,
            on_change=self._on_evacuation,
        )
        self._notices = ServerNotices(
            limits=self._server_limits,
            cold_servers=self._cold_servers,
            rate_limiter=self._rate_limiter,
            evacuated_zones=self._evacuated_zones,
            clock=self._clock,
            rng=self._rng,
            on_leaving=self._on_leaving_server,
            on_restart=self._on_reported_restart,
        )

    def _build_feeds(self) -> None:
        evacuation_updater = EvacuationUpdater(evacuated_zones=self._evacuated_zones)
        self._declaration_feed = TopicFeed(
            topic=TOPIC_DECLARATION,
            select_source=lambda: self._peer_coordinator.record_source(),
            clock=self._clock,
            read_pause=lambda: _SHORT_READ_PAUSE,
            on_records=self._declarations.apply_records,
            on_batch=evacuation_updater.apply_batch,
            on_failure=self._on_declaration_read_failure,
            on_success=lambda source: self._store_contact.record(
                source, succeeded=True
            ),
            retry_delay=self._retry_delay,
        )
        self._server_feed = TopicFeed(
            topic=TOPIC_SERVERS,
            select_source=self._server_source,
            clock=self._clock,
            read_pause=lambda: (
                _SHORT_READ_PAUSE if self._lease.is_held else _READ_PAUSE
            ),
            on_records=self._registry_updater.apply_records,
            on_failure=lambda source: self._peer_coordinator.avoid_source(source),
            retry_delay=self._retry_delay,
            restore_delay=_SERVER_RESTORE_DELAY,
        )
        self._loss_feed = TopicFeed(
            topic=TOPIC_LOSSES,
            select_source=lambda: self._peer_coordinator.record_source(),
            clock=self._clock,
            read_pause=lambda: _LOSS_READ_PAUSE,
            on_records=self._loss_publisher.apply_records,
            # A relay of an earlier version does not serve this topic.
            on_failure=lambda source: None,
            retry_delay=self._retry_delay,
        )
        self._feeds = {
            TOPIC_DECLARATION: self._declaration_feed,
            TOPIC_SERVERS: self._server_feed,
            TOPIC_LOSSES: self._loss_feed,
        }

    def _retry_delay(
        self, source: RecordSource, failing_for: datetime.timedelta
    ) -> datetime.timedelta:
        return self._peer_coordinator.retry_delay(source, failing_for)

    def _server_source(self) -> tuple[RecordSource, datetime.timedelta]:
        """Return the source of server entries, the store on the active controller.

        Behind a lost relay, an entry that is removed must not seem to have lapsed.
        """
        source, wait = (
            self._peer_coordinator.store_source()
            if self._lease.is_held
            else self._peer_coordinator.record_source()
        )
        longest_wait = longest_wait_within(
            self._settings.shortest_lapse, read_pause=_READ_PAUSE
        )
        return source, min(wait, longest_wait)

    def _build_forwarders(self) -> None:
        settings, clock = self._settings, self._clock
        self._retry_limiter = RetryLimiter(
            clock=clock,
            ratio=settings.retry_ratio,
            reserve=settings.retry_reserve,
            # An estimate until the registered nodes are known.
            node_count=max(len(settings.peer_seeds), 1) * 3,
            on_denied=self._metrics.repeats_denied.inc,
        )
        self._request_exits = exits = RequestExits(
            contact=self._server_contact,
            list_addresses=lambda: self._peer_coordinator.forwarding_addresses(),
            pool=self._forwarding_pool,
            clock=clock,
            rng=self._rng,
        )
        plain_forwarder = PlainForwarder(
            server_tracker=self._server_tracker,
            pool=self._pool,
            retry_limiter=self._retry_limiter,
            run_monitor=self._run_monitor,
            notices=self._notices,
            delay_estimator=self._delay_estimator,
            exits=exits,
            memory_budget=self._bounds.memory_budget,
            clock=clock,
            zone=settings.zone,
            rng=self._rng,
        )
        self._group_selector = GroupSelector(zone=settings.zone, rng=self._rng)
        stream_forwarder = StreamForwarder(
            server_tracker=self._server_tracker,
            pool=self._pool,
            retry_limiter=self._retry_limiter,
            stall_detector=self._stall_detector,
            run_monitor=self._run_monitor,
            notices=self._notices,
            group_servers=GroupServers(
                chooser=GroupChooser(
                    server_tracker=self._server_tracker,
                    notices=self._notices,
                    group_selector=self._group_selector,
                    delay_estimator=self._delay_estimator,
                    dispatch=lambda: self._peer_coordinator.dispatch,
                    clock=clock,
                ),
                server_tracker=self._server_tracker,
                delay_estimator=self._delay_estimator,
                rng=self._rng,
            ),
            plain_servers=PlainServers(
                chooser=PlainServerChooser(
                    server_tracker=self._server_tracker,
                    notices=self._notices,
                    delay_estimator=self._delay_estimator,
                    zone=settings.zone,
                    rng=self._rng,
                ),
                server_tracker=self._server_tracker,
                delay_estimator=self._delay_estimator,
                clock=clock,
            ),
            exits=exits,
            clock=clock,
            rng=self._rng,
        )
        self._request_handler = RequestHandler(
            declarations=self._declarations,
            server_feed=self._server_feed,
            plain_forwarder=plain_forwarder,
            stream_forwarder=stream_forwarder,
            poison_detector=self._poison_detector,
            run_monitor=self._run_monitor,
            metrics=self._metrics,
            is_stopping=lambda: self._lifecycle.is_stopping,
            may_end_before=lambda time_s: self._lifecycle.may_end_before(time_s),
            clock=clock,
            rng=self._rng,
        )

    def _build_controller(self) -> None:
        settings, clock = self._settings, self._clock
        self._departures = Departures(clock=clock)
        member = f"{settings.node}.{os.getpid()}.{self._rng.getrandbits(48):x}"
        lease_duration = settings.least_lease * _LEASE_FACTOR
        self._lease = ControllerLease(
            election=StoreControllerElection(
                store=self._store, member=member, lease_duration=lease_duration
            ),
            clock=_SuspendAwareClock(),
            duration=lease_duration,
            is_eligible=self._is_eligible_for_lease,
        )
        server_control = HttpServerControl(
            pool=ConnectionPool(max_idle=_MAX_IDLE, connect_timeout=_CONNECT_TIMEOUT),
            order_timeout=_ORDER_TIMEOUT,
            report_timeout=_REPORT_TIMEOUT,
            on_notice=self._record_control_notice,
        )
        self._controller = ReplicaGroupController(
            lease=self._lease,
            registry=self._registry,
            control=server_control,
            health=ServerHealth(control=server_control, clock=clock),
            departures=self._departures,
            availability=self._notices,
            is_evacuated=self._notices.is_evacuated,
            clock=clock,
            declaration=lambda: self._declarations.current,
            stall_timeout=settings.stall_timeout,
            is_serving=lambda: (
                self._request_handler.has_received_request
                or self._peer_coordinator.has_serving_peer
            ),
            in_flight=self._server_tracker.in_flight,
            may_rebalance=lambda: (
                self._groups_follow_demand
                and self._server_feed.is_fresh
                and self._peer_coordinator.dispatch.local_dispatcher != ""
            ),
            on_event=lambda event, result: self._metrics.group_events.labels(
                event, result
            ).inc(),
        )

    def _background_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        return [
            self._declaration_feed.run(),
            self._server_feed.run(),
            self._loss_feed.run(),
            self._loss_publisher.run(),
            self._store_contact.run(),
            self._lease.run(),
            self._controller.run(),
            self._stall_detector.run(),
            self._server_contact.run(),
            self._peer_coordinator.run(),
            self._run_housekeeping(),
        ]

    async def _run_housekeeping(self) -> None:
        """Flush the log, close idle connections, and update gauges periodically."""
        rounds = 0
        while True:
            await self._clock.sleep(_HOUSEKEEPING_INTERVAL)
            self._writer.write_pending()
            self._delay_estimator.tick()
            self._registry_updater.report_store_status(
                is_fresh=self._server_feed.is_fresh, age_s=self._server_feed.age_s
            )
            if self._server_feed.is_fresh:
                self._cold_servers.finish_first_reading()
            rounds += 1
            if rounds % _ROUNDS_PER_SWEEP == 0:
                self._pool.close_expired()
                self._forwarding_pool.close_expired()
                self._run_monitor.settle_overdue()
                self._notices.forget_expired()
                self._bounds.update()
                self._metrics.in_flight.set(self._request_handler.in_flight)
                self._metrics.declaration_version.set(self._declarations.version)
                self._metrics.open_groups.set(self._server_tracker.open_groups())
                self._metrics.log_lines_dropped.set(self._writer.dropped_count)
                self._metrics.quarantined_requests.set(
                    self._poison_detector.quarantined_count()
                )
                self._metrics.open_assignments.set(
                    self._group_dispatcher.open_assignments
                )
                self._metrics.dispatch_timeouts.set(
                    self._peer_coordinator.dispatch.timeout_count
                )
                self._metrics.lapsed_servers.set(self._registry.lapsed_count)
                performance = self._delay_estimator.summary()
                self._metrics.slow_servers.set(performance.limited)
                self._metrics.server_speed_spread.set(performance.spread)
                self._metrics.limited_servers.set(
                    len(self._server_limits.limited_servers())
                )
                self._metrics.cold_servers.set(
                    len(self._cold_servers.bounded_servers())
                )

    async def _listen_for_peers(self) -> list[asyncio.Server]:
        """Listen for the requests that other nodes forward, if there is a port."""
        settings = self._settings
        if not settings.internal_ports:
            return []
        # A request refused before it was fully read has not run.
        outcome = encode_outcome(Outcome.NOT_RUN, ErrorCode.BAD_REQUEST)
        listener = await self._listen(
            f"{settings.ip}:{settings.internal_ports[0]}",
            self._request_handler.handle_forwarded,
            limits=self._forwarding_limits,
            refusal_headers=outcome_headers(outcome),
        )
        return [listener]

    async def _listen(
        self,
        address: str,
        handler: Handler,
        *,
        limits: HttpServerLimits,
        refusal_headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        return await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(
                handler,
                limits,
                self._connections,
                self._on_unreadable_request,
                refusal_headers,
                memory_budget=self._bounds.memory_budget,
                on_unread=self._bounds.record_unread,
            ),
            host,
            int(port),
            backlog=_BACKLOG,
        )

    async def _listen_internal(self) -> None:
        """Listen for readiness checks, peers and metrics on separate addresses."""
        settings = self._settings
        internal_connections: set[ServerConnection] = set()
        limits = HttpServerLimits()
        loop = asyncio.get_running_loop()
        addresses = {
            settings.readiness_address: self._internal_endpoints.handle_readiness,
            settings.peer_address: self._internal_endpoints.handle_peer,
            f"{settings.ip}:{_METRICS_PORT}": self._internal_endpoints.handle_metrics,
        }
        for address, handler in addresses.items():
            if not address:
                continue
            host, _, port = address.rpartition(":")
            await loop.create_server(
                functools.partial(
                    ServerConnection,
                    handler,
                    limits,
                    internal_connections,
                    lambda status: None,
                ),
                host,
                int(port),
            )

    def _on_unreadable_request(self, status: int) -> None:
        self._metrics.answers.labels(str(status), "unreadable").inc()

    def _on_declaration(self, declaration: Declaration) -> None:
        for limits in (self._limits, self._forwarding_limits):
            limits.max_header_bytes = declaration.max_header_bytes
            limits.max_body_bytes = declaration.max_body_bytes
            limits.header_timeout_s = declaration.header_timeout.total_seconds()
            limits.idle_timeout_s = declaration.idle_timeout.total_seconds()
        self._forwarding_limits.max_header_bytes += _MAX_ADDED_HEADER_BYTES
        self._group_sizes = {
            (service.name, model.name): model.group_size
            for service in declaration.engine_services()
            if service.engine is not None
            for model in service.engine.models
        }
        self._cold_servers.set_services(declaration.services)
        self._server_tracker.refresh(self._group_sizes)
        self._peer_coordinator.announce()

    def _on_declaration_read_failure(self, source: RecordSource) -> None:
        self._store_contact.record(source, succeeded=False)
        self._peer_coordinator.avoid_source(source)

    def _on_registry_change(self, change: RegistryChange) -> None:
        self._server_tracker.refresh(self._group_sizes)
        self._run_monitor.on_registry_change(change)
        self._controller.wake()
        for server in change.removed:
            self._notices.record_removal(server)
        for server in change.removed:
            self._forget_connections(server)
        for server in change.restarted:
            self._forget_start(server)

    def _on_reported_restart(self, vm: VmId, start_time_ms: int) -> None:
        """Forget what a server was before a start that its entry does not show yet."""
        self._server_tracker.record_restart(vm, start_time_ms)
        server = self._registry.servers.get(vm)
        if server is not None:
            self._forget_start(server)
        self._announce()

    def _forget_start(self, server: BackendServer) -> None:
        self._forget_connections(server)
        self._group_dispatcher.forget_server(server.vm)

    def _forget_connections(self, server: BackendServer) -> None:
        self._pool.close_idle(server.address)
        self._server_contact.forget_server(server.vm)

    def _announce(self) -> None:
        self._peer_coordinator.announce()

    def _on_leaving_server(self) -> None:
        self._announce()
        self._controller.wake()

    def _on_evacuation(self) -> None:
        self._metrics.evacuated_zones.set(len(self._evacuated_zones.zones))
        self._announce()
        self._controller.wake()

    def _on_nodes(
        self, count: int, zone_nodes: list[NodeId], registered: frozenset[NodeId]
    ) -> None:
        self._retry_limiter.set_node_count(count)
        self._rate_limiter.set_nodes(
            count=count, zone_nodes=zone_nodes, registered=registered
        )
        self._group_selector.set_zone_node_count(len(zone_nodes) + 1)

    def _on_stall(self, head: VmId) -> None:
        if not self._reaches_servers():
            # The stall may be due to the links of this node.
            self._server_contact.report_trouble(head)
            return
        self._server_contact.report_trouble(head)
        server = self._registry.servers.get(head)
        if server is not None and server.membership is None:
            # The other servers of a plain service work on, so no group is suspected.
            return
        self._metrics.stalls.inc()
        _log.warning(
            "group_stalled", head=head, in_flight=self._server_tracker.in_flight(head)
        )
        self._server_tracker.suspect(head)
        self._controller.mark_suspect(head)
        self._peer_coordinator.announce()

    def _on_contact_change(self, is_cut_off: bool) -> None:
        """Take back what the loss of the links looked like, and tell the peers."""
        since_s = self._server_contact.doubtful_since_s
        self._server_tracker.clear_suspicions(since_s=since_s)
        self._server_tracker.clear_failures(since_s=since_s)
        if is_cut_off:
            self._run_monitor.withdraw_losses(since_s=since_s)
        self._metrics.servers_out_of_reach.set(is_cut_off)
        self._peer_coordinator.announce()

    def _on_contact_doubt(self, is_in_doubt: bool) -> None:
        """Take back what the silence of all servers looked like, and tell the peers."""
        if is_in_doubt:
            self._metrics.server_silences.inc()
            since_s = self._server_contact.last_heard_s
            self._run_monitor.withdraw_losses(since_s=since_s)
        self._peer_coordinator.announce()

    def _reaches_servers(self) -> bool:
        contact = self._server_contact
        return not (contact.is_cut_off or contact.is_in_doubt)

    def _is_eligible_for_lease(self) -> bool:
        """Return whether this node may be a candidate for the controller lease.

        Each change among the candidates may move the lease, and a successor has to
        wait for servers that its predecessor has freed. So a node does not become a
        candidate while another one holds the lease, and a candidate remains one
        until it stops or loses the store, or the servers while another node reaches
        them, since its orders then arrive nowhere.
        """
        if self._lifecycle.is_stopping or not self._can_reach_store():
            return False
        if (
            self._server_contact.is_cut_off
            and self._peer_coordinator.forwarding_addresses()
        ):
            return False
        if self._lease.is_candidate:
            return True
        is_stable = (
            self._peer_coordinator.relay_tenure_s >= _MIN_RELAY_TENURE_S
            or self._peer_coordinator.is_relay_stand_in
        )
        return is_stable and self._peer_coordinator.may_claim_lease

    def _can_reach_store(self) -> bool:
        """Return whether this node reaches the store, which a relay has to.

        A node that reads from a relay does not know whether it reaches the store
        itself, and is assumed to until it has tried.
        """
        return self._declaration_feed.is_fresh and self._store_contact.is_available

    def _unready_reason(self) -> str:
        if self._declarations.current is None:
            return "no_declaration"
        if not self._registry.servers:
            return "no_servers"
        return ""
