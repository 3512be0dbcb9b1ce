"""Connection of the gateway to the control process of its VM."""

import asyncio
import datetime
import random
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PeerError
from pomelolug.membership import Connection, Keys, connect
from pomelolug.messages import (
    ClaimVerdict,
    DemandReport,
    LossReport,
    Message,
    RoutingTable,
)

__all__ = ["ControlLink"]

_log = structlog.get_logger()
_RETRY_MIN = datetime.timedelta(milliseconds=100)
_RETRY_MAX = datetime.timedelta(seconds=2)
_DEMAND_EVERY = datetime.timedelta(seconds=1)


class ControlLink:
    """Keeps one connection to the control process and reconnects.

    Parameters
    ----------
    node, zone : str
        Identity of the gateway's node.
    address : str
        IP and port of the control process.
    keys : Keys
        Shared keys for authentication.
    clock : Clock
        Time source.
    random_state : random.Random
        Source of the reconnect jitter.
    on_table : callable
        Called with each `RoutingTable`.
    on_loss : callable
        Called with each `LossReport` of another gateway.
    on_verdict : callable
        Called with each `ClaimVerdict`.
    demand : callable
        Returns the current `DemandReport`.
    """

    def __init__(
        self,
        *,
        node: str,
        zone: str,
        address: str,
        keys: Keys,
        clock: Clock,
        random_state: random.Random,
        on_table: Callable[[RoutingTable], None],
        on_loss: Callable[[LossReport], None],
        on_verdict: Callable[[ClaimVerdict], None],
        demand: Callable[[], DemandReport],
    ) -> None:
        self._node = node
        self._zone = zone
        self._address = address
        self._keys = keys
        self._clock = clock
        self._random = random_state
        self._on_table = on_table
        self._on_loss = on_loss
        self._on_verdict = on_verdict
        self._demand = demand
        self._connection: Connection | None = None

    @property
    def connected(self) -> bool:
        """Whether the control process is connected."""
        return self._connection is not None

    def send(self, message: Message) -> bool:
        """Queue `message`; return False if there is no connection."""
        if self._connection is None:
            return False
        return self._connection.send(message)

    async def run(self) -> None:
        """Connect, receive and reconnect until cancelled."""
        delay = _RETRY_MIN
        while True:
            try:
                connection = await connect(
                    self._address,
                    node=self._node,
                    zone=self._zone,
                    role="gateway",
                    keys=self._keys,
                    clock=self._clock,
                    random_state=self._random,
                )
                delay = _RETRY_MIN
                await self._serve(connection)
            except (PeerError, OSError, TimeoutError) as error:
                _log.warning("control_link_lost", error=str(error))
            self._connection = None
            jitter = self._random.uniform(0.5, 1.0)
            await self._clock.sleep(delay * jitter)
            delay = min(delay * 2, _RETRY_MAX)

    async def _serve(self, connection: Connection) -> None:
        self._connection = connection
        _log.info("control_link_up", address=self._address)
        reporter = asyncio.create_task(self._report())
        try:
            async for message in connection:
                self._dispatch(message)
        finally:
            self._connection = None
            reporter.cancel()
            await connection.close()

    def _dispatch(self, message: Message) -> None:
        match message:
            case RoutingTable():
                self._on_table(message)
            case ClaimVerdict():
                self._on_verdict(message)
            case LossReport():
                self._on_loss(message)

    async def _report(self) -> None:
        while True:
            self.send(self._demand())
            await self._clock.sleep(_DEMAND_EVERY)
