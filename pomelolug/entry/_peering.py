"""What nodes tell each other, and who reads the store for whom."""

import asyncio
import datetime
import random
import time
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.entry._board import ServerBoard
from pomelolug.entry._feeds import DeclarationKeeper
from pomelolug.entry._peers import PeerMesh
from pomelolug.entry._relay import RelaySource
from pomelolug.entry._strikes import PoisonRequestDetector
from pomelolug.errors import PlatformError
from pomelolug.feeds import RecordSource
from pomelolug.ids import VmId, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.platform import TOPIC_NODES, MetadataStore, NodeSettings
from pomelolug.replicas import Departures
from pomelolug.transport import (
    BrokenResponse,
    ConnectionPool,
    encode_request,
    open_connection,
)

__all__ = ["DECLARATION_PATH", "Peering", "duty_claimed", "goes_first"]

_log = structlog.get_logger(__name__)

DECLARATION_PATH = b"/declaration"

_FETCH_DELAY = datetime.timedelta(milliseconds=250)
"""Time that this node's own feed is given first."""
_FETCH_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
_MOST_DECLARATION_BYTES = 16 * 1024 * 1024
_REGISTER_RETRY = datetime.timedelta(seconds=1)
_REGISTER_AGAIN = datetime.timedelta(seconds=15)
"""Interval at which a relay reads the other nodes' addresses again."""
_REGISTER_FIRST = datetime.timedelta(seconds=4)
"""The same after the first time, since nodes that start together miss each other."""
_APPLY = datetime.timedelta(milliseconds=100)
_STORE_WAIT = datetime.timedelta(seconds=1.5)
"""Longest wait of a read of the store; bounds the time lost on a silent path."""
_RELAY_WAIT = datetime.timedelta(milliseconds=700)
"""The same for a relay, whose loss has to be noticed within a second or so."""
_FIRST_CLAIM_S = 2.0
"""Time without a claim after which any relay may form groups."""
_AVOID_S = 2.0
"""Time in which a relay that failed is not asked again."""


