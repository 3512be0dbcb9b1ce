"""Which node of each zone assigns streams to the groups of the zone."""

from collections.abc import Iterable, Sequence

from pomelolug.entry.dispatch import DispatcherAddresses
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus
from pomelolug.rendezvous import rendezvous

__all__ = ["MIN_ZONE_NODES", "find_dispatchers", "find_zone_dispatchers"]

MIN_ZONE_NODES = 6
"""Nodes of a zone from which on it has a dispatcher.

With fewer nodes, statuses are frequent, and a node sees much of the load itself.
"""
_DISPATCHERS_PER_ZONE = 2
"""The dispatcher of a zone, and the node that is asked while it does not reply."""


def find_zone_dispatchers(
    statuses: Iterable[NodeStatus], *, own: NodeStatus, zone: ZoneId
) -> tuple[str, ...]:
    """Return the datagram addresses of the dispatcher of a zone and of its stand-in.

    They change only if one of the two is lost, or a node comes that precedes it.
    Nodes that do not know the same nodes may use two dispatchers for a while. Each of
    them then lacks the streams that the other one has assigned until they are reported.

    Parameters
    ----------
    statuses : iterable of NodeStatus
        Latest status of each live peer.
    own : NodeStatus
        Status of this node.
    zone : ZoneId
        Zone of this node.
    """
    nodes = [s for s in statuses if s.zone == zone] + [own]
    if len(nodes) < MIN_ZONE_NODES:
        return ()
    addresses = {
        s.node: s.datagram
        for s in nodes
        if s.dispatches and s.reaches_servers and not s.stopping
    }
    chosen = rendezvous(f"dispatcher/{zone}", addresses, _DISPATCHERS_PER_ZONE)
    return tuple(addresses[node] for node in chosen)


def find_dispatchers(
    statuses: Sequence[NodeStatus], *, own: NodeStatus, zone: ZoneId
) -> DispatcherAddresses:
    """Return the dispatchers of all zones as known to this node.

    Those of other zones are named by their relays, and by the relay of this zone.
    """
    local = find_zone_dispatchers(statuses, own=own, zone=zone)
    others: dict[ZoneId, str] = {}
    for status in statuses:
        if status.zone == zone and status.relay:
            others |= {
                ZoneId(name): other for name, other in status.other_dispatchers.items()
            }
    for status in statuses:
        if status.zone != zone and status.relay:
            name = ZoneId(status.zone)
            others[name] = status.dispatcher or others.get(name, "")
    others.pop(zone, None)
    return DispatcherAddresses(
        local,
        {name: other for name, other in sorted(others.items()) if other},
        frozenset(name for name, other in others.items() if not other),
    )
