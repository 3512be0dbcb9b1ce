"""Set of the group watchers that this node runs."""

import asyncio
import contextlib
import datetime
from collections.abc import Callable, Mapping

from pomelolug.clock import Clock
from pomelolug.control._assignments import NodeAssignments
from pomelolug.engines import EngineClient
from pomelolug.groups import Group, GroupLimits, GroupsFold, GroupWatcher
from pomelolug.ids import GroupId, VmId
from pomelolug.messages import GroupStatus

__all__ = ["WatcherSet"]

_UPDATE_INTERVAL = datetime.timedelta(milliseconds=250)


class WatcherSet:
    """Runs a watcher for each group that is assigned to this node.

    Nodes of the group's availability zone are preferred. While the nodes disagree
    on which nodes are live, a group may have more or fewer watchers than intended.
    Every watcher only reports what it has verified itself.

    Parameters
    ----------
    node : str
        Name of this node.
    assignments : NodeAssignments
        Which groups this node watches.
    fold : GroupsFold
        Fold with the current groups.
    engine : EngineClient
        Access to the members.
    addresses : callable
        Returns the IP address and port of each VM.
    draining : callable
        Returns the groups that must get no new work.
    stragglers : callable
        Returns the groups that are slower than their peers.
    publish : callable
        Called with each new `GroupStatus`.
    on_violation : callable
        Called with the name of a violated invariant.
    limits : GroupLimits
        Time limits of the watchers.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        node: str,
        assignments: NodeAssignments,
        fold: GroupsFold,
        engine: EngineClient,
        addresses: Callable[[], Mapping[VmId, str]],
        draining: Callable[[], frozenset[GroupId]],
        stragglers: Callable[[], frozenset[GroupId]],
        publish: Callable[[GroupStatus], None],
        on_violation: Callable[[str], None],
        limits: GroupLimits,
        clock: Clock,
    ) -> None:
        self._node = node
        self._assignments = assignments
        self._fold = fold
        self._engine = engine
        self._addresses = addresses
        self._draining = draining
        self._stragglers = stragglers
        self._publish = publish
        self._on_violation = on_violation
        self._limits = limits
        self._clock = clock
        self._tasks: dict[int, asyncio.Task[None]] = {}

    @property
    def watched_tokens(self) -> frozenset[int]:
        """Fencing tokens of the groups that this node watches."""
        return frozenset(self._tasks)

    async def run(self) -> None:
        """Start and stop watchers until cancelled."""
        try:
            while True:
                self.update_watchers()
                await self._clock.sleep(_UPDATE_INTERVAL)
        finally:
            tasks = list(self._tasks.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def update_watchers(self) -> None:
        """Start and stop watchers to match the current groups and live nodes."""
        assigned_groups = {
            group.token: group
            for group in self._fold.groups.values()
            if self._assignments.is_watcher_of(group.id, group.zone)
        }
        for token in list(self._tasks):
            if token not in assigned_groups:
                self._tasks.pop(token).cancel()
        for token, group in assigned_groups.items():
            if token not in self._tasks:
                self._tasks[token] = asyncio.create_task(self._watch(group))

    async def _watch(self, group: Group) -> None:
        watcher = GroupWatcher(
            engine=self._engine,
            group=group,
            addresses=_LatestAddresses(self._addresses),
            clock=self._clock,
            publish=self._publish,
            limits=self._limits,
            is_draining=lambda: group.id in self._draining(),
            is_straggler=lambda: group.id in self._stragglers(),
            on_violation=self._on_violation,
            node=self._node,
        )
        with contextlib.suppress(asyncio.CancelledError):
            await watcher.run()


class _LatestAddresses(Mapping[VmId, str]):
    """Read-only mapping that looks up the latest address at each access."""

    def __init__(self, current: Callable[[], Mapping[VmId, str]]) -> None:
        self._current = current

    def __getitem__(self, vm: VmId) -> str:
        return self._current()[vm]

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter(self._current())

    def __len__(self) -> int:
        return len(self._current())
