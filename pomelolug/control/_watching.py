"""The group watchers that this node runs."""

import asyncio
import contextlib
import datetime
from collections.abc import Callable, Mapping

from pomelolug.clock import Clock
from pomelolug.control._duties import Duties
from pomelolug.engines import EngineClient
from pomelolug.groups import Group, GroupLimits, GroupsFold, GroupWatcher
from pomelolug.ids import GroupId, VmId
from pomelolug.messages import GroupStatus

__all__ = ["WatcherSet"]

_REVIEW_EVERY = datetime.timedelta(milliseconds=250)


class WatcherSet:
    """Runs a watcher for each group that the rendezvous hash gives this node.

    Nodes of the group's availability zone go first. Views of the live nodes may
    differ for a while: a group then has more or fewer watchers, and every
    watcher only reports what it has verified itself.

    Parameters
    ----------
    node : str
        This node.
    duties : Duties
        Which groups this node watches.
    fold : GroupsFold
        Live groups.
    engine : EngineClient
        Access to the members.
    addresses : callable
        Returns IP and port of each VM.
    draining : callable
        Returns the groups that are to get no new work.
    stragglers : callable
        Returns the groups that are slower than their peers.
    publish : callable
        Takes each `GroupStatus`.
    violated : callable
        Takes the name of a violated invariant.
    limits : GroupLimits
        Durations.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        *,
        node: str,
        duties: Duties,
        fold: GroupsFold,
        engine: EngineClient,
        addresses: Callable[[], Mapping[VmId, str]],
        draining: Callable[[], frozenset[GroupId]],
        stragglers: Callable[[], frozenset[GroupId]],
        publish: Callable[[GroupStatus], None],
        violated: Callable[[str], None],
        limits: GroupLimits,
        clock: Clock,
    ) -> None:
        self._node = node
        self._duties = duties
        self._fold = fold
        self._engine = engine
        self._addresses = addresses
        self._draining = draining
        self._stragglers = stragglers
        self._publish = publish
        self._violated = violated
        self._limits = limits
        self._clock = clock
        self._running: dict[int, asyncio.Task[None]] = {}

    @property
    def tokens(self) -> frozenset[int]:
        """Fencing tokens of the groups that this node watches."""
        return frozenset(self._running)

    async def run(self) -> None:
        """Start and stop watchers until cancelled."""
        try:
            while True:
                self.review()
                await self._clock.sleep(_REVIEW_EVERY)
        finally:
            tasks = list(self._running.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def review(self) -> None:
        """Start and stop watchers for the groups and nodes of now."""
        mine = {
            group.token: group
            for group in self._fold.groups.values()
            if self._duties.watches(group.id, group.zone)
        }
        for token in list(self._running):
            if token not in mine:
                self._running.pop(token).cancel()
        for token, group in mine.items():
            if token not in self._running:
                self._running[token] = asyncio.create_task(self._watch(group))

    async def _watch(self, group: Group) -> None:
        watcher = GroupWatcher(
            engine=self._engine,
            group=group,
            addresses=_Live(self._addresses),
            clock=self._clock,
            publish=self._publish,
            limits=self._limits,
            is_draining=lambda: group.id in self._draining(),
            is_straggler=lambda: group.id in self._stragglers(),
            on_violation=self._violated,
            node=self._node,
        )
        with contextlib.suppress(asyncio.CancelledError):
            await watcher.run()


class _Live(Mapping[VmId, str]):
    """Mapping that shows the newest addresses."""

    def __init__(self, current: Callable[[], Mapping[VmId, str]]) -> None:
        self._current = current

    def __getitem__(self, vm: VmId) -> str:
        return self._current()[vm]

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter(self._current())

    def __len__(self) -> int:
        return len(self._current())
