"""Connection from the gateway to the control process on its VM."""

import asyncio
import datetime
import random
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PeerError
from pomelolug.ids import Incarnation, NodeId, RegionId, ZoneId
from pomelolug.membership import (
    Connection,
    Dialer,
    Identity,
    PeerKeyRing,
    Role,
    Side,
    open_connection,
)
from pomelolug.messages import (
    ClaimVerdict,
    DemandReport,
    LossReport,
    Message,
    RoutingTable,
    Suspicion,
    TablePull,
)

__all__ = ["ControlConnection"]

_log = structlog.get_logger()
_MIN_RECONNECT_DELAY = datetime.timedelta(milliseconds=100)
_MAX_RECONNECT_DELAY = datetime.timedelta(seconds=2)
_PULL_INTERVAL = datetime.timedelta(milliseconds=250)
_PULLS_PER_DEMAND_REPORT = 4
_HANDSHAKE_TIMEOUT = datetime.timedelta(seconds=2)


class ControlConnection:
    """Maintains a connection to the control process and reconnects when it is lost.

    Routing tables are pulled: each table is the response to a message with the
    time at which this process sent it, so that a delayed table is recognised as old.

    Parameters
    ----------
    node, zone : str
        Name and availability zone of the gateway's node.
    incarnation : Incarnation
        Incarnation of the gateway process.
    address : str
        IP and port of the control process.
    keys : PeerKeyRing
        Shared keys that authenticate the connection.
    dialer : Dialer
        Opens the connection.
    clock : Clock
        Time source.
    random_state : random.Random
        Random generator for the reconnect jitter.
    on_table : callable
        Called with each `RoutingTable`.
    on_loss : callable
        Called with each `LossReport` of another gateway.
    on_suspicion : callable
        Called with each `Suspicion` of another gateway.
    on_verdict : callable
        Called with each `ClaimVerdict`.
    on_connected, on_disconnected : callable
        Called when the connection is established and when it is lost.
    make_demand_report : callable
        Returns the current `DemandReport`.
    get_config_version : callable
        Returns the configuration version in force.
    """

    def __init__(
        self,
        *,
        node: str,
        zone: str,
        incarnation: Incarnation,
        address: str,
        keys: PeerKeyRing,
        dialer: Dialer,
        clock: Clock,
        random_state: random.Random,
        on_table: Callable[[RoutingTable], None],
        on_loss: Callable[[LossReport], None],
        on_suspicion: Callable[[Suspicion], None],
        on_verdict: Callable[[ClaimVerdict], None],
        on_connected: Callable[[], None],
        on_disconnected: Callable[[], None],
        make_demand_report: Callable[[], DemandReport],
        get_config_version: Callable[[], int],
    ) -> None:
        self._identity = Identity(
            node=NodeId(node),
            role=Role.GATEWAY,
            incarnation=incarnation,
            zone=ZoneId(zone),
            region=RegionId(""),
            address="",
        )
        self._address = address
        self._keys = keys
        self._dialer = dialer
        self._clock = clock
        self._random = random_state
        self._on_table = on_table
        self._on_loss = on_loss
        self._on_suspicion = on_suspicion
        self._on_verdict = on_verdict
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._make_demand_report = make_demand_report
        self._get_config_version = get_config_version
        self._connection: Connection | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established."""
        return self._connection is not None

    def send(self, message: Message) -> bool:
        """Queue `message` for sending; return False if there is no connection."""
        if self._connection is None:
            return False
        return self._connection.send(message)

    async def run(self) -> None:
        """Connect, exchange messages and reconnect until cancelled."""
        delay = _MIN_RECONNECT_DELAY
        while True:
            try:
                transport = await self._dialer.dial(
                    self._address, timeout=_HANDSHAKE_TIMEOUT
                )
                connection = await open_connection(
                    transport,
                    Side.DIALER,
                    self._identity,
                    self._keys,
                    clock=self._clock,
                    timeout=_HANDSHAKE_TIMEOUT,
                )
                delay = _MIN_RECONNECT_DELAY
                await self._run_connection(connection)
            except (PeerError, OSError) as error:
                _log.warning("control_unreachable", error=str(error))
            jitter = self._random.uniform(0.5, 1.0)
            await self._clock.sleep(delay * jitter)
            delay = min(delay * 2, _MAX_RECONNECT_DELAY)

    async def _run_connection(self, connection: Connection) -> None:
        self._connection = connection
        _log.info("control_connected", address=self._address)
        self._on_connected()
        pull_task = asyncio.create_task(self._pull_tables())
        try:
            await connection.run(self._handle_message)
        finally:
            self._connection = None
            pull_task.cancel()
            self._on_disconnected()
            _log.warning("control_lost", reason=connection.close_reason)

    async def _handle_message(self, connection: Connection, message: Message) -> None:
        match message:
            case RoutingTable():
                self._on_table(message)
            case ClaimVerdict():
                self._on_verdict(message)
            case LossReport():
                self._on_loss(message)
            case Suspicion():
                self._on_suspicion(message)

    async def _pull_tables(self) -> None:
        pull_count = 0
        while True:
            if pull_count % _PULLS_PER_DEMAND_REPORT == 0:
                self.send(self._make_demand_report())
            pull_count += 1
            self.send(
                TablePull(
                    sent_at_s=self._clock.monotonic(),
                    config_version=self._get_config_version(),
                )
            )
            await self._clock.sleep(_PULL_INTERVAL)
