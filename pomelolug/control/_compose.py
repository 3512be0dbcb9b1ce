"""Composition root of the control process."""

import asyncio
import datetime
import functools
import random
import signal
from collections.abc import Mapping

import aiohttp
import structlog
from prometheus_client import REGISTRY, CollectorRegistry

from pomelolug.clock import Clock, SystemClock
from pomelolug.configuration import CONFIG_STREAM, ConfigurationFold, Objective
from pomelolug.control._assignments import NodeAssignments
from pomelolug.control._claims import ClaimRouter
from pomelolug.control._containment import CONTAINMENT_STREAM, ContainmentFold
from pomelolug.control._directory import DirectoryPoller
from pomelolug.control._events import EventLog
from pomelolug.control._gateways import GatewayConnections
from pomelolug.control._http import OperatorPages
from pomelolug.control._metrics import ControlMetrics
from pomelolug.control._process import ControlParts, ControlProcess
from pomelolug.control._statuses import GroupStatusCache
from pomelolug.control._streams import StreamFollower
from pomelolug.control._tables import RoutingTableBuilder
from pomelolug.control._watchers import WatcherSet
from pomelolug.engines import EngineClient, HttpEngineClient
from pomelolug.groups import GroupController, GroupLimits, GroupsFold
from pomelolug.ids import GroupId, NodeId
from pomelolug.infrastructure import (
    HttpLogService,
    HttpVmDirectory,
    HttpWeightStore,
    LogService,
    VmDirectory,
    WeightStore,
)
from pomelolug.invariants import InvariantChecker
from pomelolug.membership import Dialer, Mesh, PeerKeyRing, PeerServer
from pomelolug.messages import GroupStatus, Message
from pomelolug.settings._control_generated import ControlSettings
from pomelolug.state import (
    Appender,
    CheckpointPublisher,
    Fold,
    KeyRing,
    RecordKind,
    StreamReader,
)
from pomelolug.telemetry import configure_logging

__all__ = ["GROUPS_STREAM", "ControlAdapters", "compose", "run_control"]

GROUPS_STREAM = "groups"
_CLAIM_APPEND_TIMEOUT = datetime.timedelta(seconds=2)
_log = structlog.get_logger()


class ControlAdapters:
    """Adapters for the external services of a control process.

    Parameters
    ----------
    log : LogService
        The platform's log.
    directory : VmDirectory
        The platform's VM list.
    weights : WeightStore
        The platform's weight store.
    engine : EngineClient
        Access to the engines.
    dialer : Dialer, optional
        Opens connections to peers; by default, over websockets.
    """

    def __init__(
        self,
        *,
        log: LogService,
        directory: VmDirectory,
        weights: WeightStore,
        engine: EngineClient,
        dialer: Dialer | None = None,
    ) -> None:
        self.log = log
        self.directory = directory
        self.weights = weights
        self.engine = engine
        self.dialer = dialer


