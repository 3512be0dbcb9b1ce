"""Which node of each zone assigns streams to the groups of the zone."""

from collections.abc import Iterable, Sequence

from pomelolug.entry.dispatch import DispatcherAddresses
from pomelolug.ids import ZoneId
from pomelolug.messages import NodeStatus

__all__ = ["find_dispatchers", "find_zone_dispatcher"]

MIN_ZONE_NODES = 6
"""Nodes of a zone from which on it has a dispatcher.

With fewer nodes, statuses are frequent, and a node sees much of the load itself.
"""
_RANK = 1
"""Rank of the dispatcher by running time; the longest-running node is the relay."""


def find_zone_dispatcher(
    statuses: Iterable[NodeStatus], *, own: NodeStatus, zone: ZoneId
) -> str:
    """Return the datagram address of the dispatcher of a zone, empty without one.

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
        return ""
    candidates = sorted(
        (s.started_ms, s.node, s.datagram)
        for s in nodes
        if s.dispatches and s.reaches_servers and not s.stopping
    )
    if not candidates:
        return ""
    return candidates[min(_RANK, len(candidates) - 1)][2]


def find_dispatchers(
    statuses: Sequence[NodeStatus], *, own: NodeStatus, zone: ZoneId
) -> DispatcherAddresses:
    """Return the dispatchers of all zones as known to this node.

    Those of other zones are named by their relays, and by the relay of this zone.
    """
    address = find_zone_dispatcher(statuses, own=own, zone=zone)
    others: dict[ZoneId, str] = {}
    for status in statuses:
        if status.zone == zone and status.relay:
            others |= {
                ZoneId(name): other for name, other in status.other_dispatchers.items()
            }
    for status in statuses:
        if status.zone != zone and status.relay and status.dispatcher:
            others[ZoneId(status.zone)] = status.dispatcher
    others.pop(zone, None)
    local = None if address == own.datagram and address else address
    return DispatcherAddresses(
        local, {name: other for name, other in sorted(others.items()) if other}
    )
