"""Selection of the node that relays the claims of a partition."""

from collections.abc import Iterable

from pomelolug.ids import NodeId, RegionId
from pomelolug.membership import NodeInfo
from pomelolug.rendezvous import rendezvous

__all__ = ["select_relay"]


def select_relay(
    partition: int, nodes: Iterable[NodeInfo], region: RegionId
) -> NodeId | None:
    """Return the node that relays `partition`, or None if `nodes` is empty.

    Nodes of `region` are preferred. Views that differ lead to several relays of one
    partition, which costs additional appends but does not affect correctness.
    """
    nodes = list(nodes)
    near = [info.node for info in nodes if info.region == region]
    chosen = rendezvous(f"claims {partition}", near or [info.node for info in nodes], 1)
    return NodeId(chosen[0]) if chosen else None
