"""Assignment of groups to watcher nodes and of fabric domains to controllers."""

import collections
from collections.abc import Callable, Mapping, Sequence

from pomelolug.clock import Clock
from pomelolug.ids import DomainId, GroupId, ZoneId
from pomelolug.infrastructure import VmEntry
from pomelolug.membership import NodeInfo
from pomelolug.rendezvous import rendezvous

__all__ = ["NodeAssignments"]

WATCHERS_PER_GROUP = 2
# An outdated assignment only costs time, because none has to be exclusive.
_REFRESH_INTERVAL_S = 0.25


class NodeAssignments:
    """Assignments by rendezvous hashing over the live nodes.

    Nodes of the same availability zone are preferred. Results are cached for a
    short time because a controller queries them for each of its VMs.

    Parameters
    ----------
    node : str
        Name of this node.
    live_nodes : callable
        Returns the live nodes.
    vm_entries : callable
        Returns the entries of the VM list.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        node: str,
        live_nodes: Callable[[], Sequence[NodeInfo]],
        vm_entries: Callable[[], Sequence[VmEntry]],
        clock: Clock,
    ) -> None:
        self._node = node
        self._live_nodes = live_nodes
        self._vm_entries = vm_entries
        self._clock = clock
        self._refreshed_at_s = float("-inf")
        self._nodes: list[str] = []
        self._by_zone: Mapping[str, list[str]] = {}
        self._domain_zones: dict[DomainId, ZoneId] = {}
        self._is_controller: dict[DomainId, bool] = {}
        self._is_watcher: dict[GroupId, bool] = {}

    def is_controller_of(self, domain: DomainId) -> bool:
        """Return whether this node controls `domain`."""
        self._refresh()
        known = self._is_controller.get(domain)
        if known is None:
            nodes = self._zone_nodes(self._domain_zones.get(domain))
            known = rendezvous(f"control {domain}", nodes, 1) == (self._node,)
            self._is_controller[domain] = known
        return known

    def is_watcher_of(self, group: GroupId, zone: ZoneId) -> bool:
        """Return whether this node watches `group` in `zone`."""
        self._refresh()
        known = self._is_watcher.get(group)
        if known is None:
            nodes = self._zone_nodes(zone)
            chosen = rendezvous(f"watch {group}", nodes, WATCHERS_PER_GROUP)
            known = self._node in chosen
            self._is_watcher[group] = known
        return known

    def _zone_nodes(self, zone: ZoneId | None) -> list[str]:
        return self._by_zone.get(zone or "") or self._nodes

    def _refresh(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._refreshed_at_s < _REFRESH_INTERVAL_S:
            return
        self._refreshed_at_s = now_s
        by_zone = collections.defaultdict(list)
        live_nodes = self._live_nodes()
        for info in live_nodes:
            by_zone[str(info.zone)].append(str(info.node))
        self._by_zone = dict(by_zone)
        self._nodes = [str(info.node) for info in live_nodes]
        self._domain_zones = {e.domain: e.zone for e in self._vm_entries()}
        self._is_controller.clear()
        self._is_watcher.clear()
