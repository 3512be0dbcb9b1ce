"""Exchange of status datagrams between entry VMs.

A status carries load, suspected heads and the declaration version. Each node sends
its status to the nodes of its zone several times a second. The relay of a zone also
sends it to the relays of the other zones, and forwards what they report. A lost
datagram does no harm, since the next one replaces it, and there is no connection
that could go silent.
"""

import asyncio
import dataclasses
import datetime
import random
from collections.abc import Callable, Iterable
from typing import cast

import structlog

from pomelolug.clock import Clock
from pomelolug.entry.dispatch import DispatchMessage
from pomelolug.errors import PeerError
from pomelolug.ids import ZoneId
from pomelolug.messages import (
    DispatchEnd,
    DispatchReply,
    DispatchRequest,
    NodeStatus,
    decode,
    encode,
)
from pomelolug.transport import is_address, split_address

__all__ = ["PeerGossip", "PeerState"]

_log = structlog.get_logger(__name__)

_INTERVAL_S = 0.25
"""Base interval between two statuses of a node."""
_INTERVAL_PER_RECEIVER_S = 0.02
"""Added per receiver, so that a node sends at most 50 datagrams a second."""
_PEER_TIMEOUT_S = 2.0
_PEER_TIMEOUT_INTERVALS = 3
"""A peer is not live after the longer of these two periods without a status."""
_INITIAL_PROBES = 4
"""Probes to an address that has never sent a status; single ones may be lost."""
_RELAY_PROBE_INTERVAL_S = 5.0
"""Interval at which a relay probes such an address after that."""
_EXPIRY_S = 30.0
"""Time without a status after which an address is forgotten."""
_MAX_ADDRESSES = 1024
_MAX_LOGGED = 64
"""Characters of an invalid address that are logged."""
_MAX_ADVERTISED_PEERS = 12
"""Peers listed in a status, limited so that it fits in one packet."""


@dataclasses.dataclass(slots=True)
class PeerState:
    """Latest status of a peer and the monotonic time of its arrival."""

    status: NodeStatus
    received_at_s: float


class PeerGossip(asyncio.DatagramProtocol):
    """Sends the status of this node and keeps the latest one of each peer.

    Parameters
    ----------
    make_status : callable
        Returns the status of this node, given its serial number and the peers to list.
    address : str
        Datagram address of this node.
    zone : ZoneId
        Zone of this node.
    is_relay : callable
        Returns whether this node is the relay of its zone.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Samples the peers that a status lists.
    on_status : callable
        Called with each new status of a peer.
    on_dispatch_message : callable
        Called with each message to or from a dispatcher.
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
        on_dispatch_message: Callable[[DispatchMessage], None],
    ) -> None:
        self._make_status = make_status
        self._address = address
        self._zone = zone
        self._is_relay = is_relay
        self._clock = clock
        self._rng = rng
        self._on_status = on_status
        self._on_dispatch_message = on_dispatch_message
        self._transport: asyncio.DatagramTransport | None = None
        self._peers: dict[str, PeerState] = {}
        # Monotonic time at which each address was added or last sent a status.
        self._last_seen_s: dict[str, float] = {}
        self._probe_counts: dict[str, int] = {}
        self._probed_at_s: dict[str, float] = {}
        self._serial = 0
        self._interval_s = _INTERVAL_S
        self._send_requested = asyncio.Event()

    @property
    def live_statuses(self) -> list[NodeStatus]:
        """Latest status of each peer that has sent one recently."""
        timeout_s = max(_PEER_TIMEOUT_S, _PEER_TIMEOUT_INTERVALS * self._interval_s)
        oldest_s = self._clock.monotonic() - timeout_s
        return [
            peer.status
            for peer in self._peers.values()
            if peer.received_at_s >= oldest_s
        ]

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add datagram addresses of nodes to send to, without invalid ones."""
        now_s = self._clock.monotonic()
        for address in addresses:
            if address == self._address or address in self._last_seen_s:
                continue
            if not is_address(address):
                _log.warning("peer_address_invalid", address=address[:_MAX_LOGGED])
            elif len(self._last_seen_s) < _MAX_ADDRESSES:
                self._last_seen_s[address] = now_s

    def send_soon(self) -> None:
        """Send the status without waiting for the rest of the interval."""
        self._send_requested.set()

    async def run(self) -> None:
        """Send the status periodically until cancelled."""
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
        """Store the transport."""
        # uvloop's transports do not derive from asyncio's classes.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Store the status of a peer, or pass another message on."""
        try:
            message = decode(
                data, NodeStatus, DispatchRequest, DispatchReply, DispatchEnd
            )
        except PeerError as error:
            _log.warning("peer_message_refused", peer=addr[0], reason=str(error))
            return
        if isinstance(message, NodeStatus):
            self._receive_status(message)
        elif isinstance(message, DispatchRequest | DispatchReply | DispatchEnd):
            self._on_dispatch_message(message)

    def send(self, message: DispatchMessage, address: str) -> None:
        """Send a message to the datagram address of a node."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            target = split_address(address)
        except ValueError:
            _log.warning("peer_address_invalid", address=address[:_MAX_LOGGED])
            return
        self._transport.sendto(encode(message), target)

    def _receive_status(self, status: NodeStatus) -> None:
        """Store the status of a peer unless it is out of order."""
        if status.datagram == self._address:
            return
        known = self._peers.get(status.datagram)
        sequence = (status.started_ms, status.serial)
        if known and sequence <= (known.status.started_ms, known.status.serial):
            return
        now_s = self._clock.monotonic()
        if known is None:
            if not is_address(status.datagram):
                _log.warning(
                    "peer_address_invalid", address=status.datagram[:_MAX_LOGGED]
                )
                return
            _log.info("peer_found", peer=status.node, zone=status.zone)
        self._peers[status.datagram] = PeerState(status, now_s)
        self._last_seen_s[status.datagram] = now_s
        self.add_addresses(status.peers[:_MAX_ADVERTISED_PEERS])
        self._on_status(status)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable port; the peer may start later."""

    def send_round(self) -> int:
        """Send the status to all receivers and return their number."""
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
            self._transport.sendto(data, split_address(address))
        return len(receivers)

    def _sample_peers(self) -> tuple[str, ...]:
        """Return a sample of zone members and relays for receivers without them.

        Other nodes of other zones are left out, as they would be probed in vain.
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
        """Return zone members, addresses to probe, and for a relay the other relays."""
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
                # If that zone has no live relay, any of its nodes forwards the status.
                peer_status = peer.status
                if peer_status.relay or peer_status.zone not in relayed_zones:
                    receivers.append(address)
        return receivers

    def _should_probe(self, address: str, *, is_isolated: bool, is_relay: bool) -> bool:
        """Count and return whether to send to an address that never sent a status.

        Nodes of other zones do not answer. So after the first probes, only a node
        without live peers in its zone probes in every round; a relay probes
        periodically.
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
