"""Nodes that reach the servers, to which other nodes may pass requests on.

A node hears the nodes of its zone and its relay. Of other zones it knows the exits that
the relay lists: a sample of their nodes that reach the servers.
"""

import random
from collections.abc import Iterable, Sequence

from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus

__all__ = ["order_forwarding_addresses", "sample_other_exits", "sample_zone_exits"]

_MAX_ZONE_EXITS = 8
"""Exits of its zone that a relay lists, limited as `peers` are.

A few are enough: other zones need them only while most nodes of a zone are cut off.
"""
_MAX_OTHER_EXITS = 12
"""Exits of all other zones that a relay lists, a few of each zone."""


def sample_zone_exits(
    statuses: Iterable[NodeStatus],
    *,
    own_addresses: Sequence[str],
    zone: ZoneId,
    rng: random.Random,
) -> tuple[str, ...]:
    """Return a sample of the exits of a zone.

    Parameters
    ----------
    statuses : iterable of NodeStatus
        Latest status of each live peer.
    own_addresses : sequence of str
        Datagram address of this node if it is an exit itself, else empty.
    zone : ZoneId
        Zone of this node.
    rng : random.Random
        Draws the sample.
    """
    exits = [*own_addresses, *_zone_exits(statuses, zone)]
    return tuple(rng.sample(exits, min(len(exits), _MAX_ZONE_EXITS)))


def sample_other_exits(
    statuses: Iterable[NodeStatus], *, zone: ZoneId, rng: random.Random
) -> tuple[str, ...]:
    """Return a sample of the exits that the relays of other zones list."""
    exits = sorted(_relayed_exits(statuses, zone))
    return tuple(rng.sample(exits, min(len(exits), _MAX_OTHER_EXITS)))


def order_forwarding_addresses(
    statuses: Iterable[NodeStatus],
    *,
    own_address: str,
    zone: ZoneId,
    reaches_servers: bool,
    rng: random.Random,
) -> list[str]:
    """Return the datagram addresses of nodes to pass requests to, best first.

    The exits of the own zone come first in random order. If fewer nodes of the zone
    are exits than are cut off, those of other zones are mixed in, so that a few sound
    nodes do not get the load of a whole zone.

    Parameters
    ----------
    statuses : iterable of NodeStatus
        Latest status of each live peer.
    own_address : str
        Datagram address of this node, which is left out.
    zone : ZoneId
        Zone of this node.
    reaches_servers : bool
        Whether this node reaches the servers itself.
    rng : random.Random
        Shuffles the addresses.
    """
    statuses = list(statuses)
    zone_exits = _zone_exits(statuses, zone)
    other_exits = {
        address
        for status in statuses
        if status.zone == zone and status.relay
        for address in status.other_exits[:_MAX_OTHER_EXITS]
    }
    other_exits |= _relayed_exits(statuses, zone)
    others = sorted(other_exits - {own_address, *zone_exits})
    rng.shuffle(zone_exits)
    rng.shuffle(others)
    addresses = zone_exits + others
    cut_off_count = (not reaches_servers) + sum(
        status.zone == zone and not status.reaches_servers and not status.stopping
        for status in statuses
    )
    if cut_off_count > len(zone_exits) + reaches_servers:
        rng.shuffle(addresses)
    return addresses


def _zone_exits(statuses: Iterable[NodeStatus], zone: ZoneId) -> list[str]:
    return [
        status.datagram
        for status in statuses
        if status.zone == zone and status.reaches_servers and not status.stopping
    ]


def _relayed_exits(statuses: Iterable[NodeStatus], zone: ZoneId) -> set[str]:
    return {
        address
        for status in statuses
        if status.zone != zone and status.relay
        for address in status.exits[:_MAX_ZONE_EXITS]
    }