def compose(
    settings: ControlSettings,
    adapters: ControlAdapters,
    clock: Clock,
    random_state: random.Random,
    registry: CollectorRegistry,
) -> ControlProcess:
    """Create the components of a control process and connect them.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    adapters : ControlAdapters
        Adapters for the external services.
    clock : Clock
        Time source.
    random_state : random.Random
        Source of jitter and of random choices.
    registry : prometheus_client.CollectorRegistry
        Registry for the metrics.

    Returns
    -------
    ControlProcess
        The control process, not yet running.
    """
    node, zone = settings.node.name, settings.node.zone
    metrics = ControlMetrics(registry)
    event_log = EventLog(clock)
    invariants = InvariantChecker(
        lambda invariant: metrics.violations.labels(invariant.value).inc()
    )

    def count_finding(reason: str) -> None:
        metrics.findings.labels(reason).inc()

    def report_violation(name: str) -> None:
        metrics.violations.labels(name).inc()
        _log.error("invariant_violated", invariant=name)

    keyring = KeyRing.from_options(settings.peers.keys, settings.platform.operators)
    limits = GroupLimits(
        verify_every=settings.groups.verify_every,
        verify_timeout=0.8 * settings.groups.verify_every,
        lease=settings.groups.lease,
        pause_bound=settings.groups.pause_bound,
        order_bound=settings.groups.order_bound,
    )

    make_reader = functools.partial(
        StreamReader,
        log=adapters.log,
        keyring=keyring,
        clock=clock,
        expected_log_id=settings.platform.log_id,
        random_state=random_state,
        on_violation=report_violation,
    )

    def make_state_reader(stream: str, fold: Fold) -> StreamReader:
        return make_reader(
            stream=stream,
            fold=fold,
            author=f"node:{node}",
            # The controllers' lease starts at a read, so a read may only take a
            # fraction of the lease.
            long_poll=settings.groups.lease / 3,
        )

    def make_claims_reader(stream: str, fold: Fold) -> StreamReader:
        # Peers read claims only from the log, so no records are kept for them.
        return make_reader(
            stream=stream, fold=fold, window=settings.claims.window, relay_bytes=0
        )

    config_fold, groups_fold = ConfigurationFold(), GroupsFold()
    containment_fold = ContainmentFold()
    config_reader = make_state_reader(CONFIG_STREAM, config_fold)
    groups_reader = make_state_reader(GROUPS_STREAM, groups_fold)
    containment_reader = make_state_reader(CONTAINMENT_STREAM, containment_fold)
    make_appender = functools.partial(
        Appender,
        log=adapters.log,
        keyring=keyring,
        author=f"node:{node}",
        clock=clock,
        random_state=random_state,
    )
    appender = make_appender()
    # A claim is given up after 2 s. Searching longer for its record would only delay
    # the next batch of the relay.
    claims_appender = make_appender(timeout=_CLAIM_APPEND_TIMEOUT)
    mesh = Mesh(
        node=node,
        zone=zone,
        region=settings.node.region,
        address=str(settings.listen.address),
        seeds=[str(seed) for seed in settings.peers.seeds],
        keys=PeerKeyRing(settings.peers.keys),
        clock=clock,
        random_state=random_state,
        heartbeat=settings.peers.heartbeat,
        suspect_after=settings.peers.suspect_after,
        dead_after=settings.peers.dead_after,
        dialer=adapters.dialer,
    )
    stream_follower = StreamFollower(
        config_reader=config_reader,
        groups_reader=groups_reader,
        containment_reader=containment_reader,
        mesh=mesh,
        clock=clock,
        random_state=random_state,
    )
    checkpoint_publishers = tuple(
        CheckpointPublisher(
            reader=reader,
            appender=appender,
            clock=clock,
            random_state=random_state,
            retention=settings.platform.retention,
            node=NodeId(node),
            live_nodes=lambda: [info.node for info in mesh.live_nodes()],
        )
        for reader in (config_reader, groups_reader, containment_reader)
    )
    directory = DirectoryPoller(
        directory=adapters.directory,
        clock=clock,
        random_state=random_state,
        on_findings=lambda count: metrics.findings.labels("vm_list").inc(count),
    )
    status_cache = GroupStatusCache(
        node=node, clock=clock, on_change=lambda: gateways.push_tables()
    )

    def current_statuses() -> Mapping[GroupId, GroupStatus]:
        return {GroupId(s.group): s for s in table_builder.live_statuses()}

    assignments = NodeAssignments(
        node=node,
        live_nodes=mesh.live_nodes,
        vm_entries=lambda: directory.entries,
        clock=clock,
    )

    async def append_group(kind: RecordKind, message: Message) -> int:
        return await appender.append(GROUPS_STREAM, kind, message)

    controller = GroupController(
        fold=groups_fold,
        append=append_group,  # type: ignore[arg-type]
        engine=adapters.engine,
        weights=adapters.weights,
        vm_entries=lambda: directory.entries,
        pools=lambda: config_fold.current.pools if config_fold.current else (),
        is_own_domain=assignments.is_controller_of,
        objective=lambda: (
            config_fold.current.objective
            if config_fold.current
            else Objective.GROUP_DOWNTIME
        ),
        statuses=current_statuses,
        last_full_read_s=lambda: groups_reader.last_full_read_s,
        clock=clock,
        random_state=random_state,
        limits=limits,
        on_finding=count_finding,
        on_violation=report_violation,
    )
    watchers = WatcherSet(
        node=node,
        assignments=assignments,
        fold=groups_fold,
        engine=adapters.engine,
        addresses=lambda: directory.addresses,
        draining=lambda: controller.draining,
        stragglers=lambda: controller.stragglers,
        publish=status_cache.add_local,
        on_violation=report_violation,
        limits=limits,
        clock=clock,
    )
    claim_router = ClaimRouter(
        node=node,
        region=settings.node.region,
        mesh=mesh,
        appender=claims_appender,
        make_reader=make_claims_reader,
        partition_count=settings.claims.partitions,
        window=settings.claims.window,
        batch_delay=settings.claims.batch,
        clock=clock,
        random_state=random_state,
    )
    table_builder = RoutingTableBuilder(
        groups_fold=groups_fold,
        status_cache=status_cache,
        directory=directory,
        configuration=lambda: config_fold.current,
        draining=lambda: controller.draining,
        quarantined_fingerprints=tuple,  # always empty
        entry_vm_count=lambda: len(mesh.live_nodes()),
        clock=clock,
    )
    gateways = GatewayConnections(
        table_builder=table_builder,
        claim_router=claim_router,
        mesh=mesh,
        on_loss=lambda report: control.on_gateway_loss(report),
        losses=lambda: containment_fold.losses,
        clock=clock,
    )
    control = ControlProcess(
        ControlParts(
            node=node,
            mesh=mesh,
            config_reader=config_reader,
            config_fold=config_fold,
            groups_reader=groups_reader,
            groups_fold=groups_fold,
            containment_reader=containment_reader,
            containment_fold=containment_fold,
            appender=appender,
            stream_follower=stream_follower,
            checkpoint_publishers=checkpoint_publishers,
            directory=directory,
            status_cache=status_cache,
            watchers=watchers,
            controller=controller,
            claim_router=claim_router,
            table_builder=table_builder,
            gateways=gateways,
            event_log=event_log,
            metrics=metrics,
            invariants=invariants,
            clock=clock,
        )
    )
    return control


