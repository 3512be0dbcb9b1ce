"""What nodes tell each other, and how they find each other."""

import asyncio
import datetime
import random
import time
from collections.abc import Callable

import structlog

from pomelolug.clock import Clock
from pomelolug.entry._board import ServerBoard
from pomelolug.entry._feeds import DeclarationFeed
from pomelolug.entry._peers import PeerMesh
from pomelolug.errors import PlatformError
from pomelolug.ids import VmId
from pomelolug.messages import NodeStatus
from pomelolug.platform import MetadataStore, NodeSettings
from pomelolug.transport import BrokenResponse, encode_request, open_connection

__all__ = ["DECLARATION_PATH", "Peering"]

_log = structlog.get_logger(__name__)

DECLARATION_PATH = b"/declaration"

_NODES_TOPIC = "keyed.nodes"
_FETCH_DELAY = datetime.timedelta(milliseconds=250)
"""Time that this node's own read of the store is given first."""
_FETCH_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
_MOST_DECLARATION_BYTES = 16 * 1024 * 1024
_REGISTER_RETRY = datetime.timedelta(seconds=1)
_APPLY = datetime.timedelta(milliseconds=100)


class Peering:
    """Shares load, suspicions and the declaration with other entry VMs.

    Parameters
    ----------
    settings : NodeSettings
        Addresses of this node and seeds.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Chooses whom a message names.
    declarations : DeclarationFeed
        Declaration in force here.
    board : ServerBoard
        Load of the servers.
    store : MetadataStore
        Where nodes register for each other.
    stopping, serving : callable
        State of this node.
    on_suspect : callable
        Called with each head that a peer suspects.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        declarations: DeclarationFeed,
        board: ServerBoard,
        store: MetadataStore,
        stopping: Callable[[], bool],
        serving: Callable[[], bool],
        on_suspect: Callable[[VmId], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._declarations = declarations
        self._board = board
        self._store = store
        self._stopping = stopping
        self._own_serving = serving
        self._on_suspect = on_suspect
        self._started_ms = time.time_ns() // 1_000_000
        self._port = settings.internal_ports[0] if settings.internal_ports else 0
        self._datagram = f"{settings.ip}:{self._port}"
        self._mesh = PeerMesh(
            own=self._status,
            address=self._datagram,
            clock=clock,
            rng=rng,
            on_status=self._heard,
        )
        self._fetching: asyncio.Task[None] | None = None

    @property
    def peers(self) -> list[NodeStatus]:
        """Statuses of the peers heard lately."""
        return self._mesh.live

    @property
    def serving(self) -> bool:
        """Whether a caller has sent a request to a peer."""
        return any(status.serving for status in self._mesh.live)

    def announce(self) -> None:
        """Tell peers at once."""
        self._mesh.send_soon()

    async def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Bind the datagram socket."""
        if not self._port:
            _log.warning("no_internal_port")
            return
        await loop.create_datagram_endpoint(
            lambda: self._mesh, local_addr=(self._settings.ip, self._port)
        )
        seeds = [seed.rpartition(":")[0] for seed in self._settings.peer_seeds]
        self._mesh.add_targets(f"{host}:{self._port}" for host in seeds)

    async def run(self) -> None:
        """Send, receive and register until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._mesh.run())
            group.create_task(self._register())
            group.create_task(self._apply())

    async def _apply(self) -> None:
        while True:
            await self._clock.sleep(_APPLY)
            self._board.take_peers(self._mesh.live)

    async def _register(self) -> None:
        """Write this node's address to the store and read the others'."""
        while True:
            try:
                await self._store.append(
                    _NODES_TOPIC, self._settings.node, self._datagram.encode()
                )
                batch = await self._store.newest(_NODES_TOPIC)
            except PlatformError as error:
                _log.warning("peer_registration_failed", reason=str(error))
                await self._clock.sleep(_REGISTER_RETRY)
                continue
            self._mesh.add_targets(
                value.decode("latin-1") for _, _, value in batch.records if value
            )
            self._mesh.send_soon()
            return

    def _status(self, serial: int, peers: tuple[str, ...]) -> NodeStatus:
        return NodeStatus(
            node=self._settings.node,
            started_ms=self._started_ms,
            serial=serial,
            zone=self._settings.zone,
            address=self._settings.peer_address,
            datagram=self._datagram,
            declaration=self._declarations.version,
            serving=self._own_serving(),
            stopping=self._stopping(),
            load=self._board.own_loads(),
            suspects=self._board.suspects(),
            peers=peers,
        )

    def _heard(self, status: NodeStatus) -> None:
        for head in status.suspects:
            self._on_suspect(VmId(head))
        newer = status.declaration > self._declarations.version
        idle = self._fetching is None or self._fetching.done()
        if newer and idle and status.address:
            self._fetching = asyncio.get_running_loop().create_task(self._fetch(status))

    async def _fetch(self, status: NodeStatus) -> None:
        """Take a newer declaration from a peer if the store has not brought it."""
        await self._clock.sleep(_FETCH_DELAY)
        if self._declarations.version >= status.declaration:
            return
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                data = await _get(status.address, DECLARATION_PATH)
        except (BrokenResponse, TimeoutError) as error:
            _log.warning(
                "declaration_fetch_failed", peer=status.node, reason=repr(error)
            )
            return
        self._declarations.offer(data, source=status.node)


async def _get(address: str, path: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    connection = await open_connection(host, int(port), timeout=_CONNECT_TIMEOUT)
    try:
        connection.send(encode_request(b"GET", path, [(b"Host", address.encode())]))
        head = await connection.head()
        if head.status != 200:
            raise BrokenResponse(f"status_{head.status}")
        return await connection.body(_MOST_DECLARATION_BYTES)
    finally:
        connection.close()