class Peering:
    """Shares load, suspicions and records with other entry VMs.

    The node of a zone that has run longest and reaches the store is its relay.

    Parameters
    ----------
    settings : NodeSettings
        Addresses of this node and seeds.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Chooses whom a message names.
    declarations : DeclarationKeeper
        Declaration in force here.
    board : ServerBoard
        Load of the servers.
    store : MetadataStore
        Where nodes register for each other.
    stopping, holds_duty, serving, reaches_store : callable
        State of this node.
    on_suspect : callable
        Called with each head that a peer suspects.
    on_nodes : callable
        Called with the number of nodes of all zones, as far as known.
    departures : Departures
        Departures from groups whose heads do not answer.
    strikes : PoisonRequestDetector
        Requests in flight when servers were lost.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        declarations: DeclarationKeeper,
        board: ServerBoard,
        store: MetadataStore,
        stopping: Callable[[], bool],
        holds_duty: Callable[[], bool],
        serving: Callable[[], bool],
        reaches_store: Callable[[], bool],
        on_suspect: Callable[[VmId], None],
        on_nodes: Callable[[int], None],
        departures: Departures,
        strikes: PoisonRequestDetector,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._declarations = declarations
        self._board = board
        self._store = store
        self._stopping = stopping
        self._holds_duty = holds_duty
        self._held_duty = False
        self._duty_claimed_at = clock.monotonic()
        self._own_serving = serving
        self._reaches_store = reaches_store
        self._on_suspect = on_suspect
        self._on_nodes = on_nodes
        self._registered = 0
        self._departures = departures
        self._strikes = strikes
        self._started_ms = time.time_ns() // 1_000_000
        self._port = settings.internal_ports[0] if settings.internal_ports else 0
        self._datagram = f"{settings.ip}:{self._port}"
        self._mesh = PeerMesh(
            own=self._status,
            address=self._datagram,
            zone=settings.zone,
            is_relay=lambda: self.is_relay,
            clock=clock,
            rng=rng,
            on_status=self._heard,
        )
        self._fetching: asyncio.Task[None] | None = None
        self._pool = ConnectionPool(
            idle=datetime.timedelta(seconds=10), connect_timeout=_CONNECT_TIMEOUT
        )
        self._relays: dict[str, RelaySource] = {}
        self._avoid: dict[str, float] = {}
        self._was_relay = False
        self._relay_since = float("inf")

    @property
    def peers(self) -> list[NodeStatus]:
        """Statuses of the peers heard lately."""
        return self._mesh.live

    @property
    def serving(self) -> bool:
        """Whether a caller has sent a request to a peer."""
        return any(status.serving for status in self._mesh.live)

    @property
    def is_relay(self) -> bool:
        """Whether this node reads the store for its zone."""
        return self._relay_status() is None

    @property
    def relay_for_s(self) -> float:
        """Seconds for which this node has been the relay, 0 if it is not."""
        if not self._was_relay:
            return 0.0
        return max(self._clock.monotonic() - self._relay_since, 0.0)

    @property
    def may_claim_duty(self) -> bool:
        """Whether nobody forms groups and this node is the one to begin.

        Relays that began at the same moment would move the duty among them, so
        the first one begins alone, and the others do if it has not in time.
        """
        peers = self._mesh.live
        if duty_claimed(peers, zone=self._settings.zone):
            return False
        own = (self._started_ms, self._settings.node)
        unclaimed_s = self._clock.monotonic() - self._duty_claimed_at
        return goes_first(own, peers) or unclaimed_s > _FIRST_CLAIM_S

    def source(self) -> tuple[RecordSource, datetime.timedelta]:
        """Return where to read records next, and how long a read may wait."""
        status = self._relay_status()
        if status is None or self._avoided(status.address):
            return self._store, _STORE_WAIT
        relay = self._relays.get(status.address)
        if relay is None:
            relay = RelaySource(address=status.address, pool=self._pool)
            self._relays = {status.address: relay}
        return relay, _RELAY_WAIT

    def avoid(self, source: RecordSource) -> None:
        """Read the store instead of a relay that failed, for a while."""
        if isinstance(source, RelaySource):
            until = self._clock.monotonic() + _AVOID_S
            self._avoid = {source.address: until}

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
        self.add_seeds(self._settings.peer_seeds)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Send to the nodes at these addresses for peers from now on."""
        hosts = [address.rpartition(":")[0] for address in addresses]
        self._mesh.add_targets(f"{host}:{self._port}" for host in hosts)

    async def run(self) -> None:
        """Send, receive and register until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._mesh.run())
            group.create_task(self._register())
            group.create_task(self._apply())

    def _relay_status(self) -> NodeStatus | None:
        """Return the status of the zone's relay, None if it is this node."""
        own = (self._started_ms, self._settings.node)
        rivals = [
            status
            for status in self._mesh.live
            if status.zone == self._settings.zone
            and status.store
            and status.address
            and not status.stopping
        ]
        first = min(rivals, key=lambda s: (s.started_ms, s.node), default=None)
        if first is None:
            return None
        able = self._reaches_store() and not self._stopping()
        if able and own < (first.started_ms, first.node):
            return None
        return first

    def _avoided(self, address: str) -> bool:
        return self._avoid.get(address, float("-inf")) > self._clock.monotonic()

    async def _apply(self) -> None:
        while True:
            await self._clock.sleep(_APPLY)
            self._pool.sweep()
            self._board.take_peers(self._mesh.live, zone=self._settings.zone)
            if self.is_relay != self._was_relay:
                self._was_relay = self.is_relay
                self._relay_since = self._clock.monotonic()
                _log.info("relay_role", relay=self._was_relay)
                self.announce()
            self._count_nodes()
            if duty_claimed(self._mesh.live, zone=self._settings.zone):
                self._duty_claimed_at = self._clock.monotonic()
            if self._holds_duty() != self._held_duty:
                self._held_duty = self._holds_duty()
                self.announce()

    def _count_nodes(self) -> None:
        live = self._mesh.live
        known = [status.nodes for status in live]
        self._on_nodes(max(self._registered, len(live) + 1, *known))

    async def _register(self) -> None:
        """Write this node's address to the store and read the others'."""
        written = False
        pause = _REGISTER_FIRST
        while True:
            try:
                if not written:
                    await self._store.append(
                        TOPIC_NODES, self._settings.node, self._datagram.encode()
                    )
                    written = True
                batch = await self._store.read_newest(TOPIC_NODES)
            except PlatformError as error:
                _log.warning("peer_registration_failed", reason=str(error))
                await self._clock.sleep(_REGISTER_RETRY)
                continue
            addresses = [r.value.decode("latin-1") for r in batch.records if r.value]
            self._registered = len(addresses)
            self._mesh.add_targets(addresses)
            self._mesh.send_soon()
            await self._clock.sleep(pause)
            pause = _REGISTER_AGAIN
            while not self.is_relay:
                await self._clock.sleep(_REGISTER_RETRY)

    def _status(self, serial: int, peers: tuple[str, ...]) -> NodeStatus:
        relay = self.is_relay
        return NodeStatus(
            node=self._settings.node,
            started_ms=self._started_ms,
            serial=serial,
            zone=self._settings.zone,
            address=self._settings.peer_address,
            datagram=self._datagram,
            declaration=self._declarations.version,
            serving=self._own_serving() or (relay and self.serving),
            stopping=self._stopping(),
            store=self._reaches_store(),
            relay=relay,
            nodes=self._registered,
            duty=self._holds_duty(),
            zone_duty=relay and (self._holds_duty() or self._duty_in_zone()),
            load=self._board.own_loads(),
            zone_load=self._board.zone_loads() if relay else {},
            other_load=self._board.other_loads() if relay else {},
            suspects=self._board.suspects(),
            zone_suspects=self._board.zone_suspects() if relay else (),
            other_suspects=self._board.other_suspects() if relay else (),
            strikes=self._strikes.recent_losses(),
            releases=self._departures.ages_s(),
            peers=peers,
        )

    def _duty_in_zone(self) -> bool:
        zone = self._settings.zone
        return any(s.duty for s in self._mesh.live if s.zone == zone)

    def _heard(self, status: NodeStatus) -> None:
        for head in {*status.suspects, *status.zone_suspects, *status.other_suspects}:
            self._on_suspect(VmId(head))
        self._departures.merge(status.releases)
        self._strikes.merge(status.strikes)
        newer = status.declaration > self._declarations.version
        idle = self._fetching is None or self._fetching.done()
        if newer and idle and status.address:
            self._fetching = asyncio.get_running_loop().create_task(self._fetch(status))

    async def _fetch(self, status: NodeStatus) -> None:
        """Take a newer declaration from a peer if no feed has brought it."""
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


def duty_claimed(statuses: Iterable[NodeStatus], *, zone: ZoneId) -> bool:
    """Return whether a peer forms groups, from what it or its relay says.

    Parameters
    ----------
    statuses : iterable of NodeStatus
        Newest statuses of the peers heard lately.
    zone : ZoneId
        Zone of this node, whose nodes speak for themselves. A relay repeats no
        relay, so that two of them cannot keep a claim up between them.
    """
    return any(s.duty or (s.zone_duty and s.zone != zone) for s in statuses)


def goes_first(own: tuple[int, str], statuses: Iterable[NodeStatus]) -> bool:
    """Return whether a relay has run longer than all others.

    Parameters
    ----------
    own : tuple of int and str
        Start of the process in Unix milliseconds, and name of the node.
    statuses : iterable of NodeStatus
        Newest statuses of the peers heard lately.
    """
    return all(
        own < (s.started_ms, s.node)
        for s in statuses
        if s.relay and s.store and not s.stopping
    )


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