async def run_control(settings: ControlSettings) -> None:
    """Run a control process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : ControlSettings
        Validated settings.
    """
    configure_logging(settings.log.level, node=settings.node.name, process="control")
    clock = SystemClock()
    random_state = random.Random(settings.random.state or None)
    registry = CollectorRegistry()
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    async with aiohttp.ClientSession() as session:
        adapters = ControlAdapters(
            log=HttpLogService(session, str(settings.platform.log)),
            directory=HttpVmDirectory(session, str(settings.platform.vms)),
            weights=HttpWeightStore(session, str(settings.platform.weights)),
            engine=HttpEngineClient(session),
        )
        control = compose(settings, adapters, clock, random_state, registry)
        server = PeerServer(
            address=str(settings.listen.address),
            identity=lambda: control.identity,
            keys=PeerKeyRing(settings.peers.keys),
            on_connection=control.serve,
            clock=clock,
            http_handler=OperatorPages(control.pages(), (registry, REGISTRY)),
        )
        await server.start()
        _log.info("control_started", address=str(settings.listen.address))
        control_task = asyncio.create_task(control.run())
        stop_task = asyncio.create_task(stop_event.wait())
        try:
            await asyncio.wait(
                (control_task, stop_task), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (control_task, stop_task):
                task.cancel()
            await asyncio.gather(control_task, stop_task, return_exceptions=True)
            await server.close()
    if (
        control_task.done()
        and not control_task.cancelled()
        and control_task.exception()
    ):
        raise control_task.exception()  # type: ignore[misc]
    _log.info("control_stopped")
