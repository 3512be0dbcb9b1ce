"""Datagrams between entry VMs: load, suspicions and declaration versions.

Each node tells the nodes of its zone what it knows a few times a second. The
relay of a zone also tells the relays of the other zones, and passes on what they
say. A lost message costs nothing, since the next one replaces it, and there is
no connection that could go silent.
"""

import asyncio
import dataclasses
import datetime
import random
from collections.abc import Callable, Iterable
from typing import cast

import structlog

from pomelolug.clock import Clock
from pomelolug.errors import PeerError
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus, decode, encode

__all__ = ["PeerGossip", "PeerState"]

_log = structlog.get_logger(__name__)

_INTERVAL_S = 0.25
_INTERVAL_PER_RECEIVER_S = 0.02
"""Added for each receiver, so that a node sends at most 50 messages a second."""
_PEER_TIMEOUT_S = 2.0
_PEER_TIMEOUT_INTERVALS = 3
"""Silence after which a peer counts as away: the larger of both."""
_INITIAL_PROBES = 4
"""Messages to a node that was never heard, as single ones may be lost."""
_RELAY_PROBE_INTERVAL_S = 5.0
"""Interval of a relay's further messages to such a node."""
_EXPIRY_S = 30.0
_MAX_ADDRESSES = 1024
_MAX_ADVERTISED_PEERS = 12
"""Other peers named in a message, so that it fits one packet."""


@dataclasses.dataclass(slots=True)
class PeerState:
    """Newest message of a peer and when it arrived."""

    status: NodeStatus
    heard_at_s: float


