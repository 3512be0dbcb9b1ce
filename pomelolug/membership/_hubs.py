"""Selection of hub nodes and of the peers that a node connects to."""

from collections import defaultdict

from pomelolug.membership._table import MembershipTable, NodeState
from pomelolug.rendezvous import rendezvous

__all__ = ["FULL_MESH_NODES", "HubSelector"]

FULL_MESH_NODES = 16
# Hysteresis keeps a cluster at the limit from switching its topology, and so
# rebuilding its connections, on every restart of a node.
HYSTERESIS_NODES = 2


class HubSelector:
    """Selects the hubs from the membership table.

    Nodes form a full mesh while they are few. Above the limit each zone has a
    few hubs, which are connected to each other and to the nodes of their zone.

    Parameters
    ----------
    table : MembershipTable
        Membership table of this node.
    per_zone : int
        Number of hubs per zone when there are too many nodes for a full mesh.
    full_mesh_nodes : int
        With at most this many live nodes, every node is a hub.
    """

    def __init__(
        self, table: MembershipTable, *, per_zone: int, full_mesh_nodes: int
    ) -> None:
        self._table = table
        self._per_zone = per_zone
        self._full_mesh_nodes = full_mesh_nodes
        self._full_mesh = True
        self._hubs_version = 0
        self._hubs: frozenset[str] = frozenset()

    def hubs(self) -> frozenset[str]:
        """Return the hubs of all zones, cached until the table changes."""
        if self._hubs_version != self._table.state_version:
            self._hubs_version = self._table.state_version
            self._hubs = self._select_hubs()
        return self._hubs

    def desired_peers(self) -> set[str]:
        """Return the nodes that this node should be connected to.

        Hubs connect to all other hubs, other nodes to the hubs of their zone.
        """
        own = self._table.own_heartbeat
        hubs = self.hubs()
        if own.node in hubs:
            return set(hubs) - {own.node}
        return {
            node
            for node in hubs
            if (member := self._table.get(node)) and member.heartbeat.zone == own.zone
        }

    def is_desired_by_either(self, node: str) -> bool:
        """Return whether this node or `node` should connect to the other.

        The choice of `node` is derived from the table of this node.
        """
        own = self._table.own_heartbeat
        if node in self.desired_peers():
            return True
        member = self._table.get(node)
        return (
            own.node in self.hubs()
            and member is not None
            and member.heartbeat.zone == own.zone
        )

    def _select_hubs(self) -> frozenset[str]:
        zones: dict[str, list[str]] = defaultdict(list)
        count = 0
        for member in self._table:
            if member.state is NodeState.ALIVE:
                zones[member.heartbeat.zone].append(member.heartbeat.node)
                count += 1
        limit = self._full_mesh_nodes
        if not self._full_mesh:
            limit -= HYSTERESIS_NODES
        self._full_mesh = count <= limit
        if self._full_mesh:
            return frozenset(node for nodes in zones.values() for node in nodes)
        return frozenset(
            node
            for zone, nodes in zones.items()
            for node in rendezvous(f"hub {zone}", nodes, self._per_zone)
        )
