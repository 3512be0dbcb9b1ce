"""Peer-to-peer mesh of the control processes."""

import asyncio
import datetime
import math
import random
from collections.abc import Awaitable, Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PeerError
from pomelolug.ids import NodeId, RegionId, ZoneId
from pomelolug.membership._connection import (
    MESSAGE_TYPES,
    Connection,
    open_connection,
)
from pomelolug.membership._handshake import Identity, Role
from pomelolug.membership._hubs import FULL_MESH_NODES, HubSelector
from pomelolug.membership._keys import PeerKeyRing, Side
from pomelolug.membership._link import Link, merge_link_reports
from pomelolug.membership._metrics import DIALS, REFUSALS
from pomelolug.membership._relay import RelayRouter
from pomelolug.membership._table import (
    Member,
    MembershipTable,
    NodeInfo,
    NodeState,
    first_incarnation,
)
from pomelolug.membership._transport import Dialer, WebsocketDialer
from pomelolug.messages import Digest, Heartbeat, Message, Relay

__all__ = ["Handler", "Mesh"]

MAX_ADDRESSES = 2048
# A connection that is no longer needed is kept for this many heartbeats, in case
# the peer comes to need it.
UNDESIRED_HEARTBEATS = 5
FRESH_HEARTBEATS = 2
# Once in this many heartbeats, one address that no live node has is dialled.
DISCOVERY_HEARTBEATS = 10
MAX_BACKOFF_HEARTBEATS = 8
MAX_DISCOVERY_DIALS = 3
JITTER_FRACTION = 0.1

Handler = Callable[[str, Message], Awaitable[None]]

_log = structlog.get_logger(__name__)