class PeerGossip(asyncio.DatagramProtocol):
    """Sends this node's status and keeps those of its peers.

    Parameters
    ----------
    make_status : callable
        Returns the node's status, given serial and peers to name.
    address : str
        Datagram address of this node.
    zone : ZoneId
        Zone of this node.
    is_relay : callable
        Returns whether this node is the relay of its zone.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Chooses the peers that a message names.
    on_status : callable
        Called with each new status of a peer.
    """

    def __init__(
        self,
        *,
        make_status: Callable[[int, tuple[str, ...]], NodeStatus],
        address: str,
        zone: ZoneId,
        is_relay: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        on_status: Callable[[NodeStatus], None],
    ) -> None:
        self._make_status = make_status
        self._address = address
        self._zone = zone
        self._is_relay = is_relay
        self._clock = clock
        self._rng = rng
        self._on_status = on_status
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: dict[str, PeerState] = {}
        self._last_seen_s: dict[str, float] = {}
        self._probe_counts: dict[str, int] = {}
        self._probed_at_s: dict[str, float] = {}
        self._serial = 0
        self._interval_s = _INTERVAL_S
        self._send_requested = asyncio.Event()

    @property
    def live_statuses(self) -> list[NodeStatus]:
        """Statuses of the peers heard in the last seconds."""
        timeout_s = max(_PEER_TIMEOUT_S, _PEER_TIMEOUT_INTERVALS * self._interval_s)
        oldest_s = self._clock.monotonic() - timeout_s
        return [
            peer.status for peer in self._peers.values() if peer.heard_at_s >= oldest_s
        ]

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Send to these datagram addresses from now on."""
        now_s = self._clock.monotonic()
        for address in addresses:
            if address != self._address and len(self._last_seen_s) < _MAX_ADDRESSES:
                self._last_seen_s.setdefault(address, now_s)

    def send_soon(self) -> None:
        """Send a message without waiting for the interval."""
        self._send_requested.set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            receiver_count = self.send_round()
            self._interval_s = _INTERVAL_S + _INTERVAL_PER_RECEIVER_S * receiver_count
            self._send_requested.clear()
            try:
                async with asyncio.timeout(self._interval_s):
                    await self._send_requested.wait()
                    await self._clock.sleep(datetime.timedelta(milliseconds=20))
            except TimeoutError:
                continue

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports do not derive from asyncio's classes.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's status unless it is malformed or late."""
        try:
            status = decode(data, NodeStatus)
        except PeerError as error:
            _log.warning("peer_message_refused", peer=addr[0], reason=str(error))
            return
        if status.datagram == self._address:
            return
        known = self._peers.get(status.datagram)
        sequence = (status.started_ms, status.serial)
        if known and sequence <= (known.status.started_ms, known.status.serial):
            return
        now_s = self._clock.monotonic()
        if known is None:
            _log.info("peer_found", peer=status.node, zone=status.zone)
        self._peers[status.datagram] = PeerState(status, now_s)
        self._last_seen_s[status.datagram] = now_s
        self.add_addresses(status.peers[:_MAX_ADVERTISED_PEERS])
        self._on_status(status)

    def error_received(self, exc: Exception) -> None:
        """Ignore a port without a listener; the peer may start later."""

    def send_round(self) -> int:
        """Send to all receivers; return how many there are."""
        if self._transport is None:
            return 0
        self._expire_peers()
        receivers = self._select_receivers()
        self._serial += 1
        try:
            data = encode(self._make_status(self._serial, self._sample_peers()))
        except PeerError as error:
            _log.error("peer_message_too_large", reason=str(error))
            return 0
        for address in receivers:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
        return len(receivers)

    def _sample_peers(self) -> tuple[str, ...]:
        """Return some nodes of the zone and relays, for those who lack them.

        The other nodes of other zones would be sent to and would not answer.
        """
        advertisable = [
            address
            for address, peer in self._peers.items()
            if peer.status.zone == self._zone or peer.status.relay
        ]
        return tuple(
            self._rng.sample(
                advertisable, min(len(advertisable), _MAX_ADVERTISED_PEERS)
            )
        )

    def _select_receivers(self) -> list[str]:
        """Return the nodes of the zone, those not heard yet, and other relays."""
        live = {status.datagram: status for status in self.live_statuses}
        relayed_zones = {status.zone for status in live.values() if status.relay}
        is_relay = self._is_relay()
        is_isolated = not any(status.zone == self._zone for status in live.values())
        receivers = []
        for address in self._last_seen_s:
            peer = self._peers.get(address)
            if peer is None:
                if self._should_probe(
                    address, is_isolated=is_isolated, is_relay=is_relay
                ):
                    receivers.append(address)
            elif peer.status.zone == self._zone:
                receivers.append(address)
            elif is_relay:
                # Without a relay of that zone, any of its nodes passes this on.
                peer_status = peer.status
                if peer_status.relay or peer_status.zone not in relayed_zones:
                    receivers.append(address)
        return receivers

    def _should_probe(self, address: str, *, is_isolated: bool, is_relay: bool) -> bool:
        """Return whether a node that was never heard gets a message now.

        Nodes of other zones do not answer, so only a node that hears nobody goes
        on at each round, and a relay now and then.
        """
        now_s = self._clock.monotonic()
        probe_count = self._probe_counts.get(address, 0)
        is_probe_due = (
            now_s - self._probed_at_s.get(address, now_s) >= _RELAY_PROBE_INTERVAL_S
        )
        if (
            probe_count >= _INITIAL_PROBES
            and not is_isolated
            and not (is_relay and is_probe_due)
        ):
            return False
        self._probe_counts[address] = probe_count + 1
        self._probed_at_s[address] = now_s
        return True

    def _expire_peers(self) -> None:
        oldest_s = self._clock.monotonic() - _EXPIRY_S
        for address in [
            a for a, seen_s in self._last_seen_s.items() if seen_s < oldest_s
        ]:
            del self._last_seen_s[address]
            self._probe_counts.pop(address, None)
            self._probed_at_s.pop(address, None)
            peer = self._peers.pop(address, None)
            if peer is not None:
                _log.info("peer_gone", peer=peer.status.node)
