"""The gateways of this VM: tables out; claims, losses and demand in."""

import asyncio
import collections
import datetime
from collections.abc import Callable

import msgspec
import structlog

from pomelolug.admission import CapacityAllocator
from pomelolug.clock import Clock
from pomelolug.control._claims import ClaimRouter
from pomelolug.control._tables import TableBuilder
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

__all__ = ["GatewayHub"]

_log = structlog.get_logger()
_MAX_EXPLANATIONS = 2000
_DEMAND_REFRESH = datetime.timedelta(seconds=4)
_DEMAND_LIFE = datetime.timedelta(seconds=12)


class GatewayHub:
    """Serves the connections of gateways.

    Parameters
    ----------
    tables : TableBuilder
        Builds the routing tables.
    claims : ClaimRouter
        Decides claims.
    mesh : Mesh
        Peers, which get demand and losses.
    on_loss : callable
        Takes each `LossReport` of an own gateway.
    losses : callable
        Returns the known losses, for a gateway that has just connected.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        tables: TableBuilder,
        claims: ClaimRouter,
        mesh: Mesh,
        on_loss: Callable[[LossReport], None],
        losses: Callable[[], tuple[LossReport, ...]],
        clock: Clock,
    ) -> None:
        self._tables = tables
        self._claims = claims
        self._mesh = mesh
        self._on_loss = on_loss
        self._losses = losses
        self._clock = clock
        self._connections: dict[Connection, TablePull | None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._explanations: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )
        self._demand: dict[str, tuple[float, DemandReport]] = {}
        self._told: dict[str, tuple[float, DemandReport]] = {}
        self._share = CapacityAllocator()
        self._incarnations: dict[str, int] = {}
        mesh.on(DemandReport, self._on_peer_demand)
        mesh.on(Suspicion, self._on_peer_suspicion)

    @property
    def connected(self) -> int:
        """Gateways that are connected."""
        return len(self._connections)

    def explain(self, request_id: str) -> tuple[str, ...]:
        """Return what a gateway of this VM decided for a request."""
        return self._explanations.get(request_id, ())

    async def serve(self, connection: Connection) -> None:
        """Run the connection of a gateway to its end."""
        self._connections[connection] = None
        _log.info("gateway_connected", gateway=connection.peer.node)
        peer = connection.peer
        if peer.incarnation != self._incarnations.get(peer.node):
            self._incarnations[peer.node] = peer.incarnation
            self._claims.holder_lost(peer.node, before=peer.incarnation)
        for loss in self._losses():
            connection.send(loss)
        try:
            await connection.run(self._receive)
        finally:
            del self._connections[connection]
            _log.info("gateway_disconnected", gateway=connection.peer.node)

    def broadcast(self, message: Message, *, but: Connection | None = None) -> None:
        """Send `message` to every connected gateway, except `but`."""
        for connection in self._connections:
            if connection is not but:
                connection.send(message)

    def push(self) -> None:
        """Send the table of now to every gateway that has pulled one."""
        for connection, pull in self._connections.items():
            if pull is not None:
                self._send_table(connection, pull)

    async def _receive(self, connection: Connection, message: Message) -> None:
        match message:
            case TablePull():
                self._connections[connection] = message
                self._send_table(connection, message)
            case ClaimRequest():
                self._start(connection, message)
            case ClaimUpdate():
                self._claims.update(message)
            case LossReport():
                self._on_loss(message)
            case Suspicion():
                self._mesh.broadcast(message)
                self.broadcast(message, but=connection)
            case Explanation():
                self._keep(message)
            case DemandReport():
                self._note_demand(message)
                self._tell_demand(message)

    def _tell_demand(self, report: DemandReport) -> None:
        """Tell the peers a demand that has changed, else only now and then."""
        now = self._clock.monotonic()
        told_at, told = self._told.get(report.gateway, (float("-inf"), None))
        if report != told or now - told_at >= _DEMAND_REFRESH.total_seconds():
            self._told[report.gateway] = (now, report)
            self._mesh.broadcast(report, key=f"demand {report.gateway}")

    def _send_table(self, connection: Connection, pull: TablePull) -> None:
        table = self._tables.table(known_version=pull.config_version)
        gateway = NodeId(connection.peer.node)
        table = msgspec.structs.replace(
            table,
            echo_s=pull.sent_at_s,
            share=self._share.share(gateway),
            share_begin=self._share.span_start(gateway),
        )
        connection.send(table, key="table")

    def _start(self, connection: Connection, request: ClaimRequest) -> None:
        task = asyncio.create_task(self._decide(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _decide(self, connection: Connection, request: ClaimRequest) -> None:
        verdict = await self._claims.decide(request.claim)
        connection.send(ClaimVerdict(serial=request.serial, verdict=verdict.value))

    def _keep(self, message: Explanation) -> None:
        self._explanations[message.request_id] = message.steps
        if len(self._explanations) > _MAX_EXPLANATIONS:
            self._explanations.popitem(last=False)

    async def _on_peer_suspicion(self, node: str, message: Message) -> None:
        self.broadcast(message)

    async def _on_peer_demand(self, node: str, message: Message) -> None:
        assert isinstance(message, DemandReport)
        self._note_demand(message)

    def _note_demand(self, report: DemandReport) -> None:
        now = self._clock.monotonic()
        self._demand[report.gateway] = (now, report)
        oldest = now - _DEMAND_LIFE.total_seconds()
        self._demand = {
            gateway: entry
            for gateway, entry in self._demand.items()
            if entry[0] >= oldest
        }
        self._share.update(entry[1] for entry in self._demand.values())
