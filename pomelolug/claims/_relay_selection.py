"""Which node relays the claims of a partition."""

from collections.abc import Iterable

from pomelolug.ids import NodeId, RegionId
from pomelolug.membership import NodeInfo, rendezvous

__all__ = ["select_relay"]


def select_relay(
    partition: int, nodes: Iterable[NodeInfo], region: RegionId
) -> NodeId | None:
    """Return the node that relays `partition`, None if no node is live.

    Nodes of `region` go first. Views that differ lead to several relays of one
    partition, which costs appends and no correctness.
    """
    nodes = list(nodes)
    same_region = [info.node for info in nodes if info.region == region]
    selected = rendezvous(
        f"claims {partition}", same_region or [info.node for info in nodes], 1
    )
    return NodeId(selected[0]) if selected else None
