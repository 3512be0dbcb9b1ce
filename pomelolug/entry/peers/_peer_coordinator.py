"""Coordination of entry VMs: status exchange, relay role and node registration."""

import asyncio
import datetime
import random
import time
from collections.abc import Callable, Iterable

import structlog

from pomelolug.clock import Clock
from pomelolug.entry._topic_consumers import DeclarationCache
from pomelolug.entry.dispatch import DispatchEndpoint, GroupDispatcher, Holder
from pomelolug.entry.losses import PoisonRequestDetector
from pomelolug.entry.peers._declaration_fetch import fetch_declaration
from pomelolug.entry.peers._dispatchers import find_dispatchers
from pomelolug.entry.peers._exit_nodes import (
    order_forwarding_addresses,
    sample_other_exits,
    sample_zone_exits,
)
from pomelolug.entry.peers._peer_gossip import PeerGossip
from pomelolug.entry.peers._relay import RelaySource
from pomelolug.entry.performance import LearnedDelayEstimator
from pomelolug.entry.servers import ServerNotices, ServerTracker
from pomelolug.errors import PeerError, PlatformError
from pomelolug.feeds import Record, RecordBatch, RecordSource
from pomelolug.ids import NodeId, VmId, ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.platform import TOPIC_NODES, MetadataStore, NodeSettings
from pomelolug.replicas import Departures
from pomelolug.transport import ConnectionPool, HttpConnectionError

__all__ = [
    "PeerCoordinator",
    "is_lease_held_by_peer",
    "is_longest_running_relay",
    "store_retry_delay",
]

_log = structlog.get_logger(__name__)

_FETCH_DELAY = datetime.timedelta(milliseconds=250)
"""Time that this node's own feed has to deliver the declaration first."""
_FETCH_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
_REGISTRATION_RETRY = datetime.timedelta(seconds=1)
_REGISTRATION_INTERVAL = datetime.timedelta(seconds=15)
"""Interval at which a relay reads the addresses of the registered nodes."""
_FIRST_REGISTRATION_INTERVAL = datetime.timedelta(seconds=4)
"""Interval after the first read, which misses nodes that start at the same time."""
_REFRESH_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which the latest statuses of the peers are applied."""
_STORE_LONG_POLL_WAIT = datetime.timedelta(seconds=1)
"""Longest long-poll wait at the store.

It bounds the delay with which a relay notices a lost path, so it is also at most half
of the time in which each node must act on a record.
"""
_RELAY_LONG_POLL_WAIT = datetime.timedelta(milliseconds=700)
"""Longest long-poll wait at a relay; its loss must be noticed in about a second."""
_FREE_LEASE_WAIT_S = 2.0
"""Time without a known holder after which any relay may claim the lease."""
_RELAY_BACKOFF_S = 2.0
"""Time for which a relay is not read from after a failure."""
_RETRY_DELAY = datetime.timedelta(milliseconds=250)
_STORE_PROBERS = 4
"""Nodes of a zone that read the store again in each `_RETRY_DELAY` of an outage.