class Mesh:
    """Connections to the other control processes and the membership they report.

    Nodes exchange digests of their membership tables every heartbeat. While there
    are few nodes, every node is connected to every other one; above the limit
    each zone has hubs that relay messages.

    Parameters
    ----------
    node, zone, region : str
        Name and location of this node.
    address : str
        IP and port at which peers reach this node.
    seeds : iterable of str
        Initial addresses of peers. The address of this node may be among them.
    keys : PeerKeyRing
        Shared keys.
    clock : Clock
        Source of wall and monotonic time.
    random_state : random.Random
        Source of jitter and of the choice of addresses to discover.
    heartbeat, suspect_after, dead_after : datetime.timedelta
        Period of the digests, and silence after which a node is suspected and
        after which it is considered dead.
    hubs_per_zone : int
        Number of hubs per zone when there are too many nodes for a full mesh.
    full_mesh_nodes : int
        With at most this many nodes, every node is connected to every other.
    dialer : Dialer, optional
        Opens connections. By default a `WebsocketDialer`.
    """

    def __init__(
        self,
        *,
        node: str,
        zone: str,
        region: str,
        address: str,
        seeds: Iterable[str],
        keys: PeerKeyRing,
        clock: Clock,
        random_state: random.Random,
        heartbeat: datetime.timedelta = datetime.timedelta(seconds=1),
        suspect_after: datetime.timedelta = datetime.timedelta(seconds=3),
        dead_after: datetime.timedelta = datetime.timedelta(seconds=10),
        hubs_per_zone: int = 2,
        full_mesh_nodes: int = FULL_MESH_NODES,
        dialer: Dialer | None = None,
    ) -> None:
        self._keys = keys
        self._clock = clock
        self._random = random_state
        self._heartbeat_s = heartbeat.total_seconds()
        self._suspect_after = suspect_after
        self._dialer = dialer or WebsocketDialer()
        own = Heartbeat(
            node=node,
            incarnation=first_incarnation(clock.now()),
            zone=zone,
            region=region,
            address=address,
        )
        self._table = MembershipTable(
            own, suspect_after=suspect_after, dead_after=dead_after
        )
        self._node = node
        self._hub_selector = HubSelector(
            self._table, per_zone=hubs_per_zone, full_mesh_nodes=full_mesh_nodes
        )
        self._links: dict[str, Link] = {}
        self._relay_router = RelayRouter(
            node, self._links, random_state, self._disconnected_peers
        )
        self._handlers: dict[type[Message], Handler] = {}
        self._state_callbacks: list[Callable[[NodeInfo], None]] = []
        self._addresses: dict[str, None] = {}
        self._own_addresses = {address}
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}
        self._discovery_tasks: set[asyncio.Task[None]] = set()
        self._discovery_dials = 0
        self._heartbeat_count = 0
        self._clock_read_at_s = math.inf
        self.add_addresses(seeds)

    @property
    def identity(self) -> Identity:
        """Identity that this process sends in hello messages."""
        own = self._table.own_heartbeat
        return Identity(
            node=NodeId(own.node),
            role=Role.CONTROL,
            incarnation=own.incarnation,  # type: ignore[arg-type]
            zone=ZoneId(own.zone),
            region=RegionId(own.region),
            address=own.address,
        )

    @property
    def is_hub(self) -> bool:
        """Whether this node is a hub, which relays messages for others."""
        return self._node in self._hub_selector.hubs()

    @property
    def connected_nodes(self) -> tuple[NodeId, ...]:
        """Nodes with a direct connection, sorted by name."""
        return tuple(NodeId(node) for node in sorted(self._links))

    def live_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the live nodes including this one, sorted by name."""
        return tuple(n for n in self.nodes() if n.state is NodeState.ALIVE)

    def nodes(self) -> tuple[NodeInfo, ...]:
        """Return all known nodes in any state, sorted by name."""
        infos = [member.info() for member in self._table]
        return tuple(sorted(infos, key=lambda info: info.node))

    def on(self, message_type: type[Message], handler: Handler) -> None:
        """Call `handler` with the origin node and the message for this message type.

        The handler must not wait for the network, because it delays the later
        messages of the connection.
        """
        self._handlers[message_type] = handler

    def on_change(self, callback: Callable[[NodeInfo], None]) -> None:
        """Call `callback` whenever the state of a node changes."""
        self._state_callbacks.append(callback)

    def set_versions(self, *, config_version: int, groups_offset: int) -> None:
        """Set the versions that this node reports for itself."""
        self._table.set_versions(config_version, groups_offset)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses at which other control processes may be reachable."""
        for address in addresses:
            if len(self._addresses) < MAX_ADDRESSES:
                self._addresses.setdefault(address)

    def send(self, node: str, message: Message, *, key: str | None = None) -> bool:
        """Send `message` to `node`, through other nodes if necessary.

        Returns
        -------
        bool
            Whether the message was queued on a connection. Delivery is not
            guaranteed.
        """
        return self._relay_router.send(node, message, key=key)

    def broadcast(self, message: Message, *, key: str | None = None) -> int:
        """Send `message` to all other nodes. Duplicates are discarded there.

        Returns
        -------
        int
            Number of connections on which the message was queued. Delivery is not
            guaranteed.
        """
        return self._relay_router.broadcast(message, key=key)

    async def run(self) -> None:
        """Send digests and maintain connections until cancelled."""
        try:
            self._clock_read_at_s = self._clock.monotonic()
            while True:
                await self._clock.sleep(self._jittered_heartbeats(1.0))
                self._advance_table_clock()
                self._run_heartbeat()
        finally:
            tasks = [*self._dial_tasks.values(), *self._discovery_tasks]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _advance_table_clock(self) -> None:
        now_s = self._clock.monotonic()
        # More than two periods between readings indicate that this process was paused.
        self._table.advance(now_s - self._clock_read_at_s, 2 * self._heartbeat_s)
        self._clock_read_at_s = now_s

    async def serve(self, connection: Connection) -> None:
        """Serve an authenticated connection of a control process until it ends."""
        node = connection.peer.node
        if connection.peer.role is not Role.CONTROL:
            REFUSALS.labels(reason="role").inc()
            connection.close("not a control process")
        elif node == self._node:
            self._own_addresses.add(connection.peer.address)
            connection.close("own node")
        elif not self._resolve_duplicate(connection):
            REFUSALS.labels(reason="duplicate_connection").inc()
            connection.close("duplicate")
        else:
            link = self._links[node] = Link(connection, self._table)
            self._update_liveness()
            link.set_peer_is_hub(node in self._hub_selector.hubs())
            link.send_digest()
        try:
            await connection.run(self._receive)
        finally:
            current_link = self._links.get(node)
            if current_link is not None and current_link.connection is connection:
                del self._links[node]

    def _resolve_duplicate(self, connection: Connection) -> bool:
        link = self._links.get(connection.peer.node)
        if link is None:
            return True
        old = link.connection
        is_dialed_by_lower_name = (connection.side is Side.DIALER) is (
            self._node < connection.peer.node
        )
        # If both ends dial at the same time, both keep the connection dialled by the
        # node with the lower name. A silent connection is always replaced.
        is_silent = self._table.unpaused_s - link.last_digest_s > 2 * self._heartbeat_s
        has_restarted = connection.peer.incarnation > old.peer.incarnation
        if (
            old.side is connection.side
            or is_dialed_by_lower_name
            or is_silent
            or has_restarted
        ):
            old.close("replaced")
            return True
        return False

    async def _receive(self, connection: Connection, message: Message) -> None:
        node = connection.peer.node
        link = self._links.get(node)
        if link is None or link.connection is not connection:
            return
        if isinstance(message, Digest):
            self._advance_table_clock()
            link.receive(message)
            return
        origin: str = node
        if isinstance(message, Relay):
            origin = message.origin
            payload = self._relay_router.receive(
                link, message, MESSAGE_TYPES, self.is_hub
            )
            if payload is None or isinstance(payload, Digest | Relay):
                return
            message = payload
        handler = self._handlers.get(type(message))
        if handler is None:
            REFUSALS.labels(reason="no_handler").inc()
        else:
            await handler(origin, message)

    def _run_heartbeat(self) -> None:
        self._heartbeat_count += 1
        self._update_liveness()
        hubs = self._hub_selector.hubs()
        for link in list(self._links.values()):
            link.set_peer_is_hub(link.node in hubs)
            link.send_digest()
        self._maintain_connections()
        if self._heartbeat_count % DISCOVERY_HEARTBEATS == 1 or len(self._links) == 0:
            self._start_discovery()

    def _update_liveness(self) -> None:
        last_heard_s, distances = merge_link_reports(
            self._links.values(),
            self._table,
            fresh_for_s=FRESH_HEARTBEATS * self._heartbeat_s,
        )
        for member in self._table.update_liveness(last_heard_s, distances):
            self._notify_state_change(member)

    def _notify_state_change(self, member: Member) -> None:
        _log.info("node_state", node=member.heartbeat.node, state=member.state.value)
        for callback in self._state_callbacks:
            callback(member.info())

    def _disconnected_peers(self) -> set[str]:
        return self._hub_selector.desired_peers() - self._links.keys()

    def _maintain_connections(self) -> None:
        # Sorted because the tasks draw from one random source: a run must be
        # reproducible regardless of the hash seed of the process.
        for node in sorted(self._disconnected_peers() - self._dial_tasks.keys()):
            self._dial_tasks[node] = asyncio.create_task(self._connect_and_serve(node))
        for node, link in list(self._links.items()):
            # Only the dialling end closes an unneeded connection. The accepting end
            # cannot know what the peer needs it for.
            is_dialer = link.connection.side is Side.DIALER
            is_undesired = is_dialer and not self._hub_selector.is_desired_by_either(
                node
            )
            link.undesired_heartbeats = (
                link.undesired_heartbeats + 1 if is_undesired else 0
            )
            if link.undesired_heartbeats > UNDESIRED_HEARTBEATS:
                link.connection.close("not wanted")

    async def _connect_and_serve(self, node: str) -> None:
        """Dial `node` until it is connected or not needed, then serve it."""
        try:
            if node < self._node:
                # The node with the lower name dials first, which makes duplicate
                # connections rare.
                await self._clock.sleep(self._jittered_heartbeats(1.5))
            backoff_heartbeats = 1.0
            while (
                node not in self._links and node in self._hub_selector.desired_peers()
            ):
                member = self._table.get(node)
                address = member.heartbeat.address if member is not None else ""
                connection = await self._dial(address)
                if connection is not None:
                    await self.serve(connection)
                    return
                await self._clock.sleep(self._jittered_heartbeats(backoff_heartbeats))
                backoff_heartbeats = min(2 * backoff_heartbeats, MAX_BACKOFF_HEARTBEATS)
        finally:
            self._dial_tasks.pop(node, None)

    async def _dial(self, address: str) -> Connection | None:
        try:
            transport = await self._dialer.dial(address, timeout=self._suspect_after)
            connection = await open_connection(
                transport,
                Side.DIALER,
                self.identity,
                self._keys,
                clock=self._clock,
                timeout=self._suspect_after,
                silence_timeout=self._suspect_after,
            )
        except PeerError as error:
            DIALS.labels(result=error.code.value).inc()
            return None
        DIALS.labels(result="connected").inc()
        if connection.peer.node == self._node:
            self._own_addresses.add(address)
        return connection

    def _start_discovery(self) -> None:
        known = {
            member.heartbeat.address
            for member in self._table
            if member.state is NodeState.ALIVE
        }
        known |= self._own_addresses
        addresses = [*self._addresses, *self._dead_addresses()]
        candidates = [address for address in addresses if address not in known]
        if candidates and self._discovery_dials < MAX_DISCOVERY_DIALS:
            task = asyncio.create_task(
                self._discover_at(self._random.choice(candidates))
            )
            self._discovery_tasks.add(task)
            task.add_done_callback(self._discovery_tasks.discard)

    async def _discover_at(self, address: str) -> None:
        self._discovery_dials += 1
        try:
            connection = await self._dial(address)
        finally:
            self._discovery_dials -= 1
        if connection is not None:
            await self.serve(connection)

    def _dead_addresses(self) -> list[str]:
        return [
            member.heartbeat.address
            for member in self._table
            if member.state is NodeState.DEAD and member.heartbeat.address
        ]

    def _jittered_heartbeats(self, count: float) -> datetime.timedelta:
        factor = 1 + JITTER_FRACTION * (2 * self._random.random() - 1)
        return datetime.timedelta(seconds=self._heartbeat_s * count * factor)
