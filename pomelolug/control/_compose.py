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
from pomelolug.control._claims import ClaimRouter
from pomelolug.control._containment import CONTAINMENT_STREAM, ContainmentFold
from pomelolug.control._directory import DirectoryPoller
from pomelolug.control._duties import Duties
from pomelolug.control._events import EventLog
from pomelolug.control._gateways import GatewayHub
from pomelolug.control._http import OperatorPages
from pomelolug.control._metrics import ControlMetrics
from pomelolug.control._node import ControlNode, ControlParts
from pomelolug.control._statuses import StatusBoard
from pomelolug.control._streams import StreamSet
from pomelolug.control._tables import TableBuilder
from pomelolug.control._watching import WatcherSet
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
from pomelolug.membership import Dialer, Keys, Mesh, PeerServer
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

__all__ = ["GROUPS_STREAM", "Platform", "compose", "run_control"]

GROUPS_STREAM = "groups"
_CLAIM_APPEND_DEADLINE = datetime.timedelta(seconds=2)
_log = structlog.get_logger()


class Platform:
    """Adapters of everything outside.

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
        Opens connections to peers; websockets by default.
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
    platform: Platform,
    clock: Clock,
    random_state: random.Random,
    registry: CollectorRegistry,
) -> ControlNode:
    """Return the wired control process.

    Parameters
    ----------
    settings : ControlSettings
        Checked settings.
    platform : Platform
        Adapters of everything outside.
    clock : Clock
        Time source.
    random_state : random.Random
        Source of jitter and choices.
    registry : prometheus_client.CollectorRegistry
        Where the metrics are registered.

    Returns
    -------
    ControlNode
        Ready to run.
    """
    node, zone = settings.node.name, settings.node.zone
    metrics = ControlMetrics(registry)
    events = EventLog(clock)
    invariants = InvariantChecker(
        lambda which: metrics.violations.labels(which.value).inc()
    )

    def counted(reason: str) -> None:
        metrics.findings.labels(reason).inc()

    def violated(name: str) -> None:
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
        log=platform.log,
        keyring=keyring,
        clock=clock,
        expected_log_id=settings.platform.log_id,
        random_state=random_state,
        on_violation=violated,
    )

    def reader(stream: str, fold: Fold) -> StreamReader:
        return make_reader(
            stream=stream,
            fold=fold,
            author=f"node:{node}",
            # The controllers' lease counts from a read, so that a read must not
            # take much longer than a part of the lease.
            long_poll=settings.groups.lease / 3,
        )

    def claims_reader(stream: str, fold: Fold) -> StreamReader:
        # Peers read the claims of a partition from the log alone.
        return make_reader(
            stream=stream, fold=fold, window=settings.claims.window, relay_bytes=0
        )

    config_fold, groups_fold = ConfigurationFold(), GroupsFold()
    containment_fold = ContainmentFold()
    config = reader(CONFIG_STREAM, config_fold)
    groups = reader(GROUPS_STREAM, groups_fold)
    containment = reader(CONTAINMENT_STREAM, containment_fold)
    make_appender = functools.partial(
        Appender,
        log=platform.log,
        keyring=keyring,
        author=f"node:{node}",
        clock=clock,
        random_state=random_state,
    )
    appender = make_appender()
    # A claim is given up after 2 s, so that its append need not be looked for any
    # longer; the relay's next batch waits for it.
    claims_appender = make_appender(timeout=_CLAIM_APPEND_DEADLINE)
    mesh = Mesh(
        node=node,
        zone=zone,
        region=settings.node.region,
        address=str(settings.listen.address),
        seeds=[str(seed) for seed in settings.peers.seeds],
        keys=Keys(settings.peers.keys),
        clock=clock,
        random_state=random_state,
        heartbeat=settings.peers.heartbeat,
        suspect_after=settings.peers.suspect_after,
        dead_after=settings.peers.dead_after,
        dialer=platform.dialer,
    )
    streams = StreamSet(
        config=config,
        groups=groups,
        containment=containment,
        mesh=mesh,
        clock=clock,
        random_state=random_state,
    )
    checkpoints = tuple(
        CheckpointPublisher(
            reader=followed,
            appender=appender,
            clock=clock,
            random_state=random_state,
            retention=settings.platform.retention,
            node=NodeId(node),
            live_nodes=lambda: [info.node for info in mesh.live_nodes()],
        )
        for followed in (config, groups, containment)
    )
    directory = DirectoryPoller(
        directory=platform.directory,
        clock=clock,
        random_state=random_state,
        on_findings=lambda count: metrics.findings.labels("vm_list").inc(count),
    )
    board = StatusBoard(node=node, clock=clock, on_change=lambda: gateways.push())

    def statuses() -> Mapping[GroupId, GroupStatus]:
        return {GroupId(s.group): s for s in tables.groups()}

    duties = Duties(
        node=node,
        alive=mesh.live_nodes,
        entries=lambda: directory.entries,
        clock=clock,
    )

    async def append_group(kind: RecordKind, message: Message) -> int:
        return await appender.append(GROUPS_STREAM, kind, message)

    controller = GroupController(
        fold=groups_fold,
        append=append_group,  # type: ignore[arg-type]
        engine=platform.engine,
        weights=platform.weights,
        vm_entries=lambda: directory.entries,
        pools=lambda: config_fold.current.pools if config_fold.current else (),
        is_own_domain=duties.controls,
        objective=lambda: (
            config_fold.current.objective
            if config_fold.current
            else Objective.GROUP_DOWNTIME
        ),
        statuses=statuses,
        last_full_read_s=lambda: groups.last_full_read_s,
        clock=clock,
        random_state=random_state,
        limits=limits,
        on_finding=counted,
        on_violation=violated,
    )
    watchers = WatcherSet(
        node=node,
        duties=duties,
        fold=groups_fold,
        engine=platform.engine,
        addresses=lambda: directory.addresses,
        draining=lambda: controller.draining,
        stragglers=lambda: controller.stragglers,
        publish=board.observe,
        violated=violated,
        limits=limits,
        clock=clock,
    )
    claims = ClaimRouter(
        node=node,
        region=settings.node.region,
        mesh=mesh,
        appender=claims_appender,
        make_reader=claims_reader,
        partitions=settings.claims.partitions,
        window=settings.claims.window,
        batch=settings.claims.batch,
        clock=clock,
        random_state=random_state,
    )
    tables = TableBuilder(
        fold=groups_fold,
        board=board,
        directory=directory,
        configuration=lambda: config_fold.current,
        draining=lambda: controller.draining,
        condemned=tuple,
        gateways=lambda: len(mesh.live_nodes()),
        clock=clock,
    )
    gateways = GatewayHub(
        tables=tables,
        claims=claims,
        mesh=mesh,
        on_loss=lambda report: control.on_gateway_loss(report),
        losses=lambda: containment_fold.losses,
        clock=clock,
    )
    control = ControlNode(
        ControlParts(
            node=node,
            mesh=mesh,
            config=config,
            config_fold=config_fold,
            groups=groups,
            groups_fold=groups_fold,
            containment=containment,
            containment_fold=containment_fold,
            appender=appender,
            streams=streams,
            checkpoints=checkpoints,
            directory=directory,
            board=board,
            watchers=watchers,
            controller=controller,
            claims=claims,
            tables=tables,
            gateways=gateways,
            events=events,
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
        Checked settings.
    """
    configure_logging(settings.log.level, node=settings.node.name, process="control")
    clock = SystemClock()
    random_state = random.Random(settings.random.state or None)
    registry = CollectorRegistry()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with aiohttp.ClientSession() as session:
        platform = Platform(
            log=HttpLogService(session, str(settings.platform.log)),
            directory=HttpVmDirectory(session, str(settings.platform.vms)),
            weights=HttpWeightStore(session, str(settings.platform.weights)),
            engine=HttpEngineClient(session),
        )
        control = compose(settings, platform, clock, random_state, registry)
        server = PeerServer(
            address=str(settings.listen.address),
            identity=lambda: control.identity,
            keys=Keys(settings.peers.keys),
            on_connection=control.serve,
            clock=clock,
            http_handler=OperatorPages(control.pages(), (registry, REGISTRY)),
        )
        await server.start()
        _log.info("control_started", address=str(settings.listen.address))
        running = asyncio.create_task(control.run())
        stopping = asyncio.create_task(stop.wait())
        try:
            await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (running, stopping):
                task.cancel()
            await asyncio.gather(running, stopping, return_exceptions=True)
            await server.close()
    if running.done() and not running.cancelled() and running.exception():
        raise running.exception()  # type: ignore[misc]
    _log.info("control_stopped")