The others wait longer, so that an outage does not let all nodes call the store.
"""


class PeerCoordinator:
    """Exchanges load, suspected heads and records with other entry VMs.

    The relay of a zone is its longest-running node that reaches the store.

    Parameters
    ----------
    settings : NodeSettings
        Addresses of this node and of the seed nodes.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Samples the peers that a status lists.
    declarations : DeclarationCache
        Declaration in force on this node.
    server_tracker : ServerTracker
        Load and suspicions to exchange.
    store : MetadataStore
        Store in which nodes register their addresses.
    is_stopping, holds_lease, is_serving, can_reach_store, reaches_servers : callable
        Return the state of this node for its status.
    on_suspect : callable
        Called with each head that a peer reports as suspected.
    on_nodes : callable
        Called with the known number of nodes in all zones, with the live nodes of this
        zone, and with the registered nodes of all zones that this node has read.
    find_record : callable
        Returns the newest record of a topic and key that this node has read.
    needs_node_names : callable
        Returns whether every node has to know all registered nodes by name.
    departures : Departures
        Departures of members from groups whose heads do not answer.
    poison_detector : PoisonRequestDetector
        Requests that were in flight when servers were lost.
    notices : ServerNotices
        What servers state about the requests that they take.
    dispatcher : GroupDispatcher
        Assigns streams while this node is the dispatcher of its zone.
    delay_estimator : LearnedDelayEstimator
        Evidence on the speed of servers to exchange.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        declarations: DeclarationCache,
        server_tracker: ServerTracker,
        store: MetadataStore,
        is_stopping: Callable[[], bool],
        holds_lease: Callable[[], bool],
        is_serving: Callable[[], bool],
        can_reach_store: Callable[[], bool],
        reaches_servers: Callable[[], bool],
        on_suspect: Callable[[VmId], None],
        on_nodes: Callable[[int, list[NodeId], frozenset[NodeId]], None],
        find_record: Callable[[str, str], Record | None],
        needs_node_names: Callable[[], bool],
        departures: Departures,
        poison_detector: PoisonRequestDetector,
        notices: ServerNotices,
        dispatcher: GroupDispatcher,
        delay_estimator: LearnedDelayEstimator,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._declarations = declarations
        self._server_tracker = server_tracker
        self._store = store
        self._is_stopping = is_stopping
        self._holds_lease = holds_lease
        self._announced_lease = False
        self._peer_held_lease_at_s = clock.monotonic()
        self._is_serving = is_serving
        self._can_reach_store = can_reach_store
        self._reaches_servers = reaches_servers
        self._on_suspect = on_suspect
        self._on_nodes = on_nodes
        self._registered: frozenset[NodeId] = frozenset()
        self._count_at_reading = 0
        self._find_record = find_record
        self._needs_node_names = needs_node_names
        self._departures = departures
        self._poison_detector = poison_detector
        self._notices = notices
        self._delay_estimator = delay_estimator
        self._started_ms = time.time_ns() // 1_000_000
        self._datagram_port = (
            settings.internal_ports[0] if settings.internal_ports else 0
        )
        self._datagram_address = f"{settings.ip}:{self._datagram_port}"
        self._gossip = PeerGossip(
            make_status=self._build_status,
            address=self._datagram_address,
            zone=settings.zone,
            is_relay=lambda: self.is_relay,
            clock=clock,
            rng=rng,
            on_status=self._on_status,
            on_dispatch_message=lambda message: self._dispatch.receive(message),
        )
        self._dispatcher = dispatcher
        self._dispatch = DispatchEndpoint(
            dispatcher=dispatcher,
            holder=Holder(self._datagram_address, self._started_ms),
            send=self._gossip.send,
            clock=clock,
            rng=rng,
            on_restart=lambda: self.announce(),
        )
        self._fetch_task: asyncio.Task[None] | None = None
        self._pool = ConnectionPool(
            max_idle=datetime.timedelta(seconds=10), connect_timeout=_CONNECT_TIMEOUT
        )
        self._relay_sources: dict[str, RelaySource] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._rng = rng
        self._was_relay = False
        self._could_reach_store = False
        self._relay_since_s = float("inf")

    @property
    def live_peers(self) -> list[NodeStatus]:
        """Latest status of each live peer."""
        return self._gossip.live_statuses

    @property
    def dispatch(self) -> DispatchEndpoint:
        """Asks the dispatchers of the zones for groups."""
        return self._dispatch

    @property
    def has_peers(self) -> bool:
        """Whether any other node is live."""
        return bool(self._gossip.live_statuses)

    @property
    def has_serving_peer(self) -> bool:
        """Whether a live peer reports that a caller has sent a request."""
        return any(status.serving for status in self._gossip.live_statuses)

    @property
    def is_relay(self) -> bool:
        """Whether this node reads the store for its zone.

        True also if no live peer of the zone is a candidate, even if this node
        cannot reach the store or is stopping.
        """
        return self._relay_peer() is None

    @property
    def relay_tenure_s(self) -> float:
        """Seconds since this node became the relay, 0 if it is not."""
        if not self._was_relay:
            return 0.0
        return max(self._clock.monotonic() - self._relay_since_s, 0.0)

    @property
    def is_relay_stand_in(self) -> bool:
        """Whether this node may be a candidate for the lease instead of its relay.

        True while the relay is cut off from the servers, on the longest-running node
        of the zone that reaches the servers and the store.
        """
        relay = self._relay_peer()
        if relay is None or relay.reaches_servers or not self._reaches_servers():
            return False
        own_seniority = (self._started_ms, self._settings.node)
        return all(
            own_seniority < (status.started_ms, status.node)
            for status in self._gossip.live_statuses
            if status.zone == self._settings.zone
            and status.reaches_servers
            and status.store
            and not status.stopping
        )

    @property
    def may_claim_lease(self) -> bool:
        """Whether the controller lease is free and this node may claim it.

        If several relays became candidates at once, the lease would move among
        them. So the longest-running relay goes first, and the others follow if the
        lease has stayed free for a while.
        """
        peers = self._gossip.live_statuses
        if is_lease_held_by_peer(peers, zone=self._settings.zone):
            return False
        own_seniority = (self._started_ms, self._settings.node)
        lease_free_for_s = self._clock.monotonic() - self._peer_held_lease_at_s
        return (
            is_longest_running_relay(own_seniority, peers)
            or lease_free_for_s > _FREE_LEASE_WAIT_S
        )

    def record_source(self) -> tuple[RecordSource, datetime.timedelta]:
        """Return the source to read records from, and the longest wait of a read."""
        status = self._relay_peer()
        if status is None or self._is_avoided(status.address):
            return self.store_source()
        relay = self._relay_sources.get(status.address)
        if relay is None:
            relay = RelaySource(
                address=status.address,
                pool=self._pool,
                find_record=self._find_record,
            )
            self._relay_sources = {status.address: relay}
        return relay, _RELAY_LONG_POLL_WAIT

    def store_source(self) -> tuple[RecordSource, datetime.timedelta]:
        """Return the store, and the longest wait of a read there."""
        half_delay = self._settings.longest_record_delay / 2
        return self._store, min(_STORE_LONG_POLL_WAIT, half_delay)

    def avoid_source(self, source: RecordSource) -> None:
        """Read from the store for a while instead of from a relay that failed."""
        if isinstance(source, RelaySource):
            until_s = self._clock.monotonic() + _RELAY_BACKOFF_S
            self._avoided_until_s = {source.address: until_s}

    def retry_delay(
        self, source: RecordSource, failing_for: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the pause before a source that failed is read again.

        Parameters
        ----------
        source : RecordSource
            The source that failed.
        failing_for : datetime.timedelta
            Time for which all reads have failed.
        """
        if isinstance(source, RelaySource):
            return _RETRY_DELAY
        zone_nodes = 1 + sum(
            status.zone == self._settings.zone for status in self._gossip.live_statuses
        )
        return store_retry_delay(zone_nodes, self._rng, failing_for=failing_for)

    def forwarding_addresses(self, rng: random.Random | None = None) -> list[str]:
        """Return the addresses of nodes to pass requests to, best first.

        They are datagram addresses, `host:port`, of nodes that reach the servers.
        Forwarded requests are received at the same host and port over TCP.

        Parameters
        ----------
        rng : random.Random, optional
            Orders the addresses; that of the node by default.
        """
        return order_forwarding_addresses(
            self._gossip.live_statuses,
            own_address=self._datagram_address,
            zone=self._settings.zone,
            reaches_servers=self._reaches_servers(),
            rng=rng or self._rng,
        )

    def peer_address_of(self, datagram_address: str) -> str:
        """Return the peer address of the node with a datagram address.

        All nodes use the same ports, as in `add_seeds`.
        """
        for status in self._gossip.live_statuses:
            if status.datagram == datagram_address and status.address:
                return status.address
        host, port = datagram_address.rpartition(":")[0], self._settings.peer_address
        return f"{host}:{port.rpartition(':')[2]}"

    def announce(self) -> None:
        """Send the status of this node to its peers without delay."""
        self._gossip.send_soon()

    async def bind(self, loop: asyncio.AbstractEventLoop) -> None:
        """Bind the datagram socket."""
        if not self._datagram_port:
            _log.warning("no_internal_port")
            return
        await loop.create_datagram_endpoint(
            lambda: self._gossip, local_addr=(self._settings.ip, self._datagram_port)
        )
        self.add_seeds(self._settings.peer_seeds)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add seed nodes; their hosts are combined with this node's datagram port."""
        hosts = [address.rpartition(":")[0] for address in addresses]
        self._gossip.add_addresses(f"{host}:{self._datagram_port}" for host in hosts)

    async def run(self) -> None:
        """Exchange statuses and register this node until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._gossip.run())
            group.create_task(self._run_registration())
            group.create_task(self._refresh_periodically())

    def _relay_peer(self) -> NodeStatus | None:
        """Return the status of the zone's relay, None if this node is the relay."""
        own_seniority = (self._started_ms, self._settings.node)
        candidates = [
            status
            for status in self._gossip.live_statuses
            if status.zone == self._settings.zone
            and status.store
            and status.address
            and not status.stopping
        ]
        oldest = min(candidates, key=lambda s: (s.started_ms, s.node), default=None)
        if oldest is None:
            # Without a candidate among its peers, a node reads the store itself.
            return None
        is_candidate = self._can_reach_store() and not self._is_stopping()
        if is_candidate and own_seniority < (oldest.started_ms, oldest.node):
            return None
        return oldest

    def _is_avoided(self, address: str) -> bool:
        return (
            self._avoided_until_s.get(address, float("-inf")) > self._clock.monotonic()
        )

    async def _refresh_periodically(self) -> None:
        while True:
            await self._clock.sleep(_REFRESH_INTERVAL)
            self._pool.close_expired()
            self._server_tracker.apply_peer_statuses(
                self._gossip.live_statuses, zone=self._settings.zone
            )
            if self.is_relay != self._was_relay:
                self._was_relay = self.is_relay
                self._relay_since_s = self._clock.monotonic()
                _log.info("relay_role", relay=self._was_relay)
                self.announce()
            if self._can_reach_store() != self._could_reach_store:
                self._could_reach_store = self._can_reach_store()
                self.announce()
            self._report_nodes()
            self._update_dispatch()
            if is_lease_held_by_peer(
                self._gossip.live_statuses, zone=self._settings.zone
            ):
                self._peer_held_lease_at_s = self._clock.monotonic()
            if self._holds_lease() != self._announced_lease:
                self._announced_lease = self._holds_lease()
                self.announce()

    def _update_dispatch(self) -> None:
        """Follow changes of the dispatchers, and tell the own one of the loads."""
        statuses = self._gossip.live_statuses
        zone = self._settings.zone
        own = NodeStatus(
            node=self._settings.node,
            started_ms=self._started_ms,
            serial=0,
            zone=zone,
            address=self._settings.peer_address,
            datagram=self._datagram_address,
            declaration=self._declarations.version,
            stopping=self._is_stopping(),
            reaches_servers=self._reaches_servers(),
            dispatches=True,
        )
        addresses = find_dispatchers(statuses, own=own, zone=zone)
        if self._dispatch.set_addresses(addresses):
            # The new dispatcher needs the load of all nodes.
            self.announce()
        # A node without the role keeps its count for when it has the role again.
        if (
            self._dispatch.is_dispatcher
            or self._dispatch.is_stand_in
            or self._dispatcher.open_assignments
        ):
            own_loads = self._server_tracker.own_loads()
            self._dispatcher.update(
                [status for status in statuses if status.zone == zone],
                own=self._dispatch.holder,
                own_unassigned=self._dispatch.unassigned(own_loads),
                own_load=own_loads,
                is_stand_in=self._dispatch.is_stand_in,
            )

    def _report_nodes(self) -> None:
        """Report the live nodes of the zone, and how many nodes there are in all.

        The number is the largest that this node or a peer knows of.
        """
        live = self._gossip.live_statuses
        zone_nodes = [
            NodeId(status.node)
            for status in live
            if status.zone == self._settings.zone and not status.stopping
        ]
        self._on_nodes(
            max(self._known_count(), len(live) + 1), zone_nodes, self._registered
        )

    def _known_count(self) -> int:
        """Return the largest number of registered nodes that any node knows of."""
        reported_counts = [status.nodes for status in self._gossip.live_statuses]
        return max(len(self._registered), *reported_counts, 0)

    async def _run_registration(self) -> None:
        """Register this node's address in the store and read those of the others.

        If the store goes back to an older copy, the relay of a zone registers all
        nodes of the zone again.
        """
        is_registered = False
        era: int | None = None
        pause = _FIRST_REGISTRATION_INTERVAL
        while True:
            try:
                if not is_registered:
                    await self._store.append(
                        TOPIC_NODES,
                        self._settings.node,
                        self._datagram_address.encode(),
                    )
                    is_registered = True
                batch = await self._store.read_newest(TOPIC_NODES)
                if era not in (None, self._store.era):
                    await self._register_zone_again(batch)
                era = self._store.era
            except PlatformError as error:
                _log.warning("peer_registration_failed", reason=str(error))
                await self._clock.sleep(_REGISTRATION_RETRY)
                continue
            addresses = [r.value.decode("latin-1") for r in batch.records if r.value]
            self._registered = frozenset(
                NodeId(r.key) for r in batch.records if r.value
            )
            self._count_at_reading = self._known_count()
            self._gossip.add_addresses(addresses)
            self._gossip.send_soon()
            until_s = self._clock.monotonic() + pause.total_seconds()
            pause = _REGISTRATION_INTERVAL
            while self._clock.monotonic() < until_s or not self._needs_nodes():
                if self.is_relay and era != self._store.era:
                    break
                await self._clock.sleep(_REGISTRATION_RETRY)

    def _needs_nodes(self) -> bool:
        """Return whether the registered nodes have to be read again.

        The relay keeps its zone up to date on their number. The others read them only
        if more have registered, and if their names are needed.
        """
        return self.is_relay or (
            self._needs_node_names() and self._known_count() > self._count_at_reading
        )

    async def _register_zone_again(self, batch: RecordBatch) -> None:
        """Register the live nodes of the zone that a restored store lacks."""
        registered = {record.key for record in batch.records if record.value}
        addresses = {self._settings.node: self._datagram_address} | {
            status.node: status.datagram
            for status in self._gossip.live_statuses
            if status.zone == self._settings.zone
        }
        missing = {
            node: address.encode()
            for node, address in addresses.items()
            if node not in registered
        }
        if missing:
            await self._store.append_all(TOPIC_NODES, missing)
        _log.info("nodes_registered_again", count=len(missing))

    def _build_status(self, serial: int, peers: tuple[str, ...]) -> NodeStatus:
        is_relay = self.is_relay
        reaches_servers = self._reaches_servers()
        tracker = self._server_tracker
        limits, cold = self._notices.limits, self._notices.cold_servers
        evacuated_zones, evacuations_read = self._notices.evacuated_zones.report()
        speeds = self._delay_estimator.take_reports(
            is_relay=is_relay, reaches_servers=reaches_servers
        )
        return NodeStatus(
            node=self._settings.node,
            started_ms=self._started_ms,
            serial=serial,
            zone=self._settings.zone,
            address=self._settings.peer_address,
            datagram=self._datagram_address,
            declaration=self._declarations.version,
            serving=self._is_serving() or (is_relay and self.has_serving_peer),
            stopping=self._is_stopping(),
            store=self._can_reach_store(),
            relay=is_relay,
            nodes=len(self._registered),
            duty=self._holds_lease(),
            zone_duty=is_relay
            and (self._holds_lease() or self._is_lease_held_in_zone()),
            # Nor do requests over lost links show what runs at the servers.
            load=tracker.own_loads() if reaches_servers else {},
            zone_load=tracker.zone_loads(with_own=reaches_servers) if is_relay else {},
            other_load=tracker.other_zone_loads() if is_relay else {},
            # What a node that is cut off sees of the servers is no evidence.
            suspects=tracker.suspects() if reaches_servers else (),
            zone_suspects=tracker.zone_suspects(with_own=reaches_servers)
            if is_relay
            else (),
            other_suspects=tracker.other_zone_suspects() if is_relay else (),
            cleared=self._poison_detector.cleared_to_send(),
            strikes=self._poison_detector.losses_to_send(),
            releases=self._departures.ages_s(),
            limits=limits.own_reports(),
            zone_limits=limits.zone_reports() if is_relay else {},
            other_limits=limits.other_zone_reports() if is_relay else {},
            starts=self._notices.recent_starts.reports(),
            cold=cold.own_reports(),
            zone_cold=cold.zone_reports() if is_relay else {},
            other_cold=cold.other_zone_reports() if is_relay else {},
            speeds=speeds.own,
            zone_speeds=speeds.zone,
            other_speeds=speeds.other,
            leaving=self._notices.leaving.reports(),
            evacuated_zones=evacuated_zones,
            evacuations_read=evacuations_read,
            reaches_servers=reaches_servers,
            exits=self._sample_zone_exits() if is_relay else (),
            other_exits=sample_other_exits(
                self._gossip.live_statuses, zone=self._settings.zone, rng=self._rng
            )
            if is_relay
            else (),
            dispatches=True,
            unassigned=self._dispatch.unassigned(tracker.own_loads()),
            dispatcher=self._dispatch.local_dispatcher if is_relay else "",
            other_dispatchers={
                str(name): address
                for name, address in self._dispatch.other_dispatchers.items()
            }
            if is_relay
            else {},
            peers=peers,
        )

    def _sample_zone_exits(self) -> tuple[str, ...]:
        is_exit = self._reaches_servers() and not self._is_stopping()
        return sample_zone_exits(
            self._gossip.live_statuses,
            own_addresses=[self._datagram_address] if is_exit else [],
            zone=self._settings.zone,
            rng=self._rng,
        )

    def _is_lease_held_in_zone(self) -> bool:
        zone = self._settings.zone
        return any(s.duty for s in self._gossip.live_statuses if s.zone == zone)

    def _on_status(self, status: NodeStatus) -> None:
        own_suspects = status.suspects if status.reaches_servers else ()
        for head in {*own_suspects, *status.zone_suspects, *status.other_suspects}:
            self._on_suspect(VmId(head))
        self._departures.merge(status.releases)
        self._notices.merge(status)
        self._delay_estimator.merge(status)
        self._poison_detector.merge(
            status.strikes,
            cleared=status.cleared,
            is_own_zone=status.zone == self._settings.zone,
            source=status.node,
        )
        is_newer = status.declaration > self._declarations.version
        is_idle = self._fetch_task is None or self._fetch_task.done()
        if is_newer and is_idle and status.address:
            self._fetch_task = asyncio.get_running_loop().create_task(
                self._fetch_declaration(status)
            )

    async def _fetch_declaration(self, status: NodeStatus) -> None:
        """Fetch a newer declaration from a peer unless a feed delivers it first."""
        await self._clock.sleep(_FETCH_DELAY)
        while any(source.is_receiving for source in self._relay_sources.values()):
            # A large declaration that all nodes of the zone read at once takes longer.
            await self._clock.sleep(_REFRESH_INTERVAL)
        if self._declarations.version >= status.declaration:
            return
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                data = await fetch_declaration(
                    status.address, connect_timeout=_CONNECT_TIMEOUT
                )
        except (HttpConnectionError, TimeoutError, PeerError) as error:
            _log.warning(
                "declaration_fetch_failed", peer=status.node, reason=repr(error)
            )
            return
        self._declarations.apply_if_newer(data, source=status.node)


def store_retry_delay(
    zone_node_count: int, rng: random.Random, *, failing_for: datetime.timedelta
) -> datetime.timedelta:
    """Return the pause of a node before it reads the store again after a failure.

    It grows with the number of nodes in the zone, so that the calls of the zone do not,
    and is spread at random. The first node that reaches the store again becomes the
    relay of the others. A node whose reads fail for a moment only reads again as soon,
    since it may be alone in that.

    Parameters
    ----------
    zone_node_count : int
        Number of nodes in the zone.
    rng : random.Random
        Spreads the pauses of the nodes.
    failing_for : datetime.timedelta
        Time for which all reads of the node have failed.
    """
    if zone_node_count <= _STORE_PROBERS:
        return _RETRY_DELAY
    longest = _RETRY_DELAY * (zone_node_count / _STORE_PROBERS)
    return rng.uniform(0.5, 1.5) * min(longest, max(_RETRY_DELAY, failing_for))


def is_lease_held_by_peer(statuses: Iterable[NodeStatus], *, zone: ZoneId) -> bool:
    """Return whether a peer holds the controller lease.

    The peer reports it itself, or the relay of its zone does.

    Parameters
    ----------
    statuses : iterable of NodeStatus
        Latest status of each live peer.
    zone : ZoneId
        Zone of this node. Its relay's report on the zone is ignored, since its
        nodes report themselves. Otherwise two relays of one zone could report a
        lost holder forever by repeating each other.
    """
    return any(s.duty or (s.zone_duty and s.zone != zone) for s in statuses)


def is_longest_running_relay(
    own_seniority: tuple[int, str], statuses: Iterable[NodeStatus]
) -> bool:
    """Return whether a relay has run longer than all relays among its peers.

    Relays that cannot claim the lease do not count.

    Parameters
    ----------
    own_seniority : tuple of int and str
        Process start in Unix milliseconds, and the node name as tie-breaker.
    statuses : iterable of NodeStatus
        Latest status of each live peer.
    """
    return all(
        own_seniority < (s.started_ms, s.node)
        for s in statuses
        if s.relay and s.store and s.reaches_servers and not s.stopping
    )
