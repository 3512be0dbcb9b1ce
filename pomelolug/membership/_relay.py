"""Relaying of messages to nodes without a direct connection, and broadcast."""

import collections
import random
from collections.abc import Callable, Iterable, Mapping

from pomelolug.membership._link import Link
from pomelolug.membership._metrics import DROPPED, RELAYED
from pomelolug.membership._queue import status_key
from pomelolug.messages import Message, Relay, decode, encode

__all__ = ["RelayRouter"]

MAX_HOPS = 4
MAX_SEEN_SERIALS = 8192
INITIAL_SERIAL_BITS = 48


class RelayRouter:
    """Sends, forwards and deduplicates relayed messages.

    Parameters
    ----------
    node : str
        Name of this node.
    links : mapping of str to Link
        Open links by node, updated by the caller.
    random_state : random.Random
        Source of the initial serial number. A random start keeps a restarted
        node from reusing serial numbers that its peers have already seen.
    disconnected_peers : callable
        Returns the nodes that should have a direct connection but have none.
    """

    def __init__(
        self,
        node: str,
        links: Mapping[str, Link],
        random_state: random.Random,
        disconnected_peers: Callable[[], Iterable[str]],
    ) -> None:
        self._node = node
        self._links = links
        self._disconnected_peers = disconnected_peers
        self._serial = random_state.getrandbits(INITIAL_SERIAL_BITS)
        self._seen: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def send(self, target: str, message: Message, *, key: str | None = None) -> bool:
        """Send `message` to `target`, directly or through other nodes.

        Returns
        -------
        bool
            Whether the message was queued on a connection. Delivery is not
            guaranteed.
        """
        link = self._links.get(target)
        if link is not None:
            return link.connection.send(message, key=key)
        relay = self._make_relay(target, message)
        return self._forward(relay, received_from=None)

    def broadcast(self, message: Message, *, key: str | None = None) -> int:
        """Send `message` to all nodes and return the number of connections used."""
        if not self._links:
            return 0
        relay = self._make_relay("", message)
        key = key or status_key(message)
        frame = encode(relay)
        sent = sum(
            link.connection.send_encoded(frame, key=key)
            for link in self._links.values()
        )
        # Hubs do not forward broadcasts of a hub to each other, so peers whose direct
        # connection is down are sent the message through other nodes.
        for target in self._disconnected_peers():
            sent += self._forward(self._make_relay(target, message), received_from=None)
        return sent

    def _make_relay(self, target: str, message: Message) -> Relay:
        self._serial += 1
        self._mark_seen((self._node, self._serial))
        return Relay(
            origin=self._node,
            target=target,
            serial=self._serial,
            hops=MAX_HOPS,
            payload=encode(message),
        )

    def receive(
        self,
        link: Link,
        relay: Relay,
        message_types: tuple[type[Message], ...],
        is_hub: bool,
    ) -> Message | None:
        """Forward `relay` if needed and return its message if it is for this node.

        Raises
        ------
        PeerError
            If the message is malformed.
        """
        key = (relay.origin, relay.serial)
        if key in self._seen or relay.origin == self._node:
            RELAYED.labels(result="duplicate").inc()
            return None
        self._mark_seen(key)
        if relay.target and relay.target != self._node:
            sent = self._forward(relay, received_from=link.node)
            RELAYED.labels(result="forwarded" if sent else "no_route").inc()
            return None
        if not relay.target and is_hub:
            self._flood(relay, link)
        RELAYED.labels(result="delivered").inc()
        return decode(relay.payload, *message_types)

    def _forward(self, relay: Relay, *, received_from: str | None) -> bool:
        forwarded = self._decrement_hops(relay)
        if forwarded is None:
            return False
        for link in self._find_routes(relay.target):
            if link.node != received_from and link.connection.send(forwarded):
                return True
        DROPPED.labels(reason="no_route").inc()
        return False

    def _find_routes(self, target: str) -> list[Link]:
        direct = self._links.get(target)
        if direct is not None:
            return [direct]
        candidates = [
            (distance, link.node, link)
            for link in self._links.values()
            if (distance := link.reachable_distances().get(target)) is not None
        ]
        return [link for _, _, link in sorted(candidates, key=lambda item: item[:2])]

    def _flood(self, relay: Relay, source: Link) -> None:
        forwarded = self._decrement_hops(relay)
        if forwarded is None:
            return
        # Hubs are connected to each other, so messages from a hub are forwarded to
        # other nodes only.
        frame = encode(forwarded)
        for link in self._links.values():
            if link is not source and not (source.peer_is_hub and link.peer_is_hub):
                link.connection.send_encoded(frame)

    @staticmethod
    def _decrement_hops(relay: Relay) -> Relay | None:
        if relay.hops <= 0:
            RELAYED.labels(result="hop_limit").inc()
            return None
        return Relay(
            origin=relay.origin,
            target=relay.target,
            serial=relay.serial,
            hops=relay.hops - 1,
            payload=relay.payload,
        )

    def _mark_seen(self, key: tuple[str, int]) -> None:
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN_SERIALS:
            self._seen.popitem(last=False)
