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

__all__ = ["PeerMesh", "PeerView"]

_log = structlog.get_logger(__name__)

_INTERVAL_S = 0.25
_INTERVAL_BY_PEER_S = 0.02
"""Added for each receiver, so that a node sends at most 50 messages a second."""
_SILENT_S = 2.0
_SILENT_INTERVALS = 3
"""Silence after which a peer counts as away: the larger of both."""
_TRIES = 4
"""Messages to a node that was never heard, as single ones may be lost."""
_RELAY_RETRY_S = 5.0
"""Interval of a relay's further messages to such a node."""
_FORGET_S = 30.0
_MOST_PEERS = 1024
_MOST_NAMED = 12
"""Other peers named in a message, so that it fits one packet."""


@dataclasses.dataclass(slots=True)
class PeerView:
    """Newest message of a peer and when it arrived."""

    status: NodeStatus
    heard_at: float


class PeerMesh(asyncio.DatagramProtocol):
    """Sends this node's status and keeps those of its peers.

    Parameters
    ----------
    own : callable
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
        own: Callable[[int, tuple[str, ...]], NodeStatus],
        address: str,
        zone: ZoneId,
        is_relay: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        on_status: Callable[[NodeStatus], None],
    ) -> None:
        self._own = own
        self._address = address
        self._zone = zone
        self._is_relay = is_relay
        self._clock = clock
        self._rng = rng
        self._on_status = on_status
        self._transport: asyncio.DatagramTransport | None = None
        self._views: dict[str, PeerView] = {}
        self._targets: dict[str, float] = {}
        self._tries: dict[str, int] = {}
        self._tried_at: dict[str, float] = {}
        self._serial = 0
        self._interval_s = _INTERVAL_S
        self._soon = asyncio.Event()

    @property
    def live(self) -> list[NodeStatus]:
        """Statuses of the peers heard in the last seconds."""
        silent_s = max(_SILENT_S, _SILENT_INTERVALS * self._interval_s)
        oldest = self._clock.monotonic() - silent_s
        return [v.status for v in self._views.values() if v.heard_at >= oldest]

    def add_targets(self, addresses: Iterable[str]) -> None:
        """Send to these datagram addresses from now on."""
        now = self._clock.monotonic()
        for address in addresses:
            if address != self._address and len(self._targets) < _MOST_PEERS:
                self._targets.setdefault(address, now)

    def send_soon(self) -> None:
        """Send a message without waiting for the interval."""
        self._soon.set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            receivers = self.send_round()
            self._interval_s = _INTERVAL_S + _INTERVAL_BY_PEER_S * receivers
            self._soon.clear()
            try:
                async with asyncio.timeout(self._interval_s):
                    await self._soon.wait()
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
        known = self._views.get(status.datagram)
        order = (status.started_ms, status.serial)
        if known and order <= (known.status.started_ms, known.status.serial):
            return
        now = self._clock.monotonic()
        if known is None:
            _log.info("peer_found", peer=status.node, zone=status.zone)
        self._views[status.datagram] = PeerView(status, now)
        self._targets[status.datagram] = now
        self.add_targets(status.peers[:_MOST_NAMED])
        self._on_status(status)

    def error_received(self, exc: Exception) -> None:
        """Ignore a port without a listener; the peer may start later."""

    def send_round(self) -> int:
        """Send to all receivers; return how many there are."""
        if self._transport is None:
            return 0
        self._forget()
        receivers = self._receivers()
        self._serial += 1
        try:
            data = encode(self._own(self._serial, self._named()))
        except PeerError as error:
            _log.error("peer_message_too_large", reason=str(error))
            return 0
        for address in receivers:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
        return len(receivers)

    def _named(self) -> tuple[str, ...]:
        """Return some nodes of the zone and relays, for those who lack them.

        The other nodes of other zones would be sent to and would not answer.
        """
        useful = [
            address
            for address, view in self._views.items()
            if view.status.zone == self._zone or view.status.relay
        ]
        return tuple(self._rng.sample(useful, min(len(useful), _MOST_NAMED)))

    def _receivers(self) -> list[str]:
        """Return the nodes of the zone, those not heard yet, and other relays."""
        live = {status.datagram: status for status in self.live}
        related = {status.zone for status in live.values() if status.relay}
        relaying = self._is_relay()
        alone = not any(status.zone == self._zone for status in live.values())
        receivers = []
        for address in self._targets:
            view = self._views.get(address)
            if view is None:
                if self._tries_unheard(address, alone=alone, relaying=relaying):
                    receivers.append(address)
            elif view.status.zone == self._zone:
                receivers.append(address)
            elif relaying:
                # Without a relay of that zone, any of its nodes passes this on.
                other = view.status
                if other.relay or other.zone not in related:
                    receivers.append(address)
        return receivers

    def _tries_unheard(self, address: str, *, alone: bool, relaying: bool) -> bool:
        """Return whether a node that was never heard gets a message now.

        Nodes of other zones do not answer, so only a node that hears nobody goes
        on at each round, and a relay now and then.
        """
        now = self._clock.monotonic()
        tries = self._tries.get(address, 0)
        again = now - self._tried_at.get(address, now) >= _RELAY_RETRY_S
        if tries >= _TRIES and not alone and not (relaying and again):
            return False
        self._tries[address] = tries + 1
        self._tried_at[address] = now
        return True

    def _forget(self) -> None:
        oldest = self._clock.monotonic() - _FORGET_S
        for address in [a for a, at in self._targets.items() if at < oldest]:
            del self._targets[address]
            self._tries.pop(address, None)
            self._tried_at.pop(address, None)
            view = self._views.pop(address, None)
            if view is not None:
                _log.info("peer_gone", peer=view.status.node)
