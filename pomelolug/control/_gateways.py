"""Connections of the gateways of this VM to the control process."""

import asyncio
import collections
import datetime
from collections.abc import Callable

import msgspec
import structlog

from pomelolug.admission import CapacityAllocator
from pomelolug.clock import Clock
from pomelolug.control._claims import ClaimRouter
from pomelolug.control._tables import RoutingTableBuilder
from pomelolug.ids import NodeId
from pomelolug.membership import Connection, Mesh
from pomelolug.messages import (
    ClaimRequest,
    ClaimUpdate,
    ClaimVerdict,
    DemandReport,
    Explanation,
    LossReport,
    Message,
    Suspicion,
    TablePull,
)

__all__ = ["GatewayConnections"]

_log = structlog.get_logger()
_MAX_EXPLANATIONS = 2000
_DEMAND_REPEAT_INTERVAL = datetime.timedelta(seconds=4)
_DEMAND_TTL = datetime.timedelta(seconds=12)


class GatewayConnections:
    """Serves the connections of the gateways of this VM.

    Gateways receive routing tables and reports of lost groups, and send claims, loss
    reports, suspicions, explanations and demand reports.

    Parameters
    ----------
    table_builder : RoutingTableBuilder
        Builds the routing tables.
    claim_router : ClaimRouter
        Obtains the verdicts on claims.
    mesh : Mesh
        Connections to the peers, which exchange demand reports and suspicions.
    on_loss : callable
        Called with each `LossReport` of a connected gateway.
    losses : callable
        Returns the known loss reports, which are sent to a gateway that connects.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        table_builder: RoutingTableBuilder,
        claim_router: ClaimRouter,
        mesh: Mesh,
        on_loss: Callable[[LossReport], None],
        losses: Callable[[], tuple[LossReport, ...]],
        clock: Clock,
    ) -> None:
        self._table_builder = table_builder
        self._claim_router = claim_router
        self._mesh = mesh
        self._on_loss = on_loss
        self._losses = losses
        self._clock = clock
        self._connections: dict[Connection, TablePull | None] = {}
        self._claim_tasks: set[asyncio.Task[None]] = set()
        self._explanations: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )
        self._demand_reports: dict[str, tuple[float, DemandReport]] = {}
        self._sent_demand_reports: dict[str, tuple[float, DemandReport]] = {}
        self._allocator = CapacityAllocator()
        self._incarnations: dict[str, int] = {}
        mesh.on(DemandReport, self._on_peer_demand)
        mesh.on(Suspicion, self._on_peer_suspicion)

    @property
    def connection_count(self) -> int:
        """Number of connected gateways."""
        return len(self._connections)

    def explain(self, request_id: str) -> tuple[str, ...]:
        """Return the decisions of a gateway of this VM on a request, if known."""
        return self._explanations.get(request_id, ())

    async def serve(self, connection: Connection) -> None:
        """Serve the connection of a gateway until it ends."""
        self._connections[connection] = None
        _log.info("gateway_connected", gateway=connection.peer.node)
        peer = connection.peer
        if peer.incarnation != self._incarnations.get(peer.node):
            self._incarnations[peer.node] = peer.incarnation
            self._claim_router.report_holder_lost(
                peer.node, before_incarnation=peer.incarnation
            )
        for loss in self._losses():
            connection.send(loss)
        try:
            await connection.run(self._receive)
        finally:
            del self._connections[connection]
            _log.info("gateway_disconnected", gateway=connection.peer.node)

    def broadcast(
        self, message: Message, *, excluded: Connection | None = None
    ) -> None:
        """Send `message` to every connected gateway, except `excluded`."""
        for connection in self._connections:
            if connection is not excluded:
                connection.send(message)

    def push_tables(self) -> None:
        """Send the current table to every gateway that has requested one."""
        for connection, pull in self._connections.items():
            if pull is not None:
                self._send_table(connection, pull)

    async def _receive(self, connection: Connection, message: Message) -> None:
        match message:
            case TablePull():
                self._connections[connection] = message
                self._send_table(connection, message)
            case ClaimRequest():
                self._start_claim(connection, message)
            case ClaimUpdate():
                self._claim_router.forward_update(message)
            case LossReport():
                self._on_loss(message)
            case Suspicion():
                self._mesh.broadcast(message)
                self.broadcast(message, excluded=connection)
            case Explanation():
                self._store_explanation(message)
            case DemandReport():
                self._store_demand(message)
                self._broadcast_demand(message)

    def _broadcast_demand(self, report: DemandReport) -> None:
        """Send a report to the peers if it has changed or is due to be repeated."""
        now_s = self._clock.monotonic()
        sent_at_s, sent_report = self._sent_demand_reports.get(
            report.gateway, (float("-inf"), None)
        )
        if (
            report != sent_report
            or now_s - sent_at_s >= _DEMAND_REPEAT_INTERVAL.total_seconds()
        ):
            self._sent_demand_reports[report.gateway] = (now_s, report)
            self._mesh.broadcast(report, key=f"demand {report.gateway}")

    def _send_table(self, connection: Connection, pull: TablePull) -> None:
        table = self._table_builder.build(known_version=pull.config_version)
        gateway = NodeId(connection.peer.node)
        table = msgspec.structs.replace(
            table,
            echo_s=pull.sent_at_s,
            share=self._allocator.share(gateway),
            share_begin=self._allocator.span_start(gateway),
        )
        connection.send(table, key="table")

    def _start_claim(self, connection: Connection, request: ClaimRequest) -> None:
        task = asyncio.create_task(self._answer_claim(connection, request))
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)

    async def _answer_claim(
        self, connection: Connection, request: ClaimRequest
    ) -> None:
        verdict = await self._claim_router.decide(request.claim)
        connection.send(ClaimVerdict(serial=request.serial, verdict=verdict.value))

    def _store_explanation(self, message: Explanation) -> None:
        self._explanations[message.request_id] = message.steps
        if len(self._explanations) > _MAX_EXPLANATIONS:
            self._explanations.popitem(last=False)

    async def _on_peer_suspicion(self, node: str, message: Message) -> None:
        self.broadcast(message)

    async def _on_peer_demand(self, node: str, message: Message) -> None:
        assert isinstance(message, DemandReport)
        self._store_demand(message)

    def _store_demand(self, report: DemandReport) -> None:
        now_s = self._clock.monotonic()
        self._demand_reports[report.gateway] = (now_s, report)
        oldest_s = now_s - _DEMAND_TTL.total_seconds()
        self._demand_reports = {
            gateway: entry
            for gateway, entry in self._demand_reports.items()
            if entry[0] >= oldest_s
        }
        self._allocator.update(entry[1] for entry in self._demand_reports.values())
